//! The table of all upstreams, which the workers of a VM share.

use std::fmt;
use std::sync::Arc;

use arc_swap::ArcSwap;
use base::prelude::*;
use world::prelude::*;

use crate::cold::ColdUsers;
use crate::notice::UpstreamNotice;
use crate::outcome::{CallOutcome, CallResult, LoadReport, LoadStatus};
use crate::policy::ChoicePolicy;
use crate::record::UpstreamRecord;
use crate::refusal::NoUpstream;
use crate::remote::RemoteTuning;
use crate::rendezvous;
use crate::service::{RecordKey, ServiceState, ServiceTable};
use crate::shortlist::ShortlistEntry;
use crate::tuning::RouteTuning;
use crate::view::ChoiceEvidence;

/// Services and upstreams by name. Replaced as a whole, so that calls look up names without a lock.
#[derive(Debug, Default)]
struct TableSnapshot {
    version: u64,
    services: NameMap<Arc<ServiceTable>>,
    upstreams: NameMap<SnapshotEntry>,
}

/// The service of an upstream, and the limits of its connections.
#[derive(Clone, Debug)]
struct SnapshotEntry {
    service: Arc<ServiceTable>,
    connections: u32,
    vm_ceiling: u32,
}

/// A VM's evidence on all upstreams and its calls in flight to them.
///
/// Each service has its own lock of rank [`LockRank::UpstreamTable`].
#[derive(Debug)]
pub struct UpstreamTable {
    centre: SharedName,
    vm_seed: u64,
    tuning: RouteTuning,
    snapshot: ArcSwap<TableSnapshot>,
    cold_users: ArcSwap<ColdUsers>,
    remote_tuning: Option<RemoteTuning>,
}

impl UpstreamTable {
    /// Returns an empty table for a VM in the data centre `centre`.
    pub fn new(centre: SharedName) -> Self {
        let vm_seed = rendezvous::name_seed(&centre);
        let snapshot = ArcSwap::from_pointee(TableSnapshot::default());
        let cold_users = ArcSwap::default();
        let tuning = RouteTuning::STANDARD;
        Self { centre, vm_seed, tuning, snapshot, cold_users, remote_tuning: None }
    }

    /// Sets the name of the VM, which determines its order of preference among upstreams and the
    /// jitter of its ejections. Call it before [`apply`](Self::apply).
    #[must_use]
    pub fn with_vm(mut self, vm: &str) -> Self {
        self.vm_seed = rendezvous::name_seed(vm);
        self
    }

    /// Sets the parameters. Call it before [`apply`](Self::apply).
    #[must_use]
    pub fn with_tuning(mut self, tuning: RouteTuning) -> Self {
        self.tuning = tuning;
        self
    }

    /// Lets calls leave the data centre of this VM only if that pays, instead of by the cost of each
    /// upstream alone. Call it before [`apply`](Self::apply).
    #[must_use]
    pub fn with_remote(mut self, tuning: Option<RemoteTuning>) -> Self {
        self.remote_tuning = tuning;
        self
    }

    /// Applies a version of the environment: adds and removes upstreams and keeps the evidence on
    /// those that stay. A version older than the present one is ignored.
    pub fn apply(&self, map: &EnvironmentMap, now: ClockTime) {
        let before = self.snapshot.rcu(|old| {
            if old.version > map.version {
                Arc::clone(old)
            } else {
                Arc::new(self.next_snapshot(old, map, now))
            }
        });
        for service in before.services.values() {
            let mut state = service.state.lock();
            state.apply(&service.name, map, &self.centre, self.vm_seed, now);
        }
    }

    /// Sets the live VMs, this one included, among which the users of each cold upstream are chosen.
    pub fn set_cold_users(&self, users: ColdUsers) {
        if **self.cold_users.load() == users {
            return;
        }
        let users = Arc::new(users);
        self.cold_users.store(Arc::clone(&users));
        for service in self.snapshot.load().services.values() {
            service.state.lock().set_cold_users(&users);
        }
    }

