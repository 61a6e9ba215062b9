//! Moving average of durations that decays while there are no samples.

use base::prelude::*;

/// Time in which the average halves while there are no samples. A service whose calls are all
/// refused yields no samples; without the decay, one slow period would cause every later call to be
/// refused as well.
const HALF_LIFE: ClockSpan = ClockSpan::from_secs(1);

#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingAverage {
    millis: Option<f64>,
    sampled: ClockTime,
}

impl DecayingAverage {
    /// Moves the average towards a sample by `weight` (`0.0..=1.0`) of the difference.
    pub fn record(&mut self, sample: ClockSpan, weight: f64, now: ClockTime) {
        let millis = sample.as_millis_f64();
        self.millis = Some(self.millis.map_or(millis, |old| old + (millis - old) * weight));
        self.sampled = now;
    }

    /// Returns the decayed average, or zero if there was no sample.
    pub fn value(&self, now: ClockTime) -> ClockSpan {
        let half_lives = now.since(self.sampled).as_millis_f64() / HALF_LIFE.as_millis_f64();
        ClockSpan::from_millis_f64(self.millis.unwrap_or(0.0) * 0.5_f64.powf(half_lives))
    }
}
