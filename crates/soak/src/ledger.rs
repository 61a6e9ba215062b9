//! Records what callers and upstreams observed, and finds the promises that were broken.
//!
//! A ledger performs no I/O and reads no clock. The checks compare counts and order; the bounds of
//! drains and of the configuration are the only limits in time among them.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use base::prelude::*;

use crate::disruption::{DisruptedPart, DisruptionLog};
use crate::setup::ROUTE_TIMEOUT;

/// No call reaches an upstream later than this after it started to drain (section 1.2 of
/// docs/platform-deployment.md).
pub const DRAIN_BOUND: ClockSpan = ClockSpan::from_secs(2);
/// A VM applies a version of the configuration within this time after the store has acknowledged it
/// (section 1.2 of docs/platform-deployment.md).
pub const CONFIG_BOUND: ClockSpan = ClockSpan::from_secs(2);
/// Limits in time are checked on a VM only after this time without a disruption (section 1.2 of
/// docs/platform-deployment.md).
pub const STABLE_WINDOW: ClockSpan = ClockSpan::from_secs(3);
/// Calls that start less than this after a disruption count as affected by it: proxies and
/// stand-ins apply a fault, or its end, some milliseconds after it was recorded.
pub const FAULT_MARGIN: ClockSpan = ClockSpan::from_millis(500);
/// Statuses that state that a call was not run and never will be (rule 3 in
/// docs/platform-deployment.md).
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// One gateway process of a VM.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ProcessId {
    /// The index of the VM.
    pub vm: usize,
    /// The number of the process on its VM, from 1.
    pub incarnation: u32,
}

impl fmt::Display for ProcessId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "vm-{}.{}", self.vm, self.incarnation)
    }
}

/// A kind of call. The details of broken promises contain the names of the variants.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// An idempotent call.
    Look,
    /// A non-idempotent call.
    Book,
    /// An idempotent call whose request to the upstream shows the version of the configuration that
    /// the gateway applies.
    Mark,
    /// An idempotent call with a long answer, which the gateway forwards while it arrives.
    Bulk,
}

/// A call that a caller sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SentCall {
    /// The process that accepted its connection.
    pub process: ProcessId,
    /// The kind of the call.
    pub kind: CallKind,
    /// Whether the call is the first one on its connection.
    pub new_connection: bool,
}

/// A complete answer. The details of broken promises contain its `Debug` output.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SeenAnswer {
    /// The HTTP status.
    pub status: u16,
    /// Whether the answer has the id of the call, and a success also the nonce of the call.
    pub own: bool,
    /// Whether an upstream signed the answer.
    pub signed: bool,
    /// Whether the body has the length and content that upstreams send with a success.
    pub whole: bool,
}

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerOutcome {
    /// The caller got an answer with complete framing.
    Answered(SeenAnswer),
    /// The connection ended without a complete answer.
    Lost,
    /// The connection could not be opened.
    Unsent,
    /// The caller gave up after its timeout.
    TimedOut,
}

/// What one upstream observed of a call.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestObservation {
    /// The number of times that the request of the call arrived.
    pub arrivals: u32,
    /// The number of times that the request was run.
    pub runs: u32,
    /// The version of the configuration that the request shows.
    pub version: Option<u64>,
    /// For each arrival while the upstream was draining, the time since the start of the drain.
    pub drain_ages: Vec<ClockSpan>,
}

/// A promise to callers, upstreams or operators. Reports contain the names of the variants.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Promise {
    /// A caller gets the complete answer to its own call, or an error.
    OwnAnswer,
    /// A non-idempotent call runs at most once.
    AtMostOnce,
    /// A call whose answer states that it was not run was not run.
    NotRun,
    /// A draining upstream gets no new call after the drain bound.
    Drain,
    /// A graceful shutdown interrupts no call, and the process exits by itself with success.
    GracefulStop,
    /// A process never goes back to an older version of the configuration.
    VersionOrder,
    /// A VM applies a version of the configuration within its bound.
    VersionInTime,
    /// A process exits by itself only after SIGTERM.
    StaysUp,
}

/// A promise that was broken.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct BrokenPromise {
    /// The promise.
    pub promise: Promise,
    /// What was observed, with the call or process.
    pub detail: String,
}

