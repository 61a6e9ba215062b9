//! Checks of request heads and the rules for headers.

use base::prelude::*;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::request::Parts;
use http::{Method, StatusCode, Version};
use route::prelude::*;
use snafu::Snafu;
use world::request::MAX_CALL_DEPTH;

/// Milliseconds that the caller still waits.
pub const DEADLINE: HeaderName = HeaderName::from_static("agateroad-deadline-ms");
/// The number of the attempt, from 1.
pub const ATTEMPT: HeaderName = HeaderName::from_static("agateroad-attempt");
/// The number of calls above this one.
pub const DEPTH: HeaderName = HeaderName::from_static("agateroad-depth");
/// The id by which a call can be cancelled.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("agateroad-request-id");
/// Whether a failed call was run: `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("agateroad-outcome");
/// Load of the upstream: `in_flight/slots/queued`.
pub const LOAD: HeaderName = HeaderName::from_static("agateroad-load");
/// Present while the upstream leaves.
pub const DRAIN: HeaderName = HeaderName::from_static("agateroad-drain");
/// Present with status 503 when the upstream did not run the call.
pub const SHED: HeaderName = HeaderName::from_static("agateroad-shed");
/// Names a non-idempotent piece of work.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// The longest idempotency key in bytes.
pub const MAX_KEY_BYTES: usize = 256;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Headers that concern one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
];

/// Headers that a caller must not pass on to an upstream.
const GATEWAY_ONLY: [HeaderName; 6] = [ATTEMPT, REQUEST_ID, OUTCOME, LOAD, DRAIN, SHED];

/// Why a request head was refused.
#[derive(Debug, Eq, PartialEq, Snafu)]
pub enum HeadError {
    /// Both ways to delimit a body were used.
    #[snafu(display("content-length and transfer-encoding exclude each other; send one of them"))]
    ConflictingLength,
    /// Several values of content-length.
    #[snafu(display("more than one content-length; send exactly one"))]
    RepeatedLength,
    /// A transfer coding other than chunked.
    #[snafu(display("unsupported transfer-encoding; send a content-length instead"))]
    TransferCoding,
    /// A chunked body. The HTTP library reports a connection that closes within a chunked body as
    /// the regular end of the body, so a part of a request could be run as if it were whole.
    #[snafu(display("chunked request bodies are not supported; send a content-length"))]
    LengthRequired,
    /// The caller asked for another protocol.
    #[snafu(display("protocol upgrades are not supported; remove the upgrade header"))]
    Upgrade,
    /// A method for forward proxies.
    #[snafu(display(
        "method connect is not supported; send the request to the service's own host"
    ))]
    Connect,
    /// Not exactly one host.
    #[snafu(display("exactly one host header is required; name the service's host"))]
    Host,
    /// The deadline is no number.
    #[snafu(display(
        "agateroad-deadline-ms is not a whole number of milliseconds; correct or remove it"
    ))]
    Deadline,
    /// The depth is no number.
    #[snafu(display("agateroad-depth is not a whole number; correct or remove it"))]
    Depth,
    /// The chain of calls is too long.
    #[snafu(display(
        "more than {MAX_CALL_DEPTH} calls stand above this one; shorten the chain of calls"
    ))]
    TooDeep,
    /// The key cannot be used.
    #[snafu(display(
        "idempotency-key must be 1 to {MAX_KEY_BYTES} visible ascii characters, sent once; correct it"
    ))]
    Key,
}

impl HeadError {
    /// Returns the status that tells the caller.
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::LengthRequired => StatusCode::LENGTH_REQUIRED,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

/// What the head of a request says to the gateway.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeadFacts {
    /// The host without its port, in lower case.
    pub host: String,
    /// How long the caller waits.
    pub deadline: Option<ClockSpan>,
    /// The number of calls above this one.
    pub depth: u32,
    /// The caller's idempotency key.
    pub key: Option<SharedName>,
    /// The length of the body in bytes.
    pub body_length: u64,
}

/// What an upstream tells the gateway in the head of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerMarks {
    /// The upstream's load.
    pub load: Option<LoadReport>,
    /// Whether the upstream refused the call without running it.
    pub shed: bool,
}

/// Checks the head of a caller's request.
///
/// # Errors
///
/// Returns the first rule that the head breaks.
pub fn check_head(parts: &Parts) -> Result<HeadFacts, HeadError> {
    if parts.method == Method::CONNECT {
        return Err(HeadError::Connect);
    }
    if parts.headers.contains_key(header::UPGRADE) {
        return Err(HeadError::Upgrade);
    }
    let body_length = body_length(&parts.headers)?;
    let chunked = is_chunked(&parts.headers)?;
    if chunked && body_length.is_some() {
        return Err(HeadError::ConflictingLength);
    }
    if chunked {
        return Err(HeadError::LengthRequired);
    }
    Ok(HeadFacts {
        host: host(parts)?,
        deadline: number(&parts.headers, &DEADLINE, HeadError::Deadline)?
            .map(ClockSpan::from_millis),
        depth: depth(&parts.headers)?,
        key: key(&parts.headers)?,
        body_length: body_length.unwrap_or(0),
    })
}

