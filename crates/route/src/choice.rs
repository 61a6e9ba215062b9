//! Collects the upstreams of a service that can take a call, and lets a policy choose one.

use std::sync::Arc;

use base::prelude::*;
use world::prelude::*;

use crate::policy::ChoicePolicy;
use crate::record::UpstreamRecord;
use crate::refusal::NoUpstream;
use crate::remote::RemoteReason;
use crate::service::{RecordKey, ServiceState};
use crate::shortlist::ShortlistEntry;
use crate::view::{ChoiceEvidence, UpstreamView};

/// Counts of upstreams by whether they can take a call.
#[derive(Clone, Copy, Debug, Default)]
struct CandidateCounts {
    listed: u32,
    draining: u32,
    paused: u32,
    ejected: u32,
    healthy: u32,
    full: u32,
    own_in_flight: u32,
    /// The time until the first full or paused upstream can be used again.
    retry_in: Option<ClockSpan>,
}

impl ServiceState {
    /// Chooses an upstream and reserves a slot on it.
    pub fn reserve<P: ChoicePolicy>(
        &mut self,
        policy: &P,
        service: &SharedName,
        excluded: &[SharedName],
        now: ClockTime,
        random: &mut RandomSource,
    ) -> Result<(RecordKey, Arc<UpstreamServer>, ChoiceEvidence), NoUpstream> {
        let counts = self.collect(excluded, now);
        let remote = self.keep_home(policy, now, random);
        let chosen = self.choose(policy, now, random).ok_or_else(|| refusal(service, &counts))?;
        let view = self.candidates[chosen];
        let (cost_ms, candidates) =
            (policy.expected_cost_ms(&view, now), self.candidates.len() as u32);
        let index = self.candidate_indexes[chosen];
        let record = &mut self.records[index];
        record.reserve(now);
        let key = RecordKey { index, id: record.id, sent_at: now };
        let server = Arc::clone(&record.server);
        self.record_cold_call(index, now);
        Ok((key, server, ChoiceEvidence { view, cost_ms, candidates, remote }))
    }

    /// Returns the best `limit` candidates in order, chosen one after the other, without a
    /// reservation.
    pub fn shortlist<P: ChoicePolicy>(
        &mut self,
        policy: &P,
        excluded: &[SharedName],
        limit: usize,
        now: ClockTime,
        random: &mut RandomSource,
    ) -> Vec<ShortlistEntry> {
        self.collect(excluded, now);
        self.keep_home(policy, now, random);
        let mut entries = Vec::with_capacity(limit.min(self.candidates.len()));
        while entries.len() < limit && !self.candidates.is_empty() {
            let Some(chosen) = self.choose(policy, now, random) else { break };
            let slowdown = policy.expected_slowdown(&self.candidates.swap_remove(chosen), now);
            let record = &self.records[self.candidate_indexes.swap_remove(chosen)];
            let (server, reported_at) = (Arc::clone(&record.server), record.reported_at());
            let round_trip = record.round_trip;
            entries.push(ShortlistEntry { server, reported_at, slowdown, round_trip });
        }
        entries
    }

    /// Returns whether there are usable upstreams and all of them are full.
    pub fn is_full(&mut self, excluded: &[SharedName], now: ClockTime) -> bool {
        let counts = self.collect(excluded, now);
        self.candidates.is_empty() && counts.full > 0
    }

    fn count_records(&self, now: ClockTime) -> CandidateCounts {
        let mut counts = CandidateCounts::default();
        for record in &self.records {
            counts.own_in_flight += record.own_in_flight();
            if !record.listed {
                continue;
            }
            counts.listed += 1;
            if record.is_draining(now, &self.tuning) {
                counts.draining += 1;
            } else if let Some(span) =
                record.paused_for(now).or_else(|| self.cold_wait(record, now))
            {
                counts.paused += 1;
                counts.retry_in = soonest(counts.retry_in, Some(span));
            } else if record.health.is_ejected(now) {
                counts.ejected += 1;
            } else if !record.health.is_failing(now, &self.tuning) {
                counts.healthy += 1;
            }
        }
        counts
    }

    /// Returns whether the share of healthy servers is below the panic threshold, so that ejections
    /// are ignored.
    fn is_panic_mode(&self, counts: &CandidateCounts) -> bool {
        let usable = f64::from(counts.listed - counts.draining - counts.paused);
        f64::from(counts.healthy) < usable * self.tuning.panic_threshold
    }

