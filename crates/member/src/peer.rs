//! What is known and said about a VM.

use std::net::SocketAddr;

use base::prelude::*;
use serde::{Deserialize, Serialize};
use world::prelude::*;

/// What a VM says about itself.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmPhase {
    /// Started and not yet ready for calls.
    Joining,
    /// Ready for calls.
    Live,
    /// Draining.
    Leaving,
}

/// What a VM concludes about a peer.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum PeerState {
    /// Started or listed, and not yet ready.
    Joining,
    /// Heard from recently.
    Live,
    /// Said that it is leaving.
    Leaving,
    /// Silent.
    Suspected,
    /// Silent for so long that it no longer counts.
    Gone,
}

impl PeerState {
    /// Returns the name used in logs, metrics and reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Joining => "joining",
            Self::Live => "live",
            Self::Leaving => "leaving",
            Self::Suspected => "suspected",
            Self::Gone => "gone",
        }
    }
}

/// One entry of the platform's membership list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedVm {
    /// The VM.
    pub identity: VmIdentity,
    /// Where it accepts peers.
    pub address: SocketAddr,
    /// Whether the platform is removing it.
    pub leaving: bool,
}

/// The platform's membership list.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MembershipList {
    /// The entries.
    pub members: Vec<ListedVm>,
    /// How old the platform says the list is.
    pub age: ClockSpan,
}

/// A VM as seen by this one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerView {
    /// The VM.
    pub identity: VmIdentity,
    /// Where it accepts peers.
    pub address: SocketAddr,
    /// The conclusion from the evidence.
    pub state: PeerState,
    /// When a new life sign was last seen, or `None` if there was none.
    pub heard_at: Option<ClockTime>,
    /// The peer that passed on the last life sign; the VM itself if it was heard directly.
    pub heard_from: Option<SharedName>,
    /// Whether the newest membership list names it.
    pub listed: bool,
    /// Exchanges that failed in a row.
    pub failures: u32,
}

/// A change that the gate logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PeerEvent {
    /// A VM was seen for the first time.
    Found(VmIdentity),
    /// A VM started again.
    Restarted(VmIdentity),
    /// A VM says that it is leaving.
    Leaving(VmIdentity),
    /// A VM that was suspected or gone was heard again.
    Returned(VmIdentity),
    /// Peers knew a higher incarnation of this VM at the same address; its own was raised.
    IncarnationRaised(u64),
    /// Another process runs under the name of this VM.
    Superseded(VmIdentity),
}

impl PeerEvent {
    /// Returns the number of the event in the log.
    pub const fn event_number(&self) -> u32 {
        match self {
            Self::Found(_) => 1701,
            Self::Restarted(_) => 1702,
            Self::Leaving(_) => 1703,
            Self::Returned(_) => 1704,
            Self::IncarnationRaised(_) => 1705,
            Self::Superseded(_) => 1706,
        }
    }
}
