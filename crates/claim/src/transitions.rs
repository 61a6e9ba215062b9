//! Effects of the store's answers, and of the end of dispatched work, on one claim.

use std::sync::Arc;

use base::prelude::*;
use store::row::RowExpect;

use crate::answer::{ReplayAnswer, StoredAnswer};
use crate::entry::{ClaimPhase, PendingRequest};
use crate::event::{ClaimAction, ClaimRefusal, PendingId, StoreFailure, WorkOutcome};
use crate::group::{PendingWrite, WriteKind};
use crate::machine::{ClaimMachine, ClaimTimer};
use crate::row::{ClaimRow, ClaimState, ReadClaim};

impl ClaimMachine {
    /// Handles a write that was applied.
    pub(crate) fn write_applied(&mut self, write: &PendingWrite, version: u64, now: ClockTime) {
        match write.kind {
            WriteKind::Claim => self.claim_stored(&write.key, version, now),
            WriteKind::Outcome => self.outcome_stored(&write.key, version, now),
            WriteKind::MarkUnknown => self.unknown_marked(&write.key),
        }
    }

    /// Handles a write whose row did not meet its condition.
    pub(crate) fn write_conflicted(
        &mut self,
        write: &PendingWrite,
        found: ReadClaim,
        now: ClockTime,
    ) {
        match write.kind {
            WriteKind::Claim => self.claim_found(&write.key, found, now),
            WriteKind::Outcome => self.outcome_found(&write.key, found, now),
            WriteKind::MarkUnknown => {
                if let Some(claim) = self.claims.get_mut(&write.key) {
                    claim.phase = ClaimPhase::HeldElsewhere;
                }
                self.claim_found(&write.key, found, now);
            }
        }
    }

    /// Queues a write again that was not applied, for a reason other than its own row, unless its
    /// claim was abandoned.
    pub(crate) fn requeue(&mut self, write: PendingWrite, now: ClockTime) {
        if let Some(claim) = self.claims.get(&write.key) {
            match claim.phase {
                ClaimPhase::Abandoned { expect, .. } if claim.maybe_stored => {
                    self.store_outcome(&write.key, expect, ClaimState::Released, None, now);
                }
                ClaimPhase::Abandoned { .. } => self.forget(&write.key, now),
                _ => self.push(PendingWrite { due: now, requeued: true, ..write }),
            }
        }
    }

    /// Handles a write that was not applied and never will be.
    pub(crate) fn write_not_done(
        &mut self,
        write: PendingWrite,
        failure: StoreFailure,
        now: ClockTime,
    ) {
        let due = now + self.tuning.outcome_linger;
        match (write.kind, failure) {
            (WriteKind::Outcome, StoreFailure::Rejected) => self.give_up_outcome(&write.key, now),
            (WriteKind::Outcome, _) | (WriteKind::Claim, StoreFailure::Busy) => {
                self.requeue(PendingWrite { due, ..write }, now);
            }
            (WriteKind::Claim, StoreFailure::Down | StoreFailure::Rejected) => {
                self.refuse_all(&write.key, ClaimRefusal::StoreDown);
                self.requeue(write.clone(), now);
                self.drop_unwanted(&write.key, 0, now);
            }
            (WriteKind::MarkUnknown, _) => self.mark_failed(&write.key),
        }
    }

    /// Handles a write that may have been applied. Returns whether its row has to be read.
    pub(crate) fn write_unknown(&mut self, write: &PendingWrite, now: ClockTime) -> bool {
        let read_back = self.tuning.guards.read_back;
        let Some(claim) = self.claims.get_mut(&write.key) else { return false };
        claim.maybe_stored |= write.kind == WriteKind::Claim;
        match claim.phase {
            ClaimPhase::Writing { .. } if !read_back => {
                self.claim_stored(&write.key, 0, now);
                false
            }
            ClaimPhase::Writing { expect } => {
                claim.phase = ClaimPhase::Reading { expect };
                true
            }
            ClaimPhase::Abandoned { expect, .. } => {
                self.store_outcome(&write.key, expect, ClaimState::Released, None, now);
                false
            }
            ClaimPhase::MarkingUnknown => {
                claim.phase = ClaimPhase::HeldElsewhere;
                true
            }
            ClaimPhase::Storing { .. } => true,
            _ => false,
        }
    }

    /// Handles a row that was read.
    pub(crate) fn row_read(&mut self, key: &SharedName, found: ReadClaim, now: ClockTime) {
        let phase = self.claims.get(key).map(|claim| &claim.phase);
        match phase {
            Some(ClaimPhase::Reading { .. } | ClaimPhase::HeldElsewhere) => {
                self.claim_found(key, found, now);
            }
            Some(ClaimPhase::Storing { .. }) if !self.queue.contains(key) => {
                self.outcome_found(key, found, now);
            }
            _ => {}
        }
    }

