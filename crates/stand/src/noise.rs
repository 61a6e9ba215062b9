//! The schedule of a noisy neighbour: other work on the machine that takes capacity in bursts.

use base::prelude::*;

use crate::plan::NoisePlan;

/// A period during which the neighbour takes capacity.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NoiseBurst {
    /// Time from the end of the previous burst to the start of this one.
    pub gap: ClockSpan,
    /// Duration of the burst.
    pub duration: ClockSpan,
}

/// An endless series of bursts, which is the same for the same plan and seed.
#[derive(Clone, Debug)]
pub struct NoiseSchedule {
    plan: NoisePlan,
    random: RandomSource,
}

impl NoiseSchedule {
    /// Returns the schedule of `plan`, drawn with `seed`.
    pub fn new(plan: NoisePlan, seed: u64) -> Self {
        Self { plan, random: RandomSource::from_seed(seed) }
    }

    /// Returns the next burst.
    pub fn next_burst(&mut self) -> NoiseBurst {
        let gap = ClockSpan::from_millis_f64(self.random.exponential(self.plan.every_ms));
        let duration = ClockSpan::from_millis_f64(self.random.exponential(self.plan.for_ms));
        NoiseBurst { gap, duration }
    }
}
