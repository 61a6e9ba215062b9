//! The listener for callers.

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::Ordering;

use http::Response;
use http::header::{self, HeaderValue};
use xitca_web::HttpServer;
use xitca_web::body::RequestBody;
use xitca_web::http::{Request, RequestExt};
use xitca_web::service::fn_service;

use crate::answer::AnswerBody;
use crate::call;
use crate::state::GateState;

/// The longest request head. Also the size of the read buffer of a caller's connection.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The most header fields of a request.
const MAX_HEADERS: usize = 64;
/// The size at which a response body waits until it has been written.
const WRITE_BUFFER_BYTES: usize = 64 * 1024;
/// Connections that the system keeps until a worker accepts them.
const BACKLOG: i32 = 1024;

/// A bound listener with its workers, not yet started.
pub struct FrontServer {
    /// The address that callers connect to.
    pub address: SocketAddr,
    /// Runs the listener until it is stopped.
    pub future: xitca_server::ServerFuture,
}

/// Binds the listener for callers.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn bind(state: Arc<GateState>) -> io::Result<FrontServer> {
    let listener = listen(state.options.caller_address)?;
    let address = listener.local_addr()?;
    let timeouts = state.options.timeouts.clone();
    let workers = state.options.workers;
    let service = fn_service(move |request: Request<RequestExt<RequestBody>>| {
        let state = Arc::clone(&state);
        async move { Ok::<_, Infallible>(serve(&state, request).await) }
    });
    let future = HttpServer::serve(service)
        .worker_threads(workers)
        .disable_signal()
        .keep_alive_timeout(timeouts.keep_alive.to_duration())
        .request_head_timeout(timeouts.request_head.to_duration())
        .max_read_buf_size::<MAX_HEAD_BYTES>()
        .max_request_headers::<MAX_HEADERS>()
        .max_write_buf_size::<WRITE_BUFFER_BYTES>()
        .listen(listener)?
        .run();
    Ok(FrontServer { address, future })
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
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

async fn serve(
    state: &Arc<GateState>,
    request: Request<RequestExt<RequestBody>>,
) -> Response<AnswerBody> {
    let (parts, extension) = request.into_parts();
    let (_, body) = extension.replace_body(());
    let mut answer = call::serve(state, parts, body).await;
    if state.draining.load(Ordering::Relaxed) {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}