    /// Handles a row that could not be read.
    pub(crate) fn row_read_failed(
        &mut self,
        key: &SharedName,
        failure: StoreFailure,
        now: ClockTime,
    ) {
        let Some(claim) = self.claims.get(key) else { return };
        match (&claim.phase, failure) {
            (ClaimPhase::Reading { .. } | ClaimPhase::HeldElsewhere, StoreFailure::Busy) => {
                let retry_at = now + self.retry_gap();
                self.set_timer(retry_at, ClaimTimer::Read(key.clone()));
            }
            (ClaimPhase::Reading { .. }, StoreFailure::Down | StoreFailure::Rejected) => {
                self.refuse_all(key, ClaimRefusal::StoreDown);
                self.drop_unwanted(key, 0, now);
            }
            (ClaimPhase::HeldElsewhere, StoreFailure::Down | StoreFailure::Rejected) => {
                for pending in self.take_waiting(key) {
                    self.actions.push(ClaimAction::InProgress { pending });
                }
                self.drop_unwanted(key, 0, now);
            }
            (ClaimPhase::Storing { .. }, _) if !self.queue.contains(key) => {
                self.push_outcome(key, false, now);
            }
            _ => {}
        }
    }

    /// Continues once this VM's claim is known to be in the store with `version`.
    fn claim_stored(&mut self, key: &SharedName, version: u64, now: ClockTime) {
        let Some(claim) = self.claims.get_mut(key) else { return };
        match claim.phase {
            ClaimPhase::Abandoned { pending, .. }
                if !self.tuning.guards.no_dispatch_after_refusal =>
            {
                self.grant(key, version, pending);
            }
            ClaimPhase::Writing { .. } | ClaimPhase::Reading { .. }
                if !claim.waiting.is_empty() =>
            {
                let PendingRequest { pending, deadline } = claim.waiting.remove(0);
                self.timers.remove(&(deadline, ClaimTimer::Deadline(pending)));
                self.grant(key, version, pending);
            }
            _ => {
                let expect = RowExpect::Version(version);
                self.store_outcome(key, expect, ClaimState::Released, None, now);
            }
        }
    }

    fn grant(&mut self, key: &SharedName, version: u64, pending: PendingId) {
        let Some(claim) = self.claims.get_mut(key) else { return };
        claim.phase = ClaimPhase::Granted { version, dispatched: pending };
        let attempt = claim.attempt.clone();
        self.actions.push(ClaimAction::Dispatch { pending, key: key.clone(), attempt });
    }

    /// Handles the store's row for a key that this VM wants to claim.
    fn claim_found(&mut self, key: &SharedName, found: ReadClaim, now: ClockTime) {
        let Some(claim) = self.claims.get(key) else { return };
        let abandoned = matches!(claim.phase, ClaimPhase::Abandoned { .. });
        match found {
            ReadClaim::Present(version, row) if row.attempt == claim.attempt => {
                self.own_claim_found(key, version, &row.state, now);
            }
            // The condition of the claim's write no longer holds, so that it cannot commit later.
            _ if abandoned => self.forget(key, now),
            ReadClaim::Absent => self.write_claim(key, RowExpect::Absent, true, now),
            ReadClaim::Malformed => {
                self.refuse_all(key, ClaimRefusal::Unreadable);
                self.claims.remove(key);
            }
            ReadClaim::Present(_, row)
                if self.tuning.guards.body_check && row.body != claim.body =>
            {
                self.refuse_all(key, ClaimRefusal::OtherBody);
                self.claims.remove(key);
            }
            ReadClaim::Present(version, row) => self.other_claim_found(key, version, row, now),
        }
    }

    fn own_claim_found(
        &mut self,
        key: &SharedName,
        version: u64,
        state: &ClaimState,
        now: ClockTime,
    ) {
        if *state == ClaimState::Claimed {
            return self.claim_stored(key, version, now);
        }
        // Another VM marked the claim as unknown before this VM knew that it was stored. Nothing
        // was dispatched, and a new attempt would be refused.
        self.refuse_all(key, ClaimRefusal::StoreSlow);
        self.claims.remove(key);
    }

    fn other_claim_found(&mut self, key: &SharedName, version: u64, row: ClaimRow, now: ClockTime) {
        match row.state {
            ClaimState::Finished(answer) => {
                self.respond_all(key, &ReplayAnswer::from(answer));
                self.claims.remove(key);
            }
            ClaimState::Released => self.write_claim(key, RowExpect::Version(version), true, now),
            ClaimState::Unknown => {
                self.report_unknown_all(key);
                self.claims.remove(key);
            }
            ClaimState::Claimed if self.is_holder_gone(&row) => {
                self.mark_unknown(key, version, &row, now)
            }
            ClaimState::Claimed => {
                if let Some(claim) = self.claims.get_mut(key) {
                    claim.phase = ClaimPhase::HeldElsewhere;
                }
                let poll_at = now + self.tuning.poll_gap;
                self.set_timer(poll_at, ClaimTimer::Read(key.clone()));
            }
        }
    }

