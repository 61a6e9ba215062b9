//! The calls and answers of a row store stand-in, and the trait that encodes them for a protocol.

use std::fmt;

use base::prelude::*;
use http::Response;
use http::request::Parts;

use crate::body::StandBody;
use crate::row_plan::RowCallKind;
use crate::rows::{RangePage, RowChange, RowRange, RowTransaction};

/// A call for the changes of a table after a version. Its answer may wait until there is a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FeedCall {
    /// The name of the table.
    pub table: SharedName,
    /// The version of the store after which changes are returned.
    pub after: u64,
    /// The longest time for which the answer waits for a change.
    pub long_poll: ClockSpan,
}

/// A decoded call to a row store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RowCall {
    /// Reads a range of rows.
    Read(RowRange),
    /// Reads the changes of a table.
    Feed(FeedCall),
    /// Executes a transaction.
    Transact(RowTransaction),
}

impl RowCall {
    /// Returns the kind of the call, by which faults and limits are selected.
    pub fn kind(&self) -> RowCallKind {
        match self {
            Self::Read(_) => RowCallKind::Read,
            Self::Feed(_) => RowCallKind::Feed,
            Self::Transact(_) => RowCallKind::Transact,
        }
    }
}

/// The answer to a call, before it is encoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RowAnswer {
    /// The rows of a range.
    Range(RangePage),
    /// The changes of a table; empty if the wait ended without a change.
    Changes {
        /// The changes, oldest first.
        changes: Vec<RowChange>,
        /// The current version of the store.
        version: u64,
    },
    /// The history no longer contains all changes after the version of the call.
    HistoryLost,
    /// The transaction was committed.
    Committed {
        /// The version of the store after the transaction.
        version: u64,
    },
    /// A condition was not met; the transaction had no effect.
    Conflict,
    /// The store is down; the call had no effect.
    Refused {
        /// The HTTP status of the answer.
        status: u16,
    },
    /// The call is over the limit and had no effect.
    Throttled,
    /// The call could not be decoded, or a key or value is too long.
    Malformed,
}

/// The encoding of calls and answers in the protocol of a row store.
pub trait RowDialect: Copy + fmt::Debug + Send + Sync + 'static {
    /// Decodes a call, or returns `None` if the request is not a valid call.
    fn decode(head: &Parts, body: &[u8]) -> Option<RowCall>;

    /// Encodes an answer as an HTTP response.
    fn encode(answer: &RowAnswer) -> Response<StandBody>;
}
