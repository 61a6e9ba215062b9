//! Gateway processes with the interface of the users' platform, with failing upstreams and a
//! failing store.

#[path = "support/platform.rs"]
mod environment;

use std::ops::RangeInclusive;

use base::prelude::*;
use bytes::Bytes;
use directory::prelude::*;
use environment::*;
use http::{Method, StatusCode};
use platform::PlatformCodec;
use platform::stand::{ServerStand, UpstreamWriter, upstream_value};
use stand::prelude::*;
use trial::prelude::*;
use world::prelude::*;

/// The number of calls that are checked, where a case does not set another.
const DEFAULT_CALLS: usize = 5;
/// Calls of which some meet a connection that was closed after its check. This depends on timing;
/// about one in 20 does.
const MANY_CALLS: usize = 120;
/// A timeout that expires in a test. Far longer than other calls take.
const SHORT_TIMEOUT: ClockSpan = ClockSpan::from_secs(2);
/// A timeout after which a call that hangs fails its case. Far longer than other calls take.
const HANG_TIMEOUT: ClockSpan = ClockSpan::from_secs(10);
/// After this time, the evidence on an upstream and its connections is too old for a call, so that
/// the gateway makes a check if it may. It relies on answers of the last 100 ms at most.
const STALE_SPAN: ClockSpan = ClockSpan::from_millis(150);
/// The most checks that go to an address at which another server answers, while calls arrive for less
/// than five seconds: up to three that are sent together, twice.
const MOVED_CHECKS: u64 = 6;
/// The calls of the gateway that must have failed because of an outage of the store.
const OUTAGE_CALLS: u64 = 3;
/// How long an upstream whose row disappeared stays in use after an outage of the store has ended,
/// by rule 9 in docs/platform-deployment.md.
const MISSING_ROW_SPAN: ClockSpan = ClockSpan::from_secs(2);
/// Calls while an upstream is draining. If it were chosen as readily as the other one, the chance
/// that no call reaches it would be below 1 in 10^12.
const DRAIN_CALLS: usize = 40;
/// Half of a body that is too long to be buffered and is passed on while it arrives.
const HALF_BODY_BYTES: usize = 100_000;
/// The bytes of a body that is short enough to be buffered.
const SHORT_BODY_BYTES: u64 = 10;
/// A second service.
const ANNEX: &str = "annex";
/// The calls to a split route, the share of its smaller target, and the largest deviation from that
/// share, by rule 12 in docs/platform-deployment.md.
const SPLIT_CALLS: u64 = 400;
const SPLIT_SHARE: f64 = 0.1;
const SPLIT_BOUND: f64 = 0.1;
/// The calls that all fail, and the retries per call that the platform allows on top of the slack.
/// A single retry for each call would exceed that.
const BUDGET_CALLS: u64 = 200;
const BUDGET_RATIO: f64 = 0.2;
/// The number of the log event for a row that cannot be parsed.
const UPSTREAM_UNREADABLE: u32 = 1019;
/// The numbers of the log events for a dependency that does not answer and for an upstream that
/// was added or removed.
const DEPENDENCY_LOST: u32 = 1041;
const UPSTREAM_CHANGED: u32 = 1043;
/// The interval between two changes that are too long for a datagram, shorter than the time for
/// which a removed upstream is kept after a failed call to the store.
const LONG_CHANGE_PERIOD: ClockSpan = ClockSpan::from_secs(1);
/// The bytes of such a change; a datagram has at most 1,200.
const LONG_ROW_BYTES: usize = 2_000;
/// How long the store loses answers, as at most in the users' deployments.
const LOSS_SPAN: ClockSpan = ClockSpan::from_millis(4_500);
/// How long a VM is frozen, above the 1 s from which a pause is detected.
const FREEZE_SPAN: ClockSpan = ClockSpan::from_secs(3);
/// The time after a change was acknowledged and a disturbance has ended, from which no VM may use
/// the state before the change: the stable window of 3 s, and the drain bound or the configuration
/// bound of 2 s each, of section 1.2 in docs/platform-deployment.md.
const SETTLED_SPAN: ClockSpan = ClockSpan::from_secs(5);

/// The end of a call that must not run twice and may meet a connection with a misplaced answer.
const SERVED_OR_LOST: ExpectedEnd = ExpectedEnd { statuses: &[200, 502], runs: 0..=1 };

/// The fault of a case, and the upstreams that it affects.
#[derive(Clone, Copy, Debug)]
enum CaseFault {
    /// The next answer of one upstream is faulty.
    Answer(AnswerFault),
    /// Every answer of every upstream is faulty.
    EveryAnswer(AnswerFault),
    /// The answer of one upstream to the next health check, which the gateway makes before a call.
    NextCheck(AnswerFault),
    /// The answer of every upstream to every health check.
    EveryCheck(AnswerFault),
    /// One upstream refuses connections.
    Refused,
    /// Every upstream refuses connections.
    EveryRefused,
    /// Another server has the address of one upstream.
    AddressReused,
    /// Other servers have the addresses of all upstreams.
    EveryAddressReused,
}

/// A fault, the kind of route, and the expected end of the calls that meet the fault.
#[derive(Clone, Debug)]
struct FaultCase {
    name: &'static str,
    fault: CaseFault,
    path: &'static str,
    timeout: ClockSpan,
    objective: ClockSpan,
    /// The shortest time between calls.
    pause: ClockSpan,
    /// Upstreams of the service.
    upstreams: usize,
    /// Calls that are checked. A fault of a single answer affects another call before them.
    calls: usize,
    end: ExpectedEnd,
    /// The expected end of the calls after a fault of a single answer.
    after: ExpectedEnd,
    /// The mechanisms that are turned off in the gateway.
    disabled: DisabledList,
}

impl FaultCase {
    fn new(
        name: &'static str,
        fault: CaseFault,
        path: &'static str,
        statuses: &'static [u16],
        runs: RangeInclusive<u32>,
    ) -> Self {
        let end = ExpectedEnd { statuses, runs };
        let after = ExpectedEnd::SERVED;
        let pause = ClockSpan::ZERO;
        Self {
            name,
            fault,
            path,
            timeout: LONG_SPAN,
            objective: LONG_SPAN,
            pause,
            upstreams: 2,
            calls: DEFAULT_CALLS,
            end,
            after,
            disabled: &[],
        }
    }
}

