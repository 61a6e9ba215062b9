//! Checks of request heads that every interface shares, and the rules for hop-by-hop headers.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::request::Parts;
use http::{Method, StatusCode, Version};
use snafu::Snafu;
use world::request::MAX_CALL_DEPTH;

use crate::call::BodyLength;

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
    /// Both ways to delimit a body were used.
    #[snafu(display("content-length and transfer-encoding exclude each other; send one of them"))]
    ConflictingLength,
    /// Several values of content-length.
    #[snafu(display("more than one content-length; send exactly one"))]
    RepeatedLength,
    /// A transfer coding other than chunked.
    #[snafu(display("unsupported transfer-encoding; send a content-length instead"))]
    TransferCoding,
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
        "the deadline is not a whole number of milliseconds; correct or remove its header"
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
    /// Not exactly one request id.
    #[snafu(display("exactly one request id is required; send its header once"))]
    Id,
    /// The key cannot be used.
    #[snafu(display(
        "idempotency-key must be 1 to {MAX_KEY_BYTES} visible ascii characters, sent once; correct it"
    ))]
    Key,
}

impl HeadError {
    /// Returns the status that tells the caller.
    pub const fn status(&self) -> StatusCode {
        StatusCode::BAD_REQUEST
    }
}

/// Checks the rules that hold for every interface and returns the host and the body's length.
///
/// # Errors
///
/// Returns the first rule that the head breaks.
pub fn check_frame(parts: &Parts) -> Result<(String, BodyLength), HeadError> {
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
    digits(value).ok_or(HeadError::RepeatedLength).map(Some)
}

/// Reads a number of digits only. `parse` alone would also take a sign, which other readers of the
/// same head may refuse or understand differently.
pub(crate) fn digits(value: &HeaderValue) -> Option<u64> {
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

/// Reads a header that holds one number.
///
/// # Errors
///
/// Returns `error` if the header is repeated or holds something else.
pub fn number(
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