    fn mark_unknown(&mut self, key: &SharedName, version: u64, row: &ClaimRow, now: ClockTime) {
        let expect = RowExpect::Version(version);
        if !self.tuning.guards.no_takeover {
            return self.write_claim(key, expect, true, now);
        }
        if let Some(claim) = self.claims.get_mut(key) {
            claim.phase = ClaimPhase::MarkingUnknown;
        }
        let row = row.with_state(ClaimState::Unknown);
        let (key, kind) = (key.clone(), WriteKind::MarkUnknown);
        self.push(PendingWrite { key, kind, expect, row, due: now, requeued: true, alone: false });
    }

    /// Continues after another VM's claim could not be marked as unknown. Its holder may still
    /// release it, so that "unknown" is not yet final.
    fn mark_failed(&mut self, key: &SharedName) {
        for pending in self.take_waiting(key) {
            self.actions.push(ClaimAction::InProgress { pending });
        }
        self.claims.remove(key);
    }

    /// Continues after another VM's claim was marked as unknown.
    fn unknown_marked(&mut self, key: &SharedName) {
        self.report_unknown_all(key);
        self.claims.remove(key);
    }

    /// Handles the end of dispatched work.
    pub(crate) fn work_ended(
        &mut self,
        key: &SharedName,
        attempt: &SharedName,
        outcome: WorkOutcome,
        now: ClockTime,
    ) {
        let Some(claim) = self.claims.get(key) else { return };
        let ClaimPhase::Granted { version, dispatched } = claim.phase else { return };
        if claim.attempt != *attempt {
            return;
        }
        self.request_keys.remove(&dispatched);
        let expect = RowExpect::Version(version);
        match outcome {
            WorkOutcome::Finished(answer) => {
                let state = ClaimState::Finished(answer.to_row(self.tuning.inline_bytes));
                self.store_outcome(key, expect, state, Some(Arc::new(answer)), now);
            }
            WorkOutcome::Released(_) => {
                self.store_outcome(key, expect, ClaimState::Released, None, now)
            }
            WorkOutcome::Unknown => self.store_outcome(key, expect, ClaimState::Unknown, None, now),
        }
    }

    /// Starts to store an outcome and answers the requests that wait for it.
    pub(crate) fn store_outcome(
        &mut self,
        key: &SharedName,
        expect: RowExpect,
        state: ClaimState,
        answer: Option<Arc<StoredAnswer>>,
        now: ClockTime,
    ) {
        let Some(claim) = self.claims.get_mut(key) else { return };
        claim.phase = ClaimPhase::Storing { expect, state: state.clone(), answer: answer.clone() };
        if let Some(answer) = answer {
            self.answer_bytes += answer.body.len();
            self.respond_all(key, &ReplayAnswer::Whole(answer));
        } else if state == ClaimState::Unknown {
            self.report_unknown_all(key);
        }
        match state {
            ClaimState::Finished(row) if row.object().is_some() => self.store_body(key),
            _ => self.push_outcome(key, false, now),
        }
    }

    /// Requests that the body of an answer be stored. The row is written afterwards.
    pub(crate) fn store_body(&mut self, key: &SharedName) {
        let Some(claim) = self.claims.get(key) else { return };
        let ClaimPhase::Storing { state: ClaimState::Finished(row), answer: Some(answer), .. } =
            &claim.phase
        else {
            return;
        };
        if let Some(digest) = row.object() {
            let action = ClaimAction::StoreBody {
                key: key.clone(),
                attempt: claim.attempt.clone(),
                digest: digest.clone(),
                bytes: answer.body.clone(),
            };
            self.actions.push(action);
        }
    }

    /// Handles the end of storing the body of an answer.
    pub(crate) fn body_stored(
        &mut self,
        key: &SharedName,
        attempt: &SharedName,
        stored: bool,
        now: ClockTime,
    ) {
        let current = self.claims.get(key).is_some_and(|claim| {
            claim.attempt == *attempt && matches!(claim.phase, ClaimPhase::Storing { .. })
        });
        if current && stored {
            self.push_outcome(key, false, now);
        } else if current {
            let retry_at = now + self.retry_gap();
            self.set_timer(retry_at, ClaimTimer::Body(key.clone()));
        }
    }

