//! One attempt of a call at one upstream.

use std::error::Error as _;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use base::prelude::*;
use http::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use http::{Method, Request, Response, StatusCode, Uri, Version};
use hyper::body::Incoming;
use route::prelude::*;
use tokio::time::timeout_at;
use world::prelude::*;

use crate::answer::{AnswerBody, CallFate, CallRefusal, RunningCall};
use crate::cancel::{self, CancelGuard};
use crate::crash;
use crate::desk::ServiceDesk;
use crate::head::{self, AnswerMarks};
use crate::link::{ConnectUse, LinkConnection, LinkError, SendError, UpstreamLink};
use crate::relay::{RelayBody, RelayError};
use crate::silence::SilenceWatch;
use crate::slot::{CallSlot, NoSlot};
use crate::state::GateState;
use crate::wait::{self, WaitEnd};

/// When to come back if nothing better is known.
const DEFAULT_RETRY_AFTER: ClockSpan = ClockSpan::from_secs(1);
/// The part of a call's time that is kept for its cancellation, so that the caller learns before
/// its deadline whether the call was run.
const CANCEL_PART: f64 = 0.1;
/// The most time that is kept for the cancellation, several round trips within a region.
const CANCEL_SPAN: ClockSpan = ClockSpan::from_millis(20);

/// A call that was checked and matched to its contract.
pub struct PlannedCall {
    /// What decisions need to know.
    pub request: CallerRequest,
    /// The method.
    pub method: Method,
    /// The target.
    pub uri: Uri,
    /// The caller's headers that upstreams get.
    pub headers: HeaderMap,
    /// The id by which the call can be cancelled.
    pub id: HeaderValue,
}

/// What may follow a failed attempt. The outcome of the call limits it further.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// No further attempt.
    End,
    /// Another upstream, within the retry budget.
    Retry,
    /// As `Retry`, unless the call is suspected of having crashed the upstream.
    RetryAfterLoss,
    /// The same upstream on a fresh connection. It costs no retry token, because the upstream has
    /// not answered the first attempt and probably never saw it.
    Repeat,
}

/// An attempt that brought no answer for the caller.
pub struct FailedAttempt {
    /// The upstream that failed.
    pub upstream: Option<SharedName>,
    /// Whether the attempt was run.
    pub fate: CallFate,
    /// What the caller is told if there is no further attempt.
    pub refusal: CallRefusal,
    /// The upstream's own answer, for the case that there is no further attempt.
    pub answer: Option<Response<AnswerBody>>,
    /// The body, if no part of it was sent.
    pub unsent: Option<RelayBody>,
    /// What may follow.
    pub next: NextStep,
}

impl FailedAttempt {
    fn ended(refusal: CallRefusal) -> Box<Self> {
        let fate = refusal.fate;
        let next = NextStep::End;
        Box::new(Self { upstream: None, fate, refusal, answer: None, unsent: None, next })
    }

    fn at(upstream: SharedName, refusal: CallRefusal, next: NextStep) -> Box<Self> {
        Box::new(Self { upstream: Some(upstream), next, ..*Self::ended(refusal) })
    }
}

/// The attempt to make.
pub struct CallAttempt<'a> {
    /// The gateway.
    pub state: &'a Arc<GateState>,
    /// The desk of the service.
    pub desk: &'a Arc<ServiceDesk>,
    /// The call.
    pub call: &'a PlannedCall,
    /// Upstreams that should not be used.
    pub avoid: &'a [SharedName],
}

/// How the wait for the head of an answer ended.
enum SendEnd {
    Answer(Response<Incoming>),
    Failed(SendError),
    TimedOut { cancelled: bool },
    Silent,
}

impl From<Result<Response<Incoming>, SendError>> for SendEnd {
    fn from(result: Result<Response<Incoming>, SendError>) -> Self {
        match result {
            Ok(response) => Self::Answer(response),
            Err(error) => Self::Failed(error),
        }
    }
}

