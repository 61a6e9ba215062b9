//! Messages between VMs about suspects.

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// A crash of one upstream while a fingerprint was in flight on it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CrashIncident {
    /// The upstream.
    pub upstream: SharedName,
    /// Number of crashes of this upstream with this fingerprint in flight.
    pub count: u64,
    /// Time since the crash when the notice was created.
    pub age: ClockSpan,
    /// Whether the fingerprint was proven by successful calls before, so that its presence at the
    /// crash indicates little.
    pub proven: bool,
    /// Whether the fingerprint ran in isolation, so that its presence at the crash indicates much.
    pub isolated: bool,
}

/// Everything that a VM knows about one fingerprint. Receivers may merge notices in any order and
/// more than once.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SuspectNotice {
    /// The fingerprint.
    pub fingerprint: u64,
    /// Number of releases (by an operator) and clearings (after successful runs, or when a crash
    /// follows expired ones), each of which discards all earlier crashes.
    pub epoch: u64,
    /// Time since the last release or clearing.
    pub cleared_age: ClockSpan,
    /// The crashes since then, one entry for each upstream.
    pub incidents: Vec<CrashIncident>,
    /// Number of renewals of the confirmed status.
    pub renewals: u64,
    /// Time since the last renewal.
    pub renewed_age: ClockSpan,
}
