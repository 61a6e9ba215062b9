//! Draws a schedule of faults from a seed.

use std::fmt;

use base::prelude::*;
use stand::prelude::*;

use crate::fault::*;

/// The number of gateway VMs, as the requirements for a default run state.
pub const VMS: usize = 3;
/// The number of upstreams over both services, as the requirements for a default run state.
pub const UPSTREAMS: usize = 6;
/// The time within which faults start, in milliseconds. With the longest fault, the time without
/// faults after it and the stop of the processes, a run ends within the 30 s that the requirements
/// state.
const START_SPAN_MS: f64 = 11_000.0;
/// The least and the most series of faults in a schedule. With fewer, faults seldom overlap; with
/// more, hardly any call is served.
const SERIES_COUNT: (usize, usize) = (10, 16);
/// The number of series of answers that are lost, repeated, misplaced or malformed.
const ANSWER_SERIES: usize = 2;
/// Changes the seed for these series. They are drawn after the others, whose faults thus stay those
/// for which the seeds of the tests were found.
const ANSWER_SEED: u64 = 0x616e_7377_6572;
/// Changes the seed for the outages of the store around changes of the configuration, for the same
/// reason.
const OUTAGE_SEED: u64 = 0x6f75_7461_6765;
/// The time from a change of the configuration to the outage that follows it, in milliseconds. All
/// VMs that follow the configuration send their next long polls in this time.
const OUTAGE_DELAY_MS: (f64, f64) = (0.0, 300.0);
/// The shortest and the longest of these outages in milliseconds.
const OUTAGE_MS: (f64, f64) = (200.0, 2_000.0);
/// The time from the end of such an outage to the next change of the configuration, in milliseconds.
/// Longer than the stable window.
const CALM_MS: (f64, f64) = (3_000.0, 6_000.0);
/// The time within which the first of these changes is made, in milliseconds. The last calls to which
/// the second one applies end within the time limit of a run.
const CHANGE_SPAN_MS: f64 = 4_000.0;
/// The most faults in a series.
const MAX_SERIES_FAULTS: usize = 4;
/// The least and the most time between the starts of two faults of a series, in milliseconds.
/// Shorter than most faults, so that faults of a series overlap as well.
const INTERVAL_MS: (f64, f64) = (50.0, 900.0);
/// The shortest and the longest duration of a fault in milliseconds, except drains and pauses.
const DURATION_MS: (f64, f64) = (100.0, 1_500.0);
/// The shortest and the longest drain in milliseconds: longer than the drain bound of 2 s, with
/// time to observe calls that arrive after the bound.
const DRAIN_DURATION_MS: (f64, f64) = (3_500.0, 5_500.0);
/// The shortest and the longest pause of a process in milliseconds. Callers wait longer than this,
/// so that a call during a pause is answered.
const PAUSE_DURATION_MS: (f64, f64) = (200.0, 1_400.0);
/// The least and the most delay of a link in milliseconds.
const DELAY_MS: (f64, f64) = (5.0, 250.0);
/// The least and the most rate of a narrow link, in bytes a second. A long answer takes up to a
/// second at such a rate.
const NARROW_BYTES_PER_SECOND: (f64, f64) = (400_000.0, 4_000_000.0);
/// The least and the most service time of a slow upstream in milliseconds.
const SLOW_SERVICE_MS: (f64, f64) = (50.0, 900.0);
/// The least and the most time until a slow or late store executes a call, in milliseconds.
const STORE_DELAY_MS: (f64, f64) = (50.0, 900.0);
/// The least and the most share of malformed or wrong answers of an upstream.
const FAULTY_SHARE: (f64, f64) = (0.1, 0.7);
/// Body bytes that a truncated answer sends; ordinary answers are longer.
const TRUNCATED_BYTES: usize = 5;
/// Bytes of the head that an answer whose head is cut off sends: a part of a header.
const CUT_HEAD_BYTES: usize = 60;
/// Bytes that an upstream sends after a complete answer.
const EXTRA_BYTES: usize = 40;

/// The faults of a run in the order in which they start.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultSchedule {
    /// The seed that the schedule was drawn from.
    pub seed: u64,
    /// The faults, by their start.
    pub faults: Vec<ScheduledFault>,
}

impl FaultSchedule {
    /// Draws a schedule. The same seed always gives the same schedule.
    pub fn draw(seed: u64) -> Self {
        let mut generator = ScheduleGenerator { random: RandomSource::from_seed(seed) };
        let series = SERIES_COUNT.0 + generator.random.below(SERIES_COUNT.1 - SERIES_COUNT.0 + 1);
        let mut faults: Vec<ScheduledFault> =
            (0..series).flat_map(|_| generator.draw_series()).collect();
        let mut generator =
            ScheduleGenerator { random: RandomSource::from_seed(seed ^ ANSWER_SEED) };
        faults.extend((0..ANSWER_SERIES).flat_map(|_| generator.draw_answer_series()));
        let mut generator =
            ScheduleGenerator { random: RandomSource::from_seed(seed ^ OUTAGE_SEED) };
        faults.extend(generator.draw_outage_between_changes());
        faults.sort_by_key(|fault| fault.at);
        Self { seed, faults }
    }

