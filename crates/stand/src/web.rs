//! HTTP over a [`StandPort`](crate::port::StandPort).

use std::convert::Infallible;
use std::future::Future;

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
use crate::port::CutSignal;

/// Bounds the bodies of admin and platform calls.
const BODY_LIMIT: usize = 64 * 1024 * 1024;

/// Serves one connection until it ends or is cut.
pub async fn serve<F, R>(stream: TcpStream, mut cut: CutSignal, handler: F)
where
    F: Fn(Request<Incoming>) -> R,
    R: Future<Output = Response<StandBody>>,
{
    let service = service_fn(|request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        biased;
        () = cut.wait() => {}
        _ = connection => {}
    }
}

/// Returns an answer with a short body.
pub fn plain(status: StatusCode, text: &'static str) -> Response<StandBody> {
    let mut answer = Response::new(StandBody::from(text));
    *answer.status_mut() = status;
    answer
}

/// Returns an answer with a JSON body.
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

/// Returns `value` with the top-level fields of the JSON object `patch` in place of its own.
///
/// # Errors
///
/// Fails if the result is not a valid `T`.
pub fn merge<T: DeserializeOwned + Serialize>(value: &T, patch: &[u8]) -> Result<T, StandError> {
    let mut merged = serde_json::to_value(value).context(PlanSnafu)?;
    let patch: Map<String, Value> = serde_json::from_slice(patch).context(PlanSnafu)?;
    if let Some(fields) = merged.as_object_mut() {
        fields.extend(patch);
    }
    serde_json::from_value(merged).context(PlanSnafu)
}

/// Reads a whole body, or returns `None` if it is broken or too long.
pub async fn read_all(body: Incoming) -> Option<Bytes> {
    http_body_util::Limited::new(body, BODY_LIMIT).collect().await.ok().map(|all| all.to_bytes())
}

/// Returns a header as text.
pub fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
