//! Connects the decisions on deferred work in [`crate::deferred`] to a store.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use base::prelude::*;
use bytes::Bytes;
use snafu::Snafu;
use store::prelude::*;
use world::vm::VmIdentity;

use crate::deferred::{
    self, AcceptDecision, AcceptRefusal, DEFERRED_COUNT_TABLE, DEFERRED_DONE_TABLE, DEFERRED_TABLE,
    DeferredOutcome, DeferredRequest, DeferredRow, DeferredState, DeferredTuning, LeaseWatch,
    WorkDecision,
};

/// The most transactions that are tried for one change while other VMs change the same count row,
/// which counts the open work of a service. Work is accepted and ended rarely, so that several VMs
/// seldom change the count at the same time.
const MAX_TRIES: u32 = 8;

/// Why an outcome was not stored, or a lease not renewed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum LeaseError {
    /// The lease expired, and the work was leased to another VM or has ended.
    #[snafu(display("the lease was lost; drop the outcome"))]
    Lost,
    /// A call to the store failed.
    #[snafu(display("a call to the store failed ({source}); try again"))]
    Store {
        /// The store's error.
        source: StoreError,
    },
    /// No try was confirmed, because other VMs changed the rows first or answers of the store were
    /// lost.
    #[snafu(display("the queue of the service is busy; store the outcome again"))]
    Busy,
}

/// The permission to run a piece of work.
#[derive(Clone, Debug, PartialEq)]
pub struct DeferredLease {
    /// The work.
    pub row: DeferredRow,
    /// The version of the row that the lease was stored with.
    version: u64,
}

impl DeferredLease {
    /// Returns the fencing token, which grows with every lease of the same work.
    pub fn token(&self) -> u64 {
        self.row.token
    }
}

/// The state that the clones of a queue share.
#[derive(Debug)]
struct QueueState {
    watch: LeaseWatch,
}

/// The deferred work of all services.
#[derive(Clone, Debug)]
pub struct DeferredQueue<S, C> {
    store: S,
    clock: C,
    identity: VmIdentity,
    epoch_ms: u64,
    tuning: DeferredTuning,
    attempts: Arc<AtomicU64>,
    state: Arc<RankedMutex<QueueState>>,
}

impl<S: PlatformStore, C: ClockSource> DeferredQueue<S, C> {
    /// Creates the queue of one VM. A process creates one and clones it: the clones share a counter
    /// that makes the attempt ids of transactions unique. `epoch_ms` is the time of the clock's
    /// start in milliseconds since the Unix epoch; it is used only for the timestamps of rows.
    pub fn new(
        store: S,
        clock: C,
        identity: VmIdentity,
        epoch_ms: u64,
        tuning: DeferredTuning,
    ) -> Self {
        let state = QueueState { watch: LeaseWatch::default() };
        let state = Arc::new(RankedMutex::new(LockRank::ClaimTable, state));
        Self { store, clock, identity, epoch_ms, tuning, attempts: Arc::default(), state }
    }

    /// Accepts work. If this succeeds, the work is stored, and VMs lease it until it ends. It can
    /// end without an answer: see [`DeferredState`].
    ///
    /// # Errors
    ///
    /// Returns why the work was not accepted. After [`AcceptRefusal::NotStored`] it may still
    /// have been stored, and repeating it with the same id is safe.
    pub async fn accept(
        &self,
        request: &DeferredRequest,
        payload: Bytes,
    ) -> Result<DeferredState, AcceptRefusal> {
        let stored = self.store.put_object(&request.payload, payload).await;
        stored.map_err(|_| AcceptRefusal::NotStored)?;
        for _ in 0..MAX_TRIES {
            let rows = self.rows(&request.service, &request.id).await;
            let rows = rows.map_err(|_| AcceptRefusal::NotStored)?;
            let found = rows[0].as_ref().or(rows[1].as_ref());
            let found = found.and_then(|entry| DeferredRow::from_value(&entry.value));
            let count = rows[2].as_ref();
            let at_ms = self.epoch_ms + self.clock.now().as_millis();
            match deferred::accept(request, found.as_ref(), count, &self.tuning, at_ms) {
                AcceptDecision::Duplicate(state) => return Ok(state),
                AcceptDecision::Refuse(refusal) => return Err(refusal),
                AcceptDecision::Write(writes) => match self.transact(writes).await {
                    TransactOutcome::Done { .. } => return Ok(DeferredState::Queued),
                    TransactOutcome::NotDone { .. } => return Err(AcceptRefusal::NotStored),
                    // The next try reads the rows and finds the work if it was stored.
                    TransactOutcome::Conflict { .. } | TransactOutcome::Unknown { .. } => {}
                },
            }
        }
        Err(AcceptRefusal::NotStored)
    }

