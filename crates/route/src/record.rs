//! The evidence of this VM on one upstream, and its calls in flight to it.

use std::sync::Arc;

use base::prelude::*;
use smallvec::SmallVec;
use world::prelude::*;

use crate::estimate::{DecayingMean, DecayingPeak};
use crate::health::HealthRecord;
use crate::notice::{LoadNotice, UpstreamNotice};
use crate::outcome::{CallOutcome, CallResult, LoadReport, LoadStatus, ReportSource};
use crate::service::ServiceMeans;
use crate::tuning::RouteTuning;
use crate::view::UpstreamView;

/// Calls in flight that a record holds without an allocation; most servers have fewer slots.
const INLINE_CALLS: usize = 8;

/// The freshest load report.
#[derive(Clone, Copy, Debug)]
struct LoadRecord {
    report: LoadReport,
    made_at: ClockTime,
    /// Calls of other VMs, running or queued.
    other_calls: f64,
}

/// The freshest pace: service time relative to the usual one; 1.0 is usual, higher is slower.
#[derive(Clone, Copy, Debug)]
struct PaceRecord {
    pace: f64,
    made_at: ClockTime,
}

/// What a load report contributes to the means of the service.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadSamples {
    /// Calls of other VMs for each slot of the server, unless a fresher load is known.
    pub load: Option<f64>,
    /// The pace, if the report has one and no fresher one is known.
    pub pace: Option<f64>,
}

/// The range to which a reported pace is limited, so that a wrong value neither attracts all calls
/// nor keeps a server idle for long.
const PACE_RANGE: (f64, f64) = (0.1, 100.0);
const PERCENT: f64 = 100.0;

/// The freshest drain flag.
#[derive(Clone, Copy, Debug)]
struct DrainState {
    draining: bool,
    made_at: ClockTime,
}

/// The evidence and reservations of one upstream.
#[derive(Debug)]
pub struct UpstreamRecord {
    pub id: u64,
    pub server: Arc<UpstreamServer>,
    /// Whether the environment contains the server. The record of a removed server stays until its
    /// calls have ended.
    pub listed: bool,
    /// When each call of this VM in flight was sent, oldest first.
    sent_times: SmallVec<[ClockTime; INLINE_CALLS]>,
    pub round_trip: ClockSpan,
    pub preference: f64,
    pub health: HealthRecord,
    pub exported_at: Option<ClockTime>,
    load: Option<LoadRecord>,
    pace: Option<PaceRecord>,
    warm_up_until: Option<ClockTime>,
    /// When this VM may send the next call while the server is cold.
    cold_next_at: ClockTime,
    /// Whether this VM uses the server while it is cold; `None` until that is determined.
    pub is_cold_user: Option<bool>,
    probe_timeout_at: Option<ClockTime>,
    drain: Option<DrainState>,
    /// Whether the server drains until it ends.
    final_drain: bool,
    /// Until when the server wants no requests from this VM.
    paused_until: ClockTime,
    full_until: ClockTime,
    latency: DecayingMean,
    tail: DecayingPeak,
    contact_at: Option<ClockTime>,
}

impl UpstreamRecord {
    pub fn new(id: u64, server: Arc<UpstreamServer>, now: ClockTime) -> Self {
        Self {
            id,
            warm_up_until: warm_up_end(&server, now),
            server,
            listed: true,
            sent_times: SmallVec::new(),
            round_trip: ClockSpan::ZERO,
            preference: 0.0,
            health: HealthRecord::default(),
            exported_at: None,
            load: None,
            pace: None,
            cold_next_at: ClockTime::ZERO,
            is_cold_user: None,
            probe_timeout_at: None,
            drain: None,
            final_drain: false,
            paused_until: ClockTime::ZERO,
            full_until: ClockTime::ZERO,
            latency: DecayingMean::default(),
            tail: DecayingPeak::default(),
            contact_at: None,
        }
    }

    /// Returns whether `server` is the same process on the same machine.
    pub fn is_same(&self, server: &UpstreamServer) -> bool {
        self.server.name == server.name
            && self.server.address == server.address
            && self.server.incarnation == server.incarnation
    }

