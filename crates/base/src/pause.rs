//! Detects pauses: times in which the process was frozen or the machine suspended.

use crate::clock::{ClockSpan, ClockTime};

/// A pause longer than this is reported: after it, the load and pace of upstreams are out of date,
/// and several heartbeats at intervals of 1.5 s may have been missed. Shorter pauses are usual on
/// small VMs.
const DEFAULT_LIMIT: ClockSpan = ClockSpan::from_secs(1);

/// Detects from regular ticks whether the process or the machine was paused between two of them.
#[derive(Clone, Debug)]
pub struct PauseDetector {
    tick: ClockSpan,
    limit: ClockSpan,
    last: Option<(ClockTime, ClockSpan)>,
}

impl PauseDetector {
    /// Returns a detector for ticks at intervals of `tick`, with a limit of 1 s.
    pub fn new(tick: ClockSpan) -> Self {
        Self { tick, limit: DEFAULT_LIMIT, last: None }
    }

    /// Returns the detector with another limit.
    #[must_use]
    pub fn with_limit(self, limit: ClockSpan) -> Self {
        Self { limit, ..self }
    }

    /// Records a tick and returns the length of the pause before it, if it exceeds the limit.
    ///
    /// `now` is the time of a clock that continues while the process is frozen, and `boot` that of
    /// [`BootClock`](crate::clock::BootClock), which also continues while the machine is suspended.
    pub fn observe(&mut self, now: ClockTime, boot: ClockSpan) -> Option<ClockSpan> {
        let (last_now, last_boot) = self.last.replace((now, boot))?;
        let running = now.since(last_now);
        let frozen = running.saturating_sub(self.tick);
        let suspended = boot.saturating_sub(last_boot).saturating_sub(running);
        let pause = frozen + suspended;
        (pause > self.limit).then_some(pause)
    }
}
