//! Checks of request heads that all interfaces share, and the removal of hop-by-hop headers.

use base::prelude::*;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::request::Parts;
use http::{Method, StatusCode, Version};
use snafu::Snafu;
use world::request::MAX_CALL_DEPTH;

use crate::call::BodyLength;

/// The longest pause that an upstream gets for its `retry-after`. A longer one is cut to this
/// length, so that a wrong value does not cost the upstream for good.
pub const MAX_PAUSE: ClockSpan = ClockSpan::from_secs(600);
/// Milliseconds in a second.
const MILLIS_PER_SECOND: f64 = 1000.0;
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

/// Why a request head was refused.
#[derive(Debug, Eq, PartialEq, Snafu)]
pub enum HeadError {
    /// Both `content-length` and `transfer-encoding` were sent.
    #[snafu(display("content-length and transfer-encoding exclude each other; send one of them"))]
    ConflictingLength,
    /// `content-length` was sent more than once, or is not a whole number.
    #[snafu(display("content-length is repeated or not a whole number; send exactly one"))]
    RepeatedLength,
    /// The transfer coding is not `chunked` alone.
    #[snafu(display("unsupported transfer-encoding; send a content-length instead"))]
    TransferCoding,
    /// The caller requested another protocol.
    #[snafu(display("protocol upgrades are not supported; remove the upgrade header"))]
    Upgrade,
    /// The method is CONNECT, which is for forward proxies.
    #[snafu(display(
        "method connect is not supported; send the request to the service's own host"
    ))]
    Connect,
    /// The `host` header was sent more than once, is missing although the version is not HTTP/1.0,
    /// or is unreadable.
    #[snafu(display("exactly one host header is required; name the service's host"))]
    Host,
    /// The deadline was sent more than once or is not a whole number.
    #[snafu(display(
        "the deadline is not a whole number of milliseconds; correct or remove its header"
    ))]
    Deadline,
    /// The call depth was sent more than once or is not a whole number.
    #[snafu(display("agateroad-depth is not a whole number; correct or remove it"))]
    Depth,
    /// The call depth is above the limit.
    #[snafu(display(
        "more than {MAX_CALL_DEPTH} calls enclose this one; shorten the chain of calls"
    ))]
    TooDeep,
    /// The request id was sent more than once.
    #[snafu(display("more than one request id; send its header once"))]
    Id,
    /// The idempotency key was sent more than once, or is empty, too long or not visible ASCII.
    #[snafu(display(
        "idempotency-key must be 1 to {MAX_KEY_BYTES} visible ascii characters, sent once; correct it"
    ))]
    Key,
}

impl HeadError {
    /// Returns the status of the answer to the caller.
    pub const fn status(&self) -> StatusCode {
        StatusCode::BAD_REQUEST
    }
}

/// Sets a header to a text, or removes it. A text that is no valid value removes it as well.
pub fn set_or_remove(headers: &mut HeaderMap, name: &HeaderName, text: Option<&str>) {
    headers.remove(name);
    if let Some(value) = text.and_then(|text| HeaderValue::from_str(text).ok()) {
        headers.insert(name, value);
    }
}

/// Checks the rules that all interfaces share. Returns the host, in lower case and without its
/// port, and the length of the body.
///
/// # Errors
///
/// Returns the error of the first rule that the head breaks.
pub fn check_framing(parts: &Parts) -> Result<(String, BodyLength), HeadError> {
    if parts.method == Method::CONNECT {
        return Err(HeadError::Connect);
    }
    if parts.headers.contains_key(header::UPGRADE) {
        return Err(HeadError::Upgrade);
    }
    let length = body_length(&parts.headers)?;
    let chunked = is_chunked(&parts.headers)?;
    let body = match length {
        Some(_) if chunked => return Err(HeadError::ConflictingLength),
        None if chunked => BodyLength::Chunked,
        length => BodyLength::Known(length.unwrap_or(0)),
    };
    Ok((host(parts)?, body))
}

fn body_length(headers: &HeaderMap) -> Result<Option<u64>, HeadError> {
    let mut values = headers.get_all(header::CONTENT_LENGTH).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(HeadError::RepeatedLength);
    }
    parse_digits(value).ok_or(HeadError::RepeatedLength).map(Some)
}

/// Parses a number that consists of digits only. `parse` alone would also accept a sign, which
/// other servers that read the same head may reject or interpret differently.
pub(crate) fn parse_digits(value: &HeaderValue) -> Option<u64> {
    let text = value.to_str().ok()?;
    let all_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    if all_digits { text.parse().ok() } else { None }
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
    let host_header = values.next();
    if values.next().is_some() {
        return Err(HeadError::Host);
    }
    if host_header.is_none() && parts.version != Version::HTTP_10 {
        return Err(HeadError::Host);
    }
    let text = match parts.uri.host() {
        Some(host) => host,
        None => match host_header {
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

/// Reads a header that holds one whole number. Returns `None` if it is absent.
///
/// # Errors
///
/// Returns `error` if the header was sent more than once or is not a whole number.
pub fn number(
    headers: &HeaderMap,
    name: &HeaderName,
    error: HeadError,
) -> Result<Option<u64>, HeadError> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => match parse_digits(value) {
            Some(number) => Ok(Some(number)),
            None => Err(error),
        },
        _ => Err(error),
    }
}

/// Returns for how long an upstream wants no requests, according to its answer with `status`: the
/// `retry-after` of a 503, in seconds with or without a fraction. Of several values the longest
/// counts. Zero, dates, signs and other texts ask for no pause, and more than [`MAX_PAUSE`] counts
/// as that.
pub fn read_pause(status: StatusCode, headers: &HeaderMap) -> Option<ClockSpan> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let values = headers.get_all(header::RETRY_AFTER).iter();
    let longest = values.filter_map(parse_seconds).max()?;
    (longest > ClockSpan::ZERO).then(|| longest.min(MAX_PAUSE))
}

/// Parses a number of seconds that consists of digits and at most one point.
fn parse_seconds(value: &HeaderValue) -> Option<ClockSpan> {
    let text = value.to_str().ok()?.trim();
    let is_number = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let seconds: f64 = if is_number { text.parse().ok()? } else { return None };
    Some(ClockSpan::from_millis_f64(seconds * MILLIS_PER_SECOND))
}

/// Removes hop-by-hop headers, including those that the `connection` header names.
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
