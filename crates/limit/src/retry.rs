//! Retry budget: how many retries this VM may send to each service.

use base::prelude::*;
use world::prelude::*;
use world::request::MAX_CALL_DEPTH;

use crate::average::DecayingAverage;
use crate::probe::VmCounts;
use crate::window::ArrivalWindow;

/// Parameters of the retry budget.
#[derive(Clone, Debug)]
pub struct RetryTuning {
    /// Largest retry ratio that is applied; a larger one in a contract is reduced to it. With a
    /// share that halves with each level, the ratios of all levels add up to less than 0.4, and the
    /// product of `1 + ratio` over all levels stays below `e^0.4`, which is 1.492.
    pub ratio_max: f64,
    /// Ratio of the share of one level (call depth) to that of the level above, `0.0..=1.0`.
    pub depth_factor: f64,
    /// Capacity of the token bucket at depth 0. Deeper levels have a share of it, at least one
    /// token.
    pub capacity: f64,
    /// Tokens that a service starts with at depth 0. Deeper levels start empty.
    pub initial_tokens: f64,
    /// Attempts of a call at depth 0 whose request sets no limit, including the first.
    pub attempts: u32,
    /// Attempts of a deeper call whose request sets no limit, including the first.
    pub nested_attempts: u32,
    /// Fraction of a window's ratio that a VM may spend, `0.0..=1.0`.
    pub window_ratio_share: f64,
    /// Fraction of a window's ratio that a VM may spend until it has known the service for a whole
    /// window, as it does not know what it spent before a restart. If all VMs restart, one window
    /// can hold the retries from before and after the restart, so both fractions together are at
    /// most 1.
    pub partial_ratio_share: f64,
    /// Fraction of a window's slack that all VMs together may spend, `0.0..=1.0`. The rest covers
    /// VMs above the number by which the slack is divided, and calls that the window counts late.
    pub window_slack_share: f64,
    /// Weight of a new sample in the average latency of calls.
    pub sample_weight: f64,
}

impl Default for RetryTuning {
    fn default() -> Self {
        Self {
            ratio_max: 0.2,
            depth_factor: 0.5,
            capacity: 10.0,
            initial_tokens: 1.0,
            attempts: 3,
            nested_attempts: 2,
            window_ratio_share: 0.9,
            partial_ratio_share: 0.1,
            window_slack_share: 0.5,
            sample_weight: 0.1,
        }
    }
}

/// Why a call may not be sent again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDenial {
    /// The call has used all its attempts.
    Attempts,
    /// Too little time is left until its deadline.
    Deadline,
    /// The retry budget is used up.
    Budget,
}

/// Number of call depths that have a token bucket. A level is a depth as an index of the buckets.
const LEVELS: usize = MAX_CALL_DEPTH as usize + 1;

/// A retry limit that holds over all VMs in a sliding window, and what this VM has spent of it.
#[derive(Debug)]
struct WindowShare {
    bound: RetryWindow,
    vm_ceiling: u32,
    arrivals: ArrivalWindow,
}

impl WindowShare {
    /// Returns whether this VM may send another retry now.
    fn has_room(&mut self, tuning: &RetryTuning, counts: VmCounts, now: ClockTime) -> bool {
        let (share, slack) = if self.arrivals.is_partial(now) {
            (tuning.partial_ratio_share, 0.0)
        } else {
            let vms = f64::from(counts.divisor(self.vm_ceiling));
            let slack = tuning.window_slack_share * self.bound.slack / vms;
            (tuning.window_ratio_share, slack)
        };
        let first = f64::from(self.arrivals.first(now));
        let retries = f64::from(self.arrivals.retries(now));
        retries + 1.0 <= share * self.bound.ratio * first + slack
    }
}

/// What this VM may still spend at one service.
#[derive(Debug)]
enum ServiceAllowance {
    /// Tokens of each call depth, for contracts without a retry window.
    Tokens { ratio: f64, tokens: [f64; LEVELS] },
    /// A share of a limit over all VMs.
    Window(WindowShare),
}

#[derive(Debug)]
struct ServiceRetries {
    allowance: ServiceAllowance,
    call_time: DecayingAverage,
}

impl ServiceRetries {
    fn new(contract: &ServiceContract, tuning: &RetryTuning, now: ClockTime) -> Self {
        let allowance = match contract.retry_window {
            Some(bound) => ServiceAllowance::Window(WindowShare {
                bound,
                vm_ceiling: contract.vm_ceiling,
                arrivals: ArrivalWindow::new(bound.span, now),
            }),
            None => {
                let mut tokens = [0.0; LEVELS];
                tokens[0] = tuning.initial_tokens;
                ServiceAllowance::Tokens { ratio: 0.0, tokens }
            }
        };
        Self { allowance, call_time: DecayingAverage::default() }
    }

    /// Applies a contract. What was spent is kept, unless the kind of the limit changes.
    fn apply(&mut self, contract: &ServiceContract, tuning: &RetryTuning, now: ClockTime) {
        match (&mut self.allowance, contract.retry_window) {
            (ServiceAllowance::Tokens { ratio, .. }, None) => {
                *ratio = contract.retry_ratio.clamp(0.0, tuning.ratio_max);
            }
            (ServiceAllowance::Window(share), Some(bound)) => {
                share.arrivals.set_span(bound.span, now);
                share.bound = bound;
                share.vm_ceiling = contract.vm_ceiling;
            }
            _ => {
                self.allowance = Self::new(contract, tuning, now).allowance;
                if contract.retry_window.is_none() {
                    self.apply(contract, tuning, now);
                }
            }
        }
    }
}