    /// Records the rest of the warm-up that `upstream` reported. Unknown upstreams are ignored.
    pub fn record_warm_up(&self, upstream: &str, rest: ClockSpan, now: ClockTime) {
        if let Some(entry) = self.snapshot.load().upstreams.get(upstream) {
            entry.service.state.lock().record_warm_up(upstream, rest, now);
        }
    }

    fn next_snapshot(
        &self,
        old: &TableSnapshot,
        map: &EnvironmentMap,
        now: ClockTime,
    ) -> TableSnapshot {
        let mut next = TableSnapshot { version: map.version, ..TableSnapshot::default() };
        for (name, servers) in &map.upstreams {
            let known = old.services.get(name).map(Arc::clone);
            let service = known.unwrap_or_else(|| self.new_service(name, map, now));
            let vm_ceiling = map.contract(name).map_or(1, |contract| contract.vm_ceiling);
            for server in servers {
                let connections = server.connections;
                let entry =
                    SnapshotEntry { service: Arc::clone(&service), connections, vm_ceiling };
                next.upstreams.insert(server.name.clone(), entry);
            }
            next.services.insert(name.clone(), service);
        }
        for (name, service) in &old.services {
            if !next.services.contains_key(name) && service.state.lock().has_calls_in_flight() {
                next.services.insert(name.clone(), Arc::clone(service));
            }
        }
        next
    }

    fn new_service(
        &self,
        name: &SharedName,
        map: &EnvironmentMap,
        now: ClockTime,
    ) -> Arc<ServiceTable> {
        let seed = rendezvous::score(self.vm_seed, name);
        let mut state = ServiceState::new(self.tuning, seed);
        state.remote_tuning = self.remote_tuning;
        state.apply(name, map, &self.centre, self.vm_seed, now);
        state.set_cold_users(&self.cold_users.load_full());
        Arc::new(ServiceTable::new(name.clone(), state))
    }

    /// Chooses an upstream of `service` and reserves a slot on it. Upstreams in `excluded` are
    /// chosen only if no other one is usable.
    ///
    /// # Errors
    ///
    /// Fails if no upstream can take the call now. After [`NoUpstream::AllFull`], the call can be
    /// queued for a slot.
    pub fn reserve<P: ChoicePolicy>(
        &self,
        policy: &P,
        service: &str,
        excluded: &[SharedName],
        now: ClockTime,
        random: &mut RandomSource,
    ) -> Result<UpstreamReservation, NoUpstream> {
        let snapshot = self.snapshot.load();
        let Some(table) = snapshot.services.get(service) else {
            return Err(NoUpstream::NoneConfigured { service: SharedName::from(service) });
        };
        let (key, server, evidence) =
            table.state.lock().reserve(policy, &table.name, excluded, now, random)?;
        Ok(UpstreamReservation { table: Some(Arc::clone(table)), key, server, evidence })
    }

    /// Returns the best `count` upstreams of `service` in order, chosen one after the other by the
    /// same rules as in [`reserve`](Self::reserve) but without a reservation. A service without a
    /// usable upstream yields no entry.
    pub fn shortlist<P: ChoicePolicy>(
        &self,
        policy: &P,
        service: &str,
        excluded: &[SharedName],
        count: usize,
        now: ClockTime,
        random: &mut RandomSource,
    ) -> Vec<ShortlistEntry> {
        let snapshot = self.snapshot.load();
        let Some(table) = snapshot.services.get(service) else { return Vec::new() };
        table.state.lock().shortlist(policy, excluded, count, now, random)
    }

    /// Returns whether `service` has usable upstreams and all of them are full.
    pub fn is_full(&self, service: &str, excluded: &[SharedName], now: ClockTime) -> bool {
        let snapshot = self.snapshot.load();
        let table = snapshot.services.get(service);
        table.is_some_and(|table| table.state.lock().is_full(excluded, now))
    }

    /// Releases a reservation and records how the call ended.
    pub fn finish(
        &self,
        mut reservation: UpstreamReservation,
        outcome: CallOutcome,
        now: ClockTime,
    ) {
        if let Some(table) = reservation.table.take() {
            table.state.lock().finish(reservation.key, &outcome, now);
        }
    }

