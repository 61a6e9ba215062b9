//! Backend servers.

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
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Calls that it runs at the same time.
    pub slots: u32,
    /// Connections that it holds over all VMs, probes included.
    pub connections: u32,
    /// Differs after every start of the server, so that evidence on an earlier start is dropped.
    pub incarnation: u64,
    /// How much longer the server is cold after it was listed.
    pub warm_up: ClockSpan,
}
