//! The byte budget of one VM's control traffic.

use base::prelude::*;

/// A token bucket of bytes. It starts empty, so that a VM that restarts often does not send a
/// burst each time.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    bytes_per_second: f64,
    burst: f64,
    level: f64,
    filled_at: ClockTime,
}

impl ByteBudget {
    /// Returns an empty bucket.
    pub fn new(bytes_per_second: f64, burst: f64, now: ClockTime) -> Self {
        Self { bytes_per_second, burst, level: 0.0, filled_at: now }
    }

    fn fill(&mut self, now: ClockTime) {
        let seconds = now.since(self.filled_at).as_millis_f64() / 1000.0;
        self.level = (self.level + seconds * self.bytes_per_second).min(self.burst);
        self.filled_at = self.filled_at.max(now);
    }

    /// Returns the bytes that may be sent now; zero while the bucket is in debt.
    pub fn room(&mut self, now: ClockTime) -> usize {
        self.fill(now);
        if self.level.is_finite() { self.level.max(0.0) as usize } else { usize::MAX / 2 }
    }

    /// Counts bytes that were sent. Responses are always sent, so the bucket may go into debt,
    /// which holds back the VM's own requests.
    pub fn spend(&mut self, bytes: usize, now: ClockTime) {
        self.fill(now);
        self.level -= bytes as f64;
    }
}
