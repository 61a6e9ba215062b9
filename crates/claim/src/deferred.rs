//! Decisions on deferred work, which is stored first and run later. No I/O.
//!
//! A VM leases a piece of work before it runs it and renews the lease while it runs. Each lease has
//! a higher fencing token than the one before, and an outcome is stored only under the newest
//! lease.

use std::collections::HashMap;

use base::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use snafu::Snafu;
use store::row::{RowEntry, RowExpect, RowKey, RowWrite};
use world::vm::VmIdentity;

use crate::answer::AnswerRow;

/// The table of accepted work that has not ended.
pub const DEFERRED_TABLE: &str = "deferred";
/// The table of accepted work that has ended.
pub const DEFERRED_DONE_TABLE: &str = "deferred-done";
/// The table that counts the work of each service that has not ended.
pub const DEFERRED_COUNT_TABLE: &str = "deferred-count";

/// The state of accepted work.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DeferredState {
    /// It waits for a VM.
    Queued,
    /// A VM may be running it.
    Leased {
        /// The VM that holds the lease.
        vm: SharedName,
        /// The incarnation of its process.
        incarnation: u64,
        /// How often the lease was renewed. A renewal changes the row's version.
        renewals: u64,
    },
    /// It ran to its end, and this is the answer.
    Done(AnswerRow),
    /// It was leased as often as allowed without a stored answer, and is not run again.
    Failed,
    /// It may have run. It is not run again, because it is not idempotent.
    Unknown,
}

/// One piece of accepted work.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DeferredRow {
    /// The service that runs it.
    pub service: SharedName,
    /// The id, unique within the service.
    pub id: SharedName,
    /// The digest of the stored request.
    pub payload: SharedName,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The fencing token: the number of leases so far.
    pub token: u64,
    /// The state.
    pub state: DeferredState,
}

/// The number of pieces of work of one service that have not ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DeferredCount {
    /// Pieces of work that have not ended.
    pub open: u64,
}

/// Work that a caller wants to have accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeferredRequest {
    /// The service that runs it.
    pub service: SharedName,
    /// The id, unique within the service. The same id is accepted once.
    pub id: SharedName,
    /// The digest of the request, under which it is in the object store.
    pub payload: SharedName,
    /// Whether it may run more than once.
    pub idempotent: bool,
}

/// Safeguards of deferred work. A test turns one off to show that its checks detect the fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DeferredGuards {
    /// An outcome is stored only if the row still has the version of its lease.
    pub fencing: bool,
    /// Work that is not idempotent is not leased again after its lease has expired.
    pub no_rerun: bool,
}

/// Parameters of deferred work.
#[derive(Clone, Copy, Debug)]
pub struct DeferredTuning {
    /// The most pieces of work of one service that have not ended.
    pub open_limit: u64,
    /// How long a lease is valid without a renewal.
    pub lease_span: ClockSpan,
    /// The most leases of one piece of work.
    pub lease_limit: u64,
    /// How long ended work can be looked up.
    pub retention: ClockSpan,
    /// The safeguards.
    pub guards: DeferredGuards,
}

impl Default for DeferredTuning {
    fn default() -> Self {
        Self {
            open_limit: 1000,
            lease_span: ClockSpan::from_secs(30),
            lease_limit: 5,
            retention: ClockSpan::from_secs(7 * 24 * 3600),
            guards: DeferredGuards { fencing: true, no_rerun: true },
        }
    }
}

/// Why work was not accepted.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum AcceptRefusal {
    /// The queue of the service is full.
    #[snafu(display("the queue of the service is full; repeat the request later"))]
    Full,
    /// The id was used for other work.
    #[snafu(display("the id was used for another request; use a new id"))]
    OtherPayload,
    /// The work could not be stored, or it is not known whether it was.
    #[snafu(display("the request was not confirmed as stored; repeat it with the same id"))]
    NotStored,
}

/// How a run of the work ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DeferredOutcome {
    /// It ran to its end.
    Finished(AnswerRow),
    /// It is proven not to have run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// The decision on a request to accept work.
#[derive(Clone, Debug, PartialEq)]
pub enum AcceptDecision {
    /// Store it.
    Write(Vec<RowWrite>),
    /// It is stored already, in this state.
    Duplicate(DeferredState),
    /// Refuse it.
    Refuse(AcceptRefusal),
}

/// The decision on a piece of work that was found in the queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkDecision {
    /// Write this row to lease it.
    Lease(DeferredRow),
    /// End it with this row.
    End(DeferredRow),
    /// Do nothing: another VM holds the lease, or the work has ended.
    Leave,
}

impl DeferredRow {
    /// Returns the key of a piece of work.
    pub fn key(service: &str, id: &str) -> SharedName {
        SharedName::from(format!("{service}/{id}"))
    }

    /// Returns the row key of the work in `table`.
    pub fn row_key(&self, table: &str) -> RowKey {
        RowKey::new(table, &Self::key(&self.service, &self.id))
    }

    /// Returns the JSON value of the row.
    pub fn to_value(&self) -> Value {
        serde_json::to_value(self).unwrap_or_default()
    }

    /// Decodes a row that was read, or returns `None` if it is not deferred work.
    pub fn from_value(value: &Value) -> Option<Self> {
        Self::deserialize(value).ok()
    }

    fn with_state(&self, state: DeferredState) -> Self {
        Self { state, ..self.clone() }
    }
}

fn count_of(entry: Option<&RowEntry>) -> (RowExpect, DeferredCount) {
    match entry {
        Some(entry) => {
            let count = DeferredCount::deserialize(&entry.value).unwrap_or_default();
            (RowExpect::Version(entry.version), count)
        }
        None => (RowExpect::Absent, DeferredCount::default()),
    }
}

