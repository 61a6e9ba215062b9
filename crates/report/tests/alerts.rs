//! Detection time and false alerts.

use std::collections::HashMap;
use std::sync::Arc;

use base::prelude::*;
use report::prelude::*;
use world::prelude::*;

const GOOD: ClockSpan = ClockSpan::from_millis(5);
const SLOW: ClockSpan = ClockSpan::from_millis(500);

fn environment(success_share: f64) -> EnvironmentMap {
    let contract = ServiceContract {
        name: "phase-desk".into(),
        hosts: Vec::new(),
        path_prefixes: Vec::new(),
        rules: Vec::new(),
        deadline: ClockSpan::from_secs(1),
        objective: ServiceObjective {
            latency: ClockSpan::from_millis(100),
            latency_share: 0.99,
            success_share,
        },
        probe_share: 0.01,
        vm_ceiling: 15,
        retry_ratio: 0.1,
        queue_limit: 100,
        health_path: None,
        retry_window: None,
    };
    EnvironmentMap {
        name: "test".into(),
        version: 1,
        digest: "d".into(),
        centres: Vec::new(),
        links: Vec::new(),
        contracts: vec![Arc::new(contract)],
        upstreams: HashMap::new(),
        routes: RouteTable::default(),
        caller_limits: CallerLimits::default(),
    }
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
    let trouble = |success_share, calls_per_second, bad, seconds| Trouble {
        success_share,
        calls_per_second,
        bad,
        seconds,
    };
    let half = BadCalls::EveryNth(2);
    let cases = [
        DetectionCase {
            name: "half fail, strict objective",
            trouble: trouble(0.9999, 100.0, half, 60),
            event: 1901,
            within_seconds: 10,
        },
        DetectionCase {
            name: "half fail, lax objective",
            trouble: trouble(0.9, 100.0, half, 60),
            event: 1901,
            within_seconds: 10,
        },
        DetectionCase {
            name: "half fail at one call a second",
            trouble: trouble(0.999, 1.0, half, 60),
            event: 1901,
            within_seconds: 10,
        },
        DetectionCase {
            name: "half are slow",
            trouble: trouble(0.999, 100.0, BadCalls::SlowNth(2), 60),
            event: 1901,
            within_seconds: 10,
        },
        DetectionCase {
            name: "one in a hundred fails",
            trouble: trouble(0.999, 100.0, BadCalls::EveryNth(100), 3600),
            event: 1903,
            within_seconds: 1800,
        },
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
    let cases = [
        QuietCase {
            name: "no failure",
            trouble: Trouble {
                success_share: 0.999,
                calls_per_second: 50.0,
                bad: BadCalls::None,
                seconds: 60,
            },
            raised: 0,
            without: None,
        },
        QuietCase {
            name: "one failed call of a quiet service",
            trouble: Trouble {
                success_share: 0.999,
                calls_per_second: 0.1,
                bad: BadCalls::One,
                seconds: 600,
            },
            raised: 0,
            without: Some(BurnTuning { min_bad: 1, min_calls: 1, ..tuning.clone() }),
        },
        QuietCase {
            name: "failures within the objective",
            trouble: Trouble {
                success_share: 0.99,
                calls_per_second: 100.0,
                bad: BadCalls::EveryNth(150),
                seconds: 3600,
            },
            raised: 0,
            without: None,
        },
        QuietCase {
            name: "failures that come and go",
            trouble: Trouble {
                success_share: 0.9,
                calls_per_second: 100.0,
                bad: BadCalls::HalfInTurns(12),
                seconds: 600,
            },
            raised: 1,
            without: Some(BurnTuning {
                clear_share: 1.0,
                clear_hold: ClockSpan::ZERO,
                ..tuning.clone()
            }),
        },
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
    let trouble = Trouble {
        success_share: 0.9,
        calls_per_second: 100.0,
        bad: BadCalls::EveryNth(2),
        seconds: 60,
    };
    let outcome = trouble.run(BurnTuning { outage_share: f64::INFINITY, ..BurnTuning::default() });
    assert!(outcome.first.is_none_or(|(seconds, _)| seconds > 10));
}

/// Guards against an alert that stays raised after the service has recovered.
#[test]
fn alerts_clear_after_recovery() {
    let trouble = Trouble {
        success_share: 0.9,
        calls_per_second: 100.0,
        bad: BadCalls::EveryNth(2),
        seconds: 30,
    };
    let outcome = trouble.run(BurnTuning::default());
    assert_eq!((outcome.raised, outcome.cleared), (1, 1));
}
