//! The state machine that decides on the claims of one VM.
//!
//! This module handles arriving requests, deadlines and the queue of transactions.
//! `transitions` handles the effects of the store's answers on one claim.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use store::row::{RowConflict, RowEntry, RowExpect, RowKey};
use world::vm::VmIdentity;

use crate::answer::ReplayAnswer;
use crate::entry::{ClaimPhase, LocalClaim, PendingRequest};
use crate::event::{
    ClaimAction, ClaimEvent, ClaimRefusal, ClaimRequest, GroupId, PendingId, StoreFailure,
};
use crate::group::{GroupQueue, PendingWrite, WriteKind};
use crate::members::{MemberHistory, VmIncarnation};
use crate::row::{CLAIM_TABLE, ClaimRow, ClaimState, ReadClaim};
use crate::tuning::ClaimTuning;

/// The key that is read to check whether the store answers again. It never has a row.
const STORE_CHECK_KEY: &str = "";

/// What is due at a certain time.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum ClaimTimer {
    /// The wait of a request ends.
    Deadline(PendingId),
    /// A row is read again.
    Read(SharedName),
    /// Storing the body of an answer is tried again.
    Body(SharedName),
    /// An answer is dropped from memory.
    Uncache(SharedName),
}

/// The claims of one VM, without I/O. The caller carries out the actions that
/// [`handle`](Self::handle) returns.
#[derive(Clone, Debug)]
pub struct ClaimMachine {
    pub(crate) identity: VmIdentity,
    pub(crate) epoch_ms: u64,
    pub(crate) tuning: ClaimTuning,
    pub(crate) random: RandomSource,
    pub(crate) claims: BTreeMap<SharedName, LocalClaim>,
    /// The keys of the requests that wait or whose work was dispatched.
    pub(crate) request_keys: BTreeMap<PendingId, SharedName>,
    pub(crate) timers: BTreeSet<(ClockTime, ClaimTimer)>,
    pub(crate) queue: GroupQueue,
    pub(crate) members: MemberHistory,
    /// Number of attempt ids given out.
    pub(crate) attempts: u64,
    /// Number of claims in the phase [`ClaimPhase::Cached`].
    pub(crate) cached: usize,
    /// Bytes of the bodies of answers in memory.
    pub(crate) answer_bytes: usize,
    /// Actions that the current call returns.
    pub(crate) actions: Vec<ClaimAction>,
    /// While the store is down: when it is checked next.
    down_check_at: Option<ClockTime>,
    /// While the store is overloaded: when it is used again.
    busy_until: Option<ClockTime>,
    /// The time of the last [`ClaimAction::Wait`].
    scheduled_wake: Option<ClockTime>,
    stopping: bool,
}

impl ClaimMachine {
    /// Creates a machine without claims. `epoch_ms` is the time of the clock's start in
    /// milliseconds since the Unix epoch; it is used only for the timestamps of rows.
    pub fn new(identity: VmIdentity, epoch_ms: u64, tuning: ClaimTuning, seed: u64) -> Self {
        Self {
            identity,
            epoch_ms,
            tuning,
            random: RandomSource::from_seed(seed),
            claims: BTreeMap::new(),
            request_keys: BTreeMap::new(),
            timers: BTreeSet::new(),
            queue: GroupQueue::default(),
            members: MemberHistory::default(),
            attempts: 0,
            cached: 0,
            answer_bytes: 0,
            actions: Vec::new(),
            down_check_at: None,
            busy_until: None,
            scheduled_wake: None,
            stopping: false,
        }
    }

