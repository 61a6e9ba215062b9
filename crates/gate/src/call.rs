//! The path of one call through the gateway.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use base::prelude::*;
use bytes::Bytes;
use http::header::HeaderValue;
use http::request::Parts;
use http::{Response, StatusCode};
use suspect::prelude::*;
use tokio::time::timeout_at;
use world::prelude::*;
use xitca_web::body::RequestBody;
use xxhash_rust::xxh3::Xxh3;

use crate::answer::{AnswerBody, CallFate, CallRefusal};
use crate::attempt::{CallAttempt, FailedAttempt, NextStep, PlannedCall};
use crate::claims;
use crate::desk::ServiceDesk;
use crate::head::{self, HeadFacts};
use crate::metrics::CallEnd;
use crate::relay::{self, RelayBody, RelayError};
use crate::state::GateState;

/// Bodies up to this length are held in memory, so that a retry can send them again.
const REPLAY_LIMIT_BYTES: u64 = 64 * 1024;

/// When a refused suspect may come back. By then its isolated run may be free.
const SUSPECT_RETRY_AFTER: ClockSpan = ClockSpan::from_secs(1);

/// When to come back to a gateway that has no configuration yet.
const START_RETRY_AFTER: ClockSpan = ClockSpan::from_secs(1);

/// The body of a call, as far as it is needed for further attempts.
pub(crate) enum CallBody {
    Empty,
    Held(Bytes),
    Streamed(Option<RelayBody>),
}

/// Serves one request.
pub async fn serve(
    state: &Arc<GateState>,
    parts: Parts,
    body: RequestBody,
) -> Response<AnswerBody> {
    let _running = state.calls.enter();
    let id = state.next_id();
    match run(state, parts, body, &id).await {
        Ok(answer) => answer,
        Err(refusal) => {
            tracing::debug!(event = crate::event::CALL_REFUSED, reason = %refusal.message);
            refusal.into_answer(&id)
        }
    }
}

async fn run(
    state: &Arc<GateState>,
    parts: Parts,
    body: RequestBody,
    id: &HeaderValue,
) -> Result<Response<AnswerBody>, CallRefusal> {
    let arrived = state.clock.now();
    let facts = head::check_head(&parts)
        .map_err(|error| CallRefusal::not_run(error.status(), error).closing())?;
    let (mut call, avoid) = plan(state, parts, &facts, id, arrived)?;
    let desk = state.tables.desks.desk(&call.request.service).ok_or_else(|| {
        let message = "the service was removed from the environment; repeat the request";
        CallRefusal::not_run(StatusCode::NOT_FOUND, message)
    })?;
    let class = call.request.class;
    let result = if claims::is_needed(&call.request) {
        claims::run(state, &desk, call, avoid, &facts, body).await
    } else {
        run_unclaimed(state, &desk, &mut call, avoid, &facts, body, arrived).await
    };
    let end = end_of(&result);
    desk.meters.count_call(class, end);
    let now = state.clock.now();
    let success = matches!(end, CallEnd::Answered);
    state.tables.burn.record(&desk.name, class, now.since(arrived), success, now);
    result
}

async fn run_unclaimed(
    state: &Arc<GateState>,
    desk: &Arc<ServiceDesk>,
    call: &mut PlannedCall,
    avoid: Vec<SharedName>,
    facts: &HeadFacts,
    body: RequestBody,
    arrived: ClockTime,
) -> Result<Response<AnswerBody>, CallRefusal> {
    let mut upstream_time = ClockSpan::ZERO;
    let body_started = state.clock.now();
    let body = prepare_body(state, facts, body, call.request.deadline).await;
    let body_time = state.clock.now().since(body_started);
    let result = match body {
        Ok(body) => run_reviewed(state, desk, call, avoid, body, &mut upstream_time).await,
        Err(refusal) => Err(refusal),
    };
    let spent = state.clock.now().since(arrived);
    desk.meters.record_residence(spent.saturating_sub(upstream_time + body_time));
    result
}

fn end_of(result: &Result<Response<AnswerBody>, CallRefusal>) -> CallEnd {
    match result {
        Ok(answer) if !answer.status().is_server_error() => CallEnd::Answered,
        Ok(answer) if answer.headers().contains_key(head::OUTCOME) => CallEnd::NotRun,
        Ok(_) => CallEnd::UpstreamError,
        Err(refusal) if refusal.fate == CallFate::NotRun => CallEnd::NotRun,
        Err(_) => CallEnd::Unknown,
    }
}

