//! What a VM knows of the versions of its environment.

use base::prelude::*;

use crate::row::VersionMark;

/// Where a VM learnt of a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LearnSource {
    /// Its own read of the store.
    Store,
    /// Another VM.
    Peer,
}

/// Times of the tracker.
#[derive(Clone, Copy, Debug)]
pub struct TrackerTuning {
    /// The middle of the time between reads of the store.
    pub poll_gap: ClockSpan,
    /// The share of the gap by which it varies, so that VMs do not read together.
    pub poll_jitter: f64,
    /// The time before a failed read or fetch is tried again for the first time.
    pub retry_gap: ClockSpan,
    /// The longest time between tries while the store is down.
    pub longest_gap: ClockSpan,
    /// Whether versions may only rise. A test switches it off to show that its checks find the
    /// resulting fault.
    pub only_rises: bool,
}

impl Default for TrackerTuning {
    fn default() -> Self {
        Self {
            // The longest gap of 2.5 s and one retry leave 2 s of the 5 s for fetching and
            // applying.
            poll_gap: ClockSpan::from_millis(2000),
            poll_jitter: 0.25,
            retry_gap: ClockSpan::from_millis(500),
            longest_gap: ClockSpan::from_millis(4000),
            only_rises: true,
        }
    }
}

/// What a VM knows of the versions of its environment.
#[derive(Clone, Debug)]
pub struct VersionTracker {
    tuning: TrackerTuning,
    random: RandomSource,
    active: Option<VersionMark>,
    newest: Option<VersionMark>,
    unusable: Option<VersionMark>,
    store_read: bool,
    peers_asked: bool,
    failures: u32,
    next_poll: ClockTime,
}

impl VersionTracker {
    /// Returns the tracker of a VM that starts and knows nothing.
    pub fn new(tuning: TrackerTuning, seed: u64, now: ClockTime) -> Self {
        Self {
            tuning,
            random: RandomSource::from_seed(seed),
            active: None,
            newest: None,
            unusable: None,
            store_read: false,
            peers_asked: false,
            failures: 0,
            next_poll: now,
        }
    }

    /// Records that there is a version. Returns whether it is the newest one known.
    pub fn learn(&mut self, mark: &VersionMark, source: LearnSource) -> bool {
        let newest = self.newest.as_ref().map_or(0, |newest| newest.version);
        if mark.version == newest && self.newest.as_ref() != Some(mark) {
            // Compare-and-set gives each number to one document, so that one source is wrong. The
            // store decides, unless the document is in force already.
            tracing::error!(
                event = 1611,
                version = mark.version,
                ?source,
                "version has two documents"
            );
            let in_force = self.active.as_ref().is_some_and(|active| active.version == newest);
            if source == LearnSource::Store && !in_force {
                self.newest = Some(mark.clone());
            }
            return false;
        }
        if mark.version <= newest && self.tuning.only_rises {
            return false;
        }
        self.newest = Some(mark.clone());
        true
    }

    /// Records a read of the store that found `mark`, or no version at all.
    pub fn store_read(&mut self, mark: Option<&VersionMark>, now: ClockTime) {
        self.store_read = true;
        self.failures = 0;
        if let Some(mark) = mark {
            self.learn(mark, LearnSource::Store);
        }
        let vary = 1.0 + self.tuning.poll_jitter * (2.0 * self.random.unit() - 1.0);
        self.next_poll = now + self.tuning.poll_gap.scaled(vary);
    }

    /// Records that the store could not be read, or a document not be fetched.
    pub fn failed(&mut self, now: ClockTime) {
        let factor = f64::from(1_u32 << self.failures.min(8));
        let gap = self.tuning.retry_gap.scaled(factor).min(self.tuning.longest_gap);
        self.failures += 1;
        self.next_poll = now + gap.scaled(0.5 + 0.5 * self.random.unit());
    }

    /// Records that all reachable peers were asked for their versions, and that they were learnt.
    pub fn peers_asked(&mut self) {
        self.peers_asked = true;
    }

    /// Returns the version to fetch and apply, if there is a newer one than the active one.
    pub fn wanted(&self) -> Option<&VersionMark> {
        let newest = self.newest.as_ref()?;
        let known = self.active.as_ref() == Some(newest) || self.unusable.as_ref() == Some(newest);
        (!known).then_some(newest)
    }

    /// Makes a version the active one, unless it would replace a newer one. Returns whether it
    /// is active.
    pub fn activate(&mut self, mark: &VersionMark) -> bool {
        let active = self.active.as_ref().map_or(0, |active| active.version);
        if mark.version <= active && self.tuning.only_rises {
            return self.active.as_ref() == Some(mark);
        }
        self.active = Some(mark.clone());
        true
    }

    /// Records that this VM cannot use a document, so that it is not fetched again and again.
    pub fn reject(&mut self, mark: &VersionMark) {
        self.unusable = Some(mark.clone());
    }

    /// Returns the active version.
    pub fn active(&self) -> Option<&VersionMark> {
        self.active.as_ref()
    }

    /// Returns the newest version known.
    pub fn newest(&self) -> Option<&VersionMark> {
        self.newest.as_ref()
    }

    /// Returns whether the VM may take requests. A VM that starts has first read the store, or
    /// asked its peers while the store is down, and serves no older version than it learnt of.
    /// A VM that serves continues to do so while it fetches a newer version.
    pub fn may_start(&self) -> bool {
        let informed = self.store_read || self.peers_asked;
        let active = self.active.as_ref().map(|active| active.version);
        let newest = self.newest.as_ref().map(|newest| newest.version);
        informed && active.is_some() && active >= newest
    }

    /// Returns when the store is to be read next.
    pub fn next_poll(&self) -> ClockTime {
        self.next_poll
    }
}