    /// Applies an event and returns the resulting actions.
    pub fn handle(&mut self, event: ClaimEvent, now: ClockTime) -> Vec<ClaimAction> {
        match event {
            ClaimEvent::Arrived { pending, request } => self.arrived(pending, request, now),
            ClaimEvent::CallerLeft { pending } => self.caller_left(pending, now),
            ClaimEvent::Committed { group, versions } => self.committed(group, &versions, now),
            ClaimEvent::Conflicted { group, conflicts } => self.conflicted(group, &conflicts, now),
            ClaimEvent::NotDone { group, failure } => self.not_done(group, failure, now),
            ClaimEvent::OutcomeUnknown { group } => self.outcome_unknown(group, now),
            ClaimEvent::RowsRead { row_keys, entries } => self.rows_read(&row_keys, &entries, now),
            ClaimEvent::ReadFailed { row_keys, failure } => {
                self.read_failed(&row_keys, failure, now)
            }
            ClaimEvent::WorkEnded { key, attempt, outcome } => {
                self.work_ended(&key, &attempt, outcome, now);
            }
            ClaimEvent::BodyStored { key, attempt, stored } => {
                self.body_stored(&key, &attempt, stored, now);
            }
            ClaimEvent::Members { members, age } => self.members.record(members, now - age),
            ClaimEvent::Stopping => self.stopping = true,
            ClaimEvent::Timer => {}
        }
        self.fire_timers(now);
        self.start_group(now);
        self.schedule_wake();
        std::mem::take(&mut self.actions)
    }

    /// Returns when the next timer event is needed.
    pub fn next_wake(&self) -> Option<ClockTime> {
        let timer = self.timers.first().map(|(time, _)| *time);
        let group = match (self.down_check_at, self.busy_until) {
            (Some(retry_at), _) => Some(retry_at),
            (None, Some(retry_at)) => self.queue.next_due().map(|due| due.max(retry_at)),
            (None, None) => self.queue.next_due(),
        };
        timer.into_iter().chain(group).min()
    }

    /// Returns whether the store is known to be down.
    pub fn is_down(&self) -> bool {
        self.down_check_at.is_some()
    }

    /// Returns whether no claim is in progress and every outcome is stored.
    pub fn is_settled(&self) -> bool {
        self.queue.is_empty() && self.claims.len() == self.cached
    }

    /// Returns how many keys are in memory.
    pub fn key_count(&self) -> usize {
        self.claims.len()
    }

    fn arrived(&mut self, pending: PendingId, request: ClaimRequest, now: ClockTime) {
        if let Some(claim) = self.claims.get(&request.key) {
            if self.tuning.guards.body_check && claim.body != request.body {
                return self.refuse(pending, ClaimRefusal::OtherBody);
            }
            if let Some(answer) = claim.answer() {
                let answer = ReplayAnswer::Whole(answer.clone());
                return self.actions.push(ClaimAction::Respond { pending, answer });
            }
            if matches!(claim.phase, ClaimPhase::Storing { state: ClaimState::Unknown, .. }) {
                return self.actions.push(ClaimAction::ReportUnknown { pending });
            }
            if claim.runs_elsewhere() || self.down_check_at.is_none() {
                return self.add_waiting(pending, &request, now);
            }
        }
        match self.refusal() {
            Some(reason) => self.refuse(pending, reason),
            None => self.start_claim(pending, &request, now),
        }
    }

    fn refusal(&self) -> Option<ClaimRefusal> {
        let full = self.claims.len() - self.cached >= self.tuning.key_limit
            || self.queue.len() >= self.tuning.queue_limit
            || self.answer_bytes >= self.tuning.answer_bytes;
        match () {
            () if self.stopping => Some(ClaimRefusal::Stopping),
            () if self.down_check_at.is_some() => Some(ClaimRefusal::StoreDown),
            () if full => Some(ClaimRefusal::Full),
            () => None,
        }
    }

    fn start_claim(&mut self, pending: PendingId, request: &ClaimRequest, now: ClockTime) {
        let claim = LocalClaim {
            attempt: self.next_attempt(),
            body: request.body.clone(),
            at_ms: self.epoch_ms + now.as_millis(),
            phase: ClaimPhase::Writing { expect: RowExpect::Absent },
            waiting: Vec::new(),
            maybe_stored: false,
        };
        self.claims.insert(request.key.clone(), claim);
        self.add_waiting(pending, request, now);
        self.write_claim(&request.key, RowExpect::Absent, false, now);
    }

