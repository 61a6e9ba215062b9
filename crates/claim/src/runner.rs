//! Connects [`ClaimTable`] to a store: the runner decides on requests, and the driver, a task of
//! its own, makes the calls to the store.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use base::prelude::*;
use bytes::Bytes;
use store::prelude::*;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use world::request::CallerRequest;

use crate::answer::{ReplayAnswer, StoredAnswer};
use crate::event::{
    ClaimAction, ClaimEvent, ClaimRefusal, ClaimRequest, GroupId, NotRunProof, PendingId,
    StoreFailure, WorkOutcome,
};
use crate::members::VmIncarnation;
use crate::row::CLAIM_TABLE;
use crate::table::ClaimTable;

/// The decision on a request.
#[derive(Debug)]
pub enum ClaimDecision<S: PlatformStore, C: ClockSource> {
    /// Run the work once.
    Dispatch(ClaimGrant<S, C>),
    /// Return the stored answer to an earlier request with the same key.
    Replay(Arc<StoredAnswer>),
    /// Refuse the request. It was not run.
    Refused(ClaimRefusal),
    /// The work may have run and is not run again.
    Unknown,
    /// An earlier request with the same key is still running.
    InProgress,
}

#[derive(Debug)]
enum PendingDecision {
    Dispatch { key: SharedName, attempt: SharedName },
    Respond(ReplayAnswer),
    Refuse(ClaimRefusal),
    Unknown,
    InProgress,
}

#[derive(Debug)]
enum DriverTask {
    Write { group: GroupId, attempt: SharedName, writes: Vec<RowWrite> },
    Read { row_keys: Vec<RowKey> },
    StoreBody { key: SharedName, attempt: SharedName, digest: SharedName, bytes: Bytes },
    Reschedule,
}

#[derive(Debug)]
struct RunnerState<S, C> {
    table: ClaimTable,
    store: S,
    clock: C,
    last_pending: AtomicU64,
    stopping: AtomicBool,
    // Never held together with the claim table.
    requests: RankedMutex<HashMap<PendingId, oneshot::Sender<PendingDecision>>>,
    tasks: mpsc::UnboundedSender<DriverTask>,
}

/// Runs the claims of one VM against a store. Clones share the claims.
#[derive(Debug)]
pub struct ClaimRunner<S, C> {
    state: Arc<RunnerState<S, C>>,
}

/// Makes the calls to the store for a [`ClaimRunner`].
#[derive(Debug)]
pub struct ClaimDriver<S, C> {
    state: Arc<RunnerState<S, C>>,
    tasks: mpsc::UnboundedReceiver<DriverTask>,
}

/// The permission to run the work of one request once. If it is dropped without an outcome, the
/// work counts as one that may have run.
#[derive(Debug)]
#[must_use = "a dropped grant counts as work that may have run"]
pub struct ClaimGrant<S: PlatformStore, C: ClockSource> {
    state: Arc<RunnerState<S, C>>,
    key: SharedName,
    attempt: SharedName,
    ended: bool,
}

/// Returns the key of a claim from a service and the key that the caller chose.
pub fn claim_key(service: &str, key: &str) -> SharedName {
    SharedName::from(format!("{service}/{key}"))
}

impl<S, C> Clone for ClaimRunner<S, C> {
    fn clone(&self) -> Self {
        Self { state: self.state.clone() }
    }
}

impl<S: PlatformStore, C: ClockSource> ClaimRunner<S, C> {
    /// Creates a runner and its driver, whose [`run`](ClaimDriver::run) has to be awaited in a
    /// task.
    pub fn new(table: ClaimTable, store: S, clock: C) -> (Self, ClaimDriver<S, C>) {
        // Bounded by the table, which has at most one write, read or body in flight for each key.
        let (sender, tasks) = mpsc::unbounded_channel();
        let state = Arc::new(RunnerState {
            table,
            store,
            clock,
            last_pending: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            requests: RankedMutex::new(LockRank::ClaimTable, HashMap::new()),
            tasks: sender,
        });
        (Self { state: state.clone() }, ClaimDriver { state, tasks })
    }

    /// Claims the key of a request and returns what to do with it. `key` is the result of
    /// [`claim_key`], and `body` the digest of everything that must be equal in a repeat.
    pub async fn begin(
        &self,
        key: SharedName,
        body: SharedName,
        request: &CallerRequest,
    ) -> ClaimDecision<S, C> {
        let deadline = request.deadline;
        let pending = self.state.last_pending.fetch_add(1, Ordering::Relaxed) + 1;
        let (sender, receiver) = oneshot::channel();
        self.state.requests.lock().insert(pending, sender);
        let mut guard = CancelGuard { state: &self.state, pending, active: true };
        let request = ClaimRequest { key, body, deadline };
        self.state.apply(ClaimEvent::Arrived { pending, request });
        let decision = receiver.await;
        guard.active = false;
        match decision {
            Ok(decision) => self.decide(decision).await,
            // The driver has ended, so that nothing can be dispatched.
            Err(_) => ClaimDecision::Refused(ClaimRefusal::Stopping),
        }
    }

