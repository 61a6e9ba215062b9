//! Record of one fingerprint (the identity of a request): the crashes during which it was in
//! flight, the clearings that discarded crashes, the renewals of its confirmed status, and how
//! records of several VMs are merged.

use base::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::notice::{CrashIncident, SuspectNotice};
use crate::tuning::SuspectTuning;

/// Upstreams whose crashes are kept for one fingerprint. Without a limit, the failure of a data
/// centre would add all its upstreams to the record of every frequent fingerprint.
const MAX_INCIDENTS: usize = 8;

/// A time that may lie before the start of this VM's clock, in hundredths of a millisecond since
/// that start.
///
/// A VM that started a minute ago learns of older crashes. [`ClockTime`] cannot be earlier than the
/// start of the clock, so that these crashes would appear more recent, and sending them to other
/// VMs would extend the status of every suspect.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct SignedTime(i64);

impl SignedTime {
    /// Earlier than every other time.
    const NEVER: Self = Self(i64::MIN);

    fn before(now: ClockTime, age: ClockSpan) -> Self {
        let now = i64::try_from(now.since(ClockTime::ZERO).as_hundredths()).unwrap_or(i64::MAX);
        Self(now.saturating_sub(i64::try_from(age.as_hundredths()).unwrap_or(i64::MAX)))
    }

    fn age(self, now: ClockTime) -> ClockSpan {
        let now_hundredths = Self::before(now, ClockSpan::ZERO).0;
        ClockSpan::from_hundredths(
            u64::try_from(now_hundredths.saturating_sub(self.0)).unwrap_or(0),
        )
    }
}

/// A counter with the time of its last increment. Merging keeps the higher count. Of equal counts
/// it keeps the earlier time: a notice contains the age without the time in transit, so that each
/// transfer between VMs makes the increment appear later.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct EventCounter {
    count: u64,
    at: SignedTime,
}

impl EventCounter {
    const NEVER: Self = Self { count: 0, at: SignedTime::NEVER };

    fn merge(&mut self, other: Self) {
        if other.count > self.count {
            *self = other;
        } else if other.count == self.count {
            self.at = self.at.min(other.at);
        }
    }
}

/// The crashes of one upstream while the fingerprint was in flight on it.
#[derive(Clone, Debug, Eq, PartialEq)]
struct KnownIncident {
    upstream: SharedName,
    counter: EventCounter,
    /// See [`CrashFacts::proven`].
    proven: bool,
    /// See [`CrashFacts::isolated`].
    isolated: bool,
    /// Whether this VM detected the crash itself.
    local: bool,
}

impl KnownIncident {
    fn merge(&mut self, other: Self) {
        if other.counter.count > self.counter.count {
            *self = other;
        } else if other.counter.count == self.counter.count {
            self.local |= other.local;
            self.counter.merge(other.counter);
            self.proven |= other.proven;
            self.isolated |= other.isolated;
        }
    }
}

/// Status of a fingerprint.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SuspectStatus {
    /// It was never suspected, or it was released or cleared, or the suspicion has expired.
    Cleared,
    /// It was in flight at a crash.
    Suspected,
    /// It is confirmed as the cause of crashes.
    Confirmed,
}

/// State of a fingerprint at a crash that this VM detected.
#[derive(Clone, Copy, Debug)]
pub struct CrashFacts {
    /// Whether the fingerprint was proven by successful calls before, so that its presence at the
    /// crash indicates little.
    pub proven: bool,
    /// Whether the fingerprint ran in isolation, so that its presence at the crash indicates much.
    pub isolated: bool,
}

/// What a VM knows about one fingerprint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SuspectRecord {
    /// Counts the releases and clearings, each of which discards all earlier crashes. The count is
    /// the epoch of a notice.
    cleared: EventCounter,
    incidents: Vec<KnownIncident>,
    renewed: EventCounter,
    /// Successful isolated runs on this VM since the last crash.
    pub isolated_successes: u32,
}

