//! Prepared requests, and the classification of their answers.

use base::prelude::*;
use bytes::Bytes;
use http::header::{HOST, HeaderName, HeaderValue};
use http::{HeaderMap, Method, Request, Response, Uri};
use http_body_util::Full;
use snafu::ResultExt;

use crate::error::{LoadError, RequestSnafu};
use crate::plan::{LoadPlan, RequestKind};
use crate::tally::CallEnd;

const NONCE: HeaderName = HeaderName::from_static("x-test-nonce");
const KEY: HeaderName = HeaderName::from_static("idempotency-key");
const PLACEHOLDER: &str = "{n}";

/// A request kind whose parts are parsed once, before the calls.
#[derive(Clone, Debug)]
pub struct PreparedKind {
    method: Method,
    /// The parsed path, or `None` if the path contains a placeholder.
    uri: Option<Uri>,
    path: SharedName,
    spread: u64,
    headers: HeaderMap,
    body: Bytes,
    key_prefix: Option<SharedName>,
    check_nonce: bool,
    expect_status: Vec<u16>,
    expect_bytes: Option<u64>,
}

impl PreparedKind {
    /// Prepares a request kind.
    ///
    /// # Errors
    ///
    /// Fails if the kind is not valid HTTP.
    pub fn new(plan: &LoadPlan, kind: &RequestKind) -> Result<Self, LoadError> {
        let invalid = |field| RequestSnafu { kind: kind.name.clone(), field };
        let method = Method::from_bytes(kind.method.as_bytes())
            .map_err(http::Error::from)
            .context(invalid("method"))?;
        let sample = kind.path.replace(PLACEHOLDER, "0");
        let uri = Uri::try_from(sample).map_err(http::Error::from).context(invalid("path"))?;
        let mut headers = HeaderMap::new();
        let host = HeaderValue::from_str(&kind.host)
            .map_err(http::Error::from)
            .context(invalid("host"))?;
        headers.insert(HOST, host);
        for (name, value) in &kind.headers {
            let name = HeaderName::from_bytes(name.as_bytes())
                .map_err(http::Error::from)
                .context(invalid("headers"))?;
            let value = HeaderValue::from_str(value)
                .map_err(http::Error::from)
                .context(invalid("headers"))?;
            headers.append(name, value);
        }
        if let Some(deadline) = kind.deadline_ms {
            headers.insert("agateroad-deadline-ms", HeaderValue::from(deadline));
        }
        Ok(Self {
            method,
            uri: (!kind.path.contains(PLACEHOLDER)).then_some(uri),
            path: kind.path.clone(),
            spread: kind.spread.max(1),
            headers,
            body: Bytes::from(vec![b'b'; kind.body_bytes]),
            key_prefix: kind.keyed.then(|| plan.key_prefix.clone()),
            check_nonce: kind.check_nonce,
            expect_status: kind.expect_status.clone(),
            expect_bytes: kind.expect_bytes,
        })
    }

    /// Returns a request with a nonce and, if the path has a placeholder, a number for it.
    pub fn request(&self, nonce: u64, number: u64) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri(number);
        *request.headers_mut() = self.headers.clone();
        if self.check_nonce {
            request.headers_mut().insert(NONCE, HeaderValue::from(nonce));
        }
        if let Some(prefix) = &self.key_prefix {
            let value = HeaderValue::try_from(format!("{prefix}-{nonce}"));
            request.headers_mut().extend(value.map(|value| (KEY, value)));
        }
        request
    }

    /// Returns the number of different paths.
    pub fn spread(&self) -> u64 {
        self.spread
    }

    /// Classifies an answer by its status and headers.
    pub fn classify_head<B>(&self, nonce: u64, answer: &Response<B>) -> CallEnd {
        let header = |name: &str| answer.headers().get(name).map(HeaderValue::as_bytes);
        match header("agateroad-outcome") {
            Some(b"not-run") => return CallEnd::NotRun,
            Some(b"unknown") => return CallEnd::Unknown,
            _ => {}
        }
        if header("agateroad-shed") == Some(b"1") {
            return CallEnd::NotRun;
        }
        if !self.expect_status.contains(&answer.status().as_u16()) {
            return CallEnd::WrongStatus;
        }
        if self.check_nonce && !has_nonce(answer.headers().get(NONCE), nonce) {
            return CallEnd::WrongNonce;
        }
        CallEnd::Good
    }

    /// Classifies a whole answer by the result of [`Self::classify_head`] and the length of its
    /// body.
    pub fn classify_body(&self, head: CallEnd, length: u64) -> CallEnd {
        match (head, self.expect_bytes) {
            (CallEnd::Good, Some(expected)) if expected != length => CallEnd::ShortBody,
            _ => head,
        }
    }

    fn uri(&self, number: u64) -> Uri {
        match &self.uri {
            Some(uri) => uri.clone(),
            None => {
                let path = self.path.replace(PLACEHOLDER, &number.to_string());
                // The path was valid with another number in the same place.
                Uri::try_from(path).unwrap_or_default()
            }
        }
    }
}

fn has_nonce(header: Option<&HeaderValue>, nonce: u64) -> bool {
    let text = header.and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()) == Some(nonce)
}