    /// Collects the candidates. Excluded servers are used only if there is no other usable one.
    fn collect(&mut self, excluded: &[SharedName], now: ClockTime) -> CandidateCounts {
        let mut counts = self.count_records(now);
        let panic_mode = self.is_panic_mode(&counts);
        let is_allowed = |record: &UpstreamRecord| !excluded.contains(&record.server.name);
        self.collect_where(panic_mode, now, &mut counts, is_allowed);
        if self.candidates.is_empty() && counts.full == 0 && !excluded.is_empty() {
            self.collect_where(panic_mode, now, &mut counts, |_| true);
        }
        counts
    }

    fn collect_where(
        &mut self,
        panic_mode: bool,
        now: ClockTime,
        counts: &mut CandidateCounts,
        allowed: impl Fn(&UpstreamRecord) -> bool,
    ) {
        let means = self.means();
        self.candidates.clear();
        self.candidate_indexes.clear();
        for (index, record) in self.records.iter().enumerate() {
            let ejected = record.health.is_ejected(now);
            if !record.listed
                || record.is_draining(now, &self.tuning)
                || record.paused_for(now).is_some()
                || self.cold_wait(record, now).is_some()
                || (ejected && !panic_mode)
                || !allowed(record)
            {
                continue;
            }
            if record.is_full(now, &self.tuning) {
                counts.full += 1;
                counts.retry_in = soonest(counts.retry_in, record.full_for(now));
                continue;
            }
            let ramp = if ejected { 1.0 } else { record.health.ramp(now, &self.tuning) };
            self.candidates.push(record.view(ramp, &means));
            self.candidate_indexes.push(index);
        }
    }

    /// Removes the candidates in other data centres, unless the call is to leave. Returns why it may.
    fn keep_home<P: ChoicePolicy>(
        &mut self,
        policy: &P,
        now: ClockTime,
        random: &mut RandomSource,
    ) -> RemoteReason {
        let Some(tuning) = self.remote_tuning else { return RemoteReason::Cost };
        let Some(load) = self.remote_load(&tuning, now) else { return RemoteReason::Home };
        let share = self.remote.update(&load, &tuning, now);
        if load.home_slots == 0.0 {
            return RemoteReason::NoRoom;
        }
        if random.unit() < share {
            return RemoteReason::Share;
        }
        let best = |at_home: bool| {
            let views =
                self.candidates.iter().filter(|view| (view.round_trip_ms == 0.0) == at_home);
            views.filter_map(|view| policy.expected_cost_ms(view, now)).reduce(f64::min)
        };
        if let (Some(home), Some(away)) = (best(true), best(false))
            && home > away + tuning.call_advantage * load.latency_ms
        {
            return RemoteReason::Slow;
        }
        for index in (0..self.candidates.len()).rev() {
            if self.candidates[index].round_trip_ms > 0.0 {
                self.candidates.swap_remove(index);
                self.candidate_indexes.swap_remove(index);
            }
        }
        RemoteReason::Home
    }

    /// First draws at random whether a server in its slow start gets the call, as its share
    /// requires; otherwise lets the policy choose among the other servers, or among all if all are
    /// in their slow start.
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

    /// Draws at most one server in its slow start from the nearest data centre. The probability of
    /// each is the normal share of a server times its ramp; policies alone would give an idle
    /// server far more.
    fn draw_ramping(&self, random: &mut RandomSource) -> Option<usize> {
        let distance = |view: &UpstreamView| view.round_trip_ms;
        let nearest = self.candidates.iter().map(distance).fold(f64::INFINITY, f64::min);
        let is_near = |view: &&UpstreamView| view.round_trip_ms <= nearest;
        let near = self.candidates.iter().filter(is_near).count() as f64;
        let mut remaining = random.unit() * near;
        self.candidates.iter().position(|view| {
            if view.ramp >= 1.0 || view.round_trip_ms > nearest {
                return false;
            }
            remaining -= view.ramp;
            remaining < 0.0
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
}

fn refusal(service: &SharedName, counts: &CandidateCounts) -> NoUpstream {
    let service = service.clone();
    if counts.listed == 0 {
        return NoUpstream::NoneConfigured { service };
    }
    if counts.full == 0 {
        let CandidateCounts { ejected, draining, paused, retry_in, .. } = *counts;
        return match retry_in {
            Some(retry_in) => NoUpstream::AllPaused { service, paused, retry_in },
            None => NoUpstream::AllUnavailable { service, ejected, draining },
        };
    }
    let CandidateCounts { full, own_in_flight, retry_in, .. } = *counts;
    NoUpstream::AllFull { service, full, own_in_flight, retry_in }
}

fn soonest(first: Option<ClockSpan>, second: Option<ClockSpan>) -> Option<ClockSpan> {
    match (first, second) {
        (Some(first), Some(second)) => Some(first.min(second)),
        (either, None) | (None, either) => either,
    }
}
