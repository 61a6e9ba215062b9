//! Connections from this VM to upstreams.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::task::{Context, Poll};

use arc_swap::ArcSwap;
use base::prelude::*;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::{IntoError as _, ResultExt, Snafu};
use tokio::net::TcpStream;
use world::prelude::*;

use crate::relay::RelayBody;
use crate::worker;

/// The longest head of an answer.
const MAX_ANSWER_HEAD_BYTES: usize = 64 * 1024;

/// Why no connection could be opened. None of these sent a byte of the request.
#[derive(Debug, Snafu)]
pub enum LinkError {
    /// This VM's share is used up.
    #[snafu(display(
        "all {limit} connections of this VM's share are busy; raise the upstream's connections"
    ))]
    ShareUsed {
        /// The share.
        limit: u32,
    },
    /// The upstream refused the connection or could not be reached.
    #[snafu(display("could not connect to {address}; check that the upstream runs: {source}"))]
    Connect {
        /// The upstream's address.
        address: std::net::SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The connection was not accepted in time.
    #[snafu(display("no connection to {address} in time; check the network to the upstream"))]
    ConnectTimeout {
        /// The upstream's address.
        address: std::net::SocketAddr,
    },
    /// The connection failed before its first request.
    #[snafu(display("connection setup failed: {source}"))]
    Handshake {
        /// The library's error.
        source: hyper::Error,
    },
}

/// How a request failed on its connection.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// The request was not written to the connection.
    #[snafu(display("the connection closed before the request was sent: {source}"))]
    NotSent {
        /// The library's error.
        source: hyper::Error,
        /// The request, to be sent on another connection.
        request: Box<Request<RelayBody>>,
    },
    /// The request was written at least in part.
    #[snafu(display("the connection failed after the request was sent: {source}"))]
    Lost {
        /// The library's error.
        source: hyper::Error,
    },
}

/// The connections of this VM to one upstream.
#[derive(Debug)]
pub struct UpstreamLink {
    server: Arc<UpstreamServer>,
    limit: u32,
    open: AtomicU32,
    idle: RankedMutex<Vec<LinkConnection>>,
}

/// One connection to an upstream. Dropping it closes it.
#[derive(Debug)]
pub struct LinkConnection {
    sender: SendRequest<RelayBody>,
    worker: u32,
    opened: ClockTime,
    last_answer: ClockTime,
    permit: OpenPermit,
}

/// Counts a connection for as long as it is open.
#[derive(Debug)]
struct OpenPermit {
    link: Arc<UpstreamLink>,
}

impl Drop for OpenPermit {
    fn drop(&mut self) {
        self.link.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl UpstreamLink {
    /// Returns a link without connections that opens at most `limit`.
    pub fn new(server: Arc<UpstreamServer>, limit: u32) -> Self {
        let idle = RankedMutex::new(LockRank::ConnectionPool, Vec::new());
        Self { server, limit, open: AtomicU32::new(0), idle }
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    /// Takes an idle connection that carried an answer or was opened after `proven_since`. Prefers
    /// the current worker's, which spares a switch between threads.
    pub fn take_idle(&self, proven_since: ClockTime) -> Option<LinkConnection> {
        let worker = worker::index();
        let mut idle = self.idle.lock();
        idle.retain(|connection| !connection.sender.is_closed());
        let usable = |connection: &LinkConnection| connection.proven() >= proven_since;
        let own =
            idle.iter().rposition(|connection| connection.worker == worker && usable(connection));
        let index = own.or_else(|| idle.iter().rposition(usable))?;
        Some(idle.swap_remove(index))
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the share is used up or the upstream does not accept the connection in time.
    pub async fn connect(
        self: &Arc<Self>,
        timeout: ClockSpan,
        clock: RealClock,
    ) -> Result<LinkConnection, LinkError> {
        let permit = self.permit()?;
        let address = self.server.address;
        let stream = tokio::time::timeout(timeout.to_duration(), TcpStream::connect(address))
            .await
            .map_err(|_| ConnectTimeoutSnafu { address }.build())?
            .context(ConnectSnafu { address })?;
        stream.set_nodelay(true).context(ConnectSnafu { address })?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_ANSWER_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .context(HandshakeSnafu)?;
        tokio::spawn(async move {
            // A failure is seen by the request that uses the connection.
            let _ = connection.await;
        });
        let opened = clock.now();
        let worker = worker::index();
        Ok(LinkConnection { sender, worker, opened, last_answer: opened, permit })
    }

    fn permit(self: &Arc<Self>) -> Result<OpenPermit, LinkError> {
        let limit = self.limit;
        let claim = |open: u32| (open < limit).then_some(open + 1);
        self.open
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, claim)
            .map_err(|_| ShareUsedSnafu { limit }.build())?;
        Ok(OpenPermit { link: Arc::clone(self) })
    }

    /// Closes one idle connection, to make room for a new one. Returns whether there was any.
    pub fn close_idle(&self) -> bool {
        let oldest = {
            let mut idle = self.idle.lock();
            if idle.is_empty() { None } else { Some(idle.remove(0)) }
        };
        oldest.is_some()
    }

    /// Closes idle connections that have not been used since `unused_since`.
    pub fn close_unused(&self, unused_since: ClockTime) {
        let mut idle = self.idle.lock();
        idle.retain(|connection| {
            !connection.sender.is_closed() && connection.last_answer >= unused_since
        });
    }
}

impl LinkConnection {
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
        request: Request<RelayBody>,
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
    /// to the task that read the answer to its end.
    pub fn put_back(mut self, now: ClockTime, context: &mut Context<'_>) {
        self.last_answer = now;
        match self.sender.poll_ready(context) {
            Poll::Ready(Ok(())) => self.into_idle(),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => {
                tokio::spawn(self.put_back_when_ready());
            }
        }
    }

    async fn put_back_when_ready(mut self) {
        if self.sender.ready().await.is_ok() {
            self.into_idle();
        }
    }

    fn into_idle(self) {
        let link = Arc::clone(&self.permit.link);
        link.idle.lock().push(self);
    }
}

/// The links to all upstreams.
#[derive(Debug, Default)]
pub struct LinkTable {
    links: ArcSwap<HashMap<SharedName, Arc<UpstreamLink>>>,
}

impl LinkTable {
    /// Adds links to new upstreams and drops those to removed ones. `share` returns the most
    /// connections that this VM may open to an upstream.
    pub fn apply(&self, environment: &EnvironmentMap, share: impl Fn(&UpstreamServer) -> u32) {
        let known = self.links.load();
        let links = environment.upstreams.values().flatten().map(|server| {
            let limit = share(server);
            let kept = known
                .get(&server.name)
                .filter(|link| link.server.address == server.address && link.limit == limit);
            let link = match kept {
                Some(link) => Arc::clone(link),
                None => Arc::new(UpstreamLink::new(Arc::clone(server), limit)),
            };
            (server.name.clone(), link)
        });
        self.links.store(Arc::new(links.collect()));
    }

    /// Returns the link to an upstream.
    pub fn link(&self, upstream: &str) -> Option<Arc<UpstreamLink>> {
        self.links.load().get(upstream).cloned()
    }

    /// Closes connections that have not been used since `unused_since`.
    pub fn close_unused(&self, unused_since: ClockTime) {
        for link in self.links.load().values() {
            link.close_unused(unused_since);
        }
    }
}
