//! Table of suspects of one VM: decides which requests may run, and on which upstreams.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::ops::DerefMut;
use std::sync::Arc;

use base::prelude::*;
use serde::{Deserialize, Serialize};
use world::prelude::*;

use crate::detector::CrashDetector;
use crate::fingerprint::is_partial;
use crate::in_flight::InFlightTable;
use crate::isolation::IsolationPermit;
use crate::notice::SuspectNotice;
use crate::placement::{hash_name, owner, shard_upstreams};
use crate::proven::ProvenTable;
use crate::record::{CrashFacts, SuspectRecord};
use crate::tuning::SuspectTuning;

pub use crate::record::SuspectStatus;

/// A full table evicts one record in this many at once, because sorting the table takes time.
const EVICTION_DIVISOR: usize = 8;

/// What to do with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectDecision {
    /// It may run.
    Run,
    /// It may run now, in isolation. The permit is reserved for it until `start` or
    /// `cancel_isolation`.
    RunIsolated,
    /// It must not run now.
    Refuse,
}

/// A fingerprint in the table, for operators.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SuspectEntry {
    /// The fingerprint.
    pub fingerprint: u64,
    /// Its status.
    pub standing: SuspectStatus,
    /// The upstreams that crashed.
    pub upstreams: Vec<SharedName>,
    /// The time since the newest crash, renewal, release or clearing.
    pub age: ClockSpan,
}

/// Result of an isolated run that another VM granted. The gateway sends it to that VM.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct GrantReport {
    /// The owner VM, which granted the run.
    pub owner: SharedName,
    /// The fingerprint.
    pub fingerprint: u64,
    /// Whether the upstream survived.
    pub survived: bool,
}

#[derive(Clone, Debug)]
struct HeldGrant {
    owner: SharedName,
    since: ClockTime,
}

#[derive(Debug)]
struct TableState {
    members: Vec<SharedName>,
    records: BTreeMap<u64, SuspectRecord>,
    in_flight: InFlightTable,
    proven: ProvenTable,
    detector: CrashDetector,
    isolation: IsolationPermit,
    grants: HashMap<u64, HeldGrant>,
    reports: Vec<GrantReport>,
    /// Time of the last crash of each upstream on which no call has succeeded since. Shards leave
    /// these upstreams out for `down_span`.
    crashed: NameMap<ClockTime>,
    /// Time of the last crash of each upstream, whether calls have succeeded since or not. Shards
    /// are smaller for `guard_span` after it.
    guarded: NameMap<ClockTime>,
    /// Fingerprints whose records changed on this VM since the last `take_notices`.
    changed: Vec<u64>,
    /// Fingerprint at which the next `export` starts.
    export_from: u64,
    /// Latest time that was passed to a method.
    latest: ClockTime,
}

/// Suspected and confirmed fingerprints of one VM, and the fingerprints in flight.
#[derive(Debug)]
pub struct SuspectTable {
    vm: SharedName,
    tuning: SuspectTuning,
    state: RankedMutex<TableState>,
}

impl TableState {
    /// Returns the records that matter to other VMs: those of suspects, and those with a release or
    /// clearing that is recent enough that another VM may still suspect the fingerprint.
    fn relevant_records(
        &self,
        tuning: &SuspectTuning,
        now: ClockTime,
    ) -> impl Iterator<Item = (&u64, &SuspectRecord)> {
        self.records.iter().filter(move |(_, record)| {
            record.status(tuning, now) != SuspectStatus::Cleared
                || record.was_cleared() && record.age(now) <= tuning.confirmed_span
        })
    }

    fn status(&self, fingerprint: u64, tuning: &SuspectTuning, now: ClockTime) -> SuspectStatus {
        self.records
            .get(&fingerprint)
            .map_or(SuspectStatus::Cleared, |record| record.status(tuning, now))
    }

    fn mark_changed(&mut self, fingerprint: u64) {
        if !self.changed.contains(&fingerprint) {
            self.changed.push(fingerprint);
        }
    }