impl fmt::Display for BrokenPromise {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}: {}", self.promise, self.detail)
    }
}

#[derive(Clone, Debug)]
struct CallRecord {
    call: SentCall,
    sent: ClockTime,
    outcome: Option<(ClockTime, CallerOutcome)>,
    /// What each upstream observed, by its index.
    observations: BTreeMap<usize, RequestObservation>,
}

impl CallRecord {
    fn runs(&self) -> u32 {
        self.observations.values().map(|observation| observation.runs).sum()
    }

    fn arrivals(&self) -> u32 {
        self.observations.values().map(|observation| observation.arrivals).sum()
    }

    fn version(&self) -> Option<u64> {
        self.observations.values().find_map(|observation| observation.version)
    }

    fn ended_at(&self) -> ClockTime {
        self.outcome.map_or(ClockTime::MAX, |(at, _)| at)
    }
}

/// A graceful shutdown of a process.
#[derive(Clone, Copy, Debug)]
struct StopRecord {
    signalled_at: ClockTime,
    /// Whether the process exited with success; `None` if it has not exited by itself.
    exit_success: Option<bool>,
    /// Whether the process was killed before it exited by itself.
    was_killed: bool,
}

/// A drain of an upstream.
#[derive(Clone, Copy, Debug)]
struct DrainRecord {
    upstream: usize,
    started_at: ClockTime,
    /// When the store acknowledged the row that shows the drain.
    acknowledged_at: ClockTime,
}

/// A write of the configuration.
#[derive(Clone, Copy, Debug)]
struct VersionRecord {
    version: u64,
    acknowledged_at: ClockTime,
}

/// Counts of calls, for the verdict line of a run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LedgerCounts {
    /// All calls.
    pub calls: usize,
    /// Calls with a success status.
    pub served: usize,
    /// Calls with a complete answer and another status.
    pub refused: usize,
    /// Calls without a complete answer.
    pub lost: usize,
}

/// The calls, drains, process stops and disruptions of a run.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// The parts that faults disrupted, with the times.
    pub disruptions: DisruptionLog,
    calls: HashMap<SharedName, CallRecord>,
    stops: BTreeMap<ProcessId, StopRecord>,
    drains: Vec<DrainRecord>,
    /// The writes of the configuration, in their order.
    versions: Vec<VersionRecord>,
    /// Broken promises that were recorded during the run, not found by comparing records.
    recorded_broken: Vec<BrokenPromise>,
}

impl Ledger {
    /// Records that a call is about to be sent.
    pub fn record_sent(&mut self, id: SharedName, call: SentCall, now: ClockTime) {
        let record = CallRecord { call, sent: now, outcome: None, observations: BTreeMap::new() };
        self.calls.insert(id, record);
    }

    /// Records how a call ended for its caller.
    pub fn record_outcome(&mut self, id: &str, outcome: CallerOutcome, now: ClockTime) {
        if let Some(record) = self.calls.get_mut(id) {
            record.outcome = Some((now, outcome));
        }
    }

    /// Records all that an upstream has observed of a call so far. Ignores calls that were not
    /// recorded as sent, such as health checks.
    pub fn record_observation(
        &mut self,
        upstream: usize,
        id: &str,
        observation: RequestObservation,
    ) {
        if let Some(record) = self.calls.get_mut(id) {
            record.observations.insert(upstream, observation);
        }
    }

    /// Records that an upstream started to drain, and when the store acknowledged its row.
    pub fn record_drain(
        &mut self,
        upstream: usize,
        started_at: ClockTime,
        acknowledged_at: ClockTime,
    ) {
        self.drains.push(DrainRecord { upstream, started_at, acknowledged_at });
    }

    /// Records that the store has acknowledged a version of the configuration.
    pub fn record_version(&mut self, version: u64, acknowledged_at: ClockTime) {
        self.versions.push(VersionRecord { version, acknowledged_at });
    }

    /// Records that a process is about to get SIGTERM.
    pub fn record_stop(&mut self, process: ProcessId, now: ClockTime) {
        let record = StopRecord { signalled_at: now, exit_success: None, was_killed: false };
        self.stops.insert(process, record);
    }

    /// Records that a process is about to be killed.
    pub fn record_kill(&mut self, process: ProcessId) {
        if let Some(stop) = self.stops.get_mut(&process) {
            stop.was_killed |= stop.exit_success.is_none();
        }
    }