fn count_write(service: &str, expect: RowExpect, open: u64) -> RowWrite {
    let value = serde_json::to_value(DeferredCount { open }).unwrap_or_default();
    RowWrite::put(&RowKey::new(DEFERRED_COUNT_TABLE, service), expect, value)
}

/// Decides whether to accept work. `found` is the row with its id, of open or ended work, `count`
/// the row that counts the open work of the service, and `at_ms` the current time in milliseconds
/// since the Unix epoch.
pub fn accept(
    request: &DeferredRequest,
    found: Option<&DeferredRow>,
    count: Option<&RowEntry>,
    tuning: &DeferredTuning,
    at_ms: u64,
) -> AcceptDecision {
    if let Some(row) = found {
        return if row.payload == request.payload {
            AcceptDecision::Duplicate(row.state.clone())
        } else {
            AcceptDecision::Refuse(AcceptRefusal::OtherPayload)
        };
    }
    let (expect, count) = count_of(count);
    if count.open >= tuning.open_limit {
        return AcceptDecision::Refuse(AcceptRefusal::Full);
    }
    let DeferredRequest { service, id, payload, idempotent } = request.clone();
    let state = DeferredState::Queued;
    let row = DeferredRow { service, id, payload, idempotent, at_ms, token: 0, state };
    AcceptDecision::Write(vec![
        RowWrite::put(&row.row_key(DEFERRED_TABLE), RowExpect::Absent, row.to_value()),
        count_write(&row.service, expect, count.open + 1),
    ])
}

/// Decides whether `vm` leases a piece of work whose row has been the same for `unchanged_for`.
pub fn plan_lease(
    row: &DeferredRow,
    unchanged_for: ClockSpan,
    vm: &VmIdentity,
    tuning: &DeferredTuning,
) -> WorkDecision {
    let expired = unchanged_for > tuning.lease_span;
    match row.state {
        DeferredState::Queued => WorkDecision::Lease(leased(row, vm)),
        DeferredState::Leased { .. } if !expired => WorkDecision::Leave,
        DeferredState::Leased { .. } if !row.idempotent && tuning.guards.no_rerun => {
            WorkDecision::End(row.with_state(DeferredState::Unknown))
        }
        DeferredState::Leased { .. } if row.token >= tuning.lease_limit => {
            WorkDecision::End(row.with_state(DeferredState::Failed))
        }
        DeferredState::Leased { .. } => WorkDecision::Lease(leased(row, vm)),
        _ => WorkDecision::Leave,
    }
}

fn leased(row: &DeferredRow, vm: &VmIdentity) -> DeferredRow {
    let (vm, incarnation) = (vm.name.clone(), vm.incarnation);
    let state = DeferredState::Leased { vm, incarnation, renewals: 0 };
    DeferredRow { token: row.token + 1, ..row.with_state(state) }
}

/// Returns the row with its lease renewed.
pub fn renewed(row: &DeferredRow) -> DeferredRow {
    match &row.state {
        DeferredState::Leased { vm, incarnation, renewals } => {
            let (vm, incarnation, renewals) = (vm.clone(), *incarnation, renewals + 1);
            row.with_state(DeferredState::Leased { vm, incarnation, renewals })
        }
        _ => row.clone(),
    }
}

/// Returns the row of a piece of work after a run: queued again or ended.
pub fn finished_row(
    row: &DeferredRow,
    outcome: DeferredOutcome,
    tuning: &DeferredTuning,
) -> DeferredRow {
    let again = row.token < tuning.lease_limit;
    let state = match outcome {
        DeferredOutcome::Finished(answer) => DeferredState::Done(answer),
        DeferredOutcome::NotRun if again => DeferredState::Queued,
        DeferredOutcome::Unknown if again && row.idempotent => DeferredState::Queued,
        DeferredOutcome::Unknown if !row.idempotent => DeferredState::Unknown,
        DeferredOutcome::NotRun | DeferredOutcome::Unknown => DeferredState::Failed,
    };
    row.with_state(state)
}

/// Returns the writes that store a run's outcome under the lease with the row version `version`.
pub fn outcome_writes(
    row: &DeferredRow,
    version: u64,
    count: Option<&RowEntry>,
    tuning: &DeferredTuning,
) -> Vec<RowWrite> {
    let expect = if tuning.guards.fencing { RowExpect::Version(version) } else { RowExpect::Any };
    let row_key = row.row_key(DEFERRED_TABLE);
    if row.state == DeferredState::Queued {
        return vec![RowWrite::put(&row_key, expect, row.to_value())];
    }
    let (count_expect, count) = count_of(count);
    vec![
        RowWrite::delete(&row_key, expect),
        RowWrite::put(&row.row_key(DEFERRED_DONE_TABLE), RowExpect::Any, row.to_value()),
        count_write(&row.service, count_expect, count.open.saturating_sub(1)),
    ]
}

/// Measures how long rows have been unchanged, from the times at which this VM read them. The
/// expiry of a lease is measured with this VM's clock, because the clocks of VMs need not agree.
#[derive(Clone, Debug, Default)]
pub struct LeaseWatch {
    seen: HashMap<SharedName, (u64, ClockTime)>,
}

impl LeaseWatch {
    /// Records the version of a row and returns for how long it has been the same.
    pub fn observe(&mut self, key: &SharedName, version: u64, now: ClockTime) -> ClockSpan {
        let seen = self.seen.entry(key.clone()).or_insert((version, now));
        if seen.0 != version {
            *seen = (version, now);
        }
        now.since(seen.1)
    }

    /// Removes the rows with `prefix` that are not among `keys`.
    pub fn retain(&mut self, prefix: &str, keys: &[SharedName]) {
        self.seen.retain(|key, _| !key.starts_with(prefix) || keys.contains(key));
    }
}
