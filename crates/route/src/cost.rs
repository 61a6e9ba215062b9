//! The default policy: the lowest expected cost.

use base::prelude::*;

use crate::estimate::{age_ms, decay_rate, decay_weight_since, exp_decay};
use crate::policy::{ChoicePolicy, min_cost_with_jitter};
use crate::tuning::CostTuning;
use crate::view::UpstreamView;

/// Chooses the upstream with the lowest expected cost in milliseconds: the wait for a slot and the
/// call itself, the round trip, and penalties for slowness, failures, stale evidence and a low rank
/// in this VM's order of preference.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExpectedCost {
    /// The parameters of the cost.
    pub tuning: CostTuning,
}

impl ExpectedCost {
    /// Returns the expected cost of a call to `view`, in milliseconds.
    pub fn cost_ms(&self, view: &UpstreamView, now: ClockTime) -> f64 {
        CostRates::new(&self.tuning).cost_ms(view, now)
    }
}

/// The parameters of one choice, with time constants converted to decay rates in e-folds for each
/// millisecond.
struct CostRates<'a> {
    tuning: &'a CostTuning,
    min_report_decay_per_ms: f64,
    slow_decay_per_ms: f64,
    failure_rate_decay_per_ms: f64,
    stale_decay_per_ms: f64,
}

impl<'a> CostRates<'a> {
    fn new(tuning: &'a CostTuning) -> Self {
        Self {
            tuning,
            min_report_decay_per_ms: decay_rate(tuning.report_decay_max),
            slow_decay_per_ms: decay_rate(tuning.slow_decay),
            failure_rate_decay_per_ms: decay_rate(tuning.failure_rate_decay),
            stale_decay_per_ms: decay_rate(tuning.stale_decay),
        }
    }

    fn cost_ms(&self, view: &UpstreamView, now: ClockTime) -> f64 {
        let known = view.service_ms > 0.0;
        let service_ms = if known { view.service_ms } else { self.tuning.default_latency_ms };
        let per_ms = service_ms.recip();
        let calls = 1.0
            + self.queueing(view, per_ms, now)
            + self.slowness(view, per_ms, now)
            + self.penalty(view, now);
        service_ms * calls + view.round_trip_ms
    }

    /// Returns the expected wait for a slot, in mean latencies of the service. If this VM's calls
    /// and those in the last load report occupy all slots, `full_weight` is added; it decays twice
    /// as fast as the other cost of the report.
    fn queueing(&self, view: &UpstreamView, per_ms: f64, now: ClockTime) -> f64 {
        let tuning = self.tuning;
        let slots = f64::from(view.slots.max(1));
        let own = f64::from(view.own_in_flight);
        let mut occupied = tuning.own_weight * own;
        let mut full = 0.0;
        if let Some(reported_at) = view.reported_at {
            let rate = (per_ms * tuning.report_rate).max(self.min_report_decay_per_ms);
            let weight = exp_decay(age_ms(now, reported_at) * rate);
            occupied += tuning.report_weight * weight * (view.other_calls - view.other_calls_mean);
            if own + view.other_calls >= slots {
                full = tuning.full_weight * weight * weight;
            }
        }
        occupied / slots + full
    }

    /// Returns the cost of a slow server, in mean latencies of the service. It decays, so that a
    /// server that was slow is used again. An overdue call of this VM shows a stall before any
    /// response does.
    fn slowness(&self, view: &UpstreamView, per_ms: f64, now: ClockTime) -> f64 {
        let tuning = self.tuning;
        let mut cost = tuning.overdue_weight * view.overdue(tuning.overdue_after, per_ms, now);
        if let Some(sampled_at) = view.sampled_at {
            let tail_ms = (view.tail_ms - view.latency_ms).max(0.0);
            let measured = (view.latency_ms + tuning.tail_weight * tail_ms) * per_ms;
            let excess = measured - tuning.slow_threshold;
            if excess > 0.0 {
                cost += tuning.slow_weight
                    * excess
                    * decay_weight_since(now, sampled_at, self.slow_decay_per_ms);
            }
        }
        cost
    }

    fn penalty(&self, view: &UpstreamView, now: ClockTime) -> f64 {
        let tuning = self.tuning;
        let recency = view
            .contact_at
            .map_or(0.0, |contact_at| decay_weight_since(now, contact_at, self.stale_decay_per_ms));
        tuning.preference_weight * view.preference
            + tuning.failure_weight * view.decayed_failure_rate(self.failure_rate_decay_per_ms, now)
            + tuning.stale_weight * (1.0 - recency)
    }
}

impl ChoicePolicy for ExpectedCost {
    fn choose(
        &self,
        candidates: &[UpstreamView],
        now: ClockTime,
        random: &mut RandomSource,
    ) -> Option<usize> {
        let rates = CostRates::new(&self.tuning);
        min_cost_with_jitter(candidates, random, self.tuning.cost_jitter, |view| {
            rates.cost_ms(view, now)
        })
    }
    fn expected_cost_ms(&self, view: &UpstreamView, now: ClockTime) -> Option<f64> {
        Some(self.cost_ms(view, now))
    }
}
