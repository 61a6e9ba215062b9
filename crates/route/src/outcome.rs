//! Outcomes of calls and load reports of servers.

use base::prelude::*;

/// How a call to an upstream ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CallResult {
    /// Answered without a server error.
    Success,
    /// Answered with a server error.
    ServerError,
    /// Refused by an overloaded server, which did not run the call.
    Shed,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection broke before the response was complete.
    ConnectionLost,
    /// No response within the timeout of the call.
    TimedOut,
    /// Cancelled by the gateway or the caller for a reason unrelated to the server.
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

/// The load of a server at one time, over the calls of all VMs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Calls that occupy a slot. A report on a response counts the call that it answers.
    pub in_flight: u32,
    /// Slots of the server, or 0 if it does not report them.
    pub slots: u32,
    /// Calls that wait for a slot at the server.
    pub queued: u32,
    /// Pace: current service time on the server's machine in percent of the usual one, if the
    /// server reports it; 100 is usual, higher is slower.
    pub pace_percent: Option<u32>,
    /// Whether the server is draining.
    pub draining: bool,
    /// The age of the report when it reaches this VM.
    pub age: ClockSpan,
    /// Where it came from.
    pub source: ReportSource,
}

/// How busy and how slow an upstream is, according to its freshest reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadStatus {
    /// Service time divided by the usual one, if it was reported.
    pub pace: Option<f64>,
    /// Whether all slots are taken.
    pub full: bool,
}

/// The end of a call, as reported to
/// [`UpstreamTable::finish`](crate::table::UpstreamTable::finish).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallOutcome {
    /// Time from dispatch to the end of the call, the round trip between data centres included.
    pub latency: ClockSpan,
    /// How it ended.
    pub result: CallResult,
    /// The load carried on the response.
    pub load: Option<LoadReport>,
}
