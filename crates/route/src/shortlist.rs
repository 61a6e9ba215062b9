//! The best upstreams for a call, in order, before a slot is reserved on one of them.

use std::sync::Arc;

use base::prelude::*;
use world::prelude::*;

/// An upstream that the policy would choose, with the age of its load report.
#[derive(Clone, Debug)]
pub struct ShortlistEntry {
    /// The server.
    pub server: Arc<UpstreamServer>,
    /// When the freshest report of its load was made, received from the server itself or from a
    /// peer, or `None` if there was none.
    pub reported_at: Option<ClockTime>,
    /// Expected latency of a call there, the wait for a slot included, divided by the typical
    /// latency of the service.
    pub slowdown: f64,
    /// Round-trip time to its data centre.
    pub round_trip: ClockSpan,
}
