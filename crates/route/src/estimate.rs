//! Estimates that forget with time.

use base::prelude::*;

/// Returns the weight that evidence of the given age keeps, `0.0..=1.0`. A time constant of zero
/// keeps none.
pub fn remaining(age: ClockSpan, memory: ClockSpan) -> f64 {
    if memory == ClockSpan::ZERO {
        return 0.0;
    }
    (-(age.as_hundredths() as f64) / memory.as_hundredths() as f64).exp()
}

/// A mean that weights samples by the time that they stand for.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingMean {
    /// The mean, or 0.0 before the first sample.
    pub value: f64,
    /// When the last sample was added.
    pub sampled_at: Option<ClockTime>,
}

impl DecayingMean {
    /// Adds a sample, which takes at most `sample_share` of the mean.
    pub fn add(&mut self, sample: f64, now: ClockTime, memory: ClockSpan, sample_share: f64) {
        let weight = match self.sampled_at {
            None => 1.0,
            Some(before) => {
                (1.0 - remaining(now.since(before), memory)).clamp(MIN_WEIGHT, sample_share)
            }
        };
        self.value += weight * (sample - self.value);
        self.sampled_at = Some(now.max(self.sampled_at.unwrap_or(now)));
    }
}

/// Samples at the same moment still count, so that a burst is not lost.
const MIN_WEIGHT: f64 = 0.01;

/// A peak that returns to the mean.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingPeak {
    /// The peak.
    pub value: f64,
}

impl DecayingPeak {
    /// Adds a sample that was taken `elapsed` after the one before.
    pub fn add(&mut self, sample: f64, mean: f64, elapsed: ClockSpan, memory: ClockSpan) {
        let decayed = mean + (self.value - mean).max(0.0) * remaining(elapsed, memory);
        self.value = decayed.max(sample);
    }
}
