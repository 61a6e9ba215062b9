//! The HTTP listener for metrics, readiness and liveness.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::state::GateState;

/// The most connections at once. Scrapers and load balancers use a few.
const MAX_CONNECTIONS: usize = 64;

/// A bound listener for metrics, readiness and liveness. It stops when it is dropped.
pub struct MetricsServer {
    /// The address that it listens on.
    pub address: SocketAddr,
    _tasks: JoinSet<()>,
}

impl MetricsServer {
    /// Starts the listener.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(state: Arc<GateState>, address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, state));
        Ok(Self { address, _tasks: tasks })
    }
}

async fn accept(listener: TcpListener, state: Arc<GateState>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept(), if connections.len() < MAX_CONNECTIONS => {
                // A connection that ended before it was accepted needs no answer.
                let Ok((stream, _)) = accepted else { continue };
                let state = Arc::clone(&state);
                connections.spawn(async move {
                    let service = service_fn(move |request| {
                        let answer = serve(&state, &request);
                        async move { Ok::<_, Infallible>(answer) }
                    });
                    let mut server = hyper::server::conn::http1::Builder::new();
                    server.timer(TokioTimer::new());
                    let _ = server.serve_connection(TokioIo::new(stream), service).await;
                });
            }
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
        }
    }
}

fn serve(state: &GateState, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    if request.method() != Method::GET {
        return answer(StatusCode::METHOD_NOT_ALLOWED, "only GET is supported\n");
    }
    match request.uri().path() {
        "/live" => answer(StatusCode::OK, "live\n"),
        "/ready" if state.is_ready() => answer(StatusCode::OK, "ready\n"),
        "/ready" => answer(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        "/metrics" => answer(StatusCode::OK, state.tables.metrics.render()),
        _ => answer(StatusCode::NOT_FOUND, "use /metrics, /ready or /live\n"),
    }
}

fn answer(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}
