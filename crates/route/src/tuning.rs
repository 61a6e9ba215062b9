//! The parameters of upstream selection, with their units.

use base::prelude::*;

/// Parameters of evidence, ejection, slow start and the exchange between VMs. The values that turn
/// a rule off are for tests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteTuning {
    /// Time constant of the mean latency of one server.
    pub latency_decay: ClockSpan,
    /// Time constant with which a latency peak decays to the mean.
    pub tail_decay: ClockSpan,
    /// Time constant of the means over a whole service. Long enough that a server which takes most
    /// calls and becomes slow still differs from the mean.
    pub service_decay: ClockSpan,
    /// The largest weight of one sample in a mean, `0.0..=1.0`.
    pub sample_weight_max: f64,
    /// Age up to which a report of full slots and a queue makes a server count as full; zero turns
    /// the rule off.
    pub full_report_age: ClockSpan,
    /// Time for which a server counts as full after it shed a call; zero turns the rule off.
    pub shed_backoff: ClockSpan,
    /// Time constant of the failure rate.
    pub failure_decay: ClockSpan,
    /// Total weight of consecutive failures that ejects a server; infinity turns the rule off.
    pub consecutive_failure_limit: f64,
    /// The limit of consecutive failures during the slow start of the server.
    pub ramp_consecutive_failure_limit: f64,
    /// Failure rate that ejects a server; a value above 1.0 turns the rule off.
    pub failure_rate_limit: f64,
    /// Total weight of recent outcomes that the failure rate needs to eject a server.
    pub failure_rate_min_outcomes: f64,
    /// Weight of a failed connection attempt among consecutive failures. A refused connection means
    /// that no process listens, which is stronger evidence than an error response.
    pub connect_weight: f64,
    /// Weight of a timeout among consecutive failures and in the failure rate. The call itself may
    /// have been slow, or its connection lost, so a timeout is weaker evidence than an error
    /// response.
    pub timeout_weight: f64,
    /// Largest share of a service's servers that may be ejected at once, rounded down; zero turns
    /// ejection off.
    pub ejection_share_max: f64,
    /// Length of the first ejection, doubled by each further ejection.
    pub ejection_base: ClockSpan,
    /// The longest ejection, before jitter.
    pub ejection_max: ClockSpan,
    /// Relative jitter of the length, so that VMs do not readmit a server at the same time.
    pub ejection_jitter: f64,
    /// Time without ejection after which the length starts again at `ejection_base`.
    pub ejection_reset_time: ClockSpan,
    /// Panic threshold: share of healthy servers below which ejections are ignored; zero turns the
    /// rule off.
    pub panic_threshold: f64,
    /// Length of the slow start, the ramp over which the share of a new, restarted or readmitted
    /// server grows to the normal one; zero turns the ramp off.
    pub ramp_time: ClockSpan,
    /// Share of its normal calls that a server gets at the start of the ramp.
    pub ramp_floor: f64,
    /// Time after which an unconfirmed drain flag expires, so that a restarted server that is not
    /// probed is used again.
    pub drain_ttl: ClockSpan,
    /// Added to the age of received notices for the time in transit, so that forwarded evidence
    /// never looks fresher than it is.
    pub transit_allowance: ClockSpan,
    /// Age up to which load is sent to peers.
    pub export_age: ClockSpan,
    /// Round-trip time assumed between data centres without a configured link.
    pub default_round_trip: ClockSpan,
}

