//! Messages of the platform protocol.

use base::prelude::*;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;

/// What a write expects of its row.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RowExpectation {
    /// Nothing.
    #[default]
    Any,
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(u64),
}

impl<'de> Deserialize<'de> for RowExpectation {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // An absent field is handled by `serde(default)` and means `Any`.
        let version = Option::<u64>::deserialize(deserializer)?;
        Ok(version.map_or(Self::Absent, Self::Version))
    }
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct RowWrite {
    /// The table.
    pub table: SharedName,
    /// The key of the row.
    pub key: SharedName,
    /// The condition.
    #[serde(default)]
    pub expect: RowExpectation,
    /// The new value, or `None` to delete the row.
    pub value: Option<Value>,
}

/// The body of `POST /v1/transact`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct TransactCall {
    /// The caller's id of this attempt. An id that has committed is not applied again.
    pub attempt: SharedName,
    /// The writes, all of which happen or none.
    pub writes: Vec<RowWrite>,
}

/// A write whose expectation was not met.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RowConflict {
    /// The position of the write in the transaction.
    pub index: usize,
    /// The version of the row, or `None` if it does not exist.
    pub version: Option<u64>,
    /// The value of the row.
    pub value: Option<Value>,
}

/// The body of an answer to `POST /v1/transact`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
#[serde(untagged)]
pub enum TransactAnswer {
    /// All writes happened.
    Committed {
        /// Always true.
        committed: bool,
        /// The new version of each row, 0 for a deletion.
        versions: Vec<u64>,
    },
    /// No write happened.
    Rejected {
        /// Always false.
        committed: bool,
        /// The writes whose expectation was not met.
        conflicts: Vec<RowConflict>,
    },
}

/// The name of a row.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
pub struct RowName {
    /// The table.
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
    /// Grows with each write, over all rows.
    pub version: u64,
    /// The value.
    pub value: Value,
}

/// The body of an answer to `POST /v1/read`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct ReadAnswer {
    /// The rows in the order of the call, `None` for those that do not exist.
    pub rows: Vec<Option<StoredRow>>,
}

/// A row of a scan.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct ScannedRow {
    /// The key of the row.
    pub key: SharedName,
    /// Version and value.
    #[serde(flatten)]
    pub row: StoredRow,
}

/// The body of an answer to `GET /v1/scan/{table}`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct ScanAnswer {
    /// The rows in the order of their keys.
    pub rows: Vec<ScannedRow>,
}

/// A VM in the membership list.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PlatformMember {
    /// The name of the VM.
    pub name: SharedName,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// Its data centre.
    pub centre: SharedName,
    /// Where its control listener accepts peers.
    pub peer_address: SharedName,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// The body of an answer to `GET /v1/members`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct MembersAnswer {
    /// The list.
    pub members: Vec<PlatformMember>,
    /// How old the list is.
    pub age_ms: u64,
}