    /// Accepts a newer description of the same server. A changed warm-up starts now; an unchanged
    /// one has been running since the server was added.
    pub fn update_server(&mut self, server: &Arc<UpstreamServer>, now: ClockTime) {
        if self.server.warm_up != server.warm_up {
            self.warm_up_until = warm_up_end(server, now);
        }
        self.listed = true;
        self.server = Arc::clone(server);
    }

    /// Records that the server reported the rest of its warm-up, or that it may be cold for `span`.
    pub fn record_warm_up(&mut self, span: ClockSpan, now: ClockTime) {
        if span > ClockSpan::ZERO {
            self.warm_up_until = self.warm_up_until.max(Some(now + span));
        }
    }

    /// Returns for how long the server is still cold.
    pub fn cold_for(&self, now: ClockTime) -> Option<ClockSpan> {
        self.warm_up_until.filter(|until| *until > now).map(|until| until.since(now))
    }

    /// Returns the time until this VM may send a call to a cold server, or `None` if it may now.
    /// `rest` is the rest of the warm-up, after which every VM may.
    pub fn cold_wait(&self, rest: ClockSpan, now: ClockTime) -> Option<ClockSpan> {
        if self.is_cold_user != Some(true) {
            return Some(rest);
        }
        (self.cold_next_at > now).then(|| self.cold_next_at.since(now).min(rest))
    }

    /// Records that a call is sent to the cold server.
    pub fn record_cold_call(&mut self, interval: ClockSpan, now: ClockTime) {
        self.cold_next_at = now + interval;
    }

    /// Returns the number of calls of this VM in flight.
    pub fn own_in_flight(&self) -> u32 {
        self.sent_times.len() as u32
    }

    /// Reserves a slot for a call that is sent now.
    pub fn reserve(&mut self, now: ClockTime) {
        self.sent_times.push(now);
    }

    /// Releases the slot of a call that was sent at `sent_at`.
    pub fn release(&mut self, sent_at: ClockTime) {
        if let Some(index) = self.sent_times.iter().position(|time| *time == sent_at) {
            self.sent_times.remove(index);
        }
    }

    pub fn is_draining(&self, now: ClockTime, tuning: &RouteTuning) -> bool {
        self.final_drain
            || self
                .drain
                .is_some_and(|state| state.draining && now.since(state.made_at) <= tuning.drain_ttl)
    }

    /// Records that the server drains until it ends. Returns whether this is new.
    pub fn record_final_drain(&mut self) -> bool {
        !std::mem::replace(&mut self.final_drain, true)
    }

    pub fn is_final_drain(&self) -> bool {
        self.final_drain
    }

    /// Records that the server wants no requests for `span`. Of several pauses, the one that ends
    /// last counts.
    pub fn record_pause(&mut self, span: ClockSpan, now: ClockTime) {
        self.paused_until = self.paused_until.max(now + span);
    }

    /// Returns for how long the server still wants no requests.
    pub fn paused_for(&self, now: ClockTime) -> Option<ClockSpan> {
        (self.paused_until > now).then(|| self.paused_until.since(now))
    }

    /// Returns how many calls this VM may have in flight on the server, fewer during the slow
    /// start.
    fn own_slots(&self, now: ClockTime, tuning: &RouteTuning) -> u32 {
        let slots = f64::from(self.server.slots) * self.health.ramp(now, tuning);
        (slots.ceil() as u32).max(1)
    }

    pub fn is_full(&self, now: ClockTime, tuning: &RouteTuning) -> bool {
        self.own_in_flight() >= self.own_slots(now, tuning) || self.full_until > now
    }

    /// Returns for how long the server still counts as full because of a load report or a shed
    /// call.
    pub fn full_for(&self, now: ClockTime) -> Option<ClockSpan> {
        (self.full_until > now).then(|| self.full_until.since(now))
    }

    /// Applies the load, pace and drain flag of a report where they are fresh, and returns the
    /// samples for the means of the service.
    pub fn observe(
        &mut self,
        report: LoadReport,
        now: ClockTime,
        tuning: &RouteTuning,
    ) -> LoadSamples {
        let made_at = now - report.age;
        if report.source != ReportSource::Peer {
            self.record_contact(now);
        }
        self.apply_drain(report.draining, made_at, now, tuning);
        self.apply_report(report, made_at, tuning)
    }