impl CallAttempt<'_> {
    /// Makes the attempt. Adds the time of the upstream to `upstream_time`.
    ///
    /// # Errors
    ///
    /// Returns the failure if there is no answer for the caller.
    pub async fn run(
        &self,
        mut body: RelayBody,
        upstream_time: &mut ClockSpan,
    ) -> Result<Response<AnswerBody>, Box<FailedAttempt>> {
        let slot = self.slot().await?;
        let Some(link) = slot.upstream().and_then(|name| self.state.links.link(name)) else {
            let message = "the upstream was removed from the environment; repeat the request";
            let refusal = CallRefusal::not_run(StatusCode::SERVICE_UNAVAILABLE, message);
            return Err(FailedAttempt::ended(refusal.retry_after(DEFAULT_RETRY_AFTER)));
        };
        let upstream = link.server().name.clone();
        let mut running = RunningCall::new(self.state, slot, upstream, &self.call.request);
        let mut proven_since = self.proven_since();
        loop {
            let connection = match self.connect(&link, proven_since).await {
                Ok(connection) => connection,
                Err(error) => return Err(self.connect_failure(running, body, &error)),
            };
            let pooled = connection.is_pooled();
            running.start();
            let sent = self.send(&link, body, connection, &mut running, upstream_time).await;
            match sent {
                Ok(response) => return finish(response, &self.call.id, running),
                Err(mut failure) => match failure.unsent.take() {
                    // An idle connection may close at any time, which says nothing of the upstream.
                    Some(unsent) if pooled => {
                        body = unsent;
                        proven_since = ClockTime::MAX;
                    }
                    unsent => {
                        // The upstream closed a new connection, or the outcome is reported already.
                        running.report(CallResult::ConnectFailed);
                        failure.unsent = unsent;
                        return Err(failure);
                    }
                },
            }
        }
    }

    async fn slot(&self) -> Result<CallSlot, Box<FailedAttempt>> {
        let Self { state, desk, call, avoid } = *self;
        let now = state.clock.now();
        if desk.waiting.load(Ordering::Relaxed) == 0 {
            match CallSlot::acquire(state, desk, avoid, now) {
                Ok(slot) => return Ok(slot),
                Err(NoSlot::Unavailable(error)) => return Err(unavailable(&error)),
                Err(NoSlot::Limit | NoSlot::Full) => {}
            }
        }
        match wait::wait_for_slot(state, desk, &call.request, avoid).await {
            Ok(slot) => Ok(slot),
            Err(WaitEnd::Unavailable(error)) => Err(unavailable(&error)),
            Err(WaitEnd::Refused(reason)) => {
                desk.note_refusal(&reason, state.clock.now());
                let message = format!("no slot for the call: {reason}");
                let refusal = CallRefusal::not_run(StatusCode::SERVICE_UNAVAILABLE, message);
                Err(FailedAttempt::ended(refusal.retry_after(reason.retry_after)))
            }
            Err(WaitEnd::Deadline) => {
                let message = "the deadline passed before the call got a slot; allow more time";
                let refusal = CallRefusal::not_run(StatusCode::GATEWAY_TIMEOUT, message);
                Err(FailedAttempt::ended(refusal.retry_after(DEFAULT_RETRY_AFTER)))
            }
        }
    }

    fn proven_since(&self) -> ClockTime {
        if self.call.request.idempotent && self.call.request.key.is_none() {
            return ClockTime::ZERO;
        }
        self.state.clock.now() - self.state.options.timeouts.connection_proof
    }

    async fn connect(
        &self,
        link: &Arc<UpstreamLink>,
        proven_since: ClockTime,
    ) -> Result<LinkConnection, LinkError> {
        let state = self.state;
        let longest = state.options.timeouts.connect;
        if let Some(connection) = link.take_idle(proven_since) {
            link.open_spare(longest, state.clock);
            return Ok(connection);
        }
        let timeout = longest.min(self.call.request.deadline.since(state.clock.now()));
        match link.connect(ConnectUse::Call, timeout, state.clock).await {
            Err(LinkError::ShareUsed { .. }) if link.close_idle() => {
                link.connect(ConnectUse::Call, timeout, state.clock).await
            }
            result => result,
        }
    }

    fn connect_failure(
        &self,
        mut running: RunningCall,
        body: RelayBody,
        error: &LinkError,
    ) -> Box<FailedAttempt> {
        let upstream = running.upstream.clone();
        crash::note_connect_failure(self.state, &upstream, error);
        let result = match error {
            LinkError::ShareUsed { .. } => CallResult::Cancelled,
            _ => CallResult::ConnectFailed,
        };
        running.report(result);
        let refusal = CallRefusal::not_run(StatusCode::BAD_GATEWAY, error);
        let refusal = refusal.retry_after(DEFAULT_RETRY_AFTER);
        let failure = FailedAttempt::at(upstream, refusal, NextStep::Retry);
        Box::new(FailedAttempt { unsent: Some(body), ..*failure })
    }

    async fn send(
        &self,
        link: &Arc<UpstreamLink>,
        body: RelayBody,
        mut connection: LinkConnection,
        running: &mut RunningCall,
        upstream_time: &mut ClockSpan,
    ) -> Result<Response<Incoming>, Box<FailedAttempt>> {
        let sent = self.state.clock.now();
        let request = self.upstream_request(body, sent);
        let mut guard = CancelGuard::new(self.state, link, &self.call.id);
        let end = self.await_answer(link, &mut connection, request, sent).await;
        guard.disarm();
        let span = self.state.clock.now().since(sent);
        running.latency = span;
        *upstream_time += span;
        self.desk.meters.record_upstream(span);
        match end {
            SendEnd::Answer(mut response) => {
                running.connection = Some(connection);
                let marks = head::clean_answer(response.headers_mut());
                running.load = marks.load;
                running.result = judge(&response, marks);
                Ok(response)
            }
            SendEnd::Failed(error) => Err(self.send_failure(running, error).await),
            SendEnd::TimedOut { cancelled } => {
                // A silent connection says nothing of its upstream.
                let silent = link.is_retired(connection.opened());
                running.report(if silent { CallResult::Cancelled } else { CallResult::TimedOut });
                Err(FailedAttempt::ended(timeout_refusal(cancelled)))
            }
            SendEnd::Silent => {
                running.report(CallResult::Cancelled);
                let message = "the connection to the upstream stopped responding";
                let refusal = CallRefusal::unknown(StatusCode::BAD_GATEWAY, message);
                Err(FailedAttempt::at(running.upstream.clone(), refusal, NextStep::Repeat))
            }
        }
    }

    async fn send_failure(
        &self,
        running: &mut RunningCall,
        error: SendError,
    ) -> Box<FailedAttempt> {
        let upstream = running.upstream.clone();
        match error {
            SendError::NotSent { source, request } => {
                let message =
                    format!("the connection closed before the request was sent: {source}");
                let refusal = CallRefusal::not_run(StatusCode::BAD_GATEWAY, message);
                let refusal = refusal.retry_after(DEFAULT_RETRY_AFTER);
                let failure = FailedAttempt::at(upstream, refusal, NextStep::Retry);
                Box::new(FailedAttempt { unsent: Some(request.into_body()), ..*failure })
            }
            SendError::Lost { source } => {
                let body_error =
                    source.source().and_then(|cause| cause.downcast_ref::<RelayError>());
                if let Some(error) = body_error {
                    running.report(CallResult::Cancelled);
                    let refusal = CallRefusal::unknown(error.status(), error).closing();
                    return FailedAttempt::ended(refusal);
                }
                // Errors of the body that is sent are not the upstream's.
                if source.is_user() {
                    running.report(CallResult::Cancelled);
                    let message = format!("the request body could not be sent: {source}");
                    let refusal = CallRefusal::unknown(StatusCode::BAD_REQUEST, message).closing();
                    return FailedAttempt::ended(refusal);
                }
                running.report(CallResult::ConnectionLost);
                crash::inspect_loss(self.state, &upstream).await;
                let message = format!("the connection failed after the request was sent: {source}");
                let refusal = CallRefusal::unknown(StatusCode::BAD_GATEWAY, message);
                FailedAttempt::at(upstream, refusal, NextStep::RetryAfterLoss)
            }
        }
    }

    /// Sends a request and waits for the head of its answer, for as long as the call has time. The
    /// connection stays open while the call is cancelled, because an upstream may take a closed
    /// connection for the end of the call and then not confirm.
    async fn await_answer(
        &self,
        link: &Arc<UpstreamLink>,
        connection: &mut LinkConnection,
        request: Request<RelayBody>,
        sent: ClockTime,
    ) -> SendEnd {
        let Self { state, desk, call, .. } = *self;
        let deadline = call.request.deadline;
        let kept = deadline.since(sent).scaled(CANCEL_PART).min(CANCEL_SPAN);
        let give_up = deadline - kept;
        let may_repeat = call.request.idempotent && call.request.key.is_none();
        let mut watch = SilenceWatch::start(connection, &call.request, sent);
        let mut sending = pin!(connection.send(request));
        loop {
            let check = watch.as_ref().map(SilenceWatch::next).filter(|next| *next < give_up);
            let until = state.clock.to_instant(check.unwrap_or(give_up)).into();
            if let Ok(result) = timeout_at(until, &mut sending).await {
                return result.into();
            }
            let (Some(_), Some(own)) = (check, &mut watch) else { break };
            let silent = tokio::select! {
                biased;
                result = &mut sending => return result.into(),
                silent = own.check(state, desk) => silent,
            };
            if silent && may_repeat {
                return SendEnd::Silent;
            }
            if silent {
                watch = None;
            }
        }
        let cancellation = cancel::cancel(state, link, &call.id, kept);
        tokio::select! {
            biased;
            result = &mut sending => result.into(),
            cancelled = cancellation => SendEnd::TimedOut { cancelled },
        }
    }

    fn upstream_request(&self, body: RelayBody, now: ClockTime) -> Request<RelayBody> {
        let call = self.call;
        let mut request = Request::new(body);
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = origin_form(&call.uri);
        *request.version_mut() = Version::HTTP_11;
        let headers = request.headers_mut();
        headers.clone_from(&call.headers);
        let CallerRequest { deadline, attempt, depth, .. } = call.request;
        head::mark_request(headers, deadline.since(now), attempt, depth, &call.id);
        request
    }
}

