//! The end of a process that was asked to stop.
//!
//! [`crate::shutdown`] begins the stop, and [`crate::stop_check`] refuses the calls that might not
//! end in time. Depends on no other module of this crate.

use std::sync::OnceLock;

use base::prelude::*;
use tokio::sync::Notify;

/// Whether the process was asked to stop, and when its calls must have ended.
#[derive(Debug, Default)]
pub struct StopWatch {
    end: OnceLock<ClockTime>,
    begun: Notify,
}

impl StopWatch {
    /// Records that calls which are still running at `end` are interrupted. The first time counts.
    pub fn begin(&self, end: ClockTime) {
        // A second shutdown of the same process does not give its calls more time.
        let _ = self.end.set(end);
        self.begun.notify_waiters();
    }

    /// Returns once the process was asked to stop.
    pub async fn begun(&self) {
        let begun = self.begun.notified();
        if self.end.get().is_none() {
            begun.await;
        }
    }

    /// Returns the end of the process if it may interrupt a call with this deadline.
    pub fn end_before(&self, deadline: ClockTime) -> Option<ClockTime> {
        self.end.get().copied().filter(|end| *end < deadline)
    }
}
