//! Request and response bodies of the platform protocol.

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::row::{RowConflict, RowEntry, RowKey, RowWrite, ScanRow};
use crate::store::MemberEntry;

/// The body of `POST /v1/transact`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TransactRequest {
    /// The id of the transaction. A transaction whose id has committed is not applied again.
    pub attempt: SharedName,
    /// The writes, all of which are applied or none.
    pub writes: Vec<RowWrite>,
}

/// The answer to `POST /v1/transact`, with status 200 if committed and 409 if not.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TransactResponse {
    /// Whether the writes were applied.
    pub committed: bool,
    /// The new version of each write in order, 0 for a deletion.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub versions: Vec<u64>,
    /// The rows that did not meet their condition.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub conflicts: Vec<RowConflict>,
}

/// The body of `POST /v1/read`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ReadRequest {
    /// The rows to read.
    pub rows: Vec<RowKey>,
}

/// The answer to `POST /v1/read`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ReadResponse {
    /// The rows in the order of the request, null for a row that does not exist.
    pub rows: Vec<Option<RowEntry>>,
}

/// The answer to `GET /v1/scan/{table}`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ScanResponse {
    /// Rows in the order of their keys.
    pub rows: Vec<ScanRow>,
}

/// The answer to `GET /v1/members`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct MembersResponse {
    /// The VMs that the platform lists.
    pub members: Vec<MemberEntry>,
    /// The age of the list in milliseconds.
    pub age_ms: u64,
}