    fn record_mut(&mut self, fingerprint: u64) -> &mut SuspectRecord {
        self.records.entry(fingerprint).or_default()
    }

    /// Removes the records whose status and releases have expired on every VM.
    fn purge(&mut self, tuning: &SuspectTuning, now: ClockTime) {
        let longest = tuning.confirmed_span + tuning.suspect_span;
        self.records.retain(|_, record| record.age(now) <= longest);
    }

    /// Evicts records from a full table, several at a time: cleared before suspected before
    /// confirmed ones, the oldest first.
    fn evict(&mut self, tuning: &SuspectTuning, now: ClockTime) {
        if self.records.len() <= tuning.entries {
            return;
        }
        self.purge(tuning, now);
        let rank = |record: &SuspectRecord| (record.status(tuning, now), Reverse(record.age(now)));
        let mut order: Vec<_> =
            self.records.iter().map(|(key, record)| (rank(record), *key)).collect();
        order.sort_unstable();
        let remaining = tuning.entries - tuning.entries / EVICTION_DIVISOR;
        let surplus = order.len().saturating_sub(remaining);
        for (_, evicted) in order.into_iter().take(surplus) {
            self.records.remove(&evicted);
        }
    }

    fn owner_of(&self, fingerprint: u64) -> Option<&SharedName> {
        let upstream = self.records.get(&fingerprint)?.upstreams().next()?;
        owner(hash_name(upstream), &self.members)
    }

    /// Returns whether enough time has passed since the last crash for crashes at other VMs to
    /// become known.
    fn is_settled(&self, fingerprint: u64, tuning: &SuspectTuning, now: ClockTime) -> bool {
        let age = self.records.get(&fingerprint).and_then(|record| record.crash_age(now));
        age.is_none_or(|age| age >= tuning.settle_span)
    }

    fn reserve_isolation(
        &mut self,
        vm: &SharedName,
        fingerprint: u64,
        tuning: &SuspectTuning,
        now: ClockTime,
    ) -> bool {
        let owned = self.owner_of(fingerprint).is_none_or(|owner| owner == vm);
        let granted = self.grants.get(&fingerprint);
        let granted = granted.is_some_and(|grant| now.since(grant.since) <= tuning.isolation_span);
        (owned || granted)
            && self.is_settled(fingerprint, tuning, now)
            && self.isolation.reserve(fingerprint, tuning, now)
    }

    /// Reports the result of a granted run to the owner VM, or counts a run that needed no grant.
    fn end_isolation(
        &mut self,
        fingerprint: u64,
        survived: bool,
        tuning: &SuspectTuning,
        now: ClockTime,
    ) {
        if let Some(grant) = self.grants.remove(&fingerprint) {
            self.reports.push(GrantReport { owner: grant.owner, fingerprint, survived });
        } else if survived {
            self.count_run(fingerprint, tuning, now);
        }
    }

    /// Counts a successful isolated run and clears the suspect after `clear_runs` of them.
    fn count_run(&mut self, fingerprint: u64, tuning: &SuspectTuning, now: ClockTime) {
        if self.status(fingerprint, tuning, now) != SuspectStatus::Suspected {
            return;
        }
        let Some(record) = self.records.get_mut(&fingerprint) else { return };
        record.isolated_successes += 1;
        if record.isolated_successes >= tuning.clear_runs {
            record.clear(now);
            self.mark_changed(fingerprint);
        }
    }

    /// Returns whether successful runs show that the fingerprint does not crash upstreams. Those of
    /// a partial one may be of other requests.
    fn is_proven(&self, fingerprint: u64, tuning: &SuspectTuning, now: ClockTime) -> bool {
        !is_partial(fingerprint) && self.proven.contains(fingerprint, tuning, now)
    }

