//! Answers to callers: relayed bodies and the gateway's own errors.

use std::convert::Infallible;
use std::fmt;
use std::future::Future as _;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use base::prelude::*;
use bytes::Bytes;
use futures_util::future::poll_fn;
use http::header::{self, HeaderValue};
use http::{Response, StatusCode};
use http_body::Body as _;
use hyper::body::Incoming;
use route::prelude::*;
use snafu::Snafu;
use tokio::time::Sleep;
use world::prelude::*;
use xitca_web::body::{Body, Frame, SizeHint};

use crate::crash;
use crate::head::{OUTCOME, REQUEST_ID};
use crate::link::LinkConnection;
use crate::slot::CallSlot;
use crate::state::GateState;

/// Longer answers that nobody needs are cut off by closing their connection.
const DISCARD_LIMIT_BYTES: usize = 16 * 1024;

/// What the gateway knows of a call that it could not complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallFate {
    /// No upstream ran the call.
    NotRun,
    /// An upstream may have run the call.
    Unknown,
}

impl CallFate {
    /// Returns the value of the header `agateroad-outcome`.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// An error answer of the gateway's own.
#[derive(Clone, Debug)]
pub struct CallRefusal {
    /// The HTTP status.
    pub status: StatusCode,
    /// Whether the call was run.
    pub fate: CallFate,
    /// What went wrong and what to do.
    pub message: String,
    /// When to try again.
    pub retry_after: Option<ClockSpan>,
    /// Whether the caller's connection must be closed.
    pub close: bool,
}

impl CallRefusal {
    /// Returns a refusal of a call that was not run.
    pub fn not_run(status: StatusCode, message: impl fmt::Display) -> Self {
        let fate = CallFate::NotRun;
        Self { status, fate, message: message.to_string(), retry_after: None, close: false }
    }

    /// Returns an error for a call that may have been run.
    pub fn unknown(status: StatusCode, message: impl fmt::Display) -> Self {
        Self { fate: CallFate::Unknown, ..Self::not_run(status, message) }
    }

    /// Adds when to try again.
    pub fn retry_after(self, span: ClockSpan) -> Self {
        Self { retry_after: Some(span), ..self }
    }

    /// Closes the caller's connection after the answer.
    pub fn closing(self) -> Self {
        Self { close: true, ..self }
    }

    /// Returns the answer.
    pub fn into_answer(self, id: &HeaderValue) -> Response<AnswerBody> {
        let body = serde_json::json!({ "outcome": self.fate.as_str(), "error": self.message });
        let mut answer = Response::new(AnswerBody::full(Bytes::from(body.to_string())));
        *answer.status_mut() = self.status;
        let headers = answer.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(OUTCOME, HeaderValue::from_static(self.fate.as_str()));
        headers.insert(REQUEST_ID, id.clone());
        if let Some(span) = self.retry_after {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(to_whole_seconds(span)));
        }
        if self.close {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }
}

/// Rounds up, because callers must not come back early.
fn to_whole_seconds(span: ClockSpan) -> u64 {
    span.as_millis().div_ceil(1000).max(1)
}

/// Why a relayed answer broke off. The caller's connection is closed without a regular end, so that
/// the caller sees an error.
#[derive(Debug, Snafu)]
pub enum AnswerError {
    /// The upstream's answer is shorter than announced.
    #[snafu(display("the upstream's answer ended early: {source}"))]
    Truncated {
        /// The library's error.
        source: hyper::Error,
    },
    /// The deadline passed while the answer arrived.
    #[snafu(display("the deadline passed before the end of the answer"))]
    Deadline,
}

impl From<Infallible> for AnswerError {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// A call that holds a slot of an upstream. Reports its outcome once, on drop at the latest.
pub struct RunningCall {
    /// The gateway.
    pub state: Arc<GateState>,
    /// The upstream.
    pub upstream: SharedName,
    /// The connection that carries the call.
    pub connection: Option<LinkConnection>,
    /// The time until the head of the answer.
    pub latency: ClockSpan,
    /// How the call went, by the head of its answer.
    pub result: CallResult,
    /// The load that came with the answer.
    pub load: Option<LoadReport>,
    slot: Option<CallSlot>,
    deadline: ClockTime,
    fingerprint: u64,
    /// Whether the upstream has the request.
    started: bool,
}

impl fmt::Debug for RunningCall {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("RunningCall").field("result", &self.result).finish_non_exhaustive()
    }
}

impl RunningCall {
    /// Returns a call that has a slot and was not sent yet.
    pub fn new(
        state: &Arc<GateState>,
        slot: CallSlot,
        upstream: SharedName,
        request: &CallerRequest,
    ) -> Self {
        Self {
            state: Arc::clone(state),
            upstream,
            connection: None,
            latency: ClockSpan::ZERO,
            result: CallResult::Cancelled,
            load: None,
            slot: Some(slot),
            deadline: request.deadline,
            fingerprint: request.fingerprint,
            started: false,
        }
    }