    fn push_outcome(&mut self, key: &SharedName, requeued: bool, now: ClockTime) {
        let Some(claim) = self.claims.get(key) else { return };
        let ClaimPhase::Storing { expect, state, .. } = &claim.phase else { return };
        let (expect, row) = (*expect, self.own_row(key, state.clone()));
        // A released claim for which requests wait is written at once.
        let urgent = requeued || !claim.waiting.is_empty();
        let linger = if urgent { ClockSpan::ZERO } else { self.linger(self.tuning.outcome_linger) };
        let (key, kind) = (key.clone(), WriteKind::Outcome);
        self.push(PendingWrite {
            key,
            kind,
            expect,
            row,
            due: now + linger,
            requeued,
            alone: false,
        });
    }

    /// Handles an outcome that the store never accepts. Its row becomes unknown when this VM is no
    /// longer on the membership list.
    fn give_up_outcome(&mut self, key: &SharedName, now: ClockTime) {
        tracing::error!(event = 1504, %key, "outcome was rejected by the store");
        match self.claims.get(key).and_then(|claim| claim.answer().cloned()) {
            Some(answer) => self.cache(key, answer, now),
            None => {
                self.refuse_all(key, ClaimRefusal::StoreDown);
                self.remove(key);
            }
        }
    }

    fn outcome_stored(&mut self, key: &SharedName, version: u64, now: ClockTime) {
        let Some(claim) = self.claims.get_mut(key) else { return };
        let ClaimPhase::Storing { answer, .. } = &claim.phase else { return };
        match answer.clone() {
            Some(answer) => self.cache(key, answer, now),
            None if claim.waiting.is_empty() => {
                self.claims.remove(key);
            }
            None => self.claim_again(key, RowExpect::Version(version), now),
        }
    }

    /// Handles the store's row for a key whose outcome this VM wants to store.
    fn outcome_found(&mut self, key: &SharedName, found: ReadClaim, now: ClockTime) {
        let Some(claim) = self.claims.get_mut(key) else { return };
        let attempt = claim.attempt.clone();
        let ClaimPhase::Storing { expect, state, .. } = &mut claim.phase else { return };
        let finished = matches!(state, ClaimState::Finished(_));
        match found {
            ReadClaim::Present(version, row) if row.attempt == attempt => {
                if row.state == *state {
                    return self.outcome_stored(key, version, now);
                }
                let is_final = row.state == ClaimState::Unknown && !finished;
                if is_final && self.tuning.guards.unknown_is_final {
                    self.report_unknown_all(key);
                    self.claims.remove(key);
                    return;
                }
                *expect = RowExpect::Version(version);
                self.push_outcome(key, true, now);
            }
            // Only the expiry of rows removes the row of a claim that was dispatched.
            ReadClaim::Absent if finished || *expect == RowExpect::Absent => {
                *expect = RowExpect::Absent;
                self.push_outcome(key, true, now);
            }
            // An abandoned claim that is not in the store yet.
            ReadClaim::Present(version, _) if *expect == RowExpect::Version(version) => {
                self.push_outcome(key, true, now);
            }
            _ => self.forget(key, now),
        }
    }

    /// Ends an attempt without an outcome to store. Waiting requests get a new attempt.
    fn forget(&mut self, key: &SharedName, now: ClockTime) {
        match self.claims.get(key) {
            Some(claim) if !claim.waiting.is_empty() => {
                self.claim_again(key, RowExpect::Absent, now);
            }
            Some(_) => self.remove(key),
            None => {}
        }
    }

    /// Claims a key with a new attempt for the requests that wait.
    fn claim_again(&mut self, key: &SharedName, expect: RowExpect, now: ClockTime) {
        let attempt = self.next_attempt();
        let at_ms = self.epoch_ms + now.as_millis();
        if let Some(claim) = self.claims.get_mut(key) {
            claim.attempt = attempt;
            claim.at_ms = at_ms;
            claim.maybe_stored = false;
            self.write_claim(key, expect, true, now);
        }
    }

    fn cache(&mut self, key: &SharedName, answer: Arc<StoredAnswer>, now: ClockTime) {
        let has_room = self.cached < self.tuning.key_limit
            && self.answer_bytes <= self.tuning.answer_bytes / 2;
        match self.claims.get_mut(key) {
            Some(claim) if has_room => {
                claim.phase = ClaimPhase::Cached { answer };
                self.cached += 1;
                let drop_at = now + self.tuning.cache_span;
                self.set_timer(drop_at, ClaimTimer::Uncache(key.clone()));
            }
            _ => self.remove(key),
        }
    }

    pub(crate) fn uncache(&mut self, key: &SharedName) {
        if self.claims.get(key).is_some_and(|claim| claim.is_cached()) {
            self.cached -= 1;
            self.remove(key);
        }
    }

    fn remove(&mut self, key: &SharedName) {
        if let Some(claim) = self.claims.remove(key) {
            let bytes = claim.answer().map_or(0, |answer| answer.body.len());
            self.answer_bytes -= bytes;
        }
    }
}
