//! Trace of one call, recorded while it runs.

use base::prelude::*;
use smallvec::SmallVec;

use crate::cause::CallCause;

/// The most steps that a trace records, all held inline: choice and end of four attempts, one more
/// than the retry budget allows.
pub const STEP_LIMIT: usize = 8;

/// Attributes of a call after its classification.
#[derive(Clone, Debug)]
pub struct CallFacts {
    /// The service.
    pub service: SharedName,
    /// The name of the class.
    pub class: &'static str,
    /// Whether the call may run twice.
    pub idempotent: bool,
    /// Version of the configuration that classified the call.
    pub version: u64,
    /// Time allowed for the call.
    pub time_limit: ClockSpan,
    /// Latency objective: the latency that counts as good.
    pub objective: ClockSpan,
    /// The fingerprint of the request.
    pub fingerprint: u64,
}

/// What this VM knew about an upstream when it was chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ChoiceFacts {
    /// Expected cost in milliseconds, or `None` if the policy computes none.
    pub cost_ms: Option<f64>,
    /// Age of the newest report of its load or pace, or `None` if there was none.
    pub age: Option<ClockSpan>,
    /// Pace of its machine: service time relative to the usual one. 1.0 is usual, higher is slower.
    pub pace: f64,
    /// Other calls of this VM in flight on it.
    pub own: u32,
    /// Calls of other VMs in flight on it at the last report.
    pub others: f64,
    /// Number of upstreams to choose from.
    pub candidates: u32,
    /// Why the call may leave the data centre: a name of the decision in crate `route`.
    pub remote: &'static str,
}

/// The choice of an upstream for an attempt.
#[derive(Clone, Debug)]
pub struct ChosenStep {
    /// The number of the attempt, from 1.
    pub attempt: u32,
    /// The upstream.
    pub upstream: SharedName,
    /// What this VM knew about it.
    pub facts: ChoiceFacts,
    /// Whether it answered a health check immediately before.
    pub checked: bool,
    /// Time that the call waited for its slot.
    pub waited: ClockSpan,
}

/// What followed a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextAction {
    /// An attempt at another upstream.
    Retry,
    /// Another attempt at the same upstream, on a new connection.
    Resend,
    /// No further attempt.
    End(Option<StopReason>),
}

impl NextAction {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Retry => "retry",
            Self::Resend => "repeat",
            Self::End(_) => "end",
        }
    }
}

/// Why no attempt followed a failed one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopReason {
    /// The call may have run and must not run twice.
    NotIdempotent,
    /// The retry budget is used up.
    Budget,
    /// Too little time is left.
    Deadline,
    /// The call has used all its attempts.
    Attempts,
    /// The request is suspected of crashing upstreams.
    Suspect,
    /// The request body was not buffered and cannot be sent again.
    Body,
    /// The gateway shuts down before the deadline of the call.
    Shutdown,
}

impl StopReason {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotIdempotent => "not idempotent",
            Self::Budget => "budget",
            Self::Deadline => "deadline",
            Self::Attempts => "attempts",
            Self::Suspect => "suspect",
            Self::Body => "body",
            Self::Shutdown => "shutdown",
        }
    }
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct EndedStep {
    /// The number of the attempt, from 1.
    pub attempt: u32,
    /// The upstream, or `None` if there was none for the attempt.
    pub upstream: Option<SharedName>,
    /// How the attempt ended.
    pub result: CallCause,
    /// Time since the start of the call.
    pub after: ClockSpan,
    /// Fate of the call: whether the upstream may have run it. `None` after an answer.
    pub fate: Option<&'static str>,
    /// What followed.
    pub next: NextAction,
}

/// One step of a call.
#[derive(Clone, Debug)]
pub enum TraceStep {
    /// An upstream was chosen.
    Chosen(ChosenStep),
    /// An attempt ended.
    Ended(EndedStep),
}

/// The trace of one call.
#[derive(Clone, Debug, Default)]
pub struct CallTrace {
    /// Attributes of the call, or `None` if it was refused before its classification.
    pub facts: Option<CallFacts>,
    steps: SmallVec<[TraceStep; STEP_LIMIT]>,
    attempts: u32,
    waited: ClockSpan,
}

impl CallTrace {
    /// Records that an upstream was chosen.
    pub fn record_choice(&mut self, step: ChosenStep) {
        self.attempts += 1;
        self.waited = self.waited.max(step.waited);
        self.add(TraceStep::Chosen(step));
    }

    /// Records the end of an attempt.
    pub fn record_end(&mut self, step: EndedStep) {
        self.add(TraceStep::Ended(step));
    }

    /// Adds a step. A full trace keeps its first steps, so that recording never allocates.
    fn add(&mut self, step: TraceStep) {
        if self.steps.len() < STEP_LIMIT {
            self.steps.push(step);
        }
    }

    /// Returns the recorded steps.
    pub fn steps(&self) -> &[TraceStep] {
        &self.steps
    }

    /// Returns the number of attempts for which an upstream was chosen.
    pub const fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns the longest wait for a slot.
    pub const fn waited(&self) -> ClockSpan {
        self.waited
    }
}
