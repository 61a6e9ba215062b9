//! Retry tokens of services.

use std::collections::HashMap;

use base::prelude::*;
use world::prelude::*;
use world::request::MAX_CALL_DEPTH;

use crate::average::SpanAverage;

/// Constants of the retry budget.
#[derive(Clone, Debug)]
pub struct RetryTuning {
    /// The largest retry ratio that is honoured. With a share that halves with each level, the
    /// ratios of all levels add up to less than 0.4, and the product of `1 + ratio` over all
    /// levels stays below `e^0.4`, which is 1.492.
    pub ratio_max: f64,
    /// The factor by which a level's share is smaller than that of the level above, `0.0..=1.0`.
    pub depth_factor: f64,
    /// Tokens that may be saved up at depth 0; deeper levels save a share of it, at least one.
    pub reserve: f64,
    /// Tokens at the start of a service at depth 0. Deeper levels start empty.
    pub start_tokens: f64,
    /// Attempts of a call at depth 0, the first included.
    pub attempts: u32,
    /// Attempts of a deeper call, the first included.
    pub deep_attempts: u32,
    /// Weight of a new sample in the average call time.
    pub sample_weight: f64,
}

impl Default for RetryTuning {
    fn default() -> Self {
        Self {
            ratio_max: 0.2,
            depth_factor: 0.5,
            reserve: 10.0,
            start_tokens: 1.0,
            attempts: 3,
            deep_attempts: 2,
            sample_weight: 0.1,
        }
    }
}

const LEVELS: usize = MAX_CALL_DEPTH as usize + 1;

#[derive(Debug)]
struct ServiceTokens {
    ratio: f64,
    tokens: [f64; LEVELS],
    call_time: SpanAverage,
}

/// Retry tokens per service and call depth.
///
/// Each depth has its own tokens. With one pool, the first attempts of all levels of a recursive
/// call would pay for retries at the top, each of which repeats the whole chain.
#[derive(Debug)]
pub struct RetryBudget {
    tuning: RetryTuning,
    state: RankedMutex<HashMap<SharedName, ServiceTokens>>,
}

impl RetryBudget {
    /// Returns a budget without services.
    pub fn new(tuning: RetryTuning) -> Self {
        Self { tuning, state: RankedMutex::new(LockRank::RetryBudget, HashMap::new()) }
    }

    /// Takes over the contracts of `map`. Services that stay keep their tokens.
    pub fn apply(&self, map: &EnvironmentMap, _now: ClockTime) {
        let mut state = self.state.lock();
        state.retain(|name, _| map.contract(name).is_some());
        for contract in &map.contracts {
            let service = state.entry(contract.name.clone()).or_insert_with(|| {
                let mut tokens = [0.0; LEVELS];
                tokens[0] = self.tuning.start_tokens;
                ServiceTokens { ratio: 0.0, tokens, call_time: SpanAverage::default() }
            });
            service.ratio = contract.retry_ratio.clamp(0.0, self.tuning.ratio_max);
        }
    }

    /// Records the first attempt of a call at depth 0.
    pub fn record_first(&self, service: &str, now: ClockTime) {
        self.record_first_at(service, 0, now);
    }

    /// Records the first attempt of a call at `depth`.
    pub fn record_first_at(&self, service: &str, depth: u32, _now: ClockTime) {
        let Some(level) = Self::level(depth) else { return };
        if let Some(own) = self.state.lock().get_mut(service) {
            let share = self.share(level);
            let cap = (self.tuning.reserve * share).max(1.0);
            own.tokens[level] = (own.tokens[level] + own.ratio * share).min(cap);
        }
    }

    /// Records the time that a finished call took at its upstream.
    pub fn record_call(&self, service: &str, latency: ClockSpan, now: ClockTime) {
        if let Some(own) = self.state.lock().get_mut(service) {
            own.call_time.record(latency, self.tuning.sample_weight, now);
        }
    }

    /// Returns whether the call may be tried once more after the attempt that `request` names,
    /// and spends a token if so. Whether a repeat is safe is the caller's decision.
    pub fn allow_retry(&self, request: &CallerRequest, now: ClockTime) -> bool {
        let Some(level) = Self::level(request.depth) else { return false };
        let attempts = if level == 0 { self.tuning.attempts } else { self.tuning.deep_attempts };
        let mut state = self.state.lock();
        let Some(own) = state.get_mut(&request.service) else { return false };
        let in_time = request.deadline > now + own.call_time.value(now);
        let allowed = request.attempt < attempts && in_time && own.tokens[level] >= 1.0;
        if allowed {
            own.tokens[level] -= 1.0;
        }
        allowed
    }

    fn level(depth: u32) -> Option<usize> {
        (depth <= MAX_CALL_DEPTH).then_some(depth as usize)
    }

    fn share(&self, level: usize) -> f64 {
        self.tuning.depth_factor.powi(level as i32)
    }
}