    /// Returns the state of accepted work, or `None` if the id is not known.
    ///
    /// # Errors
    ///
    /// Returns the store's error.
    pub async fn status(
        &self,
        service: &str,
        id: &str,
    ) -> Result<Option<DeferredState>, StoreError> {
        let rows = self.rows(service, id).await?;
        let entry = rows[0].as_ref().or(rows[1].as_ref());
        let row = entry.and_then(|entry| DeferredRow::from_value(&entry.value));
        Ok(row.map(|row| row.state))
    }

    /// Leases the oldest piece of work of a service that can be leased, or returns `None` if there
    /// is none. Ends work that may not be leased again.
    ///
    /// # Errors
    ///
    /// Returns the store's error.
    pub async fn lease(&self, service: &str) -> Result<Option<DeferredLease>, StoreError> {
        let prefix = format!("{service}/");
        let limit = usize::try_from(self.tuning.open_limit).unwrap_or(usize::MAX);
        let mut rows = self.store.scan(DEFERRED_TABLE, &prefix, limit).await?;
        rows.retain(|row| row.key.starts_with(&prefix));
        let keys: Vec<SharedName> = rows.iter().map(|row| row.key.clone()).collect();
        self.state.lock().watch.retain(&prefix, &keys);
        let found = rows.iter().filter_map(|scanned| {
            DeferredRow::from_value(&scanned.value).map(|row| (scanned, row))
        });
        let mut found: Vec<(&ScanRow, DeferredRow)> = found.collect();
        found.sort_by_key(|(_, row)| row.at_ms);
        for (scanned, row) in found {
            match self.decide(scanned, &row) {
                WorkDecision::Leave => {}
                WorkDecision::End(row) => {
                    // Fails if another VM ended the work or renewed its lease first.
                    let _ = self.store_outcome(&row, scanned.version).await;
                }
                WorkDecision::Lease(row) => {
                    if let Some(lease) = self.write_lease(row, scanned.version).await? {
                        return Ok(Some(lease));
                    }
                }
            }
        }
        Ok(None)
    }

    fn decide(&self, scanned: &ScanRow, row: &DeferredRow) -> WorkDecision {
        let now = self.clock.now();
        let unchanged_for = self.state.lock().watch.observe(&scanned.key, scanned.version, now);
        deferred::plan_lease(row, unchanged_for, &self.identity, &self.tuning)
    }

    async fn write_lease(
        &self,
        row: DeferredRow,
        version: u64,
    ) -> Result<Option<DeferredLease>, StoreError> {
        let row_key = row.row_key(DEFERRED_TABLE);
        let write = RowWrite::put(&row_key, RowExpect::Version(version), row.to_value());
        match self.transact(vec![write]).await {
            TransactOutcome::Done { versions } => {
                Ok(versions.first().map(|version| DeferredLease { row, version: *version }))
            }
            TransactOutcome::Conflict { .. } => Ok(None),
            TransactOutcome::NotDone { error } => Err(error),
            // The value contains the token and the holder, so that an equal one is this VM's lease.
            TransactOutcome::Unknown { .. } => {
                let value = row.to_value();
                let entry = self.store.read(vec![row_key]).await?.pop().flatten();
                let entry = entry.filter(|entry| entry.value == value);
                Ok(entry.map(|entry| DeferredLease { row, version: entry.version }))
            }
        }
    }

    /// Renews a lease. Call it a few times within the lease time while the work runs.
    ///
    /// # Errors
    ///
    /// Returns [`LeaseError::Lost`] if the work was leased to another VM or has ended, and the
    /// store's error if a call failed.
    pub async fn renew(&self, lease: &mut DeferredLease) -> Result<(), LeaseError> {
        let row = deferred::renewed(&lease.row);
        match self.write_lease(row, lease.version).await {
            Ok(Some(renewed)) => {
                *lease = renewed;
                Ok(())
            }
            Ok(None) => Err(LeaseError::Lost),
            Err(source) => Err(LeaseError::Store { source }),
        }
    }

