//! The evidence on all upstreams of one service, behind one lock.

use std::cmp::Reverse;
use std::sync::Arc;

use base::prelude::*;
use world::prelude::*;

use crate::cold::{self, ColdUsers};
use crate::estimate::DecayingMean;
use crate::notice::UpstreamNotice;
use crate::outcome::{CallOutcome, CallResult, LoadReport, LoadStatus};
use crate::record::{LoadSamples, UpstreamRecord};
use crate::remote::{RemoteLoad, RemoteShare, RemoteTuning};
use crate::rendezvous;
use crate::tuning::RouteTuning;
use crate::view::UpstreamView;

/// A service and its state. Service locks share one rank, so a thread holds one at a time.
#[derive(Debug)]
pub struct ServiceTable {
    pub name: SharedName,
    pub state: RankedMutex<ServiceState>,
}

impl ServiceTable {
    pub fn new(name: SharedName, state: ServiceState) -> Self {
        Self { name, state: RankedMutex::new(LockRank::UpstreamTable, state) }
    }
}

/// Identifies a reservation: the index of the record, the id that shows whether the record is still
/// at that index, and the time at which the call was sent.
#[derive(Clone, Copy, Debug)]
pub struct RecordKey {
    pub index: usize,
    pub id: u64,
    pub sent_at: ClockTime,
}

/// Means over the upstreams of a service, to which old evidence on one of them decays.
#[derive(Clone, Copy, Debug)]
pub struct ServiceMeans {
    /// Latency without the round trip in milliseconds, or 0.0 before the first call has ended.
    pub latency_ms: f64,
    /// Calls of other VMs for each slot.
    pub load: f64,
    /// Pace: service time relative to the usual one; 1.0 is usual, higher is slower.
    pub pace: f64,
}

/// The pace that is assumed before any server has reported its own.
const DEFAULT_PACE: f64 = 1.0;

/// For this long, an upstream that is added to a known service counts as cold if cold upstreams of
/// the service get few calls. The upstream reports that it is cold with its heartbeats, every 1.5 s;
/// at the end of an evacuation, it may have become cold since the last one.
const ADDED_COLD_TIME: ClockSpan = ClockSpan::from_secs(2);

/// The evidence on the upstreams of one service.
#[derive(Debug)]
pub struct ServiceState {
    pub tuning: RouteTuning,
    pub records: Vec<UpstreamRecord>,
    latency: DecayingMean,
    load: DecayingMean,
    pace: DecayingMean,
    /// The limit on calls to cold upstreams, in calls per second of all VMs together.
    cold_rate: Option<f64>,
    cold_users: Arc<ColdUsers>,
    /// The share of calls that leave the data centre, and its parameters if it is computed.
    pub remote: RemoteShare,
    pub remote_tuning: Option<RemoteTuning>,
    vm_seed: u64,
    random: RandomSource,
    next_id: u64,
    version: Option<u64>,
    /// Reused by each choice to avoid allocations.
    pub candidates: Vec<UpstreamView>,
    pub candidate_indexes: Vec<usize>,
}

impl ServiceState {
    pub fn new(tuning: RouteTuning, seed: u64) -> Self {
        Self {
            tuning,
            records: Vec::new(),
            latency: DecayingMean::default(),
            load: DecayingMean::default(),
            pace: DecayingMean::default(),
            cold_rate: None,
            cold_users: Arc::default(),
            remote: RemoteShare::default(),
            remote_tuning: None,
            vm_seed: 0,
            random: RandomSource::from_seed(seed),
            next_id: 0,
            version: None,
            candidates: Vec::new(),
            candidate_indexes: Vec::new(),
        }
    }

    /// Returns the means over the service's upstreams.
    pub fn means(&self) -> ServiceMeans {
        ServiceMeans {
            latency_ms: self.latency.value,
            load: self.load.value,
            pace: self.pace.value_or(DEFAULT_PACE),
        }
    }

    /// Returns whether calls to the service are in flight.
    pub fn has_calls_in_flight(&self) -> bool {
        self.records.iter().any(|record| record.own_in_flight() > 0)
    }

