//! Decides whether a call is sent, waits for a better upstream or is refused, depending on whether
//! it is expected to meet its latency objective.
//!
//! Servers with few slots and noisy neighbours are often slow or full for less time than a call
//! takes. A call that is sent to one of them misses its objective and, under overload, takes the
//! slot of a call that would meet it. So a call waits while there is time for a better server, and
//! is refused if it would be late while most others would be late as well.

use base::prelude::*;
use world::prelude::*;

use crate::average::DecayingAverage;

/// Parameters of [`AdmissionPolicy`].
#[derive(Clone, Copy, Debug)]
pub struct AdmissionTuning {
    /// Weight of a new sample in the typical latency.
    pub sample_weight: f64,
    /// Samples needed before the typical latency is used.
    pub min_samples: u32,
    /// Part of the objective that is reserved for the network path from and to the caller.
    pub caller_margin: ClockSpan,
    /// Weight of a new decision in the share of decisions without an upstream that is expected to
    /// meet the objective.
    pub decision_weight: f64,
    /// Calls that are expected to miss their objective are refused once the share of decisions
    /// without such an upstream reaches this value, `0.0..=1.0`.
    pub refusal_threshold: f64,
}

impl Default for AdmissionTuning {
    fn default() -> Self {
        Self {
            // The latency varies by a third, and changes of pace during a call add to that, so that
            // the mean of about 20 calls is within a tenth.
            sample_weight: 0.05,
            min_samples: 5,
            // Callers are 8 ms away in each direction, and a small VM takes some time to forward
            // the response.
            caller_margin: ClockSpan::from_millis(18),
            // The weight covers about the calls of one VM to one service in 2 s.
            decision_weight: 0.1,
            // Below one half, most calls still find an upstream that meets the objective, so that a
            // late call does not take the slot of another one.
            refusal_threshold: 0.5,
        }
    }
}

/// Decision about a call, given its expected latency on the best known upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// Send it to that upstream.
    Send,
    /// Let it wait for a better upstream.
    Wait,
    /// Refuse it.
    Refuse,
}

/// Expected latency of a call on the best known upstream.
#[derive(Clone, Copy, Debug)]
pub struct LatencyForecast {
    /// Time left until the objective is missed.
    pub remaining: ClockSpan,
    /// Expected latency on that upstream divided by the typical latency.
    pub slowdown: f64,
    /// Network round trip to that upstream.
    pub round_trip: ClockSpan,
    /// Whether the call has already waited for a better upstream.
    pub has_waited: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct ClassLatency {
    average: DecayingAverage,
    samples: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct ServiceLatencies {
    classes: [ClassLatency; WorkClass::ALL.len()],
    /// Moving share of decisions without an upstream that is expected to meet the objective.
    miss_share: f64,
}

/// Typical latency of calls by service and class, and how often no upstream is expected to meet the
/// objective.
#[derive(Debug)]
pub struct AdmissionPolicy {
    tuning: AdmissionTuning,
    services: RankedMutex<NameMap<ServiceLatencies>>,
}

impl AdmissionPolicy {
    /// Returns a policy without services.
    pub fn new(tuning: AdmissionTuning) -> Self {
        Self { tuning, services: RankedMutex::new(LockRank::WaitQueue, NameMap::default()) }
    }

    /// Applies an environment: keeps the services that have upstreams.
    pub fn apply(&self, map: &EnvironmentMap) {
        let mut services = self.services.lock();
        services.retain(|name, _| map.upstreams.contains_key(name));
        for name in map.upstreams.keys() {
            services.entry(name.clone()).or_default();
        }
    }

    /// Records the latency of a call that was expected to take `slowdown` times the typical
    /// latency. Calls of unknown services are ignored.
    pub fn record(
        &self,
        service: &str,
        class: WorkClass,
        latency: ClockSpan,
        slowdown: f64,
        now: ClockTime,
    ) {
        let mut services = self.services.lock();
        let Some(latencies) = services.get_mut(service) else { return };
        let typical = &mut latencies.classes[class.index()];
        typical.samples = typical.samples.saturating_add(1);
        let weight = self.tuning.sample_weight.max(1.0 / f64::from(typical.samples));
        typical.average.record(latency.scaled(slowdown.recip()), weight, now);
    }

    /// Returns the typical latency of calls, or `None` until enough of them have ended.
    pub fn typical(&self, service: &str, class: WorkClass, now: ClockTime) -> Option<ClockSpan> {
        let services = self.services.lock();
        let ClassLatency { average, samples } = services.get(service)?.classes[class.index()];
        (samples >= self.tuning.min_samples).then(|| average.value(now))
    }

    /// Returns whether a call that waits for `wait` before it is sent is still expected to meet its
    /// objective, of which `remaining` is left. It is not while the typical latency is unknown.
    pub fn allows_wait(
        &self,
        service: &str,
        class: WorkClass,
        wait: ClockSpan,
        remaining: ClockSpan,
        now: ClockTime,
    ) -> bool {
        let margin = self.tuning.caller_margin;
        let typical = self.typical(service, class, now);
        typical.is_some_and(|typical| wait + typical + margin <= remaining)
    }

    /// Decides what to do with a call. Calls of the most urgent class are never refused. Every call
    /// is sent until the typical latency is known.
    pub fn decide(
        &self,
        service: &str,
        class: WorkClass,
        forecast: &LatencyForecast,
        now: ClockTime,
    ) -> AdmissionDecision {
        let tuning = &self.tuning;
        let Some(typical) = self.typical(service, class, now) else {
            return AdmissionDecision::Send;
        };
        let mut services = self.services.lock();
        let Some(latencies) = services.get_mut(service) else { return AdmissionDecision::Send };
        let remaining =
            forecast.remaining.saturating_sub(tuning.caller_margin + forecast.round_trip);
        let meets_objective = typical.scaled(forecast.slowdown) <= remaining;
        if !forecast.has_waited {
            let sample = if meets_objective { 0.0 } else { 1.0 };
            latencies.miss_share += tuning.decision_weight * (sample - latencies.miss_share);
        }
        let overloaded = latencies.miss_share >= tuning.refusal_threshold;
        if !meets_objective && typical <= remaining {
            AdmissionDecision::Wait
        } else if !meets_objective && overloaded && class != WorkClass::Urgent {
            AdmissionDecision::Refuse
        } else {
            AdmissionDecision::Send
        }
    }
}
