//! The HTTP listener for callers and its worker threads.
//!
//! `hyper` serves the connections. Unlike `xitca-web`, it notices that a caller closed its
//! connection while a call is running, and then drops the call.

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;

use base::prelude::*;
use codec::prelude::*;
use futures_util::FutureExt as _;
use http::header::{self, HeaderName, HeaderValue};
use http::request::Parts;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::answer::AnswerBody;
use crate::framing::{CallerStream, MAX_HEAD_BYTES, MAX_HEADERS, ReadHistory};
use crate::mechanism::Mechanism;
use crate::state::GateState;
use crate::{call, event, maintenance};

/// Connections that the kernel queues until a worker accepts them.
const BACKLOG: i32 = 1024;
/// The pause after a connection could not be accepted, usually for lack of file descriptors.
const ACCEPT_PAUSE: ClockSpan = ClockSpan::from_millis(10);
/// The keep-alive timeout sent to callers is this much shorter than the time after which an idle
/// connection is closed, so that no request arrives while it is closed.
const KEEP_ALIVE_MARGIN: ClockSpan = ClockSpan::from_secs(1);

/// How long a connection may wait for its first request after the listener was stopped: many round
/// trips to a caller.
const FIRST_REQUEST_GRACE: ClockSpan = ClockSpan::from_millis(500);

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// A bound listener and the workers that serve its connections. They stop when it is dropped.
#[derive(Debug)]
pub struct CallerServer {
    /// The address that callers connect to.
    pub address: SocketAddr,
    /// Stops accepting connections, and closes open ones once they are idle.
    stop: CancellationToken,
    /// Ends the workers.
    abort: CancellationToken,
    workers: Vec<JoinHandle<()>>,
    /// For each worker, cancelled once its last connection has ended.
    finished: Vec<CancellationToken>,
}

impl CallerServer {
    /// Binds the listener for callers and starts the workers.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or a worker cannot be started.
    pub fn start<C: CallCodec>(state: &Arc<GateState>) -> io::Result<Self> {
        let listener = listen(state.options.caller_address)?;
        let address = listener.local_addr()?;
        let (stop, abort) = (CancellationToken::new(), CancellationToken::new());
        let (workers, finished) = (Vec::new(), Vec::new());
        let mut server = Self { address, stop, abort, workers, finished };
        for index in 0..state.options.workers.max(1) {
            let finished = CancellationToken::new();
            server.finished.push(finished.clone());
            let worker = CallerWorker {
                state: Arc::clone(state),
                listener: listener.try_clone()?,
                stop: server.stop.clone(),
                abort: server.abort.clone(),
                finished,
                runs_maintenance: index == 0,
            };
            server.workers.push(worker.spawn::<C>(index)?);
        }
        Ok(server)
    }

    /// Accepts no further connections and closes those that are idle. Calls in flight go on.
    pub fn stop_accepting(&self) {
        self.stop.cancel();
    }

    /// Waits until the last connection has ended, after [`CallerServer::stop_accepting`].
    pub async fn wait_finished(&self) {
        for finished in &self.finished {
            finished.cancelled().await;
        }
    }
}

impl Drop for CallerServer {
    fn drop(&mut self) {
        self.stop.cancel();
        self.abort.cancel();
        for worker in self.workers.drain(..) {
            // A panic of the worker has already been printed.
            let _ = worker.join();
        }
    }
}

/// Accepted connections inherit `TCP_NODELAY` from the listener.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(address),
        socket2::Type::STREAM,
        Some(socket2::Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// One worker of the pool.
struct CallerWorker {
    state: Arc<GateState>,
    listener: TcpListener,
    stop: CancellationToken,
    abort: CancellationToken,
    finished: CancellationToken,
    /// Whether the background tasks run on this worker.
    runs_maintenance: bool,
}

impl CallerWorker {
    fn spawn<C: CallCodec>(self, index: usize) -> io::Result<JoinHandle<()>> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let name = format!("worker-{index}");
        std::thread::Builder::new().name(name).spawn(move || runtime.block_on(self.run::<C>()))
    }

    async fn run<C: CallCodec>(self) {
        let maintenance = self.runs_maintenance.then(|| {
            let state = Arc::clone(&self.state);
            tokio::spawn(maintenance::run::<C>(state))
        });
        let (abort, finished) = (self.abort.clone(), self.finished.clone().drop_guard());
        tokio::select! {
            () = abort.cancelled() => {}
            () = self.accept::<C>() => {}
        }
        drop(finished);
        // Connections to upstreams that this worker's runtime drives may carry calls of other
        // workers.
        abort.cancelled().await;
        if let Some(maintenance) = maintenance {
            maintenance.abort();
        }
    }

    /// Serves connections until the last one has ended after the listener was stopped.
    async fn accept<C: CallCodec>(self) {
        let Ok(listener) = tokio::net::TcpListener::from_std(self.listener) else { return };
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                () = self.stop.cancelled() => break,
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        let (state, stop) = (Arc::clone(&self.state), self.stop.clone());
                        connections.spawn(serve_connection::<C>(state, stream, stop));
                    }
                    Err(error) => {
                        tracing::warn!(
                            event = event::ACCEPT_FAILED,
                            %error,
                            "a connection could not be accepted"
                        );
                        tokio::time::sleep(ACCEPT_PAUSE.to_duration()).await;
                    }
                },
                Some(_) = connections.join_next(), if !connections.is_empty() => {}
            }
        }
        // The system has completed these connections already, and would reset them.
        while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
            let (state, stop) = (Arc::clone(&self.state), self.stop.clone());
            connections.spawn(serve_connection::<C>(state, stream, stop));
        }
        drop(listener);
        while connections.join_next().await.is_some() {}
    }
}

