//! Sends the request of an attempt and waits for the head of the answer.

use std::error::Error as _;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use base::prelude::*;
use codec::prelude::*;
use http::{Request, Response, StatusCode, Uri, Version};
use hyper::body::Incoming;
use route::prelude::*;
use tokio::time::timeout_at;
use trace::prelude::CallCause;

use crate::attempt::{CallAttempt, FailedAttempt, SelectedAttempt};
use crate::body::{BodyError, SendBody};
use crate::cancel::{self, CancelGuard};
use crate::connection::SendError;
use crate::crash;
use crate::link::{LinkConnection, UpstreamLink};
use crate::mechanism::Mechanism;
use crate::plan;
use crate::retry::{self, NextStep};
use crate::running::RunningCall;
use crate::silence::SilenceWatch;
use crate::stall::StallWatch;
use crate::stop_check;

/// The fraction of a call's remaining time that is reserved for cancelling it, so that the caller
/// learns before its deadline whether the call was run.
const CANCEL_FRACTION: f64 = 0.1;
/// The most time that is reserved for cancelling a call: several round trips within a region.
const MAX_CANCEL_TIME: ClockSpan = ClockSpan::from_millis(20);

/// How the wait for the head of an answer ended.
enum SendEnd {
    /// The head of an answer arrived.
    Answer(Response<Incoming>),
    /// The connection failed.
    Failed(SendError),
    /// The time of the call is over. `cancelled` says whether the upstream confirmed the
    /// cancellation.
    TimedOut { cancelled: bool },
    /// The connection is silent: it no longer responds, while a new one works.
    Silent,
    /// The call was lost at the upstream, and another attempt was selected and taken from the budget.
    Stalled(Box<SelectedAttempt>),
}

impl From<Result<Response<Incoming>, SendError>> for SendEnd {
    fn from(result: Result<Response<Incoming>, SendError>) -> Self {
        match result {
            Ok(response) => Self::Answer(response),
            Err(error) => Self::Failed(error),
        }
    }
}

