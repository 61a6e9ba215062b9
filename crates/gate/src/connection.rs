//! One connection to an upstream.

use std::sync::Arc;
use std::task::{Context, Poll};

use base::prelude::*;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::{IntoError as _, ResultExt, Snafu};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::body::SendBody;
use crate::link::{ConnectSnafu, HandshakeSnafu, LinkError, OpenPermit, UpstreamLink};
use crate::worker;

/// The longest head of an answer.
const MAX_ANSWER_HEAD_BYTES: usize = 64 * 1024;

/// How a request failed on its connection.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// The request was not written to the connection.
    #[snafu(display("the connection closed before the request was sent: {source}"))]
    NotSent {
        /// The library's error.
        source: hyper::Error,
        /// The request, to be sent on another connection.
        request: Box<Request<SendBody>>,
    },
    /// The request was written at least in part.
    #[snafu(display("the connection failed after the request was sent: {source}"))]
    Lost {
        /// The library's error.
        source: hyper::Error,
    },
}

/// The task that moves the bytes of a connection. Ends with its connection, so that the upstream
/// sees at once that a call was abandoned.
#[derive(Debug)]
struct DriverTask(JoinHandle<()>);

impl Drop for DriverTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// One connection to an upstream. Dropping it closes it.
#[derive(Debug)]
pub struct LinkConnection {
    sender: SendRequest<SendBody>,
    _driver: DriverTask,
    worker: u32,
    opened: ClockTime,
    last_answer: ClockTime,
    pooled: bool,
    permit: OpenPermit,
}

impl LinkConnection {
    /// Starts HTTP on an open stream.
    pub(crate) async fn start(
        stream: TcpStream,
        permit: OpenPermit,
        clock: RealClock,
    ) -> Result<Self, LinkError> {
        let address = permit.link().server().address;
        stream.set_nodelay(true).context(ConnectSnafu { address })?;
        base::socket::detect_silence(&stream).context(ConnectSnafu { address })?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_ANSWER_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .context(HandshakeSnafu)?;
        let driver = tokio::spawn(async move {
            // A failure is seen by the request that uses the connection.
            let _ = connection.await;
        });
        let opened = clock.now();
        Ok(Self {
            sender,
            _driver: DriverTask(driver),
            worker: worker::index(),
            opened,
            last_answer: opened,
            pooled: false,
            permit,
        })
    }

    /// Returns whether the connection cannot carry another request.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns the worker on which the connection runs.
    pub(crate) const fn worker(&self) -> u32 {
        self.worker
    }

    /// Returns when the connection last carried an answer, or else when it was opened.
    pub(crate) const fn last_answer(&self) -> ClockTime {
        self.last_answer
    }
    /// Returns the link of the connection.
    pub fn link(&self) -> &Arc<UpstreamLink> {
        self.permit.link()
    }

    /// Returns when the connection was opened.
    pub fn opened(&self) -> ClockTime {
        self.opened
    }

    /// Returns whether the connection was opened before the call that uses it.
    pub fn is_pooled(&self) -> bool {
        self.pooled
    }

    /// Returns when the connection last showed that it works.
    pub fn proven(&self) -> ClockTime {
        self.last_answer.max(self.opened)
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Tells whether any of the request was written.
    pub async fn send(
        &mut self,
        request: Request<SendBody>,
    ) -> Result<Response<Incoming>, SendError> {
        self.sender.try_send_request(request).await.map_err(|mut error| {
            match error.take_message() {
                Some(request) => {
                    NotSentSnafu { request: Box::new(request) }.into_error(error.into_error())
                }
                None => LostSnafu.into_error(error.into_error()),
            }
        })
    }

    /// Returns the connection to its link once it can take another request. `context` must belong
    /// to the task that read the answer to its end. `latency` is the time until the head of the
    /// answer.
    pub fn put_back(mut self, latency: ClockSpan, now: ClockTime, context: &mut Context<'_>) {
        self.note_answer(Some(latency), now);
        match self.sender.poll_ready(context) {
            Poll::Ready(Ok(())) => self.into_idle(),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => {
                tokio::spawn(self.put_back_when_ready());
            }
        }
    }

    /// Notes that the connection carried the answer to a check.
    pub fn note_check(&mut self, now: ClockTime) {
        self.note_answer(None, now);
    }

    /// Returns the connection to its link after a probe or cancellation, whose latency is not that
    /// of calls.
    pub async fn put_back_after_check(mut self, now: ClockTime) {
        self.note_answer(None, now);
        self.put_back_when_ready().await;
    }

    fn note_answer(&mut self, latency: Option<ClockSpan>, now: ClockTime) {
        self.last_answer = now;
        self.permit.link().note_answer(self.opened, latency, now);
    }

    async fn put_back_when_ready(mut self) {
        if self.sender.ready().await.is_ok() {
            self.into_idle();
        }
    }

    /// Makes the connection available to calls, unless it is retired.
    pub fn into_idle(mut self) {
        self.pooled = true;
        let link = Arc::clone(self.permit.link());
        link.keep_idle(self);
    }
}
