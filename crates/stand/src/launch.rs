//! The argument and the first output line of a stand-in that runs as a process of its own.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::plan::UpstreamPlan;
use crate::platform::PlatformPlan;
use crate::proxy::ProxyPlan;

/// Which stand-in to run, such as `{"upstream":{"slots":6}}`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StandChoice {
    /// An upstream.
    Upstream(Box<UpstreamPlan>),
    /// The platform's services.
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
