//! Detection time and false alerts.

#[path = "../../world/tests/sample/mod.rs"]
mod sample;

use base::prelude::*;
use report::prelude::*;
use world::prelude::*;

const GOOD: ClockSpan = ClockSpan::from_millis(5);
const SLOW: ClockSpan = ClockSpan::from_millis(500);

fn environment(success_share: f64) -> EnvironmentMap {
    let base = sample::contract("phase-desk");
    let latency = ClockSpan::from_millis(100);
    let objective = ServiceObjective { latency, success_share, ..base.objective };
    sample::environment(vec![ServiceContract { objective, ..base }])
}

#[derive(Clone, Copy)]
enum BadCalls {
    None,
    /// The first call of the trouble fails.
    One,
    /// Every n-th call fails.
    EveryNth(u64),
    /// Every n-th call is slow.
    SlowNth(u64),
    /// Half of the calls fail in every other period of this many seconds.
    HalfInTurns(u64),
}

struct Trouble {
    success_share: f64,
    calls_per_second: f64,
    bad: BadCalls,
    seconds: u64,
}

fn trouble(success_share: f64, calls_per_second: f64, bad: BadCalls, seconds: u64) -> Trouble {
    Trouble { success_share, calls_per_second, bad, seconds }
}

struct Outcome {
    /// Seconds from the start of the trouble to the first alert, and its event number.
    first: Option<(u64, u32)>,
    raised: usize,
    cleared: usize,
}

impl Trouble {
    fn is_bad(&self, call: u64, second: u64) -> (bool, bool) {
        match self.bad {
            BadCalls::None => (false, false),
            BadCalls::One => (call == 0, false),
            BadCalls::EveryNth(n) => (call.is_multiple_of(n), false),
            BadCalls::SlowNth(n) => (false, call.is_multiple_of(n)),
            BadCalls::HalfInTurns(n) => {
                ((second / n).is_multiple_of(2) && call.is_multiple_of(2), false)
            }
        }
    }

    /// Runs ten good minutes, the trouble, and ten good minutes.
    fn run(&self, tuning: BurnTuning) -> Outcome {
        let clock = VirtualClock::default();
        clock.advance(ClockSpan::from_secs(86_400));
        let table = BurnTable::new(tuning);
        table.apply(&environment(self.success_share), clock.now());
        let mut outcome = Outcome { first: None, raised: 0, cleared: 0 };
        let (mut due, mut call) = (0.0, 0);
        for second in 0..1200 + self.seconds {
            let trouble = second.checked_sub(600).filter(|passed| *passed < self.seconds);
            due += self.calls_per_second;
            while due >= 1.0 {
                due -= 1.0;
                let bad = trouble.map(|passed| self.is_bad(call, passed));
                let (failed, slow) = bad.unwrap_or_default();
                call += u64::from(bad.is_some());
                let latency = if slow { SLOW } else { GOOD };
                table.record("phase-desk", WorkClass::Urgent, latency, !failed, clock.now());
            }
            clock.advance(ClockSpan::from_secs(1));
            for alert in table.evaluate(clock.now()) {
                let passed = trouble.map(|passed| passed + 1);
                outcome.note(&alert, passed.unwrap_or(u64::MAX));
            }
        }
        outcome
    }
}

impl Outcome {
    fn note(&mut self, alert: &BurnAlert, passed: u64) {
        if alert.class.is_some() {
            return;
        }
        match alert.change {
            AlertChange::Raised => {
                self.raised += 1;
                self.first.get_or_insert((passed, alert.event_number()));
            }
            AlertChange::Cleared => {
                assert_eq!(alert.event_number(), 1904);
                self.cleared += 1;
            }
        }
    }
}

struct DetectionCase {
    name: &'static str,
    trouble: Trouble,
    event: u32,
    within_seconds: u64,
}

/// Guards against a fast-burn alert that comes later than 10 s after half of the calls fail, and
/// against a slow burn that is never seen.
#[test]
fn trouble_is_detected_in_time() {
    let half = BadCalls::EveryNth(2);
    let case = |name, trouble, event, within_seconds| DetectionCase {
        name,
        trouble,
        event,
        within_seconds,
    };
    let cases = [
        case("half fail, strict objective", trouble(0.9999, 100.0, half, 60), 1901, 10),
        case("half fail, lax objective", trouble(0.9, 100.0, half, 60), 1901, 10),
        case("half fail at one call a second", trouble(0.999, 1.0, half, 60), 1901, 10),
        case("half are slow", trouble(0.999, 100.0, BadCalls::SlowNth(2), 60), 1901, 10),
        case(
            "one in a hundred fails",
            trouble(0.999, 100.0, BadCalls::EveryNth(100), 3600),
            1903,
            1800,
        ),
    ];
    for case in cases {
        let outcome = case.trouble.run(BurnTuning::default());
        let (seconds, event) = outcome.first.unwrap_or((u64::MAX, 0));
        println!("{}: event {event} after {seconds} s", case.name);
        assert_eq!(event, case.event, "{}", case.name);
        assert!(seconds <= case.within_seconds, "{}: {seconds} s", case.name);
        assert!(outcome.cleared <= outcome.raised, "{}", case.name);
    }
}

struct QuietCase {
    name: &'static str,
    trouble: Trouble,
    /// The most alerts that may be raised.
    raised: usize,
    /// The tuning without the mechanism that the case is about, if there is one.
    without: Option<BurnTuning>,
}

/// Guards against alerts for single failed calls and against alerts that flap. Each case with a
/// mechanism also shows that it fails without the mechanism.
#[test]
fn alerts_are_not_raised_without_need() {
    let tuning = BurnTuning::default();
    let case = |name, trouble, raised, without| QuietCase { name, trouble, raised, without };
    let cases = [
        case("no failure", trouble(0.999, 50.0, BadCalls::None, 60), 0, None),
        case(
            "one failed call of a quiet service",
            trouble(0.999, 0.1, BadCalls::One, 600),
            0,
            Some(BurnTuning { min_bad: 1, min_calls: 1, ..tuning.clone() }),
        ),
        case(
            "failures within the objective",
            trouble(0.99, 100.0, BadCalls::EveryNth(150), 3600),
            0,
            None,
        ),
        case(
            "failures that come and go",
            trouble(0.9, 100.0, BadCalls::HalfInTurns(12), 600),
            1,
            Some(BurnTuning { clear_share: 1.0, clear_hold: ClockSpan::ZERO, ..tuning.clone() }),
        ),
    ];
    for case in cases {
        let outcome = case.trouble.run(tuning.clone());
        assert!(outcome.raised <= case.raised, "{}: {}", case.name, outcome.raised);
        if let Some(without) = case.without {
            let outcome = case.trouble.run(without);
            assert!(outcome.raised > case.raised, "{} without: {}", case.name, outcome.raised);
        }
    }
}

/// Guards against a lax objective hiding an outage: without the share that always raises, half of
/// the calls of a 90% service may fail unseen for longer than 10 s.
#[test]
fn outage_share_is_needed() {
    let outcome = trouble(0.9, 100.0, BadCalls::EveryNth(2), 60)
        .run(BurnTuning { outage_share: f64::INFINITY, ..BurnTuning::default() });
    assert!(outcome.first.is_none_or(|(seconds, _)| seconds > 10));
}

/// Guards against an alert that stays raised after the service has recovered.
#[test]
fn alerts_clear_after_recovery() {
    let trouble = trouble(0.9, 100.0, BadCalls::EveryNth(2), 30);
    let outcome = trouble.run(BurnTuning::default());
    assert_eq!((outcome.raised, outcome.cleared), (1, 1));
}