/// Matches a request to its service and rule. Also returns the upstreams that it must not use.
fn plan(
    state: &GateState,
    parts: Parts,
    facts: &HeadFacts,
    id: &HeaderValue,
    now: ClockTime,
) -> Result<(PlannedCall, Vec<SharedName>), CallRefusal> {
    if state.waiting.load(Ordering::Acquire) {
        let message = "the gateway has no configuration yet; repeat the request elsewhere";
        let refusal = CallRefusal::not_run(StatusCode::SERVICE_UNAVAILABLE, message);
        return Err(refusal.retry_after(START_RETRY_AFTER));
    }
    let environment = state.environment.load();
    let path = parts.uri.path();
    let contract = environment.contract_for(&facts.host, path).ok_or_else(|| {
        let message = format!("no service has host {:?} and path {path:?}", facts.host);
        CallRefusal::not_run(StatusCode::NOT_FOUND, message)
    })?;
    let rule = contract.rule_for(parts.method.as_str(), path).ok_or_else(|| {
        let message = format!("service {} has no rule for {} {path}", contract.name, parts.method);
        CallRefusal::not_run(StatusCode::NOT_FOUND, message)
    })?;
    let span = facts.deadline.map_or(contract.deadline, |own| own.min(contract.deadline));
    if span == ClockSpan::ZERO {
        let message = "the deadline has passed; allow more time";
        return Err(CallRefusal::not_run(StatusCode::GATEWAY_TIMEOUT, message));
    }
    let request = CallerRequest {
        service: contract.name.clone(),
        class: rule.class,
        idempotent: rule.idempotent,
        deadline: now + span,
        attempt: 1,
        attempt_limit: None,
        depth: facts.depth,
        key: facts.key.clone(),
        fingerprint: fingerprint(&parts, facts),
    };
    let upstreams = environment.upstreams_of(&contract.name);
    let avoid = state.tables.suspects.avoid(request.fingerprint, upstreams, now);
    let mut headers = parts.headers;
    head::clean_request(&mut headers);
    let (method, uri, id) = (parts.method, parts.uri, id.clone());
    Ok((PlannedCall { request, method, uri, headers, id }, avoid))
}

fn fingerprint(parts: &Parts, facts: &HeadFacts) -> u64 {
    let mut hasher = Xxh3::new();
    for part in [&facts.host, parts.method.as_str(), parts.uri.path()] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(parts.uri.query().unwrap_or_default().as_bytes());
    hasher.update(facts.key.as_ref().map_or(&[], |key| key.as_bytes()));
    hasher.update(&facts.body_length.to_le_bytes());
    hasher.digest()
}

async fn prepare_body(
    state: &GateState,
    facts: &HeadFacts,
    body: RequestBody,
    deadline: ClockTime,
) -> Result<CallBody, CallRefusal> {
    let pause = state.options.timeouts.request_body;
    match facts.body_length {
        0 => Ok(CallBody::Empty),
        length if length <= REPLAY_LIMIT_BYTES => {
            let deadline = state.clock.to_instant(deadline).into();
            let whole = relay::read_whole(body, length as usize, pause);
            let bytes = timeout_at(deadline, whole).await.unwrap_or(Err(RelayError::TooSlow));
            Ok(CallBody::Held(bytes.map_err(refuse_body)?))
        }
        length => Ok(CallBody::Streamed(Some(relay::start_relay(body, length, pause)))),
    }
}

pub(crate) fn refuse_body(error: RelayError) -> CallRefusal {
    CallRefusal::not_run(error.status(), error).closing()
}

impl CallBody {
    /// Returns the body for the next attempt, or `None` if it cannot be sent again.
    fn next(&mut self) -> Option<RelayBody> {
        match self {
            Self::Empty => Some(RelayBody::Empty),
            Self::Held(bytes) => Some(RelayBody::Full(bytes.clone())),
            Self::Streamed(body) => body.take(),
        }
    }

    /// Returns whether `next` will return a body.
    fn is_available(&self) -> bool {
        !matches!(self, Self::Streamed(None))
    }

    fn restore(&mut self, unsent: RelayBody) {
        if let Self::Streamed(body) = self {
            *body = Some(unsent);
        }
    }
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
    let verdict = suspects.review(fingerprint, state.clock.now());
    match state.grants.get() {
        Some(grants) if verdict == SuspectVerdict::Refused => {
            if grants.ask(state, fingerprint).await {
                return suspects.review(fingerprint, state.clock.now());
            }
            verdict
        }
        _ => verdict,
    }
}