impl RouteTuning {
    /// The production values.
    pub const STANDARD: Self = Self {
        latency_decay: ClockSpan::from_millis(100),
        tail_decay: ClockSpan::from_millis(200),
        service_decay: ClockSpan::from_secs(10),
        sample_weight_max: 0.3,
        full_report_age: ClockSpan::from_millis(5),
        shed_backoff: ClockSpan::from_millis(20),
        failure_decay: ClockSpan::from_secs(5),
        consecutive_failure_limit: 5.0,
        ramp_consecutive_failure_limit: 2.0,
        failure_rate_limit: 0.5,
        failure_rate_min_outcomes: 10.0,
        connect_weight: 2.0,
        timeout_weight: 0.5,
        ejection_share_max: 0.5,
        ejection_base: ClockSpan::from_secs(1),
        ejection_max: ClockSpan::from_secs(60),
        ejection_jitter: 0.25,
        ejection_reset_time: ClockSpan::from_secs(60),
        panic_threshold: 0.25,
        ramp_time: ClockSpan::from_secs(5),
        ramp_floor: 0.1,
        drain_ttl: ClockSpan::from_secs(300),
        transit_allowance: ClockSpan::from_millis(5),
        export_age: ClockSpan::from_millis(500),
        default_round_trip: ClockSpan::from_millis(50),
    };
}

impl Default for RouteTuning {
    fn default() -> Self {
        Self::STANDARD
    }
}

/// Parameters of [`ExpectedCost`](crate::cost::ExpectedCost). Weights and costs are in units of the
/// service's mean latency.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostTuning {
    /// Cost when this VM's calls occupy all slots.
    pub own_weight: f64,
    /// Cost when the calls of other VMs occupy all slots; zero ignores their number.
    pub report_weight: f64,
    /// Additional cost of a server whose slots are all occupied according to a fresh report.
    pub full_weight: f64,
    /// Decay rate of a load report's weight, in e-folds for each mean latency of the service. A
    /// slot is free again within about one latency.
    pub report_rate: f64,
    /// The longest time constant of a load report.
    pub report_decay_max: ClockSpan,
    /// Age from which a call of this VM in flight counts as overdue, in mean latencies of the
    /// service.
    pub overdue_after: f64,
    /// Cost for each mean latency by which this VM's oldest call is overdue; zero turns the rule
    /// off.
    pub overdue_weight: f64,
    /// Latency relative to the service's mean up to which a server does not count as slow.
    pub slow_threshold: f64,
    /// Cost for each mean latency beyond `slow_threshold`; zero ignores latency.
    pub slow_weight: f64,
    /// Weight of the difference between peak and mean latency.
    pub tail_weight: f64,
    /// Time constant with which the cost of a slow server decays.
    pub slow_decay: ClockSpan,
    /// Mean latency assumed before any call has ended, in milliseconds.
    pub default_latency_ms: f64,
    /// Cost of a failure rate of 1.0; zero ignores failures.
    pub failure_weight: f64,
    /// Time constant with which the cost of a failure rate decays.
    pub failure_rate_decay: ClockSpan,
    /// Cost of a server without any recent contact.
    pub stale_weight: f64,
    /// Time constant with which `stale_weight` takes effect after the last contact.
    pub stale_decay: ClockSpan,
    /// Cost of the last server in the VM's order of preference; zero ignores the order.
    pub preference_weight: f64,
    /// Largest random increase of each cost, as a share of it, so that VMs with the same evidence
    /// choose differently.
    pub cost_jitter: f64,
}

impl CostTuning {
    /// The production values.
    pub const STANDARD: Self = Self {
        own_weight: 24.0,
        report_weight: 1.0,
        full_weight: 2.0,
        report_rate: 1.0,
        report_decay_max: ClockSpan::from_millis(100),
        overdue_after: 2.0,
        overdue_weight: 1.0,
        slow_threshold: 2.0,
        slow_weight: 1.0,
        tail_weight: 0.1,
        slow_decay: ClockSpan::from_millis(500),
        default_latency_ms: 1.0,
        failure_weight: 20.0,
        failure_rate_decay: ClockSpan::from_secs(5),
        stale_weight: 0.02,
        stale_decay: ClockSpan::from_secs(1),
        preference_weight: 4.0,
        cost_jitter: 0.05,
    };
}

impl Default for CostTuning {
    fn default() -> Self {
        Self::STANDARD
    }
}