fn body_length(headers: &HeaderMap) -> Result<Option<u64>, HeadError> {
    let mut values = headers.get_all(header::CONTENT_LENGTH).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(HeadError::RepeatedLength);
    }
    digits(value).ok_or(HeadError::RepeatedLength).map(Some)
}

/// Reads a number of digits only. `parse` alone would also take a sign, which other readers of the
/// same head may refuse or understand differently.
fn digits(value: &HeaderValue) -> Option<u64> {
    let text = value.to_str().ok()?;
    let plain = text.bytes().all(|byte| byte.is_ascii_digit());
    if plain { text.parse().ok() } else { None }
}

fn is_chunked(headers: &HeaderMap) -> Result<bool, HeadError> {
    let mut values = headers.get_all(header::TRANSFER_ENCODING).iter();
    let Some(value) = values.next() else {
        return Ok(false);
    };
    if values.next().is_some() || !value.as_bytes().eq_ignore_ascii_case(b"chunked") {
        return Err(HeadError::TransferCoding);
    }
    Ok(true)
}

fn host(parts: &Parts) -> Result<String, HeadError> {
    let mut values = parts.headers.get_all(header::HOST).iter();
    let named = values.next();
    if values.next().is_some() {
        return Err(HeadError::Host);
    }
    if named.is_none() && parts.version != Version::HTTP_10 {
        return Err(HeadError::Host);
    }
    let text = match parts.uri.host() {
        Some(host) => host,
        None => match named {
            Some(value) => value.to_str().map_err(|_| HeadError::Host)?,
            None => "",
        },
    };
    Ok(without_port(text).to_ascii_lowercase())
}

fn without_port(text: &str) -> &str {
    match text.rsplit_once(':') {
        Some((host, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => host,
        _ => text,
    }
}

fn number(
    headers: &HeaderMap,
    name: &HeaderName,
    error: HeadError,
) -> Result<Option<u64>, HeadError> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => match digits(value) {
            Some(number) => Ok(Some(number)),
            None => Err(error),
        },
        _ => Err(error),
    }
}

fn depth(headers: &HeaderMap) -> Result<u32, HeadError> {
    let depth = number(headers, &DEPTH, HeadError::Depth)?.unwrap_or(0);
    if depth > u64::from(MAX_CALL_DEPTH) {
        return Err(HeadError::TooDeep);
    }
    Ok(depth as u32)
}

fn key(headers: &HeaderMap) -> Result<Option<SharedName>, HeadError> {
    let mut values = headers.get_all(IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(HeadError::Key);
    }
    let text = value.to_str().map_err(|_| HeadError::Key)?;
    let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    if text.is_empty() || text.len() > MAX_KEY_BYTES || !visible {
        return Err(HeadError::Key);
    }
    Ok(Some(SharedName::from(text)))
}

/// Removes hop-by-hop headers, those named by `connection` included.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    if headers.contains_key(header::CONNECTION) {
        for name in connection_options(headers) {
            headers.remove(name);
        }
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|option| HeaderName::from_bytes(option.trim().as_bytes()).ok())
        .filter(|name| *name != header::CONTENT_LENGTH && *name != header::HOST)
        .collect()
}

/// Removes from a caller's request what must not reach an upstream.
pub fn clean_request(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    headers.remove(header::EXPECT);
    for name in &GATEWAY_ONLY {
        headers.remove(name);
    }
}

/// Sets the headers that an upstream gets with each attempt.
pub fn mark_request(
    headers: &mut HeaderMap,
    remaining: ClockSpan,
    attempt: u32,
    depth: u32,
    id: &HeaderValue,
) {
    headers.insert(DEADLINE, HeaderValue::from(remaining.as_millis()));
    headers.insert(ATTEMPT, HeaderValue::from(attempt));
    headers.insert(DEPTH, HeaderValue::from(depth + 1));
    headers.insert(REQUEST_ID, id.clone());
}

/// Takes the upstream's marks out of an answer and removes what must not reach the caller.
pub fn clean_answer(headers: &mut HeaderMap) -> AnswerMarks {
    remove_hop_by_hop(headers);
    headers.remove(OUTCOME);
    let draining = headers.remove(DRAIN).is_some();
    let shed = headers.remove(SHED).is_some();
    let load = headers.remove(LOAD).and_then(|value| parse_load(value.to_str().ok()?));
    let load = match load {
        Some((in_flight, slots, queued)) => Some(report(in_flight, slots, queued, draining)),
        None if draining => Some(report(0, 0, 0, draining)),
        None => None,
    };
    AnswerMarks { load, shed }
}

fn report(in_flight: u32, slots: u32, queued: u32, draining: bool) -> LoadReport {
    let age = ClockSpan::ZERO;
    LoadReport {
        in_flight,
        slots,
        queued,
        pace_percent: None,
        draining,
        age,
        source: ReportSource::Response,
    }
}

fn parse_load(text: &str) -> Option<(u32, u32, u32)> {
    let mut fields = text.splitn(3, '/').map(|field| field.parse().ok());
    Some((fields.next()??, fields.next()??, fields.next()??))
}
