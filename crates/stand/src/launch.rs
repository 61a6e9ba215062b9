//! The JSON argument and the JSON output line of a stand-in that runs as a separate process.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::plan::UpstreamPlan;
use crate::platform::PlatformPlan;
use crate::proxy::ProxyPlan;

/// The stand-in to run, and its plan, such as `{"upstream":{"slots":6}}`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StandChoice {
    /// An upstream with the native dialect.
    Upstream(Box<UpstreamPlan>),
    /// The tables, objects and membership list of the platform.
    Platform(PlatformPlan),
    /// A fault proxy.
    Proxy(ProxyPlan),
}

/// The line that the process prints when the stand-in is ready.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ReadyLine {
    /// The address of the stand-in.
    pub address: SocketAddr,
    /// The address of its admin interface.
    pub admin_address: SocketAddr,
}
