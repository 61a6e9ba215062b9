//! The JSON messages of the platform protocol, as the platform stand-in reads and writes them.

use base::prelude::*;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;

/// The condition of a write on its row.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RowExpectation {
    /// The row may have any version or not exist.
    #[default]
    Any,
    /// The row must not exist.
    Absent,
    /// The row must have this version.
    Version(u64),
}

impl<'de> Deserialize<'de> for RowExpectation {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // `serde(default)` handles an absent field, which means `Any`.
        let version = Option::<u64>::deserialize(deserializer)?;
        Ok(version.map_or(Self::Absent, Self::Version))
    }
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct RowWrite {
    /// The name of the table.
    pub table: SharedName,
    /// The key of the row.
    pub key: SharedName,
    /// The condition on the row, without which the transaction is rejected.
    #[serde(default)]
    pub expect: RowExpectation,
    /// The new value, or `None` to delete the row.
    pub value: Option<Value>,
}

/// The body of `POST /v1/transact`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct TransactCall {
    /// The id that the caller gives to this attempt. A transaction with an id that has committed is
    /// not executed again.
    pub attempt: SharedName,
    /// The writes, which are made atomically.
    pub writes: Vec<RowWrite>,
}

/// A write whose expectation was not met.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RowConflict {
    /// The zero-based position of the write in the transaction.
    pub index: usize,
    /// The current version of the row, or `None` if it does not exist.
    pub version: Option<u64>,
    /// The current value of the row, or `None` if it does not exist.
    pub value: Option<Value>,
}

/// The body of an answer to `POST /v1/transact`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
#[serde(untagged)]
pub enum TransactAnswer {
    /// All writes were made.
    Committed {
        /// Always `true`.
        committed: bool,
        /// The new version of each row in the order of the writes, 0 for a deletion.
        versions: Vec<u64>,
    },
    /// No write was made.
    Rejected {
        /// Always `false`.
        committed: bool,
        /// The writes whose expectations were not met.
        conflicts: Vec<RowConflict>,
    },
}

/// The table and key of a row, which identify it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
pub struct RowName {
    /// The name of the table.
    pub table: SharedName,
    /// The key of the row.
    pub key: SharedName,
}

/// The body of `POST /v1/read`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
pub struct ReadCall {
    /// The rows to read.
    pub rows: Vec<RowName>,
}

/// A row as it is stored.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StoredRow {
    /// The version of the write that stored the row. Each write of any row gets a higher one.
    pub version: u64,
    /// The value that was stored.
    pub value: Value,
}

/// The body of an answer to `POST /v1/read`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct ReadAnswer {
    /// The rows in the order of the call, with `None` for those that do not exist.
    pub rows: Vec<Option<StoredRow>>,
}

/// A row in the answer to a scan.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct ScannedRow {
    /// The key of the row.
    pub key: SharedName,
    /// The version and value of the row.
    #[serde(flatten)]
    pub row: StoredRow,
}

/// The body of an answer to `GET /v1/scan/{table}`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct ScanAnswer {
    /// The rows, ordered by key.
    pub rows: Vec<ScannedRow>,
}

/// A VM in the membership list.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PlatformMember {
    /// The name of the VM.
    pub name: SharedName,
    /// The incarnation of its gateway process.
    pub incarnation: u64,
    /// The name of its data centre.
    pub centre: SharedName,
    /// The address of its control listener, which accepts connections of peers.
    pub peer_address: SharedName,
    /// Whether it is shutting down.
    #[serde(default)]
    pub leaving: bool,
}

/// The body of an answer to `GET /v1/members`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct MembersAnswer {
    /// The VMs in the list.
    pub members: Vec<PlatformMember>,
    /// The age of the list in milliseconds.
    pub age_ms: u64,
}
