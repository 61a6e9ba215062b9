//! The schedule of a noisy neighbour.

use base::prelude::*;

use crate::plan::NoisePlan;

/// A time during which the neighbour takes capacity.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NoiseBurst {
    /// Time from the end of the previous burst.
    pub after: ClockSpan,
    /// Length of the burst.
    pub length: ClockSpan,
}

/// An endless, repeatable series of bursts.
#[derive(Clone, Debug)]
pub struct NoiseSchedule {
    plan: NoisePlan,
    random: RandomSource,
}

impl NoiseSchedule {
    /// Returns the schedule of `plan` for `seed`.
    pub fn new(plan: NoisePlan, seed: u64) -> Self {
        Self { plan, random: RandomSource::from_seed(seed) }
    }

    /// Returns the next burst.
    pub fn next_burst(&mut self) -> NoiseBurst {
        let after = ClockSpan::from_millis_f64(self.random.exponential(self.plan.every_ms));
        let length = ClockSpan::from_millis_f64(self.random.exponential(self.plan.for_ms));
        NoiseBurst { after, length }
    }
}