    /// Records that a process has exited by itself, and whether with success.
    pub fn record_exit(&mut self, process: ProcessId, success: bool) {
        match self.stops.get_mut(&process) {
            Some(stop) => stop.exit_success = Some(success),
            None => {
                self.record_broken(Promise::StaysUp, format!("{process} ended without being told"))
            }
        }
    }

    /// Records that a process has not exited long after the time limit of its shutdown.
    pub fn record_no_exit(&mut self, process: ProcessId) {
        self.record_broken(Promise::GracefulStop, format!("{process} does not end"));
    }

    fn record_broken(&mut self, promise: Promise, detail: String) {
        self.recorded_broken.push(BrokenPromise { promise, detail });
    }

    /// Returns counts over all calls.
    pub fn counts(&self) -> LedgerCounts {
        let mut counts = LedgerCounts { calls: self.calls.len(), ..LedgerCounts::default() };
        for record in self.calls.values() {
            match record.outcome {
                Some((_, CallerOutcome::Answered(answer))) if is_success(answer.status) => {
                    counts.served += 1;
                }
                Some((_, CallerOutcome::Answered(_))) => counts.refused += 1,
                _ => counts.lost += 1,
            }
        }
        counts
    }

    /// Returns every promise that was broken so far, in a fixed order.
    pub fn broken_promises(&self) -> Vec<BrokenPromise> {
        let mut broken = self.recorded_broken.clone();
        for (id, record) in &self.calls {
            let mut add = |promise, found: Option<String>| {
                let detail = found.map(|what| format!("{id} {:?} {what}", record.call.kind));
                broken.extend(detail.map(|detail| BrokenPromise { promise, detail }));
            };
            add(Promise::OwnAnswer, foreign_answer(record));
            add(Promise::AtMostOnce, repeated_run(record));
            add(Promise::NotRun, false_refusal(record));
            add(Promise::Drain, self.late_arrival(record));
            add(Promise::GracefulStop, self.interrupted_call(record));
            add(Promise::VersionInTime, self.late_version(record));
        }
        broken.extend(self.failed_stops());
        broken.extend(self.version_regressions());
        broken.sort();
        broken
    }

    fn late_arrival(&self, record: &CallRecord) -> Option<String> {
        let vm = record.call.process.vm;
        for (upstream, observation) in &record.observations {
            let parts = [
                DisruptedPart::Store,
                DisruptedPart::StoreLink(vm),
                DisruptedPart::UpstreamLink(*upstream),
                DisruptedPart::SlowLink(*upstream),
                DisruptedPart::Paused(vm),
                DisruptedPart::Starting(vm),
                DisruptedPart::Machine,
            ];
            for age in &observation.drain_ages {
                // The drain during which the call arrived.
                let is_current = |drain: &&DrainRecord| {
                    drain.upstream == *upstream
                        && drain.started_at + *age + FAULT_MARGIN >= record.sent
                };
                let Some(drain) = self.drains.iter().find(is_current) else { continue };
                let arrived = drain.started_at + *age;
                let from = drain.acknowledged_at;
                let bound = self.disruptions.extend_bound(&parts, from, DRAIN_BOUND, STABLE_WINDOW);
                if arrived > bound {
                    return Some(format!("reached upstream {upstream}, leaving for {age}"));
                }
            }
        }
        None
    }

    /// Describes a call that a VM handled by an older version than the one that it must have applied.
    fn late_version(&self, record: &CallRecord) -> Option<String> {
        let (vm, handled) = (record.call.process.vm, record.version()?);
        let is_due = |write: &&VersionRecord| write.acknowledged_at + CONFIG_BOUND < record.sent;
        let due = self.versions.iter().rfind(is_due)?;
        // VMs that start after an older version was written cannot know the newer one.
        let is_overwritten = self.versions.iter().any(|write| {
            write.acknowledged_at > due.acknowledged_at && write.version < due.version
        });
        let parts = [
            DisruptedPart::Store,
            DisruptedPart::StoreLink(vm),
            DisruptedPart::Paused(vm),
            DisruptedPart::Starting(vm),
            DisruptedPart::Machine,
        ];
        let is_calm = !self.disruptions.overlaps(&parts, record.sent, record.sent, STABLE_WINDOW);
        let age = record.sent.since(due.acknowledged_at);
        (handled < due.version && is_calm && !is_overwritten)
            .then(|| format!("shows version {handled}, {age} after version {}", due.version))
    }

