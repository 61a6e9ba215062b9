//! Evidence that VMs exchange.

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// The load of a server in a notice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoadNotice {
    /// Calls that occupy a slot.
    pub in_flight: u32,
    /// Slots of the server, or 0 if it does not say.
    pub slots: u32,
    /// Calls that wait at the server.
    pub queued: u32,
    /// How long work takes at the moment, in percent of the usual time. The short name keeps a
    /// notice within 120 bytes; a missing figure is written as well, because compact formats have
    /// no optional fields.
    #[serde(default, rename = "pace")]
    pub pace_percent: Option<u32>,
    /// Age of the load when the notice was made.
    pub age_ms: u32,
}

/// What one VM tells others about an upstream.
///
/// Outcomes are left out on purpose: a VM with a broken link would otherwise have healthy servers
/// ejected everywhere.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct UpstreamNotice {
    /// The upstream.
    pub upstream: SharedName,
    /// Whether it is leaving.
    pub draining: bool,
    /// Age of the drain evidence when the notice was made.
    pub drain_age_ms: u32,
    /// Its load, if heard first hand and recent.
    pub load: Option<LoadNotice>,
}
