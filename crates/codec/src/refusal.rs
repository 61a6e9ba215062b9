//! Error answers of the gateway's own.

use std::fmt;

use base::prelude::*;
use http::StatusCode;
use trace::prelude::CallCause;

/// What the gateway knows of a call that it could not complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallFate {
    /// No upstream ran the call.
    NotRun,
    /// An upstream may have run the call.
    Unknown,
}

impl CallFate {
    /// Returns the name used in answers and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// An error answer of the gateway's own.
#[derive(Clone, Debug)]
pub struct CallRefusal {
    /// The HTTP status.
    pub status: StatusCode,
    /// Whether the call was run.
    pub fate: CallFate,
    /// Why there is no answer, for the log and the metrics.
    pub cause: CallCause,
    /// What went wrong and what to do.
    pub message: String,
    /// When to try again.
    pub retry_after: Option<ClockSpan>,
    /// Whether the caller's connection must be closed.
    pub close: bool,
}

impl CallRefusal {
    /// Returns a refusal of a call that was not run.
    pub fn not_run(status: StatusCode, message: impl fmt::Display) -> Self {
        let (fate, cause) = (CallFate::NotRun, CallCause::Internal);
        Self { status, fate, cause, message: message.to_string(), retry_after: None, close: false }
    }

    /// Returns an error for a call that may have been run.
    pub fn unknown(status: StatusCode, message: impl fmt::Display) -> Self {
        Self { fate: CallFate::Unknown, ..Self::not_run(status, message) }
    }

    /// Adds why there is no answer. Without it, the cause is internal to the gateway.
    pub fn because(self, cause: CallCause) -> Self {
        Self { cause, ..self }
    }

    /// Adds when to try again.
    pub fn retry_after(self, span: ClockSpan) -> Self {
        Self { retry_after: Some(span), ..self }
    }

    /// Closes the caller's connection after the answer.
    pub fn closing(self) -> Self {
        Self { close: true, ..self }
    }
}
