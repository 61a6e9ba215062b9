//! Verdicts of one table, step by step.

use base::prelude::*;
use suspect::prelude::*;

const SUSPECT: u64 = 7;
const OTHER: u64 = 8;

#[derive(Clone, Copy)]
enum Step {
    /// Starts a call of a fingerprint on an upstream.
    Start(u64, &'static str),
    Finish(u64, &'static str),
    Crash(&'static str),
    Lost(&'static str),
    Refused(&'static str),
    Release(u64),
    Abandon(u64),
    /// Runs a fingerprint successfully this many times.
    Prove(u64, u32),
    Wait(ClockSpan),
    Expect(u64, SuspectVerdict),
}

use Step::{Abandon, Crash, Expect, Finish, Lost, Prove, Refused, Release, Start, Wait};
use SuspectVerdict::{Clear, Isolated};

const DENIED: SuspectVerdict = SuspectVerdict::Refused;
const SETTLED: Step = Wait(ClockSpan::from_secs(1));

struct VerdictCase {
    name: &'static str,
    steps: &'static [Step],
}

const VERDICT_CASES: &[VerdictCase] = &[
    VerdictCase {
        name: "a single crash suspects and does not confirm",
        steps: &[
            Start(SUSPECT, "a"),
            Crash("a"),
            Expect(SUSPECT, DENIED),
            SETTLED,
            Expect(SUSPECT, Isolated),
            Expect(OTHER, Clear),
        ],
    },
    VerdictCase {
        name: "crashes of two upstreams confirm",
        steps: &[
            Start(SUSPECT, "a"),
            Start(SUSPECT, "b"),
            Crash("a"),
            Crash("b"),
            SETTLED,
            Expect(SUSPECT, DENIED),
        ],
    },
    VerdictCase {
        name: "two reports of one crash do not confirm",
        steps: &[Start(SUSPECT, "a"), Crash("a"), Crash("a"), SETTLED, Expect(SUSPECT, Isolated)],
    },
    VerdictCase {
        name: "a crash in isolation confirms on the same upstream",
        steps: &[
            Start(SUSPECT, "a"),
            Crash("a"),
            Finish(SUSPECT, "a"),
            SETTLED,
            Expect(SUSPECT, Isolated),
            Start(SUSPECT, "a"),
            Lost("a"),
            Finish(SUSPECT, "a"),
            Refused("a"),
            Refused("a"),
            SETTLED,
            Expect(SUSPECT, DENIED),
            Wait(ClockSpan::from_secs(1800)),
            Expect(SUSPECT, DENIED),
        ],
    },
    VerdictCase {
        name: "one isolated run at a time",
        steps: &[
            Start(SUSPECT, "a"),
            Start(OTHER, "a"),
            Crash("a"),
            SETTLED,
            Expect(SUSPECT, Isolated),
            Start(SUSPECT, "b"),
            Expect(SUSPECT, DENIED),
            Expect(OTHER, DENIED),
            Finish(SUSPECT, "b"),
            Expect(OTHER, Isolated),
            Abandon(OTHER),
            Expect(SUSPECT, Isolated),
        ],
    },
    VerdictCase {
        name: "a reservation without a start lapses",
        steps: &[
            Start(SUSPECT, "a"),
            Crash("a"),
            SETTLED,
            Expect(SUSPECT, Isolated),
            Expect(SUSPECT, DENIED),
            Wait(ClockSpan::from_millis(1001)),
            Expect(SUSPECT, Isolated),
        ],
    },
    VerdictCase {
        name: "successful isolated runs clear",
        steps: &[
            Start(SUSPECT, "a"),
            Crash("a"),
            Finish(SUSPECT, "a"),
            SETTLED,
            Expect(SUSPECT, Isolated),
            Start(SUSPECT, "b"),
            Finish(SUSPECT, "b"),
            Expect(SUSPECT, Isolated),
            Start(SUSPECT, "b"),
            Finish(SUSPECT, "b"),
            Expect(SUSPECT, Isolated),
            Start(SUSPECT, "b"),
            Finish(SUSPECT, "b"),
            Expect(SUSPECT, Clear),
        ],
    },
    VerdictCase {
        name: "a run whose connection was lost does not clear",
        steps: &[
            Start(SUSPECT, "a"),
            Crash("a"),
            Finish(SUSPECT, "a"),
            SETTLED,
            Expect(SUSPECT, Isolated),
            Start(SUSPECT, "b"),
            Finish(SUSPECT, "b"),
            Expect(SUSPECT, Isolated),
            Start(SUSPECT, "b"),
            Finish(SUSPECT, "b"),
            Expect(SUSPECT, Isolated),
            Start(SUSPECT, "b"),
            Lost("b"),
            Finish(SUSPECT, "b"),
            Expect(SUSPECT, Isolated),
        ],
    },
    VerdictCase {
        name: "a frequent request on two crashed upstreams is not confirmed",
        steps: &[
            Prove(SUSPECT, 3),
            Start(SUSPECT, "a"),
            Start(SUSPECT, "b"),
            Crash("a"),
            Crash("b"),
            SETTLED,
            Expect(SUSPECT, Isolated),
        ],
    },
    VerdictCase {
        name: "a frequent request that runs on after a crash is cleared",
        steps: &[
            Prove(SUSPECT, 3),
            Start(SUSPECT, "a"),
            Start(SUSPECT, "b"),
            Crash("a"),
            Expect(SUSPECT, DENIED),
            Wait(ClockSpan::from_millis(2)),
            Finish(SUSPECT, "b"),
            Expect(SUSPECT, Clear),
        ],
    },
    VerdictCase {
        name: "a request that is not proven is not cleared by a run that began before",
        steps: &[
            Start(SUSPECT, "a"),
            Start(SUSPECT, "b"),
            Crash("a"),
            Wait(ClockSpan::from_millis(2)),
            Finish(SUSPECT, "b"),
            Expect(SUSPECT, DENIED),
        ],
    },
    VerdictCase {
        name: "suspicion expires",
        steps: &[
            Start(SUSPECT, "a"),
            Crash("a"),
            Wait(ClockSpan::from_secs(600)),
            Expect(SUSPECT, Isolated),
            Abandon(SUSPECT),
            Wait(ClockSpan::from_millis(1)),
            Expect(SUSPECT, Clear),
        ],
    },
    VerdictCase {
        name: "a confirmed verdict expires",
        steps: &[
            Start(SUSPECT, "a"),
            Start(SUSPECT, "b"),
            Crash("a"),
            Crash("b"),
            Wait(ClockSpan::from_millis(3_600_001)),
            Expect(SUSPECT, Clear),
        ],
    },
    VerdictCase {
        name: "a refused repeat renews a confirmed verdict",
        steps: &[
            Start(SUSPECT, "a"),
            Start(SUSPECT, "b"),
            Crash("a"),
            Crash("b"),
            Wait(ClockSpan::from_secs(3000)),
            Expect(SUSPECT, DENIED),
            Wait(ClockSpan::from_secs(3000)),
            Expect(SUSPECT, DENIED),
        ],
    },
    VerdictCase {
        name: "a release clears, and crashes after it count anew",
        steps: &[
            Start(SUSPECT, "a"),
            Start(SUSPECT, "b"),
            Crash("a"),
            Crash("b"),
            Finish(SUSPECT, "a"),
            Finish(SUSPECT, "b"),
            Release(SUSPECT),
            Expect(SUSPECT, Clear),
            SETTLED,
            Start(SUSPECT, "c"),
            Crash("c"),
            SETTLED,
            Expect(SUSPECT, Isolated),
        ],
    },
    VerdictCase {
        name: "a call that ended before the first loss is no suspect",
        steps: &[
            Start(SUSPECT, "a"),
            Finish(SUSPECT, "a"),
            Lost("a"),
            Refused("a"),
            Refused("a"),
            Expect(SUSPECT, Clear),
        ],
    },
];

/// Guards against verdicts that are too harsh on one crash, too mild after two, or that never end.
#[test]
fn verdicts_follow_crashes() {
    for case in VERDICT_CASES {
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
        Crash(upstream) => drop(table.crash(&upstream.into(), *now)),
        Lost(upstream) => table.connection_lost(&upstream.into(), *now),
        Refused(upstream) => drop(table.connect_refused(&upstream.into(), *now)),
        Release(fingerprint) => drop(table.release(fingerprint)),
        Abandon(fingerprint) => table.abandon(fingerprint, *now),
        Prove(fingerprint, runs) => {
            for _ in 0..runs {
                table.start(fingerprint, &"z".into(), *now);
                table.finish(fingerprint, &"z".into(), *now);
            }
        }
        Wait(span) => *now = *now + span,
        Expect(fingerprint, verdict) => {
            assert_eq!(table.review(fingerprint, *now), verdict, "{label}");
        }
    }
}

#[derive(Clone, Copy)]
enum Event {
    Lost(u64),
    Refused(u64),
}

struct EvidenceCase {
    name: &'static str,
    /// Events with their times in milliseconds.
    events: &'static [Event],
    crashed: bool,
}

const EVIDENCE_CASES: &[EvidenceCase] = &[
    EvidenceCase { name: "one loss", events: &[Event::Lost(0)], crashed: false },
    EvidenceCase {
        name: "many losses without a refusal",
        events: &[Event::Lost(0), Event::Lost(1), Event::Lost(2), Event::Lost(3)],
        crashed: false,
    },
    EvidenceCase {
        name: "refusals without a loss",
        events: &[Event::Refused(0), Event::Refused(1), Event::Refused(2)],
        crashed: false,
    },
    EvidenceCase {
        name: "one loss and one refusal",
        events: &[Event::Lost(0), Event::Refused(1)],
        crashed: false,
    },
    EvidenceCase {
        name: "one loss and two refusals",
        events: &[Event::Lost(0), Event::Refused(1), Event::Refused(50)],
        crashed: true,
    },
    EvidenceCase {
        name: "two losses together and a refusal",
        events: &[Event::Lost(0), Event::Lost(200), Event::Refused(300)],
        crashed: true,
    },
    EvidenceCase {
        name: "two losses apart and a refusal",
        events: &[Event::Lost(0), Event::Lost(201), Event::Refused(300)],
        crashed: false,
    },
    EvidenceCase {
        name: "refusals long after the losses",
        events: &[Event::Lost(0), Event::Lost(1), Event::Refused(1002), Event::Refused(1003)],
        crashed: false,
    },
];

/// Guards against a closed connection counting as a crash, and against missing crashes on VMs
/// with a single connection.
#[test]
fn crash_needs_losses_and_refusals() {
    for case in EVIDENCE_CASES {
        let table = SuspectTable::new("vm".into(), SuspectTuning::default());
        let upstream = SharedName::from("a");
        table.start(SUSPECT, &upstream, ClockTime::ZERO);
        let mut crashes = 0;
        for event in case.events {
            match event {
                Event::Lost(at) => table.connection_lost(&upstream, ClockTime::from_millis(*at)),
                Event::Refused(at) => {
                    crashes += table.connect_refused(&upstream, ClockTime::from_millis(*at)).len();
                }
            }
        }
        assert_eq!(crashes, usize::from(case.crashed), "{}", case.name);
    }
}
