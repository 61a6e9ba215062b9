//! Distributions of service time.

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// The distribution of the time that an upstream works on a request. Times below 1 ms are rounded
/// up to the resolution of the runtime's timer; zero does not sleep.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ServiceTime {
    /// The same time for every request.
    Fixed {
        /// The time in milliseconds.
        ms: f64,
    },
    /// Exponentially distributed.
    Exponential {
        /// The mean in milliseconds.
        mean_ms: f64,
    },
    /// Log-normally distributed.
    LogNormal {
        /// The median in milliseconds.
        median_ms: f64,
        /// The standard deviation of the natural logarithm.
        sigma: f64,
    },
}

impl ServiceTime {
    /// Draws a service time.
    pub fn draw(&self, random: &mut RandomSource) -> ClockSpan {
        let service_ms = match *self {
            Self::Fixed { ms } => ms,
            Self::Exponential { mean_ms } => random.exponential(mean_ms),
            Self::LogNormal { median_ms, sigma } => {
                median_ms * (sigma * standard_normal(random)).exp()
            }
        };
        ClockSpan::from_millis_f64(service_ms)
    }
}

/// Draws from the standard normal distribution by the Box-Muller transform.
fn standard_normal(random: &mut RandomSource) -> f64 {
    let radius = (-2.0 * (1.0 - random.unit()).ln()).sqrt();
    radius * (std::f64::consts::TAU * random.unit()).cos()
}