fn fault_cases() -> Vec<FaultCase> {
    use AnswerFault as Fault;
    use CaseFault::*;
    let case = FaultCase::new;
    let long = "/bytes/1000000";
    vec![
        case("extra bytes", Answer(Fault::Extra { bytes: 100 }), LOOK, &[200], 1..=1),
        case("extra bytes", Answer(Fault::Extra { bytes: 100 }), BOOK, &[200], 1..=1),
        case("late answer", Answer(Fault::Second), LOOK, &[200], 1..=1),
        FaultCase {
            after: SERVED_OR_LOST,
            ..case("late answer", Answer(Fault::Second), BOOK, &[200], 1..=1)
        },
        case("answer to another", Answer(Fault::Foreign), LOOK, &[200], 2..=2),
        case("answer to another", Answer(Fault::Foreign), BOOK, &[502], 1..=1),
        case("truncated", Answer(Fault::Truncated { bytes: 5 }), LOOK, &[200], 2..=2),
        case("truncated", Answer(Fault::Truncated { bytes: 5 }), BOOK, &[502], 1..=1),
        case("truncated late", Answer(Fault::Truncated { bytes: 500_000 }), long, &[0], 1..=1),
        case("unframed", Answer(Fault::Unframed), LOOK, &[200], 1..=1),
        case("unframed", Answer(Fault::Unframed), BOOK, &[200], 1..=1),
        case("unframed and reset", Answer(Fault::UnframedReset { bytes: 5 }), LOOK, &[200], 2..=2),
        case("unframed and reset", Answer(Fault::UnframedReset { bytes: 5 }), BOOK, &[502], 1..=1),
        case("unsigned", Answer(Fault::Unsigned), LOOK, &[200], 2..=2),
        case("unsigned", Answer(Fault::Unsigned), BOOK, &[502], 1..=1),
        case("status 500", Answer(Fault::Status { status: 500 }), LOOK, &[200], 2..=2),
        case("status 500", Answer(Fault::Status { status: 500 }), BOOK, &[500], 1..=1),
        case("status 404", Answer(Fault::Status { status: 404 }), LOOK, &[404], 1..=1),
        case("lost", Answer(Fault::Reset), LOOK, &[200], 2..=2),
        case("lost", Answer(Fault::Reset), BOOK, &[502], 1..=1),
        case("shed", Answer(Fault::Early { status: 503 }), LOOK, &[200], 1..=1),
        case("shed", Answer(Fault::Early { status: 503 }), BOOK, &[200], 1..=1),
        // The only upstream gets the second attempt as well.
        FaultCase {
            upstreams: 1,
            ..case("shed twice", Answer(Fault::RefusedTwice), LOOK, &[200], 1..=1)
        },
        FaultCase {
            upstreams: 1,
            ..case("shed twice", Answer(Fault::RefusedTwice), BOOK, &[200], 1..=1)
        },
        case("all shed", EveryAnswer(Fault::Early { status: 503 }), LOOK, &[503], 0..=0),
        case("all shed", EveryAnswer(Fault::Early { status: 503 }), BOOK, &[503], 0..=0),
        FaultCase {
            timeout: SHORT_TIMEOUT,
            calls: 1,
            ..case("silent", EveryAnswer(Fault::Silent), BOOK, &[504], 1..=1)
        },
        FaultCase {
            timeout: SHORT_TIMEOUT,
            disabled: &["stall"],
            ..case("silent, not replaced", Answer(Fault::Silent), LOOK, &[504], 1..=1)
        },
        FaultCase {
            timeout: SHORT_TIMEOUT,
            ..case("silent", Answer(Fault::Silent), LOOK, &[200], 2..=2)
        },
        FaultCase {
            timeout: SHORT_TIMEOUT,
            calls: 1,
            disabled: &["stall"],
            ..case("all silent, not replaced", EveryAnswer(Fault::Silent), LOOK, &[504], 1..=1)
        },
        // Once at each of the two upstreams.
        FaultCase {
            timeout: SHORT_TIMEOUT,
            calls: 1,
            ..case("all silent", EveryAnswer(Fault::Silent), LOOK, &[504], 2..=2)
        },
        case("closing", EveryAnswer(Fault::Close), LOOK, &[200], 1..=1),
        case("closing", EveryAnswer(Fault::Close), BOOK, &[200], 1..=1),
        case("refused", Refused, LOOK, &[200], 1..=1),
        case("refused", Refused, BOOK, &[200], 1..=1),
        case("all refused", EveryRefused, LOOK, &[503], 0..=0),
        case("all refused", EveryRefused, BOOK, &[503], 0..=0),
        case("address reused", AddressReused, LOOK, &[200], 1..=1),
        case("address reused", AddressReused, BOOK, &[200], 1..=1),
        case("all addresses reused", EveryAddressReused, LOOK, &[503], 0..=0),
        case("all addresses reused", EveryAddressReused, BOOK, &[503], 0..=0),
    ]
}

/// Returns a case with faulty health checks, whose calls are far enough apart that each needs one.
fn checked_case(
    name: &'static str,
    fault: CaseFault,
    path: &'static str,
    statuses: &'static [u16],
    runs: RangeInclusive<u32>,
) -> FaultCase {
    let case = FaultCase::new(name, fault, path, statuses, runs);
    FaultCase { timeout: HANG_TIMEOUT, pause: STALE_SPAN, ..case }
}

fn check_cases() -> Vec<FaultCase> {
    use AnswerFault as Fault;
    use CaseFault::EveryCheck;
    let faults = [
        ("silent", Fault::Silent),
        ("reset", Fault::Reset),
        ("truncated", Fault::Truncated { bytes: 1 }),
        ("failed", Fault::Status { status: 500 }),
    ];
    let cases = faults.into_iter().flat_map(|(name, fault)| {
        [LOOK, BOOK].map(|path| checked_case(name, EveryCheck(fault), path, &[200], 1..=1))
    });
    cases.collect()
}

fn misplaced_cases() -> Vec<FaultCase> {
    use AnswerFault as Fault;
    use CaseFault::{Answer, NextCheck};
    // With one upstream, the call goes to the one that sent the misplaced answer.
    let single = |name, fault, path| {
        let case = checked_case(name, fault, path, &[200], 1..=1);
        FaultCase { upstreams: 1, ..case }
    };
    let late = |path| single("late answer", Answer(Fault::Second), path);
    let late_check = |path| single("late check", NextCheck(Fault::Second), path);
    vec![
        late(LOOK),
        FaultCase { after: SERVED_OR_LOST, ..late(BOOK) },
        late_check(LOOK),
        FaultCase { end: SERVED_OR_LOST, ..late_check(BOOK) },
    ]
}

/// Returns cases of answers that name no request and come before the answer to the second call.
fn stray_cases() -> Vec<FaultCase> {
    // The call that meets the stray answer has run. It is sent again if it may run twice.
    let repeated = ExpectedEnd { statuses: &[200], runs: 1..=2 };
    let statuses = [200, 204, 302, 304, 400, 401, 404, 408, 421, 429, 500, 502, 503];
    let cases = statuses.into_iter().flat_map(|status| {
        let fault = CaseFault::Answer(AnswerFault::StrayNext { status });
        // The only upstream gets the second call as well. A call that is sent again needs another.
        [(LOOK, 2, DRAIN_CALLS, repeated.clone()), (BOOK, 1, DEFAULT_CALLS, SERVED_OR_LOST)].map(
            |(path, upstreams, calls, after)| FaultCase {
                upstreams,
                calls,
                after,
                ..FaultCase::new("stray answer", fault, path, &[200], 1..=1)
            },
        )
    });
    cases.collect()
}

/// Returns cases of answers whose status is no status of a final answer, or whose head is cut off.
fn head_cases() -> Vec<FaultCase> {
    let faults = [
        ("status 000", AnswerFault::StatusLine { status: 0 }),
        ("status 099", AnswerFault::StatusLine { status: 99 }),
        ("status 101", AnswerFault::StatusLine { status: 101 }),
        ("status 600", AnswerFault::StatusLine { status: 600 }),
        ("status 999", AnswerFault::StatusLine { status: 999 }),
        ("cut in the version", AnswerFault::HeadCut { bytes: 4 }),
        ("cut after the status", AnswerFault::HeadCut { bytes: 12 }),
        ("cut after the status line", AnswerFault::HeadCut { bytes: 17 }),
        ("cut in a header", AnswerFault::HeadCut { bytes: 60 }),
        ("cut before the last byte", AnswerFault::HeadCut { bytes: usize::MAX }),
    ];
    let cases = faults.into_iter().flat_map(|(name, fault)| {
        let fault = CaseFault::Answer(fault);
        [
            FaultCase::new(name, fault, LOOK, &[200], 2..=2),
            FaultCase::new(name, fault, BOOK, &[502], 1..=1),
        ]
    });
    cases.map(|case| FaultCase { calls: 1, ..case }).collect()
}

fn closing_cases() -> Vec<FaultCase> {
    let faults = [
        ("closed after a check", AnswerFault::Close),
        ("extra bytes after a check", AnswerFault::Extra { bytes: 9 }),
    ];
    let cases = faults.into_iter().flat_map(|(name, fault)| {
        [LOOK, BOOK].map(|path| {
            let case = checked_case(name, CaseFault::EveryCheck(fault), path, &[200], 1..=1);
            // Idempotent calls did not fail in any run, so that a few of them are enough.
            let calls = if path == BOOK { MANY_CALLS } else { DEFAULT_CALLS };
            FaultCase { calls, ..case }
        })
    });
    cases.collect()
}

/// A case and the processes that it uses.
struct CaseRun {
    case: FaultCase,
    env: PlatformEnvironment,
}

impl CaseRun {
    async fn start(case: FaultCase, checks: bool) -> Self {
        let FaultCase { timeout, objective, upstreams, disabled, .. } = case;
        let plan = EnvironmentPlan {
            upstreams,
            timeout,
            objective,
            checks,
            disabled,
            ..EnvironmentPlan::default()
        };
        let env = PlatformEnvironment::start(plan).await;
        env.fill_retry_budget(case.name).await;
        Self { case, env }
    }

    async fn run(&self) -> Result<(), String> {
        self.inject().await;
        match self.case.fault {
            CaseFault::Answer(_) => {
                self.call_until_fault().await?;
                for index in 0..self.case.calls {
                    self.call_and_check(&format!("after-{index}"), &self.case.after).await?;
                }
            }
            _ => {
                for index in 0..self.case.calls {
                    self.call_and_check(&format!("call-{index}"), &self.case.end).await?;
                }
            }
        }
        let fault_met = match self.case.fault {
            CaseFault::EveryAnswer(_) | CaseFault::EveryCheck(_) => {
                self.env.upstreams.iter().any(|upstream| upstream.server.counts().faults > 0)
            }
            _ => true,
        };
        if fault_met { Ok(()) } else { Err("no call or check met the fault".to_owned()) }
    }