impl<C: CallCodec> CallAttempt<'_, C> {
    /// Sends the request on a connection and waits for the head of the answer.
    pub(crate) async fn send(
        &self,
        link: &Arc<UpstreamLink>,
        body: SendBody,
        mut connection: LinkConnection,
        running: &mut RunningCall,
    ) -> Result<Response<Incoming>, Box<FailedAttempt>> {
        let sent = self.state.clock.now();
        // Timers do not count the time in which the machine was suspended, but the clock does.
        if self.call.request.deadline <= sent {
            running.report(CallResult::Cancelled);
            return Err(FailedAttempt::without_retry(self.expired_refusal()));
        }
        let allowed = plan::recheck_key(self.state, self.call)
            .and_then(|()| stop_check::require_time(self.state, self.call.request.deadline));
        if let Err(refusal) = allowed {
            running.report(CallResult::Cancelled);
            return Err(FailedAttempt::without_retry(refusal));
        }
        self.progress.start_attempt();
        connection.record_call(&self.call.id);
        let request = self.upstream_request(body, sent, &running.upstream);
        let mut guard = if C::CONFIRMS_CANCELS {
            CancelGuard::<C>::new(self.state, link, &self.call.id)
        } else {
            CancelGuard::disarmed()
        };
        let slowdown = running.slowdown;
        let end = self.await_answer(link, &mut connection, request, slowdown, sent).await;
        guard.disarm();
        let span = self.state.clock.now().since(sent);
        running.latency = span;
        self.progress.add_upstream_time(span);
        self.context.metrics.record_upstream(span);
        match end {
            SendEnd::Answer(response) => {
                running.connection = Some(connection);
                Ok(response)
            }
            SendEnd::Failed(error) => Err(self.send_failure(running, error).await),
            SendEnd::TimedOut { cancelled } => {
                // A connection that no longer responds is no evidence on the upstream.
                let silent = link.is_retired(connection.opened());
                running.report(if silent { CallResult::Cancelled } else { CallResult::TimedOut });
                Err(FailedAttempt::without_retry(self.timeout_refusal(cancelled)))
            }
            SendEnd::Silent => {
                running.report(CallResult::Cancelled);
                let message = "the connection to the upstream stopped responding";
                let refusal = CallRefusal::unknown(StatusCode::BAD_GATEWAY, message);
                let refusal = refusal.with_cause(CallCause::Silent);
                Err(FailedAttempt::at(running.upstream.clone(), refusal, NextStep::Resend))
            }
            SendEnd::Stalled(replacement) => {
                running.report(CallResult::TimedOut);
                let message = "the upstream did not answer within several times the usual time";
                let refusal = CallRefusal::unknown(StatusCode::BAD_GATEWAY, message);
                let refusal = refusal.with_cause(CallCause::Timeout);
                let next = NextStep::PaidRetry;
                let failure = FailedAttempt::at(running.upstream.clone(), refusal, next);
                let replacement = Some(replacement);
                Err(Box::new(FailedAttempt { replacement, ..*failure }))
            }
        }
    }

    /// Reports a failed connection, and returns the failed attempt.
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
                    let refusal = refusal.with_cause(error.call_cause());
                    return FailedAttempt::without_retry(refusal);
                }
                // Errors of the request body are not caused by the upstream.
                if source.is_user() {
                    running.report(CallResult::Cancelled);
                    let message = format!("the request body could not be sent: {source}");
                    let refusal = CallRefusal::unknown(StatusCode::BAD_REQUEST, message).closing();
                    let refusal = refusal.with_cause(CallCause::BadRequest);
                    return FailedAttempt::without_retry(refusal);
                }
                running.report(CallResult::ConnectionLost);
                crash::test_connects_after_loss(self.state, &upstream).await;
                let message = format!("the connection failed after the request was sent: {source}");
                let refusal = CallRefusal::unknown(StatusCode::BAD_GATEWAY, message);
                let refusal = refusal.with_cause(CallCause::ConnectionLost);
                FailedAttempt::at(upstream, refusal, NextStep::RetryAfterLoss)
            }
        }
    }

    /// Sends a request and waits for the head of its answer until the call's time is over. The
    /// connection stays open while the call is cancelled, because an upstream may treat a closed
    /// connection as the end of the call and then not confirm the cancellation.
    async fn await_answer(
        &self,
        link: &Arc<UpstreamLink>,
        connection: &mut LinkConnection,
        request: Request<SendBody>,
        slowdown: Option<f64>,
        sent: ClockTime,
    ) -> SendEnd {
        let Self { state, context, call, .. } = *self;
        let deadline = call.request.deadline;
        let cancel_time = deadline.since(sent).scaled(CANCEL_FRACTION).min(MAX_CANCEL_TIME);
        let cancel_at = if C::CONFIRMS_CANCELS { deadline - cancel_time } else { deadline };
        let may_resend = retry::may_run_twice(&call.request);
        // An attempt that cannot be replaced any more is not ended early.
        let stops = || state.stop.end_before(deadline).is_some();
        // A precheck verifies the connection, so that it needs no watch.
        let tuning = &state.options.tuning;
        let watched = !tuning.precheck && tuning.uses(Mechanism::Silence);
        let watch = watched.then(|| SilenceWatch::start(connection, &call.request, sent));
        let mut watch = watch.flatten();
        // Evidence on the present pace, which the prechecks gather, tells a lost call from a slow
        // one.
        let replaceable = tuning.precheck && self.replaceable;
        let stall =
            replaceable.then(|| StallWatch::start(state, link, &call.request, slowdown, sent));
        let mut stall = stall.flatten();
        let mut sending = pin!(connection.send(request));
        loop {
            let silence_at = watch.as_ref().map(SilenceWatch::next);
            let check_at = silence_at.or(stall.as_ref().map(StallWatch::next));
            let check_at = check_at.filter(|next| *next < cancel_at);
            let until = state.clock.to_instant(check_at.unwrap_or(cancel_at)).into();
            if let Ok(result) = timeout_at(until, &mut sending).await {
                return result.into();
            }
            if check_at.is_none() {
                break;
            }
            if let Some(active) = &mut stall {
                let replacement = tokio::select! {
                    biased;
                    result = &mut sending => return result.into(),
                    replacement = Box::pin(self.select_replacement(active, link)) => replacement,
                };
                if let Some(replacement) = replacement {
                    return SendEnd::Stalled(replacement);
                }
                continue;
            }
            let Some(active) = &mut watch else { break };
            let silent = tokio::select! {
                biased;
                result = &mut sending => return result.into(),
                silent = active.check::<C>(state, context) => silent,
            };
            if silent && may_resend && !stops() {
                return SendEnd::Silent;
            }
            if silent {
                watch = None;
            }
        }
        if !C::CONFIRMS_CANCELS {
            return SendEnd::TimedOut { cancelled: false };
        }
        let cancellation = cancel::cancel::<C>(state, link, &call.id, cancel_time);
        tokio::select! {
            biased;
            result = &mut sending => result.into(),
            cancelled = cancellation => SendEnd::TimedOut { cancelled },
        }
    }

    /// Selects another attempt for a call that was lost at its upstream, and takes it from the retry
    /// budget. Until then the call goes on, because its caller would get no answer at all if no
    /// other upstream could take it. While the process shuts down, no attempt is ended early.
    async fn select_replacement(
        &self,
        stall: &mut StallWatch,
        link: &Arc<UpstreamLink>,
    ) -> Option<Box<SelectedAttempt>> {
        let Self { state, context, call, excluded, .. } = *self;
        if !stall.check::<C>(state, context).await {
            return None;
        }
        let stops = || state.shutting_down.load(Ordering::Relaxed);
        let mut excluded = excluded.to_vec();
        excluded.push(link.server().name.clone());
        let selected = if stops() { None } else { self.select(&excluded).await.ok() };
        let now = state.clock.now();
        let is_paid = || state.tables.retries.try_retry(&call.request, now).is_ok();
        let replacement = selected.filter(|_| !stops() && is_paid());
        match &replacement {
            Some(_) => context.metrics.stalled_calls.inc(),
            None => stall.postpone(now),
        }
        replacement.map(Box::new)
    }

    /// Returns the request that is sent to the upstream.
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
        C::set_attempt_headers(headers, &AttemptFacts { remaining, attempt, depth, id, upstream });
        request
    }
}

/// Returns the URI without scheme and authority.
fn origin_form(uri: &Uri) -> Uri {
    match (uri.authority(), uri.path_and_query()) {
        (Some(_), Some(path)) => Uri::from(path.clone()),
        _ => uri.clone(),
    }
}
