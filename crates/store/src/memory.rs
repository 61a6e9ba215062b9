//! An in-memory store, for tests and for the server that stands in for the platform.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::ops::Bound;
use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use parking_lot::Mutex;

use crate::digest::content_digest;
use crate::row::{RowConflict, RowEntry, RowKey, RowWrite, ScanRow};
use crate::store::{MemberEntry, MemberList, PlatformStore, StoreError, TransactOutcome};
use crate::wire::{TransactRequest, TransactResponse};

/// The most committed transactions whose answers are kept: those of over 10 minutes at 300
/// transactions a second.
const KEPT_ATTEMPTS: usize = 200_000;

/// Calls that a store has received.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreCounts {
    /// Transactions.
    pub transactions: u64,
    /// Writes in committed transactions.
    pub rows_written: u64,
    /// Reads and scans.
    pub reads: u64,
    /// Objects stored or fetched.
    pub objects: u64,
}

#[derive(Debug, Default)]
struct StoreTables {
    rows: BTreeMap<RowKey, RowEntry>,
    attempts: HashMap<SharedName, Vec<u64>>,
    attempt_order: VecDeque<SharedName>,
    objects: HashMap<SharedName, Bytes>,
    members: MemberList,
    last_version: u64,
    outage: bool,
    lost_responses: u32,
    lost_requests: u32,
    latency: ClockSpan,
    counts: StoreCounts,
}

/// An in-memory store. Clones share their contents.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    // A leaf lock: no other lock is taken while it is held.
    tables: Arc<Mutex<StoreTables>>,
}

impl MemoryStore {
    /// Returns an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes every call of [`PlatformStore`] fail without effect while `outage` is set.
    pub fn set_outage(&self, outage: bool) {
        self.tables.lock().outage = outage;
    }

    /// Makes the next `count` transactions commit or conflict as usual, but report their outcome as
    /// unknown.
    pub fn lose_responses(&self, count: u32) {
        self.tables.lock().lost_responses = count;
    }

    /// Makes the next `count` transactions have no effect and report their outcome as unknown.
    pub fn lose_requests(&self, count: u32) {
        self.tables.lock().lost_requests = count;
    }

    /// Sets the time that every call of [`PlatformStore`] takes, by the clock of tokio.
    pub fn set_latency(&self, latency: ClockSpan) {
        self.tables.lock().latency = latency;
    }

    /// Replaces the membership list.
    pub fn set_members(&self, members: Vec<MemberEntry>, age: ClockSpan) {
        self.tables.lock().members = MemberList { members, age };
    }

    /// Returns the counts of calls received so far.
    pub fn counts(&self) -> StoreCounts {
        self.tables.lock().counts
    }

    /// Applies a transaction at once, without latency or faults.
    pub fn apply(&self, request: &TransactRequest) -> TransactResponse {
        self.tables.lock().apply(request)
    }

    /// Reads rows at once, without latency or faults.
    pub fn rows(&self, row_keys: &[RowKey]) -> Vec<Option<RowEntry>> {
        let mut tables = self.tables.lock();
        tables.counts.reads += 1;
        row_keys.iter().map(|row_key| tables.rows.get(row_key).cloned()).collect()
    }

    /// Scans a table at once, without latency or faults.
    pub fn scan_rows(&self, table: &str, after: &str, limit: usize) -> Vec<ScanRow> {
        let mut tables = self.tables.lock();
        tables.counts.reads += 1;
        let start = Bound::Excluded(RowKey::new(table, after));
        tables
            .rows
            .range((start, Bound::Unbounded))
            .take_while(|(row_key, _)| row_key.table == *table)
            .take(limit)
            .map(|(row_key, entry)| ScanRow {
                key: row_key.key.clone(),
                version: entry.version,
                value: entry.value.clone(),
            })
            .collect()
    }

    /// Stores an object at once if its bytes match `digest`, and returns whether they do.
    pub fn insert_object(&self, digest: &SharedName, bytes: Bytes) -> bool {
        let mut tables = self.tables.lock();
        tables.counts.objects += 1;
        let matches = content_digest(&bytes) == *digest;
        if matches {
            tables.objects.insert(digest.clone(), bytes);
        }
        matches
    }

    /// Returns an object at once, without latency or faults.
    pub fn object(&self, digest: &str) -> Option<Bytes> {
        let mut tables = self.tables.lock();
        tables.counts.objects += 1;
        tables.objects.get(digest).cloned()
    }

    /// Returns the membership list at once, without latency or faults.
    pub fn member_list(&self) -> MemberList {
        self.tables.lock().members.clone()
    }