    /// Applies a load report and its drain flag from a response, a probe or a peer. Reports on
    /// unknown upstreams are ignored.
    pub fn observe(&self, upstream: &str, report: LoadReport, now: ClockTime) {
        if let Some(entry) = self.snapshot.load().upstreams.get(upstream) {
            entry.service.state.lock().observe(upstream, report, now);
        }
    }

    /// Records a result without a reservation, such as the refused connection of a health check.
    /// The result counts like that of a call of this VM, also towards ejection, but not as a
    /// contact with the server. Results of unknown upstreams are ignored.
    pub fn record_result(&self, upstream: &str, result: CallResult, now: ClockTime) {
        if let Some(entry) = self.snapshot.load().upstreams.get(upstream) {
            entry.service.state.lock().record_result(upstream, result, now);
        }
    }

    /// Records that an incarnation of `upstream` drains until it ends. From now on it gets no calls.
    /// Returns whether this is new. Unknown upstreams and other incarnations are ignored.
    pub fn record_final_drain(&self, upstream: &str, incarnation: u64) -> bool {
        let snapshot = self.snapshot.load();
        let Some(entry) = snapshot.upstreams.get(upstream) else { return false };
        entry.service.state.lock().record_final_drain(upstream, incarnation)
    }

    /// Records that `upstream` wants no requests from this VM for `span`. Unknown upstreams are
    /// ignored.
    pub fn record_pause(&self, upstream: &str, span: ClockSpan, now: ClockTime) {
        if let Some(entry) = self.snapshot.load().upstreams.get(upstream) {
            entry.service.state.lock().record_pause(upstream, span, now);
        }
    }

    /// Returns the freshest load report of `upstream` in the form in which a waiting call needs it.
    pub fn load_status(&self, upstream: &str) -> Option<LoadStatus> {
        let snapshot = self.snapshot.load();
        let entry = snapshot.upstreams.get(upstream)?;
        entry.service.state.lock().load_status(upstream)
    }

    /// Returns whether `upstream` may be sent a request of this VM's own, which it may not while it
    /// drains for good or has asked for a pause. Unknown upstreams may.
    pub fn accepts_checks(&self, upstream: &str, now: ClockTime) -> bool {
        let snapshot = self.snapshot.load();
        let entry = snapshot.upstreams.get(upstream);
        entry.is_none_or(|entry| entry.service.state.lock().accepts_checks(upstream, now))
    }

    /// Records that `upstream` did not answer a probe in time. This counts until data arrives
    /// directly from it again. Unknown upstreams are ignored.
    pub fn record_probe_timeout(&self, upstream: &str, now: ClockTime) {
        if let Some(entry) = self.snapshot.load().upstreams.get(upstream) {
            entry.service.state.lock().record_probe_timeout(upstream, now);
        }
    }

    /// Returns at most `limit` notices for other VMs: first those of draining upstreams, then those
    /// that were exported longest ago.
    pub fn export(&self, now: ClockTime, limit: usize) -> Vec<UpstreamNotice> {
        let snapshot = self.snapshot.load();
        let mut notices = Vec::new();
        for service in snapshot.services.values() {
            let state = service.state.lock();
            let listed = state.records.iter().filter(|record| record.listed);
            notices.extend(listed.filter_map(|record| {
                let notice = record.notice(now, &state.tuning)?;
                Some((!notice.draining, record.exported_at, notice))
            }));
        }
        notices.sort_by(|first, second| {
            let order = (first.0, first.1).cmp(&(second.0, second.1));
            order.then_with(|| first.2.upstream.cmp(&second.2.upstream))
        });
        notices.truncate(limit);
        let notices: Vec<_> = notices.into_iter().map(|(_, _, notice)| notice).collect();
        for notice in &notices {
            if let Some(entry) = snapshot.upstreams.get(&notice.upstream) {
                entry.service.state.lock().record_export(&notice.upstream, now);
            }
        }
        notices
    }

