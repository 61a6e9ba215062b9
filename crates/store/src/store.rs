//! The interface to the platform, and the errors and outcomes of its calls.

use std::future::Future;

use base::prelude::*;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::row::{RowConflict, RowEntry, RowKey, RowWrite, ScanRow};

/// Why a call got no usable answer from the platform.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// The platform cannot be reached, or did not answer in time.
    #[snafu(display("platform is unavailable ({reason}); retry when it answers again"))]
    Unavailable {
        /// The failure: an error of the connection, a timeout or a status.
        reason: String,
    },
    /// This VM has used its share of the platform's capacity, or the platform sheds load.
    #[snafu(display("platform capacity is used up; retry in {wait}"))]
    Throttled {
        /// The time until capacity is expected.
        wait: ClockSpan,
    },
    /// The platform rejected the request as invalid. Repeating it does not help.
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
    /// The answer does not follow the protocol.
    #[snafu(display(
        "platform answer is malformed ({detail}); check what answers at the platform's address"
    ))]
    Malformed {
        /// What is wrong with it.
        detail: String,
    },
}

/// The outcome of a transaction, as far as it is known.
#[derive(Clone, Debug, PartialEq)]
pub enum TransactOutcome {
    /// All writes were applied.
    Done {
        /// The new version of each write in order, 0 for a deletion.
        versions: Vec<u64>,
    },
    /// Nothing was applied, because rows did not meet their conditions.
    Conflict {
        /// The present state of these rows.
        conflicts: Vec<RowConflict>,
    },
    /// Nothing was applied, and the transaction cannot be applied later.
    NotDone {
        /// Why nothing was applied.
        error: StoreError,
    },
    /// The writes may have been applied, or may be applied later.
    Unknown {
        /// Why the outcome is unknown.
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
    /// The address at which peers reach it.
    pub peer_address: SharedName,
    /// Whether it has announced that it is shutting down.
    pub leaving: bool,
}

/// The membership list, with its age.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MemberList {
    /// The VMs.
    pub members: Vec<MemberEntry>,
    /// The age of the list as reported by the platform.
    pub age: ClockSpan,
}

/// The platform's table service, object store and membership list. Each method that returns a
/// [`StoreError`] fails if the platform does not answer, rejects the call or sends an answer that
/// does not follow the protocol.
pub trait PlatformStore: Clone + Send + Sync + 'static {
    /// Applies all `writes` or none. `attempt` is the id of the transaction: if a transaction with
    /// this id has committed, it is not applied again, and its first answer is returned.
    fn transact(
        &self,
        attempt: &SharedName,
        writes: Vec<RowWrite>,
    ) -> impl Future<Output = TransactOutcome> + Send;

    /// Reads rows. The result has the order of `rows`, with `None` for rows that do not exist.
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

    /// Returns the bytes stored under `digest`, which match it, or `None` if there are none.
    fn load_object(
        &self,
        digest: &SharedName,
    ) -> impl Future<Output = Result<Option<Bytes>, StoreError>> + Send;

    /// Returns the membership list.
    fn members(&self) -> impl Future<Output = Result<MemberList, StoreError>> + Send;
}
