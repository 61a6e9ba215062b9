//! Messages about upstreams that VMs send to their peers.

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// The load of a server, as one VM reports it to others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoadNotice {
    /// Calls that occupy a slot.
    pub in_flight: u32,
    /// Slots of the server, or 0 if it does not report them.
    pub slots: u32,
    /// Calls that wait for a slot at the server.
    pub queued: u32,
    /// Pace: current service time in percent of the usual one; 100 is usual, higher is slower. The
    /// short serialised name keeps a notice within 120 bytes. `None` is serialised as well, because
    /// compact formats have no optional fields.
    #[serde(default, rename = "pace")]
    pub pace_percent: Option<u32>,
    /// Age of the load when the notice was created.
    pub age_ms: u32,
}

/// A message about an upstream that one VM sends to others.
///
/// It carries no call outcomes: otherwise a VM with a broken link would cause healthy servers to be
/// ejected on all VMs.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct UpstreamNotice {
    /// The upstream.
    pub upstream: SharedName,
    /// Whether it is draining.
    pub draining: bool,
    /// Age of the drain flag when the notice was created.
    pub drain_age_ms: u32,
    /// Its load, if the sender received it directly from the server and recently.
    pub load: Option<LoadNotice>,
}
