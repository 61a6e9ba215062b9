//! Rows of the table service.

use base::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The table and the key that identify a row.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct RowKey {
    /// The table.
    pub table: SharedName,
    /// The key within the table.
    pub key: SharedName,
}

impl RowKey {
    /// Returns the identifier of the row `key` in `table`.
    pub fn new(table: &str, key: &str) -> Self {
        Self { table: SharedName::from(table), key: SharedName::from(key) }
    }
}

/// What a write requires of the row that it replaces.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RowExpect {
    /// No condition.
    #[default]
    Any,
    /// The row does not exist.
    Absent,
    /// The row exists with this version.
    Version(u64),
}

impl RowExpect {
    /// Returns whether a row with `version`, or no row, meets the condition.
    pub fn admits(self, version: Option<u64>) -> bool {
        match self {
            Self::Any => true,
            Self::Absent => version.is_none(),
            Self::Version(expected) => version == Some(expected),
        }
    }

    fn is_any(&self) -> bool {
        *self == Self::Any
    }
}

// On the wire the condition is the version as a number, null for a row that must not exist, or no
// field if there is no condition.
impl Serialize for RowExpect {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            Self::Version(version) => serializer.serialize_u64(*version),
            Self::Any | Self::Absent => serializer.serialize_none(),
        }
    }
}

impl<'de> Deserialize<'de> for RowExpect {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Ok(Option::<u64>::deserialize(deserializer)?.map_or(Self::Absent, Self::Version))
    }
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RowWrite {
    /// The table.
    pub table: SharedName,
    /// The key within the table.
    pub key: SharedName,
    /// What the row must be for the transaction to commit.
    #[serde(default, skip_serializing_if = "RowExpect::is_any")]
    pub expect: RowExpect,
    /// The new value, or `None` to delete the row.
    pub value: Option<Value>,
}

impl RowWrite {
    /// Returns a write of `value` to `row_key` on the condition `expect`.
    pub fn put(row_key: &RowKey, expect: RowExpect, value: Value) -> Self {
        let RowKey { table, key } = row_key.clone();
        Self { table, key, expect, value: Some(value) }
    }

    /// Returns a deletion of `row_key` on the condition `expect`.
    pub fn delete(row_key: &RowKey, expect: RowExpect) -> Self {
        let RowKey { table, key } = row_key.clone();
        Self { table, key, expect, value: None }
    }

    /// Returns the identifier of the row that is written.
    pub fn row_key(&self) -> RowKey {
        RowKey { table: self.table.clone(), key: self.key.clone() }
    }
}

/// A row, as returned by a read of its key.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RowEntry {
    /// The version. Every write gives the row a new one, and no version of a key is used twice.
    pub version: u64,
    /// The value.
    pub value: Value,
}

/// A row with its key, as returned by a scan of its table.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ScanRow {
    /// The key within the table.
    pub key: SharedName,
    /// The version.
    pub version: u64,
    /// The value.
    pub value: Value,
}

/// A row that did not meet its condition, so that the transaction did not commit.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RowConflict {
    /// The position of the write in the transaction.
    pub index: usize,
    /// The version found, or `None` if there is no row.
    pub version: Option<u64>,
    /// The value found, or `None` if there is no row.
    pub value: Option<Value>,
}
