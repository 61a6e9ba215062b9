//! A limit on the calls per second of a stand-in.

use base::prelude::*;

/// A token bucket with one token per call. It holds the tokens of one second and starts full.
#[derive(Debug)]
pub struct RateLimit {
    per_second: Option<u32>,
    tokens: f64,
    refilled: ClockTime,
}

impl RateLimit {
    /// Returns a limit in calls per second. `None` allows every call.
    pub fn new(per_second: Option<u32>, now: ClockTime) -> Self {
        Self { per_second, tokens: per_second.map_or(0.0, f64::from), refilled: now }
    }

    /// Returns whether a call is within the limit, and takes its token if so.
    pub fn allow(&mut self, now: ClockTime) -> bool {
        let Some(per_second) = self.per_second.map(f64::from) else { return true };
        let seconds = now.since(self.refilled).as_millis_f64() / 1000.0;
        self.refilled = now;
        self.tokens = (self.tokens + seconds * per_second).min(per_second);
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
