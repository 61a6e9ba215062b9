//! Chooses the upstream of an attempt and reserves a slot there.
//!
//! [`crate::precheck`] may first renew the evidence on the best upstreams, and `limit::admission`
//! decides whether the call goes there, waits for a better one or is refused. [`crate::slot`] then
//! chooses by the load balancing policy. A call that finds no free slot waits in [`crate::wait`].

use std::sync::atomic::Ordering;

use base::prelude::*;
use codec::prelude::*;
use http::StatusCode;
use limit::prelude::*;
use route::prelude::*;
use tokio::time::timeout;
use trace::prelude::CallCause;
use world::prelude::*;

use crate::attempt::{CallAttempt, FailedAttempt, SelectedAttempt};
use crate::call_trace::UpstreamChoice;
use crate::precheck::{self, UpstreamPrecheck};
use crate::running::RunningCall;
use crate::slot::{CallSlot, SlotError};
use crate::wait;
use crate::waiter::WaitOutcome;

/// The longest time between two prechecks of a call that waits for an upstream on which it is
/// expected to meet its objective. Each precheck takes up to nine health checks, and the probe
/// budget of a VM in a fleet of the present size allows about 38 a second for each service.
const RECHECK_PERIOD: ClockSpan = ClockSpan::from_millis(40);

