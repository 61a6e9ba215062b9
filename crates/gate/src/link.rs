//! A link: the connections of this VM to one upstream, in use and idle.
//!
//! A connection in use adds itself to the idle ones of its link when it is released, so both types
//! are in this module. Depends on [`crate::connection`], which carries the requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::task::{Context, Poll};

use base::prelude::*;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use limit::prelude::ConnectionShare;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpStream;
use world::prelude::*;

use crate::body::SendBody;
use crate::connection::{HttpConnection, SendError};
use crate::worker;

/// Unused connections that are kept ready for the next call to an upstream.
const SPARE_CONNECTIONS: usize = 1;
/// Weight of a new sample in the mean latency.
const MEAN_LATENCY_WEIGHT: f64 = 0.1;
/// For this time, an answer on an older connection is remembered even if a newer one answers.
const LATEST_ANSWER_SPAN: ClockSpan = ClockSpan::from_millis(100);

/// What a connection is opened for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectUse {
    /// A call.
    Call,
    /// A probe, a health check or a cancellation, for which a part of the share is reserved.
    Check,
}

/// Why no connection could be opened. No byte of the request was sent in any of these cases.
#[derive(Debug, Snafu)]
pub enum LinkError {
    /// All connections of this VM's share are in use.
    #[snafu(display(
        "all {limit} connections of this VM's share are busy; raise the upstream's connections"
    ))]
    ShareExhausted {
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
        /// hyper's error.
        source: hyper::Error,
    },
}

/// A link: the connections of this VM to one upstream.
#[derive(Debug)]
pub struct UpstreamLink {
    server: Arc<UpstreamServer>,
    /// The `host` header of the gateway's own requests.
    host: HeaderValue,
    /// This VM's share of the upstream's connections: the most for calls, and the most for calls
    /// and checks together.
    share: [AtomicU32; 2],
    open: AtomicU32,
    /// Whether a spare connection is being opened.
    opening: AtomicBool,
    /// Whether the connections are being checked.
    checking: AtomicBool,
    pool: RankedMutex<LinkPool>,
}

/// The idle connections of a link, and what all its connections have observed.
#[derive(Debug, Default)]
struct LinkPool {
    idle: Vec<LinkConnection>,
    /// Connections that were opened earlier are closed instead of used again.
    retired_before: ClockTime,
    /// When the latest answer arrived, and when its connection was opened. See
    /// `LATEST_ANSWER_SPAN`.
    latest_answer: Option<(ClockTime, ClockTime)>,
    mean_latency_ms: Option<f64>,
    /// When this VM or a peer last received an answer from the upstream.
    last_contact: ClockTime,
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

/// Marks that the connections of a link are being checked.
#[derive(Debug)]
pub struct CheckPermit<'a>(&'a AtomicBool);

impl Drop for CheckPermit<'_> {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Release);
    }
}

impl UpstreamLink {
    /// Returns a link without connections that opens at most its share.
    pub fn new(server: Arc<UpstreamServer>, share: ConnectionShare) -> Self {
        let pool = RankedMutex::new(LockRank::ConnectionPool, LinkPool::default());
        let (opening, checking) = (AtomicBool::new(false), AtomicBool::new(false));
        let share = [share.calls, share.total()].map(AtomicU32::new);
        // The text of an address is always a valid value.
        let host = HeaderValue::try_from(server.address.to_string());
        let host = host.unwrap_or(HeaderValue::from_static(""));
        Self { server, host, share, open: AtomicU32::new(0), opening, checking, pool }
    }

    /// Changes the share. Connections that are open stay open, even if they exceed it.
    pub fn set_share(&self, share: ConnectionShare) {
        self.share[0].store(share.calls, Ordering::Relaxed);
        self.share[1].store(share.total(), Ordering::Relaxed);
    }

    /// Returns the upstream.
    pub fn server(&self) -> &Arc<UpstreamServer> {
        &self.server
    }

    /// Returns the `host` header of the gateway's own requests, which is the address. It is kept
    /// formatted because up to three health checks in each round before a call need one.
    pub const fn host(&self) -> &HeaderValue {
        &self.host
    }