#[derive(Debug, Default)]
struct RetryState {
    counts: VmCounts,
    services: NameMap<ServiceRetries>,
}

/// This VM's share of the retries of each service: tokens for each call depth, or a share of a
/// limit over all VMs if the contract has a retry window. Hedged requests spend from the same
/// budget.
///
/// Each depth has its own tokens. With a single bucket, the first attempts of all levels of a
/// recursive call would earn the tokens for retries at the top, each of which repeats the whole
/// chain.
#[derive(Debug)]
pub struct RetryBudget {
    tuning: RetryTuning,
    state: RankedMutex<RetryState>,
}

impl RetryBudget {
    /// Returns a budget without services.
    pub fn new(tuning: RetryTuning) -> Self {
        Self { tuning, state: RankedMutex::new(LockRank::RetryBudget, RetryState::default()) }
    }

    /// Applies the contracts of an environment. Services that remain keep what they have spent.
    pub fn apply(&self, map: &EnvironmentMap, now: ClockTime) {
        let mut state = self.state.lock();
        state.services.retain(|name, _| map.contract(name).is_some());
        for contract in &map.contracts {
            let new = || ServiceRetries::new(contract, &self.tuning, now);
            let service = state.services.entry(contract.name.clone()).or_insert_with(new);
            service.apply(contract, &self.tuning, now);
        }
    }

    /// Applies new numbers of VMs, by which the slack of windows is divided.
    pub fn set_counts(&self, counts: VmCounts, _now: ClockTime) {
        self.state.lock().counts = counts;
    }

    /// Records the first attempt of a call at depth 0.
    pub fn record_first(&self, service: &str, now: ClockTime) {
        self.record_first_at(service, 0, now);
    }

    /// Records the first attempt of a call at `depth`.
    pub fn record_first_at(&self, service: &str, depth: u32, now: ClockTime) {
        let Some(level) = Self::level(depth) else { return };
        let mut state = self.state.lock();
        let Some(retries) = state.services.get_mut(service) else { return };
        match &mut retries.allowance {
            ServiceAllowance::Tokens { ratio, tokens } => {
                let gained = *ratio * self.level_share(level);
                tokens[level] = (tokens[level] + gained).min(self.level_capacity(level));
            }
            ServiceAllowance::Window(share) => share.arrivals.record_first(now),
        }
    }

    /// Records how long a finished call took at its upstream.
    pub fn record_call(&self, service: &str, latency: ClockSpan, now: ClockTime) {
        if let Some(retries) = self.state.lock().services.get_mut(service) {
            retries.call_time.record(latency, self.tuning.sample_weight, now);
        }
    }

    /// Spends a retry as [`try_retry`](Self::try_retry) does and returns whether it was allowed.
    pub fn allow_retry(&self, request: &CallerRequest, now: ClockTime) -> bool {
        self.try_retry(request, now).is_ok()
    }

    /// Spends a retry if the call may be sent again after the attempt in `request`. Whether it is
    /// safe to run the call again is for the caller of this method to decide.
    ///
    /// # Errors
    ///
    /// Returns why the call may not be sent again.
    pub fn try_retry(&self, request: &CallerRequest, now: ClockTime) -> Result<(), RetryDenial> {
        let Some(level) = Self::level(request.depth) else { return Err(RetryDenial::Budget) };
        let default = if level == 0 { self.tuning.attempts } else { self.tuning.nested_attempts };
        let mut state = self.state.lock();
        let counts = state.counts;
        let Some(retries) = state.services.get_mut(&request.service) else {
            return Err(RetryDenial::Budget);
        };
        let in_time = request.deadline > now + retries.call_time.value(now);
        if request.attempt >= request.attempt_limit.unwrap_or(default) {
            return Err(RetryDenial::Attempts);
        }
        if !in_time {
            return Err(RetryDenial::Deadline);
        }
        let allowed = match &mut retries.allowance {
            ServiceAllowance::Tokens { tokens, .. } => {
                let allowed = tokens[level] >= 1.0;
                tokens[level] -= if allowed { 1.0 } else { 0.0 };
                allowed
            }
            ServiceAllowance::Window(share) => {
                let allowed = share.has_room(&self.tuning, counts, now);
                if allowed {
                    share.arrivals.record_retry(now);
                }
                allowed
            }
        };
        if allowed { Ok(()) } else { Err(RetryDenial::Budget) }
    }

    /// Refunds a retry of a call at depth 0 that reached no upstream.
    pub fn refund(&self, service: &str, now: ClockTime) {
        self.refund_at(service, 0, now);
    }

    /// Refunds a retry of a call at `depth` that reached no upstream.
    pub fn refund_at(&self, service: &str, depth: u32, now: ClockTime) {
        let Some(level) = Self::level(depth) else { return };
        let mut state = self.state.lock();
        let Some(retries) = state.services.get_mut(service) else { return };
        match &mut retries.allowance {
            ServiceAllowance::Tokens { tokens, .. } => {
                tokens[level] = (tokens[level] + 1.0).min(self.level_capacity(level));
            }
            ServiceAllowance::Window(share) => share.arrivals.remove_retry(now),
        }
    }

    fn level(depth: u32) -> Option<usize> {
        (depth <= MAX_CALL_DEPTH).then_some(depth as usize)
    }

    /// Returns the ratio of the tokens of a level to those of depth 0.
    fn level_share(&self, level: usize) -> f64 {
        self.tuning.depth_factor.powi(level as i32)
    }

    /// Returns the capacity of the token bucket of a level, at least one token.
    fn level_capacity(&self, level: usize) -> f64 {
        (self.tuning.capacity * self.level_share(level)).max(1.0)
    }
}
