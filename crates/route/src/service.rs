//! The upstreams of one service, behind one lock.

use std::cmp::Reverse;
use std::sync::Arc;

use base::prelude::*;
use world::prelude::*;

use crate::affinity;
use crate::estimate::DecayingMean;
use crate::notice::UpstreamNotice;
use crate::outcome::{CallOutcome, CallResult, LoadReport};
use crate::policy::ChoicePolicy;
use crate::record::UpstreamRecord;
use crate::refusal::NoUpstream;
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

/// The place of a record, and the id that tells whether it still is there.
#[derive(Clone, Copy, Debug)]
pub struct RecordKey {
    index: usize,
    id: u64,
    sent_at: ClockTime,
}

/// The evidence on the upstreams of one service.
#[derive(Debug)]
pub struct ServiceState {
    tuning: RouteTuning,
    records: Vec<UpstreamRecord>,
    latency: DecayingMean,
    load: DecayingMean,
    random: RandomSource,
    next_id: u64,
    version: Option<u64>,
    /// Reused by each choice, so that choosing does not allocate.
    candidates: Vec<UpstreamView>,
    candidate_indexes: Vec<usize>,
}

/// How many upstreams cannot take a call, and why.
#[derive(Clone, Copy, Debug, Default)]
struct RefusalCount {
    listed: u32,
    draining: u32,
    ejected: u32,
    healthy: u32,
    full: u32,
    own_in_flight: u32,
    retry_in: Option<ClockSpan>,
}

impl ServiceState {
    pub fn new(tuning: RouteTuning, seed: u64) -> Self {
        Self {
            tuning,
            records: Vec::new(),
            latency: DecayingMean::default(),
            load: DecayingMean::default(),
            random: RandomSource::from_seed(seed),
            next_id: 0,
            version: None,
            candidates: Vec::new(),
            candidate_indexes: Vec::new(),
        }
    }

    pub fn records(&self) -> &[UpstreamRecord] {
        &self.records
    }

    pub fn tuning(&self) -> &RouteTuning {
        &self.tuning
    }

    /// Returns whether calls to the service are in flight.
    pub fn is_in_use(&self) -> bool {
        self.records.iter().any(|record| record.own_in_flight() > 0)
    }