    fn add_waiting(&mut self, pending: PendingId, request: &ClaimRequest, now: ClockTime) {
        let deadline = request.deadline.min(now + self.tuning.request_wait);
        if let Some(claim) = self.claims.get_mut(&request.key) {
            claim.waiting.push(PendingRequest { pending, deadline });
            self.request_keys.insert(pending, request.key.clone());
            self.timers.insert((deadline, ClaimTimer::Deadline(pending)));
        }
    }

    fn caller_left(&mut self, pending: PendingId, now: ClockTime) {
        let Some(key) = self.remove_pending(pending) else { return };
        let Some(claim) = self.claims.get_mut(&key) else { return };
        match claim.phase {
            ClaimPhase::Granted { version, dispatched } if dispatched == pending => {
                self.store_outcome(
                    &key,
                    RowExpect::Version(version),
                    ClaimState::Released,
                    None,
                    now,
                );
            }
            _ => self.drop_unwanted(&key, pending, now),
        }
    }

    fn deadline_passed(&mut self, pending: PendingId, now: ClockTime) {
        let Some(key) = self.request_keys.get(&pending).cloned() else { return };
        let Some(claim) = self.claims.get(&key) else { return };
        if claim.waiting.iter().all(|waiting| waiting.pending != pending) {
            return;
        }
        if claim.runs_elsewhere() {
            self.actions.push(ClaimAction::InProgress { pending });
        } else {
            self.refuse(pending, ClaimRefusal::StoreSlow);
        }
        self.remove_pending(pending);
        self.drop_unwanted(&key, pending, now);
    }

    /// Removes a request from its claim and from `request_keys`.
    fn remove_pending(&mut self, pending: PendingId) -> Option<SharedName> {
        let key = self.request_keys.remove(&pending)?;
        if let Some(claim) = self.claims.get_mut(&key) {
            let position = claim.waiting.iter().position(|waiting| waiting.pending == pending);
            if let Some(position) = position {
                let waiting = claim.waiting.remove(position);
                self.timers.remove(&(waiting.deadline, ClaimTimer::Deadline(pending)));
            }
        }
        Some(key)
    }

    /// Drops a claim for which no request waits and whose work was not dispatched. `pending` is the
    /// request that waited last, or 0 if all of them were answered together.
    pub(crate) fn drop_unwanted(&mut self, key: &SharedName, pending: PendingId, now: ClockTime) {
        let Some(claim) = self.claims.get_mut(key) else { return };
        if !claim.waiting.is_empty() {
            return;
        }
        match claim.phase {
            ClaimPhase::Writing { expect } => {
                let maybe_stored = claim.maybe_stored;
                if !self.queue.remove(key) {
                    claim.phase = ClaimPhase::Abandoned { expect, pending };
                } else if maybe_stored {
                    self.store_outcome(key, expect, ClaimState::Released, None, now);
                } else {
                    self.claims.remove(key);
                }
            }
            ClaimPhase::Reading { expect } => {
                self.store_outcome(key, expect, ClaimState::Released, None, now);
            }
            ClaimPhase::HeldElsewhere => {
                self.claims.remove(key);
            }
            _ => {}
        }
    }

    /// Queues a write that claims `key` for this VM. A requeued one does not wait for others.
    pub(crate) fn write_claim(
        &mut self,
        key: &SharedName,
        expect: RowExpect,
        requeued: bool,
        now: ClockTime,
    ) {
        let Some(claim) = self.claims.get_mut(key) else { return };
        claim.phase = ClaimPhase::Writing { expect };
        let row = self.own_row(key, ClaimState::Claimed);
        let expect = if self.tuning.guards.conditional_claim { expect } else { RowExpect::Any };
        let due = if requeued { now } else { now + self.linger(self.tuning.claim_linger) };
        self.push(PendingWrite {
            key: key.clone(),
            kind: WriteKind::Claim,
            expect,
            row,
            due,
            requeued,
            alone: false,
        });
    }