    /// Applies a version of the environment. Servers that are added to a known service begin a slow
    /// start; those of its first version do not.
    pub fn apply(
        &mut self,
        service: &str,
        map: &EnvironmentMap,
        centre: &str,
        vm_seed: u64,
        now: ClockTime,
    ) {
        if self.version.is_some_and(|version| version > map.version) {
            return;
        }
        let first = self.version.replace(map.version).is_none();
        self.cold_rate = map.contract(service).and_then(|contract| contract.cold_rate);
        self.vm_seed = vm_seed;
        for record in &mut self.records {
            record.listed = false;
        }
        for server in map.upstreams_of(service) {
            let index = self.upsert_record(server, first, now);
            let round_trip = map.round_trip(centre, &server.centre);
            self.records[index].round_trip = round_trip.unwrap_or(self.tuning.default_round_trip);
        }
        self.records.retain(|record| record.listed || record.own_in_flight() > 0);
        self.rank_preferences(vm_seed);
        self.choose_cold_users();
        self.readmit_excess(now);
        self.candidates.reserve(self.records.len());
        self.candidate_indexes.reserve(self.records.len());
    }

    /// Adds or updates the record of a server and returns its index. A server with another address
    /// or incarnation is a new one without evidence.
    fn upsert_record(
        &mut self,
        server: &Arc<UpstreamServer>,
        first: bool,
        now: ClockTime,
    ) -> usize {
        let known = self.records.iter().position(|record| record.is_same(server));
        if let Some(index) = known {
            self.records[index].update_server(server, now);
            return index;
        }
        let mut record = UpstreamRecord::new(self.next_id, Arc::clone(server), now);
        self.next_id += 1;
        if !first {
            record.health.start_ramp(now);
            if self.cold_rate.is_some() {
                record.record_warm_up(ADDED_COLD_TIME, now);
            }
        }
        self.records.push(record);
        self.records.len() - 1
    }

    /// Sets the live VMs, among which the users of each cold upstream are chosen.
    pub fn set_cold_users(&mut self, users: &Arc<ColdUsers>) {
        self.cold_users = Arc::clone(users);
        for record in &mut self.records {
            record.is_cold_user = None;
        }
        self.choose_cold_users();
    }

    fn choose_cold_users(&mut self) {
        if self.cold_rate.is_none() {
            return;
        }
        let (users, own) = (&self.cold_users, self.vm_seed);
        for record in self.records.iter_mut().filter(|record| record.is_cold_user.is_none()) {
            let server = &record.server;
            record.is_cold_user = Some(users.includes(own, &server.name, &server.centre));
        }
    }

    /// Returns the time until this VM may send a call to an upstream that is cold, or `None` if it
    /// may now.
    pub fn cold_wait(&self, record: &UpstreamRecord, now: ClockTime) -> Option<ClockSpan> {
        self.cold_rate?;
        record.cold_wait(record.cold_for(now)?, now)
    }

    /// Records a call that is sent to an upstream, if that is cold.
    pub fn record_cold_call(&mut self, index: usize, now: ClockTime) {
        let Some(rate) = self.cold_rate else { return };
        let record = &mut self.records[index];
        if record.cold_for(now).is_some() {
            record.record_cold_call(cold::cold_interval(rate), now);
        }
    }

    /// Records the rest of an upstream's warm-up, as it reported that itself.
    pub fn record_warm_up(&mut self, upstream: &str, rest: ClockSpan, now: ClockTime) {
        if let Some(record) = self.listed_mut(upstream) {
            record.record_warm_up(rest, now);
        }
    }

    /// Ranks the servers by round-trip time, and those with the same time by this VM's rendezvous
    /// scores.
    fn rank_preferences(&mut self, vm_seed: u64) {
        let key = |record: &UpstreamRecord| {
            let score = rendezvous::score(vm_seed, &record.server.name);
            (record.round_trip, Reverse(score))
        };
        let keys: Vec<_> = self.records.iter().map(key).collect();
        let steps = keys.len().saturating_sub(1).max(1) as f64;
        for (index, record) in self.records.iter_mut().enumerate() {
            let better = keys.iter().filter(|key| **key < keys[index]).count();
            record.preference = better as f64 / steps;
        }
    }

