//! Counters and histograms of a run, which are merged over threads.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// The shortest latency of a histogram, in microseconds.
const LOWEST_US: u64 = 1;
/// The longest latency of a histogram, in microseconds. Longer ones are counted as this long.
const HIGHEST_US: u64 = 600_000_000;
/// Significant digits of a latency in a histogram.
const DIGITS: u8 = 3;
/// A call that is sent later than this after its intended time counts as late.
pub const LATE_AFTER: Duration = Duration::from_millis(1);

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallEnd {
    /// With the whole answer that was expected.
    Good,
    /// With the nonce of another call, or without one.
    WrongNonce,
    /// With a body of another length than was announced or expected.
    ShortBody,
    /// With an unexpected status, and without a header that states the outcome.
    WrongStatus,
    /// Refused, with the statement that the call was not run.
    NotRun,
    /// With the statement that it is unknown whether the call was run.
    Unknown,
    /// No complete answer before the timeout.
    TimedOut,
    /// The connection could not be opened, or broke before the answer began.
    ConnectionError,
    /// Not sent in time because every connection was in use.
    Unsent,
}

impl CallEnd {
    /// Every end, in the order of the report.
    pub const ALL: [Self; 9] = [
        Self::Good,
        Self::WrongNonce,
        Self::ShortBody,
        Self::WrongStatus,
        Self::NotRun,
        Self::Unknown,
        Self::TimedOut,
        Self::ConnectionError,
        Self::Unsent,
    ];
}

/// Counters and histograms of the calls of one kind.
#[derive(Clone, Debug)]
pub struct KindTally {
    /// Calls by their end, in the order of [`CallEnd::ALL`].
    pub ends: [u64; CallEnd::ALL.len()],
    /// Latency of good calls, in microseconds.
    pub good: Histogram<u64>,
    /// Latency of all calls, in microseconds. A call that timed out counts with the time until its
    /// timeout.
    pub all: Histogram<u64>,
    /// Time from the intended to the actual sending, in microseconds.
    pub delay: Histogram<u64>,
    /// Calls that were sent more than [`LATE_AFTER`] after their intended time.
    pub late: u64,
}

impl KindTally {
    /// Returns an empty tally.
    pub fn new() -> Self {
        Self {
            ends: [0; CallEnd::ALL.len()],
            good: histogram(),
            all: histogram(),
            delay: histogram(),
            late: 0,
        }
    }

    /// Counts a call that was sent `delay` after its intended time.
    pub fn record_sent(&mut self, delay: Duration) {
        self.delay.saturating_record(micros(delay));
        self.late += u64::from(delay > LATE_AFTER);
    }

    /// Counts the end of a call, `latency` after its intended time.
    pub fn record_end(&mut self, end: CallEnd, latency: Duration) {
        self.ends[end as usize] += 1;
        let latency = micros(latency);
        self.all.saturating_record(latency);
        if end == CallEnd::Good {
            self.good.saturating_record(latency);
        }
    }

    /// Adds the calls of another tally.
    pub fn merge(&mut self, other: &Self) {
        for (total, added) in self.ends.iter_mut().zip(other.ends) {
            *total += added;
        }
        self.late += other.late;
        let pairs = [
            (&mut self.good, &other.good),
            (&mut self.all, &other.all),
            (&mut self.delay, &other.delay),
        ];
        for (total, added) in pairs {
            // All histograms have the same bounds, so that adding does not fail.
            let _ = total.add(added);
        }
    }
}

impl Default for KindTally {
    fn default() -> Self {
        Self::new()
    }
}

/// Adds the tallies of a thread, kind by kind.
pub fn merge_all(total: &mut [KindTally], part: &[KindTally]) {
    for (sum, added) in total.iter_mut().zip(part) {
        sum.merge(added);
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(LOWEST_US, HIGHEST_US, DIGITS)
        .expect("the bounds are in order and the digits within 0..=5")
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(HIGHEST_US).max(LOWEST_US)
}
