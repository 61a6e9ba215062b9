//! Decisions of one table about requests, step by step.

use base::prelude::*;
use suspect::prelude::*;

const SUSPECT: u64 = 7;
const OTHER: u64 = 8;
/// A fingerprint that was computed without the content of the body.
const PARTIAL: u64 = 1 << 63;

#[derive(Clone, Copy)]
enum Step {
    /// Starts a call of a fingerprint on an upstream.
    Start(u64, &'static str),
    Finish(u64, &'static str),
    Crash(&'static str),
    /// Loses a connection to an upstream.
    Lost(&'static str),
    /// Refuses a connect to an upstream.
    Refused(&'static str),
    Release(u64),
    CancelIsolation(u64),
    /// Starts a call of a fingerprint on each of the upstreams, which then crash in this order.
    CrashAll(u64, &'static [&'static str]),
    /// Runs a fingerprint successfully on an upstream.
    Survived(u64, &'static str),
    /// Runs a fingerprint successfully this many times.
    Prove(u64, u32),
    Wait(ClockSpan),
    /// Requires this decision on a fingerprint.
    Expect(u64, SuspectDecision),
    ExpectAfter(ClockSpan, u64, SuspectDecision),
}

use Step::*;
use SuspectDecision::{Run, RunIsolated};

const REFUSED: SuspectDecision = SuspectDecision::Refuse;
const SETTLED: ClockSpan = ClockSpan::from_secs(1);

struct DecisionCase {
    name: &'static str,
    steps: &'static [Step],
}

const fn case(name: &'static str, steps: &'static [Step]) -> DecisionCase {
    DecisionCase { name, steps }
}

const DECISION_CASES: &[DecisionCase] = &[
    case(
        "a single crash suspects and does not confirm",
        &[
            CrashAll(SUSPECT, &["a"]),
            Expect(SUSPECT, REFUSED),
            ExpectAfter(SETTLED, SUSPECT, RunIsolated),
            Expect(OTHER, Run),
        ],
    ),
    case(
        "crashes of two upstreams confirm",
        &[CrashAll(SUSPECT, &["a", "b"]), ExpectAfter(SETTLED, SUSPECT, REFUSED)],
    ),
    case(
        "two reports of one crash do not confirm",
        &[CrashAll(SUSPECT, &["a"]), Crash("a"), ExpectAfter(SETTLED, SUSPECT, RunIsolated)],
    ),
    case(
        "a crash in isolation confirms on the same upstream",
        &[
            CrashAll(SUSPECT, &["a"]),
            Finish(SUSPECT, "a"),
            ExpectAfter(SETTLED, SUSPECT, RunIsolated),
            Start(SUSPECT, "a"),
            Lost("a"),
            Finish(SUSPECT, "a"),
            Refused("a"),
            Refused("a"),
            ExpectAfter(SETTLED, SUSPECT, REFUSED),
            ExpectAfter(ClockSpan::from_secs(1800), SUSPECT, REFUSED),
        ],
    ),
    case(
        "one isolated run at a time",
        &[
            Start(SUSPECT, "a"),
            CrashAll(OTHER, &["a"]),
            ExpectAfter(SETTLED, SUSPECT, RunIsolated),
            Start(SUSPECT, "b"),
            Expect(SUSPECT, REFUSED),
            Expect(OTHER, REFUSED),
            Finish(SUSPECT, "b"),
            Expect(OTHER, RunIsolated),
            CancelIsolation(OTHER),
            Expect(SUSPECT, RunIsolated),
        ],
    ),
    case(
        "a reservation without a start expires",
        &[
            CrashAll(SUSPECT, &["a"]),
            ExpectAfter(SETTLED, SUSPECT, RunIsolated),
            Expect(SUSPECT, REFUSED),
            ExpectAfter(ClockSpan::from_millis(1001), SUSPECT, RunIsolated),
        ],
    ),
    case(
        "successful isolated runs clear",
        &[
            CrashAll(SUSPECT, &["a"]),
            Finish(SUSPECT, "a"),
            ExpectAfter(SETTLED, SUSPECT, RunIsolated),
            Survived(SUSPECT, "b"),
            Expect(SUSPECT, RunIsolated),
            Survived(SUSPECT, "b"),
            Expect(SUSPECT, RunIsolated),
            Survived(SUSPECT, "b"),
            Expect(SUSPECT, Run),
        ],
    ),
    case(
        "a run whose connection was lost does not clear",
        &[
            CrashAll(SUSPECT, &["a"]),
            Finish(SUSPECT, "a"),
            ExpectAfter(SETTLED, SUSPECT, RunIsolated),
            Survived(SUSPECT, "b"),
            Expect(SUSPECT, RunIsolated),
            Survived(SUSPECT, "b"),
            Expect(SUSPECT, RunIsolated),
            Start(SUSPECT, "b"),
            Lost("b"),
            Finish(SUSPECT, "b"),
            Expect(SUSPECT, RunIsolated),
        ],
    ),
    case(
        "a frequent request on two crashed upstreams is not confirmed",
        &[
            Prove(SUSPECT, 3),
            CrashAll(SUSPECT, &["a", "b"]),
            ExpectAfter(SETTLED, SUSPECT, RunIsolated),
        ],
    ),
    case(
        "a frequent request that runs on after a crash is cleared",
        &[
            Prove(SUSPECT, 3),
            Start(SUSPECT, "a"),
            Start(SUSPECT, "b"),
            Crash("a"),
            Expect(SUSPECT, REFUSED),
            Wait(ClockSpan::from_millis(2)),
            Finish(SUSPECT, "b"),
            Expect(SUSPECT, Run),
        ],
    ),
    case(
        "a request that is not proven is not cleared by a run that began before",
        &[
            Start(SUSPECT, "a"),
            Start(SUSPECT, "b"),
            Crash("a"),
            Wait(ClockSpan::from_millis(2)),
            Finish(SUSPECT, "b"),
            Expect(SUSPECT, REFUSED),
        ],
    ),
    case(
        "suspicion expires",
        &[
            CrashAll(SUSPECT, &["a"]),
            ExpectAfter(ClockSpan::from_secs(600), SUSPECT, RunIsolated),
            CancelIsolation(SUSPECT),
            ExpectAfter(ClockSpan::from_millis(1), SUSPECT, Run),
        ],
    ),
    case(
        "the confirmed status expires",
        &[
            CrashAll(SUSPECT, &["a", "b"]),
            ExpectAfter(ClockSpan::from_millis(3_600_001), SUSPECT, Run),
        ],
    ),
    case(
        "a refused request renews the confirmed status",
        &[
            CrashAll(SUSPECT, &["a", "b"]),
            ExpectAfter(ClockSpan::from_secs(3000), SUSPECT, REFUSED),
            ExpectAfter(ClockSpan::from_secs(3000), SUSPECT, REFUSED),
        ],
    ),
    case(
        "a confirmed request that is refused for long is tested and cleared",
        &[
            CrashAll(SUSPECT, &["a", "b"]),
            Finish(SUSPECT, "a"),
            Finish(SUSPECT, "b"),
            ExpectAfter(ClockSpan::from_secs(3500), SUSPECT, REFUSED),
            ExpectAfter(ClockSpan::from_secs(3500), SUSPECT, REFUSED),
            ExpectAfter(ClockSpan::from_secs(201), SUSPECT, RunIsolated),
            Survived(SUSPECT, "c"),
            Expect(SUSPECT, RunIsolated),
            Survived(SUSPECT, "c"),
            Expect(SUSPECT, RunIsolated),
            Survived(SUSPECT, "c"),
            Expect(SUSPECT, Run),
        ],
    ),
    case(
        "a confirmed request that crashes an upstream in its test is refused again",
        &[
            CrashAll(SUSPECT, &["a", "b"]),
            Finish(SUSPECT, "a"),
            Finish(SUSPECT, "b"),
            ExpectAfter(ClockSpan::from_secs(3500), SUSPECT, REFUSED),
            ExpectAfter(ClockSpan::from_secs(3500), SUSPECT, REFUSED),
            ExpectAfter(ClockSpan::from_secs(201), SUSPECT, RunIsolated),
            Start(SUSPECT, "c"),
            Crash("c"),
            Finish(SUSPECT, "c"),
            ExpectAfter(SETTLED, SUSPECT, REFUSED),
            ExpectAfter(ClockSpan::from_secs(3500), SUSPECT, REFUSED),
        ],
    ),
    case(
        "successes do not clear a request of which only the head is known",
        &[
            Prove(PARTIAL, 3),
            Start(PARTIAL, "a"),
            Start(PARTIAL, "b"),
            Crash("a"),
            Wait(ClockSpan::from_millis(2)),
            Finish(PARTIAL, "b"),
            Expect(PARTIAL, REFUSED),
        ],
    ),
    case(
        "a release clears, and crashes after it count anew",
        &[
            CrashAll(SUSPECT, &["a", "b"]),
            Finish(SUSPECT, "a"),
            Finish(SUSPECT, "b"),
            Release(SUSPECT),
            Expect(SUSPECT, Run),
            Wait(SETTLED),
            CrashAll(SUSPECT, &["c"]),
            ExpectAfter(SETTLED, SUSPECT, RunIsolated),
        ],
    ),
    case(
        "a call that ended before the first loss is no suspect",
        &[Survived(SUSPECT, "a"), Lost("a"), Refused("a"), Refused("a"), Expect(SUSPECT, Run)],
    ),
];

/// Guards against requests that are refused too long after one crash, run after two, or stay
/// refused for ever.
#[test]
fn decisions_follow_crashes() {
    for case in DECISION_CASES {
        let table = SuspectTable::new("vm".into(), SuspectTuning::default());
        let mut now = ClockTime::from_millis(10);
        for (index, step) in case.steps.iter().enumerate() {
            apply(&table, *step, &mut now, &format!("{}, step {index}", case.name));
        }
    }
}

fn apply(table: &SuspectTable, step: Step, now: &mut ClockTime, label: &str) {
    match step {
        Start(fingerprint, upstream) => table.start(fingerprint, &upstream.into(), *now),
        Finish(fingerprint, upstream) => table.finish(fingerprint, &upstream.into(), *now),
        Crash(upstream) => drop(table.record_crash(&upstream.into(), *now)),
        Lost(upstream) => table.record_loss(&upstream.into(), *now),
        Refused(upstream) => drop(table.record_refusal(&upstream.into(), *now)),
        Release(fingerprint) => drop(table.release(fingerprint)),
        CancelIsolation(fingerprint) => table.cancel_isolation(fingerprint, *now),
        CrashAll(fingerprint, upstreams) => {
            upstreams.iter().for_each(|name| table.start(fingerprint, &(*name).into(), *now));
            upstreams.iter().for_each(|name| drop(table.record_crash(&(*name).into(), *now)));
        }
        Survived(fingerprint, upstream) => {
            table.start(fingerprint, &upstream.into(), *now);
            table.finish(fingerprint, &upstream.into(), *now);
        }
        Prove(fingerprint, runs) => {
            (0..runs).for_each(|_| apply(table, Survived(fingerprint, "z"), now, label));
        }
        Wait(span) => *now = *now + span,
        ExpectAfter(span, fingerprint, decision) => {
            *now = *now + span;
            apply(table, Expect(fingerprint, decision), now, label);
        }
        Expect(fingerprint, decision) => {
            assert_eq!(table.check(fingerprint, *now), decision, "{label}");
        }
    }
}

#[derive(Clone, Copy)]
enum Event {
    Lost(u64),
    Refused(u64),
}

struct DetectionCase {
    name: &'static str,
    /// Events with their times in milliseconds.
    events: &'static [Event],
    crashed: bool,
}

const fn detection(name: &'static str, events: &'static [Event], crashed: bool) -> DetectionCase {
    DetectionCase { name, events, crashed }
}

const DETECTION_CASES: &[DetectionCase] = &[
    detection("one loss", &[Event::Lost(0)], false),
    detection(
        "many losses without a refusal",
        &[Event::Lost(0), Event::Lost(1), Event::Lost(2), Event::Lost(3)],
        false,
    ),
    detection(
        "refusals without a loss",
        &[Event::Refused(0), Event::Refused(1), Event::Refused(2)],
        false,
    ),
    detection("one loss and one refusal", &[Event::Lost(0), Event::Refused(1)], false),
    detection(
        "one loss and two refusals",
        &[Event::Lost(0), Event::Refused(1), Event::Refused(50)],
        true,
    ),
    detection(
        "two losses together and a refusal",
        &[Event::Lost(0), Event::Lost(200), Event::Refused(300)],
        true,
    ),
    detection(
        "two losses apart and a refusal",
        &[Event::Lost(0), Event::Lost(201), Event::Refused(300)],
        false,
    ),
    detection(
        "refusals long after the losses",
        &[Event::Lost(0), Event::Lost(1), Event::Refused(1002), Event::Refused(1003)],
        false,
    ),
];

/// Guards against a closed connection that counts as a crash, and against undetected crashes on VMs
/// with a single connection.
#[test]
fn crash_needs_losses_and_refusals() {
    for case in DETECTION_CASES {
        let table = SuspectTable::new("vm".into(), SuspectTuning::default());
        let upstream = SharedName::from("a");
        table.start(SUSPECT, &upstream, ClockTime::ZERO);
        let mut crashes = 0;
        for event in case.events {
            match event {
                Event::Lost(at) => table.record_loss(&upstream, ClockTime::from_millis(*at)),
                Event::Refused(at) => {
                    crashes += table.record_refusal(&upstream, ClockTime::from_millis(*at)).len();
                }
            }
        }
        assert_eq!(crashes, usize::from(case.crashed), "{}", case.name);
    }
}
