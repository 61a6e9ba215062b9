//! Circuit breaker: refuses calls at once while the platform is down.

use base::prelude::*;

/// Parameters of the circuit breaker.
#[derive(Clone, Copy, Debug)]
pub struct BreakerTuning {
    /// The number of consecutive failures that opens the breaker.
    pub failures: u32,
    /// The wait before the first trial call. Each trial call that fails doubles it.
    pub first_wait: ClockSpan,
    /// The longest wait between trial calls.
    pub longest_wait: ClockSpan,
    /// The time after which a trial call without a result no longer blocks the next one.
    pub trial_timeout: ClockSpan,
}

impl Default for BreakerTuning {
    fn default() -> Self {
        Self {
            // One failure may come from a silent connection; three in a row do not.
            failures: 3,
            first_wait: ClockSpan::from_millis(100),
            // 15 VMs then make at most about 20 trial calls a second during an outage.
            longest_wait: ClockSpan::from_millis(1000),
            trial_timeout: ClockSpan::from_millis(1000),
        }
    }
}

/// The permission to make one call, which marks trial calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BreakerPass {
    trial: bool,
}

#[derive(Clone, Copy, Debug)]
enum BreakerState {
    Closed { failures: u32 },
    Open { retry_at: ClockTime, wait: ClockSpan },
}

/// A circuit breaker with jittered trial calls.
#[derive(Clone, Debug)]
pub struct StoreBreaker {
    tuning: BreakerTuning,
    state: BreakerState,
}

impl StoreBreaker {
    /// Returns a closed breaker.
    pub fn new(tuning: BreakerTuning) -> Self {
        Self { tuning, state: BreakerState::Closed { failures: 0 } }
    }

    /// Returns whether calls are being refused.
    pub fn is_open(&self) -> bool {
        matches!(self.state, BreakerState::Open { .. })
    }

    /// Admits a call. While the breaker is open, one call at a time is admitted as a trial.
    ///
    /// # Errors
    ///
    /// Returns the time until the next trial call if the breaker is open.
    pub fn admit(&mut self, now: ClockTime) -> Result<BreakerPass, ClockSpan> {
        match &mut self.state {
            BreakerState::Closed { .. } => Ok(BreakerPass { trial: false }),
            BreakerState::Open { retry_at, .. } if now < *retry_at => Err(retry_at.since(now)),
            BreakerState::Open { retry_at, .. } => {
                *retry_at = now + self.tuning.trial_timeout;
                Ok(BreakerPass { trial: true })
            }
        }
    }

    /// Records an answer. Returns whether this closed the breaker.
    pub fn record_success(&mut self) -> bool {
        let closed = self.is_open();
        self.state = BreakerState::Closed { failures: 0 };
        closed
    }

    /// Records a failure. Returns whether this opened the breaker.
    pub fn record_failure(
        &mut self,
        pass: BreakerPass,
        now: ClockTime,
        random: &mut RandomSource,
    ) -> bool {
        match self.state {
            BreakerState::Closed { failures } if failures + 1 < self.tuning.failures => {
                self.state = BreakerState::Closed { failures: failures + 1 };
                false
            }
            BreakerState::Closed { .. } => {
                self.open(self.tuning.first_wait, now, random);
                true
            }
            // Calls that were in flight when the breaker opened must not lengthen the wait.
            BreakerState::Open { .. } if !pass.trial => false,
            BreakerState::Open { wait, .. } => {
                self.open((wait + wait).min(self.tuning.longest_wait), now, random);
                false
            }
        }
    }

    // The jitter keeps the VMs from making their trial calls at the same time.
    fn open(&mut self, wait: ClockSpan, now: ClockTime, random: &mut RandomSource) {
        let retry_at = now + wait.scaled(0.5 + 0.5 * random.unit());
        self.state = BreakerState::Open { retry_at, wait };
    }
}