    /// Records that the request is about to be sent.
    pub fn start(&mut self) {
        if !self.started {
            self.started = true;
            let now = self.state.clock.now();
            self.state.tables.suspects.start(self.fingerprint, &self.upstream, now);
        }
    }

    fn deadline_timer(&self) -> Sleep {
        tokio::time::sleep_until(self.state.clock.to_instant(self.deadline).into())
    }

    fn complete(&mut self, context: &mut Context<'_>) {
        if let Some(connection) = self.connection.take() {
            connection.put_back(self.latency, self.state.clock.now(), context);
        }
        self.report(self.result);
    }

    /// Reports a connection that was lost while the answer arrived.
    fn lose_connection(&mut self) {
        self.report(CallResult::ConnectionLost);
        let (state, upstream) = (Arc::clone(&self.state), self.upstream.clone());
        tokio::spawn(async move { crash::inspect_loss(&state, &upstream).await });
    }

    /// Reports the outcome and frees the slot, once.
    pub fn report(&mut self, result: CallResult) {
        let Some(slot) = self.slot.take() else { return };
        if self.started {
            let now = self.state.clock.now();
            let suspects = &self.state.tables.suspects;
            if result == CallResult::ConnectionLost {
                suspects.connection_lost(&self.upstream, now);
            }
            suspects.finish(self.fingerprint, &self.upstream, now);
        }
        slot.finish(CallOutcome { latency: self.latency, result, load: self.load });
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        match self.result {
            CallResult::Success => self.report(CallResult::Cancelled),
            result => self.report(result),
        }
    }
}

/// The body of an answer to a caller.
#[derive(Debug)]
pub enum AnswerBody {
    /// No body, or one that has been sent.
    Empty,
    /// A body that is held in memory.
    Full(Bytes),
    /// A body that arrives from an upstream.
    Relayed {
        /// The upstream's body.
        incoming: Incoming,
        /// The call that it answers.
        call: RunningCall,
        /// Ends the answer at the deadline. Set only once the answer makes its reader wait.
        timer: Option<Pin<Box<Sleep>>>,
    },
}

impl AnswerBody {
    /// Returns a body that is held in memory.
    pub fn full(bytes: Bytes) -> Self {
        if bytes.is_empty() { Self::Empty } else { Self::Full(bytes) }
    }

    /// Returns the body of an upstream's answer.
    pub fn relayed(incoming: Incoming, call: RunningCall) -> Self {
        Self::Relayed { incoming, call, timer: None }
    }

    /// Reads the rest of the body if it is short, so that the connection can be used again.
    pub fn discard(self) {
        tokio::task::spawn_local(self.read_to_end());
    }

    async fn read_to_end(mut self) {
        let mut length = 0;
        loop {
            let frame = poll_fn(|context| Pin::new(&mut self).poll_frame(context)).await;
            match frame {
                Some(Ok(Frame::Data(bytes))) => length += bytes.len(),
                Some(Ok(Frame::Trailers(_))) => {}
                Some(Err(_)) | None => return,
            }
            if length > DISCARD_LIMIT_BYTES {
                return;
            }
        }
    }

    fn poll_relayed(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        let Self::Relayed { incoming, call, timer } = self else {
            return Poll::Ready(None);
        };
        loop {
            let Poll::Ready(frame) = Pin::new(&mut *incoming).poll_frame(context) else {
                let timer = timer.get_or_insert_with(|| Box::pin(call.deadline_timer()));
                if timer.as_mut().poll(context).is_pending() {
                    return Poll::Pending;
                }
                call.report(CallResult::TimedOut);
                *self = Self::Empty;
                return Poll::Ready(Some(Err(AnswerError::Deadline)));
            };
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Poll::Ready(Some(Ok(Frame::Data(bytes))));
                    }
                }
                Some(Err(source)) => {
                    call.lose_connection();
                    *self = Self::Empty;
                    return Poll::Ready(Some(Err(AnswerError::Truncated { source })));
                }
                None => {
                    call.complete(context);
                    *self = Self::Empty;
                    return Poll::Ready(None);
                }
            }
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        let body = self.get_mut();
        match body {
            Self::Empty => Poll::Ready(None),
            Self::Full(bytes) => {
                let bytes = std::mem::take(bytes);
                *body = Self::Empty;
                Poll::Ready(Some(Ok(Frame::Data(bytes))))
            }
            Self::Relayed { .. } => body.poll_relayed(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Empty)
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Empty => SizeHint::Exact(0),
            Self::Full(bytes) => SizeHint::Exact(bytes.len() as u64),
            Self::Relayed { incoming, .. } => match http_body::Body::size_hint(incoming).exact() {
                Some(length) => SizeHint::Exact(length),
                None => SizeHint::Unknown,
            },
        }
    }
}