    /// Returns the end of the last fault, counted from the time at which injection starts.
    pub fn end(&self) -> ClockSpan {
        self.faults.iter().map(ScheduledFault::end).max().unwrap_or(ClockSpan::ZERO)
    }
}

impl fmt::Display for FaultSchedule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in &self.faults {
            let (at, duration) = (fault.at.as_millis(), fault.duration.as_millis());
            writeln!(formatter, "  at {at} ms for {duration} ms: {:?}", fault.fault)?;
        }
        Ok(())
    }
}

/// Draws the parts of a schedule.
struct ScheduleGenerator {
    random: RandomSource,
}

impl ScheduleGenerator {
    /// Draws a series: faults of one kind that start one after the other.
    fn draw_series(&mut self) -> Vec<ScheduledFault> {
        let first = self.draw_fault();
        self.draw_series_with(first, Self::draw_same_kind)
    }

    /// Draws a series of answers that are lost, repeated, misplaced or malformed.
    fn draw_answer_series(&mut self) -> Vec<ScheduledFault> {
        let first = self.draw_answer_fault();
        self.draw_series_with(first, |generator, _| generator.draw_answer_fault())
    }

    /// Draws two changes of the configuration: one just before an outage of the store, and one that
    /// follows when the store has been calm for longer than the stable window.
    fn draw_outage_between_changes(&mut self) -> [ScheduledFault; 3] {
        let change_ms = self.draw_between((0.0, CHANGE_SPAN_MS));
        let outage_ms = change_ms + self.draw_between(OUTAGE_DELAY_MS);
        let duration_ms = self.draw_between(OUTAGE_MS);
        let next_change_ms = outage_ms + duration_ms + self.draw_between(CALM_MS);
        let outage = self.pick(&[
            StoreFault::Down(RowOutage::Silent),
            StoreFault::Down(RowOutage::Reset),
            StoreFault::LostPolls,
        ]);
        let change = SoakFault::Config(ConfigFault::Newer);
        let scheduled = |at_ms, duration_ms, fault| ScheduledFault {
            at: ClockSpan::from_millis_f64(at_ms),
            duration: ClockSpan::from_millis_f64(duration_ms),
            fault,
        };
        [
            scheduled(change_ms, 0.0, change),
            scheduled(outage_ms, duration_ms, SoakFault::Store(outage)),
            scheduled(next_change_ms, 0.0, change),
        ]
    }

    fn draw_answer_fault(&mut self) -> SoakFault {
        let status = self.pick(&[200, 204, 304, 400, 404, 500, 503]);
        let fault = self.pick(&[
            AnswerFault::RefusedTwice,
            AnswerFault::RefusedTwice,
            AnswerFault::StrayNext { status },
            AnswerFault::StrayNext { status },
            AnswerFault::StatusLine { status: 0 },
            AnswerFault::StatusLine { status: 101 },
            AnswerFault::StatusLine { status: 999 },
            AnswerFault::HeadCut { bytes: CUT_HEAD_BYTES },
        ]);
        let share = self.draw_between(FAULTY_SHARE);
        let upstream = self.draw_upstream_index();
        if self.random.chance(0.2) {
            return SoakFault::Store(StoreFault::LostConfig);
        }
        SoakFault::Upstream { upstream, fault: UpstreamFault::Answers { fault, share } }
    }

    /// Draws a series that begins with `first`. `draw_next` draws a fault that follows it.
    fn draw_series_with(
        &mut self,
        first: SoakFault,
        draw_next: impl Fn(&mut Self, SoakFault) -> SoakFault,
    ) -> Vec<ScheduledFault> {
        let mut at = self.draw_between((0.0, START_SPAN_MS));
        let count = 1 + self.random.below(MAX_SERIES_FAULTS);
        let mut faults = Vec::new();
        for _ in 0..count {
            // About half of the faults repeat the first one on the same target, so that a fault
            // starts while an equal one is in force.
            let fault = if self.random.chance(0.5) { first } else { draw_next(self, first) };
            let duration = ClockSpan::from_millis_f64(self.draw_duration_ms(fault));
            faults.push(ScheduledFault { at: ClockSpan::from_millis_f64(at), duration, fault });
            at = (at + self.draw_between(INTERVAL_MS)).min(START_SPAN_MS);
        }
        faults
    }

    fn draw_fault(&mut self) -> SoakFault {
        match self.random.below(16) {
            0..=3 => self.draw_link(),
            4 | 5 => SoakFault::Store(self.draw_store()),
            6..=9 => self.draw_upstream(),
            10..=13 => self.draw_process(),
            _ => SoakFault::Config(self.pick(&[ConfigFault::Newer, ConfigFault::Older])),
        }
    }

