//! Exponentially decaying means and peaks, and the weights that they use.

use base::prelude::*;

/// Returns the weight of evidence of the given age, `0.0..=1.0`, or 0.0 if the time constant is
/// zero.
pub fn decay_weight(age: ClockSpan, time_constant: ClockSpan) -> f64 {
    if time_constant == ClockSpan::ZERO {
        return 0.0;
    }
    exp_decay(age.as_hundredths() as f64 / time_constant.as_hundredths() as f64)
}

/// Returns `(1 + ratio / 32) ^ -32`, which is within 0.01 of `exp(-ratio)` and faster: a choice
/// over 30 candidates evaluates it up to 120 times, which with `exp` took 3.8 µs.
#[inline]
pub fn exp_decay(ratio: f64) -> f64 {
    let mut growth = 1.0 + ratio * (1.0 / 32.0);
    for _ in 0..5 {
        growth *= growth;
    }
    growth.recip()
}

/// The shortest time constant, which keeps rates finite.
const MIN_TIME_CONSTANT_MS: f64 = 0.01;

/// Returns the decay rate of a time constant, in e-folds for each millisecond. A policy computes
/// the rates once for each choice, because a division for each candidate and each kind of evidence
/// would take most of its time.
pub fn decay_rate(time_constant: ClockSpan) -> f64 {
    time_constant.as_millis_f64().max(MIN_TIME_CONSTANT_MS).recip()
}

/// Returns an age in milliseconds. The conversion from a signed integer compiles to one
/// instruction, that from an unsigned one to a branch; ages stay far below the range of `i64`.
pub fn age_ms(now: ClockTime, made_at: ClockTime) -> f64 {
    const MS_PER_HUNDREDTH: f64 = 0.01;
    now.since(made_at).as_hundredths() as i64 as f64 * MS_PER_HUNDREDTH
}

/// Returns the weight of evidence from `made_at` at a decay rate of `rate` e-folds for each
/// millisecond, `0.0..=1.0`.
pub fn decay_weight_since(now: ClockTime, made_at: ClockTime, rate: f64) -> f64 {
    exp_decay(age_ms(now, made_at) * rate)
}

/// A mean that weights each sample by the time since the one before. The first samples count
/// equally, so that one of them does not bias the mean for its whole time constant.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingMean {
    /// The mean, or 0.0 before the first sample.
    pub value: f64,
    /// When the last sample was added.
    pub sampled_at: Option<ClockTime>,
    samples: u32,
}

impl DecayingMean {
    /// Adds a sample. After the first few, its weight in the mean is at most `sample_weight_max`.
    pub fn add(
        &mut self,
        sample: f64,
        now: ClockTime,
        time_constant: ClockSpan,
        sample_weight_max: f64,
    ) {
        self.samples = self.samples.saturating_add(1);
        let before = self.sampled_at.unwrap_or(now);
        let weight = (1.0 - decay_weight(now.since(before), time_constant)).min(sample_weight_max);
        self.value += weight.max(1.0 / f64::from(self.samples)) * (sample - self.value);
        self.sampled_at = Some(now.max(before));
    }

    /// Returns the mean, or `default` before the first sample.
    pub fn value_or(&self, default: f64) -> f64 {
        if self.sampled_at.is_some() { self.value } else { default }
    }
}

/// A peak that decays to the mean.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingPeak {
    /// The peak, or 0.0 before the first sample.
    pub value: f64,
}

impl DecayingPeak {
    /// Adds a sample that was taken `elapsed` after the one before.
    pub fn add(&mut self, sample: f64, mean: f64, elapsed: ClockSpan, time_constant: ClockSpan) {
        let decayed = mean + (self.value - mean).max(0.0) * decay_weight(elapsed, time_constant);
        self.value = decayed.max(sample);
    }
}
