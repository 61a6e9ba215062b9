//! The path of one call through the gateway.

use std::sync::Arc;

use base::prelude::*;
use codec::prelude::*;
use http::request::Parts;
use http::{Response, StatusCode};
use hyper::body::Incoming;
use suspect::prelude::*;
use tokio::time::timeout_at;

use crate::answer::AnswerBody;
use crate::body::{BodyError, CallBody};
use crate::claims;
use crate::desk::ServiceDesk;
use crate::metrics::CallEnd;
use crate::plan::{self, PlannedCall};
use crate::sequence::AttemptSequence;
use crate::state::GateState;
use crate::time::UpstreamTime;

/// When a refused suspect may come back. By then its isolated run may be free.
const SUSPECT_RETRY_AFTER: ClockSpan = ClockSpan::from_secs(1);

/// The answer to a call, or why there is none.
pub type CallResponse = Result<Response<AnswerBody>, CallRefusal>;

/// Serves one request.
pub async fn serve<C: CallCodec>(
    state: &Arc<GateState>,
    parts: Parts,
    body: Incoming,
) -> Response<AnswerBody> {
    let _running = state.calls.enter();
    let arrived = state.clock.now();
    let facts = C::read_request(&parts);
    let id = match &facts {
        Ok(RequestFacts { id: Some(id), .. }) => id.clone(),
        _ => state.next_id(),
    };
    let result = match facts {
        Ok(facts) => run::<C>(state, parts, &facts, body, &id, arrived).await,
        Err(error) => Err(CallRefusal::not_run(error.status(), error).closing()),
    };
    result.unwrap_or_else(|refusal| {
        tracing::debug!(event = crate::event::CALL_REFUSED, reason = %refusal.message);
        AnswerBody::refuse::<C>(&refusal, &id)
    })
}

async fn run<C: CallCodec>(
    state: &Arc<GateState>,
    parts: Parts,
    facts: &RequestFacts,
    body: Incoming,
    id: &http::HeaderValue,
    arrived: ClockTime,
) -> CallResponse {
    let mut call = plan::plan::<C>(state, parts, facts, id, arrived)?;
    let desk = state.tables.desks.desk(&call.request.service).ok_or_else(|| {
        let message = "the service was removed from the environment; repeat the request";
        CallRefusal::not_run(StatusCode::NOT_FOUND, message)
    })?;
    let class = call.request.class;
    let result = if claims::is_needed(&call.request) {
        claims::run::<C>(state, &desk, call, facts, body).await
    } else {
        run_unclaimed::<C>(state, &desk, &mut call, facts, body, arrived).await
    };
    let end = end_of(&result);
    desk.meters.count_call(class, end);
    let now = state.clock.now();
    let success = matches!(end, CallEnd::Answered);
    state.tables.burn.record(&desk.name, class, now.since(arrived), success, now);
    result
}

async fn run_unclaimed<C: CallCodec>(
    state: &Arc<GateState>,
    desk: &Arc<ServiceDesk>,
    call: &mut PlannedCall,
    facts: &RequestFacts,
    body: Incoming,
    arrived: ClockTime,
) -> CallResponse {
    let body_started = state.clock.now();
    let limit_bytes = state.environment.load().caller_limits.body_bytes;
    let pause = state.options.timeouts.request_body;
    let receiving = CallBody::receive(body, facts.body, limit_bytes, pause);
    let deadline = state.clock.to_instant(call.request.deadline).into();
    let body = timeout_at(deadline, receiving).await.unwrap_or(Err(BodyError::TooSlow));
    let body = body.map_err(refuse_body)?;
    let body_time = state.clock.now().since(body_started);
    let time = UpstreamTime::default();
    let result = run_reviewed::<C>(state, desk, call, body, &time).await;
    let spent = state.clock.now().since(arrived);
    desk.meters.record_residence(spent.saturating_sub(time.total() + body_time));
    result
}

fn end_of(result: &CallResponse) -> CallEnd {
    match result {
        Ok(answer) if !answer.status().is_server_error() => CallEnd::Answered,
        Ok(answer) if is_not_run(answer) => CallEnd::NotRun,
        Ok(_) => CallEnd::UpstreamError,
        Err(refusal) if refusal.fate == CallFate::NotRun => CallEnd::NotRun,
        Err(_) => CallEnd::Unknown,
    }
}

/// Returns whether an upstream's answer says that it did not run the call.
pub fn is_not_run(answer: &Response<AnswerBody>) -> bool {
    answer.extensions().get() == Some(&CallFate::NotRun)
}

/// Returns the refusal of a call whose body did not arrive as announced.
pub fn refuse_body(error: BodyError) -> CallRefusal {
    CallRefusal::not_run(error.status(), error).closing()
}

/// Gives back a reserved isolated run that did not start.
struct IsolationGuard<'a> {
    state: &'a GateState,
    fingerprint: u64,
}

impl Drop for IsolationGuard<'_> {
    fn drop(&mut self) {
        self.state.tables.suspects.abandon(self.fingerprint, self.state.clock.now());
    }
}

/// Reviews a fingerprint. The owner of a suspect is asked for an isolated run.
async fn review(state: &GateState, fingerprint: u64) -> SuspectVerdict {
    let suspects = &state.tables.suspects;
    let now = state.clock.now();
    let verdict = suspects.review(fingerprint, now);
    match state.grants.get() {
        Some(grants) if verdict == SuspectVerdict::Refused => {
            if grants.ask(suspects, fingerprint, now).await {
                return suspects.review(fingerprint, state.clock.now());
            }
            verdict
        }
        _ => verdict,
    }
}

/// Runs a call if it is not suspected of crashing upstreams.
///
/// # Errors
///
/// Returns why there is no answer, and whether the call may have run.
pub async fn run_reviewed<C: CallCodec>(
    state: &Arc<GateState>,
    desk: &Arc<ServiceDesk>,
    call: &mut PlannedCall,
    body: CallBody,
    time: &UpstreamTime,
) -> CallResponse {
    let fingerprint = call.request.fingerprint;
    let guard = match review(state, fingerprint).await {
        SuspectVerdict::Clear => None,
        SuspectVerdict::Isolated => Some(IsolationGuard { state, fingerprint }),
        SuspectVerdict::Refused => {
            desk.meters.count_suspect();
            let message = "upstreams crashed while they ran this request; repeat it later, or have \
                           an operator release it";
            // An innocent suspect is cleared after a while, so the status must not say that a
            // repeat is useless.
            let refusal = CallRefusal::not_run(StatusCode::SERVICE_UNAVAILABLE, message);
            return Err(refusal.retry_after(SUSPECT_RETRY_AFTER));
        }
    };
    let sequence = AttemptSequence::<C>::new(state, desk, call, guard.is_some(), time);
    sequence.run(body).await
}