    /// Draws another fault of the same kind as `first`.
    fn draw_same_kind(&mut self, first: SoakFault) -> SoakFault {
        match first {
            SoakFault::Link { .. } => self.draw_link(),
            SoakFault::Store(_) => SoakFault::Store(self.draw_store()),
            SoakFault::Upstream { fault: UpstreamFault::Drain, .. } => SoakFault::Upstream {
                upstream: self.draw_upstream_index(),
                fault: UpstreamFault::Drain,
            },
            SoakFault::Upstream { .. } => self.draw_upstream(),
            SoakFault::Process { .. } => self.draw_process(),
            SoakFault::Config(_) => {
                SoakFault::Config(self.pick(&[ConfigFault::Newer, ConfigFault::Older]))
            }
        }
    }

    fn draw_link(&mut self) -> SoakFault {
        let link = match self.random.below(3) {
            0 => FaultLink::Callers(self.random.below(VMS)),
            1 => FaultLink::Store(self.random.below(VMS)),
            _ => FaultLink::Upstream(self.draw_upstream_index()),
        };
        let delay = LinkFault::Delay { ms: self.draw_between(DELAY_MS) };
        let narrow = LinkFault::Narrow {
            bytes_per_second: self.draw_between(NARROW_BYTES_PER_SECOND) as u64,
        };
        let fault = self.pick(&[
            delay,
            narrow,
            LinkFault::Reset,
            LinkFault::Cut(ProxyDirection::ToTarget),
            LinkFault::Cut(ProxyDirection::ToCaller),
            LinkFault::Silence,
            LinkFault::Refuse,
        ]);
        SoakFault::Link { link, fault }
    }

    fn draw_store(&mut self) -> StoreFault {
        let ms = self.draw_between(STORE_DELAY_MS) as u64;
        let loss = self.pick(&[AnswerLoss::Silent, AnswerLoss::Reset]);
        self.pick(&[
            StoreFault::Down(RowOutage::Silent),
            StoreFault::Down(RowOutage::Refused { status: 503 }),
            StoreFault::Down(RowOutage::Refused { status: 429 }),
            StoreFault::Down(RowOutage::Reset),
            StoreFault::Closed,
            StoreFault::Slow { ms },
            StoreFault::Lost(loss),
            StoreFault::Late { ms, loss },
            StoreFault::HistoryDropped,
        ])
    }

    fn draw_upstream(&mut self) -> SoakFault {
        let share = self.draw_between(FAULTY_SHARE);
        let answers = UpstreamFault::Answers { fault: self.draw_answer(), share };
        let checks = UpstreamFault::Checks { fault: self.draw_answer(), share };
        let slow = UpstreamFault::Slow { ms: self.draw_between(SLOW_SERVICE_MS) };
        let fault = match self.random.below(10) {
            0..=2 => UpstreamFault::Drain,
            3 => UpstreamFault::Crash,
            4..=6 => answers,
            7 => checks,
            8 => slow,
            _ => self.pick(&[UpstreamFault::Freeze, UpstreamFault::FailFast]),
        };
        SoakFault::Upstream { upstream: self.draw_upstream_index(), fault }
    }

    fn draw_answer(&mut self) -> AnswerFault {
        self.pick(&[
            AnswerFault::Extra { bytes: EXTRA_BYTES },
            AnswerFault::Second,
            AnswerFault::Foreign,
            AnswerFault::Truncated { bytes: TRUNCATED_BYTES },
            AnswerFault::Unframed,
            AnswerFault::UnframedReset { bytes: TRUNCATED_BYTES },
            AnswerFault::Early { status: 503 },
            AnswerFault::Silent,
            AnswerFault::Reset,
            AnswerFault::Unsigned,
            AnswerFault::Status { status: 500 },
            AnswerFault::Close,
        ])
    }

    fn draw_process(&mut self) -> SoakFault {
        let fault = match self.random.below(9) {
            0..=3 => ProcessFault::Stop,
            4 | 5 => ProcessFault::Kill,
            6 | 7 => ProcessFault::Pause,
            _ => ProcessFault::Hangup,
        };
        SoakFault::Process { vm: self.random.below(VMS), fault }
    }

    fn draw_duration_ms(&mut self, fault: SoakFault) -> f64 {
        match fault {
            SoakFault::Upstream { fault: UpstreamFault::Drain, .. } => {
                self.draw_between(DRAIN_DURATION_MS)
            }
            SoakFault::Process { fault: ProcessFault::Pause, .. } => {
                self.draw_between(PAUSE_DURATION_MS)
            }
            _ => self.draw_between(DURATION_MS),
        }
    }

    fn draw_upstream_index(&mut self) -> usize {
        self.random.below(UPSTREAMS)
    }

    fn draw_between(&mut self, (from, to): (f64, f64)) -> f64 {
        from + (to - from) * self.random.unit()
    }

    fn pick<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.random.below(choices.len())]
    }
}