    /// Delays a call by the latency, and fails it during an outage.
    async fn admit(&self) -> Result<(), StoreError> {
        let latency = self.tables.lock().latency;
        if latency > ClockSpan::ZERO {
            tokio::time::sleep(latency.to_duration()).await;
        }
        if self.tables.lock().outage {
            return Err(StoreError::Unavailable { reason: "outage".to_owned() });
        }
        Ok(())
    }

    fn transact_with_faults(&self, request: &TransactRequest) -> TransactOutcome {
        let lost = StoreError::Unavailable { reason: "response lost".to_owned() };
        let mut tables = self.tables.lock();
        if tables.lost_requests > 0 {
            tables.lost_requests -= 1;
            return TransactOutcome::Unknown { error: lost };
        }
        let response = tables.apply(request);
        if tables.lost_responses > 0 {
            tables.lost_responses -= 1;
            return TransactOutcome::Unknown { error: lost };
        }
        if response.committed {
            TransactOutcome::Done { versions: response.versions }
        } else {
            TransactOutcome::Conflict { conflicts: response.conflicts }
        }
    }
}

impl StoreTables {
    fn apply(&mut self, request: &TransactRequest) -> TransactResponse {
        self.counts.transactions += 1;
        if let Some(versions) = self.attempts.get(&request.attempt) {
            return committed(versions.clone());
        }
        let conflicts = self.conflicts(&request.writes);
        if !conflicts.is_empty() {
            return TransactResponse { committed: false, versions: Vec::new(), conflicts };
        }
        let versions: Vec<u64> = request.writes.iter().map(|write| self.write(write)).collect();
        self.keep_attempt(&request.attempt, &versions);
        committed(versions)
    }

    fn keep_attempt(&mut self, attempt: &SharedName, versions: &[u64]) {
        self.attempts.insert(attempt.clone(), versions.to_vec());
        self.attempt_order.push_back(attempt.clone());
        if self.attempt_order.len() > KEPT_ATTEMPTS
            && let Some(oldest) = self.attempt_order.pop_front()
        {
            self.attempts.remove(&oldest);
        }
    }

    fn conflicts(&self, writes: &[RowWrite]) -> Vec<RowConflict> {
        let mut conflicts = Vec::new();
        for (index, write) in writes.iter().enumerate() {
            let entry = self.rows.get(&write.row_key());
            let version = entry.map(|entry| entry.version);
            if !write.expect.admits(version) {
                let value = entry.map(|entry| entry.value.clone());
                conflicts.push(RowConflict { index, version, value });
            }
        }
        conflicts
    }

    fn write(&mut self, write: &RowWrite) -> u64 {
        self.counts.rows_written += 1;
        let row_key = write.row_key();
        let Some(value) = write.value.clone() else {
            self.rows.remove(&row_key);
            return 0;
        };
        // One counter for all rows, so that a version is not used again after a deletion.
        self.last_version += 1;
        self.rows.insert(row_key, RowEntry { version: self.last_version, value });
        self.last_version
    }
}

fn committed(versions: Vec<u64>) -> TransactResponse {
    TransactResponse { committed: true, versions, conflicts: Vec::new() }
}

impl PlatformStore for MemoryStore {
    async fn transact(&self, attempt: &SharedName, writes: Vec<RowWrite>) -> TransactOutcome {
        let request = TransactRequest { attempt: attempt.clone(), writes };
        match self.admit().await {
            Ok(()) => self.transact_with_faults(&request),
            Err(error) => TransactOutcome::NotDone { error },
        }
    }

    async fn read(&self, rows: Vec<RowKey>) -> Result<Vec<Option<RowEntry>>, StoreError> {
        self.admit().await?;
        Ok(self.rows(&rows))
    }

    async fn scan(
        &self,
        table: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<ScanRow>, StoreError> {
        self.admit().await?;
        Ok(self.scan_rows(table, after, limit))
    }

    async fn put_object(&self, digest: &SharedName, bytes: Bytes) -> Result<(), StoreError> {
        self.admit().await?;
        if self.insert_object(digest, bytes) {
            return Ok(());
        }
        let message = format!("bytes do not match digest {digest}");
        Err(StoreError::Rejected { status: 400, message })
    }

    async fn load_object(&self, digest: &SharedName) -> Result<Option<Bytes>, StoreError> {
        self.admit().await?;
        Ok(self.object(digest))
    }

    async fn members(&self) -> Result<MemberList, StoreError> {
        self.admit().await?;
        Ok(self.member_list())
    }
}
