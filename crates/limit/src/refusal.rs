//! Reasons for which a call is refused before it is sent.

use std::fmt;

use base::prelude::*;

/// Why a call was refused. No refused call has been run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RefusalKind {
    /// No contract names the service.
    UnknownService,
    /// The queue is full and holds no less urgent call that may be displaced.
    QueueFull,
    /// The deadline would pass before the call could finish.
    DeadlineTooShort,
    /// The service is overloaded and the wait exceeds the limit of the class.
    Overloaded,
    /// A more urgent call displaced this one from a full queue.
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

/// Why a call was refused, and when its caller may retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RefusalReason {
    /// Why it was refused.
    pub kind: RefusalKind,
    /// Time to wait before a retry, with jitter so that callers do not retry at the same time.
    pub retry_after: ClockSpan,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}; repeat after {}", self.kind.as_str(), self.retry_after)
    }
}

impl std::error::Error for RefusalReason {}
