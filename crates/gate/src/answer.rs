//! Answers to callers: their bodies, and the end of a call's trace with its answer.

use std::convert::Infallible;
use std::future::Future as _;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use codec::prelude::*;
use http::{HeaderValue, Response, header};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use route::prelude::*;
use snafu::Snafu;
use tokio::time::Sleep;
use trace::prelude::CallCause;

use crate::call_trace::TracedCall;
use crate::held_bytes::HeldBody;
use crate::running::RunningCall;

/// An answer that is not needed is read to its end if it has at most this length, so that its
/// connection can be reused. Otherwise the connection is closed.
const DISCARD_LIMIT_BYTES: usize = 16 * 1024;

/// Why a relayed answer ended early. The caller's connection is then closed before the end of the
/// body, so that the caller detects the error.
#[derive(Debug, Snafu)]
pub enum AnswerError {
    /// The connection ended before the upstream's answer was complete.
    #[snafu(display("the upstream's answer ended early: {source}"))]
    Truncated {
        /// hyper's error.
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

/// The answer to a call, or why there is none.
pub type CallResponse = Result<Response<AnswerBody>, CallRefusal>;

/// The result of a call, and its trace unless that was lost with a task that panicked.
pub type TracedResponse = (CallResponse, Option<TracedCall>);

/// Ends the trace of a call that got an answer. If the answer's body is still arriving, the trace
/// ends with the body.
pub fn end_trace(mut traced: TracedCall, answer: &mut Response<AnswerBody>) {
    traced.set_status(answer.status());
    let cause = match answer.status() {
        _ if is_not_run(answer) => CallCause::Shed,
        status if status.is_server_error() => CallCause::UpstreamError,
        _ => CallCause::Answered,
    };
    match answer.body_mut() {
        AnswerBody::Relayed(relayed) => relayed.attach_trace(traced, cause),
        AnswerBody::Empty | AnswerBody::Full(_) => traced.end_answered(cause),
    }
}

/// Returns whether an upstream reports in its answer that it did not run the call.
pub fn is_not_run(answer: &Response<AnswerBody>) -> bool {
    answer.extensions().get() == Some(&CallFate::NotRun)
}

/// The body of an answer to a caller.
#[derive(Debug)]
pub enum AnswerBody {
    /// No body, or one that has been sent.
    Empty,
    /// A body that is held in memory.
    Full(HeldBody),
    /// A body that arrives from an upstream.
    Relayed(Box<RelayedAnswer>),
}

/// An answer that is passed on while it arrives.
#[derive(Debug)]
pub struct RelayedAnswer {
    /// The start of the body, which has been read already.
    prefix: Bytes,
    incoming: Incoming,
    call: RunningCall,
    /// Ends the answer at the deadline. Created when the answer first waits for a part of the body.
    timer: Option<Pin<Box<Sleep>>>,
    /// The trace of the call, and its cause if the answer is passed on completely.
    traced: Option<(TracedCall, CallCause)>,
}

impl RelayedAnswer {
    /// Hands the trace of the call over to the answer, which ends it. `complete_cause` is the cause
    /// if the answer is passed on completely.
    pub(crate) fn attach_trace(&mut self, traced: TracedCall, complete_cause: CallCause) {
        self.traced = Some((traced, complete_cause));
    }

    /// Ends the trace. `early_cause` is the cause if the answer ended early.
    fn end_trace(&mut self, early_cause: Option<CallCause>) {
        if let Some((traced, complete_cause)) = self.traced.take() {
            traced.end_answered(early_cause.unwrap_or(complete_cause));
        }
    }
}

impl AnswerBody {
    /// Returns a body of the gateway's own.
    pub fn full(bytes: Bytes) -> Self {
        Self::held(HeldBody::new(bytes, None))
    }

    /// Returns a body that is held in memory.
    pub fn held(body: HeldBody) -> Self {
        if body.is_empty() { Self::Empty } else { Self::Full(body) }
    }

    /// Returns the error answer for a refusal, in the caller's protocol.
    pub fn refuse<C: CallCodec>(refusal: &CallRefusal, id: &HeaderValue) -> Response<Self> {
        let mut answer = C::refuse(refusal, id).map(Self::full);
        if refusal.close {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(header::CONNECTION, close);
        }
        answer
    }

    /// Returns the body of an upstream's answer, of which `prefix` has been read already.
    pub fn relayed(prefix: Bytes, incoming: Incoming, call: RunningCall) -> Self {
        Self::Relayed(Box::new(RelayedAnswer { prefix, incoming, call, timer: None, traced: None }))
    }

    /// Reads the rest of the body if it is short, so that the connection can be reused.
    pub fn discard(self) {
        if matches!(self, Self::Relayed(_)) {
            tokio::spawn(self.read_to_end());
        }
    }

    async fn read_to_end(mut self) {
        let mut length = 0;
        while let Some(Ok(frame)) = self.frame().await {
            length += frame.data_ref().map_or(0, Bytes::len);
            if length > DISCARD_LIMIT_BYTES {
                return;
            }
        }
    }

    fn poll_relayed(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        let Self::Relayed(relayed) = self else { return Poll::Ready(None) };
        let RelayedAnswer { prefix, incoming, call, timer, .. } = &mut **relayed;
        if !prefix.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(prefix)))));
        }
        loop {
            let Poll::Ready(frame) = Pin::new(&mut *incoming).poll_frame(context) else {
                let timer = timer.get_or_insert_with(|| Box::pin(call.deadline_timer()));
                if timer.as_mut().poll(context).is_pending() {
                    return Poll::Pending;
                }
                call.report(CallResult::TimedOut);
                relayed.end_trace(Some(CallCause::Timeout));
                *self = Self::Empty;
                return Poll::Ready(Some(Err(AnswerError::Deadline)));
            };
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        // hyper drops a body of known length without polling for its end.
                        if incoming.is_end_stream() {
                            call.poll_complete(context);
                            relayed.end_trace(None);
                            *self = Self::Empty;
                        }
                        return Poll::Ready(Some(Ok(Frame::data(bytes))));
                    }
                }
                Some(Err(source)) => {
                    call.report_connection_lost();
                    relayed.end_trace(Some(CallCause::Truncated));
                    *self = Self::Empty;
                    return Poll::Ready(Some(Err(AnswerError::Truncated { source })));
                }
                None => {
                    call.poll_complete(context);
                    relayed.end_trace(None);
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
            Self::Full(held) => {
                let part = held.next_part();
                if held.is_empty() {
                    *body = Self::Empty;
                }
                Poll::Ready(Some(Ok(Frame::data(part))))
            }
            Self::Relayed(_) => body.poll_relayed(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Empty)
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Empty => SizeHint::with_exact(0),
            Self::Full(held) => SizeHint::with_exact(held.len() as u64),
            Self::Relayed(relayed) => match relayed.incoming.size_hint().exact() {
                Some(length) => SizeHint::with_exact(length + relayed.prefix.len() as u64),
                None => SizeHint::default(),
            },
        }
    }
}