/// Serves one connection until it is closed, or until it is idle after `stop`.
async fn serve_connection<C: CallCodec>(
    state: Arc<GateState>,
    stream: TcpStream,
    stop: CancellationToken,
) {
    let idle = state.timeouts.load().caller_idle();
    let keep_alive = keep_alive_value(idle);
    let (stream, history) = CallerStream::new(stream, state.clock);
    let first_request = Notify::new();
    let service = service_fn(|request: Request<Incoming>| {
        first_request.notify_one();
        let (state, keep_alive) = (&state, &keep_alive);
        let (mut parts, body) = request.into_parts();
        restore_length(&mut parts, &history);
        async move {
            let mut answer = call::serve::<C>(state, parts, body).await;
            // hyper cannot change the timer of an open connection. `Connection: close` makes the
            // caller open another one, which uses the current timeouts.
            let outdated = state.timeouts.load().caller_idle() != idle;
            set_connection_headers(&mut answer, state, outdated, keep_alive);
            Ok::<_, Infallible>(answer)
        }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle.to_duration())
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    let result = tokio::select! {
        result = &mut connection => result,
        () = stop.cancelled() => {
            // hyper closes a connection at once if nothing was read from it. Its caller may have
            // sent the first request already.
            let grace = first_request_grace(&state).to_duration();
            let first = tokio::time::timeout(grace, first_request.notified());
            tokio::select! {
                result = &mut connection => result,
                _ = first => {
                    std::pin::Pin::new(&mut connection).graceful_shutdown();
                    (&mut connection).await
                }
            }
        }
    };
    // The error concerns the caller's connection, and the caller sees it at its own end.
    if let Err(error) = result {
        tracing::debug!(event = event::CALLER_CONNECTION_FAILED, %error);
        if error.is_timeout() {
            history.time_out_head();
        }
    }
    connection.into_parts().io.into_inner().close().await;
}

/// Returns how long a connection without a request may wait for its first one after the listener
/// was stopped.
fn first_request_grace(state: &GateState) -> ClockSpan {
    let enabled = state.options.tuning.uses(Mechanism::FirstRequest);
    if enabled { FIRST_REQUEST_GRACE } else { ClockSpan::ZERO }
}

/// Adds the `Content-Length` that hyper drops from a request that also has a `Transfer-Encoding`,
/// so that the checks of the head see both ways to delimit the body. A request whose head cannot be
/// found in the history is treated likewise.
fn restore_length(parts: &mut Parts, history: &ReadHistory) {
    if history.check_head(parts) {
        parts.headers.entry(header::CONTENT_LENGTH).or_insert(HeaderValue::from_static("0"));
    }
}

/// Returns the value of the `Keep-Alive` header: how long an idle connection is kept, in seconds.
/// Less than a second cannot be expressed.
fn keep_alive_value(idle: ClockSpan) -> Option<HeaderValue> {
    let seconds = idle.saturating_sub(KEEP_ALIVE_MARGIN).as_millis() / 1000;
    let value = (seconds > 0).then(|| HeaderValue::try_from(format!("timeout={seconds}")))?;
    value.ok()
}

/// Sets the headers that say whether and how long the connection stays open.
fn set_connection_headers(
    answer: &mut Response<AnswerBody>,
    state: &GateState,
    outdated: bool,
    keep_alive: &Option<HeaderValue>,
) {
    let headers = answer.headers_mut();
    if outdated || state.shutting_down.load(Ordering::Relaxed) {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    } else if let Some(keep_alive) = keep_alive
        && !headers.contains_key(header::CONNECTION)
    {
        headers.insert(KEEP_ALIVE, keep_alive.clone());
    }
}
