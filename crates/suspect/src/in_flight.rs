//! Fingerprints of the calls in flight, for each upstream.

use std::collections::{BTreeMap, HashMap};

use base::prelude::*;

/// The calls of one fingerprint that are in flight on one upstream.
#[derive(Debug, Default)]
struct RunningCalls {
    starts: Vec<ClockTime>,
    isolated: bool,
}

/// Fingerprints that were in flight when connections were lost, and whether they ran in isolation.
#[derive(Debug)]
struct LostCalls {
    last_loss: ClockTime,
    fingerprints: BTreeMap<u64, bool>,
}

#[derive(Debug, Default)]
pub struct InFlightTable {
    running: NameMap<HashMap<u64, RunningCalls>>,
    lost: NameMap<LostCalls>,
}

impl InFlightTable {
    pub fn start(
        &mut self,
        fingerprint: u64,
        upstream: &SharedName,
        isolated: bool,
        now: ClockTime,
    ) {
        let calls = self.running.entry(upstream.clone()).or_default();
        let calls = calls.entry(fingerprint).or_default();
        calls.starts.push(now);
        calls.isolated |= isolated;
    }

    /// Removes one call and returns whether no connection to its upstream was lost since its start.
    pub fn finish(&mut self, fingerprint: u64, upstream: &SharedName) -> bool {
        let Some(running) = self.running.get_mut(upstream) else { return false };
        let Some(calls) = running.get_mut(&fingerprint) else { return false };
        let started = calls.starts.remove(0);
        if calls.starts.is_empty() {
            running.remove(&fingerprint);
        }
        self.lost.get(upstream).is_none_or(|lost| lost.last_loss < started)
    }

    /// Remembers the fingerprints in flight in case the upstream has crashed. Their calls end with
    /// their connections, before the refused connect that shows the crash.
    pub fn record_loss(&mut self, upstream: &SharedName, span: ClockSpan, now: ClockTime) {
        let empty = LostCalls { last_loss: now, fingerprints: BTreeMap::new() };
        let lost = self.lost.entry(upstream.clone()).or_insert(empty);
        if now.since(lost.last_loss) > span {
            lost.fingerprints.clear();
        }
        lost.last_loss = now;
        for (fingerprint, calls) in self.running.get(upstream).into_iter().flatten() {
            *lost.fingerprints.entry(*fingerprint).or_default() |= calls.isolated;
        }
    }

    /// Returns the fingerprints that were in flight on a crashed upstream, and whether they ran in
    /// isolation. Losses older than `span` are not part of the crash.
    pub fn take_crashed(
        &mut self,
        upstream: &SharedName,
        span: ClockSpan,
        now: ClockTime,
    ) -> BTreeMap<u64, bool> {
        self.record_loss(upstream, span, now);
        self.lost
            .get_mut(upstream)
            .map_or_else(BTreeMap::new, |lost| std::mem::take(&mut lost.fingerprints))
    }

    /// Removes the upstreams for which `keep` returns false, except calls that are still in flight.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.lost.retain(|upstream, _| keep(upstream));
        self.running.retain(|upstream, calls| !calls.is_empty() || keep(upstream));
    }
}