/// Runs a call if it is not suspected of crashing upstreams.
pub(crate) async fn run_reviewed(
    state: &Arc<GateState>,
    desk: &Arc<ServiceDesk>,
    call: &mut PlannedCall,
    avoid: Vec<SharedName>,
    body: CallBody,
    upstream_time: &mut ClockSpan,
) -> Result<Response<AnswerBody>, CallRefusal> {
    let fingerprint = call.request.fingerprint;
    let verdict = review(state, fingerprint).await;
    let guard = match verdict {
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
    let isolated = guard.is_some();
    let result = run_attempts(state, desk, call, avoid, body, isolated, upstream_time).await;
    drop(guard);
    result
}

async fn run_attempts(
    state: &Arc<GateState>,
    desk: &Arc<ServiceDesk>,
    call: &mut PlannedCall,
    mut avoid: Vec<SharedName>,
    mut body: CallBody,
    isolated: bool,
    upstream_time: &mut ClockSpan,
) -> Result<Response<AnswerBody>, CallRefusal> {
    let CallerRequest { service, depth, .. } = &call.request;
    state.tables.retries.record_first_at(service, *depth, state.clock.now());
    let mut allowance =
        RetryAllowance { isolated, repeated: false, lost: false, may_have_run: false };
    loop {
        let Some(current) = body.next() else {
            let message = "the request body cannot be sent again; repeat the request";
            return Err(allowance.refusal(message));
        };
        let attempt = CallAttempt { state, desk, call, avoid: &avoid };
        let mut failure = match attempt.run(current, upstream_time).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        if let Some(unsent) = failure.unsent.take() {
            body.restore(unsent);
        }
        allowance.may_have_run |= failure.fate == CallFate::Unknown;
        if !body.is_available() || !allowance.allows(state, call, &failure) {
            return allowance.end(*failure);
        }
        if let Some(answer) = failure.answer {
            answer.into_body().discard();
        }
        if failure.next != NextStep::Repeat {
            avoid.extend(failure.upstream);
        }
        call.request.attempt += 1;
        desk.meters.retries.inc();
    }
}

/// What a call may still do after failed attempts.
struct RetryAllowance {
    /// A suspect runs once only.
    isolated: bool,
    /// Whether a silent connection was replaced.
    repeated: bool,
    /// Whether a connection was lost. A second one could mean that the call crashes upstreams.
    lost: bool,
    /// Whether any attempt may have been run.
    may_have_run: bool,
}

impl RetryAllowance {
    /// Returns whether another attempt may follow, and takes what it costs.
    fn allows(&mut self, state: &GateState, call: &PlannedCall, failure: &FailedAttempt) -> bool {
        let request = &call.request;
        let may_run_twice = request.idempotent && request.key.is_none();
        if self.isolated || (failure.fate == CallFate::Unknown && !may_run_twice) {
            return false;
        }
        let now = state.clock.now();
        let allow = || state.tables.retries.allow_retry(request, now);
        match failure.next {
            NextStep::End => false,
            NextStep::Retry => allow(),
            NextStep::RetryAfterLoss => {
                let first = !std::mem::replace(&mut self.lost, true);
                first && is_clear(state, request.fingerprint, now) && allow()
            }
            NextStep::Repeat => !std::mem::replace(&mut self.repeated, true),
        }
    }

    /// Returns what the caller is told at the end.
    fn end(&self, failure: FailedAttempt) -> Result<Response<AnswerBody>, CallRefusal> {
        let FailedAttempt { answer, mut refusal, .. } = failure;
        if !self.may_have_run {
            return answer.ok_or(refusal);
        }
        refusal.fate = CallFate::Unknown;
        match answer {
            Some(answer) if answer.headers().contains_key(head::OUTCOME) => {
                answer.into_body().discard();
                Err(refusal)
            }
            Some(answer) => Ok(answer),
            None => Err(refusal),
        }
    }

    fn refusal(&self, message: &str) -> CallRefusal {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        match self.may_have_run {
            true => CallRefusal::unknown(status, message),
            false => CallRefusal::not_run(status, message),
        }
    }
}

fn is_clear(state: &GateState, fingerprint: u64, now: ClockTime) -> bool {
    let suspects = &state.tables.suspects;
    match suspects.review(fingerprint, now) {
        SuspectVerdict::Clear => true,
        SuspectVerdict::Isolated => {
            suspects.abandon(fingerprint, now);
            false
        }
        SuspectVerdict::Refused => false,
    }
}
