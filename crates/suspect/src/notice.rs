//! What VMs tell each other about suspects.

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// A crash of one upstream while a fingerprint was in flight on it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CrashIncident {
    /// The upstream.
    pub upstream: SharedName,
    /// Counts the crashes of this upstream with this fingerprint.
    pub count: u64,
    /// The time since the crash, when the notice was made.
    pub age: ClockSpan,
    /// Whether the fingerprint had run successfully before, so that its presence says little.
    pub proven: bool,
    /// Whether the fingerprint ran in isolation, so that its presence says much.
    pub isolated: bool,
}

/// All that a VM knows about one fingerprint. Receivers may merge notices in any order and more
/// than once.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SuspectNotice {
    /// The fingerprint.
    pub fingerprint: u64,
    /// Grows with each release or clearing, which discards all earlier crashes.
    pub epoch: u64,
    /// The time since the last release or clearing.
    pub cleared_age: ClockSpan,
    /// The crashes since then, one entry for each upstream.
    pub incidents: Vec<CrashIncident>,
    /// Counts the renewals of a confirmed verdict.
    pub renewals: u64,
    /// The time since the last renewal.
    pub renewed_age: ClockSpan,
}