    fn apply_report(
        &mut self,
        report: LoadReport,
        made_at: ClockTime,
        tuning: &RouteTuning,
    ) -> LoadSamples {
        let load = self.apply_load(report, made_at, tuning);
        let pace = report.pace_percent.and_then(|percent| self.apply_pace(percent, made_at));
        LoadSamples { load, pace }
    }

    /// Accepts a drain flag that is fresher than the present one. At the same age, a set flag wins
    /// over a cleared one.
    fn apply_drain(
        &mut self,
        draining: bool,
        made_at: ClockTime,
        now: ClockTime,
        tuning: &RouteTuning,
    ) {
        let is_newer = self.drain.is_none_or(|state| {
            made_at > state.made_at || (made_at == state.made_at && draining && !state.draining)
        });
        if !is_newer {
            return;
        }
        if !draining && self.is_draining(now, tuning) {
            self.health.start_ramp(now);
        }
        self.drain = Some(DrainState { draining, made_at });
    }

    fn apply_load(
        &mut self,
        report: LoadReport,
        made_at: ClockTime,
        tuning: &RouteTuning,
    ) -> Option<f64> {
        if self.load.is_some_and(|load| load.made_at > made_at) {
            return None;
        }
        // The report includes this VM's calls, even the one whose response carries it.
        let calls = f64::from(report.in_flight) + f64::from(report.queued);
        let other_calls = (calls - f64::from(self.own_in_flight())).max(0.0);
        self.load = Some(LoadRecord { report, made_at, other_calls });
        let slots = if report.slots > 0 { report.slots } else { self.server.slots };
        let full = report.in_flight >= slots && report.queued > 0;
        self.full_until = if full { made_at + tuning.full_report_age } else { ClockTime::ZERO };
        Some(other_calls / f64::from(slots.max(1)))
    }

    fn apply_pace(&mut self, percent: u32, made_at: ClockTime) -> Option<f64> {
        if self.pace.is_some_and(|pace| pace.made_at > made_at) {
            return None;
        }
        let pace = (f64::from(percent) / PERCENT).clamp(PACE_RANGE.0, PACE_RANGE.1);
        self.pace = Some(PaceRecord { pace, made_at });
        Some(pace)
    }

    /// Records the latency of a call that has ended, before its slot is released. Returns the
    /// latency without the round trip in milliseconds, or `None` if the call is not a sample of it.
    pub fn record_latency(
        &mut self,
        outcome: &CallOutcome,
        now: ClockTime,
        tuning: &RouteTuning,
    ) -> Option<f64> {
        let server_ms = outcome.latency.saturating_sub(self.round_trip).as_millis_f64();
        match outcome.result {
            CallResult::Success => {}
            // The call would have taken at least until the timeout.
            CallResult::TimedOut if server_ms > self.latency.value => {}
            // Errors and refusals are often faster than normal calls.
            _ => return None,
        }
        let elapsed = self.latency.sampled_at.map_or(ClockSpan::ZERO, |before| now.since(before));
        self.latency.add(server_ms, now, tuning.latency_decay, tuning.sample_weight_max);
        self.tail.add(server_ms, self.latency.value, elapsed, tuning.tail_decay);
        Some(server_ms)
    }

    /// Makes the server count as full for a short time after it shed a call.
    pub fn record_shed(&mut self, now: ClockTime, tuning: &RouteTuning) {
        self.full_until = self.full_until.max(now + tuning.shed_backoff);
    }

    /// Records that the server did not answer a probe in time.
    pub fn record_probe_timeout(&mut self, now: ClockTime) {
        self.probe_timeout_at = Some(self.probe_timeout_at.map_or(now, |before| before.max(now)));
    }

    /// Returns when the freshest load report was made.
    pub fn reported_at(&self) -> Option<ClockTime> {
        self.load.map(|load| load.made_at)
    }

    /// Records that data arrived directly from the server.
    pub fn record_contact(&mut self, now: ClockTime) {
        self.probe_timeout_at = self.probe_timeout_at.filter(|timeout_at| *timeout_at > now);
        self.contact_at = Some(self.contact_at.map_or(now, |before| before.max(now)));
        self.health.record_contact(now);
    }

