//! The most calls that this VM keeps in flight to a service.

use base::prelude::*;
use world::prelude::*;

/// What the end of a call says about the capacity of its service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitSignal {
    /// A response arrived, with its latency.
    Response(ClockSpan),
    /// The upstream shed the call.
    Shed,
    /// The call timed out.
    TimedOut,
    /// The call ended in a way that says nothing about capacity: refused connection, lost
    /// connection, cancelled by the caller.
    Neutral,
}

/// Constants of the adaptive limit.
#[derive(Clone, Debug)]
pub struct AdaptiveTuning {
    /// Whether the limit holds calls back. A VM that sends a few calls a second to a service has
    /// too few samples for a limit, and its upstreams shed what they cannot run.
    pub enabled: bool,
    /// Samples are averaged over a window of at least this length.
    pub window: ClockSpan,
    /// Samples that a window needs.
    pub window_samples: u32,
    /// Latency may grow to this multiple of the baseline before the limit shrinks.
    pub tolerance: f64,
    /// The strongest shrinking for latency in one window.
    pub gradient_min: f64,
    /// The share by which the limit moves towards its target in one window.
    pub smoothing: f64,
    /// The factor for a shed or timed-out call, at most once a window.
    pub backoff: f64,
    /// The share by which the baseline rises in one window, so that a lasting change of the
    /// service's own latency is learnt: it doubles in about 70 s.
    pub baseline_drift: f64,
    /// The share of the limit that must have been in use for it to grow.
    pub growth_use: f64,
    /// The smallest limit, as a share of the even share of all slots.
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
    latency_sum: f64,
    samples: u32,
    highest_use: u32,
    overloads: u32,
}

#[derive(Debug)]
struct ServiceLimit {
    floor: f64,
    ceiling: f64,
    limit: f64,
    in_flight: u32,
    baseline: Option<f64>,
    window: SampleWindow,
}

impl ServiceLimit {
    fn allowed(&self) -> u32 {
        self.limit as u32
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

    /// Changes the limit at the end of a window. Overload is acted on without the full number of
    /// samples, because a service that only sheds yields none.
    fn update(&mut self, tuning: &AdaptiveTuning, now: ClockTime) {
        let window = self.window;
        let complete = window.samples >= tuning.window_samples || window.overloads > 0;
        if now.since(window.started) < tuning.window || !complete {
            return;
        }
        let target = if window.overloads > 0 {
            self.limit * tuning.backoff
        } else {
            self.gradient_target(tuning, window)
        };
        self.limit = target.clamp(self.floor, self.ceiling);
        self.window = SampleWindow { started: now, ..SampleWindow::default() };
    }

    fn gradient_target(&mut self, tuning: &AdaptiveTuning, window: SampleWindow) -> f64 {
        let mean = (window.latency_sum / f64::from(window.samples)).max(f64::MIN_POSITIVE);
        let drifted = self.baseline.map_or(mean, |old| old * (1.0 + tuning.baseline_drift));
        let baseline = drifted.min(mean);
        self.baseline = Some(baseline);
        let gradient = (tuning.tolerance * baseline / mean).clamp(tuning.gradient_min, 1.0);
        let target = self.limit * gradient + self.limit.sqrt();
        // Only whole calls can be in use: a limit of 2.9 is fully used by two.
        let idle = f64::from(window.highest_use) < self.limit.floor() * tuning.growth_use;
        let next = self.limit + (target - self.limit) * tuning.smoothing;
        if idle { next.min(self.limit) } else { next }
    }
}

/// The most calls that this VM keeps in flight to each service.
///
/// The limit follows latency against its baseline (a gradient) and backs off for shed and
/// timed-out calls. Its lock has the rank of the wait queue and is never held together with it.
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

    /// Takes over the contracts and upstreams of `map`. A new service starts at the even share of
    /// its slots; the ceiling is all of them.
    pub fn apply(&self, map: &EnvironmentMap, now: ClockTime) {
        let mut state = self.state.lock();
        state.retain(|name, _| map.contract(name).is_some());
        for contract in &map.contracts {
            let upstreams = map.upstreams_of(&contract.name);
            let slots: u64 = upstreams.iter().map(|own| u64::from(own.slots)).sum();
            let ceiling = slots.max(1) as f64;
            let even = (ceiling / f64::from(contract.vm_ceiling.max(1))).ceil();
            let floor = (even * self.tuning.floor_share).max(1.0);
            let service = state.entry(contract.name.clone()).or_insert(ServiceLimit {
                floor,
                ceiling,
                limit: even,
                in_flight: 0,
                baseline: None,
                window: SampleWindow { started: now, ..SampleWindow::default() },
            });
            service.floor = floor;
            service.ceiling = ceiling;
            service.limit = service.limit.clamp(floor, ceiling);
        }
    }

    /// Counts one more call in flight if the limit allows it. Without a limit every call may
    /// start.
    pub fn try_start(&self, service: &str, _now: ClockTime) -> bool {
        let mut state = self.state.lock();
        let Some(own) = state.get_mut(service) else { return !self.tuning.enabled };
        let allowed = !self.tuning.enabled || own.in_flight < own.allowed();
        if allowed {
            own.in_flight += 1;
            own.window.highest_use = own.window.highest_use.max(own.in_flight);
        }
        allowed
    }

    /// Counts one call less in flight and records what its end says.
    pub fn finish(&self, service: &str, signal: LimitSignal, now: ClockTime) {
        let mut state = self.state.lock();
        let Some(own) = state.get_mut(service) else { return };
        own.window.highest_use = own.window.highest_use.max(own.in_flight);
        own.in_flight = own.in_flight.saturating_sub(1);
        if self.tuning.enabled {
            own.record(signal);
            own.update(&self.tuning, now);
        }
    }

    /// Returns the limit of a service, zero if it is unknown, or the largest number if there is no
    /// limit.
    pub fn limit(&self, service: &str) -> u32 {
        if !self.tuning.enabled {
            return u32::MAX;
        }
        self.state.lock().get(service).map_or(0, ServiceLimit::allowed)
    }

    /// Returns the calls in flight to a service.
    pub fn in_flight(&self, service: &str) -> u32 {
        self.state.lock().get(service).map_or(0, |own| own.in_flight)
    }
}
