//! A caller's connection, for tests that send a request body in parts.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::Request;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::client::CallAnswer;

/// Sends the parts of a [`PartBody`]. The body ends when the sender is dropped.
pub type PartSender = mpsc::UnboundedSender<Bytes>;

/// A request body whose parts a test sends through a [`PartSender`].
#[derive(Debug)]
pub struct PartBody {
    parts: mpsc::UnboundedReceiver<Bytes>,
    length: Option<u64>,
}

impl PartBody {
    /// Returns a body without `content-length`, which is sent in chunks.
    pub fn chunked() -> (PartSender, Self) {
        let (sender, parts) = mpsc::unbounded_channel();
        (sender, Self { parts, length: None })
    }

    /// Returns a body with `length` bytes as its `content-length`.
    pub fn announced(length: u64) -> (PartSender, Self) {
        let (sender, body) = Self::chunked();
        (sender, Self { length: Some(length), ..body })
    }

    /// Returns an empty body.
    pub fn none() -> Self {
        Self::announced(0).1
    }
}

impl Body for PartBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.parts.poll_recv(context).map(|part| part.map(|bytes| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.length == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// One connection of a caller to a gateway, closed when it is dropped.
#[derive(Debug)]
pub struct CallerConnection {
    sender: SendRequest<PartBody>,
    driver: JoinHandle<()>,
}

impl CallerConnection {
    /// Opens a connection to a gateway.
    ///
    /// # Errors
    ///
    /// Returns an error if the gateway refuses the connection or the HTTP handshake fails.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            // The call that uses the connection returns the error.
            let _ = connection.await;
        });
        Ok(Self { sender, driver })
    }

    /// Returns whether the gateway has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns the text of the error if there is no complete answer.
    pub async fn call(&mut self, request: Request<PartBody>) -> Result<CallAnswer, String> {
        let answer = self.sender.send_request(request).await.map_err(|error| error.to_string())?;
        let (parts, body) = answer.into_parts();
        let body = body.collect().await.map_err(|error| error.to_string())?.to_bytes();
        Ok(CallAnswer { status: parts.status, headers: parts.headers, body })
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