/// Parameters of [`PacedChoice`](crate::paced::PacedChoice). Weights and costs are in units of the
/// service's mean latency.
///
/// The pace of a server is its service time relative to the usual one: 1.0 is usual, higher is
/// slower.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PacedTuning {
    /// Time constant with which a reported pace decays to the mean of the service.
    pub pace_decay: ClockSpan,
    /// Time constant with which the reported calls of other VMs decay to the mean of the service.
    pub load_decay: ClockSpan,
    /// Share of occupied slots, the new call included, from which calls take longer.
    pub busy_threshold: f64,
    /// Factor on the latency of a call when all slots are occupied; 1.0 turns the rule off.
    pub full_factor: f64,
    /// Factor on the latency of a call to a server that is warming up; 1.0 turns the rule off.
    pub warm_up_factor: f64,
    /// Additional cost of a call to another data centre, in milliseconds.
    pub remote_ms: f64,
    /// Age from which a call of this VM in flight counts as overdue, in mean latencies of the
    /// service.
    pub overdue_after: f64,
    /// Cost for each mean latency by which this VM's oldest call is overdue; zero turns the rule
    /// off.
    pub overdue_weight: f64,
    /// Cost of a failure that was recorded now, or of a failure rate of 1.0; zero ignores failures.
    pub failure_weight: f64,
    /// Time constant with which the cost of the last failure decays.
    pub last_failure_decay: ClockSpan,
    /// Time constant with which the cost of a failure rate decays.
    pub failure_rate_decay: ClockSpan,
    /// Cost of a server immediately after an unanswered probe; zero ignores unanswered probes.
    pub probe_timeout_weight: f64,
    /// Time in which the cost of an unanswered probe falls linearly to zero.
    pub probe_timeout_fade: ClockSpan,
    /// Mean latency assumed before any call has ended, in milliseconds.
    pub default_latency_ms: f64,
    /// Largest random increase of each cost, as a share of it, so that VMs with the same evidence
    /// choose differently.
    pub cost_jitter: f64,
}

impl PacedTuning {
    /// The production values.
    pub const STANDARD: Self = Self {
        // Half of the time for which the pace of a server usually stays the same (300 ms).
        pace_decay: ClockSpan::from_millis(150),
        // About the latency of a call, after which a slot is free again.
        load_decay: ClockSpan::from_millis(100),
        // As documented for the upstreams of the platform, and so is `full_factor`.
        busy_threshold: 0.8,
        full_factor: 1.7,
        // A server that is warming up takes about twice as long.
        warm_up_factor: 2.0,
        // Traffic between data centres is expensive, but so is a late call. The cost is less than
        // that of a pace 10% above the usual one, which does not count as slow.
        remote_ms: 10.0,
        // A server reports nothing while it runs a call. Without probes, a share of 0.906 of the
        // calls met the objective in examples/paced_model.rs, and 0.889 with a value of 2.0.
        overdue_after: 0.5,
        // The next call may wait for as long as the present one is overdue.
        overdue_weight: 1.0,
        // One second after a failure, the cost (4.1) still exceeds that of a pace of 4 (3.0).
        failure_weight: 8.0,
        last_failure_decay: ClockSpan::from_millis(1500),
        // The time constant of the failure rate itself, `RouteTuning::failure_decay`.
        failure_rate_decay: ClockSpan::from_secs(5),
        // After half of the time, the cost (5.0) still exceeds that of a pace of 4 (3.0).
        probe_timeout_weight: 10.0,
        probe_timeout_fade: ClockSpan::from_millis(300),
        // Typical of the services on the platform (51 to 480 ms).
        default_latency_ms: 100.0,
        // Less than the effect of a change of the pace by 10%.
        cost_jitter: 0.02,
    };
}

impl Default for PacedTuning {
    fn default() -> Self {
        Self::STANDARD
    }
}