    /// Returns how busy and how slow the server is, according to its freshest reports.
    pub fn load_status(&self) -> LoadStatus {
        let full = self.load.is_some_and(|load| {
            let slots = if load.report.slots > 0 { load.report.slots } else { self.server.slots };
            load.report.in_flight >= slots
        });
        LoadStatus { pace: self.pace.map(|record| record.pace), full }
    }

    /// Returns the number of calls of all VMs in the freshest load report, running or queued.
    pub fn reported_calls(&self) -> Option<f64> {
        self.load.map(|load| f64::from(load.report.in_flight) + f64::from(load.report.queued))
    }

    pub fn latency_ms(&self) -> f64 {
        self.latency.value
    }

    pub fn tail_ms(&self) -> f64 {
        self.tail.value
    }

    pub fn view(&self, ramp: f64, means: &ServiceMeans) -> UpstreamView {
        UpstreamView {
            own_in_flight: self.own_in_flight(),
            oldest_at: self.sent_times.first().copied(),
            slots: self.server.slots,
            other_calls: self.load.map_or(0.0, |load| load.other_calls),
            other_calls_mean: means.load * f64::from(self.server.slots),
            reported_at: self.reported_at(),
            pace: self.pace.map_or(means.pace, |record| record.pace),
            paced_at: self.pace.map(|record| record.made_at),
            pace_mean: means.pace,
            warm_up_until: self.warm_up_until,
            probe_timeout_at: self.probe_timeout_at,
            latency_ms: self.latency.value,
            tail_ms: self.tail.value,
            sampled_at: self.latency.sampled_at,
            service_ms: means.latency_ms,
            failure_rate: self.health.failure_rate(),
            outcome_at: self.health.outcome_at(),
            failed_at: self.health.failed_at(),
            contact_at: self.contact_at,
            round_trip_ms: self.round_trip.as_millis_f64(),
            ramp,
            preference: self.preference,
        }
    }

    /// Returns a notice for other VMs, or `None` if there is no recent drain flag, set or cleared.
    /// The notice contains the load if that arrived directly from the server and recently.
    pub fn notice(&self, now: ClockTime, tuning: &RouteTuning) -> Option<UpstreamNotice> {
        let load = self.load.filter(|load| {
            load.report.source != ReportSource::Peer && now.since(load.made_at) <= tuning.export_age
        });
        let drain = self.drain.filter(|state| {
            now.since(state.made_at)
                <= if state.draining { tuning.drain_ttl } else { tuning.export_age }
        })?;
        Some(UpstreamNotice {
            upstream: self.server.name.clone(),
            draining: drain.draining,
            drain_age_ms: notice_age_ms(now.since(drain.made_at)),
            load: load.map(|load| LoadNotice {
                in_flight: load.report.in_flight,
                slots: load.report.slots,
                queued: load.report.queued,
                pace_percent: load.report.pace_percent,
                age_ms: notice_age_ms(now.since(load.made_at)),
            }),
        })
    }

    /// Accepts a peer's evidence where it is fresher than this VM's.
    pub fn merge(
        &mut self,
        notice: &UpstreamNotice,
        now: ClockTime,
        tuning: &RouteTuning,
    ) -> LoadSamples {
        let made_at = |age_ms: u32| {
            now - (ClockSpan::from_millis(u64::from(age_ms)) + tuning.transit_allowance)
        };
        self.apply_drain(notice.draining, made_at(notice.drain_age_ms), now, tuning);
        let Some(load) = notice.load else { return LoadSamples::default() };
        let report = LoadReport {
            in_flight: load.in_flight,
            slots: load.slots,
            queued: load.queued,
            pace_percent: load.pace_percent,
            draining: notice.draining,
            age: ClockSpan::from_millis(u64::from(load.age_ms)),
            source: ReportSource::Peer,
        };
        self.apply_report(report, made_at(load.age_ms), tuning)
    }
}

/// Returns when the warm-up of a server that is added now ends, or `None` if it needs none.
fn warm_up_end(server: &UpstreamServer, now: ClockTime) -> Option<ClockTime> {
    (server.warm_up > ClockSpan::ZERO).then(|| now + server.warm_up)
}

/// Returns the age for a notice, in whole milliseconds, rounded up so that evidence never looks
/// fresher than it is.
fn notice_age_ms(age: ClockSpan) -> u32 {
    u32::try_from(age.as_millis().saturating_add(1)).unwrap_or(u32::MAX)
}
