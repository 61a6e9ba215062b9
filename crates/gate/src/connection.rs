//! One HTTP connection to an upstream.
//!
//! Depends on [`crate::body`] and [`crate::worker`], but not on the link that the connection belongs
//! to.

use std::task::{Context, Poll};

use base::prelude::*;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::{IntoError as _, Snafu};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::body::SendBody;
use crate::worker;

/// The longest head of an answer, and the most that is read ahead of a body. With 64 KiB, 500 calls
/// whose answers do not end took 103 MB.
const MAX_ANSWER_HEAD_BYTES: usize = 32 * 1024;

/// How a request failed on its connection.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// The request was not written to the connection.
    #[snafu(display("the connection closed before the request was sent: {source}"))]
    NotSent {
        /// hyper's error.
        source: hyper::Error,
        /// The request, to be sent on another connection.
        request: Box<Request<SendBody>>,
    },
    /// At least part of the request may have been written.
    #[snafu(display("the connection failed after the request was sent: {source}"))]
    Lost {
        /// hyper's error.
        source: hyper::Error,
    },
}

/// The task that reads and writes a connection. It is aborted when the connection is dropped, so
/// that the upstream notices at once that a call was abandoned.
#[derive(Debug)]
struct DriverTask(JoinHandle<()>);

impl Drop for DriverTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// One HTTP connection. Dropping it closes it.
#[derive(Debug)]
pub(crate) struct HttpConnection {
    sender: SendRequest<SendBody>,
    _driver: DriverTask,
    worker: u32,
    opened: ClockTime,
    last_answer: ClockTime,
    /// The id of the last call that was sent.
    last_call: Option<HeaderValue>,
}

impl HttpConnection {
    /// Starts HTTP on an open stream.
    pub(crate) async fn start(stream: TcpStream, clock: RealClock) -> hyper::Result<Self> {
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_ANSWER_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await?;
        let driver = tokio::spawn(async move {
            // The request that uses the connection reports its failure.
            let _ = connection.await;
        });
        let opened = clock.now();
        Ok(Self {
            sender,
            _driver: DriverTask(driver),
            worker: worker::index(),
            opened,
            last_answer: opened,
            last_call: None,
        })
    }

    /// Returns whether the connection cannot carry another request.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns the number of the worker on which the connection runs.
    pub(crate) const fn worker(&self) -> u32 {
        self.worker
    }

    /// Returns when the connection was opened.
    pub(crate) const fn opened(&self) -> ClockTime {
        self.opened
    }

    /// Returns when the connection last carried an answer, or when it was opened if it carried none.
    pub(crate) const fn last_answer(&self) -> ClockTime {
        self.last_answer
    }

    /// Records that the connection carried an answer.
    pub(crate) const fn record_answer(&mut self, now: ClockTime) {
        self.last_answer = now;
    }

    /// Returns whether the last call on the connection has this id. A late copy of its answer could
    /// not be told from the answer to another attempt.
    pub(crate) fn has_carried(&self, call: &HeaderValue) -> bool {
        self.last_call.as_ref() == Some(call)
    }

    /// Records that an attempt of a call is sent on the connection.
    pub(crate) fn record_call(&mut self, call: &HeaderValue) {
        self.last_call = Some(call.clone());
    }

    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn send(
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

    /// Waits until the connection can take another request.
    pub(crate) async fn ready(&mut self) -> hyper::Result<()> {
        self.sender.ready().await
    }

    /// Returns whether the connection can take another request. `context` must belong to the task
    /// that read the last answer to its end.
    pub(crate) fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<hyper::Result<()>> {
        self.sender.poll_ready(context)
    }
}
