//! The tables and objects of the platform stand-in. Does no I/O.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::ops::Bound;

use base::prelude::*;
use bytes::Bytes;

use crate::wire::{
    RowConflict, RowExpectation, RowName, RowWrite, ScannedRow, StoredRow, TransactAnswer,
};

/// How long the id of a committed transaction is kept. The protocol requires 10 minutes.
const ATTEMPT_LIFETIME: ClockSpan = ClockSpan::from_secs(600);

type RowMap = BTreeMap<SharedName, StoredRow>;

/// The result of storing an object.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ObjectOutcome {
    /// The object is stored, whether by this call or an earlier one.
    Stored,
    /// Other bytes are stored under this digest.
    Differs,
}

/// The rows and objects of the platform, with the ids of committed transactions.
#[derive(Debug, Default)]
pub struct PlatformTables {
    tables: HashMap<SharedName, RowMap>,
    objects: HashMap<SharedName, Bytes>,
    /// The row versions of each committed transaction, by its attempt id.
    attempts: HashMap<SharedName, Vec<u64>>,
    /// The attempt ids in the order of their commits, with the times of the commits.
    attempt_order: VecDeque<(ClockTime, SharedName)>,
    /// The version of the last write. No version is used twice, even after a deletion.
    version: u64,
}

impl PlatformTables {
    /// Executes a transaction. If its attempt id has already committed, returns the first answer
    /// instead. A transaction without writes thus prevents a delayed one with the same id from
    /// being executed.
    pub fn commit(
        &mut self,
        attempt: &SharedName,
        writes: &[RowWrite],
        now: ClockTime,
    ) -> TransactAnswer {
        self.drop_expired_attempts(now);
        if let Some(versions) = self.attempts.get(attempt) {
            return TransactAnswer::Committed { committed: true, versions: versions.clone() };
        }
        let answer = self.transact(writes);
        if let TransactAnswer::Committed { versions, .. } = &answer {
            self.attempts.insert(attempt.clone(), versions.clone());
            self.attempt_order.push_back((now, attempt.clone()));
        }
        answer
    }

    /// Returns whether a transaction with this id has committed and its id is still kept.
    pub fn has_committed(&self, attempt: &str) -> bool {
        self.attempts.contains_key(attempt)
    }

    fn drop_expired_attempts(&mut self, now: ClockTime) {
        while let Some((time, attempt)) = self.attempt_order.front()
            && now.since(*time) > ATTEMPT_LIFETIME
        {
            self.attempts.remove(attempt);
            self.attempt_order.pop_front();
        }
    }

    /// Makes all writes, or none if an expectation is not met.
    pub fn transact(&mut self, writes: &[RowWrite]) -> TransactAnswer {
        let conflicts: Vec<RowConflict> = writes
            .iter()
            .enumerate()
            .filter_map(|(index, write)| self.conflict(index, write))
            .collect();
        if !conflicts.is_empty() {
            return TransactAnswer::Rejected { committed: false, conflicts };
        }
        let versions = writes.iter().map(|write| self.apply(write)).collect();
        TransactAnswer::Committed { committed: true, versions }
    }

    /// Returns a row, or `None` if it does not exist.
    pub fn row(&self, table: &str, key: &str) -> Option<&StoredRow> {
        self.tables.get(table)?.get(key)
    }

    /// Returns the named rows in the order of `names`, with `None` for those that do not exist.
    pub fn read(&self, names: &[RowName]) -> Vec<Option<StoredRow>> {
        names.iter().map(|name| self.row(&name.table, &name.key).cloned()).collect()
    }

    /// Returns up to `limit` rows with keys greater than `after`, ordered by key.
    pub fn scan(&self, table: &str, after: Option<&str>, limit: usize) -> Vec<ScannedRow> {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let Some(rows) = self.tables.get(table) else { return Vec::new() };
        rows.range::<str, _>((start, Bound::Unbounded))
            .take(limit)
            .map(|(key, row)| ScannedRow { key: key.clone(), row: row.clone() })
            .collect()
    }

    /// Stores an object under its digest. A stored object is never replaced.
    pub fn put_object(&mut self, digest: &str, bytes: Bytes) -> ObjectOutcome {
        match self.objects.get(digest) {
            Some(stored) if *stored != bytes => ObjectOutcome::Differs,
            Some(_) => ObjectOutcome::Stored,
            None => {
                self.objects.insert(SharedName::from(digest), bytes);
                ObjectOutcome::Stored
            }
        }
    }

    /// Returns the object with this digest, or `None` if it does not exist.
    pub fn object(&self, digest: &str) -> Option<Bytes> {
        self.objects.get(digest).cloned()
    }

    fn conflict(&self, index: usize, write: &RowWrite) -> Option<RowConflict> {
        let row = self.row(&write.table, &write.key);
        let is_met = match write.expect {
            RowExpectation::Any => true,
            RowExpectation::Absent => row.is_none(),
            RowExpectation::Version(version) => row.is_some_and(|row| row.version == version),
        };
        (!is_met).then(|| RowConflict {
            index,
            version: row.map(|row| row.version),
            value: row.map(|row| row.value.clone()),
        })
    }

    fn apply(&mut self, write: &RowWrite) -> u64 {
        self.version += 1;
        let version = self.version;
        let rows = self.tables.entry(write.table.clone()).or_default();
        match write.value.clone() {
            Some(value) => {
                rows.insert(write.key.clone(), StoredRow { version, value });
                version
            }
            None => {
                rows.remove(&write.key);
                0
            }
        }
    }
}
