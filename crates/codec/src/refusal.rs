//! Error answers that the gateway itself makes.

use std::fmt;

use base::prelude::*;
use http::StatusCode;
use trace::prelude::CallCause;

/// Whether a call that the gateway could not complete may have been run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallFate {
    /// No upstream ran the call.
    NotRun,
    /// An upstream may have run the call.
    Unknown,
}

impl CallFate {
    /// Returns the name that is used in answers and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// An error answer that the gateway itself makes.
#[derive(Clone, Debug)]
pub struct CallRefusal {
    /// The HTTP status.
    pub status: StatusCode,
    /// Whether the call may have been run.
    pub fate: CallFate,
    /// Why the call was not completed, for the log and the metrics.
    pub cause: CallCause,
    /// What went wrong and what the caller can do.
    pub message: String,
    /// The time after which the caller may retry, if it is known.
    pub retry_after: Option<ClockSpan>,
    /// Whether the caller's connection is closed after the answer.
    pub close: bool,
}

impl CallRefusal {
    /// Returns a refusal of a call that no upstream ran. The cause is [`CallCause::Internal`].
    pub fn not_run(status: StatusCode, message: impl fmt::Display) -> Self {
        let (fate, cause) = (CallFate::NotRun, CallCause::Internal);
        Self { status, fate, cause, message: message.to_string(), retry_after: None, close: false }
    }

    /// Returns a refusal of a call that may have been run. The cause is [`CallCause::Internal`].
    pub fn unknown(status: StatusCode, message: impl fmt::Display) -> Self {
        Self { fate: CallFate::Unknown, ..Self::not_run(status, message) }
    }

    /// Sets why the call was not completed.
    pub fn with_cause(self, cause: CallCause) -> Self {
        Self { cause, ..self }
    }

    /// Sets the time after which the caller may retry.
    pub fn retry_after(self, span: ClockSpan) -> Self {
        Self { retry_after: Some(span), ..self }
    }

    /// Makes the gateway close the caller's connection after the answer.
    pub fn closing(self) -> Self {
        Self { close: true, ..self }
    }
}
