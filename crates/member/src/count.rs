//! VM counts that divide global budgets and therefore shrink late.

use std::collections::VecDeque;

use base::prelude::*;

use crate::message::HeldCount;

/// Width of the time buckets in which the largest count is kept.
const BUCKET: ClockSpan = ClockSpan::from_secs(60);

/// The largest count within a time window.
#[derive(Clone, Debug, Default)]
pub struct CountWindow {
    buckets: VecDeque<(u64, u32)>,
}

impl CountWindow {
    fn bucket_of(time: ClockTime) -> u64 {
        time.as_millis() / BUCKET.as_millis()
    }

    /// Records a count that was seen at `time`.
    pub fn record(&mut self, count: u32, time: ClockTime) {
        let bucket = Self::bucket_of(time);
        let index = self.buckets.partition_point(|(start, _)| *start < bucket);
        match self.buckets.get_mut(index) {
            Some((start, most)) if *start == bucket => *most = (*most).max(count),
            _ => self.buckets.insert(index, (bucket, count)),
        }
    }

    /// Drops buckets that ended more than `hold` before `now`.
    pub fn expire(&mut self, hold: ClockSpan, now: ClockTime) {
        let oldest = Self::bucket_of(now - hold);
        while self.buckets.front().is_some_and(|(start, _)| *start < oldest) {
            self.buckets.pop_front();
        }
    }

    /// Returns the largest count.
    pub fn largest(&self) -> u32 {
        self.buckets.iter().map(|(_, most)| *most).max().unwrap_or(0)
    }

    /// Returns the largest count and how long ago it was last seen, measured from the start of
    /// its bucket, so that passing it on never prolongs it.
    pub fn held(&self, now: ClockTime) -> HeldCount {
        let largest = self.largest();
        let newest = self.buckets.iter().rev().find(|(_, most)| *most == largest);
        let age_ms = newest
            .map_or(0, |(start, _)| now.as_millis().saturating_sub(*start * BUCKET.as_millis()));
        HeldCount { count: largest, age_ms }
    }
}
