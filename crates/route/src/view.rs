//! The evidence on one upstream in the form in which a policy reads it.

use base::prelude::*;

use crate::estimate::{age_ms, decay_weight_since};
use crate::remote::RemoteReason;

/// One upstream as a candidate for a call. It holds the times at which evidence was gathered, and
/// the policy computes the ages at the time of the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamView {
    /// Calls of this VM in flight.
    pub own_in_flight: u32,
    /// When the oldest of them was sent, or `None` if there is none.
    pub oldest_at: Option<ClockTime>,
    /// Slots of the server.
    pub slots: u32,
    /// Calls of other VMs, running or queued, at the last load report.
    pub other_calls: f64,
    /// Mean of `other_calls` over the service's upstreams and the last seconds, scaled to the slots
    /// of this server.
    pub other_calls_mean: f64,
    /// When the last load report was made, or `None` if there was none.
    pub reported_at: Option<ClockTime>,
    /// Pace at the last report of it: service time on the server's machine relative to the usual
    /// one; 1.0 is usual, higher is slower.
    pub pace: f64,
    /// When that report was made, or `None` if there was none.
    pub paced_at: Option<ClockTime>,
    /// Mean pace over the service's upstreams, to which an old pace decays.
    pub pace_mean: f64,
    /// When the server's warm-up ends, or `None` if it was already warm when it was added.
    pub warm_up_until: Option<ClockTime>,
    /// When a probe was last found to be unanswered, or `None` if data has arrived directly from
    /// the server since then.
    pub probe_timeout_at: Option<ClockTime>,
    /// Decaying mean of the latency of calls without the round trip, in milliseconds.
    pub latency_ms: f64,
    /// Decaying peak of that latency, in milliseconds.
    pub tail_ms: f64,
    /// When the last latency was measured, or `None` if there was none.
    pub sampled_at: Option<ClockTime>,
    /// Mean latency of the whole service in milliseconds, or 0.0 before its first call has ended.
    pub service_ms: f64,
    /// Decaying share of failures, `0.0..=1.0`.
    pub failure_rate: f64,
    /// When `failure_rate` last changed.
    pub outcome_at: ClockTime,
    /// When the last failure was recorded, or `None` if there was none.
    pub failed_at: Option<ClockTime>,
    /// When data last arrived directly from the server (response or probe), or `None` if never.
    pub contact_at: Option<ClockTime>,
    /// Round-trip time to the server's data centre, in milliseconds.
    pub round_trip_ms: f64,
    /// Share of its normal calls that the server may get, below 1.0 during its slow start.
    pub ramp: f64,
    /// Rank in this VM's order of preference, from 0.0 (first) to 1.0 (last).
    pub preference: f64,
}

/// What this VM knew about an upstream when it chose it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChoiceEvidence {
    /// The upstream as the policy saw it.
    pub view: UpstreamView,
    /// The cost that the policy assigned to it, or `None` if the policy computes none.
    pub cost_ms: Option<f64>,
    /// Number of upstreams to choose from.
    pub candidates: u32,
    /// Why the call may leave the data centre of this VM.
    pub remote: RemoteReason,
}

impl ChoiceEvidence {
    /// Returns the age of the newest report of load or pace, or `None` if there was none.
    pub fn age(&self, now: ClockTime) -> Option<ClockSpan> {
        self.view.reported_at.max(self.view.paced_at).map(|at| now.since(at))
    }
}

impl UpstreamView {
    /// Returns an upstream with `slots` slots and without any evidence or calls.
    pub const fn idle(slots: u32) -> Self {
        Self {
            own_in_flight: 0,
            oldest_at: None,
            slots,
            other_calls: 0.0,
            other_calls_mean: 0.0,
            reported_at: None,
            pace: 1.0,
            paced_at: None,
            pace_mean: 1.0,
            warm_up_until: None,
            probe_timeout_at: None,
            latency_ms: 0.0,
            tail_ms: 0.0,
            sampled_at: None,
            service_ms: 0.0,
            failure_rate: 0.0,
            outcome_at: ClockTime::ZERO,
            failed_at: None,
            contact_at: None,
            round_trip_ms: 0.0,
            ramp: 1.0,
            preference: 0.0,
        }
    }

    /// Returns by how much the age of this VM's oldest call exceeds `allowance`. Both are in mean
    /// latencies of the service; `per_ms` is the reciprocal of that latency in milliseconds.
    pub(crate) fn overdue(&self, allowance: f64, per_ms: f64, now: ClockTime) -> f64 {
        self.oldest_at.map_or(0.0, |oldest_at| {
            let waited = (age_ms(now, oldest_at) - self.round_trip_ms) * per_ms;
            (waited - allowance).max(0.0)
        })
    }

    /// Returns the failure rate, decayed by `decay_per_ms` e-folds for each millisecond since it
    /// last changed.
    pub(crate) fn decayed_failure_rate(&self, decay_per_ms: f64, now: ClockTime) -> f64 {
        if self.failure_rate > 0.0 {
            self.failure_rate * decay_weight_since(now, self.outcome_at, decay_per_ms)
        } else {
            0.0
        }
    }
}
