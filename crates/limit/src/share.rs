//! Connections that this VM may open to one upstream.

use crate::probe::VmCounts;

/// Connections reserved for probes if the share is larger than this.
const PROBE_CONNECTIONS: u32 = 1;

/// This VM's share of the connections of one upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionShare {
    /// Connections for calls.
    pub calls: u32,
    /// Connections reserved for probes. Zero if the share is a single connection, which calls and
    /// probes then use alternately.
    pub probes: u32,
    /// Whether there are more VMs than connections, so that even one connection for each VM exceeds
    /// what the upstream accepts. VMs must then use a subset of the upstreams.
    pub oversubscribed: bool,
}

impl ConnectionShare {
    /// Divides the connections of an upstream by the number of VMs, see [`VmCounts::divisor`].
    pub fn of(connections: u32, vm_ceiling: u32, counts: VmCounts) -> Self {
        let divisor = counts.divisor(vm_ceiling);
        let total = (connections / divisor).max(1);
        let probes = if total > PROBE_CONNECTIONS { PROBE_CONNECTIONS } else { 0 };
        Self { calls: total - probes, probes, oversubscribed: divisor > connections }
    }

    /// Returns the number of all connections of the share.
    pub const fn total(self) -> u32 {
        self.calls + self.probes
    }
}