    /// Follows a version of the environment. Servers that join a service that is already in use
    /// are cold; those of its first version are not.
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
        for record in &mut self.records {
            record.listed = false;
        }
        for server in map.upstreams_of(service) {
            let index = self.list(server, first, now);
            let round_trip = map.round_trip(centre, &server.centre);
            self.records[index].round_trip = round_trip.unwrap_or(self.tuning.unknown_round_trip);
        }
        self.records.retain(|record| record.listed || record.own_in_flight() > 0);
        self.rank_preferences(vm_seed);
        self.release_excess(now);
        self.candidates.reserve(self.records.len());
        self.candidate_indexes.reserve(self.records.len());
    }

    /// Lists a server and returns its index. A server with another address is another machine.
    fn list(&mut self, server: &Arc<UpstreamServer>, first: bool, now: ClockTime) -> usize {
        let known = self.records.iter().position(|record| {
            record.server.name == server.name && record.server.address == server.address
        });
        if let Some(index) = known {
            let record = &mut self.records[index];
            record.listed = true;
            record.server = Arc::clone(server);
            return index;
        }
        let mut record = UpstreamRecord::new(self.next_id, Arc::clone(server));
        self.next_id += 1;
        if !first {
            record.health.start_ramp(now);
        }
        self.records.push(record);
        self.records.len() - 1
    }

    /// Orders the servers by distance, and those at the same distance by the VM's own scores.
    fn rank_preferences(&mut self, vm_seed: u64) {
        let key = |record: &UpstreamRecord| {
            let score = affinity::score(vm_seed, &record.server.name);
            (record.round_trip, Reverse(score))
        };
        let keys: Vec<_> = self.records.iter().map(key).collect();
        let steps = keys.len().saturating_sub(1).max(1) as f64;
        for (index, record) in self.records.iter_mut().enumerate() {
            let better = keys.iter().filter(|key| **key < keys[index]).count();
            record.preference = better as f64 / steps;
        }
    }

    /// Ends the ejections that exceed the cap after servers were removed, soonest to end first.
    fn release_excess(&mut self, now: ClockTime) {
        while self.ejected(now) > self.ejection_cap() {
            let soonest = self
                .records
                .iter_mut()
                .filter(|record| record.listed && record.health.is_ejected(now))
                .min_by_key(|record| record.health.ejected_until());
            match soonest {
                Some(record) => record.health.release(now),
                None => return,
            }
        }
    }

    fn ejected(&self, now: ClockTime) -> usize {
        self.listed().filter(|record| record.health.is_ejected(now)).count()
    }

    /// Returns how many servers may be ejected at once.
    fn ejection_cap(&self) -> usize {
        (self.listed().count() as f64 * self.tuning.ejection_share) as usize
    }

    fn listed(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.records.iter().filter(|record| record.listed)
    }

    /// Chooses an upstream and counts a call in flight on it.
    pub fn reserve<P: ChoicePolicy>(
        &mut self,
        policy: &P,
        service: &SharedName,
        avoid: &[SharedName],
        now: ClockTime,
        random: &mut RandomSource,
    ) -> Result<(RecordKey, Arc<UpstreamServer>), NoUpstream> {
        let mut count = self.count(now);
        let panicking = self.is_panicking(&count);
        self.collect(avoid, panicking, now, &mut count);
        let chosen = self.choose(policy, now, random).ok_or_else(|| refusal(service, &count))?;
        let index = self.candidate_indexes[chosen];
        let record = &mut self.records[index];
        record.send(now);
        Ok((RecordKey { index, id: record.id, sent_at: now }, Arc::clone(&record.server)))
    }

    fn count(&self, now: ClockTime) -> RefusalCount {
        let mut count = RefusalCount::default();
        for record in &self.records {
            count.own_in_flight += record.own_in_flight();
            if !record.listed {
                continue;
            }
            count.listed += 1;
            if record.is_draining(now, &self.tuning) {
                count.draining += 1;
            } else if record.health.is_ejected(now) {
                count.ejected += 1;
            } else if !record.health.is_bad(now, &self.tuning) {
                count.healthy += 1;
            }
        }
        count
    }

    /// Returns whether so few servers look healthy that ejections are ignored.
    fn is_panicking(&self, count: &RefusalCount) -> bool {
        let usable = f64::from(count.listed - count.draining);
        f64::from(count.healthy) < usable * self.tuning.panic_share
    }

    /// Collects the candidates. Avoided servers are used only if there is no other usable one.
    fn collect(
        &mut self,
        avoid: &[SharedName],
        panicking: bool,
        now: ClockTime,
        count: &mut RefusalCount,
    ) {
        self.collect_where(panicking, now, count, |record| !avoid.contains(&record.server.name));
        if self.candidates.is_empty() && count.full == 0 && !avoid.is_empty() {
            self.collect_where(panicking, now, count, |_| true);
        }
    }

    fn collect_where(
        &mut self,
        panicking: bool,
        now: ClockTime,
        count: &mut RefusalCount,
        allowed: impl Fn(&UpstreamRecord) -> bool,
    ) {
        self.candidates.clear();
        self.candidate_indexes.clear();
        for (index, record) in self.records.iter().enumerate() {
            let ejected = record.health.is_ejected(now);
            if !record.listed
                || record.is_draining(now, &self.tuning)
                || (ejected && !panicking)
                || !allowed(record)
            {
                continue;
            }
            if record.is_full(now, &self.tuning) {
                count.full += 1;
                count.retry_in = soonest(count.retry_in, record.busy_for(now));
                continue;
            }
            let ramp = if ejected { 1.0 } else { record.health.ramp(now, &self.tuning) };
            self.candidates.push(record.view(ramp, self.latency.value, self.load.value));
            self.candidate_indexes.push(index);
        }
    }

    /// Lets the policy choose among warm servers, after each server on its ramp had the chance to
    /// take its share of the calls. Without a warm server, the policy chooses among all.
    fn choose<P: ChoicePolicy>(
        &mut self,
        policy: &P,
        now: ClockTime,
        random: &mut RandomSource,
    ) -> Option<usize> {
        let ramping = self.candidates.iter().filter(|view| view.ramp < 1.0).count();
        if ramping > 0 && ramping < self.candidates.len() {
            let drawn = self.draw_ramping(random);
            if drawn.is_some() {
                return drawn;
            }
            self.drop_ramping();
        }
        policy.choose(&self.candidates, now, random)
    }

    /// Draws at most one server on its ramp. Each nearest one has the normal share of a server
    /// times its ramp; policies alone would give an idle cold server far more.
    fn draw_ramping(&self, random: &mut RandomSource) -> Option<usize> {
        let distance = |view: &UpstreamView| view.round_trip_ms;
        let nearest = self.candidates.iter().map(distance).fold(f64::INFINITY, f64::min);
        let is_near = |view: &&UpstreamView| view.round_trip_ms <= nearest;
        let near = self.candidates.iter().filter(is_near).count() as f64;
        let mut left = random.unit() * near;
        self.candidates.iter().position(|view| {
            if view.ramp >= 1.0 || view.round_trip_ms > nearest {
                return false;
            }
            left -= view.ramp;
            left < 0.0
        })
    }

    fn drop_ramping(&mut self) {
        for index in (0..self.candidates.len()).rev() {
            if self.candidates[index].ramp < 1.0 {
                self.candidates.swap_remove(index);
                self.candidate_indexes.swap_remove(index);
            }
        }
    }

    /// Releases a reservation and records how the call ended.
    pub fn finish(&mut self, key: RecordKey, outcome: &CallOutcome, now: ClockTime) {
        let tuning = self.tuning;
        let Some(index) = self.find(key) else { return };
        let record = &mut self.records[index];
        let load = outcome.load.and_then(|report| record.observe(report, now, &tuning));
        let latency = record.record_latency(outcome, now, &tuning);
        if outcome.result == CallResult::Shed {
            record.note_shed(now, &tuning);
        }
        if outcome.result.is_answered() {
            record.hear(now);
        }
        let bad = record.health.record(outcome.result, key.sent_at, now, &tuning);
        self.add_to_service(load, latency, now);
        if bad && self.records[index].listed && self.ejected(now) < self.ejection_cap() {
            self.records[index].health.eject(now, &tuning, &mut self.random);
        }
        self.release(key);
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

    fn add_to_service(&mut self, load: Option<f64>, latency: Option<f64>, now: ClockTime) {
        let RouteTuning { service_memory, sample_share, .. } = self.tuning;
        if let Some(load) = load {
            self.load.add(load, now, service_memory, sample_share);
        }
        if let Some(latency) = latency {
            self.latency.add(latency, now, service_memory, sample_share);
        }
    }

    /// Records a load report or drain mark.
    pub fn observe(&mut self, upstream: &str, report: LoadReport, now: ClockTime) {
        let tuning = self.tuning;
        let load = self.named(upstream).and_then(|record| record.observe(report, now, &tuning));
        self.add_to_service(load, None, now);
    }

    /// Takes over fresher evidence of a peer.
    pub fn merge(&mut self, notice: &UpstreamNotice, now: ClockTime) {
        let tuning = self.tuning;
        let load =
            self.named(&notice.upstream).and_then(|record| record.merge(notice, now, &tuning));
        self.add_to_service(load, None, now);
    }

    /// Notes that the evidence on an upstream was exported.
    pub fn mark_exported(&mut self, upstream: &str, now: ClockTime) {
        if let Some(record) = self.named(upstream) {
            record.exported_at = Some(now);
        }
    }

    fn named(&mut self, upstream: &str) -> Option<&mut UpstreamRecord> {
        self.records.iter_mut().find(|record| record.listed && record.server.name == *upstream)
    }
}

fn refusal(service: &SharedName, count: &RefusalCount) -> NoUpstream {
    let service = service.clone();
    if count.listed == 0 {
        return NoUpstream::NoneConfigured { service };
    }
    if count.full == 0 {
        let RefusalCount { ejected, draining, .. } = *count;
        return NoUpstream::AllUnavailable { service, ejected, draining };
    }
    let RefusalCount { full, own_in_flight, retry_in, .. } = *count;
    NoUpstream::AllFull { service, full, own_in_flight, retry_in }
}

fn soonest(first: Option<ClockSpan>, second: Option<ClockSpan>) -> Option<ClockSpan> {
    match (first, second) {
        (Some(first), Some(second)) => Some(first.min(second)),
        (one, None) | (None, one) => one,
    }
}