    /// Ends as many ejections as exceed the cap after servers were removed, first those that would
    /// end soonest.
    fn readmit_excess(&mut self, now: ClockTime) {
        while self.ejected(now) > self.ejection_cap() {
            let soonest = self
                .records
                .iter_mut()
                .filter(|record| record.listed && record.health.is_ejected(now))
                .min_by_key(|record| record.health.ejected_until());
            match soonest {
                Some(record) => record.health.readmit(now),
                None => return,
            }
        }
    }

    fn ejected(&self, now: ClockTime) -> usize {
        self.listed().filter(|record| record.health.is_ejected(now)).count()
    }

    /// Returns how many servers may be ejected at once.
    fn ejection_cap(&self) -> usize {
        (self.listed().count() as f64 * self.tuning.ejection_share_max) as usize
    }

    fn listed(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.records.iter().filter(|record| record.listed)
    }

    /// Releases a reservation and records how the call ended.
    pub fn finish(&mut self, key: RecordKey, outcome: &CallOutcome, now: ClockTime) {
        let tuning = self.tuning;
        let Some(index) = self.find(key) else { return };
        let record = &mut self.records[index];
        let samples = outcome.load.map(|report| record.observe(report, now, &tuning));
        let at_home = record.round_trip == ClockSpan::ZERO;
        let latency = record.record_latency(outcome, now, &tuning);
        if outcome.result.is_answered() {
            record.record_contact(now);
        }
        self.record_remote_load(at_home, samples.and_then(|samples| samples.load), now);
        self.update_means(samples.unwrap_or_default(), latency, now);
        self.apply_result(index, outcome.result, key.sent_at, now);
        self.release(key);
    }

    /// Records the result of a call that was sent at `sent_at`, and ejects the server if its
    /// results reach a limit and the cap allows it.
    fn apply_result(
        &mut self,
        index: usize,
        result: CallResult,
        sent_at: ClockTime,
        now: ClockTime,
    ) {
        let tuning = self.tuning;
        let record = &mut self.records[index];
        if result == CallResult::Shed {
            record.record_shed(now, &tuning);
        }
        let failing = record.health.record(result, sent_at, now, &tuning);
        if failing && record.listed && self.ejected(now) < self.ejection_cap() {
            self.records[index].health.eject(now, &tuning, &mut self.random);
        }
    }

    /// Records a result without a reservation.
    pub fn record_result(&mut self, upstream: &str, result: CallResult, now: ClockTime) {
        if let Some(index) = self.listed_index(upstream) {
            self.apply_result(index, result, now, now);
        }
    }

    /// Records that an incarnation of an upstream drains until it ends. Returns whether this is new.
    pub fn record_final_drain(&mut self, upstream: &str, incarnation: u64) -> bool {
        let known = self.listed_mut(upstream);
        known
            .filter(|record| record.server.incarnation == incarnation)
            .is_some_and(UpstreamRecord::record_final_drain)
    }

    /// Records that an upstream wants no requests for `span`.
    pub fn record_pause(&mut self, upstream: &str, span: ClockSpan, now: ClockTime) {
        if let Some(record) = self.listed_mut(upstream) {
            record.record_pause(span, now);
        }
    }

    /// Returns the freshest reports of an upstream.
    pub fn load_status(&self, upstream: &str) -> Option<LoadStatus> {
        self.listed_index(upstream).map(|index| self.records[index].load_status())
    }

    /// Returns whether an upstream may be sent a health check.
    pub fn accepts_checks(&self, upstream: &str, now: ClockTime) -> bool {
        self.listed_index(upstream).is_none_or(|index| {
            let record = &self.records[index];
            let is_cold = self.cold_rate.is_some() && record.cold_for(now).is_some();
            !record.is_final_drain() && record.paused_for(now).is_none() && !is_cold
        })
    }

    /// Records that an upstream did not answer a probe in time.
    pub fn record_probe_timeout(&mut self, upstream: &str, now: ClockTime) {
        if let Some(record) = self.listed_mut(upstream) {
            record.record_probe_timeout(now);
        }
    }