    async fn decide(&self, decision: PendingDecision) -> ClaimDecision<S, C> {
        match decision {
            PendingDecision::Dispatch { key, attempt } => {
                let state = self.state.clone();
                ClaimDecision::Dispatch(ClaimGrant { state, key, attempt, ended: false })
            }
            PendingDecision::Respond(ReplayAnswer::Whole(answer)) => ClaimDecision::Replay(answer),
            PendingDecision::Respond(ReplayAnswer::Stored(row)) => {
                let Some(digest) = row.object() else { return ClaimDecision::InProgress };
                match self.state.store.load_object(digest).await {
                    Ok(Some(body)) if content_digest(&body) == *digest => {
                        ClaimDecision::Replay(Arc::new(row.with_body(body)))
                    }
                    // The work ran, but its answer cannot be fetched now. A repeat gets it later.
                    _ => ClaimDecision::InProgress,
                }
            }
            PendingDecision::Refuse(reason) => ClaimDecision::Refused(reason),
            PendingDecision::Unknown => ClaimDecision::Unknown,
            PendingDecision::InProgress => ClaimDecision::InProgress,
        }
    }

    /// Updates the membership list.
    pub fn update_members(&self, list: &MemberList) {
        let members = list.members.iter();
        let members = members
            .map(|member| VmIncarnation {
                name: member.name.clone(),
                incarnation: member.incarnation,
            })
            .collect();
        self.state.apply(ClaimEvent::Members { members, age: list.age });
    }

    /// Returns the claims, for metrics.
    pub fn table(&self) -> &ClaimTable {
        &self.state.table
    }

    /// Refuses new requests. The driver ends when every outcome is stored.
    pub fn stop(&self) {
        self.state.stopping.store(true, Ordering::SeqCst);
        self.state.apply(ClaimEvent::Stopping);
        let _ = self.state.tasks.send(DriverTask::Reschedule);
    }

    /// Deletes expired claims, and marks claims of VMs that are no longer on the membership list as
    /// unknown, in up to `limit` rows after the key `after`. Returns the key to continue after, or
    /// `None` at the end of the table.
    ///
    /// # Errors
    ///
    /// Returns the store's error. A row that has changed in the meantime is no error.
    pub async fn sweep(&self, after: &str, limit: usize) -> Result<Option<SharedName>, StoreError> {
        let RunnerState { table, store, clock, .. } = &*self.state;
        let rows = store.scan(CLAIM_TABLE, after, limit).await?;
        let writes = table.sweep(&rows, clock.now());
        if !writes.is_empty() {
            let outcome = store.transact(&table.next_attempt(), writes).await;
            if let TransactOutcome::NotDone { error } | TransactOutcome::Unknown { error } = outcome
            {
                return Err(error);
            }
        }
        let last = rows.last().map(|row| row.key.clone());
        Ok(last.filter(|_| rows.len() == limit))
    }
}

/// Reports, when it is dropped, that a caller disconnected before its decision reached it.
struct CancelGuard<'a, S: PlatformStore, C: ClockSource> {
    state: &'a Arc<RunnerState<S, C>>,
    pending: PendingId,
    active: bool,
}

impl<S: PlatformStore, C: ClockSource> Drop for CancelGuard<'_, S, C> {
    fn drop(&mut self) {
        if self.active {
            self.state.requests.lock().remove(&self.pending);
            self.state.apply(ClaimEvent::CallerLeft { pending: self.pending });
        }
    }
}

impl<S: PlatformStore, C: ClockSource> ClaimGrant<S, C> {
    /// Returns the attempt id of the claim.
    pub fn attempt(&self) -> &SharedName {
        &self.attempt
    }

    /// Stores the complete answer for repeats. The caller can be answered at once.
    pub fn finish(mut self, answer: StoredAnswer) {
        self.end(WorkOutcome::Finished(answer));
    }

    /// Allows the key to be claimed again, because the work is proven not to have run.
    pub fn release(mut self, proof: NotRunProof) {
        self.end(WorkOutcome::Released(proof));
    }

    /// Records that the work may have run.
    pub fn unknown(mut self) {
        self.end(WorkOutcome::Unknown);
    }

    fn end(&mut self, outcome: WorkOutcome) {
        self.ended = true;
        let (key, attempt) = (self.key.clone(), self.attempt.clone());
        self.state.apply(ClaimEvent::WorkEnded { key, attempt, outcome });
    }
}

impl<S: PlatformStore, C: ClockSource> Drop for ClaimGrant<S, C> {
    fn drop(&mut self) {
        if !self.ended {
            tracing::warn!(event = 1503, key = %self.key, "claimed work ended without an outcome");
            self.end(WorkOutcome::Unknown);
        }
    }
}

impl<S: PlatformStore, C: ClockSource> RunnerState<S, C> {
    fn apply(&self, event: ClaimEvent) {
        for action in self.table.handle(event, self.clock.now()) {
            self.perform(action);
        }
    }

