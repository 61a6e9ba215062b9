//! Probe budget: how much slot time of each service this VM may spend on probes and hedged
//! requests.

use base::prelude::*;
use world::prelude::*;

/// Numbers of VMs that this VM knows of, by source.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct VmCounts {
    /// VMs on the platform's membership list, including this one.
    pub listed: u32,
    /// VMs reported by peers, including this one.
    pub reported: u32,
}

impl VmCounts {
    /// Returns the number by which a budget of all VMs is divided: the largest of both counts and
    /// the `vm_ceiling` of a contract. At least 1.
    pub fn divisor(self, vm_ceiling: u32) -> u32 {
        self.listed.max(self.reported).max(vm_ceiling).max(1)
    }
}

/// Parameters of the probe budget.
#[derive(Clone, Debug)]
pub struct ProbeTuning {
    /// Time for which unused tokens accumulate. All VMs together can spend at most the budget of
    /// this time at once. Under the smallest contract in use (12 slots, `probe_share` of 0.5%, 16
    /// VMs), 2 s yield 7.5 ms for each VM, enough for several probes.
    pub burst_span: ClockSpan,
    /// Fraction of a full bucket that a service starts with, `0.0..=1.0`. If it is above zero, VMs
    /// can together exceed the budget by restarting often.
    pub initial_share: f64,
}

impl Default for ProbeTuning {
    fn default() -> Self {
        Self { burst_span: ClockSpan::from_secs(2), initial_share: 0.0 }
    }
}

/// Token bucket of one service. A token is one millisecond of slot time.
#[derive(Debug)]
struct SlotBucket {
    /// Budget of the service over all VMs, in milliseconds of slot time per millisecond.
    budget: f64,
    /// `vm_ceiling` of the contract.
    vm_ceiling: u32,
    /// Tokens left, in milliseconds of slot time; negative after an excess.
    tokens: f64,
    /// When tokens were last added.
    refilled: ClockTime,
}

impl SlotBucket {
    /// Returns this VM's share of the budget, in milliseconds of slot time per millisecond.
    fn rate(&self, counts: VmCounts) -> f64 {
        self.budget / f64::from(counts.divisor(self.vm_ceiling))
    }

    fn refill(&mut self, counts: VmCounts, burst_span: ClockSpan, now: ClockTime) {
        let rate = self.rate(counts);
        let gained = rate * now.since(self.refilled).as_millis_f64();
        self.tokens = (self.tokens + gained).min(rate * burst_span.as_millis_f64());
        self.refilled = self.refilled.max(now);
    }
}

#[derive(Debug, Default)]
struct ProbeState {
    counts: VmCounts,
    services: NameMap<SlotBucket>,
}

impl ProbeState {
    fn refill_all(&mut self, burst_span: ClockSpan, now: ClockTime) {
        let counts = self.counts;
        for bucket in self.services.values_mut() {
            bucket.refill(counts, burst_span, now);
        }
    }
}

/// This VM's share of the probe budget of each service. Probes and hedged requests spend the same
/// tokens.
///
/// A bucket starts empty unless [`ProbeTuning::initial_share`] is set, so that a restart gains
/// nothing. While at most `vm_ceiling` VMs run, all VMs together spend at most
/// `probe_share * slots * (window + burst_span)` of slot time in any time of length `window`.
#[derive(Debug)]
pub struct ProbeBudget {
    tuning: ProbeTuning,
    state: RankedMutex<ProbeState>,
}

impl ProbeBudget {
    /// Returns a budget without services.
    pub fn new(tuning: ProbeTuning) -> Self {
        Self { tuning, state: RankedMutex::new(LockRank::ProbeBudget, ProbeState::default()) }
    }

    /// Applies the contracts and upstreams of an environment.
    pub fn apply(&self, map: &EnvironmentMap, now: ClockTime) {
        let mut state = self.state.lock();
        state.refill_all(self.tuning.burst_span, now);
        state.services.retain(|name, _| map.contract(name).is_some());
        let counts = state.counts;
        for contract in &map.contracts {
            let upstreams = map.upstreams_of(&contract.name);
            let slots: u64 = upstreams.iter().map(|upstream| u64::from(upstream.slots)).sum();
            let budget = contract.probe_share.clamp(0.0, 1.0) * slots as f64;
            let bucket = state.services.entry(contract.name.clone()).or_insert_with(|| {
                let mut bucket = SlotBucket {
                    budget,
                    vm_ceiling: contract.vm_ceiling,
                    tokens: 0.0,
                    refilled: now,
                };
                let capacity = bucket.rate(counts) * self.tuning.burst_span.as_millis_f64();
                bucket.tokens = capacity * self.tuning.initial_share;
                bucket
            });
            bucket.budget = budget;
            bucket.vm_ceiling = contract.vm_ceiling;
        }
        state.refill_all(self.tuning.burst_span, now);
    }

    /// Applies new numbers of VMs. When there are more VMs, the rate and the accumulated tokens
    /// shrink at once.
    pub fn set_counts(&self, counts: VmCounts, now: ClockTime) {
        let mut state = self.state.lock();
        state.refill_all(self.tuning.burst_span, now);
        state.counts = counts;
        state.refill_all(self.tuning.burst_span, now);
    }

    /// Spends the cost of a probe or hedged request if the budget allows it, and returns whether it
    /// does. `cost` is an upper bound of the slot time, such as the timeout of the probe. A service
    /// without a contract has no budget.
    pub fn allow(&self, service: &str, cost: ClockSpan, now: ClockTime) -> bool {
        let mut state = self.state.lock();
        let counts = state.counts;
        let Some(bucket) = state.services.get_mut(service) else { return false };
        bucket.refill(counts, self.tuning.burst_span, now);
        let millis = cost.as_millis_f64();
        let allowed = bucket.tokens >= millis;
        if allowed {
            bucket.tokens -= millis;
        }
        allowed
    }

    /// Charges slot time that a probe took beyond its allowed cost. A negative balance delays later
    /// probes. Does nothing for a service without a contract.
    pub fn charge_excess(&self, service: &str, excess: ClockSpan, now: ClockTime) {
        let mut state = self.state.lock();
        let counts = state.counts;
        if let Some(bucket) = state.services.get_mut(service) {
            bucket.refill(counts, self.tuning.burst_span, now);
            bucket.tokens -= excess.as_millis_f64();
        }
    }
}
