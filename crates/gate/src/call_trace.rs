//! Traces of calls in progress, which are counted and logged at the end of the call.

use std::fmt;
use std::sync::Arc;

use base::prelude::*;
use codec::prelude::*;
use http::{HeaderValue, StatusCode};
use trace::prelude::*;
use tracing::Level;

use crate::event;
use crate::plan::PlannedCall;
use crate::retry::NextStep;
use crate::service::ServiceContext;
use crate::slot::CallSlot;
use crate::state::GateState;

/// The trace of a call in progress. When it is dropped, the call is counted, and logged if
/// [`is_logged`] selects it. A trace that is dropped before its call has ended counts as that of a
/// caller who disconnected.
pub struct TracedCall {
    state: Arc<GateState>,
    context: Option<Arc<ServiceContext>>,
    id: HeaderValue,
    arrived: ClockTime,
    trace: CallTrace,
    /// The upstream of the last attempt.
    upstream: Option<SharedName>,
    reply: CallerReply,
}

/// How an attempt failed.
#[derive(Clone, Debug)]
pub struct FailureFacts {
    /// The upstream, if there was one.
    pub upstream: Option<SharedName>,
    /// Why it failed.
    pub cause: CallCause,
    /// Whether the upstream may have run it.
    pub fate: CallFate,
    /// What may follow the attempt.
    pub next: NextStep,
}

/// What the caller of a call got, for the log line that ends the trace.
struct CallerReply {
    status: Option<u16>,
    cause: CallCause,
    fate: Option<CallFate>,
    retry_after: Option<ClockSpan>,
}

impl TracedCall {
    /// Starts the trace of a call.
    pub fn start(state: &Arc<GateState>, id: &HeaderValue, arrived: ClockTime) -> Self {
        let reply = CallerReply {
            status: None,
            cause: CallCause::CallerLeft,
            fate: Some(CallFate::NotRun),
            retry_after: None,
        };
        let trace = CallTrace::default();
        let (state, id) = (Arc::clone(state), id.clone());
        Self { state, context: None, id, arrived, trace, upstream: None, reply }
    }

    /// Returns when the call arrived.
    pub const fn arrived(&self) -> ClockTime {
        self.arrived
    }

    /// Records the service and the rule that the call was matched to. Its fingerprint follows.
    pub fn record_match(&mut self, context: &Arc<ServiceContext>, call: &PlannedCall) {
        let request = &call.request;
        self.context = Some(Arc::clone(context));
        self.trace.facts = Some(CallFacts {
            service: request.service.clone(),
            class: request.class.as_str(),
            idempotent: request.idempotent,
            version: call.version,
            time_limit: request.deadline.since(self.arrived),
            objective: call.objective,
            fingerprint: 0,
        });
    }

    /// Records the fingerprint of the call.
    pub fn record_fingerprint(&mut self, fingerprint: u64) {
        if let Some(facts) = &mut self.trace.facts {
            facts.fingerprint = fingerprint;
        }
    }

    /// Records that an attempt has a slot on an upstream.
    pub fn record_choice(&mut self, attempt: u32, choice: &UpstreamChoice) {
        let UpstreamChoice { upstream, facts, checked, waited } = choice.clone();
        self.reply.fate = Some(CallFate::Unknown);
        self.upstream = Some(upstream.clone());
        self.trace.record_choice(ChosenStep { attempt, upstream, facts, checked, waited });
    }

    /// Records that an attempt got an answer.
    pub fn record_answer(&mut self, attempt: u32) {
        let upstream = self.upstream.clone();
        let (result, fate, next) = (CallCause::Answered, None, NextAction::End(None));
        self.end_attempt(attempt, upstream, result, fate, next);
    }

    /// Records that an attempt failed. `stop` is the reason why none follows.
    pub fn record_failure(
        &mut self,
        attempt: u32,
        failure: FailureFacts,
        stop: Option<StopReason>,
    ) {
        let next = match (stop, failure.next) {
            (_, NextStep::End) => NextAction::End(None),
            (Some(stop), _) => NextAction::End(Some(stop)),
            (None, NextStep::Resend) => NextAction::Resend,
            (None, _) => NextAction::Retry,
        };
        let fate = Some(failure.fate.as_str());
        let upstream = failure.upstream.or(self.upstream.take());
        self.end_attempt(attempt, upstream, failure.cause, fate, next);
    }

    fn end_attempt(
        &mut self,
        attempt: u32,
        upstream: Option<SharedName>,
        result: CallCause,
        fate: Option<&'static str>,
        next: NextAction,
    ) {
        let after = self.state.clock.now().since(self.arrived);
        self.trace.record_end(EndedStep { attempt, upstream, result, after, fate, next });
    }

    /// Ends the trace of a call that the gateway itself answers with an error.
    pub fn end_refused(mut self, refusal: &CallRefusal) {
        self.reply = CallerReply {
            status: Some(refusal.status.as_u16()),
            cause: refusal.cause,
            fate: Some(refusal.fate),
            retry_after: refusal.retry_after,
        };
    }

    /// Records the status of the answer that ends the call.
    pub fn set_status(&mut self, status: StatusCode) {
        self.reply.status = Some(status.as_u16());
    }

