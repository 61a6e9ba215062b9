//! One attempt of a call at one upstream.

use std::error::Error as _;
use std::marker::PhantomData;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use base::prelude::*;
use codec::prelude::*;
use http::{Request, Response, StatusCode, Uri, Version};
use hyper::body::Incoming;
use limit::prelude::RefusalKind;
use route::prelude::*;
use tokio::time::timeout_at;
use trace::prelude::CallCause;

use crate::answer::AnswerBody;
use crate::body::{BodyError, SendBody};
use crate::cancel::{self, CancelGuard};
use crate::connection::{LinkConnection, SendError};
use crate::crash;
use crate::decision::PlacedChoice;
use crate::desk::ServiceDesk;
use crate::link::{ConnectUse, LinkError, UpstreamLink};
use crate::plan::PlannedCall;
use crate::retry::{self, NextStep};
use crate::room::WaitEnd;
use crate::running::RunningCall;
use crate::silence::SilenceWatch;
use crate::slot::{CallSlot, NoSlot};
use crate::state::GateState;
use crate::survey::{self, UpstreamSurvey};
use crate::time::UpstreamTime;
use crate::wait;

/// The part of a call's time that is kept for its cancellation, so that the caller learns before
/// its deadline whether the call was run.
const CANCEL_PART: f64 = 0.1;
/// The most time that is kept for the cancellation, several round trips within a region.
const CANCEL_SPAN: ClockSpan = ClockSpan::from_millis(20);

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
    pub unsent: Option<SendBody>,
    /// What may follow.
    pub next: NextStep,
}

impl FailedAttempt {
    pub(crate) fn ended(refusal: CallRefusal) -> Box<Self> {
        let fate = refusal.fate;
        let next = NextStep::End;
        Box::new(Self { upstream: None, fate, refusal, answer: None, unsent: None, next })
    }

    pub(crate) fn at(upstream: SharedName, refusal: CallRefusal, next: NextStep) -> Box<Self> {
        Box::new(Self { upstream: Some(upstream), next, ..*Self::ended(refusal) })
    }
}

/// The attempt to make.
pub struct CallAttempt<'a, C> {
    /// The gateway.
    pub state: &'a Arc<GateState>,
    /// The desk of the service.
    pub desk: &'a Arc<ServiceDesk>,
    /// The call.
    pub call: &'a PlannedCall,
    /// Sums up the time of upstreams.
    pub time: &'a UpstreamTime,
    /// How the call is encoded.
    pub codec: PhantomData<C>,
}

/// An attempt that has a slot on an upstream.
pub struct PlacedAttempt {
    link: Arc<UpstreamLink>,
    running: RunningCall,
    /// A connection that answered a check just now.
    checked: Option<LinkConnection>,
    /// Why the upstream was chosen.
    pub choice: PlacedChoice,
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

/// The answer of an attempt, or why there is none.
pub type AttemptResult = Result<Response<AnswerBody>, Box<FailedAttempt>>;

impl<C: CallCodec> CallAttempt<'_, C> {
    /// Chooses an upstream other than those to avoid, and waits for a slot if necessary.
    ///
    /// # Errors
    ///
    /// Returns the failure if there is no slot for the call.
    pub async fn place(&self, avoid: &[SharedName]) -> Result<PlacedAttempt, Box<FailedAttempt>> {
        let Self { state, desk, call, .. } = *self;
        let started = state.clock.now();
        let survey = if state.options.tuning.survey {
            survey::survey::<C>(state, desk, avoid, call.request.idempotent).await
        } else {
            UpstreamSurvey::default()
        };
        let slot = match self.slot(avoid).await {
            Ok(slot) => slot,
            Err(failure) => {
                survey.put_back(state);
                return Err(failure);
            }
        };
        let Some(link) = slot.upstream().and_then(|name| state.links.link(name)) else {
            survey.put_back(state);
            let message = "the upstream was removed from the environment; repeat the request";
            let refusal = self.refuse(message).because(CallCause::NoUpstream);
            return Err(FailedAttempt::ended(refusal));
        };
        let checked = survey.take(state, &link.server().name);
        let choice = PlacedChoice::new(&slot, checked.is_some(), started, state.clock.now());
        let running = RunningCall::new(state, slot, link.server().name.clone(), &call.request);
        Ok(PlacedAttempt { link, running, checked, choice })
    }

