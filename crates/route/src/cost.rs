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
        let calls = 1.0
            + self.queueing(view, service_ms, now)
            + self.slowness(view, service_ms, now)
            + self.penalty(view, now);
        service_ms * calls + view.round_trip_ms
    }

    fn service_ms(&self, view: &UpstreamView) -> f64 {
        if view.service_ms > 0.0 { view.service_ms } else { self.tuning.unknown_latency_ms }
    }

    /// Returns the expected wait for a slot.
    fn queueing(&self, view: &UpstreamView, service_ms: f64, now: ClockTime) -> f64 {
        let tuning = &self.tuning;
        let slots = f64::from(view.slots.max(1));
        let mut cost = tuning.own_weight * f64::from(view.own_in_flight) / slots;
        if let Some(reported_at) = view.reported_at {
            let memory = ClockSpan::from_millis_f64(tuning.report_memory * service_ms);
            let memory = memory.min(tuning.report_memory_max);
            let weight = remaining(now.since(reported_at), memory);
            cost += tuning.report_weight * weight * (view.others - view.others_mean) / slots;
            if f64::from(view.own_in_flight) + view.others >= slots {
                cost += tuning.full_weight * weight * weight;
            }
        }
        cost
    }

    /// Returns the cost of a server that is slow. Old estimates lose their weight, so that a
    /// server that was slow is tried again. An own call that is overdue shows a stall before any
    /// response does.
    fn slowness(&self, view: &UpstreamView, service_ms: f64, now: ClockTime) -> f64 {
        let tuning = &self.tuning;
        let mut cost = 0.0;
        if let Some(oldest_at) = view.oldest_at {
            let waited = (now.since(oldest_at).as_millis_f64() - view.round_trip_ms) / service_ms;
            cost += tuning.overdue_weight * (waited - tuning.overdue_after).max(0.0);
        }
        if let Some(sampled_at) = view.sampled_at {
            let tail_ms = (view.tail_ms - view.latency_ms).max(0.0);
            let measured = (view.latency_ms + tuning.tail_weight * tail_ms) / service_ms;
            let excess = (measured - tuning.slow_from).max(0.0);
            let weight = remaining(now.since(sampled_at), tuning.slow_memory);
            cost += tuning.slow_weight * weight * excess;
        }
        cost
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
        penalty + tuning.preference_weight * view.preference
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
