//! Makes the attempts of one call, one after the other.

use std::marker::PhantomData;
use std::sync::Arc;

use base::prelude::*;
use codec::prelude::*;
use trace::prelude::StopReason;

use crate::answer::CallResponse;
use crate::attempt::{AttemptResult, CallAttempt, FailedAttempt, SelectedAttempt};
use crate::body::{CallBody, SendBody};
use crate::call_trace::TracedCall;
use crate::mechanism::Mechanism;
use crate::plan::PlannedCall;
use crate::progress::CallProgress;
use crate::retry::{self, NextStep, RetryState};
use crate::service::ServiceContext;
use crate::state::GateState;

/// The attempts of one call.
pub struct AttemptSequence<'a, C> {
    state: &'a Arc<GateState>,
    context: &'a Arc<ServiceContext>,
    call: &'a mut PlannedCall,
    traced: &'a mut TracedCall,
    /// Upstreams that failed or that the call must not use.
    excluded: Vec<SharedName>,
    retry_state: RetryState,
    progress: &'a CallProgress,
    codec: PhantomData<C>,
}

impl<'a, C: CallCodec> AttemptSequence<'a, C> {
    /// Returns the sequence of a call. An `isolated` call is sent only once.
    pub fn new(
        state: &'a Arc<GateState>,
        context: &'a Arc<ServiceContext>,
        call: &'a mut PlannedCall,
        traced: &'a mut TracedCall,
        isolated: bool,
        progress: &'a CallProgress,
    ) -> Self {
        let request = &call.request;
        let environment = state.environment.load();
        let upstreams = environment.upstreams_of(&request.service);
        let now = state.clock.now();
        let excluded =
            state.tables.suspects.excluded_upstreams(request.fingerprint, upstreams, now);
        let retry_state = RetryState::new(isolated, &state.options.tuning);
        Self { state, context, call, traced, excluded, retry_state, progress, codec: PhantomData }
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
        let mut replacement = None;
        loop {
            let Some(current) = body.next_copy() else {
                let message = "the request body cannot be sent again; repeat the request";
                return Err(self.retry_state.refuse(message));
            };
            let attempt = self.call.request.attempt;
            // A body that cannot be sent again would be lost with the attempt.
            let replaceable = body.is_available();
            let mut failure = match self.attempt(current, replaceable, replacement.take()).await {
                Ok(answer) => {
                    self.traced.record_answer(attempt);
                    return Ok(answer);
                }
                Err(failure) => failure,
            };
            if let Some(unsent) = failure.unsent.take() {
                body.restore(unsent);
            }
            self.progress.end_attempt(failure.fate);
            self.retry_state.record_attempt(failure.fate);
            let allowed =
                if body.is_available() { self.try_retry(&failure) } else { Err(StopReason::Body) };
            self.traced.record_failure(attempt, failure.facts(), allowed.err());
            if allowed.is_err() {
                return self.final_response(*failure);
            }
            if let Some(answer) = failure.answer {
                answer.into_body().discard();
            }
            replacement = failure.replacement.take();
            if failure.next != NextStep::Resend {
                self.excluded.extend(failure.upstream);
            }
            self.call.request.attempt += 1;
            self.context.metrics.retries.inc();
        }
    }

    fn try_retry(&mut self, failure: &FailedAttempt) -> Result<(), StopReason> {
        let Self { state, call, retry_state, .. } = self;
        let now = state.clock.now();
        if state.stop.end_before(call.request.deadline).is_some() {
            return Err(StopReason::Shutdown);
        }
        retry_state.try_retry(&state.tables, &call.request, failure.fate, failure.next, now)
    }

    /// Returns the response for the caller after the last failure.
    fn final_response(&self, failure: FailedAttempt) -> CallResponse {
        let FailedAttempt { answer, mut refusal, .. } = failure;
        match self.retry_state.fate() {
            CallFate::NotRun => answer.ok_or(refusal),
            CallFate::Unknown => {
                // An upstream that reports that it did not run the call does so only for its own
                // attempt; an earlier one may have run.
                let last_unknown = refusal.fate == CallFate::Unknown;
                refusal.fate = CallFate::Unknown;
                match answer {
                    Some(answer) if last_unknown => Ok(answer),
                    Some(answer) => {
                        answer.into_body().discard();
                        Err(refusal)
                    }
                    None => Err(refusal),
                }
            }
        }
    }

    /// Returns whether the call could still be sent to another upstream than that of the next
    /// attempt. Otherwise, it would be sent a second time to one that did not answer it.
    fn has_alternative(&self) -> bool {
        let environment = self.state.environment.load();
        let upstreams = environment.upstreams_of(&self.call.request.service);
        upstreams.iter().filter(|server| !self.excluded.contains(&server.name)).nth(1).is_some()
    }

    /// Makes an attempt, which was `selected` already if it replaces another one.
    async fn attempt(
        &mut self,
        body: SendBody,
        replaceable: bool,
        selected: Option<Box<SelectedAttempt>>,
    ) -> AttemptResult {
        let replaceable = replaceable && self.has_alternative();
        let Self { state, context, call, traced, excluded, progress, retry_state, .. } = self;
        let replaceable = replaceable
            && !retry_state.is_isolated()
            && retry::may_run_twice(&call.request)
            && state.options.tuning.uses(Mechanism::Stall);
        let codec = PhantomData;
        let attempt =
            CallAttempt::<C> { state, context, call, excluded, replaceable, progress, codec };
        let selected = match selected {
            Some(selected) => Ok(*selected),
            None => attempt.select(excluded).await,
        };
        match selected {
            Ok(selected) => {
                traced.record_choice(call.request.attempt, &selected.choice);
                attempt.run(selected, body).await
            }
            Err(failure) => Err(Box::new(FailedAttempt { unsent: Some(body), ..*failure })),
        }
    }
}