impl Default for SuspectRecord {
    fn default() -> Self {
        let never = EventCounter::NEVER;
        Self { cleared: never, incidents: Vec::new(), renewed: never, isolated_successes: 0 }
    }
}

impl SuspectRecord {
    /// Returns the time since the newest crash, or `None` if there is none.
    pub fn crash_age(&self, now: ClockTime) -> Option<ClockSpan> {
        self.incidents.iter().map(|incident| incident.counter.at.age(now)).min()
    }

    /// Returns the time since the newest crash, renewal, release or clearing.
    pub fn age(&self, now: ClockTime) -> ClockSpan {
        let other = self.renewed.at.max(self.cleared.at).age(now);
        self.crash_age(now).map_or(other, |age| age.min(other))
    }

    /// Returns the status, which expires `suspect_span` after the newest crash or, once confirmed,
    /// `confirmed_span` after the newest crash or renewal. A confirmed fingerprint that is still
    /// refused `retest_span` after the newest crash is only suspected, so that isolated runs can
    /// clear or confirm it.
    pub fn status(&self, tuning: &SuspectTuning, now: ClockTime) -> SuspectStatus {
        let Some(crash_age) = self.crash_age(now) else { return SuspectStatus::Cleared };
        if self.is_confirmed() && self.age(now) <= tuning.confirmed_span {
            if crash_age <= tuning.retest_span {
                SuspectStatus::Confirmed
            } else {
                SuspectStatus::Suspected
            }
        } else if !self.is_confirmed() && crash_age <= tuning.suspect_span {
            SuspectStatus::Suspected
        } else {
            SuspectStatus::Cleared
        }
    }

    /// Returns whether the crashes confirm the fingerprint as their cause: crashes of two different
    /// upstreams, or a crash during an isolated run. A fingerprint is isolated only after a crash,
    /// so that a crash during an isolated run is at least its second. Crashes of a proven
    /// fingerprint do not count towards the two, because a frequent request is in flight on every
    /// upstream.
    fn is_confirmed(&self) -> bool {
        let unproven = self.incidents.iter().filter(|incident| !incident.proven).count();
        unproven >= 2 || self.incidents.iter().any(|incident| incident.isolated)
    }

    /// Returns the upstreams whose crashes are kept, ordered by name.
    pub fn upstreams(&self) -> impl Iterator<Item = &SharedName> {
        self.incidents.iter().map(|incident| &incident.upstream)
    }

    /// Records a crash that this VM detected. If the earlier crashes have expired, they are cleared
    /// first.
    pub fn record_crash(
        &mut self,
        upstream: &SharedName,
        facts: CrashFacts,
        tuning: &SuspectTuning,
        now: ClockTime,
    ) {
        if !self.incidents.is_empty() && self.status(tuning, now) == SuspectStatus::Cleared {
            self.clear(now);
        }
        let at = SignedTime::before(now, ClockSpan::ZERO);
        let known = self.incidents.iter().find(|known| known.upstream == *upstream);
        let counter = match known.map(|known| known.counter) {
            Some(counter) if counter.at.age(now) <= tuning.same_crash_span => counter,
            Some(counter) => EventCounter { count: counter.count + 1, at },
            None => EventCounter { count: 1, at },
        };
        let CrashFacts { proven, isolated } = facts;
        let upstream = upstream.clone();
        self.insert(KnownIncident { upstream, counter, proven, isolated, local: true });
        self.isolated_successes = 0;
    }

    /// Adds an incident. If there are more than [`MAX_INCIDENTS`], those whose upstream names come
    /// last in order are dropped, so that the result does not depend on the order of insertion.
    fn insert(&mut self, incident: KnownIncident) {
        match self.incidents.binary_search_by(|known| known.upstream.cmp(&incident.upstream)) {
            Ok(index) => self.incidents[index].merge(incident),
            Err(index) => self.incidents.insert(index, incident),
        }
        self.incidents.truncate(MAX_INCIDENTS);
    }

