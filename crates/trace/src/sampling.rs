//! Selects the traces that are logged, and limits the log lines about refusals.

use base::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::call::CallTrace;
use crate::cause::CallCause;

/// One in this many calls without a problem (see [`is_logged`]) is logged, so that the log of an
/// ordinary day holds less than 1% of the calls.
pub const SAMPLE_PERIOD: u64 = 128;
/// Fraction of the latency objective above which a wait for a slot counts as a problem.
const SLOW_WAIT_SHARE: f64 = 0.25;
/// Refusals of one service and cause that are logged within [`LIMITER_SPAN`] (`docs/design.md`,
/// section 10.1).
pub const LIMITER_LINES: u32 = 50;
/// Length of the window in which refusals are counted.
pub const LIMITER_SPAN: ClockSpan = ClockSpan::from_secs(1);

/// What [`is_logged`] needs to know of an ended call, besides its trace.
#[derive(Clone, Copy, Debug)]
pub struct CallSummary<'a> {
    /// The id of the call.
    pub id: &'a [u8],
    /// Why it ended.
    pub cause: CallCause,
    /// Its total duration.
    pub total: ClockSpan,
}

/// Returns whether a trace is logged. Calls with a problem always are: without an answer, with
/// several attempts, slow, or not matched to a service, so that no objective is known. One in
/// [`SAMPLE_PERIOD`] of the others is selected by a hash of the id, so that all VMs select the same
/// calls.
pub fn is_logged(summary: &CallSummary<'_>, trace: &CallTrace) -> bool {
    let slow = trace.facts.as_ref().is_none_or(|facts| {
        summary.total > facts.objective || trace.waited() > facts.objective.scaled(SLOW_WAIT_SHARE)
    });
    summary.cause != CallCause::Answered
        || trace.attempts() > 1
        || slow
        || xxh3_64(summary.id).is_multiple_of(SAMPLE_PERIOD)
}

/// Refusals of one cause in the current window.
#[derive(Clone, Copy, Debug, Default)]
struct LimiterWindow {
    started: Option<ClockTime>,
    logged: u32,
    suppressed: u64,
}

/// Limits how many refusals of one service are logged for each cause.
#[derive(Clone, Debug, Default)]
pub struct LogLimiter {
    windows: [LimiterWindow; CallCause::ALL.len()],
}

impl LogLimiter {
    /// Returns how many refusals with the same cause were suppressed since the last logged one, or
    /// `None` if this one is suppressed as well.
    pub fn admit(&mut self, cause: CallCause, now: ClockTime) -> Option<u64> {
        let window = &mut self.windows[cause as usize];
        if window.started.is_none_or(|started| now.since(started) >= LIMITER_SPAN) {
            window.started = Some(now);
            window.logged = 0;
        }
        if window.logged >= LIMITER_LINES {
            window.suppressed += 1;
            return None;
        }
        window.logged += 1;
        Some(std::mem::take(&mut window.suppressed))
    }
}
