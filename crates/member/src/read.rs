//! Schedules this VM's reads of the table of upstreams, so that all VMs together read it often
//! enough but not much more often. Each VM draws a random age: when the newest read that it knows
//! of, its own or a peer's, has that age, the VM reads.

use base::prelude::*;

use crate::tuning::ReadTuning;

/// Past this exponent the delay after a failure is at its cap.
const MAX_DOUBLINGS: u32 = 16;

/// Exponent that skews draws of the maximum age towards the end of their range, so that few VMs
/// read shortly after the first one. With uniform draws and 120 VMs, six others would read within
/// the 7 ms until they learn of its read.
const MAX_AGE_SKEW: f64 = 0.25;

/// The newest read that this VM knows of and the time of its own next one.
#[derive(Clone, Debug)]
pub(crate) struct ReadSchedule {
    tuning: ReadTuning,
    /// Position and time of the newest known read of any VM.
    newest: Option<(u64, ClockTime)>,
    /// When the next read of this VM is due unless it learns of a newer read.
    scheduled_at: ClockTime,
    /// When this VM may read again after its own last attempt.
    not_before: ClockTime,
    /// When this VM's read in progress began.
    reading: Option<ClockTime>,
    /// Failed reads of this VM since the newest known read.
    failures: u32,
}

impl ReadSchedule {
    /// Creates a schedule in which a read is due at once.
    pub(crate) fn new(tuning: ReadTuning) -> Self {
        Self {
            tuning,
            newest: None,
            scheduled_at: ClockTime::ZERO,
            not_before: ClockTime::ZERO,
            reading: None,
            failures: 0,
        }
    }

    pub(crate) fn next(&self) -> ClockTime {
        self.scheduled_at.max(self.not_before)
    }

    /// Records a read made by this VM or a peer. `vms` is the number of live VMs.
    pub(crate) fn record(
        &mut self,
        position: u64,
        made_at: ClockTime,
        vms: usize,
        random: &mut RandomSource,
    ) {
        // Ignores a read of an older state than the newest known one.
        if self.newest.is_some_and(|(known, at)| position < known || made_at <= at) {
            return;
        }
        self.newest = Some((position, made_at));
        self.scheduled_at = made_at + self.draw_age(vms, random);
        self.failures = 0;
        if self.reading.is_some_and(|since| made_at >= since) {
            self.reading = None;
            self.not_before = ClockTime::ZERO;
        }
    }

    /// Returns whether a read is due, and if so records it as in progress.
    pub(crate) fn start_due(&mut self, now: ClockTime) -> bool {
        if now < self.next() {
            return false;
        }
        self.reading = Some(now);
        self.not_before = now + self.tuning.read_timeout;
        true
    }

    pub(crate) fn record_failure(&mut self, now: ClockTime, random: &mut RandomSource) {
        let ReadTuning { failure_base, failure_cap, failure_jitter, .. } = self.tuning;
        let factor = f64::from(1_u32 << self.failures.min(MAX_DOUBLINGS));
        let delay = failure_base.scaled(factor).min(failure_cap);
        let jitter = 1.0 + failure_jitter * (2.0 * random.unit() - 1.0);
        self.reading = None;
        self.failures = self.failures.saturating_add(1);
        self.not_before = now + delay.scaled(jitter);
    }

    /// Draws the age of the newest read at which this VM makes the next one.
    ///
    /// The age is the minimum age plus an exponential draw whose mean is proportional to `vms`. The
    /// smallest of the draws of `vms` VMs has `1 / vms` of the mean of a single one, which is the
    /// same for any number of VMs. The other draws are not close to it, as they would be near the
    /// end of a bounded distribution. The maximum age applies if the other VMs do not read.
    fn draw_age(&self, vms: usize, random: &mut RandomSource) -> ClockSpan {
        let ReadTuning { min_age, mean_extra_age, max_age_from, max_age_to, .. } = self.tuning;
        let extra = random.exponential(mean_extra_age.as_millis_f64() * vms as f64);
        let range = max_age_to.saturating_sub(max_age_from);
        let max_age = max_age_from + range.scaled(random.unit().powf(MAX_AGE_SKEW));
        (min_age + ClockSpan::from_millis_f64(extra)).min(max_age)
    }
}
