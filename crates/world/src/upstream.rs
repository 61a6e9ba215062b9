//! Backend servers, called upstreams of their service.

use std::net::SocketAddr;

use base::prelude::*;

/// A backend server of one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamServer {
    /// Its name, unique in the environment.
    pub name: SharedName,
    /// The service that it runs.
    pub service: SharedName,
    /// The data centre that it runs in.
    pub centre: SharedName,
    /// The address on which it accepts connections.
    pub address: SocketAddr,
    /// Number of calls that it runs at the same time.
    pub slots: u32,
    /// Number of connections that it accepts from all VMs together, those of probes included.
    pub connections: u32,
    /// Changes with each start of the server, so that evidence from before a restart is discarded.
    pub incarnation: u64,
    /// The rest of the server's warm-up when it is added to the environment; zero if it is warm.
    pub warm_up: ClockSpan,
}
