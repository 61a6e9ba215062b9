//! What a policy sees of one upstream.

use base::prelude::*;

/// One upstream as a candidate for a call. Times are absolute, so that the policy ages the
/// evidence at the moment of the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamView {
    /// Calls of this VM in flight.
    pub own_in_flight: u32,
    /// When the oldest of them was sent, or `None` if there is none.
    pub oldest_at: Option<ClockTime>,
    /// Slots of the server.
    pub slots: u32,
    /// Calls of other VMs, running or queued, at the last load report.
    pub others: f64,
    /// Average of `others` over the last seconds.
    pub others_mean: f64,
    /// When the last load report was made, or `None` if there was none.
    pub reported_at: Option<ClockTime>,
    /// Decaying mean of the server's own time for a call, in milliseconds.
    pub latency_ms: f64,
    /// Decaying peak of the server's own time for a call, in milliseconds.
    pub tail_ms: f64,
    /// When the last latency was measured, or `None` if there was none.
    pub sampled_at: Option<ClockTime>,
    /// Mean latency of the whole service in milliseconds, to which old estimates return.
    pub service_ms: f64,
    /// Decaying share of failures, `0.0..=1.0`.
    pub failure_rate: f64,
    /// When `failure_rate` last changed.
    pub judged_at: ClockTime,
    /// When the server was last heard of first hand, or `None` if never.
    pub heard_at: Option<ClockTime>,
    /// Round trip to the server's data centre, in milliseconds.
    pub round_trip_ms: f64,
    /// Share of its normal weight that the server may take, `0.0..=1.0`.
    pub ramp: f64,
    /// Position in this VM's order of preference, from 0.0 (first) to 1.0 (last).
    pub preference: f64,
}

impl UpstreamView {
    /// Returns an idle upstream with `slots` slots of which nothing is known.
    pub const fn idle(slots: u32) -> Self {
        Self {
            own_in_flight: 0,
            oldest_at: None,
            slots,
            others: 0.0,
            others_mean: 0.0,
            reported_at: None,
            latency_ms: 0.0,
            tail_ms: 0.0,
            sampled_at: None,
            service_ms: 0.0,
            failure_rate: 0.0,
            judged_at: ClockTime::ZERO,
            heard_at: None,
            round_trip_ms: 0.0,
            ramp: 1.0,
            preference: 0.0,
        }
    }
}