    async fn inject(&self) {
        let upstreams = &self.env.upstreams;
        let first = &upstreams[0].server;
        match self.case.fault {
            CaseFault::Answer(fault) => {
                first.update(|plan| plan.faults = vec![FaultRule::next(fault, 1)]);
            }
            CaseFault::EveryAnswer(fault) => {
                let rule = FaultRule { fault, ..FaultRule::default() };
                for upstream in upstreams {
                    upstream.server.update(|plan| plan.faults = vec![rule.clone()]);
                }
            }
            CaseFault::NextCheck(fault) => {
                let rule = FaultRule { next: Some(1), ..check_rule(fault) };
                first.update(|plan| plan.faults = vec![rule]);
                self.call_until_check_fault().await;
            }
            CaseFault::EveryCheck(fault) => {
                for upstream in upstreams {
                    upstream.server.update(|plan| plan.faults = vec![check_rule(fault)]);
                }
            }
            CaseFault::Refused => {
                stop_upstream(first).await;
                self.env.wait_for_closed().await;
            }
            CaseFault::EveryRefused => {
                for upstream in upstreams {
                    stop_upstream(&upstream.server).await;
                }
                self.env.wait_for_closed().await;
            }
            CaseFault::AddressReused => first.update(|plan| plan.name = "another".into()),
            CaseFault::EveryAddressReused => {
                for upstream in upstreams {
                    upstream.server.update(|plan| plan.name = "another".into());
                }
            }
        }
    }

    /// Makes idempotent calls until the check before one of them meets the fault. That call may get
    /// a misplaced answer on the connection of its check, and is then sent again.
    async fn call_until_check_fault(&self) {
        let served = ExpectedEnd { statuses: &[200], runs: 1..=2 };
        for index in 0..MAX_REACH_CALLS {
            tokio::time::sleep(STALE_SPAN.to_duration()).await;
            self.env
                .call_and_check(LOOK, &format!("check-{index}"), &served)
                .await
                .expect("a served call");
            if self.env.upstreams[0].server.counts().faults > 0 {
                return;
            }
        }
        panic!("no check before {MAX_REACH_CALLS} calls met the fault");
    }

    /// Makes calls until one meets the fault, and checks how that one ended.
    async fn call_until_fault(&self) -> Result<(), String> {
        let end = &self.case.end;
        // If the test machine stalls, a call can count as slow and is sent to a second upstream.
        let before_fault = ExpectedEnd { statuses: &[200], runs: 1..=1.max(*end.runs.end()) };
        for index in 0..MAX_REACH_CALLS {
            let id = format!("meet-{index}");
            let answer = self.call(&id).await;
            if self.env.upstreams[0].server.counts().faults > 0 {
                return self.env.check(self.case.path, &id, &answer, end);
            }
            self.env.check(self.case.path, &id, &answer, &before_fault)?;
        }
        Err(format!("no call of {MAX_REACH_CALLS} met the fault"))
    }

    async fn call_and_check(&self, id: &str, end: &ExpectedEnd) -> Result<(), String> {
        if self.case.pause > ClockSpan::ZERO {
            tokio::time::sleep(self.case.pause.to_duration()).await;
        }
        let answer = self.call(id).await;
        self.env.check(self.case.path, id, &answer, end)
    }

    async fn call(&self, id: &str) -> Result<CallAnswer, String> {
        let started = tokio::time::Instant::now();
        let answer = self.env.call(self.case.path, id).await;
        if answer.as_ref().is_ok_and(|answer| answer.status == 504) {
            assert!(started.elapsed() >= self.case.timeout.to_duration(), "504 before the timeout");
        }
        answer
    }
}

fn check_rule(fault: AnswerFault) -> FaultRule {
    FaultRule { fault, on: FaultTarget::Checks, ..FaultRule::default() }
}

/// Stops an upstream, and waits until its connections are closed and new ones are refused.
async fn stop_upstream(server: &ServerStand) {
    server.update(|plan| plan.restart_ms = None);
    server.crash();
    await_event("connections are refused", server.wait_listening(false)).await;
    await_event("connections are closed", server.wait_for(|counts, _| counts.connections == 0))
        .await;
}

