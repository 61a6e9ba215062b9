//! The versions of the environment that a VM knows, which of them it runs, and when it polls the
//! store next. Does no I/O.

use base::prelude::*;

use crate::row::VersionId;

/// Where a VM received a version from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VersionSource {
    /// A read of the store by this VM.
    Store,
    /// A message of another VM.
    Peer,
}

/// Parameters of the tracker.
#[derive(Clone, Copy, Debug)]
pub struct TrackerTuning {
    /// The mean time between reads of the store.
    pub poll_interval: ClockSpan,
    /// The share of the interval by which it varies at random up or down, so that VMs do not read
    /// at the same time.
    pub poll_jitter: f64,
    /// The longest delay before the first retry of a failed read or fetch. It doubles with each
    /// further failure; the delay is a random value from half of it to all of it.
    pub retry_delay: ClockSpan,
    /// The limit of the retry delay.
    pub max_retry_delay: ClockSpan,
    /// Whether lower versions than the known ones are ignored. A test turns it off to show that it
    /// detects the resulting fault.
    pub only_rises: bool,
}

impl Default for TrackerTuning {
    fn default() -> Self {
        Self {
            // A change must be in force on every VM within 5 s. The longest interval of 2.5 s and
            // one retry leave 2 s of that for fetching and applying the document.
            poll_interval: ClockSpan::from_millis(2000),
            poll_jitter: 0.25,
            retry_delay: ClockSpan::from_millis(500),
            max_retry_delay: ClockSpan::from_millis(4000),
            only_rises: true,
        }
    }
}

/// The versions of the environment that a VM knows.
#[derive(Clone, Debug)]
pub struct VersionTracker {
    tuning: TrackerTuning,
    random: RandomSource,
    active: Option<VersionId>,
    newest: Option<VersionId>,
    unusable: Option<VersionId>,
    store_read: bool,
    peers_asked: bool,
    failures: u32,
    next_poll: ClockTime,
}

impl VersionTracker {
    /// Returns the tracker of a VM that starts: it knows no version, and a poll is due now.
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

    /// Records that a version exists. Returns whether it became the newest one known.
    pub fn observe_version(&mut self, id: &VersionId, source: VersionSource) -> bool {
        let newest = self.newest.as_ref().map_or(0, |newest| newest.version);
        if id.version == newest && self.newest.as_ref() != Some(id) {
            // Compare-and-set gives each number to one document, so one source is wrong. The
            // store's document is used, unless this VM already runs the other one.
            tracing::error!(
                event = 1611,
                version = id.version,
                ?source,
                "version has two documents"
            );
            let in_force = self.active.as_ref().is_some_and(|active| active.version == newest);
            if source == VersionSource::Store && !in_force {
                self.newest = Some(id.clone());
            }
            return false;
        }
        if id.version <= newest && self.tuning.only_rises {
            return false;
        }
        self.newest = Some(id.clone());
        true
    }

    /// Records a read of the store that found `id`, or no version at all.
    pub fn record_store_read(&mut self, id: Option<&VersionId>, now: ClockTime) {
        self.store_read = true;
        self.failures = 0;
        if let Some(id) = id {
            self.observe_version(id, VersionSource::Store);
        }
        let vary = 1.0 + self.tuning.poll_jitter * (2.0 * self.random.unit() - 1.0);
        self.next_poll = now + self.tuning.poll_interval.scaled(vary);
    }

    /// Records that the store could not be read or a document could not be fetched, and delays the
    /// next poll.
    pub fn record_failure(&mut self, now: ClockTime) {
        let factor = f64::from(1_u32 << self.failures.min(8));
        let gap = self.tuning.retry_delay.scaled(factor).min(self.tuning.max_retry_delay);
        self.failures += 1;
        self.next_poll = now + gap.scaled(0.5 + 0.5 * self.random.unit());
    }

    /// Records that all reachable peers were asked for their versions. The caller passes the
    /// answers to [`Self::observe_version`] first.
    pub fn record_peers_asked(&mut self) {
        self.peers_asked = true;
    }

    /// Returns the version to fetch and apply: the newest one known, unless it is active or
    /// unusable.
    pub fn version_to_fetch(&self) -> Option<&VersionId> {
        let newest = self.newest.as_ref()?;
        let known = self.active.as_ref() == Some(newest) || self.unusable.as_ref() == Some(newest);
        (!known).then_some(newest)
    }

    /// Makes a version the active one if it is newer than the present one. Returns whether it is
    /// active.
    pub fn activate(&mut self, id: &VersionId) -> bool {
        let active = self.active.as_ref().map_or(0, |active| active.version);
        if id.version <= active && self.tuning.only_rises {
            return self.active.as_ref() == Some(id);
        }
        self.active = Some(id.clone());
        true
    }

    /// Records that this VM cannot use the document of a version, so that it is not fetched again.
    pub fn reject(&mut self, id: &VersionId) {
        self.unusable = Some(id.clone());
    }

    /// Returns the active version, which is the one that this VM runs.
    pub fn active(&self) -> Option<&VersionId> {
        self.active.as_ref()
    }

    /// Returns the newest version known.
    pub fn newest(&self) -> Option<&VersionId> {
        self.newest.as_ref()
    }

    /// Returns whether a VM that starts knows enough to accept calls: it has read the store, or
    /// asked its peers while the store is down, and its active version is the newest one known. A
    /// VM that already serves continues to do so while it fetches a newer version.
    pub fn may_start(&self) -> bool {
        let informed = self.store_read || self.peers_asked;
        let active = self.active.as_ref().map(|active| active.version);
        let newest = self.newest.as_ref().map(|newest| newest.version);
        informed && active.is_some() && active >= newest
    }

    /// Returns the time at which the store is to be read next.
    pub fn next_poll(&self) -> ClockTime {
        self.next_poll
    }
}
