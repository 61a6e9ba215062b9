//! Counts of calls in ring buffers of time buckets, from which windows are summed.

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::tuning::{TIMELINE_POINTS, WINDOWS};

/// Calls, and how many of them were bad.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CallCounts {
    /// All calls.
    pub total: u64,
    /// Calls that failed.
    pub failed: u64,
    /// Calls that succeeded but took longer than the objective's latency.
    pub slow: u64,
}

impl CallCounts {
    /// Adds the counts of other calls.
    pub fn add(&mut self, other: &Self) {
        self.total += other.total;
        self.failed += other.failed;
        self.slow += other.slow;
    }

    /// Returns the share of calls that failed.
    pub fn failed_share(&self) -> f64 {
        share(self.failed, self.total)
    }

    /// Returns the share of successful calls that were slow.
    pub fn slow_share(&self) -> f64 {
        share(self.slow, self.total - self.failed)
    }
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}

/// Counts of one time bucket. Four bytes for a count suffice for the calls of one service on one VM
/// in five minutes, the widest bucket; larger counts saturate.
#[derive(Clone, Copy, Debug, Default)]
struct BucketCounts {
    total: u32,
    failed: u32,
    slow: u32,
}

/// Ring buffer of the latest buckets of one width.
#[derive(Clone, Debug)]
struct CountRing {
    width_ms: u64,
    /// The number of the newest bucket with a call, counted from the origin of the clock.
    newest: u64,
    buckets: Box<[BucketCounts]>,
}

impl CountRing {
    fn new(width: ClockSpan, length: usize) -> Self {
        let buckets = vec![BucketCounts::default(); length].into_boxed_slice();
        Self { width_ms: width.as_millis(), newest: 0, buckets }
    }

    fn bucket_of(&self, now: ClockTime) -> u64 {
        now.as_millis() / self.width_ms
    }

    /// Makes `bucket` the newest one unless it is older, and clears the buckets that are reused for
    /// the time since the previous newest one.
    fn roll(&mut self, bucket: u64) {
        let length = self.buckets.len() as u64;
        let passed = bucket.saturating_sub(self.newest).min(length);
        for step in 0..passed {
            self.buckets[((bucket - step) % length) as usize] = BucketCounts::default();
        }
        self.newest = self.newest.max(bucket);
    }

    fn record(&mut self, failed: bool, slow: bool, now: ClockTime) {
        let bucket = self.bucket_of(now);
        let length = self.buckets.len() as u64;
        self.roll(bucket);
        if bucket + length <= self.newest {
            return;
        }
        let counts = &mut self.buckets[(bucket % length) as usize];
        counts.total = counts.total.saturating_add(1);
        counts.failed = counts.failed.saturating_add(u32::from(failed));
        counts.slow = counts.slow.saturating_add(u32::from(slow));
    }

    /// Sums `count` buckets, the newest of which is `skip` buckets before the current one.
    fn sum(&self, skip: usize, count: usize, now: ClockTime) -> CallCounts {
        let present = self.bucket_of(now);
        let length = self.buckets.len() as u64;
        let mut sum = CallCounts::default();
        for step in skip..skip + count {
            let Some(bucket) = present.checked_sub(step as u64) else { break };
            if bucket > self.newest || bucket + length <= self.newest {
                continue;
            }
            let counts = self.buckets[(bucket % length) as usize];
            sum.total += u64::from(counts.total);
            sum.failed += u64::from(counts.failed);
            sum.slow += u64::from(counts.slow);
        }
        sum
    }
}

/// Width and number of the buckets of each ring. A window includes the current bucket, which is not
/// yet complete, so it covers up to one bucket less than its nominal length.
const RINGS: [(ClockSpan, usize); 4] = [
    (ClockSpan::from_secs(1), 60),
    (ClockSpan::from_secs(10), 30),
    (ClockSpan::from_secs(60), 60),
    (ClockSpan::from_secs(300), 72),
];
/// The index in [`RINGS`] of the ring from which each of [`WINDOWS`] is summed.
const RING_OF_WINDOW: [usize; WINDOWS.len()] = [0, 0, 1, 2, 2, 3];
/// The index in [`RINGS`] of the ring with buckets of five minutes, one for each timeline point.
const TIMELINE_RING: usize = 3;

/// The counts of one service and class over all windows.
#[derive(Clone, Debug)]
pub struct WindowCounts {
    rings: [CountRing; RINGS.len()],
}

impl WindowCounts {
    /// Returns counts without calls.
    pub fn new() -> Self {
        Self { rings: RINGS.map(|(width, length)| CountRing::new(width, length)) }
    }

    /// Counts a call that failed, was slow or neither.
    pub fn record(&mut self, failed: bool, slow: bool, now: ClockTime) {
        for ring in &mut self.rings {
            ring.record(failed, slow, now);
        }
    }

    /// Returns the calls in the window with this index in [`WINDOWS`].
    ///
    /// # Panics
    ///
    /// Panics if the index is out of range.
    pub fn window(&self, index: usize, now: ClockTime) -> CallCounts {
        let ring = &self.rings[RING_OF_WINDOW[index]];
        let count = WINDOWS[index].as_millis() / ring.width_ms;
        ring.sum(0, count as usize, now)
    }

    /// Returns the calls in each five minutes of the last hour, the oldest first.
    pub fn timeline(&self, now: ClockTime) -> Vec<CallCounts> {
        let ring = &self.rings[TIMELINE_RING];
        (0..TIMELINE_POINTS).rev().map(|skip| ring.sum(skip, 1, now)).collect()
    }

    /// Returns the memory of the counts in bytes.
    pub fn memory_bytes() -> usize {
        let buckets: usize = RINGS.iter().map(|(_, length)| length).sum();
        size_of::<Self>() + buckets * size_of::<BucketCounts>()
    }
}

impl Default for WindowCounts {
    fn default() -> Self {
        Self::new()
    }
}
