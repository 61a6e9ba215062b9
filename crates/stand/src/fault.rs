//! Answers that a correct upstream would not send.

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// Which answers go wrong, and how.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultRule {
    /// What goes wrong.
    pub fault: AnswerFault,
    /// The requests to which the rule applies.
    pub on: FaultTarget,
    /// The start of their paths; empty means all.
    pub path: SharedName,
    /// How many of the next answers go wrong; `null` means all.
    pub next: Option<u64>,
    /// The share of answers that goes wrong, `0.0..1.0`.
    pub share: f64,
}

impl Default for FaultRule {
    fn default() -> Self {
        Self {
            fault: AnswerFault::Silent,
            on: FaultTarget::Work,
            path: SharedName::from(""),
            next: None,
            share: 1.0,
        }
    }
}

impl FaultRule {
    /// Returns a rule for the next requests to run.
    pub fn next(fault: AnswerFault, next: u64) -> Self {
        Self { fault, next: Some(next), ..Self::default() }
    }

    pub(crate) fn applies(&self, path: &str, target: FaultTarget) -> bool {
        self.on == target && self.next != Some(0) && path.starts_with(self.path.as_str())
    }
}

/// Requests whose answers go wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultTarget {
    /// Requests to run.
    Work,
    /// Health checks.
    Checks,
}

/// What goes wrong with an answer. Unless it says otherwise, the request was run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum AnswerFault {
    /// Bytes follow the answer at once.
    Extra {
        /// Their number.
        bytes: usize,
    },
    /// The answer is sent again in place of the answer to the next request of the connection.
    Second,
    /// The answer has the id of another request.
    Foreign,
    /// The connection is closed before the body is complete. The announced length is the full one.
    Truncated {
        /// Bytes of the body that are sent.
        bytes: usize,
    },
    /// The answer has no length and ends when the connection is closed.
    Unframed,
    /// The answer has no length, and the connection is reset.
    UnframedReset {
        /// Bytes of the body that are sent.
        bytes: usize,
    },
    /// The answer comes before the body of the request was read. A success counts as run, any other
    /// status as proven not run.
    Early {
        /// The status.
        status: u16,
    },
    /// There is no answer.
    Silent,
    /// The connection is reset.
    Reset,
    /// The answer lacks the proof that the upstream ran the request.
    Unsigned,
    /// The answer has a status and proves nothing.
    Status {
        /// The status.
        status: u16,
    },
    /// The connection is closed after the answer, which says so.
    Close,
}
