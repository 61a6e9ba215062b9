//! Rate limits that keep this VM within its share of the platform's capacity.

use base::prelude::*;

/// The rate that a call counts against.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallCost {
    /// A read, a scan, a fetch of an object or of the membership list.
    Read,
    /// A transaction or the storing of an object.
    Write,
}

/// Parameters of the budget of one VM.
#[derive(Clone, Copy, Debug)]
pub struct BudgetTuning {
    /// Transactions and stored objects a second.
    pub writes_per_second: f64,
    /// Reads a second.
    pub reads_per_second: f64,
    /// How long unused capacity is kept: after an idle time, the calls of this span may be made at
    /// once.
    pub burst: ClockSpan,
    /// The longest time by which a call is delayed; one that would have to wait longer is refused.
    pub longest_wait: ClockSpan,
}

impl Default for BudgetTuning {
    fn default() -> Self {
        Self {
            // 300 writes and 2000 reads a second, divided among 15 VMs.
            writes_per_second: 20.0,
            reads_per_second: 130.0,
            burst: ClockSpan::from_millis(500),
            longest_wait: ClockSpan::from_millis(250),
        }
    }
}

/// Spaces calls evenly.
#[derive(Clone, Copy, Debug)]
struct RateLimiter {
    interval: ClockSpan,
    /// The earliest time for the next call.
    next_at: ClockTime,
}

impl RateLimiter {
    fn new(per_second: f64, start: ClockTime) -> Self {
        Self { interval: ClockSpan::from_millis_f64(1000.0 / per_second), next_at: start }
    }

    fn reserve(&mut self, tuning: &BudgetTuning, now: ClockTime) -> Result<ClockSpan, ClockSpan> {
        let send_at = self.next_at.max(now - tuning.burst);
        let wait = send_at.since(now);
        if wait > tuning.longest_wait {
            return Err(wait);
        }
        self.next_at = send_at + self.interval;
        Ok(wait)
    }
}

/// Limits the rates of reads and writes of one VM.
#[derive(Clone, Debug)]
pub struct StoreBudget {
    tuning: BudgetTuning,
    reads: RateLimiter,
    writes: RateLimiter,
}

impl StoreBudget {
    /// Returns a budget without unused capacity, so that a restart does not add to the load.
    pub fn new(tuning: BudgetTuning, now: ClockTime) -> Self {
        Self {
            tuning,
            reads: RateLimiter::new(tuning.reads_per_second, now),
            writes: RateLimiter::new(tuning.writes_per_second, now),
        }
    }

    /// Reserves capacity for a call and returns how long the call must wait before it is sent.
    ///
    /// # Errors
    ///
    /// Returns the wait if it is longer than the budget allows. Nothing is reserved then.
    pub fn reserve(&mut self, cost: CallCost, now: ClockTime) -> Result<ClockSpan, ClockSpan> {
        match cost {
            CallCost::Read => self.reads.reserve(&self.tuning, now),
            CallCost::Write => self.writes.reserve(&self.tuning, now),
        }
    }
}
