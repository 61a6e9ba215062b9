//! The attempts of one call, one after the other or side by side.

use std::marker::PhantomData;
use std::pin::pin;
use std::sync::Arc;

use base::prelude::*;
use codec::prelude::*;
use tokio::time::sleep_until;

use crate::attempt::{AttemptResult, CallAttempt, FailedAttempt, PlacedAttempt};
use crate::body::{CallBody, SendBody};
use crate::call::CallResponse;
use crate::desk::ServiceDesk;
use crate::plan::PlannedCall;
use crate::retry::{NextStep, RetryRecord};
use crate::state::GateState;
use crate::time::UpstreamTime;

/// The part of the objective after which a second copy of a call still has time to be answered
/// within it, if calls of the service take less than the rest.
const HEDGE_PART: f64 = 0.5;

/// Makes the attempts of one call.
pub struct AttemptSequence<'a, C> {
    state: &'a Arc<GateState>,
    desk: &'a Arc<ServiceDesk>,
    call: &'a mut PlannedCall,
    /// Upstreams that failed or that the call must not use.
    avoid: Vec<SharedName>,
    record: RetryRecord,
    time: &'a UpstreamTime,
    codec: PhantomData<C>,
}

impl<'a, C: CallCodec> AttemptSequence<'a, C> {
    /// Returns the sequence of a call. A call that is `isolated` is sent once.
    pub fn new(
        state: &'a Arc<GateState>,
        desk: &'a Arc<ServiceDesk>,
        call: &'a mut PlannedCall,
        isolated: bool,
        time: &'a UpstreamTime,
    ) -> Self {
        let request = &call.request;
        let environment = state.environment.load();
        let upstreams = environment.upstreams_of(&request.service);
        let now = state.clock.now();
        let avoid = state.tables.suspects.avoid(request.fingerprint, upstreams, now);
        let record = RetryRecord::new(isolated);
        Self { state, desk, call, avoid, record, time, codec: PhantomData }
    }

    /// Makes attempts until there is an answer or no further one is allowed.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer, and whether the call may have run.
    pub async fn run(mut self, mut body: CallBody) -> CallResponse {
        let request = &self.call.request;
        let now = self.state.clock.now();
        self.state.tables.retries.record_first_at(&request.service, request.depth, now);
        loop {
            let Some(current) = body.next_copy() else {
                let message = "the request body cannot be sent again; repeat the request";
                return Err(self.record.refuse(message));
            };
            let copy = body.is_repeatable().then(|| body.next_copy()).flatten();
            let mut failure = match self.attempt(current, copy).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            if let Some(unsent) = failure.unsent.take() {
                body.restore(unsent);
            }
            self.record.note(failure.fate);
            if !body.is_available() || !self.allows(&failure) {
                return self.end(*failure);
            }
            if let Some(answer) = failure.answer {
                answer.into_body().discard();
            }
            if failure.next != NextStep::Repeat {
                self.avoid.extend(failure.upstream);
            }
            self.call.request.attempt += 1;
            self.desk.meters.retries.inc();
        }
    }

    fn allows(&mut self, failure: &FailedAttempt) -> bool {
        let Self { state, call, record, .. } = self;
        let now = state.clock.now();
        record.allows(&state.tables, &call.request, failure.fate, failure.next, now)
    }

    /// Returns what the caller is told at the end.
    fn end(&self, failure: FailedAttempt) -> CallResponse {
        let FailedAttempt { answer, mut refusal, .. } = failure;
        match self.record.fate() {
            CallFate::NotRun => answer.ok_or(refusal),
            CallFate::Unknown => {
                // An upstream's own word that it did not run the call holds for its attempt only.
                let own = refusal.fate == CallFate::Unknown;
                refusal.fate = CallFate::Unknown;
                match answer {
                    Some(answer) if own => Ok(answer),
                    Some(answer) => {
                        answer.into_body().discard();
                        Err(refusal)
                    }
                    None => Err(refusal),
                }
            }
        }
    }

    /// Makes one attempt, and a second one beside it if the first is slow. `copy` is the body for
    /// the second one, if it can be sent again.
    async fn attempt(&mut self, body: SendBody, copy: Option<SendBody>) -> AttemptResult {
        let attempt = self.numbered(self.call.request.attempt);
        let placed = match attempt.place(&self.avoid).await {
            Ok(placed) => placed,
            Err(failure) => return Err(Box::new(FailedAttempt { unsent: Some(body), ..*failure })),
        };
        let Some(copy) = copy.filter(|_| self.state.options.tuning.hedge) else {
            return attempt.run(placed, body).await;
        };
        let used = placed.upstream().clone();
        let hedge_at = self.state.clock.now() + self.call.objective.scaled(HEDGE_PART);
        let mut first = pin!(attempt.run(placed, body));
        let timer = sleep_until(self.state.clock.to_instant(hedge_at).into());
        tokio::select! {
            biased;
            result = &mut first => return result,
            () = timer => {}
        }
        let hedge = self.numbered(self.call.request.attempt + 1);
        let Some(placed) = self.place_hedge(&hedge, &used).await else { return first.await };
        let mut second = pin!(hedge.run(placed, copy));
        // The slower attempt is dropped, which closes its connection.
        let failure = tokio::select! {
            biased;
            result = &mut first => match result {
                Ok(answer) => return Ok(answer),
                Err(failure) => second.await.map_err(|last| combine(*failure, last)),
            },
            result = &mut second => match result {
                Ok(answer) => return Ok(answer),
                Err(failure) => first.await.map_err(|last| combine(*failure, last)),
            },
        };
        failure
    }

    fn numbered(&self, number: u32) -> CallAttempt<'_, C> {
        let Self { state, desk, call, time, .. } = self;
        CallAttempt { state, desk, call, number, time, codec: PhantomData }
    }

    /// Places a second copy on another upstream, if the budget allows it.
    async fn place_hedge(
        &self,
        hedge: &CallAttempt<'_, C>,
        used: &SharedName,
    ) -> Option<PlacedAttempt> {
        let Self { state, call, record, .. } = self;
        if !record.allows_hedge(&state.tables, &call.request, state.clock.now()) {
            return None;
        }
        let avoid: Vec<SharedName> = self.avoid.iter().chain([used]).cloned().collect();
        let placed = hedge.place(&avoid).await.ok();
        placed.filter(|placed| placed.upstream() != used)
    }
}

/// Returns the failure of two attempts that ran side by side.
fn combine(first: FailedAttempt, mut last: Box<FailedAttempt>) -> Box<FailedAttempt> {
    if let Some(answer) = first.answer {
        answer.into_body().discard();
    }
    if first.fate == CallFate::Unknown {
        last.fate = CallFate::Unknown;
    }
    // Both attempts are spent, and the number of upstreams that a call may reach with them.
    last.next = NextStep::End;
    last
}