    /// Describes the interruption of a call that a stopping process accepted and did not answer.
    fn interrupted_call(&self, record: &CallRecord) -> Option<String> {
        let process = record.call.process;
        let stop = self.stops.get(&process)?;
        let (ended, CallerOutcome::Lost) = record.outcome? else { return None };
        if stop.was_killed || ended < stop.signalled_at {
            return None;
        }
        // A call on a reused connection that never arrived may have been sent while the process
        // closed the idle connection. New connections are accepted at least until SIGTERM.
        let is_accepted = record.arrivals() > 0
            || (record.call.new_connection && record.sent < stop.signalled_at);
        let mut parts = vec![
            DisruptedPart::CallerLink(process.vm),
            DisruptedPart::Paused(process.vm),
            DisruptedPart::Machine,
        ];
        if record.call.kind == CallKind::Bulk {
            if ended.since(record.sent) >= ROUTE_TIMEOUT {
                return None;
            }
            // A long answer is forwarded while it arrives, so a fault of the upstream cuts it off.
            for upstream in record.observations.keys() {
                parts.push(DisruptedPart::Upstream(*upstream));
                parts.push(DisruptedPart::UpstreamLink(*upstream));
            }
        }
        let is_exempt = self.disruptions.overlaps(&parts, record.sent, ended, FAULT_MARGIN);
        (is_accepted && !is_exempt).then(|| {
            let since = ended.since(stop.signalled_at);
            format!("was interrupted {since} after {process} was told to stop")
        })
    }

    fn failed_stops(&self) -> impl Iterator<Item = BrokenPromise> {
        let failed = |stop: &StopRecord| stop.exit_success == Some(false) && !stop.was_killed;
        self.stops.iter().filter(move |(_, stop)| failed(stop)).map(|(process, _)| BrokenPromise {
            promise: Promise::GracefulStop,
            detail: format!("{process} did not report success at its end"),
        })
    }

    /// Returns the calls that a process handled with an older version than one of its earlier
    /// calls. An earlier call is one that had ended before the later one was sent.
    fn version_regressions(&self) -> Vec<BrokenPromise> {
        let mut versioned_calls: BTreeMap<ProcessId, Vec<(&SharedName, &CallRecord, u64)>> =
            BTreeMap::new();
        for (id, record) in &self.calls {
            let Some(version) = record.version() else { continue };
            versioned_calls.entry(record.call.process).or_default().push((id, record, version));
        }
        let mut broken = Vec::new();
        for (process, calls) in &versioned_calls {
            for (id, later, version) in calls {
                let before = calls.iter().filter(|(_, earlier, _)| earlier.ended_at() < later.sent);
                let newest_version = before.map(|(_, _, version)| *version).max();
                if newest_version.is_some_and(|newest_version| newest_version > *version) {
                    let newest_version = newest_version.unwrap_or_default();
                    let detail = format!("{id}: {process} fell from {newest_version} to {version}");
                    broken.push(BrokenPromise { promise: Promise::VersionOrder, detail });
                }
            }
        }
        broken
    }
}

fn is_success(status: u16) -> bool {
    (200..300).contains(&status)
}

fn foreign_answer(record: &CallRecord) -> Option<String> {
    let (_, CallerOutcome::Answered(answer)) = record.outcome? else { return None };
    let is_complete = answer.signed && answer.whole;
    let is_valid = answer.own && (is_complete || !is_success(answer.status));
    (!is_valid).then(|| format!("got {answer:?}"))
}

fn repeated_run(record: &CallRecord) -> Option<String> {
    let runs = record.runs();
    (record.call.kind == CallKind::Book && runs > 1).then(|| format!("ran {runs} times"))
}

fn false_refusal(record: &CallRecord) -> Option<String> {
    let (_, CallerOutcome::Answered(answer)) = record.outcome? else { return None };
    let runs = record.runs();
    let broken = NOT_RUN_STATUSES.contains(&answer.status) && runs > 0;
    broken.then(|| format!("got {} and ran {runs} times", answer.status))
}