    /// Clears a suspect that is proven and has run successfully since the newest crash. A frequent
    /// request is in flight at every crash and would otherwise be refused almost everywhere; a
    /// request that causes a crash does not end successfully.
    fn clear_if_proven(&mut self, fingerprint: u64, tuning: &SuspectTuning, now: ClockTime) {
        if is_partial(fingerprint)
            || self.status(fingerprint, tuning, now) != SuspectStatus::Suspected
        {
            return;
        }
        let Some(last) = self.proven.last_run(fingerprint, tuning, now) else { return };
        let Some(record) = self.records.get_mut(&fingerprint) else { return };
        if record.crash_age(now).is_some_and(|age| age > now.since(last)) {
            record.clear(now);
            self.mark_changed(fingerprint);
        }
    }

    /// Returns whether an upstream crashed more than `settle_span` ago and no call on it has
    /// succeeded since. Before that time a crashed upstream stays in its shards, so that copies of
    /// the request that arrive before the notice of the crash are not sent to further upstreams.
    fn is_down(&self, upstream: &str, tuning: &SuspectTuning, now: ClockTime) -> bool {
        let age = self.crashed.get(upstream).map(|at| now.since(*at));
        age.is_some_and(|age| age > tuning.settle_span && age <= tuning.down_span)
    }

    /// Returns whether one of the upstreams crashed within the last `guard_span`.
    fn is_guarded(
        &self,
        upstreams: &[Arc<UpstreamServer>],
        tuning: &SuspectTuning,
        now: ClockTime,
    ) -> bool {
        let recent = |upstream: &Arc<UpstreamServer>| {
            let at = self.guarded.get(&upstream.name);
            at.is_some_and(|at| now.since(*at) <= tuning.guard_span)
        };
        !self.guarded.is_empty() && upstreams.iter().any(recent)
    }

    fn record_crash(
        &mut self,
        upstream: &SharedName,
        tuning: &SuspectTuning,
        now: ClockTime,
    ) -> Vec<SuspectNotice> {
        self.crashed.insert(upstream.clone(), now);
        self.guarded.insert(upstream.clone(), now);
        let suspects = self.in_flight.take_crashed(upstream, tuning.refusal_span, now);
        let mut notices = Vec::with_capacity(suspects.len());
        for (fingerprint, isolated) in suspects {
            let proven = self.is_proven(fingerprint, tuning, now);
            let record = self.record_mut(fingerprint);
            record.record_crash(upstream, CrashFacts { proven, isolated }, tuning, now);
            notices.push(record.to_notice(fingerprint, now));
        }
        self.evict(tuning, now);
        notices
    }
}

impl SuspectTable {
    /// Returns an empty table of the VM `vm`.
    pub fn new(vm: SharedName, tuning: SuspectTuning) -> Self {
        let state = TableState {
            members: Vec::new(),
            records: BTreeMap::new(),
            in_flight: InFlightTable::default(),
            proven: ProvenTable::default(),
            detector: CrashDetector::default(),
            isolation: IsolationPermit::default(),
            grants: HashMap::new(),
            reports: Vec::new(),
            crashed: NameMap::default(),
            guarded: NameMap::default(),
            changed: Vec::new(),
            export_from: 0,
            latest: ClockTime::ZERO,
        };
        Self { vm, tuning, state: RankedMutex::new(LockRank::SuspectTable, state) }
    }

    /// Applies an environment: forgets upstreams that it does not contain.
    pub fn apply(&self, map: &EnvironmentMap, _now: ClockTime) {
        let known =
            |name: &str| map.upstreams.values().flatten().any(|upstream| upstream.name == *name);
        let mut state = self.state.lock();
        state.in_flight.retain(known);
        state.detector.retain(known);
        state.crashed.retain(|upstream, _| known(upstream));
        state.guarded.retain(|upstream, _| known(upstream));
    }

    /// Applies the list of live VMs, including this one. Without members this VM is the owner VM of
    /// every suspect.
    pub fn set_members(&self, members: Vec<SharedName>) {
        self.state.lock().members = members;
    }

    /// Returns whether a request was in flight at a crash and is not cleared.
    pub fn is_suspect(&self, fingerprint: u64, now: ClockTime) -> bool {
        self.state.lock().status(fingerprint, &self.tuning, now) != SuspectStatus::Cleared
    }

