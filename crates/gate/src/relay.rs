//! Request bodies on their way from a caller to an upstream.

use std::pin::{Pin, pin};
use std::task::{Context, Poll};

use base::prelude::*;
use bytes::Bytes;
use futures_util::future::poll_fn;
use http::StatusCode;
use http_body::{Frame, SizeHint};
use snafu::Snafu;
use tokio::sync::mpsc;
use xitca_web::body::{Body as _, RequestBody};

/// Parts of a body that wait between the caller's and the upstream's connection. A part is at most
/// as long as the caller connection's read buffer.
const RELAY_PARTS: usize = 2;

/// Why a request body ended early.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum RelayError {
    /// The body does not have the announced length, as the caller closed its connection.
    #[snafu(display("the body ended before its announced length; send all of it"))]
    Truncated,
    /// The caller sent nothing for too long.
    #[snafu(display("the caller sent no part of the body in time; send faster"))]
    TooSlow,
}

impl RelayError {
    /// Returns the status that tells the caller.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::Truncated => StatusCode::BAD_REQUEST,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
        }
    }
}

/// A request body that can be sent from any worker.
#[derive(Debug)]
pub enum RelayBody {
    /// No body.
    Empty,
    /// A body that is held in memory.
    Full(Bytes),
    /// A body that arrives in parts.
    Parts {
        /// The receiving end.
        receiver: mpsc::Receiver<Result<Bytes, RelayError>>,
        /// The length in bytes.
        length: u64,
    },
}

impl http_body::Body for RelayBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        let body = self.get_mut();
        match body {
            Self::Empty => Poll::Ready(None),
            Self::Full(bytes) => {
                let bytes = std::mem::take(bytes);
                *body = Self::Empty;
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            Self::Parts { receiver, .. } => {
                receiver.poll_recv(context).map(|part| part.map(|part| part.map(Frame::data)))
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
            Self::Parts { length, .. } => SizeHint::with_exact(*length),
        }
    }
}

/// Starts to copy a caller's body. The copy runs on the current worker, because the body belongs to
/// the caller's connection.
pub fn start_relay(body: RequestBody, length: u64, pause: ClockSpan) -> RelayBody {
    let (sender, receiver) = mpsc::channel(RELAY_PARTS);
    tokio::task::spawn_local(copy_parts(body, length, sender, pause));
    RelayBody::Parts { receiver, length }
}

/// Copies parts until the body ends. The library reports a connection that closes early as a
/// regular end, so the length is checked here.
async fn copy_parts(
    body: RequestBody,
    length: u64,
    sender: mpsc::Sender<Result<Bytes, RelayError>>,
    pause: ClockSpan,
) {
    let mut body = pin!(body);
    let mut copied = 0;
    loop {
        let part = match next_part(body.as_mut(), pause).await {
            Ok(None) if copied == length => return,
            Ok(None) => Err(RelayError::Truncated),
            Ok(Some(part)) => Ok(part),
            Err(error) => Err(error),
        };
        copied += part.as_ref().map_or(0, |part| part.len() as u64);
        let failed = part.is_err();
        if sender.send(part).await.is_err() || failed {
            return;
        }
    }
}

async fn next_part(
    mut body: Pin<&mut RequestBody>,
    pause: ClockSpan,
) -> Result<Option<Bytes>, RelayError> {
    let next = poll_fn(|context| body.as_mut().poll_frame(context));
    match tokio::time::timeout(pause.to_duration(), next).await {
        Err(_) => Err(RelayError::TooSlow),
        Ok(None) => Ok(None),
        Ok(Some(Err(_))) => Err(RelayError::Truncated),
        Ok(Some(Ok(frame))) => Ok(frame.into_data().ok()),
    }
}

/// Reads a whole body into memory.
///
/// # Errors
///
/// Fails if the body does not have the announced length or arrives too slowly.
pub async fn read_whole(
    body: RequestBody,
    length: usize,
    pause: ClockSpan,
) -> Result<Bytes, RelayError> {
    let mut body = pin!(body);
    let mut whole = bytes::BytesMut::new();
    while let Some(part) = next_part(body.as_mut(), pause).await? {
        whole.extend_from_slice(&part);
        if whole.len() > length {
            return Err(RelayError::Truncated);
        }
    }
    if whole.len() < length {
        return Err(RelayError::Truncated);
    }
    Ok(whole.freeze())
}
