//! Events that the claim machine handles and actions that it requests.

use base::prelude::*;
use bytes::Bytes;
use snafu::Snafu;
use store::row::{RowConflict, RowEntry, RowKey, RowWrite};

use crate::answer::{ReplayAnswer, StoredAnswer};
use crate::members::VmIncarnation;

/// Identifies a request that waits for a decision.
pub type PendingId = u64;
/// Identifies a transaction with a group of writes.
pub type GroupId = u64;

/// A request for at-most-once work.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimRequest {
    /// The service and the caller's idempotency key, from [`claim_key`](crate::runner::claim_key).
    pub key: SharedName,
    /// The digest of everything that must be equal in a repeat: method, path and body.
    pub body: SharedName,
    /// When the caller stops waiting.
    pub deadline: ClockTime,
}

/// Why a request was refused. This request was not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum ClaimRefusal {
    /// The store is down.
    #[snafu(display("claims cannot be stored now; repeat the request with the same key later"))]
    StoreDown,
    /// The claim was not stored in time.
    #[snafu(display("the claim was not stored in time; repeat the request with the same key"))]
    StoreSlow,
    /// The key was used for a request with another method, path or body.
    #[snafu(display("the key was used for another request; use a new key"))]
    OtherBody,
    /// This VM has too many claims in memory or in its queue.
    #[snafu(display("too many claims are in progress; repeat the request later"))]
    Full,
    /// This VM is stopping.
    #[snafu(display("this VM is stopping; repeat the request"))]
    Stopping,
    /// The stored row is not a claim.
    #[snafu(display("the stored claim is unreadable; report the key to the operators"))]
    Unreadable,
}

/// Why dispatched work is known not to have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRunProof {
    /// Nothing was sent.
    NeverSent,
    /// The connection was refused.
    ConnectFailed,
    /// The upstream shed the request.
    Shed,
    /// The upstream confirmed the cancellation.
    CancelConfirmed,
}

/// How dispatched work ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkOutcome {
    /// It ran to its end.
    Finished(StoredAnswer),
    /// It did not run.
    Released(NotRunProof),
    /// It may have run.
    Unknown,
}

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFailure {
    /// The store is down.
    Down,
    /// The store is overloaded, or this VM has used up its share of it.
    Busy,
    /// The store works but refuses this request, for example because a row is too large.
    Rejected,
}

/// An event that the machine handles.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimEvent {
    /// A request arrived.
    Arrived {
        /// Identifies the request in later events.
        pending: PendingId,
        /// The request.
        request: ClaimRequest,
    },
    /// The caller of a request disconnected before a decision reached it.
    CallerLeft {
        /// The request.
        pending: PendingId,
    },
    /// A transaction committed.
    Committed {
        /// The transaction.
        group: GroupId,
        /// The versions of its rows.
        versions: Vec<u64>,
    },
    /// A transaction was refused because rows did not meet its conditions.
    Conflicted {
        /// The transaction.
        group: GroupId,
        /// The rows that did not meet them.
        conflicts: Vec<RowConflict>,
    },
    /// A transaction was not applied and never will be.
    NotDone {
        /// The transaction.
        group: GroupId,
        /// Why it failed.
        failure: StoreFailure,
    },
    /// A transaction's outcome is unknown.
    OutcomeUnknown {
        /// The transaction.
        group: GroupId,
    },
    /// Rows were read.
    RowsRead {
        /// Their keys.
        row_keys: Vec<RowKey>,
        /// The rows, in the order of the keys.
        entries: Vec<Option<RowEntry>>,
    },
    /// Rows could not be read.
    ReadFailed {
        /// Their keys.
        row_keys: Vec<RowKey>,
        /// Why it failed.
        failure: StoreFailure,
    },
    /// Dispatched work ended.
    WorkEnded {
        /// The key.
        key: SharedName,
        /// The attempt id of the claim that was dispatched.
        attempt: SharedName,
        /// How it ended.
        outcome: WorkOutcome,
    },
    /// Storing the body of an answer ended.
    BodyStored {
        /// The key.
        key: SharedName,
        /// The attempt id of the claim.
        attempt: SharedName,
        /// Whether it was stored.
        stored: bool,
    },
    /// A membership list arrived.
    Members {
        /// The listed incarnations.
        members: Vec<VmIncarnation>,
        /// The age of the list.
        age: ClockSpan,
    },
    /// The VM is shutting down and accepts no further requests.
    Stopping,
    /// The time of a [`ClaimAction::Wait`] has come.
    Timer,
}

/// An action that the machine requests.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimAction {
    /// Start a transaction.
    Write {
        /// Identifies the transaction in the event that reports its result.
        group: GroupId,
        /// The attempt id of the transaction, which is not that of a claim.
        attempt: SharedName,
        /// The writes.
        writes: Vec<RowWrite>,
    },
    /// Read rows.
    Read {
        /// Their keys.
        row_keys: Vec<RowKey>,
    },
    /// Store the body of an answer.
    StoreBody {
        /// The key.
        key: SharedName,
        /// The attempt id of the claim.
        attempt: SharedName,
        /// The digest of the bytes.
        digest: SharedName,
        /// The bytes.
        bytes: Bytes,
    },
    /// Dispatch the work of a request.
    Dispatch {
        /// The request.
        pending: PendingId,
        /// The key.
        key: SharedName,
        /// The attempt id of the claim.
        attempt: SharedName,
    },
    /// Answer a request with a stored answer.
    Respond {
        /// The request.
        pending: PendingId,
        /// The answer.
        answer: ReplayAnswer,
    },
    /// Refuse a request as not run.
    Refuse {
        /// The request.
        pending: PendingId,
        /// Why it is refused.
        reason: ClaimRefusal,
    },
    /// Answer a request that its work may have run.
    ReportUnknown {
        /// The request.
        pending: PendingId,
    },
    /// Answer a request that an earlier one with its key is still running.
    InProgress {
        /// The request.
        pending: PendingId,
    },
    /// Send a [`ClaimEvent::Timer`] at this time.
    Wait {
        /// The time.
        until: ClockTime,
    },
}
