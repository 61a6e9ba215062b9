//! Request bodies on their way from a caller to an upstream.

use std::future::Future as _;
use std::pin::Pin;
use std::task::{Context, Poll};

use base::prelude::*;
use bytes::{Bytes, BytesMut};
use codec::prelude::*;
use http::StatusCode;
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use snafu::Snafu;
use tokio::time::Sleep;
use trace::prelude::CallCause;

/// Bodies up to this length are buffered, so that a retry can send them again.
const REPLAY_LIMIT_BYTES: usize = 64 * 1024;

/// Why a request body was not received completely.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum BodyError {
    /// The caller closed its connection before the announced end of the body.
    #[snafu(display("the body ended before its announced length; send all of it"))]
    Truncated,
    /// The caller sent nothing for too long.
    #[snafu(display("the caller sent no part of the body in time; send faster"))]
    TooSlow,
    /// The body is longer than the configuration allows.
    #[snafu(display("the body is longer than allowed; send a shorter one"))]
    TooLong,
}

impl BodyError {
    /// Returns the status of the answer to the caller.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::Truncated => StatusCode::BAD_REQUEST,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }

    /// Returns the cause in the trace of the call.
    pub const fn call_cause(self) -> CallCause {
        match self {
            Self::Truncated => CallCause::CallerLeft,
            Self::TooSlow | Self::TooLong => CallCause::BadRequest,
        }
    }

    /// Returns the refusal of the call. It closes the caller's connection, because the rest of the
    /// body cannot be distinguished from a further request.
    pub fn into_refusal(self) -> CallRefusal {
        CallRefusal::not_run(self.status(), self).with_cause(self.call_cause()).closing()
    }
}

/// A request body as it is sent to an upstream.
#[derive(Debug)]
pub enum SendBody {
    /// No body.
    Empty,
    /// A body in memory.
    Full(Bytes),
    /// A body that is passed on while it arrives.
    Stream(BodyStream),
}

/// A body that is passed on while it arrives.
#[derive(Debug)]
pub struct BodyStream {
    /// The start of the body, which has been read already.
    prefix: Bytes,
    incoming: Incoming,
    /// The length of the whole body, if it was announced.
    length: Option<u64>,
    /// How many more bytes are allowed.
    allowed: u64,
    /// The longest wait for the next part.
    idle_timeout: ClockSpan,
    /// Set while the next part is awaited.
    timer: Option<Pin<Box<Sleep>>>,
}

impl BodyStream {
    fn poll_part(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if !self.prefix.is_empty() {
            return Poll::Ready(Some(Ok(std::mem::take(&mut self.prefix))));
        }
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.incoming).poll_frame(context) else {
                let idle_timeout = self.idle_timeout.to_duration();
                let timer =
                    self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(idle_timeout)));
                return timer.as_mut().poll(context).map(|()| Some(Err(BodyError::TooSlow)));
            };
            self.timer = None;
            match frame {
                None => return Poll::Ready(None),
                Some(Err(_)) => return Poll::Ready(Some(Err(BodyError::Truncated))),
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    let Some(remaining) = self.allowed.checked_sub(bytes.len() as u64) else {
                        return Poll::Ready(Some(Err(BodyError::TooLong)));
                    };
                    self.allowed = remaining;
                    return Poll::Ready(Some(Ok(bytes)));
                }
            }
        }
    }
}

