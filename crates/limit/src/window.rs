//! First attempts and retries that this VM sent to a service, counted in a sliding window.

use std::collections::VecDeque;

use base::prelude::*;

/// Slices of a window. One slice is 5% of the window, the largest error of the period that a count
/// covers.
const SLICES: u64 = 20;

#[derive(Clone, Copy, Debug, Default)]
struct ArrivalCounts {
    /// First attempts of calls.
    first: u32,
    /// Attempts beyond the first one of a call.
    retries: u32,
}

/// Requests that this VM sent to one service.
///
/// First attempts are counted in the current slice and the `SLICES - 1` before it, retries in one
/// slice more. So the count of first attempts is never above that of the window that ends now, and
/// the count of retries is never below it.
#[derive(Debug)]
pub struct ArrivalWindow {
    span: ClockSpan,
    first_seen: ClockTime,
    /// Number of the slice of the last element of `slices`, counted from time zero of the clock.
    newest: u64,
    /// Oldest first. Holds at least 1 and at most `SLICES + 1` elements.
    slices: VecDeque<ArrivalCounts>,
}

impl ArrivalWindow {
    /// Returns an empty window of a service that is new to this VM.
    pub fn new(span: ClockSpan, now: ClockTime) -> Self {
        let slices = VecDeque::from([ArrivalCounts::default()]);
        let mut window = Self { span, first_seen: now, newest: 0, slices };
        window.newest = window.slice_at(now);
        window
    }

    /// Changes the length of the window. Retries so far count as if they were sent now, and first
    /// attempts are forgotten, because slices of different lengths do not match.
    pub fn set_span(&mut self, span: ClockSpan, now: ClockTime) {
        if span != self.span {
            let retries = self.retries(now);
            let first_seen = self.first_seen;
            *self = Self { first_seen, ..Self::new(span, now) };
            self.current_counts(now).retries = retries;
        }
    }

    /// Returns whether the service has been known for less than a window, so that this VM may have
    /// sent retries before a restart that are not counted here.
    pub fn is_partial(&self, now: ClockTime) -> bool {
        now.since(self.first_seen) < self.span
    }

    /// Counts the first attempt of a call.
    pub fn record_first(&mut self, now: ClockTime) {
        let counts = self.current_counts(now);
        counts.first = counts.first.saturating_add(1);
    }

    /// Counts a retry.
    pub fn record_retry(&mut self, now: ClockTime) {
        let counts = self.current_counts(now);
        counts.retries = counts.retries.saturating_add(1);
    }

    /// Removes a retry. It is the oldest one in the window, so that no other one is counted for
    /// less time than it must be.
    pub fn remove_retry(&mut self, now: ClockTime) {
        self.advance(now);
        if let Some(counts) = self.slices.iter_mut().find(|counts| counts.retries > 0) {
            counts.retries -= 1;
        }
    }

    /// Returns the number of first attempts, at most those of the window that ends now.
    pub fn first(&mut self, now: ClockTime) -> u32 {
        self.advance(now);
        self.slices.iter().rev().take(SLICES as usize).map(|counts| counts.first).sum()
    }

    /// Returns the number of retries, at least those of the window that ends now.
    pub fn retries(&mut self, now: ClockTime) -> u32 {
        self.advance(now);
        self.slices.iter().map(|counts| counts.retries).sum()
    }

    fn slice_at(&self, now: ClockTime) -> u64 {
        // Rounded up, so that all slices together are no shorter than the window. A window of whole
        // milliseconds divides evenly.
        let length = self.span.as_hundredths().div_ceil(SLICES).max(1);
        now.since(ClockTime::ZERO).as_hundredths() / length
    }

    fn current_counts(&mut self, now: ClockTime) -> &mut ArrivalCounts {
        self.advance(now);
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }

    /// Starts the slices up to `now`. The time that a worker passes may be slightly in the past; it
    /// then counts in the newest slice.
    fn advance(&mut self, now: ClockTime) {
        let steps = self.slice_at(now).saturating_sub(self.newest);
        for _ in 0..steps.min(SLICES + 1) {
            if self.slices.len() > SLICES as usize {
                self.slices.pop_front();
            }
            self.slices.push_back(ArrivalCounts::default());
        }
        self.newest += steps;
    }
}