    fn perform(&self, action: ClaimAction) {
        match action {
            ClaimAction::Write { group, attempt, writes } => {
                self.send(DriverTask::Write { group, attempt, writes });
            }
            ClaimAction::Read { row_keys } => self.send(DriverTask::Read { row_keys }),
            ClaimAction::StoreBody { key, attempt, digest, bytes } => {
                self.send(DriverTask::StoreBody { key, attempt, digest, bytes });
            }
            ClaimAction::Wait { .. } => self.send(DriverTask::Reschedule),
            ClaimAction::Dispatch { pending, key, attempt } => {
                self.notify(pending, PendingDecision::Dispatch { key, attempt });
            }
            ClaimAction::Respond { pending, answer } => {
                self.notify(pending, PendingDecision::Respond(answer));
            }
            ClaimAction::Refuse { pending, reason } => {
                self.notify(pending, PendingDecision::Refuse(reason));
            }
            ClaimAction::ReportUnknown { pending } => {
                self.notify(pending, PendingDecision::Unknown)
            }
            ClaimAction::InProgress { pending } => {
                self.notify(pending, PendingDecision::InProgress)
            }
        }
    }

    // Sending fails only when the driver has ended, and nothing is dispatched after that.
    fn send(&self, task: DriverTask) {
        let _ = self.tasks.send(task);
    }

    // Sending fails only if the caller has disconnected, which `CancelGuard` reports.
    fn notify(&self, pending: PendingId, decision: PendingDecision) {
        let sender = self.requests.lock().remove(&pending);
        if let Some(sender) = sender {
            let _ = sender.send(decision);
        }
    }
}

impl<S: PlatformStore, C: ClockSource> ClaimDriver<S, C> {
    /// Makes calls to the store until the runner was stopped and every outcome is stored.
    pub async fn run(mut self) {
        let mut calls = JoinSet::new();
        while !self.is_done() || !calls.is_empty() {
            let wake = self.state.table.next_wake();
            tokio::select! {
                Some(task) = self.tasks.recv() => start(&mut calls, &self.state.store, task),
                Some(Ok(event)) = calls.join_next(), if !calls.is_empty() => {
                    self.state.apply(event);
                }
                () = sleep_until(&self.state.clock, wake), if wake.is_some() => {
                    self.state.apply(ClaimEvent::Timer);
                }
            }
        }
        // Ends the wait of requests that arrived last: the table makes no further decision on them.
        self.state.requests.lock().clear();
    }

    fn is_done(&self) -> bool {
        self.state.stopping.load(Ordering::SeqCst)
            && self.tasks.is_empty()
            && self.state.table.is_settled()
    }
}

async fn sleep_until<C: ClockSource>(clock: &C, wake: Option<ClockTime>) {
    let span = wake.unwrap_or(ClockTime::MAX).since(clock.now());
    // Timers have a resolution of 1 ms; without the addition a sleep could end too early.
    let span = ClockSpan::from_millis(span.as_millis() + 1).min(ClockSpan::from_secs(3600));
    tokio::time::sleep(span.to_duration()).await;
}

fn start<S: PlatformStore>(calls: &mut JoinSet<ClaimEvent>, store: &S, task: DriverTask) {
    let store = store.clone();
    match task {
        DriverTask::Write { group, attempt, writes } => {
            calls.spawn(async move { write_event(group, store.transact(&attempt, writes).await) });
        }
        DriverTask::Read { row_keys } => {
            calls.spawn(async move {
                match store.read(row_keys.clone()).await {
                    Ok(entries) => ClaimEvent::RowsRead { row_keys, entries },
                    Err(error) => {
                        ClaimEvent::ReadFailed { row_keys, failure: store_failure(&error) }
                    }
                }
            });
        }
        DriverTask::StoreBody { key, attempt, digest, bytes } => {
            calls.spawn(async move {
                let stored = store.put_object(&digest, bytes).await.is_ok();
                ClaimEvent::BodyStored { key, attempt, stored }
            });
        }
        DriverTask::Reschedule => {}
    }
}

fn write_event(group: GroupId, outcome: TransactOutcome) -> ClaimEvent {
    match outcome {
        TransactOutcome::Done { versions } => ClaimEvent::Committed { group, versions },
        TransactOutcome::Conflict { conflicts } => ClaimEvent::Conflicted { group, conflicts },
        TransactOutcome::NotDone { error } => {
            tracing::warn!(event = 1501, %error, "claims were not stored");
            ClaimEvent::NotDone { group, failure: store_failure(&error) }
        }
        TransactOutcome::Unknown { error } => {
            tracing::warn!(event = 1502, %error, "claims may have been stored");
            ClaimEvent::OutcomeUnknown { group }
        }
    }
}

fn store_failure(error: &StoreError) -> StoreFailure {
    match error {
        StoreError::Throttled { .. } => StoreFailure::Busy,
        StoreError::Rejected { .. } => StoreFailure::Rejected,
        _ => StoreFailure::Down,
    }
}