    /// Accepts a peer's evidence where it is fresher than this VM's.
    pub fn merge(&self, notice: &UpstreamNotice, now: ClockTime) {
        if let Some(entry) = self.snapshot.load().upstreams.get(&notice.upstream) {
            entry.service.state.lock().merge(notice, now);
        }
    }

    /// Returns how many connections this VM may open to `upstream`: a fair share of those that the
    /// server allows, and at least one.
    pub fn connection_share(&self, upstream: &str, vm_count: u32) -> u32 {
        let snapshot = self.snapshot.load();
        let Some(entry) = snapshot.upstreams.get(upstream) else { return 1 };
        (entry.connections / vm_count.max(entry.vm_ceiling).max(1)).max(1)
    }

    /// Returns the state of every upstream, sorted by service and name, for metrics and operators.
    pub fn states(&self, now: ClockTime) -> Vec<UpstreamState> {
        let snapshot = self.snapshot.load();
        let mut states = Vec::new();
        for service in snapshot.services.values() {
            let state = service.state.lock();
            let listed = state.records.iter().filter(|record| record.listed);
            states.extend(listed.map(|record| UpstreamState::new(record, now, &state.tuning)));
        }
        states.sort_by(|first, second| {
            (&first.service, &first.upstream).cmp(&(&second.service, &second.upstream))
        });
        states
    }
}

/// The state of one upstream as this VM knows it, for metrics and operators.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamState {
    /// The service.
    pub service: SharedName,
    /// The upstream.
    pub upstream: SharedName,
    /// Calls of this VM in flight.
    pub own_in_flight: u32,
    /// Whether it gets no new calls because of failures.
    pub ejected: bool,
    /// Whether it gets no new calls because it is draining.
    pub draining: bool,
    /// Whether it gets no new calls because it asked this VM for a pause.
    pub paused: bool,
    /// Share of its normal calls that it may get, below 1.0 during its slow start.
    pub ramp: f64,
    /// Share of failures among recent outcomes, biased towards zero while there are few.
    pub failure_rate: f64,
    /// Decaying mean of the latency of calls without the round trip, in milliseconds.
    pub latency_ms: f64,
    /// Decaying peak of that latency, in milliseconds.
    pub tail_ms: f64,
    /// Calls of all VMs at the server, running or queued, in the freshest load report.
    pub reported_calls: Option<f64>,
}

impl UpstreamState {
    fn new(record: &UpstreamRecord, now: ClockTime, tuning: &RouteTuning) -> Self {
        Self {
            service: record.server.service.clone(),
            upstream: record.server.name.clone(),
            own_in_flight: record.own_in_flight(),
            ejected: record.health.is_ejected(now),
            draining: record.is_draining(now, tuning),
            paused: record.paused_for(now).is_some(),
            ramp: record.health.ramp(now, tuning),
            failure_rate: record.health.failure_rate(),
            latency_ms: record.latency_ms(),
            tail_ms: record.tail_ms(),
            reported_calls: record.reported_calls(),
        }
    }
}

/// A reserved slot on an upstream, for one call.
///
/// A reservation that is dropped without [`UpstreamTable::finish`] releases the slot and records no
/// outcome. Dropping it locks the service, so no lock of the same or a higher rank may be held
/// then.
pub struct UpstreamReservation {
    table: Option<Arc<ServiceTable>>,
    key: RecordKey,
    server: Arc<UpstreamServer>,
    evidence: ChoiceEvidence,
}

impl UpstreamReservation {
    /// Returns what this VM knew about the upstream when it chose it.
    pub fn evidence(&self) -> &ChoiceEvidence {
        &self.evidence
    }

    /// Returns the server to call.
    pub fn server(&self) -> &Arc<UpstreamServer> {
        &self.server
    }

    /// Returns the name of the upstream.
    pub fn upstream(&self) -> &SharedName {
        &self.server.name
    }
}

impl Drop for UpstreamReservation {
    fn drop(&mut self) {
        if let Some(table) = self.table.take() {
            table.state.lock().release(self.key);
        }
    }
}

impl fmt::Debug for UpstreamReservation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("UpstreamReservation").field("upstream", &self.server.name).finish()
    }
}
