//! The path of one call through the gateway.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use base::prelude::*;
use bytes::Bytes;
use http::header::{HeaderMap, HeaderValue};
use http::request::Parts;
use http::{Method, Request, Response, StatusCode, Uri, Version};
use hyper::body::Incoming;
use route::prelude::*;
use world::prelude::*;
use xitca_web::body::RequestBody;
use xxhash_rust::xxh3::Xxh3;

use crate::answer::{AnswerBody, CallFate, CallRefusal, RunningCall};
use crate::claims;
use crate::head::{self, AnswerMarks, HeadFacts};
use crate::link::{LinkConnection, LinkError, SendError};
use crate::relay::{self, RelayBody, RelayError};
use crate::state::GateState;
use crate::worker;

/// Bodies up to this length are held in memory, so that a retry can send them again.
const REPLAY_LIMIT_BYTES: u64 = 64 * 1024;

/// The most attempts of one call.
const MAX_ATTEMPTS: u32 = 3;

/// When to come back if nothing better is known.
const DEFAULT_RETRY_AFTER: ClockSpan = ClockSpan::from_secs(1);

/// A call that was checked and matched to its contract.
pub(crate) struct PlannedCall {
    pub(crate) request: CallerRequest,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    headers: HeaderMap,
    pub(crate) id: HeaderValue,
}

/// The body of a call, as far as it is needed for further attempts.
pub(crate) enum CallBody {
    Empty,
    Held(Bytes),
    Streamed(Option<RelayBody>),
}

/// An attempt that brought no answer for the caller.
struct FailedAttempt {
    upstream: Option<SharedName>,
    fate: CallFate,
    refusal: CallRefusal,
    /// The upstream's own answer, for the case that there is no further attempt.
    answer: Option<Response<AnswerBody>>,
    /// The body, if no part of it was sent.
    unsent: Option<RelayBody>,
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
    let facts = head::check_head(&parts)
        .map_err(|error| CallRefusal::not_run(StatusCode::BAD_REQUEST, error).closing())?;
    let call = plan(state, parts, &facts, id)?;
    if claims::is_needed(&call.request) {
        return claims::run(state, call, &facts, body).await;
    }
    let body = prepare_body(state, &facts, body).await?;
    run_attempts(state, &call, body).await
}

