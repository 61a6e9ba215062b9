//! Fingerprints that ran successfully.

use std::collections::HashMap;

use base::prelude::*;

use crate::tuning::SuspectTuning;

#[derive(Clone, Copy, Debug)]
struct SuccessCount {
    runs: u32,
    last: ClockTime,
}

/// A bounded memory of successful runs. When the young generation is full it becomes the old one,
/// so that entries which are not used for a whole generation are forgotten.
#[derive(Debug, Default)]
pub struct ProvenTable {
    young: HashMap<u64, SuccessCount>,
    old: HashMap<u64, SuccessCount>,
}

impl ProvenTable {
    pub fn record(&mut self, fingerprint: u64, tuning: &SuspectTuning, now: ClockTime) {
        let known = self.young.get(&fingerprint).or_else(|| self.old.get(&fingerprint));
        let runs = known.filter(|count| now.since(count.last) <= tuning.proven_span);
        let runs = runs.map_or(0, |count| count.runs).saturating_add(1);
        if self.young.len() >= tuning.proven_entries && !self.young.contains_key(&fingerprint) {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(fingerprint, SuccessCount { runs, last: now });
    }

    /// Returns when a proven fingerprint last ran, or `None` if it is not proven.
    pub fn last_run(
        &self,
        fingerprint: u64,
        tuning: &SuspectTuning,
        now: ClockTime,
    ) -> Option<ClockTime> {
        let count = self.young.get(&fingerprint).or_else(|| self.old.get(&fingerprint))?;
        let recent = now.since(count.last) <= tuning.proven_span;
        (count.runs >= tuning.proven_runs && recent).then_some(count.last)
    }

    pub fn contains(&self, fingerprint: u64, tuning: &SuspectTuning, now: ClockTime) -> bool {
        self.last_run(fingerprint, tuning, now).is_some()
    }
}
