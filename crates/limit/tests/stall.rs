//! When a call without an answer counts as lost at its upstream.

use base::prelude::*;
use limit::prelude::*;

const TYPICAL: ClockSpan = ClockSpan::from_millis(100);

struct StallCase {
    name: &'static str,
    slowdown: f64,
    pace: Option<f64>,
    full: bool,
    waited_ms: u64,
    decision: StallDecision,
}

/// Guards against a call that waits to its deadline at an upstream that dropped it, and against a
/// slow call that is taken for a lost one.
#[test]
fn a_call_is_lost_after_several_times_its_expected_latency() {
    use StallDecision::Lost;
    let wait = |millis| StallDecision::Wait(ClockSpan::from_millis(millis));
    let case = |name, slowdown, pace, waited_ms, decision| StallCase {
        name,
        slowdown,
        pace,
        full: false,
        waited_ms,
        decision,
    };
    let full = |case: StallCase| StallCase { full: true, ..case };
    let cases = [
        case("just sent", 1.0, None, 0, wait(400)),
        case("within the usual range", 1.0, Some(1.0), 399, wait(1)),
        case("lost", 1.0, Some(1.0), 400, Lost),
        case("lost, pace unknown", 1.0, None, 400, Lost),
        case("sent to a slow upstream", 3.0, Some(1.0), 400, wait(800)),
        case("the upstream has become slow", 1.0, Some(5.0), 400, wait(1600)),
        case("lost at a slow upstream", 1.0, Some(5.0), 2000, Lost),
        full(case("waits for a slot of a busy upstream", 1.0, Some(1.0), 400, wait(250))),
        full(case("busy for long", 1.0, Some(1.0), 9_000, wait(250))),
        case("a fast upstream gets no less time", 0.2, Some(0.3), 399, wait(1)),
    ];
    for case in cases {
        let StallCase { slowdown, pace, full, .. } = case;
        let waited = ClockSpan::from_millis(case.waited_ms);
        let facts = StallFacts { typical: TYPICAL, slowdown, pace, full, waited };
        assert_eq!(StallTuning::default().decide(&facts), case.decision, "{}", case.name);
    }
}

/// Guards against calls of a few milliseconds that count as lost because a small VM was late to
/// read their answers.
#[test]
fn short_calls_get_the_shortest_time() {
    let facts = |waited_ms| StallFacts {
        typical: ClockSpan::from_millis(2),
        slowdown: 1.0,
        pace: None,
        full: false,
        waited: ClockSpan::from_millis(waited_ms),
    };
    let tuning = StallTuning::default();
    let rest = StallDecision::Wait(tuning.floor.saturating_sub(ClockSpan::from_millis(50)));
    assert_eq!(tuning.decide(&facts(50)), rest);
    assert_eq!(tuning.decide(&facts(tuning.floor.as_millis())), StallDecision::Lost);
}
