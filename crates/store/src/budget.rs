//! This VM's share of the platform's reads and writes.

use base::prelude::*;

/// What a call costs the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallCost {
    /// A read, a scan, a fetch of an object or of the membership list.
    Read,
    /// A transaction or the storing of an object.
    Write,
}

/// The rates of one VM.
#[derive(Clone, Copy, Debug)]
pub struct BudgetTuning {
    /// Transactions and stored objects a second.
    pub writes_per_second: f64,
    /// Reads a second.
    pub reads_per_second: f64,
    /// The time over which unused calls may be made up for.
    pub burst: ClockSpan,
    /// The longest that a call waits for its turn; one that would wait longer is refused.
    pub longest_wait: ClockSpan,
}

impl Default for BudgetTuning {
    fn default() -> Self {
        Self {
            // 300 writes and 2000 reads a second over 15 VMs.
            writes_per_second: 20.0,
            reads_per_second: 130.0,
            burst: ClockSpan::from_millis(500),
            longest_wait: ClockSpan::from_millis(250),
        }
    }
}

/// The turn of the next call at an even rate.
#[derive(Clone, Copy, Debug)]
struct CallPace {
    gap: ClockSpan,
    next: ClockTime,
}

impl CallPace {
    fn new(per_second: f64, start: ClockTime) -> Self {
        Self { gap: ClockSpan::from_millis_f64(1000.0 / per_second), next: start }
    }

    fn reserve(&mut self, tuning: &BudgetTuning, now: ClockTime) -> Result<ClockSpan, ClockSpan> {
        let turn = self.next.max(now - tuning.burst);
        let wait = turn.since(now);
        if wait > tuning.longest_wait {
            return Err(wait);
        }
        self.next = turn + self.gap;
        Ok(wait)
    }
}

/// Spaces out the calls of one VM.
#[derive(Clone, Debug)]
pub struct StoreBudget {
    tuning: BudgetTuning,
    reads: CallPace,
    writes: CallPace,
}

impl StoreBudget {
    /// Returns a budget without saved-up calls, so that a restart does not add to the load.
    pub fn new(tuning: BudgetTuning, now: ClockTime) -> Self {
        Self {
            tuning,
            reads: CallPace::new(tuning.reads_per_second, now),
            writes: CallPace::new(tuning.writes_per_second, now),
        }
    }

    /// Reserves a turn for a call and returns how long the call must wait for it.
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