    /// Stores the outcome of a run. Storing the same outcome again is safe.
    ///
    /// # Errors
    ///
    /// Returns [`LeaseError::Lost`] if the work was leased to another VM or has ended. After the
    /// other errors, the outcome may be stored again.
    pub async fn finish(
        &self,
        lease: &DeferredLease,
        outcome: DeferredOutcome,
    ) -> Result<DeferredState, LeaseError> {
        let row = deferred::finished_row(&lease.row, outcome, &self.tuning);
        self.store_outcome(&row, lease.version).await?;
        Ok(row.state)
    }

    async fn store_outcome(&self, row: &DeferredRow, version: u64) -> Result<(), LeaseError> {
        for _ in 0..MAX_TRIES {
            let rows = self.rows(&row.service, &row.id).await;
            let rows = rows.map_err(|source| LeaseError::Store { source })?;
            let value = row.to_value();
            if rows[..2].iter().flatten().any(|entry| entry.value == value) {
                return Ok(());
            }
            let held = rows[0].as_ref().is_some_and(|entry| entry.version == version);
            if !held && self.tuning.guards.fencing {
                return Err(LeaseError::Lost);
            }
            let count = rows[2].as_ref();
            let writes = deferred::outcome_writes(row, version, count, &self.tuning);
            match self.transact(writes).await {
                TransactOutcome::Done { .. } => return Ok(()),
                TransactOutcome::NotDone { error } => {
                    return Err(LeaseError::Store { source: error });
                }
                TransactOutcome::Conflict { .. } | TransactOutcome::Unknown { .. } => {}
            }
        }
        Err(LeaseError::Busy)
    }

    /// Returns the stored request of a piece of work.
    ///
    /// # Errors
    ///
    /// Returns the store's error, or an error if the bytes do not match their digest.
    pub async fn payload(&self, lease: &DeferredLease) -> Result<Bytes, StoreError> {
        let digest = &lease.row.payload;
        match self.store.load_object(digest).await? {
            Some(bytes) if content_digest(&bytes) == *digest => Ok(bytes),
            _ => Err(StoreError::Malformed { detail: format!("object {digest} is not intact") }),
        }
    }

    /// Deletes ended work past its retention, in up to `limit` rows after the key `after`. Returns
    /// the key to continue after, or `None` at the end of the table.
    ///
    /// # Errors
    ///
    /// Returns the store's error.
    pub async fn sweep(&self, after: &str, limit: usize) -> Result<Option<SharedName>, StoreError> {
        let rows = self.store.scan(DEFERRED_DONE_TABLE, after, limit).await?;
        let now_ms = self.epoch_ms + self.clock.now().as_millis();
        let oldest_ms = now_ms.saturating_sub(self.tuning.retention.as_millis());
        let expired = rows.iter().filter_map(|scanned| {
            let row = DeferredRow::from_value(&scanned.value)?;
            let row_key = row.row_key(DEFERRED_DONE_TABLE);
            let write = RowWrite::delete(&row_key, RowExpect::Version(scanned.version));
            (row.at_ms < oldest_ms).then_some(write)
        });
        let writes: Vec<RowWrite> = expired.collect();
        if !writes.is_empty() {
            // Rows that could not be deleted now are deleted by a later sweep.
            self.transact(writes).await;
        }
        let last = rows.last().map(|row| row.key.clone());
        Ok(last.filter(|_| rows.len() == limit))
    }

    /// Reads the row of open work, the row of ended work and the count row of the service, in this
    /// order.
    async fn rows(&self, service: &str, id: &str) -> Result<Vec<Option<RowEntry>>, StoreError> {
        let key = DeferredRow::key(service, id);
        let row_keys = vec![
            RowKey::new(DEFERRED_TABLE, &key),
            RowKey::new(DEFERRED_DONE_TABLE, &key),
            RowKey::new(DEFERRED_COUNT_TABLE, service),
        ];
        let rows = self.store.read(row_keys).await?;
        if rows.len() == 3 {
            return Ok(rows);
        }
        Err(StoreError::Malformed { detail: "expected one row for each key".to_owned() })
    }

    async fn transact(&self, writes: Vec<RowWrite>) -> TransactOutcome {
        let VmIdentity { name, incarnation, .. } = &self.identity;
        let number = self.attempts.fetch_add(1, Ordering::Relaxed);
        let attempt = SharedName::from(format!("{name}.{incarnation}.d{number}"));
        self.store.transact(&attempt, writes).await
    }
}