    /// Releases a reservation without an outcome.
    pub fn release(&mut self, key: RecordKey) {
        let Some(index) = self.find(key) else { return };
        let record = &mut self.records[index];
        record.release(key.sent_at);
        if !record.listed && record.own_in_flight() == 0 {
            self.records.remove(index);
        }
    }

    fn find(&self, key: RecordKey) -> Option<usize> {
        let in_place = self.records.get(key.index).is_some_and(|record| record.id == key.id);
        if in_place {
            return Some(key.index);
        }
        self.records.iter().position(|record| record.id == key.id)
    }

    fn update_means(&mut self, samples: LoadSamples, latency: Option<f64>, now: ClockTime) {
        let RouteTuning { service_decay, sample_weight_max, .. } = self.tuning;
        let updates = [
            (&mut self.load, samples.load),
            (&mut self.pace, samples.pace),
            (&mut self.latency, latency),
        ];
        for (mean, sample) in updates {
            if let Some(sample) = sample {
                mean.add(sample, now, service_decay, sample_weight_max);
            }
        }
    }

    fn record_remote_load(&mut self, at_home: bool, load: Option<f64>, now: ClockTime) {
        if let (Some(tuning), Some(load)) = (&self.remote_tuning, load) {
            self.remote.record_load(load, at_home, tuning, now);
        }
    }

    /// Returns the load of the candidates at home and away, or `None` if there are none away.
    pub fn remote_load(&self, tuning: &RemoteTuning, now: ClockTime) -> Option<RemoteLoad> {
        let means = self.means();
        let own_load = |at_home: bool| {
            let views =
                self.candidates.iter().filter(|view| (view.round_trip_ms == 0.0) == at_home);
            views.fold((0.0, 0.0), |(slots, own), view| {
                (slots + f64::from(view.slots), own + f64::from(view.own_in_flight))
            })
        };
        let (home_slots, home_own) = own_load(true);
        let (away_slots, away_own) = own_load(false);
        let round_trip = |view: &UpstreamView| view.round_trip_ms;
        let away = self.candidates.iter().map(round_trip).filter(|millis| *millis > 0.0);
        let round_trip_ms = away.fold(f64::INFINITY, f64::min);
        let load = |at_home, own: f64, slots: f64| {
            self.remote.mean_load(at_home, means.load, tuning, now) + own / slots.max(1.0)
        };
        round_trip_ms.is_finite().then(|| RemoteLoad {
            home_slots,
            away_slots,
            home_load: load(true, home_own, home_slots),
            away_load: load(false, away_own, away_slots),
            latency_ms: means.latency_ms,
            round_trip_ms,
        })
    }

    /// Applies a load report and its drain flag.
    pub fn observe(&mut self, upstream: &str, report: LoadReport, now: ClockTime) {
        let tuning = self.tuning;
        let Some(record) = self.listed_mut(upstream) else { return };
        let at_home = record.round_trip == ClockSpan::ZERO;
        let samples = record.observe(report, now, &tuning);
        self.record_remote_load(at_home, samples.load, now);
        self.update_means(samples, None, now);
    }

    /// Accepts a peer's evidence where it is fresher.
    pub fn merge(&mut self, notice: &UpstreamNotice, now: ClockTime) {
        let tuning = self.tuning;
        let samples =
            self.listed_mut(&notice.upstream).map(|record| record.merge(notice, now, &tuning));
        self.update_means(samples.unwrap_or_default(), None, now);
    }

    /// Records that the evidence on an upstream was sent to peers.
    pub fn record_export(&mut self, upstream: &str, now: ClockTime) {
        if let Some(record) = self.listed_mut(upstream) {
            record.exported_at = Some(now);
        }
    }

    fn listed_index(&self, upstream: &str) -> Option<usize> {
        self.records.iter().position(|record| record.listed && record.server.name == *upstream)
    }

    fn listed_mut(&mut self, upstream: &str) -> Option<&mut UpstreamRecord> {
        self.listed_index(upstream).map(|index| &mut self.records[index])
    }
}