impl<C: CallCodec> CallAttempt<'_, C> {
    /// Chooses an upstream other than the excluded ones, and waits for a slot if necessary.
    ///
    /// # Errors
    ///
    /// Returns the failure if there is no slot for the call.
    pub async fn select(
        &self,
        excluded: &[SharedName],
    ) -> Result<SelectedAttempt, Box<FailedAttempt>> {
        let Self { state, context, call, .. } = *self;
        let started = state.clock.now();
        let precheck = if state.options.tuning.precheck {
            self.precheck(excluded).await?
        } else {
            UpstreamPrecheck::default()
        };
        let best = precheck.best.clone();
        let slot = match self.acquire_slot(excluded).await {
            Ok(slot) => slot,
            Err(failure) => {
                precheck.release(state);
                return Err(failure);
            }
        };
        let Some(link) = slot.upstream().and_then(|name| state.links.link(name)) else {
            precheck.release(state);
            let message = "the upstream was removed from the environment; repeat the request";
            let refusal = self.refuse(message).with_cause(CallCause::NoUpstream);
            return Err(FailedAttempt::without_retry(refusal));
        };
        let checked = precheck.take(state, &link.server().name);
        if let Some(evidence) = slot.evidence().filter(|evidence| evidence.view.round_trip_ms > 0.0)
        {
            context.metrics.count_remote(evidence.remote);
        }
        let choice = UpstreamChoice::new(&slot, checked.is_some(), started, state.clock.now());
        let mut running = RunningCall::new(state, slot, link.server().name.clone(), &call.request);
        let is_best = |best: &ShortlistEntry| best.server.name == running.upstream;
        running.slowdown = best.filter(is_best).map(|best| best.slowdown);
        Ok(SelectedAttempt { link, running, checked, choice })
    }

    /// Checks the best upstreams until the call is expected to meet its objective on one of them,
    /// or until there is no time left to wait for that.
    ///
    /// # Errors
    ///
    /// Returns the failure if the call is refused because it would miss its objective.
    async fn precheck(
        &self,
        excluded: &[SharedName],
    ) -> Result<UpstreamPrecheck, Box<FailedAttempt>> {
        let Self { state, context, call, .. } = *self;
        let CallerRequest { class, idempotent, .. } = call.request;
        // A call that is at an upstream already says nothing of the calls that arrive.
        let mut has_waited = self.progress.is_at_upstream();
        loop {
            let precheck = precheck::precheck::<C>(state, context, excluded, idempotent).await;
            let (slowdown, round_trip) = match &precheck.best {
                Some(best) => (best.slowdown, best.round_trip),
                None if precheck.full => (f64::INFINITY, ClockSpan::ZERO),
                // Without fresh evidence, the latency cannot be predicted.
                None => return Ok(precheck),
            };
            let now = state.clock.now();
            let remaining = call.objective_deadline.since(now);
            let forecast = LatencyForecast { remaining, slowdown, round_trip, has_waited };
            match state.tables.admission.decide(&context.name, class, &forecast, now) {
                AdmissionDecision::Send => return Ok(precheck),
                AdmissionDecision::Wait => {
                    precheck.release(state);
                    let freed = context.slot_freed.notified();
                    // The upstreams are checked again, whether a slot was freed or not.
                    let _ = timeout(RECHECK_PERIOD.to_duration(), freed).await;
                }
                AdmissionDecision::Refuse => {
                    precheck.release(state);
                    let retry_after = state.options.tuning.retry_after;
                    let kind = RefusalKind::Overloaded;
                    self.record_refusal(&RefusalReason { kind, retry_after }, now);
                    let message = "no upstream can answer within the objective; repeat the request";
                    let refusal = self.refuse(message).with_cause(CallCause::Overload);
                    return Err(FailedAttempt::without_retry(refusal));
                }
            }
            has_waited = true;
        }
    }

    /// Reserves a slot, or waits for one.
    async fn acquire_slot(&self, excluded: &[SharedName]) -> Result<CallSlot, Box<FailedAttempt>> {
        loop {
            let outcome = match self.take_slot(excluded).await {
                Ok(slot) => return Ok(slot),
                Err(outcome) => outcome,
            };
            match outcome {
                WaitOutcome::Unavailable(NoUpstream::AllPaused { retry_in, .. })
                    if self.can_wait(retry_in) =>
                {
                    tokio::time::sleep(retry_in.to_duration()).await;
                }
                outcome => {
                    return Err(FailedAttempt::without_retry(self.slot_refusal(outcome)));
                }
            }
        }
    }

    /// Returns whether the call still meets its objective if it is sent after `span`.
    fn can_wait(&self, span: ClockSpan) -> bool {
        let Self { state, context, call, .. } = *self;
        let now = state.clock.now();
        let remaining = call.objective_deadline.since(now);
        let class = call.request.class;
        state.tables.admission.allows_wait(&context.name, class, span, remaining, now)
    }

    /// Reserves a slot, or waits in the queue for one.
    async fn take_slot(&self, excluded: &[SharedName]) -> Result<CallSlot, WaitOutcome> {
        let Self { state, context, call, .. } = *self;
        if context.waiting.load(Ordering::Relaxed) == 0 {
            match CallSlot::acquire(state, context, excluded, state.clock.now()) {
                Ok(slot) => return Ok(slot),
                Err(SlotError::Unavailable(error)) => return Err(WaitOutcome::Unavailable(error)),
                Err(SlotError::Limit | SlotError::Full) => {}
            }
        }
        wait::wait_for_slot(state, context, &call.request, excluded).await
    }

    /// Returns the refusal of a call that got no slot.
    fn slot_refusal(&self, outcome: WaitOutcome) -> CallRefusal {
        let state = self.state;
        match outcome {
            WaitOutcome::Unavailable(error) => self.no_upstream(&error),
            WaitOutcome::Refused(reason) => {
                self.record_refusal(&reason, state.clock.now());
                self.refuse(&format!("no slot for the call: {reason}"))
                    .with_cause(queue_cause(reason.kind))
                    .retry_after(reason.retry_after)
            }
            WaitOutcome::Deadline => {
                let message = "the deadline passed before the call got a slot; allow more time";
                let refusal = CallRefusal::not_run(StatusCode::GATEWAY_TIMEOUT, message);
                let refusal = refusal.with_cause(CallCause::DeadlineInQueue);
                refusal.retry_after(state.options.tuning.retry_after)
            }
        }
    }

    /// Counts a refusal, unless the call is at an upstream and only gets no replacement.
    fn record_refusal(&self, reason: &RefusalReason, now: ClockTime) {
        if !self.progress.is_at_upstream() {
            self.context.record_refusal(reason, now);
        }
    }

    fn no_upstream(&self, error: &NoUpstream) -> CallRefusal {
        let refusal = self.refuse(&error.to_string());
        match error {
            NoUpstream::AllPaused { retry_in, .. } => {
                refusal.with_cause(CallCause::Paused).retry_after(*retry_in)
            }
            _ => refusal.with_cause(CallCause::NoUpstream),
        }
    }
}

const fn queue_cause(kind: RefusalKind) -> CallCause {
    match kind {
        RefusalKind::UnknownService => CallCause::NoRoute,
        RefusalKind::QueueFull | RefusalKind::Displaced => CallCause::QueueFull,
        RefusalKind::DeadlineTooShort => CallCause::DeadlineInQueue,
        RefusalKind::Overloaded => CallCause::Overload,
    }
}