    /// Ends the trace of a call whose upstream's answer was passed on, completely or in part.
    pub fn end_answered(mut self, cause: CallCause) {
        self.reply.cause = cause;
        self.reply.fate = match cause {
            CallCause::Answered | CallCause::UpstreamError => None,
            CallCause::Shed => Some(CallFate::NotRun),
            _ => Some(CallFate::Unknown),
        };
    }

    /// Returns how many refusals were left out of the log since the last one that was logged, or
    /// `None` if this call is left out as well. A call that is no refusal is never left out.
    fn admit(&self, now: ClockTime) -> Option<u64> {
        if self.reply.cause == CallCause::Answered || self.reply.fate != Some(CallFate::NotRun) {
            return Some(0);
        }
        let limiter = match &self.context {
            Some(context) => &context.refusal_limiter,
            None => &self.state.tables.unmatched_limiter,
        };
        limiter.lock().admit(self.reply.cause, now)
    }

    fn write(&self, total: ClockSpan, suppressed: u64) {
        let id = self.id.to_str().unwrap_or_default();
        if let Some(facts) = &self.trace.facts {
            write_facts(id, facts);
        }
        for step in self.trace.steps() {
            match step {
                TraceStep::Chosen(step) => write_choice(id, step),
                TraceStep::Ended(step) => write_end(id, step),
            }
        }
        let CallerReply { status, cause, fate, retry_after } = &self.reply;
        tracing::info!(
            event = event::CALL_ENDED,
            id,
            vm = self.state.options.vm.name.as_str(),
            status,
            cause = cause.as_str(),
            fate = fate.map(CallFate::as_str),
            total_ms = total.as_millis_f64(),
            attempts = self.trace.attempts(),
            retry_after_ms = retry_after.map(ClockSpan::as_millis),
            suppressed,
        );
    }
}

impl fmt::Debug for TracedCall {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("TracedCall").field("id", &self.id).finish_non_exhaustive()
    }
}

impl Drop for TracedCall {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.reply.cause = CallCause::Internal;
        }
        let now = self.state.clock.now();
        let total = now.since(self.arrived);
        let cause = self.reply.cause;
        match (&self.context, &self.trace.facts) {
            (Some(context), Some(facts)) => context.metrics.count_cause(facts.class, cause),
            _ => self.state.tables.metrics.unmatched_causes.count(cause),
        }
        let summary = CallSummary { id: self.id.as_bytes(), cause, total };
        if !is_logged(&summary, &self.trace) || !tracing::enabled!(Level::INFO) {
            return;
        }
        if let Some(suppressed) = self.admit(now) {
            self.write(total, suppressed);
        }
    }
}

/// The upstream that was chosen for an attempt, and the evidence on it.
#[derive(Clone, Debug)]
pub struct UpstreamChoice {
    /// The upstream.
    pub upstream: SharedName,
    /// The evidence on which it was chosen.
    pub facts: ChoiceFacts,
    /// Whether it answered a health check immediately before.
    pub checked: bool,
    /// The time until the call had its slot.
    pub waited: ClockSpan,
}

impl UpstreamChoice {
    /// Returns the choice that led to `slot`. The selection began at `started` and ended `now`.
    pub fn new(slot: &CallSlot, checked: bool, started: ClockTime, now: ClockTime) -> Self {
        let upstream = slot.upstream().cloned().unwrap_or_else(|| SharedName::from(""));
        let facts = slot.evidence().map(|evidence| ChoiceFacts {
            cost_ms: evidence.cost_ms,
            age: evidence.age(now),
            pace: evidence.view.pace,
            own: evidence.view.own_in_flight,
            others: evidence.view.other_calls,
            candidates: evidence.candidates,
            remote: evidence.remote.as_str(),
        });
        Self { upstream, facts: facts.unwrap_or_default(), checked, waited: now.since(started) }
    }
}

fn write_facts(id: &str, facts: &CallFacts) {
    tracing::info!(
        event = event::CALL_CLASSIFIED,
        id,
        service = facts.service.as_str(),
        class = facts.class,
        idempotent = facts.idempotent,
        version = facts.version,
        deadline_ms = facts.time_limit.as_millis_f64(),
        objective_ms = facts.objective.as_millis_f64(),
        fingerprint = format_args!("{:016x}", facts.fingerprint),
    );
}

fn write_choice(id: &str, step: &ChosenStep) {
    let ChosenStep { attempt, upstream, facts, checked, waited } = step;
    tracing::info!(
        event = event::UPSTREAM_CHOSEN,
        id,
        attempt,
        upstream = upstream.as_str(),
        cost_ms = facts.cost_ms,
        age_ms = facts.age.map(ClockSpan::as_millis_f64),
        pace = facts.pace,
        own = facts.own,
        others = facts.others,
        candidates = facts.candidates,
        remote = facts.remote,
        checked,
        waited_ms = waited.as_millis_f64(),
    );
}

fn write_end(id: &str, step: &EndedStep) {
    let EndedStep { attempt, upstream, result, after, fate, next } = step;
    let why = match next {
        NextAction::End(why) => why.map(StopReason::as_str),
        NextAction::Retry | NextAction::Resend => None,
    };
    tracing::info!(
        event = event::ATTEMPT_ENDED,
        id,
        attempt,
        upstream = upstream.as_deref(),
        result = result.as_str(),
        after_ms = after.as_millis_f64(),
        fate,
        next = next.as_str(),
        why,
    );
}