    pub(crate) fn push(&mut self, write: PendingWrite) {
        self.queue.push(write);
    }

    pub(crate) fn linger(&self, span: ClockSpan) -> ClockSpan {
        if self.stopping { ClockSpan::ZERO } else { span }
    }

    /// Returns the row of this VM's claim of `key`.
    pub(crate) fn own_row(&self, key: &SharedName, state: ClaimState) -> ClaimRow {
        let claim = &self.claims[key];
        ClaimRow {
            attempt: claim.attempt.clone(),
            vm: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            body: claim.body.clone(),
            at_ms: claim.at_ms,
            state,
        }
    }

    pub(crate) fn next_attempt(&mut self) -> SharedName {
        self.attempts += 1;
        let VmIdentity { name, incarnation, .. } = &self.identity;
        SharedName::from(format!("{name}.{incarnation}.{}", self.attempts))
    }

    pub(crate) fn refuse(&mut self, pending: PendingId, reason: ClaimRefusal) {
        self.actions.push(ClaimAction::Refuse { pending, reason });
    }

    /// Removes all waiting requests from the claim of `key` and returns them.
    pub(crate) fn take_waiting(&mut self, key: &SharedName) -> Vec<PendingId> {
        let Some(claim) = self.claims.get_mut(key) else { return Vec::new() };
        let waiting = std::mem::take(&mut claim.waiting);
        for PendingRequest { pending, deadline } in &waiting {
            self.request_keys.remove(pending);
            self.timers.remove(&(*deadline, ClaimTimer::Deadline(*pending)));
        }
        waiting.into_iter().map(|waiting| waiting.pending).collect()
    }

    pub(crate) fn refuse_all(&mut self, key: &SharedName, reason: ClaimRefusal) {
        for pending in self.take_waiting(key) {
            self.refuse(pending, reason);
        }
    }

    pub(crate) fn report_unknown_all(&mut self, key: &SharedName) {
        for pending in self.take_waiting(key) {
            self.actions.push(ClaimAction::ReportUnknown { pending });
        }
    }

    pub(crate) fn respond_all(&mut self, key: &SharedName, answer: &ReplayAnswer) {
        for pending in self.take_waiting(key) {
            self.actions.push(ClaimAction::Respond { pending, answer: answer.clone() });
        }
    }

    pub(crate) fn set_timer(&mut self, time: ClockTime, timer: ClaimTimer) {
        self.timers.insert((time, timer));
    }

    fn committed(&mut self, group: GroupId, versions: &[u64], now: ClockTime) {
        self.store_answered();
        for (write, version) in self.queue.end(group).iter().zip(versions) {
            self.write_applied(write, *version, now);
        }
    }

    fn conflicted(&mut self, group: GroupId, conflicts: &[RowConflict], now: ClockTime) {
        self.store_answered();
        for (index, write) in self.queue.end(group).into_iter().enumerate() {
            match conflicts.iter().find(|conflict| conflict.index == index) {
                Some(RowConflict { version, value, .. }) => {
                    let found = ReadClaim::from_parts(*version, value.as_ref());
                    self.write_conflicted(&write, found, now);
                }
                None => self.requeue(write, now),
            }
        }
    }

    fn not_done(&mut self, group: GroupId, failure: StoreFailure, now: ClockTime) {
        let writes = self.queue.end(group);
        self.store_failed(failure, now);
        let several = writes.len() > 1;
        for write in writes {
            if several && failure == StoreFailure::Rejected {
                self.requeue(PendingWrite { alone: true, ..write }, now);
            } else {
                self.write_not_done(write, failure, now);
            }
        }
    }

    fn outcome_unknown(&mut self, group: GroupId, now: ClockTime) {
        let writes = self.queue.end(group);
        let mut row_keys = Vec::new();
        for write in writes {
            if self.write_unknown(&write, now) {
                row_keys.push(ClaimRow::row_key(&write.key));
            }
        }
        if !row_keys.is_empty() {
            self.actions.push(ClaimAction::Read { row_keys });
        }
    }

