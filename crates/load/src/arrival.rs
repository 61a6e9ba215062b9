//! The intended times of calls, without I/O.

use std::time::Duration;

use base::prelude::*;

use crate::plan::{ArrivalKind, LoadPlan, RateShape};

/// A part of the run in which the rate is constant or changes linearly, in calls a second.
#[derive(Clone, Copy, Debug)]
struct RateSegment {
    seconds: f64,
    from: f64,
    to: f64,
}

impl RateSegment {
    fn slope(&self) -> f64 {
        if self.seconds > 0.0 { (self.to - self.from) / self.seconds } else { 0.0 }
    }

    /// Returns the number of calls that are due from `start`, in seconds within the segment, to the
    /// end of the segment.
    fn calls_after(&self, start: f64) -> f64 {
        let rate = self.from + self.slope() * start;
        (rate + self.to) / 2.0 * (self.seconds - start)
    }

    /// Returns the time at which `calls` calls have become due since `start`. Both times are in
    /// seconds from the start of the segment.
    fn time_of(&self, start: f64, calls: f64) -> f64 {
        let slope = self.slope();
        let rate = self.from + slope * start;
        // The root of rate * x + slope / 2 * x^2 = calls, in the form that is stable for small
        // slopes.
        start + 2.0 * calls / (rate + (rate * rate + 2.0 * slope * calls).max(0.0).sqrt())
    }
}

/// The intended times of the calls of one thread, counted from the start of the warm-up.
#[derive(Clone, Debug)]
pub struct ArrivalSchedule {
    kind: ArrivalKind,
    segments: Vec<RateSegment>,
    segment: usize,
    /// Seconds from the start of the run to the present segment.
    elapsed: f64,
    /// Seconds into the present segment.
    offset: f64,
    /// The first gap of a fixed schedule, as a share of its other gaps. It differs between threads,
    /// so that their calls alternate.
    phase: Option<f64>,
    random: RandomSource,
}

impl ArrivalSchedule {
    /// Returns the schedule of one of the plan's threads.
    pub fn new(plan: &LoadPlan, thread: usize) -> Self {
        let share = 1.0 / plan.threads as f64;
        let segments = segments(plan)
            .into_iter()
            .map(|segment| RateSegment {
                from: segment.from * share,
                to: segment.to * share,
                ..segment
            })
            .collect();
        Self {
            kind: plan.arrivals,
            segments,
            segment: 0,
            elapsed: 0.0,
            offset: 0.0,
            phase: Some((thread as f64 + 1.0) * share),
            random: RandomSource::from_seed(plan.seed ^ ((thread as u64 + 1) << 32)),
        }
    }

    /// Returns the gap to the next call, as a number of calls at the present rate.
    fn gap(&mut self) -> f64 {
        let phase = self.phase.take();
        match self.kind {
            ArrivalKind::Poisson => self.random.exponential(1.0),
            ArrivalKind::Fixed => phase.unwrap_or(1.0),
        }
    }
}

impl Iterator for ArrivalSchedule {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        let mut calls = self.gap();
        while let Some(segment) = self.segments.get(self.segment) {
            let remaining = segment.calls_after(self.offset);
            if calls < remaining {
                self.offset = segment.time_of(self.offset, calls);
                return Some(Duration::from_secs_f64(self.elapsed + self.offset));
            }
            calls -= remaining;
            self.elapsed += segment.seconds;
            self.offset = 0.0;
            self.segment += 1;
        }
        None
    }
}

/// Returns the segments of the whole run, warm-up included.
fn segments(plan: &LoadPlan) -> Vec<RateSegment> {
    let seconds = |millis: u64| millis as f64 / 1000.0;
    let constant = |millis, rate| RateSegment { seconds: seconds(millis), from: rate, to: rate };
    let first = plan.rate.rates().first().copied().unwrap_or(0.0);
    let mut segments = vec![constant(plan.warm_up_ms, first)];
    match &plan.rate {
        RateShape::Constant { per_second } => {
            segments.push(constant(plan.duration_ms, *per_second))
        }
        RateShape::Ramp { from, to } => {
            segments.push(RateSegment { seconds: seconds(plan.duration_ms), from: *from, to: *to });
        }
        RateShape::Steps { steps } => {
            let mut remaining = plan.duration_ms;
            for (index, step) in steps.iter().enumerate() {
                let last = index + 1 == steps.len();
                let length = if last { remaining } else { step.for_ms.min(remaining) };
                segments.push(constant(length, step.per_second));
                remaining -= length;
            }
        }
    }
    segments
}
