//! Kinds of faults that a run injects. The printed schedules contain the names of the variants and
//! fields (their `Debug` output).

use base::prelude::*;
use stand::prelude::*;

/// A fault and the part of the system that it affects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SoakFault {
    /// A fault of network connections.
    Link {
        /// The affected connections.
        link: FaultLink,
        /// The kind of fault.
        fault: LinkFault,
    },
    /// A fault of the store.
    Store(StoreFault),
    /// A fault of an upstream.
    Upstream {
        /// The index of the upstream.
        upstream: usize,
        /// The kind of fault.
        fault: UpstreamFault,
    },
    /// A fault of a gateway process.
    Process {
        /// The index of the VM that runs the process.
        vm: usize,
        /// The kind of fault.
        fault: ProcessFault,
    },
    /// A write to the configuration in the store.
    Config(ConfigFault),
}

/// The connections that pass through one fault proxy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultLink {
    /// From callers to the gateway of a VM.
    Callers(usize),
    /// From the gateway of a VM to the store.
    Store(usize),
    /// From all gateways to an upstream.
    Upstream(usize),
}

/// A fault of connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkFault {
    /// Bytes are delayed in both directions.
    Delay {
        /// The delay in each direction, in milliseconds.
        ms: f64,
    },
    /// Bytes pass at a low rate.
    Narrow {
        /// Bytes a second in each direction of each connection.
        bytes_per_second: u64,
    },
    /// Open connections are reset.
    Reset,
    /// Bytes are held back in one direction. When the fault ends, the connections are reset.
    Cut(ProxyDirection),
    /// Open connections transfer no further bytes, even after the fault; new connections work.
    Silence,
    /// New connections are refused.
    Refuse,
}

/// A fault of the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StoreFault {
    /// No call is executed.
    Down(RowOutage),
    /// The store refuses connections and closes the open ones.
    Closed,
    /// Calls take longer.
    Slow {
        /// The time before a call is executed, in milliseconds.
        ms: u64,
    },
    /// Calls are executed but not answered.
    Lost(AnswerLoss),
    /// Answers with changes of the configuration are lost, and all others arrive.
    LostConfig,
    /// Calls for changes of the configuration are neither executed nor answered.
    LostPolls,
    /// Calls are executed late and are not answered.
    Late {
        /// The time until a call is executed, in milliseconds.
        ms: u64,
        /// How the missing answer shows: no bytes, or a reset connection.
        loss: AnswerLoss,
    },
    /// The history of changes is dropped once, so clients have to read all rows again.
    HistoryDropped,
}

/// A fault of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UpstreamFault {
    /// The upstream drains, and returns as a new incarnation. Only its row in the store shows the
    /// drain.
    Drain,
    /// The upstream crashes and restarts.
    Crash,
    /// Some answers to calls are malformed or wrong.
    Answers {
        /// The fault of the answers.
        fault: AnswerFault,
        /// The share of malformed or wrong answers.
        share: f64,
    },
    /// Some answers to health checks are malformed or wrong.
    Checks {
        /// The fault of the answers.
        fault: AnswerFault,
        /// The share of malformed or wrong answers.
        share: f64,
    },
    /// Calls take longer to run.
    Slow {
        /// The service time in milliseconds.
        ms: f64,
    },
    /// Requests are accepted but not answered.
    Freeze,
    /// Calls are answered with 500 at once.
    FailFast,
}

/// A fault or a signal that affects a gateway process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessFault {
    /// The process gets SIGTERM, and a new one is started after it has exited.
    Stop,
    /// The process is killed, and a new one is started.
    Kill,
    /// The process is suspended with SIGSTOP and later continued.
    Pause,
    /// The process gets SIGHUP and reads changed settings.
    Hangup,
}

/// A write to the configuration in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigFault {
    /// A newer version is written.
    Newer,
    /// An older version overwrites the newest one, as when an operator writes without seeing a
    /// newer version.
    Older,
}

/// A fault with its start time and duration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledFault {
    /// The start of the fault, counted from the time at which injection starts.
    pub at: ClockSpan,
    /// The duration. For a process that exits, the time until the next one is started.
    pub duration: ClockSpan,
    /// The fault.
    pub fault: SoakFault,
}

impl ScheduledFault {
    /// Returns the end of the fault, counted from the same time as `at`.
    pub fn end(&self) -> ClockSpan {
        self.at + self.duration
    }
}
