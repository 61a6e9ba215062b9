//! The tables of a row store, with one version counter for all rows and a history of changes. Does
//! no I/O.

use std::collections::{BTreeMap, HashMap, VecDeque};

use base::prelude::*;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The table, part and key of a row, which identify it.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RowPath {
    /// The name of the table.
    pub table: SharedName,
    /// The name of the part of the table, which may be empty.
    pub part: SharedName,
    /// The key of the row within the part.
    pub key: SharedName,
}

impl RowPath {
    /// Returns the path of the row `key` in the part whose name is empty.
    pub fn new(table: &str, key: &str) -> Self {
        Self { table: table.into(), part: "".into(), key: key.into() }
    }
}

/// A row as it was last written, or its removal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowChange {
    /// The path of the row.
    pub path: RowPath,
    /// The version of the store after the change.
    pub version: u64,
    /// The new value, or `None` if the row was removed.
    pub value: Option<Bytes>,
}

/// The rows to read: those of a part, or of all parts, from a key on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowRange {
    /// The name of the table.
    pub table: SharedName,
    /// The name of the part, or `None` for all parts.
    pub part: Option<SharedName>,
    /// The smallest key that is read.
    pub from: SharedName,
    /// The largest number of rows that is returned.
    pub limit: usize,
}

/// The result of reading a range.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RangePage {
    /// The rows, ordered by part and key.
    pub rows: Vec<RowChange>,
    /// Whether the range has more rows than were returned.
    pub truncated: bool,
    /// The version of the store when the rows were read.
    pub version: u64,
}

/// A condition of a transaction on one row, which the transaction need not write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowCondition {
    /// The path of the row.
    pub path: RowPath,
    /// The version that the row must have, or `None` if the row must not exist.
    pub version: Option<u64>,
}

/// Writes and deletions that are made atomically if all conditions are met.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RowTransaction {
    /// The conditions, all of which must be met.
    pub conditions: Vec<RowCondition>,
    /// The rows to write, with their new values.
    pub writes: Vec<(RowPath, Bytes)>,
    /// The rows to remove. A row that does not exist is left out.
    pub deletes: Vec<RowPath>,
}

/// How long the history keeps changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum HistoryRetention {
    /// All changes are kept.
    All,
    /// Changes are kept for a limited time.
    For {
        /// The age above which a change is dropped, in milliseconds.
        ms: u64,
    },
    /// No change is kept: a client that is not up to date must read the whole table.
    Nothing,
}

#[derive(Clone, Debug)]
struct StoredValue {
    value: Bytes,
    version: u64,
}

type TableRows = BTreeMap<(SharedName, SharedName), StoredValue>;

/// The rows of a store and the history of their changes.
#[derive(Debug, Default)]
pub struct RowTables {
    tables: HashMap<SharedName, TableRows>,
    history: VecDeque<(ClockTime, RowChange)>,
    /// The newest version whose changes have been dropped from the history.
    dropped_up_to: u64,
    /// The version of the last change. All changes of a transaction have the same version.
    version: u64,
}

impl RowTables {
    /// Returns the version of the store, which is the number of committed transactions with
    /// changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns a row, or `None` if it does not exist.
    pub fn row(&self, path: &RowPath) -> Option<RowChange> {
        let stored = self.stored(path)?;
        let value = Some(stored.value.clone());
        Some(RowChange { path: path.clone(), version: stored.version, value })
    }

    /// Returns the rows of a range, up to its limit.
    pub fn read(&self, range: &RowRange) -> RangePage {
        let rows = self.tables.get(&range.table);
        let mut rows = rows.into_iter().flatten().filter(|((part, key), _)| {
            range.part.as_ref().is_none_or(|wanted| wanted == part) && *key >= range.from
        });
        let path = |part: &SharedName, key: &SharedName| RowPath {
            table: range.table.clone(),
            part: part.clone(),
            key: key.clone(),
        };
        let page = rows
            .by_ref()
            .take(range.limit)
            .map(|((part, key), stored)| RowChange {
                path: path(part, key),
                version: stored.version,
                value: Some(stored.value.clone()),
            })
            .collect();
        RangePage { rows: page, truncated: rows.next().is_some(), version: self.version }
    }

    /// Returns the changes of a table after a version, oldest first, or `None` if the history no
    /// longer contains all of them.
    pub fn changes(&self, table: &str, after: u64) -> Option<Vec<RowChange>> {
        if after < self.dropped_up_to {
            return None;
        }
        let first = self.history.partition_point(|(_, change)| change.version <= after);
        let changes = self.history.range(first..).map(|(_, change)| change);
        Some(changes.filter(|change| change.path.table == *table).cloned().collect())
    }

    /// Executes a transaction and returns the version of the store, or `None` if a condition is not
    /// met.
    pub fn commit(&mut self, transaction: &RowTransaction, now: ClockTime) -> Option<u64> {
        let is_met = |condition: &RowCondition| {
            self.stored(&condition.path).map(|stored| stored.version) == condition.version
        };
        if !transaction.conditions.iter().all(is_met) {
            return None;
        }
        let version = self.version + 1;
        for (path, value) in &transaction.writes {
            self.apply(path.clone(), Some(value.clone()), version, now);
        }
        for path in &transaction.deletes {
            if self.stored(path).is_some() {
                self.apply(path.clone(), None, version, now);
            }
        }
        Some(self.version)
    }

    /// Drops the changes that `keep` no longer covers at `now`.
    pub fn prune(&mut self, keep: HistoryRetention, now: ClockTime) {
        let horizon = match keep {
            HistoryRetention::All => return,
            HistoryRetention::For { ms } => now - ClockSpan::from_millis(ms),
            HistoryRetention::Nothing => return self.drop_history(),
        };
        while let Some((time, change)) = self.history.front()
            && *time < horizon
        {
            self.dropped_up_to = change.version;
            self.history.pop_front();
        }
    }

    /// Drops all changes from the history.
    pub fn drop_history(&mut self) {
        self.history.clear();
        self.dropped_up_to = self.version;
    }

    fn stored(&self, path: &RowPath) -> Option<&StoredValue> {
        self.tables.get(&path.table)?.get(&(path.part.clone(), path.key.clone()))
    }

    fn apply(&mut self, path: RowPath, value: Option<Bytes>, version: u64, now: ClockTime) {
        let rows = self.tables.entry(path.table.clone()).or_default();
        let part_and_key = (path.part.clone(), path.key.clone());
        match value.clone() {
            Some(value) => rows.insert(part_and_key, StoredValue { value, version }),
            None => rows.remove(&part_and_key),
        };
        self.version = version;
        self.history.push_back((now, RowChange { path, version, value }));
    }
}
