//! The request path of one call, from the parsed request to the answer.

use std::sync::Arc;

use base::prelude::*;
use codec::prelude::*;
use http::request::Parts;
use http::{Response, StatusCode};
use hyper::body::Incoming;
use tokio::time::timeout_at;
use trace::prelude::CallCause;

use crate::answer::{self, AnswerBody, CallResponse, TracedResponse};
use crate::body::{BodyError, CallBody};
use crate::call_trace::TracedCall;
use crate::claims;
use crate::metrics::CallEnd;
use crate::plan::{self, PlannedCall};
use crate::progress::CallProgress;
use crate::quota;
use crate::service::ServiceContext;
use crate::state::GateState;
use crate::suspect_check;

/// How far a call may overrun its deadline, so that steps which are about to end by themselves are
/// not interrupted. A caller must have its answer 250 ms after the deadline, and a small VM needs
/// part of that time to send it.
const OVERRUN_SPAN: ClockSpan = ClockSpan::from_millis(100);

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
    let traced = TracedCall::start(state, &id, arrived);
    let (result, traced) = match facts {
        Ok(facts) => run::<C>(state, parts, &facts, body, &id, traced).await,
        Err(error) => {
            let refusal = CallRefusal::not_run(error.status(), error);
            (Err(refusal.with_cause(CallCause::BadRequest).closing()), Some(traced))
        }
    };
    match result {
        Ok(mut answer) => {
            if let Some(traced) = traced {
                answer::end_trace(traced, &mut answer);
            }
            answer
        }
        Err(refusal) => {
            if let Some(traced) = traced {
                traced.end_refused(&refusal);
            }
            tracing::debug!(event = crate::event::CALL_REFUSED, reason = %refusal.message);
            AnswerBody::refuse::<C>(&refusal, &id)
        }
    }
}

/// Runs a request whose head was read: matches it to a service, and claims its idempotency key if
/// it needs a claim.
async fn run<C: CallCodec>(
    state: &Arc<GateState>,
    parts: Parts,
    facts: &RequestFacts,
    body: Incoming,
    id: &http::HeaderValue,
    mut traced: TracedCall,
) -> TracedResponse {
    let arrived = traced.arrived();
    let mut call = match plan::plan::<C>(state, parts, facts, id, arrived) {
        Ok(call) => call,
        Err(refusal) => return (Err(refusal), Some(traced)),
    };
    let Some(context) = state.tables.services.get(&call.request.service) else {
        let message = "the service was removed from the environment; repeat the request";
        let refusal = CallRefusal::not_run(StatusCode::NOT_FOUND, message);
        return (Err(refusal.with_cause(CallCause::NoRoute)), Some(traced));
    };
    traced.record_match(&context, &call);
    let account = call.account.clone();
    if let Some(account) = &account
        && let Err(refusal) = quota::admit(state, account).await
    {
        context.metrics.count_call(call.request.class, CallEnd::NotRun);
        return (Err(refusal), Some(traced));
    }
    let class = call.request.class;
    let (result, traced) = if claims::is_needed(&call.request) {
        claims::run::<C>(state, &context, call, traced, facts, body).await
    } else {
        let result = run_unclaimed::<C>(state, &context, &mut call, &mut traced, facts, body).await;
        (result, Some(traced))
    };
    let end = call_end(&result);
    if let Some(account) = account.filter(|_| end == CallEnd::NotRun) {
        state.quotas.give_back(&account, state.clock.now());
    }
    context.metrics.count_call(class, end);
    let now = state.clock.now();
    let success = matches!(end, CallEnd::Answered);
    state.tables.burn.record(&context.name, class, now.since(arrived), success, now);
    (result, traced)
}

/// Runs a call that needs no claim.
async fn run_unclaimed<C: CallCodec>(
    state: &Arc<GateState>,
    context: &Arc<ServiceContext>,
    call: &mut PlannedCall,
    traced: &mut TracedCall,
    facts: &RequestFacts,
    body: Incoming,
) -> CallResponse {
    let arrived = traced.arrived();
    let body_started = state.clock.now();
    let limit_bytes = state.environment.load().caller_limits.body_bytes;
    let idle_timeout = state.timeouts.load().request_body;
    let receiving = CallBody::receive(body, facts.body, limit_bytes, idle_timeout);
    let deadline = state.clock.to_instant(call.request.deadline).into();
    let body = timeout_at(deadline, receiving).await.unwrap_or(Err(BodyError::TooSlow));
    let body = body.map_err(BodyError::into_refusal)?;
    let (body, _permit) =
        suspect_check::identify(state, context, call, traced, facts, body).await?;
    let body_time = state.clock.now().since(body_started);
    let progress = CallProgress::default();
    let latest_end = state.clock.to_instant(call.request.deadline + OVERRUN_SPAN).into();
    let running = suspect_check::run_checked::<C>(state, context, call, traced, body, &progress);
    let result = timeout_at(latest_end, running).await.unwrap_or_else(|_| {
        let message = "the call was not answered within its deadline";
        let refusal = CallRefusal::unknown(StatusCode::GATEWAY_TIMEOUT, message);
        Err(refusal.with_cause(CallCause::Timeout))
    });
    let spent = state.clock.now().since(arrived);
    context.metrics.record_residence(spent.saturating_sub(progress.upstream_time() + body_time));
    result
}

fn call_end(result: &CallResponse) -> CallEnd {
    match result {
        Ok(answer) if !answer.status().is_server_error() => CallEnd::Answered,
        Ok(answer) if answer::is_not_run(answer) => CallEnd::NotRun,
        Ok(_) => CallEnd::UpstreamError,
        Err(refusal) if refusal.fate == CallFate::NotRun => CallEnd::NotRun,
        Err(_) => CallEnd::Unknown,
    }
}
