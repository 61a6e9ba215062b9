//! The border between a row store stand-in and the encoding of its calls.

use std::fmt;

use base::prelude::*;
use http::Response;
use http::request::Parts;

use crate::body::StandBody;
use crate::row_plan::RowCallKind;
use crate::rows::{RangePage, RowChange, RowRange, RowTransaction};

/// A question for the changes of a table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FeedCall {
    /// The table.
    pub table: SharedName,
    /// The version after which changes are wanted.
    pub after: u64,
    /// How long the caller waits for a change.
    pub hold: ClockSpan,
}

/// A call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RowCall {
    /// A read of a range.
    Read(RowRange),
    /// A question for changes.
    Feed(FeedCall),
    /// A transaction.
    Transact(RowTransaction),
}

impl RowCall {
    /// Returns the kind of the call.
    pub fn kind(&self) -> RowCallKind {
        match self {
            Self::Read(_) => RowCallKind::Read,
            Self::Feed(_) => RowCallKind::Feed,
            Self::Transact(_) => RowCallKind::Transact,
        }
    }
}

/// An answer to a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RowAnswer {
    /// Rows of a range.
    Range(RangePage),
    /// Changes of a table, none if the wait has ended without one.
    Changes {
        /// The changes in their order.
        changes: Vec<RowChange>,
        /// The version of the store.
        version: u64,
    },
    /// The changes are no longer available.
    HistoryLost,
    /// The transaction happened.
    Committed {
        /// The version of the store.
        version: u64,
    },
    /// A condition was not met, and nothing was done.
    Conflict,
    /// The store is down, and nothing was done.
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The call is over the limit, and nothing was done.
    Throttled,
    /// The call was not understood or is too large.
    Malformed,
}

/// Decodes the calls of a row store and encodes its answers.
pub trait RowDialect: Copy + fmt::Debug + Send + Sync + 'static {
    /// Reads a call, or returns `None` if it is none.
    fn decode(head: &Parts, body: &[u8]) -> Option<RowCall>;

    /// Returns an answer.
    fn encode(answer: &RowAnswer) -> Response<StandBody>;
}