impl http_body::Body for SendBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let body = self.get_mut();
        match body {
            Self::Empty => Poll::Ready(None),
            Self::Full(bytes) => {
                let bytes = std::mem::take(bytes);
                *body = Self::Empty;
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            Self::Stream(stream) => {
                stream.poll_part(context).map(|part| part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Empty)
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Empty => SizeHint::with_exact(0),
            Self::Full(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Stream(BodyStream { length: Some(length), .. }) => SizeHint::with_exact(*length),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// The body of a call, kept as far as further attempts may need it.
#[derive(Debug)]
pub enum CallBody {
    /// No body.
    Empty,
    /// A body in memory, which can be sent again.
    Buffered(Bytes),
    /// A body that can be sent once, until it is taken.
    Streamed(Option<SendBody>),
}

impl CallBody {
    /// Receives the body of a caller's request. A short one is read completely. `idle_timeout` is
    /// the longest wait for each part.
    ///
    /// # Errors
    ///
    /// Fails if a short body ends early or arrives too slowly, or if the body is too long.
    pub async fn receive(
        incoming: Incoming,
        length: BodyLength,
        limit_bytes: u64,
        idle_timeout: ClockSpan,
    ) -> Result<Self, BodyError> {
        let announced = match length {
            BodyLength::Known(0) => return Ok(Self::Empty),
            BodyLength::Known(length) if length > limit_bytes => return Err(BodyError::TooLong),
            BodyLength::Known(length) => Some(length),
            BodyLength::Chunked => None,
        };
        let mut stream = BodyStream {
            prefix: Bytes::new(),
            incoming,
            length: announced,
            allowed: limit_bytes,
            idle_timeout,
            timer: None,
        };
        if announced.is_some_and(|length| length > REPLAY_LIMIT_BYTES as u64) {
            return Ok(Self::Streamed(Some(SendBody::Stream(stream))));
        }
        let (received, ended) = read_up_to(&mut stream, REPLAY_LIMIT_BYTES).await?;
        if ended {
            return Ok(if received.is_empty() { Self::Empty } else { Self::Buffered(received) });
        }
        stream.prefix = received;
        Ok(Self::Streamed(Some(SendBody::Stream(stream))))
    }

    /// Reads a streamed body to its end, so that it is in memory. Returns `None` if it is longer than
    /// `limit_bytes`.
    ///
    /// # Errors
    ///
    /// Fails if the body ends early, arrives too slowly or is longer than callers may send.
    pub async fn read_to_end(self, limit_bytes: usize) -> Result<Option<Self>, BodyError> {
        let Self::Streamed(Some(SendBody::Stream(mut stream))) = self else {
            return Ok(Some(self));
        };
        let (received, ended) = read_up_to(&mut stream, limit_bytes).await?;
        Ok((ended && received.len() <= limit_bytes).then_some(Self::Buffered(received)))
    }

    /// Returns the body for the next attempt, or `None` if it cannot be sent again.
    pub fn next_copy(&mut self) -> Option<SendBody> {
        match self {
            Self::Empty => Some(SendBody::Empty),
            Self::Buffered(bytes) => Some(SendBody::Full(bytes.clone())),
            Self::Streamed(body) => body.take(),
        }
    }

    /// Returns whether `next_copy` will return a body.
    pub const fn is_available(&self) -> bool {
        !matches!(self, Self::Streamed(None))
    }

    /// Takes back a body of which nothing was sent.
    pub fn restore(&mut self, unsent: SendBody) {
        if let Self::Streamed(body) = self {
            *body = Some(unsent);
        }
    }
}

/// Reads a whole body into memory.
///
/// # Errors
///
/// Fails if the body ends early, arrives too slowly or has more than `limit_bytes`.
pub async fn read_whole(
    incoming: Incoming,
    limit_bytes: usize,
    idle_timeout: ClockSpan,
) -> Result<Bytes, BodyError> {
    let allowed = limit_bytes as u64;
    let prefix = Bytes::new();
    let mut stream =
        BodyStream { prefix, incoming, length: None, allowed, idle_timeout, timer: None };
    let (received, _) = read_up_to(&mut stream, limit_bytes).await?;
    Ok(received)
}

/// Reads until the body ends or more than `limit_bytes` have arrived. Returns what arrived, and
/// whether the body ended.
async fn read_up_to(
    stream: &mut BodyStream,
    limit_bytes: usize,
) -> Result<(Bytes, bool), BodyError> {
    let mut received = BytesMut::new();
    while received.len() <= limit_bytes {
        let part = std::future::poll_fn(|context| stream.poll_part(context)).await;
        let Some(part) = part else { return Ok((received.freeze(), true)) };
        let part = part?;
        if received.is_empty() && stream.incoming.is_end_stream() {
            return Ok((part, true));
        }
        received.extend_from_slice(&part);
    }
    Ok((received.freeze(), false))
}

/// Reads the body of an upstream's answer until it ends or more than `limit_bytes` have arrived.
/// Returns what arrived, and whether the body ended.
///
/// # Errors
///
/// Fails with hyper's error if the answer ends early.
pub async fn read_answer_prefix(
    incoming: &mut Incoming,
    limit_bytes: usize,
) -> Result<(Bytes, bool), hyper::Error> {
    let mut received = BytesMut::new();
    while received.len() <= limit_bytes {
        let Some(frame) = incoming.frame().await else { return Ok((received.freeze(), true)) };
        let Ok(bytes) = frame?.into_data() else { continue };
        if received.is_empty() && incoming.is_end_stream() {
            return Ok((bytes, true));
        }
        received.extend_from_slice(&bytes);
    }
    Ok((received.freeze(), false))
}
