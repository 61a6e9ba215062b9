//! Whether rows that are missing from the store count as removed. While the store fails and for a
//! time after it answers again, they may have been lost by the store.

use base::prelude::*;

/// The health of the store according to the results of calls.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreHealth {
    failing: bool,
    /// When missing rows count as removed again, unless a call fails before then.
    trusted_at: Option<ClockTime>,
}

impl StoreHealth {
    pub fn record_failure(&mut self) {
        self.failing = true;
    }

    /// Records a successful call. Only the first one after a failure starts `recovery_grace`.
    pub fn record_success(&mut self, recovery_grace: ClockSpan, now: ClockTime) {
        if self.failing {
            self.failing = false;
            self.trusted_at = Some(now + recovery_grace);
        }
    }

    pub fn is_trusted(&self, now: ClockTime) -> bool {
        !self.failing && self.trusted_at.is_none_or(|time| now >= time)
    }

    /// Returns the end of the grace time after the last failure, or `None` if there was no failure
    /// or while calls fail.
    pub fn trusted_at(&self) -> Option<ClockTime> {
        self.trusted_at.filter(|_| !self.failing)
    }
}
