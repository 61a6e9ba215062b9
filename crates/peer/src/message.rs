//! What VMs and operators say to each other.

use base::prelude::*;
use config::prelude::*;
use route::prelude::*;
use serde::{Deserialize, Serialize};
use world::prelude::*;

/// The method with which VMs exchange what they know.
pub const EXCHANGE: &str = "peer_exchange";
/// The method with which a VM fetches a document from a peer.
pub const DOCUMENT: &str = "peer_document";
/// The method with which operators look at a VM.
pub const STATUS: &str = "operator_status";

/// What one VM tells another, as a request and as its answer.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ExchangeNotice {
    /// The version in force at the sender.
    pub version: Option<VersionMark>,
    /// Drain marks and load samples.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub upstreams: Vec<UpstreamNotice>,
}

/// What a VM says about itself to operators.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StatusReport {
    /// The VM and its incarnation.
    pub vm: VmIdentity,
    /// The environment that it serves.
    pub environment: SharedName,
    /// The version in force.
    pub version: Option<VersionMark>,
    /// Whether it wants new calls.
    pub ready: bool,
    /// Calls in flight.
    pub calls: u64,
}
