//! Adaptive concurrency limit: the most calls that this VM keeps in flight to a service.

use base::prelude::*;
use world::prelude::*;

/// What the result of a call indicates about the capacity of its service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitSignal {
    /// A response arrived, with its latency.
    Response(ClockSpan),
    /// The upstream shed the call: it refused the call because of its load.
    Shed,
    /// The call timed out.
    TimedOut,
    /// The call ended in a way that indicates nothing about capacity: the connection was refused or
    /// lost, or the caller cancelled the call.
    Neutral,
}

/// Parameters of the adaptive concurrency limit.
#[derive(Clone, Debug)]
pub struct AdaptiveTuning {
    /// Whether calls are limited; otherwise they are only counted. A VM that sends a few calls a
    /// second to a service has too few samples for a limit, and its upstreams shed what they cannot
    /// run.
    pub enabled: bool,
    /// Minimum length of the window over which samples are averaged.
    pub window: ClockSpan,
    /// Minimum number of samples in a window.
    pub window_samples: u32,
    /// The limit shrinks once the mean latency exceeds the baseline by this factor.
    pub tolerance: f64,
    /// Lower bound of the gradient, the factor by which a high latency reduces the limit's target
    /// in one window.
    pub gradient_min: f64,
    /// Fraction of the distance to its target by which the limit moves in one window.
    pub smoothing: f64,
    /// Factor applied to the limit in a window with shed or timed-out calls.
    pub backoff: f64,
    /// Fraction by which the baseline (the lowest mean latency so far) rises in one window, so that
    /// it follows a lasting increase of the service's own latency: it doubles in about 70 s.
    pub baseline_drift: f64,
    /// Fraction of the limit that must have been in use for the limit to grow.
    pub growth_use: f64,
    /// Smallest limit, as a fraction of the fair share of all slots.
    pub floor_share: f64,
}

impl Default for AdaptiveTuning {
    fn default() -> Self {
        Self {
            enabled: true,
            window: ClockSpan::from_millis(100),
            window_samples: 5,
            tolerance: 1.5,
            gradient_min: 0.5,
            smoothing: 0.3,
            backoff: 0.7,
            baseline_drift: 0.001,
            growth_use: 0.8,
            floor_share: 0.25,
        }
    }
}

/// Samples since the last change of the limit.
#[derive(Clone, Copy, Debug, Default)]
struct SampleWindow {
    started: ClockTime,
    /// In milliseconds.
    latency_sum: f64,
    samples: u32,
    peak_in_flight: u32,
    /// Calls that were shed or timed out.
    overloads: u32,
}

#[derive(Debug)]
struct ServiceLimit {
    floor: f64,
    ceiling: f64,
    current: f64,
    in_flight: u32,
    /// Lowest mean latency of a window so far, raised by `baseline_drift` in each window, in
    /// milliseconds.
    baseline: Option<f64>,
    window: SampleWindow,
}

impl ServiceLimit {
    fn allowed(&self) -> u32 {
        self.current as u32
    }

    fn record(&mut self, signal: LimitSignal) {
        match signal {
            LimitSignal::Response(latency) => {
                self.window.latency_sum += latency.as_millis_f64();
                self.window.samples += 1;
            }
            LimitSignal::Shed | LimitSignal::TimedOut => self.window.overloads += 1,
            LimitSignal::Neutral => {}
        }
    }

    /// Updates the limit at the end of a window. With shed or timed-out calls the number of samples
    /// does not matter, because a service that sheds every call yields none.
    fn update(&mut self, tuning: &AdaptiveTuning, now: ClockTime) {
        let window = self.window;
        let complete = window.samples >= tuning.window_samples || window.overloads > 0;
        if now.since(window.started) < tuning.window || !complete {
            return;
        }
        let target = if window.overloads > 0 {
            self.current * tuning.backoff
        } else {
            self.gradient_target(tuning, window)
        };
        self.current = target.clamp(self.floor, self.ceiling);
        self.window = SampleWindow { started: now, ..SampleWindow::default() };
    }

