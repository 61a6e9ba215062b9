//! Time in milliseconds, with a resolution of 0.01 ms.

use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// Steps in a millisecond. The added-latency target of 0.42 ms needs two decimals.
const STEPS_PER_MS: u64 = 100;
const NANOS_PER_STEP: u64 = 1_000_000 / STEPS_PER_MS;

/// A point in time: the hundredths of a millisecond since the start of its clock.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClockTime(u64);

/// A duration. It is serialised as a number of hundredths of a millisecond.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct ClockSpan(u64);

impl ClockTime {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);
    /// A time that is never reached.
    pub const MAX: Self = Self(u64::MAX);

    /// Returns the time `millis` milliseconds after the start of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * STEPS_PER_MS)
    }

    /// Returns the duration since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> ClockSpan {
        ClockSpan(self.0.saturating_sub(earlier.0))
    }

    /// Returns the milliseconds since the start of the clock.
    pub fn as_millis_f64(self) -> f64 {
        ClockSpan(self.0).as_millis_f64()
    }

    /// Returns the whole milliseconds since the start of the clock, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / STEPS_PER_MS
    }
}

impl ClockSpan {
    /// A duration of zero.
    pub const ZERO: Self = Self(0);
    /// A duration longer than any that is measured.
    pub const MAX: Self = Self(u64::MAX);

    /// Returns a duration of `millis` milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(STEPS_PER_MS))
    }

    /// Returns a duration of `seconds` seconds.
    pub const fn from_secs(seconds: u64) -> Self {
        Self::from_millis(seconds.saturating_mul(1000))
    }

    /// Returns the duration nearest to `millis` milliseconds; negative values and NaN become zero.
    pub fn from_millis_f64(millis: f64) -> Self {
        Self((millis * STEPS_PER_MS as f64).round().max(0.0) as u64)
    }

    /// Returns a duration of `steps` hundredths of a millisecond.
    pub const fn from_hundredths(steps: u64) -> Self {
        Self(steps)
    }

    /// Returns the duration in hundredths of a millisecond.
    pub const fn as_hundredths(self) -> u64 {
        self.0
    }

    /// Returns the duration in milliseconds.
    pub fn as_millis_f64(self) -> f64 {
        self.0 as f64 / STEPS_PER_MS as f64
    }

    /// Returns the duration in whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / STEPS_PER_MS
    }

    /// Returns the duration for use with timers.
    pub const fn to_duration(self) -> Duration {
        Duration::from_nanos(self.0.saturating_mul(NANOS_PER_STEP))
    }

    /// Returns the duration multiplied by `factor`.
    pub fn scaled(self, factor: f64) -> Self {
        Self::from_millis_f64(self.as_millis_f64() * factor)
    }

    /// Returns the duration minus `other`, or zero if `other` is longer.
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl From<Duration> for ClockSpan {
    fn from(duration: Duration) -> Self {
        Self((duration.as_nanos() / u128::from(NANOS_PER_STEP)) as u64)
    }
}

impl Add<ClockSpan> for ClockTime {
    type Output = Self;

    fn add(self, span: ClockSpan) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl Sub<ClockSpan> for ClockTime {
    type Output = Self;

    fn sub(self, span: ClockSpan) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl Add for ClockSpan {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for ClockSpan {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl fmt::Display for ClockSpan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:.2} ms", self.as_millis_f64())
    }
}

/// A source of the current time. The I/O layer reads it and passes the time to the code that makes
/// decisions.
pub trait ClockSource: Clone + Send + Sync + 'static {
    /// Returns the current time.
    fn now(&self) -> ClockTime;
}

/// The system clock that continues while the machine is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns the time since the machine started, including the time in which it was suspended.
    pub fn elapsed(self) -> ClockSpan {
        let time = clock_gettime(ClockId::Boottime);
        let whole = ClockSpan::from_secs(time.tv_sec.unsigned_abs());
        whole + ClockSpan::from(Duration::from_nanos(time.tv_nsec.unsigned_abs()))
    }
}

/// The clock of a process. It counts the time in which the machine was suspended, so that deadlines
/// and the ages of evidence pass meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct RealClock {
    start: ClockSpan,
}

impl RealClock {
    /// Returns a clock that starts now.
    pub fn new() -> Self {
        Self { start: BootClock.elapsed() }
    }

    /// Returns the system's instant for `time`, for use with timers, or the present one if `time`
    /// has passed. Timers do not count the time in which the machine is suspended.
    pub fn to_instant(&self, time: ClockTime) -> Instant {
        Instant::now() + time.since(self.now()).to_duration()
    }
}

impl Default for RealClock {
    fn default() -> Self {
        Self::new()
    }
}

impl ClockSource for RealClock {
    fn now(&self) -> ClockTime {
        ClockTime::ZERO + BootClock.elapsed().saturating_sub(self.start)
    }
}

/// A simulated clock that advances only by [`VirtualClock::advance`].
#[derive(Clone, Debug, Default)]
pub struct VirtualClock {
    steps: Arc<AtomicU64>,
}

impl VirtualClock {
    /// Advances the clock by `span`.
    pub fn advance(&self, span: ClockSpan) {
        self.steps.fetch_add(span.0, Ordering::SeqCst);
    }
}

impl ClockSource for VirtualClock {
    fn now(&self) -> ClockTime {
        ClockTime(self.steps.load(Ordering::SeqCst))
    }
}