    /// Returns whether the link leads to the address and the incarnation of `server`.
    pub(crate) fn serves(&self, server: &UpstreamServer) -> bool {
        self.server.address == server.address && self.server.incarnation == server.incarnation
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns the mean time until the head of an answer, or `None` before the first answer to a
    /// call.
    pub fn mean_latency(&self) -> Option<ClockSpan> {
        self.pool.lock().mean_latency_ms.map(ClockSpan::from_millis_f64)
    }

    /// Returns when this VM or a peer last received an answer from the upstream.
    pub fn last_contact(&self) -> ClockTime {
        self.pool.lock().last_contact
    }

    /// Records that a peer received an answer from the upstream at `at`, so that it needs no probe.
    pub fn record_contact(&self, at: ClockTime) {
        let mut pool = self.pool.lock();
        pool.last_contact = at.max(pool.last_contact);
    }

    /// Returns whether a connection that was opened no later than `opened` carried an answer since
    /// `since`.
    pub fn has_answered(&self, opened: ClockTime, since: ClockTime) -> bool {
        self.pool
            .lock()
            .latest_answer
            .is_some_and(|(at, opened_at)| at >= since && opened_at <= opened)
    }

    /// Returns whether connections opened at `opened` are closed instead of used again.
    pub fn is_retired(&self, opened: ClockTime) -> bool {
        opened < self.pool.lock().retired_before
    }

    /// Closes the idle connections that were opened before `before`, and those in use when their
    /// calls end. Returns how many were idle.
    pub fn retire(&self, before: ClockTime) -> usize {
        let retired = {
            let mut pool = self.pool.lock();
            pool.retired_before = pool.retired_before.max(before);
            let is_retired = |connection: &mut LinkConnection| connection.opened() < before;
            pool.idle.extract_if(.., is_retired).collect::<Vec<_>>()
        };
        retired.len()
    }

    /// Returns a permit unless the connections are being checked already.
    pub fn start_check(&self) -> Option<CheckPermit<'_>> {
        let busy = self.checking.swap(true, Ordering::Acquire);
        (!busy).then_some(CheckPermit(&self.checking))
    }

    /// Takes an idle connection that carried an answer or was opened since `verified_since`, and
    /// that was not last used by an attempt of `call`. Prefers one of the current worker, which
    /// avoids a switch between threads.
    pub fn take_idle(
        &self,
        verified_since: ClockTime,
        call: Option<&HeaderValue>,
    ) -> Option<LinkConnection> {
        let worker = worker::index();
        let mut pool = self.pool.lock();
        let idle = &mut pool.idle;
        idle.retain(|connection| !connection.http.is_closed());
        let usable = |connection: &LinkConnection| {
            connection.last_verified() >= verified_since
                && !call.is_some_and(|call| connection.has_carried(call))
        };
        let own = idle
            .iter()
            .rposition(|connection| connection.http.worker() == worker && usable(connection));
        let index = own.or_else(|| idle.iter().rposition(usable))?;
        Some(idle.swap_remove(index))
    }

    /// Returns whether an idle connection carried an answer or was opened since `verified_since`.
    pub fn has_idle(&self, verified_since: ClockTime) -> bool {
        let pool = self.pool.lock();
        pool.idle
            .iter()
            .any(|idle| !idle.http.is_closed() && idle.last_verified() >= verified_since)
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the share is used up or the upstream does not accept the connection in time.
    pub async fn connect(
        self: &Arc<Self>,
        purpose: ConnectUse,
        timeout: ClockSpan,
        clock: RealClock,
    ) -> Result<LinkConnection, LinkError> {
        let permit = self.permit(purpose)?;
        let address = self.server.address;
        let stream = tokio::time::timeout(timeout.to_duration(), TcpStream::connect(address))
            .await
            .map_err(|_| ConnectTimeoutSnafu { address }.build())?
            .context(ConnectSnafu { address })?;
        LinkConnection::start(stream, permit, clock).await
    }

    /// Records that a connection which was opened at `opened` carried an answer.
    fn record_answer(&self, opened: ClockTime, latency: Option<ClockSpan>, now: ClockTime) {
        let mut pool = self.pool.lock();
        pool.last_contact = now.max(pool.last_contact);
        let is_replaced = |(at, opened_at): (ClockTime, ClockTime)| {
            opened <= opened_at || now.since(at) > LATEST_ANSWER_SPAN
        };
        if pool.latest_answer.is_none_or(is_replaced) {
            pool.latest_answer = Some((now, opened));
        }
        if let Some(latency) = latency {
            let sample = latency.as_millis_f64();
            let mean = pool.mean_latency_ms.unwrap_or(sample);
            pool.mean_latency_ms = Some(mean + (sample - mean) * MEAN_LATENCY_WEIGHT);
        }
    }

    /// Keeps a connection for the next call, unless it is retired.
    fn keep_idle(&self, connection: LinkConnection) {
        let retired = {
            let mut pool = self.pool.lock();
            if connection.opened() >= pool.retired_before {
                pool.idle.push(connection);
                None
            } else {
                Some(connection)
            }
        };
        // The connection is closed after the lock of the pool is released.
        drop(retired);
    }

    fn permit(self: &Arc<Self>, purpose: ConnectUse) -> Result<OpenPermit, LinkError> {
        let limit = match purpose {
            ConnectUse::Call => self.share[0].load(Ordering::Relaxed),
            ConnectUse::Check => self.share[1].load(Ordering::Relaxed),
        };
        let add_one = |open: u32| (open < limit).then_some(open + 1);
        self.open
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add_one)
            .map_err(|_| ShareExhaustedSnafu { limit }.build())?;
        Ok(OpenPermit { link: Arc::clone(self) })
    }

