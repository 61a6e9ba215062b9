//! Checks of single fields of the document and the settings. Each check reports a problem for an
//! invalid value.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::fmt::Debug;
use std::net::{Ipv6Addr, SocketAddr};
use std::ops::RangeInclusive;

use base::prelude::*;

use crate::problem::{FieldPath, ProblemList, quoted};

/// The longest name, in characters. Names are used in metric labels and store keys.
const MAX_NAME_CHARS: usize = 63;
/// The longest host name, in characters, as in DNS.
const MAX_HOST_CHARS: usize = 253;
/// The longest label of a host name, in characters, as in DNS.
const MAX_LABEL_CHARS: usize = 63;
/// The longest path prefix, in characters.
pub(crate) const MAX_PREFIX_CHARS: usize = 256;

/// The longest time of a field in milliseconds: one hour.
pub(crate) const MAX_TIME_MS: u32 = 3_600_000;
/// The shortest time above zero that the clock can represent, in milliseconds.
pub(crate) const MIN_TIME_MS: f64 = 0.01;

/// Checks a name of an object and returns it.
pub(crate) fn name(path: &FieldPath, text: &str, problems: &mut ProblemList) -> SharedName {
    let has_valid_start =
        text.starts_with(|letter: char| letter.is_ascii_lowercase() || letter.is_ascii_digit());
    let is_allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.');
    if !has_valid_start || !text.bytes().all(is_allowed) || text.len() > MAX_NAME_CHARS {
        let reason = format!("{} is not a valid name", quoted(text));
        let remedy = format!(
            "use 1 to {MAX_NAME_CHARS} lower-case letters, digits, `-`, `_` and `.`, starting \
             with a letter or digit"
        );
        problems.report(path, reason, remedy);
    }
    SharedName::from(text)
}

/// Checks a host name or an IPv6 address in brackets and returns it.
pub(crate) fn host(path: &FieldPath, text: &str, problems: &mut ProblemList) -> SharedName {
    if !is_host(text) {
        let reason = format!("{} is not a host name", quoted(text));
        problems.report(path, reason, "use lower case, without a scheme, port or trailing dot");
    }
    SharedName::from(text)
}

fn is_host(text: &str) -> bool {
    if let Some(address) = text.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
        return address.parse::<Ipv6Addr>().is_ok();
    }
    let is_allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_');
    text.len() <= MAX_HOST_CHARS
        && text.split('.').all(|label| {
            (1..=MAX_LABEL_CHARS).contains(&label.len()) && label.bytes().all(is_allowed)
        })
}

/// Checks a path prefix and returns it.
pub(crate) fn path_prefix(path: &FieldPath, text: &str, problems: &mut ProblemList) -> SharedName {
    let is_allowed = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#');
    if !text.starts_with('/') || !text.bytes().all(is_allowed) || text.len() > MAX_PREFIX_CHARS {
        let reason = format!("{} is not a path prefix", quoted(text));
        let remedy = format!(
            "start with `/` and use up to {MAX_PREFIX_CHARS} visible ASCII characters, without a \
             query or fragment"
        );
        problems.report(path, reason, remedy);
    }
    SharedName::from(text)
}

/// Checks the address of a listener. With port 0, the operating system chooses a free port.
pub(crate) fn listener_address(
    path: &FieldPath,
    text: &str,
    problems: &mut ProblemList,
) -> Option<SocketAddr> {
    let address = text.parse().ok();
    if address.is_none() {
        let reason = format!("{} is not an IP address and port", quoted(text));
        problems.report(path, reason, "write it like 10.0.0.5:8080 or [fd00::5]:8080");
    }
    address
}

/// Checks the address of another process to which the gateway connects.
pub(crate) fn remote_address(
    path: &FieldPath,
    text: &str,
    problems: &mut ProblemList,
) -> Option<SocketAddr> {
    let address = listener_address(path, text, problems)?;
    if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
        let reason = format!("{address} cannot be connected to");
        problems.report(path, reason, "give the IP address of one machine and a port above 0");
    }
    Some(address)
}

/// Checks an address on which the process listens and to which other VMs send. With port 0, the
/// operating system chooses a free port.
pub(crate) fn reachable_address(
    path: &FieldPath,
    text: &str,
    problems: &mut ProblemList,
) -> Option<SocketAddr> {
    let address = listener_address(path, text, problems)?;
    if address.ip().is_unspecified() || address.ip().is_multicast() {
        let reason = format!("other VMs cannot send to {address}");
        problems.report(path, reason, "give the IP address of this VM that its peers use");
    }
    Some(address)
}

/// Checks that a value is in a range.
pub(crate) fn within<T>(
    path: &FieldPath,
    value: T,
    range: RangeInclusive<T>,
    remedy: &str,
    problems: &mut ProblemList,
) where
    T: Debug + PartialOrd,
{
    if !range.contains(&value) {
        // Debug output is short for numbers such as 1e308.
        let reason = format!("{value:?} is not from {:?} to {:?}", range.start(), range.end());
        problems.report(path, reason, remedy);
    }
}

/// Checks a time in milliseconds, from `min_ms` to one hour, and returns it.
pub(crate) fn span(
    path: &FieldPath,
    millis: u32,
    min_ms: u32,
    problems: &mut ProblemList,
) -> ClockSpan {
    let remedy = "give a time in milliseconds, at most one hour";
    within(path, millis, min_ms..=MAX_TIME_MS, remedy, problems);
    ClockSpan::from_millis(millis.into())
}

/// Checks a share that must be above 0 and below 1.
pub(crate) fn exclusive_share(path: &FieldPath, value: f64, problems: &mut ProblemList) {
    if !(value > 0.0 && value < 1.0) {
        let reason = format!("{value} is not above 0 and below 1");
        problems.report(path, reason, "give a share such as 0.99; 1 leaves no error budget");
    }
}

/// Checks the length of a list.
pub(crate) fn length(
    path: &FieldPath,
    count: usize,
    range: RangeInclusive<usize>,
    problems: &mut ProblemList,
) {
    if !range.contains(&count) {
        let reason = format!("has {count} entries");
        let remedy = format!("give {} to {} entries", range.start(), range.end());
        problems.report(path, reason, remedy);
    }
}

/// Finds values that occur twice. Keeps the path of the first occurrence of each value.
#[derive(Debug)]
pub(crate) struct UniqueValues {
    remedy: &'static str,
    paths: HashMap<String, FieldPath>,
}

impl UniqueValues {
    /// Returns an empty set of values. `remedy` is part of the message about a repeated value.
    pub(crate) fn new(remedy: &'static str) -> Self {
        Self { remedy, paths: HashMap::new() }
    }

    /// Adds a value and reports it if it was added before.
    pub(crate) fn add(&mut self, path: &FieldPath, value: String, problems: &mut ProblemList) {
        match self.paths.entry(value) {
            Entry::Vacant(entry) => {
                entry.insert(path.clone());
            }
            Entry::Occupied(entry) => {
                let reason = format!("{} is already used at {}", quoted(entry.key()), entry.get());
                problems.report(path, reason, self.remedy);
            }
        }
    }
}
