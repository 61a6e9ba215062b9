//! Checks of single fields, used by the document and the settings.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::fmt::Debug;
use std::net::{Ipv6Addr, SocketAddr};
use std::ops::RangeInclusive;

use base::prelude::*;

use crate::problem::{FieldPath, ProblemList, quoted};

/// The longest name, in characters; names become metric labels and store keys.
const MAX_NAME_CHARS: usize = 63;
/// The longest host name, in characters, as in DNS.
const MAX_HOST_CHARS: usize = 253;
/// The longest label of a host name, in characters, as in DNS.
const MAX_LABEL_CHARS: usize = 63;
/// The longest path prefix, in characters.
pub(crate) const MAX_PREFIX_CHARS: usize = 256;

/// The longest time that a field in milliseconds may state: one hour.
pub(crate) const MAX_TIME_MS: u32 = 3_600_000;
/// The shortest time above zero that the clock can represent, in milliseconds.
pub(crate) const MIN_TIME_MS: f64 = 0.01;

/// Checks a name.
pub(crate) fn name(path: &FieldPath, text: &str, problems: &mut ProblemList) -> SharedName {
    let starts_well =
        text.starts_with(|letter: char| letter.is_ascii_lowercase() || letter.is_ascii_digit());
    let is_plain = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.');
    if !starts_well || !text.bytes().all(is_plain) || text.len() > MAX_NAME_CHARS {
        let reason = format!("{} is not a valid name", quoted(text));
        let remedy = format!(
            "use 1 to {MAX_NAME_CHARS} lower-case letters, digits, `-`, `_` and `.`, starting \
             with a letter or digit"
        );
        problems.report(path, reason, remedy);
    }
    SharedName::from(text)
}

/// Checks a host name.
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
    let is_plain = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_');
    text.len() <= MAX_HOST_CHARS
        && text.split('.').all(|label| {
            (1..=MAX_LABEL_CHARS).contains(&label.len()) && label.bytes().all(is_plain)
        })
}

/// Checks a path prefix.
pub(crate) fn path_prefix(path: &FieldPath, text: &str, problems: &mut ProblemList) -> SharedName {
    let is_plain = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#');
    if !text.starts_with('/') || !text.bytes().all(is_plain) || text.len() > MAX_PREFIX_CHARS {
        let reason = format!("{} is not a path prefix", quoted(text));
        let remedy = format!(
            "start with `/` and use up to {MAX_PREFIX_CHARS} visible ASCII characters, without a \
             query or fragment"
        );
        problems.report(path, reason, remedy);
    }
    SharedName::from(text)
}

/// Checks the address of a listener. Port 0 lets the system choose a free port.
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

/// Checks the address of another process, which the gateway connects to.
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

/// Checks an address that the process listens on and that other VMs send to. Port 0 lets the
/// system choose a free port.
pub(crate) fn shared_address(
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
        // Debug output keeps numbers such as 1e308 short.
        let reason = format!("{value:?} is not from {:?} to {:?}", range.start(), range.end());
        problems.report(path, reason, remedy);
    }
}

/// Checks a time in milliseconds.
pub(crate) fn span(
    path: &FieldPath,
    millis: u32,
    least: u32,
    problems: &mut ProblemList,
) -> ClockSpan {
    let remedy = "give a time in milliseconds, at most one hour";
    within(path, millis, least..=MAX_TIME_MS, remedy, problems);
    ClockSpan::from_millis(millis.into())
}

/// Checks a share that must leave something on both sides.
pub(crate) fn open_share(path: &FieldPath, value: f64, problems: &mut ProblemList) {
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

/// Finds values that are used twice.
#[derive(Debug)]
pub(crate) struct UniqueValues {
    remedy: &'static str,
    places: HashMap<String, FieldPath>,
}

impl UniqueValues {
    /// Returns an empty set of values.
    pub(crate) fn new(remedy: &'static str) -> Self {
        Self { remedy, places: HashMap::new() }
    }

    /// Adds a value and reports it if it was added before.
    pub(crate) fn add(&mut self, path: &FieldPath, value: String, problems: &mut ProblemList) {
        match self.places.entry(value) {
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
