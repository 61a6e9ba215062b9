//! The interface to the platform.

use std::future::Future;

use base::prelude::*;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::row::{RowConflict, RowEntry, RowKey, RowWrite, ScanRow};

/// Why the platform gave no usable answer.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// The platform cannot be reached, or did not answer in time.
    #[snafu(display("platform is unavailable ({reason}); retry when it answers again"))]
    Unavailable {
        /// What was seen.
        reason: String,
    },
    /// This VM has used its share of the platform's capacity, or the platform sheds load.
    #[snafu(display("platform capacity is used up; retry in {wait}"))]
    Throttled {
        /// When capacity is expected.
        wait: ClockSpan,
    },
    /// The platform refused the request itself. Repeating it does not help.
    #[snafu(display(
        "platform refused the request with status {status}: {message}; check that both sides use the same protocol version"
    ))]
    Rejected {
        /// The HTTP status.
        status: u16,
        /// The start of the answer's body.
        message: String,
    },
    /// The changes since the given position are no longer available.
    #[snafu(display("the platform has dropped these changes; read the whole table"))]
    HistoryLost,
    /// The answer is not what the protocol describes.
    #[snafu(display(
        "platform answer is malformed ({detail}); check what answers at the platform's address"
    ))]
    Malformed {
        /// What is wrong.
        detail: String,
    },
}

/// What is known of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum TransactOutcome {
    /// All writes were applied.
    Done {
        /// The new version of each write in order, 0 for a deletion.
        versions: Vec<u64>,
    },
    /// Nothing was applied, because rows did not meet their conditions.
    Conflict {
        /// The rows as they are.
        conflicts: Vec<RowConflict>,
    },
    /// Nothing was applied and nothing will be.
    NotDone {
        /// Why.
        error: StoreError,
    },
    /// The writes may have been applied, or may still be.
    Unknown {
        /// Why.
        error: StoreError,
    },
}

/// One VM on the platform's membership list.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct MemberEntry {
    /// The name of the VM.
    pub name: SharedName,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// The data centre that it runs in.
    pub centre: SharedName,
    /// Where peers reach it.
    pub peer_address: SharedName,
    /// Whether it has announced that it leaves.
    pub leaving: bool,
}

/// The membership list as it was at some time.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MemberList {
    /// The VMs.
    pub members: Vec<MemberEntry>,
    /// The age that the platform states for the list.
    pub age: ClockSpan,
}

/// The platform's table service, object store and membership list.
pub trait PlatformStore: Clone + Send + Sync + 'static {
    /// Applies all `writes` or none. `attempt` is unique to the transaction: one that has
    /// committed is not applied again, and its first answer is repeated.
    fn transact(
        &self,
        attempt: &SharedName,
        writes: Vec<RowWrite>,
    ) -> impl Future<Output = TransactOutcome> + Send;

    /// Reads rows, in the order of `rows`.
    fn read(
        &self,
        rows: Vec<RowKey>,
    ) -> impl Future<Output = Result<Vec<Option<RowEntry>>, StoreError>> + Send;

    /// Reads up to `limit` rows of `table` with keys after `after`, in the order of keys.
    fn scan(
        &self,
        table: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<ScanRow>, StoreError>> + Send;

    /// Stores `bytes` under their digest. Storing them again changes nothing.
    fn put_object(
        &self,
        digest: &SharedName,
        bytes: Bytes,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Returns the bytes stored under `digest`, which have been checked against it.
    fn load_object(
        &self,
        digest: &SharedName,
    ) -> impl Future<Output = Result<Option<Bytes>, StoreError>> + Send;

    /// Returns the membership list.
    fn members(&self) -> impl Future<Output = Result<MemberList, StoreError>> + Send;
}