    fn rows_read(&mut self, row_keys: &[RowKey], entries: &[Option<RowEntry>], now: ClockTime) {
        self.store_answered();
        for (row_key, entry) in row_keys.iter().zip(entries) {
            self.row_read(&row_key.key, ReadClaim::from_entry(entry.as_ref()), now);
        }
    }

    fn read_failed(&mut self, row_keys: &[RowKey], failure: StoreFailure, now: ClockTime) {
        self.store_failed(failure, now);
        for row_key in row_keys {
            self.row_read_failed(&row_key.key, failure, now);
        }
    }

    fn store_answered(&mut self) {
        self.down_check_at = None;
        self.busy_until = None;
    }

    fn store_failed(&mut self, failure: StoreFailure, now: ClockTime) {
        let retry_at = now + self.retry_gap();
        match failure {
            StoreFailure::Rejected => self.store_answered(),
            StoreFailure::Busy => self.busy_until = Some(retry_at),
            StoreFailure::Down => {
                if self.down_check_at.is_none() {
                    self.refuse_waiting_claims(now);
                }
                self.down_check_at = Some(retry_at);
            }
        }
    }

    fn refuse_waiting_claims(&mut self, now: ClockTime) {
        for key in self.queue.waiting_claims() {
            self.refuse_all(&key, ClaimRefusal::StoreDown);
            self.drop_unwanted(&key, 0, now);
        }
    }

    /// Returns the retry gap with jitter, so that VMs do not try at the same time.
    pub(crate) fn retry_gap(&mut self) -> ClockSpan {
        self.tuning.retry_gap.scaled(0.5 + self.random.unit())
    }

    fn fire_timers(&mut self, now: ClockTime) {
        while self.timers.first().is_some_and(|(time, _)| *time <= now) {
            let Some((_, timer)) = self.timers.pop_first() else { return };
            match timer {
                ClaimTimer::Deadline(pending) => self.deadline_passed(pending, now),
                ClaimTimer::Read(key) => self.read_again(key),
                ClaimTimer::Body(key) => self.store_body(&key),
                ClaimTimer::Uncache(key) => self.uncache(&key),
            }
        }
    }

    fn read_again(&mut self, key: SharedName) {
        let phase = self.claims.get(&key).map(|claim| &claim.phase);
        if matches!(phase, Some(ClaimPhase::HeldElsewhere | ClaimPhase::Reading { .. })) {
            self.actions.push(ClaimAction::Read { row_keys: vec![ClaimRow::row_key(&key)] });
        }
    }

    fn start_group(&mut self, now: ClockTime) {
        if let Some(retry_at) = self.down_check_at {
            if retry_at <= now {
                self.down_check_at = Some(now + self.retry_gap());
                let row_keys = vec![RowKey::new(CLAIM_TABLE, STORE_CHECK_KEY)];
                self.actions.push(ClaimAction::Read { row_keys });
            }
            return;
        }
        if self.busy_until.is_some_and(|retry_at| retry_at > now) {
            return;
        }
        if let Some((group, writes)) = self.queue.start(self.tuning.group_size, now) {
            let attempt = self.next_attempt();
            self.actions.push(ClaimAction::Write { group, attempt, writes });
        }
    }

    fn schedule_wake(&mut self) {
        let next = self.next_wake();
        if next != self.scheduled_wake {
            self.scheduled_wake = next;
            self.actions.extend(next.map(|until| ClaimAction::Wait { until }));
        }
    }

    /// Returns whether the holder of a claim is no longer on the membership list.
    pub(crate) fn is_holder_gone(&self, row: &ClaimRow) -> bool {
        let holder = VmIncarnation { name: row.vm.clone(), incarnation: row.incarnation };
        self.members.is_gone(&holder, self.tuning.gone_after)
    }
}
