//! The error for a call that no upstream can take.

use base::prelude::*;
use snafu::Snafu;

/// No upstream of a service can take a call now.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum NoUpstream {
    /// The environment lists no upstream for the service.
    #[snafu(display(
        "service {service} has no upstream: add one to the environment's document and promote it"
    ))]
    NoneConfigured {
        /// The service.
        service: SharedName,
    },
    /// Every upstream is ejected or draining.
    #[snafu(display(
        "service {service} has no usable upstream ({ejected} ejected, {draining} draining): \
         retry later, or add upstreams that are not draining"
    ))]
    AllUnavailable {
        /// The service.
        service: SharedName,
        /// Ejected upstreams.
        ejected: u32,
        /// Draining upstreams.
        draining: u32,
    },
    /// Every upstream that is not ejected or draining asked this VM for a pause.
    #[snafu(display(
        "{paused} upstreams of service {service} asked for a pause and no other is usable: retry \
         after it, or add upstreams"
    ))]
    AllPaused {
        /// The service.
        service: SharedName,
        /// Upstreams that asked for a pause.
        paused: u32,
        /// The time until the first of the pauses ends.
        retry_in: ClockSpan,
    },
    /// Usable upstreams exist, but all of them are full. The call can wait for a slot.
    #[snafu(display(
        "all {full} usable upstreams of service {service} are full: queue the call or add upstreams"
    ))]
    AllFull {
        /// The service.
        service: SharedName,
        /// Full upstreams.
        full: u32,
        /// Calls of this VM in flight to the service. If it is zero, no finished call will free a
        /// slot, and the call should be retried after `retry_in`.
        own_in_flight: u32,
        /// The time after which the first upstream that counts as full because of a load report or
        /// a shed call, or that asked for a pause, can be used again, or `None` if only a finished
        /// call can free a slot.
        retry_in: Option<ClockSpan>,
    },
}

impl NoUpstream {
    /// Returns whether the call can be queued for a slot.
    pub const fn is_full(&self) -> bool {
        matches!(self, Self::AllFull { .. })
    }
}