    /// Decides whether a request may run. `RunIsolated` reserves the permit for an isolated run.
    pub fn check(&self, fingerprint: u64, now: ClockTime) -> SuspectDecision {
        let mut state = self.lock_at(now);
        match state.status(fingerprint, &self.tuning, now) {
            SuspectStatus::Cleared => SuspectDecision::Run,
            SuspectStatus::Suspected => {
                if state.reserve_isolation(&self.vm, fingerprint, &self.tuning, now) {
                    SuspectDecision::RunIsolated
                } else {
                    SuspectDecision::Refuse
                }
            }
            SuspectStatus::Confirmed => {
                if state.record_mut(fingerprint).renew(&self.tuning, now) {
                    state.mark_changed(fingerprint);
                }
                SuspectDecision::Refuse
            }
        }
    }

    /// Returns the upstreams to which a request must not be sent.
    ///
    /// A fingerprint that is not proven may run only on the upstreams of its shuffle shard, which
    /// is the same on every VM, so that copies that arrive through all VMs at once crash no more
    /// upstreams than these. For a while after a crash the shard is smaller. A suspect may not run
    /// on the upstreams that it may have crashed. Without [`SuspectTuning::shard_unproven`] only
    /// this last rule applies, and a suspect that may have crashed every upstream may run on all of
    /// them.
    pub fn excluded_upstreams(
        &self,
        fingerprint: u64,
        upstreams: &[Arc<UpstreamServer>],
        now: ClockTime,
    ) -> Vec<SharedName> {
        let state = self.state.lock();
        let suspected = state.status(fingerprint, &self.tuning, now) == SuspectStatus::Suspected;
        if !suspected && state.proven.contains(fingerprint, &self.tuning, now) {
            return Vec::new();
        }
        let names = || upstreams.iter().map(|upstream| &upstream.name);
        let record = state.records.get(&fingerprint).filter(|_| suspected);
        let crashed_by = |name: &SharedName| {
            record.is_some_and(|record| record.upstreams().any(|upstream| upstream == name))
        };
        if !self.tuning.shard_unproven {
            let excluded: Vec<_> = names().filter(|name| crashed_by(name)).cloned().collect();
            return if excluded.len() < upstreams.len() { excluded } else { Vec::new() };
        }
        let usable = |name: &&SharedName| !state.is_down(name, &self.tuning, now);
        let guarded = suspected || state.is_guarded(upstreams, &self.tuning, now);
        let count = if guarded { self.tuning.guarded_shard_size } else { self.tuning.shard_size };
        let mut shard = shard_upstreams(
            fingerprint,
            names().filter(usable).filter(|name| !crashed_by(name)),
            count,
        );
        if shard.is_empty() {
            shard = shard_upstreams(fingerprint, names(), count);
        }
        names().filter(|name| !shard.contains(name)).cloned().collect()
    }

    /// Records that a request was sent to an upstream.
    pub fn start(&self, fingerprint: u64, upstream: &SharedName, now: ClockTime) {
        let mut state = self.lock_at(now);
        let isolated = state.isolation.start(fingerprint, upstream, now);
        state.in_flight.start(fingerprint, upstream, isolated, now);
    }

    /// Records that a request is no longer in flight. Unless a connection to the upstream was lost
    /// since its start, the upstream has survived it.
    pub fn finish(&self, fingerprint: u64, upstream: &SharedName, now: ClockTime) {
        let mut state = self.lock_at(now);
        let survived = state.in_flight.finish(fingerprint, upstream);
        if survived {
            state.proven.record(fingerprint, &self.tuning, now);
            state.crashed.remove(upstream);
            state.clear_if_proven(fingerprint, &self.tuning, now);
        }
        if state.isolation.finish(fingerprint, upstream) {
            state.end_isolation(fingerprint, survived, &self.tuning, now);
        }
    }

    /// Cancels an isolated run that `check` reserved and that will not start.
    pub fn cancel_isolation(&self, fingerprint: u64, now: ClockTime) {
        let mut state = self.lock_at(now);
        if state.isolation.cancel(fingerprint) {
            state.end_isolation(fingerprint, false, &self.tuning, now);
        }
    }