fn unavailable(error: &NoUpstream) -> Box<FailedAttempt> {
    let refusal = CallRefusal::not_run(StatusCode::SERVICE_UNAVAILABLE, error);
    FailedAttempt::ended(refusal.retry_after(DEFAULT_RETRY_AFTER))
}

fn timeout_refusal(cancelled: bool) -> CallRefusal {
    let status = StatusCode::GATEWAY_TIMEOUT;
    if cancelled {
        let message = "the call waited at the upstream until its deadline and was cancelled";
        CallRefusal::not_run(status, message).retry_after(DEFAULT_RETRY_AFTER)
    } else {
        CallRefusal::unknown(status, "the upstream did not answer within the deadline")
    }
}

fn judge(response: &Response<Incoming>, marks: AnswerMarks) -> CallResult {
    match response.status() {
        StatusCode::SERVICE_UNAVAILABLE if marks.shed => CallResult::Shed,
        status if status.is_server_error() => CallResult::ServerError,
        _ => CallResult::Success,
    }
}

fn origin_form(uri: &Uri) -> Uri {
    match (uri.authority(), uri.path_and_query()) {
        (Some(_), Some(path)) => Uri::from(path.clone()),
        _ => uri.clone(),
    }
}

/// Passes an answer on, or returns it with the failure that it reports.
fn finish(
    response: Response<Incoming>,
    id: &HeaderValue,
    running: RunningCall,
) -> Result<Response<AnswerBody>, Box<FailedAttempt>> {
    let (result, upstream) = (running.result, running.upstream.clone());
    let shed = result == CallResult::Shed;
    let (mut parts, incoming) = response.into_parts();
    parts.headers.insert(head::REQUEST_ID, id.clone());
    if shed {
        parts.headers.insert(head::OUTCOME, HeaderValue::from_static("not-run"));
        let seconds = HeaderValue::from(DEFAULT_RETRY_AFTER.as_millis() / 1000);
        parts.headers.entry(RETRY_AFTER).or_insert(seconds);
    }
    let answer = Response::from_parts(parts, AnswerBody::relayed(incoming, running));
    if result == CallResult::Success {
        return Ok(answer);
    }
    let message = "the upstream reported an error";
    let refusal = match shed {
        true => CallRefusal::not_run(StatusCode::SERVICE_UNAVAILABLE, message),
        false => CallRefusal::unknown(StatusCode::BAD_GATEWAY, message),
    };
    let failure = FailedAttempt::at(upstream, refusal, NextStep::Retry);
    Err(Box::new(FailedAttempt { answer: Some(answer), ..*failure }))
}
