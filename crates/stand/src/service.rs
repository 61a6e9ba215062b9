//! Distributions of service time.

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// How long an upstream works on a request. Sleeps shorter than 1 ms are rounded up to the
/// resolution of the runtime's timer; zero does not sleep.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ServiceTime {
    /// The same time for every request.
    Fixed {
        /// Milliseconds.
        ms: f64,
    },
    /// Exponentially distributed.
    Exponential {
        /// Mean in milliseconds.
        mean_ms: f64,
    },
    /// Log-normally distributed.
    LogNormal {
        /// Median in milliseconds.
        median_ms: f64,
        /// Standard deviation of the logarithm.
        sigma: f64,
    },
}

impl ServiceTime {
    /// Draws a service time.
    pub fn draw(&self, random: &mut RandomSource) -> ClockSpan {
        let millis = match *self {
            Self::Fixed { ms } => ms,
            Self::Exponential { mean_ms } => random.exponential(mean_ms),
            Self::LogNormal { median_ms, sigma } => {
                median_ms * (sigma * standard_normal(random)).exp()
            }
        };
        ClockSpan::from_millis_f64(millis)
    }
}

/// Draws from the standard normal distribution by the Box-Muller transform.
fn standard_normal(random: &mut RandomSource) -> f64 {
    let radius = (-2.0 * (1.0 - random.unit()).ln()).sqrt();
    radius * (std::f64::consts::TAU * random.unit()).cos()
}