    /// Records that a connection with an unfinished call was lost. Call it before `finish` for
    /// the calls on the connection.
    pub fn record_loss(&self, upstream: &SharedName, now: ClockTime) {
        let mut state = self.lock_at(now);
        state.detector.record_loss(upstream, &self.tuning, now);
        state.in_flight.record_loss(upstream, self.tuning.refusal_span, now);
    }

    /// Records a refused connect. If it shows that the upstream crashed, the notices about the
    /// requests in flight are returned, to be sent to all VMs.
    pub fn record_refusal(&self, upstream: &SharedName, now: ClockTime) -> Vec<SuspectNotice> {
        let mut state = self.lock_at(now);
        if state.detector.record_refusal(upstream, &self.tuning, now) {
            state.record_crash(upstream, &self.tuning, now)
        } else {
            Vec::new()
        }
    }

    /// Records that an upstream crashed and returns the notices about the requests in flight on
    /// it, to be sent to all VMs.
    pub fn record_crash(&self, upstream: &SharedName, now: ClockTime) -> Vec<SuspectNotice> {
        self.lock_at(now).record_crash(upstream, &self.tuning, now)
    }

    /// Merges the notice of another VM. Notices may arrive in any order and more than once.
    pub fn merge(&self, notice: &SuspectNotice, now: ClockTime) {
        let mut state = self.lock_at(now);
        let proven = state.is_proven(notice.fingerprint, &self.tuning, now);
        let record = state.record_mut(notice.fingerprint);
        let needs_reply = record.merge(notice, now);
        if (proven && record.mark_proven()) || needs_reply {
            state.mark_changed(notice.fingerprint);
        }
        state.clear_if_proven(notice.fingerprint, &self.tuning, now);
        let recent = |age: ClockSpan| age <= self.tuning.down_span;
        for incident in &notice.incidents {
            let at = now - incident.age;
            let known = state.guarded.entry(incident.upstream.clone()).or_insert(at);
            *known = at.max(*known);
        }
        for incident in notice.incidents.iter().filter(|incident| recent(incident.age)) {
            let at = now - incident.age;
            let known = state.crashed.entry(incident.upstream.clone()).or_insert(at);
            *known = at.max(*known);
        }
        state.evict(&self.tuning, now);
    }

    /// Discards all crashes of a fingerprint at the request of an operator, on this VM and on every
    /// VM that merges the notice.
    pub fn release(&self, fingerprint: u64) -> SuspectNotice {
        let mut state = self.state.lock();
        let now = state.latest;
        state.mark_changed(fingerprint);
        let record = state.record_mut(fingerprint);
        record.clear(now);
        record.to_notice(fingerprint, now)
    }

    /// Returns all fingerprints in the table.
    pub fn list(&self, now: ClockTime) -> Vec<SuspectEntry> {
        let state = self.state.lock();
        let entry = |(fingerprint, record): (&u64, &SuspectRecord)| SuspectEntry {
            fingerprint: *fingerprint,
            standing: record.status(&self.tuning, now),
            upstreams: record.upstreams().cloned().collect(),
            age: record.age(now),
        };
        state.records.iter().map(entry).collect()
    }

    /// Returns notices about changes since the last call, other than those that `record_crash` and
    /// `release` returned: cleared suspects, renewals and corrections.
    pub fn take_notices(&self, now: ClockTime) -> Vec<SuspectNotice> {
        let mut state = self.lock_at(now);
        let changed = std::mem::take(&mut state.changed);
        let notice = |fingerprint: u64| {
            state.records.get(&fingerprint).map(|record| record.to_notice(fingerprint, now))
        };
        changed.into_iter().filter_map(notice).collect()
    }

