//! Helpers of the stand-ins to serve HTTP on a [`StandPort`].

use std::borrow::Cow;
use std::error::Error;
use std::fmt;
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use snafu::ResultExt;
use tokio::net::TcpStream;

use crate::body::StandBody;
use crate::error::{PlanSnafu, StandError};
use crate::port::{CutSignal, PortControl, StandPort};
use crate::script::RawScript;

/// The largest body in bytes of a call to a stand-in.
const BODY_LIMIT: usize = 64 * 1024 * 1024;

/// The error by which a handler closes the connection without an answer.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionCut;

impl fmt::Display for ConnectionCut {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the connection is closed without an answer")
    }
}

impl std::error::Error for ConnectionCut {}

/// Serves one connection until it ends or its port closes it.
pub async fn serve<F, R>(stream: TcpStream, mut cut: CutSignal, handler: F)
where
    F: Fn(Request<Incoming>) -> R,
    R: Future<Output = Result<Response<StandBody>, ConnectionCut>>,
{
    let stream = TokioIo::new(stream);
    let connection = http1::Builder::new().serve_connection(stream, service_fn(handler));
    tokio::select! {
        biased;
        () = cut.wait() => {}
        _ = connection => {}
    }
}

/// Serves one connection until it ends, its port closes it, or `idle` completes. If the handler
/// fails with a script, the script takes over the connection, and may give it back.
pub(crate) async fn serve_scripted<F, R>(
    mut stream: TcpStream,
    mut cut: CutSignal,
    idle: impl Future<Output = ()>,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> R + Unpin,
    R: Future<Output = Result<Response<StandBody>, RawScript>>,
{
    let mut idle = pin!(idle);
    loop {
        let io = TokioIo::new(stream);
        let mut connection = http1::Builder::new().serve_connection(io, service_fn(&handler));
        let end = tokio::select! {
            biased;
            () = cut.wait() => return,
            () = &mut idle => return,
            end = &mut connection => end,
        };
        let Some(script) = end.err().and_then(|error| script_of(&error)) else { return };
        let taken = connection.into_parts().io.into_inner();
        let resumed = tokio::select! {
            biased;
            () = cut.wait() => None,
            resumed = script.run(taken) => resumed,
        };
        let Some(next) = resumed else { return };
        stream = next;
    }
}

fn script_of(error: &hyper::Error) -> Option<RawScript> {
    error.source()?.downcast_ref::<RawScript>().cloned()
}

/// Serves every connection of a port. The port closes when its control is dropped, so the control
/// is kept until then.
pub(crate) async fn serve_port<S, F, R>(
    port: StandPort,
    control: PortControl,
    state: Arc<S>,
    handler: F,
) where
    S: Send + Sync + 'static,
    F: Fn(Arc<S>, Request<Incoming>) -> R + Copy + Send + Sync + 'static,
    R: Future<Output = Result<Response<StandBody>, ConnectionCut>> + Send + 'static,
{
    port.run(|stream, cut| {
        let state = state.clone();
        tokio::spawn(serve(stream, cut, move |request| handler(state.clone(), request)));
    })
    .await;
    drop(control);
}

/// Returns an answer with a text body.
pub fn plain(status: StatusCode, text: &'static str) -> Response<StandBody> {
    let mut answer = Response::new(StandBody::from(text));
    *answer.status_mut() = status;
    answer
}

/// Returns an answer with a JSON body, or status 500 if the value cannot be encoded.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<StandBody> {
    match serde_json::to_vec(value) {
        Ok(bytes) => {
            let mut answer = Response::new(StandBody::from(Bytes::from(bytes)));
            *answer.status_mut() = status;
            answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            answer
        }
        Err(_) => plain(StatusCode::INTERNAL_SERVER_ERROR, "the value is not valid JSON"),
    }
}

/// Parses a JSON body.
///
/// # Errors
///
/// Fails if the body is not a valid `T`.
pub fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, StandError> {
    serde_json::from_slice(body).context(PlanSnafu)
}

/// Returns the answer to an admin call that changes state: 200, or 400 with the error.
pub fn changed(outcome: Result<(), StandError>) -> Response<StandBody> {
    match outcome {
        Ok(()) => plain(StatusCode::OK, "changed"),
        Err(error) => json(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

/// Replaces the top-level fields of `value` that the JSON object `patch` contains.
///
/// # Errors
///
/// Fails without a change if `patch` is not a JSON object or the result is not a valid `T`.
pub fn merge<T: DeserializeOwned + Serialize>(
    value: &mut T,
    patch: &[u8],
) -> Result<(), StandError> {
    let mut merged = serde_json::to_value(&*value).context(PlanSnafu)?;
    let patch: Map<String, Value> = serde_json::from_slice(patch).context(PlanSnafu)?;
    if let Some(fields) = merged.as_object_mut() {
        fields.extend(patch);
    }
    *value = serde_json::from_value(merged).context(PlanSnafu)?;
    Ok(())
}

/// Reads a whole body, or returns `None` if it is incomplete or longer than 64 MiB.
pub async fn read_all(body: Incoming) -> Option<Bytes> {
    http_body_util::Limited::new(body, BODY_LIMIT).collect().await.ok().map(|all| all.to_bytes())
}

/// Returns the value of a header, or `None` if it is absent or not visible ASCII.
pub fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the percent-decoded value of a query parameter, or `None` if it is absent.
pub fn query_value<'a>(query: &'a str, name: &str) -> Option<Cow<'a, str>> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.into_iter().find(|(key, _)| *key == name)?;
    Some(percent_encoding::percent_decode_str(value).decode_utf8_lossy())
}
