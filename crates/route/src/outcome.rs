//! How calls end and what servers say about their load.

use base::prelude::*;

/// How a call to an upstream ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CallResult {
    /// Answered without a server error.
    Success,
    /// Answered with a server error.
    ServerError,
    /// Refused by the server as not run.
    Shed,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection broke before the response was complete.
    ConnectionLost,
    /// No response within the time for the call.
    TimedOut,
    /// Given up by the gateway or the caller for a reason unrelated to the server.
    Cancelled,
}

impl CallResult {
    /// Every result.
    pub const ALL: [Self; 7] = [
        Self::Success,
        Self::ServerError,
        Self::Shed,
        Self::ConnectFailed,
        Self::ConnectionLost,
        Self::TimedOut,
        Self::Cancelled,
    ];

    /// Returns whether the server answered.
    pub const fn is_answered(self) -> bool {
        matches!(self, Self::Success | Self::ServerError | Self::Shed)
    }
}

/// Where a load report came from.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ReportSource {
    /// The headers of a response to a caller's request.
    Response,
    /// A probe of the load endpoint.
    Probe,
    /// Another VM.
    Peer,
}

/// The load of a server at some moment, over the calls of all VMs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Calls that occupy a slot. A report on a response counts the call that it answers.
    pub in_flight: u32,
    /// Slots of the server, or 0 if it does not say.
    pub slots: u32,
    /// Calls that wait for a slot at the server.
    pub queued: u32,
    /// How long work takes on the server's machine at the moment, in percent of the usual time, if
    /// the server says so.
    pub pace_percent: Option<u32>,
    /// Whether the server is leaving.
    pub draining: bool,
    /// The age of the report when it is passed on.
    pub age: ClockSpan,
    /// Where it came from.
    pub source: ReportSource,
}

/// The end of a call, as reported to [`UpstreamTable::finish`](crate::table::UpstreamTable::finish).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallOutcome {
    /// Time from dispatch to the end of the call, the link's round trip included.
    pub latency: ClockSpan,
    /// How it ended.
    pub result: CallResult,
    /// The load carried on the response.
    pub load: Option<LoadReport>,
}