    /// Closes one idle connection, to make room for a new one. Returns whether there was any.
    pub fn close_idle(&self) -> bool {
        let oldest = {
            let idle = &mut self.pool.lock().idle;
            if idle.is_empty() { None } else { Some(idle.remove(0)) }
        };
        oldest.is_some()
    }

    /// Closes idle connections that have not been used since `unused_since`.
    pub fn close_unused(&self, unused_since: ClockTime) {
        let closed = {
            let mut pool = self.pool.lock();
            let is_unused = |connection: &mut LinkConnection| {
                connection.http.is_closed() || connection.http.last_answer() < unused_since
            };
            pool.idle.extract_if(.., is_unused).collect::<Vec<_>>()
        };
        drop(closed);
    }

    /// Opens a spare connection in the background if fewer than `SPARE_CONNECTIONS` are idle. It
    /// belongs to the current worker.
    pub fn open_spare(self: &Arc<Self>, timeout: ClockSpan, clock: RealClock) {
        let wanted = self.open() < self.share[0].load(Ordering::Relaxed)
            && self.pool.lock().idle.len() < SPARE_CONNECTIONS
            && !self.opening.swap(true, Ordering::Acquire);
        if !wanted {
            return;
        }
        let link = Arc::clone(self);
        tokio::spawn(async move {
            // A failure is reported when a call needs a connection and opening it fails again.
            if let Ok(connection) = link.connect(ConnectUse::Call, timeout, clock).await {
                connection.into_idle();
            }
            link.opening.store(false, Ordering::Release);
        });
    }
}

/// One connection of a link. Dropping it closes it.
#[derive(Debug)]
pub struct LinkConnection {
    http: HttpConnection,
    /// Whether the connection has been idle in its link.
    pooled: bool,
    permit: OpenPermit,
}

impl LinkConnection {
    /// Starts HTTP on an open stream.
    async fn start(
        stream: TcpStream,
        permit: OpenPermit,
        clock: RealClock,
    ) -> Result<Self, LinkError> {
        let address = permit.link.server().address;
        stream.set_nodelay(true).context(ConnectSnafu { address })?;
        base::socket::set_keepalive(&stream).context(ConnectSnafu { address })?;
        let http = HttpConnection::start(stream, clock).await.context(HandshakeSnafu)?;
        Ok(Self { http, pooled: false, permit })
    }

    /// Returns the link of the connection.
    pub fn link(&self) -> &Arc<UpstreamLink> {
        &self.permit.link
    }

    /// Returns when the connection was opened.
    pub fn opened(&self) -> ClockTime {
        self.http.opened()
    }

    /// Returns whether the connection was opened before the call that uses it.
    pub fn is_pooled(&self) -> bool {
        self.pooled
    }

    /// Returns when the connection last carried an answer, or when it was opened.
    pub fn last_verified(&self) -> ClockTime {
        self.http.last_answer().max(self.http.opened())
    }

    /// Returns whether the last call on the connection has this id.
    pub fn has_carried(&self, call: &HeaderValue) -> bool {
        self.http.has_carried(call)
    }

    /// Records that an attempt of a call is sent on the connection.
    pub fn record_call(&mut self, call: &HeaderValue) {
        self.http.record_call(call);
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// The error distinguishes a request of which no byte was written from one that may have been
    /// sent.
    pub async fn send(
        &mut self,
        request: Request<SendBody>,
    ) -> Result<Response<Incoming>, SendError> {
        self.http.send(request).await
    }

    /// Returns the connection to its link once it can take another request. `context` must belong
    /// to the task that read the answer to its end. `latency` is the time until the head of the
    /// answer.
    pub fn release(mut self, latency: ClockSpan, now: ClockTime, context: &mut Context<'_>) {
        self.record_answer(Some(latency), now);
        match self.http.poll_ready(context) {
            Poll::Ready(Ok(())) => self.into_idle(),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => {
                tokio::spawn(self.release_when_ready());
            }
        }
    }

    /// Records that the connection carried the answer to a health check.
    pub fn record_check(&mut self, now: ClockTime) {
        self.record_answer(None, now);
    }

    /// Returns the connection to its link after a probe or cancellation, whose latency is not that
    /// of calls.
    pub async fn release_after_check(mut self, now: ClockTime) {
        self.record_answer(None, now);
        self.release_when_ready().await;
    }

    fn record_answer(&mut self, latency: Option<ClockSpan>, now: ClockTime) {
        self.http.record_answer(now);
        self.permit.link.record_answer(self.opened(), latency, now);
    }

    async fn release_when_ready(mut self) {
        if self.http.ready().await.is_ok() {
            self.into_idle();
        }
    }

    /// Makes the connection available to calls, unless it is retired.
    pub fn into_idle(mut self) {
        self.pooled = true;
        let link = Arc::clone(&self.permit.link);
        link.keep_idle(self);
    }
}