    /// Discards all crashes so far. Other VMs discard them when they merge a later notice of this
    /// record.
    pub fn clear(&mut self, now: ClockTime) {
        let at = SignedTime::before(now, ClockSpan::ZERO);
        let cleared = EventCounter { count: self.cleared.count + 1, at };
        *self = Self { cleared, ..Self::default() };
    }

    /// Renews a confirmed status. Returns false if the last crash, renewal or clearing is more
    /// recent than `renewal_span`.
    pub fn renew(&mut self, tuning: &SuspectTuning, now: ClockTime) -> bool {
        let due = self.age(now) >= tuning.renewal_span;
        if due {
            let at = SignedTime::before(now, ClockSpan::ZERO);
            self.renewed = EventCounter { count: self.renewed.count + 1, at };
        }
        due
    }

    /// Marks the fingerprint as proven at all its crashes. Returns whether that changes anything.
    pub fn mark_proven(&mut self) -> bool {
        let new = self.incidents.iter().any(|incident| !incident.proven);
        self.incidents.iter_mut().for_each(|incident| incident.proven = true);
        new
    }

    /// Merges the notice of another VM and returns whether that VM needs a reply.
    ///
    /// The epoch is the number of clearings, and a higher one discards the crashes of a lower one.
    /// Only crashes that this VM detected after a clearing of which it did not know are kept in the
    /// new epoch, and must then be sent again.
    pub fn merge(&mut self, notice: &SuspectNotice, now: ClockTime) -> bool {
        let before = |age: ClockSpan| SignedTime::before(now, age);
        let cleared = EventCounter { count: notice.epoch, at: before(notice.cleared_age) };
        if cleared.count < self.cleared.count {
            return true;
        }
        let is_newer = cleared.count > self.cleared.count;
        if is_newer {
            self.incidents.retain(|known| known.local && known.counter.at > cleared.at);
            self.renewed = EventCounter::NEVER;
        }
        let needs_reply = is_newer && !self.incidents.is_empty();
        self.cleared.merge(cleared);
        let renewed_at = before(notice.renewed_age);
        self.renewed.merge(EventCounter { count: notice.renewals, at: renewed_at });
        for incident in &notice.incidents {
            self.insert(KnownIncident {
                upstream: incident.upstream.clone(),
                counter: EventCounter { count: incident.count, at: before(incident.age) },
                proven: incident.proven,
                isolated: incident.isolated,
                local: false,
            });
        }
        needs_reply
    }

    /// Returns whether earlier crashes were discarded by a release or clearing.
    pub fn was_cleared(&self) -> bool {
        self.cleared.count > 0
    }

    /// Returns a digest of the crashes and clearings, without their ages, which differ between VMs.
    pub fn digest(&self, fingerprint: u64) -> u64 {
        let mut hasher = Xxh3::with_seed(fingerprint);
        hasher.update(&self.cleared.count.to_le_bytes());
        for incident in &self.incidents {
            hasher.update(incident.upstream.as_bytes());
            hasher.update(&incident.counter.count.to_le_bytes());
        }
        hasher.digest()
    }

    /// Returns the notice that sends this record to other VMs.
    pub fn to_notice(&self, fingerprint: u64, now: ClockTime) -> SuspectNotice {
        let incidents = self.incidents.iter().map(|known| CrashIncident {
            upstream: known.upstream.clone(),
            count: known.counter.count,
            age: known.counter.at.age(now),
            proven: known.proven,
            isolated: known.isolated,
        });
        SuspectNotice {
            fingerprint,
            epoch: self.cleared.count,
            cleared_age: self.cleared.at.age(now),
            incidents: incidents.collect(),
            renewals: self.renewed.count,
            renewed_age: self.renewed.at.age(now),
        }
    }
}