    fn gradient_target(&mut self, tuning: &AdaptiveTuning, window: SampleWindow) -> f64 {
        let mean = (window.latency_sum / f64::from(window.samples)).max(f64::MIN_POSITIVE);
        let drifted = self.baseline.map_or(mean, |old| old * (1.0 + tuning.baseline_drift));
        let baseline = drifted.min(mean);
        self.baseline = Some(baseline);
        let gradient = (tuning.tolerance * baseline / mean).clamp(tuning.gradient_min, 1.0);
        let target = self.current * gradient + self.current.sqrt();
        // Calls are whole: a limit of 2.9 is fully used by 2 calls.
        let underused = f64::from(window.peak_in_flight) < self.current.floor() * tuning.growth_use;
        let next = self.current + (target - self.current) * tuning.smoothing;
        if underused { next.min(self.current) } else { next }
    }
}

/// Adaptive concurrency limit of this VM for each service.
///
/// The limit follows the ratio of the baseline latency to the current one (the gradient) and
/// shrinks when calls are shed or time out. Its lock has the rank of the wait queue and is never
/// held together with that of the queue.
#[derive(Debug)]
pub struct AdaptiveLimit {
    tuning: AdaptiveTuning,
    state: RankedMutex<NameMap<ServiceLimit>>,
}

impl AdaptiveLimit {
    /// Returns a limit without services.
    pub fn new(tuning: AdaptiveTuning) -> Self {
        Self { tuning, state: RankedMutex::new(LockRank::WaitQueue, NameMap::default()) }
    }

    /// Applies the contracts and upstreams of an environment. A new service starts at this VM's
    /// fair share of its slots; the limit never exceeds the number of all slots.
    pub fn apply(&self, map: &EnvironmentMap, now: ClockTime) {
        let mut state = self.state.lock();
        state.retain(|name, _| map.contract(name).is_some());
        for contract in &map.contracts {
            let upstreams = map.upstreams_of(&contract.name);
            let slots: u64 = upstreams.iter().map(|upstream| u64::from(upstream.slots)).sum();
            let ceiling = slots.max(1) as f64;
            let fair_share = (ceiling / f64::from(contract.vm_ceiling.max(1))).ceil();
            let floor = (fair_share * self.tuning.floor_share).max(1.0);
            let limit = state.entry(contract.name.clone()).or_insert(ServiceLimit {
                floor,
                ceiling,
                current: fair_share,
                in_flight: 0,
                baseline: None,
                window: SampleWindow { started: now, ..SampleWindow::default() },
            });
            limit.floor = floor;
            limit.ceiling = ceiling;
            limit.current = limit.current.clamp(floor, ceiling);
        }
    }

    /// Counts one more call in flight if the limit allows it, and returns whether it does. A
    /// disabled limit allows every call.
    pub fn try_start(&self, service: &str, _now: ClockTime) -> bool {
        let mut state = self.state.lock();
        let Some(limit) = state.get_mut(service) else { return !self.tuning.enabled };
        let allowed = !self.tuning.enabled || limit.in_flight < limit.allowed();
        if allowed {
            limit.in_flight += 1;
            limit.window.peak_in_flight = limit.window.peak_in_flight.max(limit.in_flight);
        }
        allowed
    }

    /// Counts one call less in flight and records its result.
    pub fn finish(&self, service: &str, signal: LimitSignal, now: ClockTime) {
        let mut state = self.state.lock();
        let Some(limit) = state.get_mut(service) else { return };
        limit.window.peak_in_flight = limit.window.peak_in_flight.max(limit.in_flight);
        limit.in_flight = limit.in_flight.saturating_sub(1);
        if self.tuning.enabled {
            limit.record(signal);
            limit.update(&self.tuning, now);
        }
    }

    /// Returns the current limit of a service: zero if the service is unknown, or [`u32::MAX`] if
    /// the limit is disabled.
    pub fn limit(&self, service: &str) -> u32 {
        if !self.tuning.enabled {
            return u32::MAX;
        }
        self.state.lock().get(service).map_or(0, ServiceLimit::allowed)
    }

    /// Returns the number of calls in flight to a service.
    pub fn in_flight(&self, service: &str) -> u32 {
        self.state.lock().get(service).map_or(0, |limit| limit.in_flight)
    }
}
