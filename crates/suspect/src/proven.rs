//! Proven fingerprints: those with enough recent successful calls.

use std::collections::HashMap;

use base::prelude::*;

use crate::tuning::SuspectTuning;

#[derive(Clone, Copy, Debug)]
struct SuccessCount {
    runs: u32,
    last: ClockTime,
}

/// Bounded table of successful calls. When the current generation is full it becomes the previous
/// one, so that entries that are not used for a whole generation are evicted.
#[derive(Debug, Default)]
pub struct ProvenTable {
    current: HashMap<u64, SuccessCount>,
    previous: HashMap<u64, SuccessCount>,
}

impl ProvenTable {
    pub fn record(&mut self, fingerprint: u64, tuning: &SuspectTuning, now: ClockTime) {
        let known = self.current.get(&fingerprint).or_else(|| self.previous.get(&fingerprint));
        let runs = known.filter(|count| now.since(count.last) <= tuning.proven_span);
        let runs = runs.map_or(0, |count| count.runs).saturating_add(1);
        if self.current.len() >= tuning.proven_entries && !self.current.contains_key(&fingerprint) {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(fingerprint, SuccessCount { runs, last: now });
    }

    /// Returns when a call of a proven fingerprint last succeeded, or `None` if it is not proven.
    pub fn last_run(
        &self,
        fingerprint: u64,
        tuning: &SuspectTuning,
        now: ClockTime,
    ) -> Option<ClockTime> {
        let count = self.current.get(&fingerprint).or_else(|| self.previous.get(&fingerprint))?;
        let recent = now.since(count.last) <= tuning.proven_span;
        (count.runs >= tuning.proven_runs && recent).then_some(count.last)
    }

    pub fn contains(&self, fingerprint: u64, tuning: &SuspectTuning, now: ClockTime) -> bool {
        self.last_run(fingerprint, tuning, now).is_some()
    }
}
