//! Why a call was not admitted.

use std::fmt;

use base::prelude::*;

/// The kind of a refusal. In every case the call was not run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RefusalKind {
    /// No contract names the service.
    UnknownService,
    /// The queue is full and holds nothing less urgent.
    QueueFull,
    /// The deadline would pass before the call could finish.
    DeadlineTooShort,
    /// The service is overloaded and the wait exceeded the limit of the class.
    Overloaded,
    /// A more urgent call took the place in a full queue.
    Displaced,
}

impl RefusalKind {
    /// Returns the name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::UnknownService => "unknown_service",
            Self::QueueFull => "queue_full",
            Self::DeadlineTooShort => "deadline_too_short",
            Self::Overloaded => "overloaded",
            Self::Displaced => "displaced",
        }
    }
}

/// A refusal and when the caller may come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RefusalReason {
    /// The kind.
    pub kind: RefusalKind,
    /// The time to wait before a repeat, with jitter so that callers do not return together.
    pub retry_after: ClockSpan,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}; repeat after {}", self.kind.as_str(), self.retry_after)
    }
}

impl std::error::Error for RefusalReason {}