    /// Returns up to `limit` notices, a different part of the table in each call. Sending them
    /// regularly makes up for lost notices and informs VMs that start.
    pub fn export(&self, now: ClockTime, limit: usize) -> Vec<SuspectNotice> {
        let mut state = self.lock_at(now);
        state.purge(&self.tuning, now);
        let from = state.export_from;
        let records = state.records.range(from..).chain(state.records.range(..from));
        let notices: Vec<_> = records
            .take(limit)
            .map(|(fingerprint, record)| record.to_notice(*fingerprint, now))
            .collect();
        state.export_from = notices.last().map_or(0, |notice| notice.fingerprint.wrapping_add(1));
        notices
    }

    /// Returns the notices from which a VM that starts learns what this one knows: suspects, and
    /// releases and clearings that a VM may have missed. Of more than [`SuspectTuning::copied`], the
    /// confirmed and the newest ones.
    pub fn copy(&self, now: ClockTime) -> Vec<SuspectNotice> {
        let state = self.state.lock();
        let mut known: Vec<_> = state.relevant_records(&self.tuning, now).collect();
        known.sort_by_key(|(_, record)| {
            (Reverse(record.status(&self.tuning, now)), record.age(now))
        });
        known.truncate(self.tuning.copied);
        known.iter().map(|(fingerprint, record)| record.to_notice(**fingerprint, now)).collect()
    }

    /// Returns a digest of what [`SuspectTable::copy`] is taken from. VMs that know the same have
    /// the same digest; a VM that knows nothing has 0.
    pub fn digest(&self, now: ClockTime) -> u64 {
        let state = self.state.lock();
        let records = state.relevant_records(&self.tuning, now);
        records.fold(0, |digest, (fingerprint, record)| digest ^ record.digest(*fingerprint))
    }

    /// Returns the owner VM that must grant an isolated run of a suspect before this VM may perform
    /// it, or `None` if no grant is needed or none would be given yet.
    pub fn isolation_owner(&self, fingerprint: u64, now: ClockTime) -> Option<SharedName> {
        let state = self.state.lock();
        let suspected = state.status(fingerprint, &self.tuning, now) == SuspectStatus::Suspected;
        let settled = state.is_settled(fingerprint, &self.tuning, now);
        let owner = state.owner_of(fingerprint).filter(|owner| **owner != self.vm);
        owner.filter(|_| suspected && settled).cloned()
    }

    /// Decides, on the owner VM, whether `vm` may perform an isolated run now.
    pub fn grant(&self, fingerprint: u64, vm: &SharedName, now: ClockTime) -> bool {
        let mut state = self.lock_at(now);
        let owned = state.owner_of(fingerprint).is_some_and(|owner| *owner == self.vm);
        owned
            && state.status(fingerprint, &self.tuning, now) == SuspectStatus::Suspected
            && state.is_settled(fingerprint, &self.tuning, now)
            && state.isolation.grant(fingerprint, vm, &self.tuning, now)
    }

    /// Stores a grant of `owner`; `asked` is the time at which this VM requested it. The next
    /// `check` may return `RunIsolated`.
    pub fn accept_grant(&self, fingerprint: u64, owner: SharedName, asked: ClockTime) {
        let mut state = self.lock_at(asked);
        state.grants.retain(|_, grant| asked.since(grant.since) <= self.tuning.isolation_span);
        state.grants.insert(fingerprint, HeldGrant { owner, since: asked });
    }

    /// Ends, on the owner VM, the grant of `vm`, and counts the run if the upstream survived it.
    pub fn release_grant(&self, report: &GrantReport, vm: &SharedName, now: ClockTime) {
        let mut state = self.lock_at(now);
        if state.isolation.release_grant(report.fingerprint, vm) && report.survived {
            state.count_run(report.fingerprint, &self.tuning, now);
        }
    }

    /// Returns the results of granted runs, to be sent to their owner VMs.
    pub fn take_reports(&self) -> Vec<GrantReport> {
        std::mem::take(&mut self.state.lock().reports)
    }

    /// Locks the state and records `now` as the time of the call.
    fn lock_at(&self, now: ClockTime) -> impl DerefMut<Target = TableState> {
        let mut state = self.state.lock();
        state.latest = state.latest.max(now);
        state
    }
}
