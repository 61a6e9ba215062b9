//! Rows of the table service that hold versions, and their keys.

use base::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use store::row::{RowEntry, RowKey};

use crate::error::ConfigError;

/// The table with the version in force of each environment.
pub const ENVIRONMENT_TABLE: &str = "environments";
/// The table with every version of each environment, newest first.
pub const HISTORY_TABLE: &str = "environment-history";
/// The table with one row for each document that an environment has tried.
pub const TRIED_TABLE: &str = "environment-tried";

/// Identifies a version of an environment: its number and the digest of its document.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct VersionId {
    /// The number of the version, which only rises.
    pub version: u64,
    /// The digest of the document.
    pub digest: SharedName,
}

/// How a version came about.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeCause {
    /// A document was put into force in a trial environment.
    Try,
    /// A document that was tried in another environment was put into force.
    Promote,
    /// The document of an earlier version was put into force again.
    Rollback {
        /// The earlier version.
        to: u64,
    },
}

/// One version of one environment.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct VersionRow {
    /// The environment.
    pub environment: SharedName,
    /// The number of the version.
    pub version: u64,
    /// The digest of the document.
    pub digest: SharedName,
    /// Who made the change.
    pub author: SharedName,
    /// When the change was made, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The id of the attempt that made the change.
    pub attempt: SharedName,
    /// How the version came about.
    pub cause: ChangeCause,
}

impl VersionRow {
    /// Returns the key of the row with the version in force.
    pub fn row_key(environment: &str) -> RowKey {
        RowKey::new(ENVIRONMENT_TABLE, environment)
    }

    /// Returns the key of a version in the history. Newer versions have lower keys, so that a scan
    /// returns the newest first.
    pub fn history_row_key(environment: &str, version: u64) -> RowKey {
        RowKey::new(HISTORY_TABLE, &format!("{environment}/{:020}", u64::MAX - version))
    }

    /// Returns the key of the row that exists if an environment has tried a document.
    pub fn tried_row_key(environment: &str, digest: &str) -> RowKey {
        RowKey::new(TRIED_TABLE, &format!("{environment}/{digest}"))
    }

    /// Returns the number of the version and the digest of its document.
    pub fn to_id(&self) -> VersionId {
        VersionId { version: self.version, digest: self.digest.clone() }
    }

    /// Returns the version as the JSON value of a row.
    pub fn to_value(&self) -> Value {
        serde_json::to_value(self).unwrap_or_default()
    }

    /// Decodes a row that was read. Returns the store's version of the row, which a compare-and-set
    /// needs, and the row, or `None` if there is no row.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError::Unreadable`] if the value is not a version.
    pub fn from_entry(
        environment: &SharedName,
        entry: Option<&RowEntry>,
    ) -> Result<Option<(u64, Self)>, ConfigError> {
        let Some(entry) = entry else { return Ok(None) };
        let row = Self::deserialize(&entry.value)
            .map_err(|_| ConfigError::Unreadable { environment: environment.clone() })?;
        Ok(Some((entry.version, row)))
    }
}