async fn run_cases(cases: Vec<FaultCase>, checks: bool) {
    let mut failures = Vec::new();
    for case in cases {
        let name = format!("{} {}", case.path, case.name);
        if let Err(reason) = CaseRun::start(case, checks).await.run().await {
            failures.push(format!("{name}: {reason}"));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against faulty answers of upstreams that reach callers, against calls that run too often,
/// and against statuses which wrongly state that a call was not run, with health checks immediately
/// before calls.
#[tokio::test]
async fn failing_upstreams_with_checks() {
    run_cases(fault_cases(), true).await;
}

/// Guards against the failures of `failing_upstreams_with_checks` where the probe budget allows no
/// checks, so that the calls themselves meet each fault.
#[tokio::test]
async fn failing_upstreams_without_checks() {
    run_cases(fault_cases(), false).await;
}

/// Guards against an answer with status 000 or another one that ends no call, and against an answer
/// whose head is cut off, which reach a caller as answers.
#[tokio::test]
async fn malformed_heads_are_not_passed_on() {
    run_cases(head_cases(), false).await;
}

/// Guards against bytes of an upstream that belong to no request and reach a caller as the answer to
/// its call, which has run (review/10).
#[tokio::test]
async fn stray_answers_are_not_passed_on() {
    run_cases(stray_cases(), false).await;
}

/// Guards against calls that fail because the health checks before them fail.
#[tokio::test]
async fn failing_checks() {
    run_cases(check_cases(), true).await;
}

/// Guards against a check that accepts an answer to another request as its answer, after which a
/// call is sent on a connection whose answers are misplaced.
#[tokio::test]
async fn misplaced_answers_to_checks() {
    run_cases(misplaced_cases(), true).await;
}

/// Guards against health checks that another service's upstream runs as requests, because it has
/// taken over the address of an upstream and has another path for health checks (review/2).
#[tokio::test]
async fn an_upstream_at_a_reused_address_runs_no_checks() {
    let mut env = PlatformEnvironment::start(EnvironmentPlan::default()).await;
    let plan = UpstreamPlan {
        name: "annex-0".into(),
        health_path: Some("/annex/health".into()),
        ..EnvironmentPlan::default().upstream
    };
    let other = ServerStand::start_with_dialect(plan).await.expect("an upstream");
    let entry = upstream_entry("desk-ended", SERVICE, other.address(), 6);
    let _writer = UpstreamWriter::start(env.store.handle(), entry);
    env.fill_retry_budget("reused").await;
    // The gateway knows the row of the ended upstream once it knows a later one.
    env.add_upstream("desk-last", SERVICE).await;
    let checked = other.wait_for(|counts, _| counts.arrived > 0);
    let calls = async {
        for index in 0..MAX_REACH_CALLS {
            // Without recent evidence, the gateway checks upstreams before the call.
            tokio::time::sleep(STALE_SPAN.to_duration()).await;
            env.serve_calls(&format!("reused-{index}"), 1).await;
            if other.counts().arrived > 0 {
                return;
            }
        }
    };
    await_event("a check arrives at the address", async { tokio::join!(checked, calls) }).await;
    env.serve_calls("after", MANY_CALLS).await;
    let counts = other.counts();
    assert_eq!(counts.executed, 0, "the other upstream has run a check");
    assert_eq!(counts.misdirected, counts.arrived, "a check does not name its upstream");
    assert!(counts.arrived <= MOVED_CHECKS, "checks go on: {}", counts.arrived);
}

/// Guards against checks that always fail at upstreams that do not echo the id of a check.
#[tokio::test]
async fn checks_without_an_echo_are_accepted() {
    let default_plan = EnvironmentPlan::default();
    let upstream = UpstreamPlan { echo_checks: false, ..default_plan.upstream.clone() };
    let env =
        PlatformEnvironment::start(EnvironmentPlan { upstream, upstreams: 1, ..default_plan })
            .await;
    env.fill_retry_budget("no echo").await;
    for index in 0..DEFAULT_CALLS {
        tokio::time::sleep(STALE_SPAN.to_duration()).await;
        let id = format!("call-{index}");
        env.call_and_check(BOOK, &id, &ExpectedEnd::SERVED).await.expect("the call is served");
    }
    assert!(env.upstreams[0].server.counts().probes > 0, "no check was made");
}

/// Guards against a caller's request to the path of health checks that is passed on and answered
/// like a check.
#[tokio::test]
async fn the_health_check_path_is_not_routed() {
    let plan = EnvironmentPlan::default();
    let mut env = PlatformEnvironment::start(plan.clone()).await;
    env.configure(|config| config.routes.push(route("all", "/", SERVICE, &plan))).await;
    env.call_and_check("/health", "check", &ExpectedEnd::NO_ROUTE).await.expect("no route");
    env.call_and_check("/healthy", "work", &ExpectedEnd::SERVED).await.expect("a route");
}

/// Guards against calls that fail because upstreams close their connections after a check.
#[tokio::test]
async fn connections_that_close_after_checks() {
    run_cases(closing_cases(), true).await;
}

/// Makes a call that must not run twice after the connections to all upstreams have become silent.
/// If it is served, requires that every upstream gets calls afterwards.
async fn call_after_silence(disabled: DisabledList) -> Result<(), String> {
    let env = PlatformEnvironment::start(EnvironmentPlan {
        timeout: SHORT_TIMEOUT,
        disabled,
        ..EnvironmentPlan::default()
    })
    .await;
    let mut proxies = Vec::new();
    for upstream in &env.upstreams {
        let plan = ProxyPlan { target: upstream.server.address(), ..ProxyPlan::default() };
        let proxy = FaultProxy::start(plan).await.expect("a proxy");
        env.wait_for_rows(upstream.writer.change(|entry| entry.server.address = proxy.address()))
            .await;
        env.call_until_reached(upstream, &format!("before-{}", proxies.len())).await;
        proxies.push(proxy);
    }
    tokio::time::sleep(STALE_SPAN.to_duration()).await;
    proxies.iter().for_each(FaultProxy::silence_connections);
    env.call_and_check(BOOK, "silent", &ExpectedEnd::SERVED).await?;
    for (index, upstream) in env.upstreams.iter().enumerate() {
        assert!(proxies[index].counts().silenced > 0, "no connection became silent");
        env.call_until_reached(upstream, &format!("after-{index}")).await;
    }
    Ok(())
}

/// Guards against calls that must run once and are lost on silent connections, and against an
/// upstream that gets no more calls because of these. With the mechanism turned off, the call must
/// fail.
#[tokio::test]
async fn calls_are_not_sent_on_silent_connections() {
    call_after_silence(&[]).await.expect("the call is served");
    let lost = call_after_silence(&["silence"]).await;
    println!("without the mechanism: {lost:?}");
    assert!(lost.is_err(), "the call is also served without the mechanism");
}

/// Guards against work that continues at an upstream after its caller closed the connection, and
/// against work that is sent again after that.
#[tokio::test]
async fn work_ends_when_its_caller_disconnects() {
    for path in [LOOK, BOOK] {
        let service = ServiceTime::Fixed { ms: LONG_SPAN.as_millis_f64() };
        let default_plan = EnvironmentPlan::default();
        let upstream = UpstreamPlan { service, ..default_plan.upstream.clone() };
        let env = PlatformEnvironment::start(EnvironmentPlan { upstream, ..default_plan }).await;
        let mut connection = open(env.gate.caller_address).await;
        let call = tokio::spawn(async move {
            connection.call(request(Method::POST, path, "left", None, PartBody::none())).await
        });
        wait_until("the call runs", async || env.history("left").runs == 1).await;
        call.abort();
        wait_until("the work ends", async || !env.history("left").abandoned_ms.is_empty()).await;
        let history = env.history("left");
        // The work ended before its service time and the route's timeout had passed.
        assert!(history.abandoned_ms[0] < LONG_SPAN.as_millis_f64(), "{path}: {history:?}");
        assert_eq!((history.arrived, history.runs), (1, 1), "{path}: {history:?}");
        let completed: u64 =
            env.upstreams.iter().map(|upstream| upstream.server.counts().completed).sum();
        assert_eq!(completed, 0, "{path}");
    }
}

struct BodyCase {
    name: &'static str,
    path: &'static str,
    chunked: bool,
    /// The lengths of the parts in bytes.
    parts: &'static [usize],
}

/// Guards against request bodies that change on their way, whether they are buffered or passed on
/// while they arrive.
#[tokio::test]
async fn bodies_arrive_unchanged() {
    let case = |name, path, chunked, parts| BodyCase { name, path, chunked, parts };
    let cases = [
        case("empty chunks", BOOK, true, &[]),
        case("short chunks", BOOK, true, &[1, 2_000, 7]),
        case("short chunks, idempotent", LOOK, true, &[1, 2_000, 7]),
        case("long chunks", BOOK, true, &[50_000, 70_000, 1, 300_000]),
        case("long chunks, idempotent", LOOK, true, &[50_000, 70_000, 1, 300_000]),
        case("short", BOOK, false, &[2_000]),
        case("long", BOOK, false, &[1_000_000, 3_000_000]),
        case("long, idempotent", LOOK, false, &[1_000_000, 3_000_000]),
    ];
    let env = PlatformEnvironment::start(EnvironmentPlan::default()).await;
    for case in cases {
        let length: usize = case.parts.iter().sum();
        let whole: Bytes = (0..length).map(|index| (index * 31 % 251) as u8).collect();
        let (sender, body) =
            if case.chunked { PartBody::chunked() } else { PartBody::announced(length as u64) };
        let mut rest = whole.clone();
        for part in case.parts {
            sender.send(rest.split_to(*part)).expect("the body is open");
        }
        drop(sender);
        let mut connection = open(env.gate.caller_address).await;
        let answer = connection.call(request(Method::POST, case.path, case.name, None, body));
        let answer = await_event("an answer", answer).await;
        env.check(case.path, case.name, &answer, &ExpectedEnd::SERVED).expect(case.name);
        assert_eq!(env.history(case.name).bodies, [BodyRecord::of(&whole)], "{}", case.name);
    }
}

struct OutageCase {
    name: &'static str,
    outage: RowOutage,
    /// Returns how many calls were affected by the outage.
    affected_calls: fn(&RowCallCounts) -> u64,
}

fn outages() -> [OutageCase; 3] {
    let case = |name, outage, affected_calls| OutageCase { name, outage, affected_calls };
    [
        case("refused", RowOutage::Refused { status: 503 }, |counts| counts.refused),
        case("reset", RowOutage::Reset, |counts| counts.reset),
        case("silent", RowOutage::Silent, |counts| counts.silenced),
    ]
}

fn down(outage: RowOutage) -> Vec<RowFault> {
    vec![RowFault { down: Some(outage), ..RowFault::default() }]
}

impl OutageCase {
    /// Starts a gateway while the store is down, and requires that it refuses calls.
    async fn start_without_store(&self, disabled: DisabledList) -> PlatformEnvironment {
        let store_faults = down(self.outage);
        let plan = EnvironmentPlan { store_faults, disabled, ..EnvironmentPlan::default() };
        let env = PlatformEnvironment::start_unready(plan).await;
        let outage_met =
            env.store.wait_for(|counts| (self.affected_calls)(&counts.all) >= OUTAGE_CALLS);
        await_event(self.name, outage_met).await;
        for path in [LOOK, BOOK] {
            let id = format!("early{path}");
            env.call_and_check(path, &id, &ExpectedEnd::REFUSED).await.expect(self.name);
        }
        env
    }
}

/// Guards against a check of readiness that cannot fail: with the mechanism turned off, a gateway
/// must be ready although it refuses calls.
#[tokio::test]
async fn a_gateway_that_is_ready_too_early_is_detected() {
    for case in outages() {
        let env = case.start_without_store(&["recovery"]).await;
        assert_eq!(env.readiness().await, Some(StatusCode::OK), "{}", case.name);
    }
}

/// Guards against a gateway that is ready before it knows the configuration and the upstreams, and
/// against one that never recovers from a store that was down at its start.
#[tokio::test]
async fn calls_wait_for_a_store_that_is_down_at_the_start() {
    for case in outages() {
        let env = case.start_without_store(&[]).await;
        assert_eq!(env.readiness().await, Some(StatusCode::SERVICE_UNAVAILABLE), "{}", case.name);
        env.fail_store(Vec::new());
        env.wait_for_readiness(true).await;
        env.serve_calls("late", DEFAULT_CALLS).await;
    }
}

/// Guards against calls that fail because the store is down, and against an upstream whose row
/// disappeared meanwhile and that is dropped too early or never.
#[tokio::test]
async fn calls_continue_while_the_store_is_down() {
    for case in outages() {
        let env = PlatformEnvironment::start(EnvironmentPlan {
            upstreams: 1,
            ..EnvironmentPlan::default()
        })
        .await;
        env.serve_calls("before", DEFAULT_CALLS).await;
        env.fail_store(down(case.outage));
        let outage_met =
            env.store.wait_for(|counts| (case.affected_calls)(&counts.all) >= OUTAGE_CALLS);
        await_event(case.name, outage_met).await;
        env.serve_calls("down", DEFAULT_CALLS).await;
        let removed = env.upstreams[0].writer.remove();
        env.serve_calls("removed", DEFAULT_CALLS).await;
        require_delayed_removal(&env, case.name).await;
        env.wait_for_rows(removed).await;
        env.call_and_check(BOOK, "gone", &ExpectedEnd::REFUSED).await.expect(case.name);
        env.wait_for_rows(env.upstreams[0].writer.change(|_| {})).await;
        env.serve_calls("listed", DEFAULT_CALLS).await;
    }
}

/// Ends the outage of the store, and requires that the only upstream stays in use for the time in
/// which a missing row is not applied.
async fn require_delayed_removal(env: &PlatformEnvironment, name: &str) {
    let outage_end = tokio::time::Instant::now();
    env.fail_store(Vec::new());
    let mut served = 0;
    let mut refusal = Bytes::new();
    wait_until("the upstream is gone", async || {
        served += 1;
        let id = format!("back-{served}");
        let end = ExpectedEnd { statuses: &[200, 503], runs: 0..=1 };
        let answer = env.call(LOOK, &id).await;
        env.check(LOOK, &id, &answer, &end).expect(name);
        answer.is_ok_and(|answer| {
            refusal = answer.body;
            answer.status == StatusCode::SERVICE_UNAVAILABLE
        })
    })
    .await;
    // A stall of the test machine can only lengthen this.
    let in_use = outage_end.elapsed();
    assert!(
        in_use >= MISSING_ROW_SPAN.to_duration(),
        "{name}: removed after {in_use:?}, {refusal:?}"
    );
}

/// Guards against an outage that is not detected because it ends before the store's client repeats
/// a request on a new connection: an upstream whose row disappeared meanwhile was dropped
/// immediately.
#[tokio::test]
async fn an_outage_between_two_store_requests_is_detected() {
    let env =
        PlatformEnvironment::start(EnvironmentPlan { upstreams: 1, ..EnvironmentPlan::default() })
            .await;
    env.serve_calls("before", DEFAULT_CALLS).await;
    env.fail_store(down(RowOutage::Silent));
    // The long polls of both tables.
    await_event("silence", env.store.wait_for(|counts| counts.all.silenced >= 2)).await;
    env.upstreams[0].writer.remove();
    require_delayed_removal(&env, "silent").await;
}

/// Removes an upstream while a VM cannot reach the store, but a peer that can sends it the changes.
/// With `missed_changes`, other rows change that the peer cannot send. Returns how many of the
/// calls through that VM reach the upstream when it may no longer be used.
async fn calls_to_removed_upstream(missed_changes: bool, disabled: DisabledList) -> u64 {
    let mut env =
        PlatformEnvironment::start(EnvironmentPlan { disabled, ..EnvironmentPlan::default() })
            .await;
    // It precedes its peer in the order of names, so that it follows the configuration in the store,
    // and its calls fail.
    let (proxy, _peer) = env.replace_gate("vm-0").await;
    // A VM that loses the store before it has read the table of VMs never finds its peers.
    env.wait_for_vms(2).await;
    env.serve_calls("before", DEFAULT_CALLS).await;
    proxy.update(|plan| plan.refuse = true);
    proxy.cut_all();
    let lost = format!("\"event\":{DEPENDENCY_LOST},");
    wait_until("the VM has detected the outage", async || {
        let log = env.gate.log();
        log.lines().any(|line| line.contains(&lost) && line.contains("\"store\""))
    })
    .await;
    // Requires that the VM receives changes from its peer.
    env.add_upstream("desk-9", SERVICE).await;
    await_event("the peer has sent the change", env.gate.wait_for_event(UPSTREAM_CHANGED, 1)).await;
    env.wait_for_rows(env.upstreams[0].writer.remove()).await;
    for index in 0..SETTLED_SPAN.as_millis() / LONG_CHANGE_PERIOD.as_millis() {
        if missed_changes {
            let place = RowPath::new(PlatformCodec::UPSTREAM_TABLE, &format!("long-{index}"));
            env.store.handle().put(place, vec![b'x'; LONG_ROW_BYTES]);
        }
        tokio::time::sleep(LONG_CHANGE_PERIOD.to_duration()).await;
    }
    let arrived = || env.upstreams[0].server.counts().arrived;
    let before = arrived();
    env.serve_calls("after", DRAIN_CALLS).await;
    arrived() - before
}

/// Guards against a VM that keeps a removed upstream in use because its calls to the store fail,
/// although its peers send it the removal.
#[tokio::test]
async fn a_vm_without_the_store_drops_removed_upstreams() {
    assert_eq!(calls_to_removed_upstream(false, &[]).await, 0);
}

/// Longer than twice the long poll of the upstreams, and much shorter than that of the configuration.
const IDLE_SPAN: ClockSpan = ClockSpan::from_secs(2);

/// Freezes a VM without peers, whose long poll for a newer configuration is on a connection that has
/// become silent. Meanwhile an upstream drains and another service gets a route. Returns how many calls then reach that upstream, and
/// how many the previous service of the route, when neither may be used any longer.
async fn outdated_calls_after_pause(disabled: DisabledList) -> [u64; 2] {
    let mut env =
        PlatformEnvironment::start(EnvironmentPlan { disabled, ..EnvironmentPlan::default() })
            .await;
    env.add_upstream("annex-0", ANNEX).await;
    let (proxy, first) = env.replace_gate("vm-1").await;
    drop(first);
    // When the gateway has this version, its long poll for later ones has been sent.
    env.configure(|config| config.services.push(service(ANNEX))).await;
    env.serve_calls("before", DEFAULT_CALLS).await;
    // By then, only the long poll for a newer configuration is idle.
    tokio::time::sleep(IDLE_SPAN.to_duration()).await;
    proxy.silence_idle_connections(IDLE_SPAN.scaled(0.5));
    env.gate.process.signal(Signal::STOP);
    let mut config = env.config().clone();
    config.version += 1;
    for route in config.routes.iter_mut().filter(|route| *route.path_prefix == *LOOK) {
        route.targets[0].service = ANNEX.into();
    }
    platform::stand::write_config(&env.store.handle(), &config);
    env.upstreams[0].writer.drain();
    tokio::time::sleep(FREEZE_SPAN.to_duration()).await;
    env.gate.process.signal(Signal::CONT);
    tokio::time::sleep(SETTLED_SPAN.to_duration()).await;
    let arrived = || {
        env.upstreams.iter().map(|upstream| upstream.server.counts().arrived).collect::<Vec<_>>()
    };
    let before = arrived();
    for index in 0..DRAIN_CALLS {
        env.call_and_check(BOOK, &format!("book-{index}"), &ExpectedEnd::SERVED)
            .await
            .expect("a served call");
    }
    let between = arrived();
    for index in 0..DRAIN_CALLS {
        env.call_and_check(LOOK, &format!("look-{index}"), &ExpectedEnd::SERVED)
            .await
            .expect("a served call");
    }
    let after = arrived();
    [between[0] - before[0], (after[0] + after[1]) - (between[0] + between[1])]
}

/// Guards against a VM that uses the upstreams and routes from before it was frozen. With the
/// mechanism turned off, it must: its long poll for a newer configuration is on a silent
/// connection, and no other call to the store fails. The checks of the configuration, which also
/// find it, are off in both runs.
#[tokio::test]
async fn a_frozen_vm_reads_again_what_may_be_old() {
    assert_eq!(outdated_calls_after_pause(&["config-check"]).await, [0, 0]);
    let disabled: DisabledList = &["config-check", "pause"];
    let [draining_calls, old_route_calls] = outdated_calls_after_pause(disabled).await;
    println!(
        "without the mechanism: {draining_calls} and {old_route_calls} of {DRAIN_CALLS} outdated"
    );
    assert_eq!(old_route_calls, DRAIN_CALLS as u64, "the old configuration stays in use");
}

/// Guards against a version of the configuration that comes into force only after the longest long
/// poll, because the store lost every answer that carried it and nothing else failed (review/9).
#[tokio::test]
async fn lost_changes_of_the_configuration_are_read_again() {
    assert_eq!(outdated_calls_after_lost_changes(&[]).await, 0);
    let outdated = outdated_calls_after_lost_changes(&["config-check"]).await;
    assert_eq!(outdated, DEFAULT_CALLS, "the version is read without the mechanism as well");
}

/// Returns how many of a few calls run at the previous service of their route, after the store lost
/// the answers with the new one for a time.
async fn outdated_calls_after_lost_changes(disabled: DisabledList) -> usize {
    let plan = EnvironmentPlan { disabled, ..EnvironmentPlan::default() };
    let mut env = PlatformEnvironment::start(plan).await;
    env.add_upstream("annex-0", ANNEX).await;
    let (_proxy, _first) = env.replace_gate("vm-2").await;
    let (_other_proxy, _second) = env.replace_gate("vm-3").await;
    env.wait_for_vms(3).await;
    env.configure(|config| config.services.push(service(ANNEX))).await;
    env.serve_calls("before", DEFAULT_CALLS).await;
    env.fail_store(vec![RowFault {
        lost_changes: Some(PlatformCodec::CONFIG_TABLE.into()),
        ..RowFault::default()
    }]);
    let mut config = env.config().clone();
    config.version += 1;
    for route in config.routes.iter_mut().filter(|route| *route.path_prefix == *LOOK) {
        route.targets[0].service = ANNEX.into();
    }
    platform::stand::write_config(&env.store.handle(), &config);
    await_event("the change is lost", env.store.wait_for(|counts| counts.all.lost_answers > 0))
        .await;
    tokio::time::sleep(LOSS_SPAN.to_duration()).await;
    env.fail_store(Vec::new());
    tokio::time::sleep(SETTLED_SPAN.to_duration()).await;
    let mut outdated = 0;
    for index in 0..DEFAULT_CALLS {
        let id = format!("after-{index}");
        env.call_and_check(LOOK, &id, &ExpectedEnd::SERVED).await.expect("a served call");
        let annex = env.upstreams.last().expect("the upstream of the annex");
        outdated += usize::from(annex.server.counts().request_record(&id).runs == 0);
    }
    outdated
}

/// Guards against a removed upstream that stays in use at a VM that misses other changes: its peers
/// leave out those that do not fit into a datagram, so that it reads the store itself and fails.
/// With the mechanism turned off, calls must reach the upstream; this needs missed changes, because
/// a VM that receives its peers' reads sends the store no reads that can fail.
#[tokio::test]
async fn a_vm_without_the_store_that_misses_changes_drops_removed_upstreams() {
    assert_eq!(calls_to_removed_upstream(true, &[]).await, 0);
    let late = calls_to_removed_upstream(true, &["peer-removal"]).await;
    println!("{late} of {DRAIN_CALLS} calls reach the upstream without the mechanism");
    assert!(late > 0, "the upstream is also dropped without the mechanism");
}

/// Guards against a process that exits, or stops accepting calls, on SIGHUP, which makes it read
/// its settings again.
#[tokio::test]
async fn a_reload_interrupts_nothing() {
    let mut env = PlatformEnvironment::start(EnvironmentPlan::default()).await;
    for id in ["first", "second"] {
        env.gate.process.signal(Signal::HUP);
        let mut connection = open(env.gate.caller_address).await;
        let call = connection.call(request(Method::POST, BOOK, id, None, PartBody::none()));
        let answer = await_event("the call is answered", call).await.expect("an answer");
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(env.history(id).runs, 1);
    }
    assert!(env.gate.process.exit_success().is_none(), "the process exited");
}

/// A step in the rotation of the peers' secret, with changed timeouts.
struct ReloadStep {
    peer_secrets: &'static [&'static str],
    head_ms: u64,
    /// The limit of the time without progress of a body. The last step makes it too short for any
    /// pause.
    body_idle_ms: u64,
    /// The value of the `keep-alive` header while the step is in force.
    keep_alive: &'static str,
    /// The statuses of control calls with the old secret and with the new one.
    statuses: [u16; 2],
}

const NEXT_PEER_SECRET: &str = "the-next-peer-secret-of-the-tests";
/// The numbers of the log events for datagrams and settings that are refused.
const DATAGRAM_REFUSED: u32 = 1022;
const SETTINGS_REFUSED: u32 = 1024;

const ROTATION: [ReloadStep; 3] = [
    ReloadStep {
        peer_secrets: &[PEER_SECRET, NEXT_PEER_SECRET],
        head_ms: 20_000,
        body_idle_ms: LONG_SPAN.as_millis(),
        keep_alive: "timeout=19",
        statuses: [200, 200],
    },
    ReloadStep {
        peer_secrets: &[NEXT_PEER_SECRET, PEER_SECRET],
        head_ms: 30_000,
        body_idle_ms: LONG_SPAN.as_millis(),
        keep_alive: "timeout=29",
        statuses: [200, 200],
    },
    ReloadStep {
        peer_secrets: &[NEXT_PEER_SECRET],
        head_ms: 40_000,
        body_idle_ms: 1,
        keep_alive: "timeout=39",
        statuses: [401, 200],
    },
];

impl ReloadStep {
    fn settings(&self, before: &GateSettings) -> GateSettings {
        let mut settings = before.clone();
        settings.peer_secrets = self.peer_secrets.to_vec();
        settings.timeouts["head_ms"] = self.head_ms.into();
        settings.timeouts["body_idle_ms"] = self.body_idle_ms.into();
        settings.timeouts["leave_ms"] = 0.into();
        settings
    }

    /// Makes calls on new connections until the answer to one shows that the step is in force.
    async fn wait_in_force(&self, gate: &GateProcess, series: &str) {
        let mut calls = 0;
        wait_until("the settings are in force", async || {
            calls += 1;
            let id = format!("{series}-{calls}");
            let mut connection = open(gate.caller_address).await;
            let call = connection.call(request(Method::GET, LOOK, &id, None, PartBody::none()));
            let answer = await_event("the call is answered", call).await.expect("an answer");
            assert_eq!(answer.status, StatusCode::OK, "{id}");
            answer.header("keep-alive") == self.keep_alive
        })
        .await;
    }

    async fn require_secrets(&self, env: &PlatformEnvironment, gate: &GateProcess) {
        let secrets = [PEER_SECRET, NEXT_PEER_SECRET];
        for (secret, status) in secrets.into_iter().zip(self.statuses) {
            let authorization = format!("Bearer {secret}");
            let headers = [("content-type", "application/json"), ("authorization", &authorization)];
            let body = r#"{"jsonrpc":"2.0","id":1,"method":"peer_exchange","params":[{}]}"#;
            let address = gate.control_address;
            let call = env.client.call(Method::POST, address, "vm", "/", &headers, body.into());
            let answer = await_event("the listener answers", call).await.expect("an answer");
            assert_eq!(answer.status.as_u16(), status, "{secret} of {:?}", self.peer_secrets);
        }
    }
}

/// Guards against calls, control calls or datagrams that fail because of a changed timeout or the
/// rotation of a secret, on SIGHUP or without a signal, and against changes that a running process
/// does not apply.
#[tokio::test]
async fn a_rotated_secret_and_changed_timeouts_interrupt_nothing() {
    let mut env = PlatformEnvironment::start(EnvironmentPlan::default()).await;
    let mut first = gate_settings(&env.store, true);
    // Below the stop limit, and longer than the test waits for the exit of the process.
    first.timeouts["leave_ms"] = 500_000.into();
    first.vm_name = "vm-2".to_owned();
    let mut signalled = GateProcess::start_from_platform(&first).expect("a gateway");
    let second = gate_settings(&env.store, true);
    let ready = async || {
        let answer = env.client.get(signalled.metrics_address, "metrics", "/ready").await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    };
    wait_until("the other gateway is ready", ready).await;
    let mut unfinished_calls = Vec::new();
    for (index, step) in ROTATION.iter().enumerate() {
        let path = if index % 2 == 0 { BOOK } else { LOOK };
        unfinished_calls.push(UnfinishedCall::start(&env, path, &format!("held-{index}")).await);
        let mut caller = open(env.gate.caller_address).await;
        for (stage, connection) in [("before", ""), ("after", "close")] {
            let id = format!("kept-{stage}-{index}");
            let call = caller.call(request(Method::POST, BOOK, &id, None, PartBody::none()));
            let answer = await_event("the call is answered", call).await.expect("an answer");
            assert_eq!((answer.status, env.history(&id).runs), (StatusCode::OK, 1), "{id}");
            assert_eq!(answer.header("connection"), connection, "{id}");
            if stage == "before" {
                signalled.change_settings(&step.settings(&first)).expect("a file");
                signalled.process.signal(Signal::HUP);
                step.wait_in_force(&signalled, &format!("signalled-{index}")).await;
                env.gate.change_settings(&step.settings(&second)).expect("a file");
                step.wait_in_force(&env.gate, &format!("silent-{index}")).await;
            }
        }
        step.require_secrets(&env, &signalled).await;
        step.require_secrets(&env, &env.gate).await;
    }
    // A body that is arriving keeps the time limit with which it began; a new one gets the new
    // limit.
    for unfinished in unfinished_calls {
        unfinished.finish(&env).await;
    }
    // The gateway reads a short body completely before it sends the call, so this one is not run.
    let (_sender, body) = PartBody::announced(SHORT_BODY_BYTES);
    let mut connection = open(env.gate.caller_address).await;
    let call = connection.call(request(Method::POST, BOOK, "paused", None, body));
    let answer = await_event("the call is answered", call).await.expect("an answer");
    assert_eq!(answer.status, StatusCode::REQUEST_TIMEOUT);
    assert_eq!(env.history("paused").arrived, 0);
    for gate in [&signalled, &env.gate] {
        assert_eq!(
            (gate.event_count(DATAGRAM_REFUSED), gate.event_count(SETTINGS_REFUSED)),
            (0, 0)
        );
    }
    // Requires that datagrams arrive between the gateways, so that refused ones would be logged.
    let old_secret = ReloadStep { peer_secrets: &[PEER_SECRET], ..ROTATION[2] };
    env.gate.change_settings(&old_secret.settings(&second)).expect("a file");
    let refused = async || {
        signalled.event_count(DATAGRAM_REFUSED) > 0 && env.gate.event_count(DATAGRAM_REFUSED) > 0
    };
    wait_until("other secrets are refused", refused).await;
    assert_eq!(env.gate.process.exit_success(), None, "the process runs");
    signalled.process.signal(Signal::TERM);
    wait_until("the process exits immediately", async || {
        signalled.process.exit_success().is_some()
    })
    .await;
    assert_eq!(signalled.process.exit_success(), Some(true), "the exit code is 0");
}

/// Guards against rows that cannot be parsed and keep the gateway from reading the others, or that
/// are used as upstreams.
#[tokio::test]
async fn unreadable_rows_are_skipped() {
    let mut env = PlatformEnvironment::start(EnvironmentPlan::default()).await;
    let entry = upstream_entry("other", SERVICE, env.gate.metrics_address, 0);
    let without_slots = upstream_value(&entry, 1);
    let cut = without_slots[..without_slots.len() / 2].to_vec();
    let values =
        [b"".to_vec(), b"{}".to_vec(), b"[1]".to_vec(), vec![0xff, 0xfe], without_slots, cut];
    let handle = env.store.handle();
    for (index, value) in values.iter().enumerate() {
        // The keys sort before and after those of the upstreams.
        let key = if index % 2 == 0 { format!("a{index}") } else { format!("z{index}") };
        handle.put(RowPath::new(PlatformCodec::UPSTREAM_TABLE, &key), value.clone());
    }
    env.wait_for_rows(handle.version()).await;
    env.gate.wait_for_event(UPSTREAM_UNREADABLE, values.len()).await;
    env.serve_calls("beside", DEFAULT_CALLS).await;
    env.add_upstream("desk-9", SERVICE).await;
    env.call_until_reached(&env.upstreams[2], "reach").await;
    assert_eq!(env.readiness().await, Some(StatusCode::OK));
    env.gate.stop().await;
    assert_eq!(env.gate.event_count(UPSTREAM_UNREADABLE), values.len());
}

/// A call of which only half the body has been sent, so that it does not end.
struct UnfinishedCall {
    id: String,
    path: &'static str,
    sender: PartSender,
    call: tokio::task::JoinHandle<Result<CallAnswer, String>>,
}

impl UnfinishedCall {
    /// Sends a call with the first half of its body, and waits until it arrives at an upstream.
    async fn start(env: &PlatformEnvironment, path: &'static str, id: &str) -> Self {
        let (sender, body) = PartBody::announced(2 * HALF_BODY_BYTES as u64);
        sender.send(Bytes::from(vec![b'h'; HALF_BODY_BYTES])).expect("the body is open");
        let mut connection = open(env.gate.caller_address).await;
        let request = request(Method::POST, path, id, None, body);
        let call = tokio::spawn(async move { connection.call(request).await });
        wait_until("the call arrives", async || env.history(id).arrived == 1).await;
        Self { id: id.to_owned(), path, sender, call }
    }

    /// Sends the second half of the body, and requires that the call runs once and succeeds.
    async fn finish(self, env: &PlatformEnvironment) -> CallAnswer {
        self.sender.send(Bytes::from(vec![b'h'; HALF_BODY_BYTES])).expect("the call goes on");
        let answer = await_event("the call ends", self.call).await.expect("no panic");
        env.check(self.path, &self.id, &answer, &ExpectedEnd::SERVED).expect("the call is served");
        answer.expect("an answer")
    }
}

/// Guards against new calls to a draining upstream, against calls in flight that its drain
/// interrupts, and against an upstream that gets no calls after it was started again.
#[tokio::test]
async fn a_draining_upstream_gets_no_calls() {
    let env = PlatformEnvironment::start(EnvironmentPlan::default()).await;
    let unfinished = UnfinishedCall::start(&env, BOOK, "held").await;
    let has_call = |upstream: &&RegisteredUpstream| upstream.server.counts().arrived == 1;
    let draining = env.upstreams.iter().find(has_call).expect("an upstream has the call");
    env.wait_for_rows(draining.writer.drain()).await;
    env.serve_calls("beside", DEFAULT_CALLS).await;
    unfinished.finish(&env).await;
    // While its call was in flight, the upstream was a worse candidate in any case.
    env.serve_calls("after", DRAIN_CALLS).await;
    assert_eq!(draining.server.counts().arrived, 1, "calls after the drain was announced");
    let started = draining.writer.change(|entry| {
        entry.draining = false;
        entry.server.incarnation += 1;
    });
    env.wait_for_rows(started).await;
    env.call_until_reached(draining, "again").await;
}

/// Makes calls through two gateways to upstreams that fail every call. Returns how many arrivals at
/// the upstreams are retries.
async fn retry_arrivals(disabled: DisabledList) -> u64 {
    let retry_ratio = BUDGET_RATIO;
    let plan =
        EnvironmentPlan { upstreams: 3, retry_ratio, disabled, ..EnvironmentPlan::default() };
    let mut env = PlatformEnvironment::start(plan).await;
    let (_proxy, mut other) = env.replace_gate("vm-2").await;
    let fault = AnswerFault::Status { status: 500 };
    for upstream in &env.upstreams {
        upstream
            .server
            .update(|plan| plan.faults = vec![FaultRule { fault, ..FaultRule::default() }]);
    }
    let failed = ExpectedEnd { statuses: &[500], runs: 1..=MAX_ATTEMPTS };
    for index in 0..BUDGET_CALLS {
        env.call_and_check(LOOK, &format!("call-{index}"), &failed).await.expect("the call fails");
        std::mem::swap(&mut env.gate, &mut other);
    }
    let arrived: u64 = env.upstreams.iter().map(|upstream| upstream.server.counts().arrived).sum();
    arrived - BUDGET_CALLS
}

/// Guards against retries of several VMs that together exceed the bound of section 1.2 in
/// docs/platform-deployment.md. With the mechanism turned off, they must exceed it.
#[tokio::test]
async fn retries_of_all_vms_stay_within_the_bound() {
    let bound = (BUDGET_RATIO * BUDGET_CALLS as f64 + RETRY_SLACK) as u64;
    let retries = retry_arrivals(&[]).await;
    assert!((1..=bound).contains(&retries), "{retries} retries, {bound} allowed");
    let unbounded = retry_arrivals(&["retry-budget"]).await;
    println!("{retries} retries, {unbounded} without the mechanism, {bound} allowed");
    assert!(unbounded > bound, "{unbounded} retries, {bound} allowed");
}

struct RouteCase {
    path: &'static str,
    /// The services that run calls before and after the change, or `None` if there is no route.
    before: Option<&'static str>,
    after: Option<&'static str>,
}

const ROUTES: [RouteCase; 4] = [
    RouteCase { path: LOOK, before: Some(SERVICE), after: Some(ANNEX) },
    RouteCase { path: BOOK, before: Some(SERVICE), after: None },
    RouteCase { path: "/bytes/7", before: Some(SERVICE), after: Some(SERVICE) },
    RouteCase { path: "/new", before: None, after: Some(ANNEX) },
];

/// Makes a call and requires that an upstream of a service runs it, or that there is no route.
async fn require_route(env: &PlatformEnvironment, path: &str, id: &str, service: Option<&str>) {
    let end = if service.is_some() { ExpectedEnd::SERVED } else { ExpectedEnd::NO_ROUTE };
    env.call_and_check(path, id, &end).await.expect(path);
    let runs_it =
        |upstream: &&RegisteredUpstream| upstream.server.counts().request_record(id).runs == 1;
    let upstream = env.upstreams.iter().find(runs_it).map(|upstream| upstream.server.plan().name);
    let fits =
        upstream.as_ref().map(|name| service.is_some_and(|service| name.starts_with(service)));
    assert_eq!(fits, service.map(|_| true), "{id} ran at {upstream:?}");
}

/// Guards against calls that are routed by an old version of the configuration after a new one was
/// read, and against an older version that replaces a newer one.
#[tokio::test]
async fn new_versions_of_the_configuration_apply() {
    let plan = EnvironmentPlan::default();
    let mut env = PlatformEnvironment::start(plan.clone()).await;
    env.add_upstream("annex-0", ANNEX).await;
    for case in &ROUTES {
        require_route(&env, case.path, &format!("before{}", case.path), case.before).await;
    }
    let old = env.config().clone();
    env.configure(|config| {
        config.services.push(service(ANNEX));
        config.routes.retain(|route| *route.path_prefix != *BOOK);
        for route in config.routes.iter_mut().filter(|route| *route.path_prefix == *LOOK) {
            route.targets[0].service = ANNEX.into();
        }
        config.routes.push(route("new", "/new", ANNEX, &plan));
    })
    .await;
    for case in &ROUTES {
        require_route(&env, case.path, &format!("after{}", case.path), case.after).await;
    }
    env.write_config(&old).await;
    for case in &ROUTES {
        require_route(&env, case.path, &format!("still{}", case.path), case.after).await;
    }
}

/// Starts two services with one upstream each that share a route; `ANNEX` has the smaller share.
async fn split_environment(disabled: DisabledList) -> PlatformEnvironment {
    let plan = EnvironmentPlan { upstreams: 1, disabled, ..EnvironmentPlan::default() };
    let mut env = PlatformEnvironment::start(plan.clone()).await;
    env.add_upstream("annex-0", ANNEX).await;
    env.configure(|config| {
        config.services.push(service(ANNEX));
        let target = |service: &str, weight| RouteTarget { service: service.into(), weight };
        let targets = vec![target(SERVICE, 90.0), target(ANNEX, 10.0)];
        config.routes.push(CallRoute { targets, ..route("split", "/split", SERVICE, &plan) });
    })
    .await;
    env
}

/// The reason why the smaller target of a split cannot run calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SplitFault {
    /// Its upstream is full and sheds every call.
    Full,
    /// Its upstream refuses connections.
    Refused,
    /// Its upstream has been removed.
    Gone,
}

impl SplitFault {
    async fn inject(self, env: &PlatformEnvironment) {
        let target = &env.upstreams[1];
        match self {
            Self::Full => {
                let rule =
                    FaultRule { fault: AnswerFault::Early { status: 503 }, ..FaultRule::default() };
                target.server.update(|plan| plan.faults = vec![rule]);
            }
            Self::Refused => stop_upstream(&target.server).await,
            Self::Gone => env.wait_for_rows(target.writer.remove()).await,
        }
    }

    /// Makes calls to a split whose smaller target has the fault. Returns how many were refused,
    /// and how many reached the other target.
    async fn split_calls(self, env: &PlatformEnvironment) -> [u64; 2] {
        self.inject(env).await;
        let arrived = || env.upstreams[0].server.counts().arrived;
        let before = arrived();
        let mut refused = 0;
        for index in 0..SPLIT_CALLS {
            let id = format!("{self:?}-{index}");
            let answer = env.call("/split", &id).await;
            let status = answer.as_ref().map_or(0, |answer| answer.status.as_u16());
            refused += u64::from(status == 503);
            let end = if status == 503 { ExpectedEnd::REFUSED } else { ExpectedEnd::SERVED };
            env.check("/split", &id, &answer, &end).expect("the call is served or refused");
        }
        [refused, arrived() - before]
    }
}

/// Guards against a split route whose targets do not get their shares, and against calls that move
/// to another target when theirs is full, refuses connections or has no upstream.
#[tokio::test]
async fn a_split_route_keeps_its_shares() {
    let env = split_environment(&[]).await;
    for index in 0..SPLIT_CALLS {
        let id = format!("split-{index}");
        env.call_and_check("/split", &id, &ExpectedEnd::SERVED).await.expect("the call is served");
    }
    let arrived = || {
        env.upstreams.iter().map(|upstream| upstream.server.counts().arrived).collect::<Vec<_>>()
    };
    let both = arrived();
    assert_eq!(both.iter().sum::<u64>(), SPLIT_CALLS);
    assert!(keeps_share(both[1]), "{both:?}");
    for fault in [SplitFault::Full, SplitFault::Refused, SplitFault::Gone] {
        let target_before = arrived()[1];
        let [refused, others] = fault.split_calls(&env).await;
        assert!(keeps_share(refused), "{fault:?}: {refused} calls were refused");
        assert_eq!(others, SPLIT_CALLS - refused, "{fault:?}");
        assert!(fault == SplitFault::Full || arrived()[1] == target_before, "{fault:?}");
    }
}

/// Guards against a check of the shares that cannot fail: with the mechanism turned off, calls must
/// move to the other target.
#[tokio::test]
async fn a_split_that_moves_calls_is_detected() {
    let env = split_environment(&["split"]).await;
    let [refused, others] = SplitFault::Gone.split_calls(&env).await;
    println!("{refused} of {SPLIT_CALLS} calls are refused without the mechanism");
    assert!(!keeps_share(refused), "{refused} calls were refused");
    assert_eq!(others, SPLIT_CALLS);
}

/// Returns whether the smaller target of a split has its share of calls. The chance that a correct
/// gateway exceeds these bounds is below 1 in 10^8.
fn keeps_share(calls: u64) -> bool {
    calls > 0 && (calls as f64 / SPLIT_CALLS as f64 - SPLIT_SHARE).abs() <= SPLIT_BOUND
}

/// Guards against a second SIGTERM that ends the process while its calls run. Platforms may repeat
/// the signal.
#[tokio::test]
async fn a_second_sigterm_interrupts_no_call() {
    let mut env = PlatformEnvironment::start(EnvironmentPlan::default()).await;
    let unfinished = UnfinishedCall::start(&env, BOOK, "held").await;
    env.gate.process.signal(Signal::TERM);
    env.wait_for_readiness(false).await;
    env.gate.process.signal(Signal::TERM);
    let address = env.gate.caller_address;
    wait_until("connections are refused", async || CallerConnection::open(address).await.is_err())
        .await;
    assert_eq!(env.gate.process.exit_success(), None, "the process waits for its call");
    unfinished.finish(&env).await;
    let gate = &mut env.gate;
    wait_until("the process ends", async || gate.process.exit_success().is_some()).await;
}

/// Guards against a graceful shutdown that interrupts calls, that refuses connections before load
/// balancers can detect that the gateway is not ready, or that does not exit with 0.
#[tokio::test]
async fn a_shutdown_interrupts_no_call() {
    let mut env = PlatformEnvironment::start(EnvironmentPlan::default()).await;
    env.serve_calls("before", DEFAULT_CALLS).await;
    let mut unfinished_calls = Vec::new();
    for (index, path) in [LOOK, BOOK, LOOK, BOOK].into_iter().enumerate() {
        unfinished_calls.push(UnfinishedCall::start(&env, path, &format!("held-{index}")).await);
    }
    env.gate.process.signal(Signal::TERM);
    env.wait_for_readiness(false).await;
    for path in [LOOK, BOOK] {
        let id = format!("new{path}");
        let mut connection = open(env.gate.caller_address).await;
        let call = connection.call(request(Method::POST, path, &id, None, PartBody::none()));
        let answer = await_event("an answer", call).await;
        env.check(path, &id, &answer, &ExpectedEnd::SERVED).expect("new connections are accepted");
        assert_eq!(answer.expect("an answer").header("connection"), "close");
    }
    let address = env.gate.caller_address;
    wait_until("connections are refused", async || CallerConnection::open(address).await.is_err())
        .await;
    assert_eq!(env.gate.process.exit_success(), None, "the process waits for its calls");
    for unfinished in unfinished_calls {
        assert_eq!(unfinished.finish(&env).await.header("connection"), "close");
    }
    let gate = &mut env.gate;
    wait_until("the process ends", async || gate.process.exit_success().is_some()).await;
    assert_eq!(env.gate.process.exit_success(), Some(true), "the exit code is 0");
}