fn plan(
    state: &GateState,
    parts: Parts,
    facts: &HeadFacts,
    id: &HeaderValue,
) -> Result<PlannedCall, CallRefusal> {
    if state.waiting.load(Ordering::Acquire) {
        let message = "the gateway has no configuration yet; repeat the request elsewhere";
        let refusal = CallRefusal::not_run(StatusCode::SERVICE_UNAVAILABLE, message);
        return Err(refusal.retry_after(DEFAULT_RETRY_AFTER));
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
    let deadline = facts.deadline.map_or(contract.deadline, |own| own.min(contract.deadline));
    let request = CallerRequest {
        service: contract.name.clone(),
        class: rule.class,
        idempotent: rule.idempotent,
        deadline: state.clock.now() + deadline,
        attempt: 1,
        depth: facts.depth,
        key: facts.key.clone(),
        fingerprint: fingerprint(&parts, facts),
    };
    let mut headers = parts.headers;
    head::clean_request(&mut headers);
    Ok(PlannedCall { request, method: parts.method, uri: parts.uri, headers, id: id.clone() })
}

fn fingerprint(parts: &Parts, facts: &HeadFacts) -> u64 {
    let mut hasher = Xxh3::new();
    for part in [&facts.host, parts.method.as_str(), parts.uri.path()] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(parts.uri.query().unwrap_or_default().as_bytes());
    hasher.update(facts.key.as_ref().map_or(&[], |key| key.as_bytes()));
    hasher.update(&facts.body_length.unwrap_or(0).to_le_bytes());
    hasher.digest()
}

async fn prepare_body(
    state: &GateState,
    facts: &HeadFacts,
    body: RequestBody,
) -> Result<CallBody, CallRefusal> {
    let pause = state.options.timeouts.request_body;
    match facts.body_length {
        _ if !facts.has_body => Ok(CallBody::Empty),
        Some(length) if length <= REPLAY_LIMIT_BYTES => {
            let bytes = relay::read_whole(body, length as usize, pause).await;
            let bytes = bytes.map_err(refuse_body)?;
            Ok(CallBody::Held(bytes.unwrap_or_default()))
        }
        length => Ok(CallBody::Streamed(Some(relay::start_relay(body, length, pause)))),
    }
}

pub(crate) fn refuse_body(error: RelayError) -> CallRefusal {
    let status = match error {
        RelayError::Truncated => StatusCode::BAD_REQUEST,
        RelayError::TooSlow => StatusCode::REQUEST_TIMEOUT,
    };
    CallRefusal::not_run(status, error).closing()
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

    fn restore(&mut self, unsent: RelayBody) {
        if let Self::Streamed(body) = self {
            *body = Some(unsent);
        }
    }
}

pub(crate) async fn run_attempts(
    state: &Arc<GateState>,
    call: &PlannedCall,
    mut body: CallBody,
) -> Result<Response<AnswerBody>, CallRefusal> {
    let mut avoid: Vec<SharedName> = Vec::new();
    let mut attempt = 1;
    let mut next_body = body.next();
    loop {
        let Some(current) = next_body else {
            let message = "the request body cannot be sent again; repeat the request";
            return Err(CallRefusal::not_run(StatusCode::SERVICE_UNAVAILABLE, message));
        };
        let failure = match run_attempt(state, call, current, attempt, &avoid).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        if let Some(unsent) = failure.unsent {
            body.restore(unsent);
        }
        let safe = failure.fate == CallFate::NotRun || call.request.idempotent;
        let again = safe && failure.upstream.is_some() && attempt < MAX_ATTEMPTS;
        next_body = if again { body.next() } else { None };
        if next_body.is_none() {
            return failure.answer.ok_or(failure.refusal);
        }
        if let Some(answer) = failure.answer {
            answer.into_body().discard();
        }
        avoid.extend(failure.upstream);
        attempt += 1;
    }
}

async fn run_attempt(
    state: &Arc<GateState>,
    call: &PlannedCall,
    body: RelayBody,
    attempt: u32,
    avoid: &[SharedName],
) -> Result<Response<AnswerBody>, Box<FailedAttempt>> {
    let ticket = reserve(state, call, avoid)?;
    let upstream = ticket.upstream().clone();
    let mut running = RunningCall {
        state: Arc::clone(state),
        ticket: Some(ticket),
        connection: None,
        latency: ClockSpan::ZERO,
        result: CallResult::Cancelled,
        load: None,
        deadline: call.request.deadline,
    };
    let connection = match connect(state, call, &upstream).await {
        Ok(connection) => connection,
        Err(error) => return Err(Box::new(connect_failure(running, upstream, body, &error))),
    };
    let answer = send(state, call, body, attempt, upstream, connection, &mut running).await?;
    answer.finish(&call.id, running)
}

fn reserve(
    state: &GateState,
    call: &PlannedCall,
    avoid: &[SharedName],
) -> Result<UpstreamTicket, Box<FailedAttempt>> {
    let now = state.clock.now();
    let policy = &state.options.policy;
    let reserved = worker::with_random(|random| {
        state.upstreams.reserve(policy, &call.request.service, avoid, now, random)
    });
    if reserved.is_ok() {
        state.calls.start();
    }
    reserved.map_err(|error| {
        let refusal = CallRefusal::not_run(StatusCode::SERVICE_UNAVAILABLE, error);
        Box::new(FailedAttempt {
            upstream: None,
            fate: CallFate::NotRun,
            refusal: refusal.retry_after(DEFAULT_RETRY_AFTER),
            answer: None,
            unsent: None,
        })
    })
}

async fn connect(
    state: &GateState,
    call: &PlannedCall,
    upstream: &SharedName,
) -> Result<LinkConnection, LinkError> {
    let Some(link) = state.links.link(upstream) else {
        return Err(LinkError::ShareUsed { limit: 0 });
    };
    let now = state.clock.now();
    let proven_since = if call.request.idempotent {
        ClockTime::ZERO
    } else {
        now - state.options.timeouts.connection_proof
    };
    if let Some(connection) = link.take_idle(proven_since) {
        return Ok(connection);
    }
    let timeout = state.options.timeouts.connect.min(call.request.deadline.since(now));
    match link.connect(timeout, state.clock).await {
        Err(LinkError::ShareUsed { .. }) if link.close_idle() => {
            link.connect(timeout, state.clock).await
        }
        result => result,
    }
}

fn connect_failure(
    mut running: RunningCall,
    upstream: SharedName,
    body: RelayBody,
    error: &LinkError,
) -> FailedAttempt {
    let result = match error {
        LinkError::ShareUsed { .. } => CallResult::Cancelled,
        _ => CallResult::ConnectFailed,
    };
    running.report(result);
    let refusal = CallRefusal::not_run(StatusCode::BAD_GATEWAY, error);
    FailedAttempt {
        upstream: Some(upstream),
        fate: CallFate::NotRun,
        refusal: refusal.retry_after(DEFAULT_RETRY_AFTER),
        answer: None,
        unsent: Some(body),
    }
}

/// The head of an upstream's answer, with what to do with it.
struct UpstreamAnswer {
    response: Response<Incoming>,
    marks: AnswerMarks,
    upstream: SharedName,
}

async fn send(
    state: &GateState,
    call: &PlannedCall,
    body: RelayBody,
    attempt: u32,
    upstream: SharedName,
    mut connection: LinkConnection,
    running: &mut RunningCall,
) -> Result<UpstreamAnswer, Box<FailedAttempt>> {
    let started = state.clock.now();
    let request = upstream_request(call, body, attempt, started);
    let deadline = state.clock.to_instant(call.request.deadline).into();
    let sent = tokio::time::timeout_at(deadline, connection.send(request)).await;
    running.latency = state.clock.now().since(started);
    match sent {
        Ok(Ok(mut response)) => {
            running.connection = Some(connection);
            let marks = head::clean_answer(response.headers_mut());
            running.load = marks.load;
            running.result = judge(&response, marks);
            Ok(UpstreamAnswer { response, marks, upstream })
        }
        Ok(Err(SendError::NotSent { source, request })) => {
            running.report(CallResult::Cancelled);
            let message = format!("the connection closed before the request was sent: {source}");
            let refusal = CallRefusal::not_run(StatusCode::BAD_GATEWAY, message);
            let unsent = Some(request.into_body());
            let fate = CallFate::NotRun;
            let upstream = Some(upstream);
            Err(Box::new(FailedAttempt { upstream, fate, refusal, answer: None, unsent }))
        }
        Ok(Err(error @ SendError::Lost { .. })) => {
            running.report(CallResult::ConnectionLost);
            let refusal = CallRefusal::unknown(StatusCode::BAD_GATEWAY, error);
            Err(Box::new(unknown_fate(Some(upstream), refusal)))
        }
        Err(_) => {
            running.report(CallResult::TimedOut);
            let message = "the upstream did not answer within the deadline";
            let refusal = CallRefusal::unknown(StatusCode::GATEWAY_TIMEOUT, message);
            Err(Box::new(unknown_fate(None, refusal)))
        }
    }
}

fn unknown_fate(upstream: Option<SharedName>, refusal: CallRefusal) -> FailedAttempt {
    FailedAttempt { upstream, fate: CallFate::Unknown, refusal, answer: None, unsent: None }
}

fn judge(response: &Response<Incoming>, marks: AnswerMarks) -> CallResult {
    match response.status() {
        StatusCode::SERVICE_UNAVAILABLE if marks.shed => CallResult::Shed,
        status if status.is_server_error() => CallResult::ServerError,
        _ => CallResult::Success,
    }
}

fn upstream_request(
    call: &PlannedCall,
    body: RelayBody,
    attempt: u32,
    now: ClockTime,
) -> Request<RelayBody> {
    let mut request = Request::new(body);
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = origin_form(&call.uri);
    *request.version_mut() = Version::HTTP_11;
    let headers = request.headers_mut();
    headers.clone_from(&call.headers);
    let remaining = call.request.deadline.since(now);
    head::mark_request(headers, remaining, attempt, call.request.depth, &call.id);
    request
}

fn origin_form(uri: &Uri) -> Uri {
    match (uri.authority(), uri.path_and_query()) {
        (Some(_), Some(path)) => Uri::from(path.clone()),
        _ => uri.clone(),
    }
}

impl UpstreamAnswer {
    fn finish(
        self,
        id: &HeaderValue,
        running: RunningCall,
    ) -> Result<Response<AnswerBody>, Box<FailedAttempt>> {
        let Self { response, marks, upstream } = self;
        let result = running.result;
        let (mut parts, incoming) = response.into_parts();
        parts.headers.insert(head::REQUEST_ID, id.clone());
        if marks.shed {
            parts.headers.insert(head::OUTCOME, HeaderValue::from_static("not-run"));
        }
        let body = AnswerBody::relayed(incoming, running);
        let answer = Response::from_parts(parts, body);
        if result == CallResult::Success {
            return Ok(answer);
        }
        let fate = if marks.shed { CallFate::NotRun } else { CallFate::Unknown };
        let message = "the upstream reported an error";
        let refusal = CallRefusal::unknown(StatusCode::BAD_GATEWAY, message);
        Err(Box::new(FailedAttempt {
            upstream: Some(upstream),
            fate,
            refusal,
            answer: Some(answer),
            unsent: None,
        }))
    }
}
