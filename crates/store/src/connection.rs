//! One HTTP/1.1 connection to the platform.

use std::net::SocketAddr;

use ::http::{Method, Request, StatusCode, header};
use base::prelude::*;
use base::socket;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::store::StoreError;

/// The HTTP request of a call.
#[derive(Clone, Debug)]
pub struct StoreCall {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// The body.
    pub body: Bytes,
    /// Whether the call may be sent again after it may have reached the platform.
    pub repeatable: bool,
    /// The longest time by which the platform may delay its answer (long poll). It is added to the
    /// timeout of the call.
    pub poll_limit: ClockSpan,
}

impl StoreCall {
    /// Returns a call that is not repeated and that the platform answers without delay.
    pub fn new(method: Method, path: String, body: Bytes) -> Self {
        Self { method, path, body, repeatable: false, poll_limit: ClockSpan::ZERO }
    }

    /// Allows the call to be sent again.
    #[must_use]
    pub fn repeatable(self) -> Self {
        Self { repeatable: true, ..self }
    }

    /// Allows the platform to delay the answer by up to `poll_limit` (long poll).
    #[must_use]
    pub fn long_poll(self, poll_limit: ClockSpan) -> Self {
        Self { poll_limit, ..self }
    }
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct StoreAnswer {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
    /// Whether the call timed out on an idle connection and was sent again.
    pub after_timeout: bool,
}

/// Why there is no complete answer.
#[derive(Clone, Debug)]
pub(crate) struct CallFailure {
    /// Whether the platform may have received the call.
    pub(crate) sent: bool,
    /// Whether this VM refused to make the call.
    pub(crate) refused: bool,
    /// Whether the timeout passed without a complete answer.
    pub(crate) timed_out: bool,
    pub(crate) error: StoreError,
}

impl CallFailure {
    pub(crate) fn sent(error: StoreError) -> Self {
        Self { sent: true, refused: false, timed_out: false, error }
    }

    pub(crate) fn refused(error: StoreError) -> Self {
        Self { sent: false, refused: true, timed_out: false, error }
    }

    fn unsent(reason: String) -> Self {
        let error = StoreError::Unavailable { reason };
        Self { sent: false, refused: false, timed_out: false, error }
    }

    fn answer_lost(reason: String) -> Self {
        Self::sent(StoreError::Unavailable { reason })
    }

    fn timed_out() -> Self {
        Self { timed_out: true, ..Self::answer_lost("call timed out".to_owned()) }
    }
}

/// An open connection with no call in flight.
#[derive(Debug)]
pub(crate) struct StoreConnection {
    sender: SendRequest<Full<Bytes>>,
    address: SocketAddr,
}

impl StoreConnection {
    pub(crate) async fn connect(
        address: SocketAddr,
        timeout: ClockSpan,
    ) -> Result<Self, CallFailure> {
        let opening = async {
            let stream = TcpStream::connect(address).await.map_err(|error| error.to_string())?;
            stream.set_nodelay(true).map_err(|error| error.to_string())?;
            socket::set_keepalive(&stream).map_err(|error| error.to_string())?;
            http1::handshake(TokioIo::new(stream)).await.map_err(|error| error.to_string())
        };
        let (sender, driver) = tokio::time::timeout(timeout.to_duration(), opening)
            .await
            .map_err(|_| CallFailure::unsent("connecting timed out".to_owned()))?
            .map_err(CallFailure::unsent)?;
        // The driver ends when the sender is dropped or the peer closes the connection.
        tokio::spawn(async move {
            let _ = driver.await;
        });
        Ok(Self { sender, address })
    }

    pub(crate) fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    pub(crate) async fn send(
        &mut self,
        call: StoreCall,
        timeout: ClockSpan,
        limit: usize,
    ) -> Result<StoreAnswer, CallFailure> {
        let request = self.request(call)?;
        let exchange = async {
            // Immediately after an answer, the connection may not accept the next request yet.
            let ready = self.sender.ready().await;
            ready.map_err(|error| CallFailure::unsent(error.to_string()))?;
            let response = self.sender.try_send_request(request).await.map_err(|mut failed| {
                let reason = failed.error().to_string();
                // hyper returns the request if none of it was written.
                match failed.take_message() {
                    Some(_) => CallFailure::unsent(reason),
                    None => CallFailure::answer_lost(reason),
                }
            })?;
            read_answer(response, limit).await
        };
        tokio::time::timeout(timeout.to_duration(), exchange)
            .await
            .unwrap_or_else(|_| Err(CallFailure::timed_out()))
    }

    fn request(&self, call: StoreCall) -> Result<Request<Full<Bytes>>, CallFailure> {
        Request::builder()
            .method(call.method)
            .uri(call.path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(call.body))
            .map_err(|error| CallFailure::unsent(error.to_string()))
    }
}

async fn read_answer(
    response: ::http::Response<Incoming>,
    limit: usize,
) -> Result<StoreAnswer, CallFailure> {
    let status = response.status();
    let body = Limited::new(response.into_body(), limit)
        .collect()
        .await
        .map_err(|error| CallFailure::answer_lost(error.to_string()))?;
    Ok(StoreAnswer { status, body: body.to_bytes(), after_timeout: false })
}
