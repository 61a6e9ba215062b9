//! Mechanisms that tests can turn off, to show that their checks notice when one is missing.

use std::str::FromStr;

use snafu::Snafu;

/// A mechanism on which one guarantee of the gateway rests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mechanism {
    /// An upstream that reports that it is draining gets no new calls.
    Drain,
    /// A call that must not run twice is not sent again after an attempt that may have run.
    AtMostOnce,
    /// An answer to another request or from another server does not reach the caller.
    ForeignAnswer,
    /// A process that gets a stop signal finishes its calls first.
    GracefulStop,
    /// A version of the configuration is never replaced by an older one.
    VersionOrder,
    /// While peers read the store and this VM cannot reach it, an upstream that is removed does not
    /// stay in use.
    PeerRemoval,
    /// After a pause of the process or the machine, upstreams and configuration are read again.
    Pause,
    /// Calls for a target of a traffic split that has no upstreams do not move to another target.
    Split,
    /// A connection that no longer responds is replaced before a call is sent on it, or while a
    /// call waits for its answer there.
    Silence,
    /// Attempts after the first one of each call are limited by a budget.
    RetryBudget,
    /// A VM is ready only once it has the configuration and the upstreams.
    Recovery,
    /// An upstream that reports in an answer that it leaves gets no new requests.
    FinalDrain,
    /// An upstream that asks for a pause gets no requests until it is over.
    UpstreamPause,
    /// A call that may run twice and was lost at its upstream is sent to another one.
    Stall,
    /// A connection that was accepted before the end of the shutdown may still bring its first
    /// request.
    FirstRequest,
    /// A configuration that a peer has is read from a peer.
    PeerConfig,
    /// A VM that starts learns from its peers which requests crash upstreams.
    PeerSuspects,
    /// The designated reader reads the configuration again if versions of the store show that its long
    /// poll may have missed a change.
    ConfigCheck,
}

impl Mechanism {
    /// Every mechanism.
    pub const ALL: [Self; 18] = [
        Self::Drain,
        Self::AtMostOnce,
        Self::ForeignAnswer,
        Self::GracefulStop,
        Self::VersionOrder,
        Self::PeerRemoval,
        Self::Pause,
        Self::Split,
        Self::Silence,
        Self::RetryBudget,
        Self::Recovery,
        Self::FinalDrain,
        Self::UpstreamPause,
        Self::Stall,
        Self::FirstRequest,
        Self::PeerConfig,
        Self::PeerSuspects,
        Self::ConfigCheck,
    ];

    /// Returns the name on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Drain => "drain",
            Self::AtMostOnce => "at-most-once",
            Self::ForeignAnswer => "foreign-answer",
            Self::GracefulStop => "graceful-stop",
            Self::VersionOrder => "version-order",
            Self::PeerRemoval => "peer-removal",
            Self::Pause => "pause",
            Self::Split => "split",
            Self::Silence => "silence",
            Self::RetryBudget => "retry-budget",
            Self::Recovery => "recovery",
            Self::FinalDrain => "final-drain",
            Self::UpstreamPause => "upstream-pause",
            Self::Stall => "stall",
            Self::FirstRequest => "first-request",
            Self::PeerConfig => "peer-config",
            Self::PeerSuspects => "peer-suspects",
            Self::ConfigCheck => "config-check",
        }
    }
}

/// Error for a name that no mechanism has.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display(
    "unknown mechanism {name:?}: use one of {}",
    Mechanism::ALL.map(Mechanism::name).join(", ")
))]
pub struct UnknownMechanism {
    /// The name that was given.
    pub name: String,
}

impl FromStr for Mechanism {
    type Err = UnknownMechanism;

    fn from_str(name: &str) -> Result<Self, UnknownMechanism> {
        let known = Self::ALL.into_iter().find(|mechanism| mechanism.name() == name);
        known.ok_or_else(|| UnknownMechanism { name: name.to_owned() })
    }
}
