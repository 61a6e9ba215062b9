//! Which calls are sent, wait for a better upstream or are refused.

mod common;

use base::prelude::*;
use common::{ServiceSetup, environment};
use limit::prelude::*;
use world::prelude::*;

const SERVICE: &str = ServiceSetup::BASE.name;
const TYPICAL: ClockSpan = ClockSpan::from_millis(100);

fn policy() -> AdmissionPolicy {
    let policy = AdmissionPolicy::new(AdmissionTuning::default());
    policy.apply(&environment(&[ServiceSetup::BASE]));
    policy
}

fn forecast(remaining_ms: u64, slowdown: f64) -> LatencyForecast {
    let remaining = ClockSpan::from_millis(remaining_ms);
    LatencyForecast { remaining, slowdown, round_trip: ClockSpan::ZERO, has_waited: false }
}

struct DecisionCase {
    name: &'static str,
    class: WorkClass,
    /// Earlier calls with the typical latency.
    samples: u32,
    /// Earlier decisions without an upstream that is expected to meet the objective.
    missed: u32,
    forecast: LatencyForecast,
    decision: AdmissionDecision,
}

/// Guards against late calls that take slots from calls that meet their objective, against refusals
/// while most calls meet it or the typical latency is unknown, and against waits that cannot help.
#[test]
fn decision_follows_the_expected_latency() {
    use AdmissionDecision::*;
    use WorkClass::*;
    let case = |name, class, samples, missed, forecast, decision| DecisionCase {
        name,
        class,
        samples,
        missed,
        forecast,
        decision,
    };
    let distant = LatencyForecast { round_trip: ClockSpan::from_millis(5), ..forecast(120, 1.0) };
    let cases = [
        case("in time", Normal, 10, 0, forecast(200, 1.5), Send),
        case("slow server, time to wait", Normal, 10, 0, forecast(200, 4.0), Wait),
        case("slow server, no time to wait", Normal, 10, 0, forecast(110, 4.0), Send),
        case("the network path to the caller takes time", Normal, 10, 0, forecast(110, 1.0), Send),
        case("the network path to the upstream takes time", Normal, 10, 30, distant, Refuse),
        case("late while most are late", Normal, 10, 30, forecast(110, 4.0), Refuse),
        case(
            "late while most are late, least urgent",
            Deferrable,
            10,
            30,
            forecast(50, 1.0),
            Refuse,
        ),
        case("late while most are late, most urgent", Urgent, 10, 30, forecast(50, 4.0), Send),
        case("in time while most are late", Normal, 10, 30, forecast(200, 1.0), Send),
        case("typical latency unknown", Normal, 2, 30, forecast(50, 4.0), Send),
    ];
    for case in cases {
        let policy = policy();
        let now = ClockTime::ZERO;
        for _ in 0..case.samples {
            policy.record(SERVICE, case.class, TYPICAL.scaled(2.0), 2.0, now);
        }
        for _ in 0..case.missed {
            policy.decide(SERVICE, case.class, &forecast(0, 1.0), now);
        }
        let decision = policy.decide(SERVICE, case.class, &case.forecast, now);
        assert_eq!(decision, case.decision, "{}", case.name);
    }
}

/// Guards against refusals that never end: while no call completes, no sample shows that the
/// service has recovered.
#[test]
fn refusals_end_without_samples() {
    let policy = policy();
    for _ in 0..10 {
        policy.record(SERVICE, WorkClass::Normal, TYPICAL, 1.0, ClockTime::ZERO);
    }
    for _ in 0..30 {
        policy.decide(SERVICE, WorkClass::Normal, &forecast(0, 1.0), ClockTime::ZERO);
    }
    let late = forecast(60, 1.0);
    let decide = |seconds| {
        let now = ClockTime::ZERO + ClockSpan::from_secs(seconds);
        policy.decide(SERVICE, WorkClass::Normal, &late, now)
    };
    assert_eq!(decide(0), AdmissionDecision::Refuse);
    assert_eq!(decide(2), AdmissionDecision::Send);
}

struct WaitCase {
    name: &'static str,
    samples: u32,
    wait_ms: u64,
    remaining_ms: u64,
    allowed: bool,
}

/// Guards against calls that wait for the end of a pause although they would then be late, and
/// against refusals of calls that would still be in time.
#[test]
fn a_call_waits_only_if_it_can_still_be_in_time() {
    let case = |name, samples, wait_ms, remaining_ms, allowed| WaitCase {
        name,
        samples,
        wait_ms,
        remaining_ms,
        allowed,
    };
    let margin = AdmissionTuning::default().caller_margin.as_millis();
    let cases = [
        case("in time", 10, 50, 150 + margin, true),
        case("late by a millisecond", 10, 50, 149 + margin, false),
        case("no wait", 10, 0, 100 + margin, true),
        case("a pause of minutes", 10, 600_000, 1_000, false),
        case("typical latency unknown", 0, 50, 10_000, false),
    ];
    for case in cases {
        let (policy, now) = (policy(), ClockTime::from_millis(1_000));
        for _ in 0..case.samples {
            policy.record(SERVICE, WorkClass::Normal, TYPICAL, 1.0, now);
        }
        let [wait, remaining] = [case.wait_ms, case.remaining_ms].map(ClockSpan::from_millis);
        let allowed = policy.allows_wait(SERVICE, WorkClass::Normal, wait, remaining, now);
        assert_eq!(allowed, case.allowed, "{}", case.name);
    }
}
