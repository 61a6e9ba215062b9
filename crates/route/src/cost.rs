//! The project's own policy: the lowest expected completion cost.

use base::prelude::*;

use crate::estimate::remaining;
use crate::policy::{ChoicePolicy, least_by};
use crate::tuning::CostTuning;
use crate::view::UpstreamView;

/// Chooses the upstream with the lowest expected cost in milliseconds: the wait for a slot and the
/// call itself, the round trip on the link, and penalties for failures and stale evidence.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExpectedCost {
    /// The constants of the cost.
    pub tuning: CostTuning,
}

impl ExpectedCost {
    /// Returns the expected cost of a call to `view`, in milliseconds.
    pub fn cost_ms(&self, view: &UpstreamView, now: ClockTime) -> f64 {
        let service_ms = self.service_ms(view);
        let latency_ms = self.latency_ms(view, service_ms, now);
        latency_ms * (1.0 + self.waiting(view, now))
            + view.round_trip_ms
            + service_ms * self.penalty(view, now)
    }

    fn service_ms(&self, view: &UpstreamView) -> f64 {
        if view.service_ms > 0.0 { view.service_ms } else { self.tuning.unknown_latency_ms }
    }

    /// Returns the server's own time for a call. Old estimates return to the service's mean, so
    /// that a server that was slow is tried again.
    fn latency_ms(&self, view: &UpstreamView, service_ms: f64, now: ClockTime) -> f64 {
        let Some(sampled_at) = view.sampled_at else { return service_ms };
        let tail_ms = (view.tail_ms - view.latency_ms).max(0.0);
        let measured_ms = view.latency_ms + self.tuning.tail_weight * tail_ms;
        let weight = remaining(now.since(sampled_at), self.tuning.latency_memory);
        service_ms + weight * (measured_ms - service_ms)
    }

    /// Returns the expected wait for a slot, in units of the server's latency.
    fn waiting(&self, view: &UpstreamView, now: ClockTime) -> f64 {
        let slots = f64::from(view.slots.max(1));
        let calls = f64::from(view.own_in_flight) + self.others(view, now);
        let occupancy = (calls / slots).min(1.0);
        let queue = (calls + 1.0 - slots).max(0.0);
        self.tuning.occupancy_weight * occupancy * occupancy + queue / slots
    }

    /// Returns the estimated calls of other VMs. A report returns to the service's mean as it
    /// ages.
    fn others(&self, view: &UpstreamView, now: ClockTime) -> f64 {
        let Some(reported_at) = view.reported_at else { return view.others_mean };
        let weight = remaining(now.since(reported_at), self.tuning.report_memory);
        view.others_mean + weight * (view.others - view.others_mean)
    }

    fn penalty(&self, view: &UpstreamView, now: ClockTime) -> f64 {
        let tuning = &self.tuning;
        let mut penalty = 0.0;
        if view.failure_rate > 0.0 {
            let weight = remaining(now.since(view.judged_at), tuning.failure_memory);
            penalty += tuning.failure_weight * view.failure_rate * weight;
        }
        let silence = view.heard_at.map_or(ClockSpan::MAX, |heard_at| now.since(heard_at));
        penalty += tuning.stale_weight * (1.0 - remaining(silence, tuning.stale_memory));
        if view.slots <= tuning.preference_slots {
            penalty += tuning.preference_weight * view.preference;
        }
        penalty
    }
}

impl ChoicePolicy for ExpectedCost {
    fn choose(
        &self,
        candidates: &[UpstreamView],
        now: ClockTime,
        random: &mut RandomSource,
    ) -> Option<usize> {
        let tuning = &self.tuning;
        least_by(candidates, random, |view, random| {
            self.cost_ms(view, now) * (1.0 + tuning.cost_jitter * random.unit())
        })
    }
}
