//! Rules for faulty answers, which a correct upstream would not send.

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// Which answers are faulty, and with which fault.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultRule {
    /// The fault.
    pub fault: AnswerFault,
    /// The requests to which the rule applies.
    pub on: FaultTarget,
    /// The prefix of the paths of these requests; empty means all paths.
    pub path: SharedName,
    /// The number of answers that are still to be faulty; `null` means all.
    pub next: Option<u64>,
    /// The share of answers that are faulty, `0.0..1.0`, or `1.0` for all.
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
    /// Returns a rule for the answers to the next `next` requests to run.
    pub fn next(fault: AnswerFault, next: u64) -> Self {
        Self { fault, next: Some(next), ..Self::default() }
    }

    /// Returns whether the rule covers a request. Does not consider `share`.
    pub(crate) fn applies(&self, path: &str, target: FaultTarget) -> bool {
        self.on == target && self.next != Some(0) && path.starts_with(self.path.as_str())
    }
}

/// Requests to which a fault rule applies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultTarget {
    /// Requests to run.
    Work,
    /// Health checks.
    Checks,
}

/// A fault of an answer. Unless its description says otherwise, the request was run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum AnswerFault {
    /// Further bytes follow the answer at once.
    Extra {
        /// The number of further bytes.
        bytes: usize,
    },
    /// The answer is sent again in place of the answer to the next request of the connection.
    Second,
    /// The request is refused and not run, and the refusal is sent again before the answer to the
    /// next request of the connection, which is run.
    RefusedTwice,
    /// Before the answer to the next request of the connection, an answer with this status comes that
    /// names no request.
    StrayNext {
        /// The HTTP status.
        status: u16,
    },
    /// The answer has the id of another request.
    Foreign,
    /// The connection is closed before the body is complete. `content-length` is that of the whole
    /// body.
    Truncated {
        /// The bytes of the body that are sent.
        bytes: usize,
    },
    /// The answer has no length and ends when the connection is closed.
    Unframed,
    /// The answer has no length, and the connection is reset.
    UnframedReset {
        /// The bytes of the body that are sent.
        bytes: usize,
    },
    /// The answer is sent before the body of the request is read. A success counts as run; with any
    /// other status the answer proves that the request was not run.
    Early {
        /// The HTTP status.
        status: u16,
    },
    /// No answer is sent, and the connection stays open.
    Silent,
    /// The connection is reset.
    Reset,
    /// The answer lacks the headers that prove that the upstream ran the request.
    Unsigned,
    /// The answer has this status and does not show whether the request was run.
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// The answer has this number in place of its status, which need not be valid, and is otherwise
    /// that of a run.
    StatusLine {
        /// The number.
        status: u16,
    },
    /// The connection is closed before the end of the head.
    HeadCut {
        /// The bytes of the head that are sent, at most all but the last one.
        bytes: usize,
    },
    /// The answer has `connection: close`, and the connection is closed after it.
    Close,
    /// Bytes follow without end until the other side closes the connection.
    Endless {
        /// The part of the answer that does not end.
        part: EndlessPart,
    },
}

/// The part of an answer that does not end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndlessPart {
    /// The value of a header.
    Head,
    /// Interim answers before the final one.
    Interim,
    /// The line with the length of a chunk.
    ChunkLine,
    /// The value of a trailer field after the last chunk.
    Trailer,
    /// Bytes after a complete body.
    Excess,
    /// A body without a length.
    Body,
}
