//! Grants credits from the parts of quotas that this VM owns.

use base::prelude::*;
use world::prelude::*;

/// For this long after its start, a VM grants nothing: it does not know the other VMs yet, and one of
/// them may be the owner. VMs that all start at once know one another after about half a second; with
/// 2 s, they refused all calls of accounts for 3 s after a restart of the whole fleet.
const SETTLE_TIME: ClockSpan = ClockSpan::from_millis(600);
/// After a pause of this length between two ticks, the process was paused or suspended, and another
/// VM may have become the owner meanwhile. Ticks are 100 ms apart.
const MAX_TICK_PAUSE: ClockSpan = ClockSpan::from_millis(1_000);
/// The share by which the rate and the burst may be exceeded, half of the tolerance of 0.1. The rest
/// is for parts that have two owners for a moment.
const QUOTA_MARGIN: f64 = 0.05;
/// Credits by which all parts of a quota together may exceed the burst as well, about two thirds of the
/// 20 calls that are tolerated. Each part of a small quota is less than one credit otherwise, and an
/// account whose callers are uneven over the data centres is refused below its quota.
const BURST_MARGIN: f64 = 13.0;
/// Milliseconds in a second.
const MILLIS_PER_SECOND: f64 = 1000.0;

/// The answer to a request for credits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CreditGrant {
    /// So many credits were granted, at least one.
    Granted(u32),
    /// The part of the quota is used up. A credit is available after `retry_in`.
    Exhausted {
        /// The time until then.
        retry_in: ClockSpan,
    },
    /// This VM does not own the part, or cannot be sure that it does.
    NotOwner,
}

/// The credits of one part.
#[derive(Clone, Copy, Debug)]
struct CreditBucket {
    credits: f64,
    updated_at: ClockTime,
}

/// The parts of quotas that this VM owns.
#[derive(Debug)]
pub struct QuotaOwner {
    /// When the first tick was.
    started_at: Option<ClockTime>,
    ticked_at: ClockTime,
    /// Since when no other VM can have granted credits of a part that this VM owns now. Credits of a
    /// part accrue from then on.
    owned_since: ClockTime,
    has_contact: bool,
    /// Identifies the set of VMs that was last observed.
    members: u64,
    buckets: NameMap<CreditBucket>,
}

impl QuotaOwner {
    /// Returns an owner that grants nothing until it has settled.
    pub fn new() -> Self {
        Self {
            started_at: None,
            ticked_at: ClockTime::ZERO,
            owned_since: ClockTime::ZERO,
            has_contact: false,
            members: 0,
            buckets: NameMap::default(),
        }
    }

    /// Records that the process runs. `has_contact` is whether it hears from enough VMs of its data
    /// centre: a VM that is cut off from them is not the owner for them. Called every 100 ms.
    pub fn tick(&mut self, has_contact: bool, now: ClockTime) {
        let started_at = *self.started_at.get_or_insert(now);
        let was_paused = now.since(self.ticked_at) > MAX_TICK_PAUSE;
        if was_paused || !has_contact {
            self.buckets.clear();
            self.owned_since = now.max(started_at + SETTLE_TIME);
        }
        self.ticked_at = now;
        self.has_contact = has_contact;
    }

    /// Records the VMs of this data centre. `members` changes with the set of those that can own
    /// parts, and `owns` is whether this VM owns the part of an account now. If the set has changed,
    /// the credits of other parts are dropped, because another VM grants them.
    ///
    /// Called before each grant: a VM that has just become the owner would otherwise grant the
    /// credits of the time before, which the previous owner has granted already.
    pub fn observe_members(&mut self, members: u64, owns: impl Fn(&str) -> bool, now: ClockTime) {
        if std::mem::replace(&mut self.members, members) == members {
            return;
        }
        self.buckets.retain(|account, _| owns(account));
        self.owned_since = self.owned_since.max(now);
    }

    /// Returns whether this VM may grant credits now.
    fn is_settled(&self, now: ClockTime) -> bool {
        self.has_contact
            && now.since(self.ticked_at) <= MAX_TICK_PAUSE
            && self.started_at.is_some_and(|started_at| now >= started_at + SETTLE_TIME)
    }

    /// Grants up to `wanted` credits of an account whose quota has `parts` parts. `owns` is whether
    /// this VM owns the part of its data centre.
    pub fn grant(
        &mut self,
        account: &SharedName,
        quota: AccountQuota,
        parts: u32,
        wanted: u32,
        owns: bool,
        now: ClockTime,
    ) -> CreditGrant {
        if !owns || !self.is_settled(now) {
            return CreditGrant::NotOwner;
        }
        let parts = f64::from(parts.max(1));
        let share = (1.0 + QUOTA_MARGIN) / parts;
        let rate_per_ms = quota.rate * share / MILLIS_PER_SECOND;
        let depth = quota.burst * share + BURST_MARGIN / parts;
        let owned_since = self.owned_since;
        let bucket = self
            .buckets
            .entry(account.clone())
            .or_insert(CreditBucket { credits: 0.0, updated_at: owned_since });
        let accrued = now.since(bucket.updated_at).as_millis_f64() * rate_per_ms;
        bucket.credits = (bucket.credits + accrued).min(depth.max(1.0));
        bucket.updated_at = bucket.updated_at.max(now);
        let granted = bucket.credits.floor().min(f64::from(wanted.max(1)));
        if granted < 1.0 {
            let missing_ms = (1.0 - bucket.credits) / rate_per_ms;
            return CreditGrant::Exhausted { retry_in: ClockSpan::from_millis_f64(missing_ms) };
        }
        bucket.credits -= granted;
        CreditGrant::Granted(granted as u32)
    }
}

impl Default for QuotaOwner {
    fn default() -> Self {
        Self::new()
    }
}
