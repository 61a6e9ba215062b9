//! Claims in the form in which the store's table service stores them.

use base::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use store::row::{RowEntry, RowKey};

use crate::answer::AnswerRow;

/// The table of claims.
pub const CLAIM_TABLE: &str = "claims";

/// The state of a claim. A claim that does not exist has no row.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The holder may have dispatched the work.
    Claimed,
    /// The work ran, and this is the answer.
    Finished(AnswerRow),
    /// The work is proven not to have run, and a new attempt may claim it.
    Released,
    /// The work may have run. It is never run again.
    Unknown,
}

/// One claim.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ClaimRow {
    /// The attempt id of the claim.
    pub attempt: SharedName,
    /// The VM that holds the claim.
    pub vm: SharedName,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// The digest of the request: method, path and body.
    pub body: SharedName,
    /// The time of the claim, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The state.
    pub state: ClaimState,
}

impl ClaimRow {
    /// Returns the row key of the claim with `key`.
    pub fn row_key(key: &SharedName) -> RowKey {
        RowKey { table: SharedName::from(CLAIM_TABLE), key: key.clone() }
    }

    /// Returns the JSON value of the row.
    pub fn to_value(&self) -> Value {
        // Strings and numbers always have a JSON form.
        serde_json::to_value(self).unwrap_or_default()
    }

    /// Returns the claim with another state.
    pub fn with_state(&self, state: ClaimState) -> Self {
        Self { state, ..self.clone() }
    }
}

/// A claim that was read, with the version of its row.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadClaim {
    /// There is no row.
    Absent,
    /// A claim.
    Present(u64, ClaimRow),
    /// A row that is not a claim.
    Malformed,
}

impl ReadClaim {
    /// Decodes the parts of a row.
    pub fn from_parts(version: Option<u64>, value: Option<&Value>) -> Self {
        match (version, value) {
            (Some(version), Some(value)) => ClaimRow::deserialize(value)
                .map_or(Self::Malformed, |row| Self::Present(version, row)),
            (None, _) => Self::Absent,
            (Some(_), None) => Self::Malformed,
        }
    }

    /// Decodes a row that was read.
    pub fn from_entry(entry: Option<&RowEntry>) -> Self {
        Self::from_parts(entry.map(|entry| entry.version), entry.map(|entry| &entry.value))
    }
}