    /// Makes a placed attempt.
    ///
    /// # Errors
    ///
    /// Returns the failure if there is no answer for the caller.
    pub async fn run(&self, placed: PlacedAttempt, mut body: SendBody) -> AttemptResult {
        let PlacedAttempt { link, mut running, mut checked, .. } = placed;
        let mut proven_since = self.proven_since();
        loop {
            let was_checked = checked.is_some();
            let connection = match checked.take() {
                Some(connection) => connection,
                None => match self.connect(&link, proven_since).await {
                    Ok(connection) => connection,
                    Err(error) => return Err(self.connect_failure(running, body, &error)),
                },
            };
            let reused = was_checked || connection.is_pooled();
            running.start();
            match self.send(&link, body, connection, &mut running).await {
                Ok(response) => return self.finish(response, running).await,
                Err(mut failure) => match failure.unsent.take() {
                    // An idle connection may close at any time, which says nothing of the upstream.
                    Some(unsent) if reused => {
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

    async fn slot(&self, avoid: &[SharedName]) -> Result<CallSlot, Box<FailedAttempt>> {
        let Self { state, desk, call, .. } = *self;
        let now = state.clock.now();
        if desk.waiting.load(Ordering::Relaxed) == 0 {
            match CallSlot::acquire(state, desk, avoid, now) {
                Ok(slot) => return Ok(slot),
                Err(NoSlot::Unavailable(error)) => {
                    return Err(FailedAttempt::ended(self.no_upstream(&error)));
                }
                Err(NoSlot::Limit | NoSlot::Full) => {}
            }
        }
        let end = match wait::wait_for_slot(state, desk, &call.request, avoid).await {
            Ok(slot) => return Ok(slot),
            Err(end) => end,
        };
        Err(FailedAttempt::ended(match end {
            WaitEnd::Unavailable(error) => self.no_upstream(&error),
            WaitEnd::Refused(reason) => {
                desk.note_refusal(&reason, state.clock.now());
                self.refuse(&format!("no slot for the call: {reason}"))
                    .because(queue_cause(reason.kind))
                    .retry_after(reason.retry_after)
            }
            WaitEnd::Deadline => {
                let message = "the deadline passed before the call got a slot; allow more time";
                let refusal = CallRefusal::not_run(StatusCode::GATEWAY_TIMEOUT, message);
                let refusal = refusal.because(CallCause::DeadlineInQueue);
                refusal.retry_after(state.options.tuning.retry_after)
            }
        }))
    }

    fn no_upstream(&self, error: &NoUpstream) -> CallRefusal {
        self.refuse(&error.to_string()).because(CallCause::NoUpstream)
    }

    /// Returns the refusal of a call that no upstream got.
    pub(crate) fn refuse(&self, message: &str) -> CallRefusal {
        let refusal = CallRefusal::not_run(StatusCode::SERVICE_UNAVAILABLE, message);
        refusal.retry_after(self.state.options.tuning.retry_after)
    }

    fn proven_since(&self) -> ClockTime {
        if retry::may_run_twice(&self.call.request) {
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
        body: SendBody,
        error: &LinkError,
    ) -> Box<FailedAttempt> {
        let upstream = running.upstream.clone();
        crash::note_connect_failure(self.state, &upstream, error);
        let result = match error {
            LinkError::ShareUsed { .. } => CallResult::Cancelled,
            _ => CallResult::ConnectFailed,
        };
        running.report(result);
        let refusal = self.unsent_refusal(&error.to_string());
        let failure = FailedAttempt::at(upstream, refusal, NextStep::Retry);
        Box::new(FailedAttempt { unsent: Some(body), ..*failure })
    }

    fn unsent_refusal(&self, message: &str) -> CallRefusal {
        let refusal = CallRefusal::not_run(StatusCode::BAD_GATEWAY, message);
        let refusal = refusal.because(CallCause::ConnectFailed);
        refusal.retry_after(self.state.options.tuning.retry_after)
    }

    async fn send(
        &self,
        link: &Arc<UpstreamLink>,
        body: SendBody,
        mut connection: LinkConnection,
        running: &mut RunningCall,
    ) -> Result<Response<Incoming>, Box<FailedAttempt>> {
        let sent = self.state.clock.now();
        let request = self.upstream_request(body, sent, &running.upstream);
        let mut guard = if C::CONFIRMS_CANCELS {
            CancelGuard::new(self.state, link, &self.call.id)
        } else {
            CancelGuard::idle()
        };
        let end = self.await_answer(link, &mut connection, request, sent).await;
        guard.disarm();
        let span = self.state.clock.now().since(sent);
        running.latency = span;
        self.time.add(span);
        self.desk.meters.record_upstream(span);
        match end {
            SendEnd::Answer(response) => {
                running.connection = Some(connection);
                Ok(response)
            }
            SendEnd::Failed(error) => Err(self.send_failure(running, error).await),
            SendEnd::TimedOut { cancelled } => {
                // A silent connection says nothing of its upstream.
                let silent = link.is_retired(connection.opened());
                running.report(if silent { CallResult::Cancelled } else { CallResult::TimedOut });
                Err(FailedAttempt::ended(self.timeout_refusal(cancelled)))
            }
            SendEnd::Silent => {
                running.report(CallResult::Cancelled);
                let message = "the connection to the upstream stopped responding";
                let refusal = CallRefusal::unknown(StatusCode::BAD_GATEWAY, message);
                let refusal = refusal.because(CallCause::Silent);
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
                let refusal = self.unsent_refusal(&message);
                let failure = FailedAttempt::at(upstream, refusal, NextStep::Retry);
                Box::new(FailedAttempt { unsent: Some(request.into_body()), ..*failure })
            }
            SendError::Lost { source } => {
                let body_error =
                    source.source().and_then(|cause| cause.downcast_ref::<BodyError>());
                if let Some(error) = body_error {
                    running.report(CallResult::Cancelled);
                    let refusal = CallRefusal::unknown(error.status(), error).closing();
                    let refusal = refusal.because(error.call_cause());
                    return FailedAttempt::ended(refusal);
                }
                // Errors of the body that is sent are not the upstream's.
                if source.is_user() {
                    running.report(CallResult::Cancelled);
                    let message = format!("the request body could not be sent: {source}");
                    let refusal = CallRefusal::unknown(StatusCode::BAD_REQUEST, message).closing();
                    let refusal = refusal.because(CallCause::BadRequest);
                    return FailedAttempt::ended(refusal);
                }
                running.report(CallResult::ConnectionLost);
                crash::inspect_loss(self.state, &upstream).await;
                let message = format!("the connection failed after the request was sent: {source}");
                let refusal = CallRefusal::unknown(StatusCode::BAD_GATEWAY, message);
                let refusal = refusal.because(CallCause::ConnectionLost);
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
        request: Request<SendBody>,
        sent: ClockTime,
    ) -> SendEnd {
        let Self { state, desk, call, .. } = *self;
        let deadline = call.request.deadline;
        let kept = deadline.since(sent).scaled(CANCEL_PART).min(CANCEL_SPAN);
        let give_up = if C::CONFIRMS_CANCELS { deadline - kept } else { deadline };
        let may_repeat = retry::may_run_twice(&call.request);
        // A survey proves the connection, which spares the watch.
        let watched = !state.options.tuning.survey;
        let watch = watched.then(|| SilenceWatch::start(connection, &call.request, sent));
        let mut watch = watch.flatten();
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
                silent = own.check::<C>(state, desk) => silent,
            };
            if silent && may_repeat {
                return SendEnd::Silent;
            }
            if silent {
                watch = None;
            }
        }
        if !C::CONFIRMS_CANCELS {
            return SendEnd::TimedOut { cancelled: false };
        }
        let cancellation = cancel::cancel(state, link, &call.id, kept);
        tokio::select! {
            biased;
            result = &mut sending => result.into(),
            cancelled = cancellation => SendEnd::TimedOut { cancelled },
        }
    }

    fn upstream_request(
        &self,
        body: SendBody,
        now: ClockTime,
        upstream: &str,
    ) -> Request<SendBody> {
        let call = self.call;
        let mut request = Request::new(body);
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = origin_form(&call.uri);
        *request.version_mut() = Version::HTTP_11;
        let headers = request.headers_mut();
        headers.clone_from(&call.headers);
        let remaining = call.request.deadline.since(now);
        let (attempt, depth, id) = (call.request.attempt, call.request.depth, &call.id);
        C::mark_request(headers, &RequestMark { remaining, attempt, depth, id, upstream });
        request
    }

    pub(crate) fn timeout_refusal(&self, cancelled: bool) -> CallRefusal {
        let status = StatusCode::GATEWAY_TIMEOUT;
        if cancelled {
            let message = "the call waited at the upstream until its deadline and was cancelled";
            let refusal = CallRefusal::not_run(status, message).because(CallCause::Timeout);
            refusal.retry_after(self.state.options.tuning.retry_after)
        } else {
            let message = "the upstream did not answer within the deadline";
            CallRefusal::unknown(status, message).because(CallCause::Timeout)
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

fn origin_form(uri: &Uri) -> Uri {
    match (uri.authority(), uri.path_and_query()) {
        (Some(_), Some(path)) => Uri::from(path.clone()),
        _ => uri.clone(),
    }
}
