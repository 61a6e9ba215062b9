//! Gateway processes whose upstreams leave, ask for a pause, drop calls or send answers without
//! end, and gateways that are paused or stopped at a bad moment.

#[path = "support/platform.rs"]
mod environment;

use std::time::Duration;

use base::prelude::*;
use bytes::Bytes;
use directory::prelude::*;
use environment::*;
use http::{Method, StatusCode};
use platform::PlatformCodec;
use stand::prelude::*;
use trial::prelude::*;

/// Calls after an upstream has said that it leaves or wants a pause. If it were chosen as readily as
/// the other one, the chance that no call reaches it would be below 1 in 10^12.
const CALLS: usize = 40;
/// The pause that upstreams ask for. Far longer than the calls of a test take.
const PAUSE: ClockSpan = ClockSpan::from_secs(60);
/// A pause after which a call is still in time.
const SHORT_PAUSE: ClockSpan = ClockSpan::from_millis(400);
/// After this time, the evidence on an upstream is too old for a call, so that the gateway makes a
/// check if it may.
const STALE_SPAN: ClockSpan = ClockSpan::from_millis(150);
/// The number of the log event for an upstream that was added, leaves or was removed.
const UPSTREAM_CHANGED: u32 = 1043;
/// The timeout of calls that meet an upstream which never answers.
const STALL_TIMEOUT: ClockSpan = ClockSpan::from_secs(20);

/// Makes calls until an upstream has answered one with its present plan. The answer may be replaced
/// by that of another upstream.
async fn call_until_answered(env: &PlatformEnvironment, index: usize, series: &str) {
    let server = &env.upstreams[index].server;
    let before = server.counts().arrived;
    let end = ExpectedEnd { statuses: &[200], runs: 1..=1 };
    for number in 0..MAX_REACH_CALLS {
        env.call_and_check(LOOK, &format!("{series}-{number}"), &end).await.expect("served");
        if server.counts().arrived > before {
            return;
        }
    }
    panic!("no call of {MAX_REACH_CALLS} reached the upstream");
}

/// How an upstream says that it leaves.
#[derive(Clone, Copy, Debug)]
struct LeaveCase {
    name: &'static str,
    /// Whether the store is down all the while.
    store_down: bool,
    /// Whether its row is written again as that of a ready upstream.
    row_returns: bool,
    /// Whether only the answers to health checks say so at first.
    by_check: bool,
}

/// Has the first of two upstreams report that it leaves. Returns how many calls through a gateway
/// that was told, and through another one, reach it afterwards.
async fn calls_after_leaving(case: LeaveCase, disabled: DisabledList) -> [u64; 2] {
    let plan = EnvironmentPlan { disabled, ..EnvironmentPlan::default() };
    let mut env = PlatformEnvironment::start(plan).await;
    let (_proxy, mut other) = env.replace_gate("vm-2").await;
    env.wait_for_vms(2).await;
    // The log of the gateway that is told by the other one is complete.
    std::mem::swap(&mut env.gate, &mut other);
    env.fill_retry_budget(case.name).await;
    if case.store_down {
        let outage = RowOutage::Refused { status: 503 };
        env.fail_store(vec![RowFault { down: Some(outage), ..RowFault::default() }]);
    }
    env.upstreams[0].server.update(|plan| plan.final_drain = true);
    if case.by_check {
        // Only checks reach the upstream until one has been answered.
        let checks = || env.upstreams[0].server.counts().probes;
        let before = checks();
        wait_until("a check", async || {
            tokio::time::sleep(STALE_SPAN.to_duration()).await;
            let id = format!("check-{}", checks());
            env.call_and_check(LOOK, &id, &ExpectedEnd::SERVED).await.expect("served");
            checks() > before
        })
        .await;
    } else {
        call_until_answered(&env, 0, "leave").await;
    }
    if disabled.is_empty() {
        let told = async || other.event_count(UPSTREAM_CHANGED) > 0;
        wait_until("the other VM was told", told).await;
    }
    if case.row_returns && !case.store_down {
        env.wait_for_rows(env.upstreams[0].writer.change(|entry| entry.server.slots += 1)).await;
    }
    let arrived = || env.upstreams[0].server.counts().arrived;
    let mut counts = [0; 2];
    for (series, count) in ["own", "peer"].iter().zip(&mut counts) {
        let before = arrived();
        env.serve_calls(series, CALLS).await;
        *count = arrived() - before;
        std::mem::swap(&mut env.gate, &mut other);
    }
    counts
}

const LEAVES: LeaveCase =
    LeaveCase { name: "answer", store_down: false, row_returns: false, by_check: false };

/// Guards against new calls to an upstream that has said that it leaves, through the VM that it told
/// and through the others, whatever the store says.
#[tokio::test]
async fn an_upstream_that_leaves_gets_no_calls() {
    let cases = [
        LEAVES,
        LeaveCase { name: "store down", store_down: true, ..LEAVES },
        LeaveCase { name: "row returns as ready", row_returns: true, ..LEAVES },
        LeaveCase { name: "answer to a check", by_check: true, ..LEAVES },
    ];
    for case in cases {
        assert_eq!(calls_after_leaving(case, &[]).await, [0, 0], "{}", case.name);
    }
    let [own, peer] = calls_after_leaving(LEAVES, &["final-drain"]).await;
    println!("without the mechanism: {own} and {peer} of {CALLS} calls");
    assert!(own > 0 && peer > 0, "the upstream gets no calls without the mechanism either");
}

/// Guards against an upstream that gets no calls after it was started again, because its earlier
/// process left.
#[tokio::test]
async fn a_new_incarnation_of_an_upstream_that_left_gets_calls() {
    let env = PlatformEnvironment::start(EnvironmentPlan::default()).await;
    env.fill_retry_budget("left").await;
    env.upstreams[0].server.update(|plan| plan.final_drain = true);
    call_until_answered(&env, 0, "leave").await;
    env.upstreams[0].server.update(|plan| plan.final_drain = false);
    let started = env.upstreams[0].writer.change(|entry| entry.server.incarnation += 1);
    env.wait_for_rows(started).await;
    env.call_until_reached(&env.upstreams[0], "again").await;
}

/// Returns the plan change that makes an upstream turn every call away.
fn turns_away(plan: &mut UpstreamPlan, pause: ClockSpan) {
    let fault = AnswerFault::Early { status: 503 };
    plan.faults = vec![FaultRule { fault, ..FaultRule::default() }];
    plan.retry_after_ms = Some(pause.as_millis());
}

/// Has the first of two upstreams turn calls away and ask for a pause. Returns how many calls and
/// health checks reach it afterwards.
async fn arrivals_in_pause(disabled: DisabledList) -> [u64; 2] {
    let plan = EnvironmentPlan { disabled, ..EnvironmentPlan::default() };
    let env = PlatformEnvironment::start(plan).await;
    env.fill_retry_budget("pause").await;
    env.upstreams[0].server.update(|plan| turns_away(plan, PAUSE));
    call_until_answered(&env, 0, "first").await;
    let counts = || env.upstreams[0].server.counts();
    let before = counts();
    for index in 0..CALLS {
        // Each call needs a check of the upstreams that it may use.
        tokio::time::sleep(STALE_SPAN.to_duration()).await;
        let answer = env.call(BOOK, &format!("call-{index}")).await;
        let served = answer.is_ok_and(|answer| answer.status == StatusCode::OK);
        // Without the mechanism, the retries use up their budget.
        assert!(served || !disabled.is_empty(), "the other upstream serves the call");
    }
    let after = counts();
    [after.arrived - before.arrived, after.probes - before.probes]
}

/// Guards against calls and health checks to an upstream that asked for a pause.
#[tokio::test]
async fn an_upstream_that_asked_for_a_pause_is_left_alone() {
    assert_eq!(arrivals_in_pause(&[]).await, [0, 0]);
    let [calls, checks] = arrivals_in_pause(&["upstream-pause"]).await;
    println!("without the mechanism: {calls} calls and {checks} checks");
    assert!(calls + checks > 2, "nothing reaches the upstream without the mechanism either");
}

/// Guards against refusals that do not say when the pause of all upstreams ends, against calls that
/// wait although they would be late, and against refused calls that would be in time.
#[tokio::test]
async fn calls_wait_for_the_end_of_a_pause_only_if_they_are_in_time() {
    let plan = EnvironmentPlan { upstreams: 1, ..EnvironmentPlan::default() };
    let mut env = PlatformEnvironment::start(plan).await;
    // The typical latency of each kind of call must be known.
    env.fill_retry_budget("typical").await;
    env.serve_calls("typical", CALLS).await;
    env.upstreams[0].server.update(|plan| turns_away(plan, SHORT_PAUSE));
    env.call_and_check(LOOK, "turned away", &ExpectedEnd::REFUSED).await.expect("turned away");
    env.upstreams[0].server.update(|plan| plan.faults.clear());
    env.call_and_check(LOOK, "waits", &ExpectedEnd::SERVED).await.expect("served after the pause");
    env.configure(|config| {
        for route in &mut config.routes {
            route.objective = ClockSpan::from_secs(2);
        }
    })
    .await;
    env.upstreams[0].server.update(|plan| turns_away(plan, PAUSE));
    env.call_and_check(LOOK, "turned away again", &ExpectedEnd::REFUSED).await.expect("refused");
    let started = tokio::time::Instant::now();
    let answer = env.call(LOOK, "refused").await;
    env.check(LOOK, "refused", &answer, &ExpectedEnd::REFUSED).expect("refused");
    let delay: f64 = answer.expect("an answer").header("retry-after").parse().expect("seconds");
    let rest = PAUSE.as_millis_f64() / 1000.0 - started.elapsed().as_secs_f64();
    assert!(delay > 1.0 && delay <= PAUSE.as_millis_f64() / 1000.0, "{delay} of {rest} s");
}

/// Has one of two upstreams drop each call that it cannot queue. Returns how many of the calls that
/// may run twice are not served.
async fn unserved_calls(disabled: DisabledList) -> usize {
    let plan = EnvironmentPlan { timeout: STALL_TIMEOUT, disabled, ..EnvironmentPlan::default() };
    let env = PlatformEnvironment::start(plan).await;
    env.fill_retry_budget("stall").await;
    env.serve_calls("typical", CALLS).await;
    // Nothing that the upstream reports shows that it is full.
    env.upstreams[0].server.update(|plan| {
        plan.load = LoadAnswer::Idle;
        plan.silent_when_full = true;
        plan.slots = 0;
        plan.queue_limit = 0;
    });
    let mut unserved = 0;
    for index in 0..10 {
        let answer = env.call(LOOK, &format!("call-{index}")).await;
        unserved += usize::from(!answer.is_ok_and(|answer| answer.status == StatusCode::OK));
    }
    let answered = env.upstreams[0].server.counts();
    assert!(answered.shed > 0, "no call reached the upstream that drops them");
    unserved
}

/// Guards against calls that wait to their deadline at an upstream that has dropped them.
#[tokio::test]
async fn calls_that_an_upstream_drops_are_sent_to_another() {
    assert_eq!(unserved_calls(&[]).await, 0);
    let unserved = unserved_calls(&["stall"]).await;
    println!("without the mechanism: {unserved} calls are not served");
    assert!(unserved > 0, "the calls are served without the mechanism as well");
}

/// The length of a body that is passed on while it arrives.
const HELD_BODY_BYTES: usize = 200_000;
/// The pace that upstreams report while a slow call runs. Its attempt counts as lost after four times
/// the usual time of 20 ms at this pace, 4 s, so that each case takes effect before.
const SLOW_PACE_PERCENT: u32 = 5_000;
/// The time of a slow call, twice as long.
const SLOW_WORK: ClockSpan = ClockSpan::from_secs(8);

/// What keeps a slow call at the upstream that runs it.
#[derive(Clone, Copy, Debug)]
enum SlowCase {
    /// The other upstream is draining.
    NoOther,
    /// Another call has the only slot of the other upstream until the slow one has ended.
    Full,
    /// The gateway shuts down.
    Shutdown,
}

/// Guards against a slow call that is taken from the upstream that runs it although no other one can
/// take it, so that its caller gets no answer or an error; and against one that a shutdown ends early.
#[tokio::test]
async fn a_slow_call_is_not_given_up() {
    for case in [SlowCase::NoOther, SlowCase::Full, SlowCase::Shutdown] {
        let default_plan = EnvironmentPlan::default();
        let upstream = UpstreamPlan {
            slots: 1,
            service: ServiceTime::Fixed { ms: 20.0 },
            pace_percent: Some(100),
            ..default_plan.upstream.clone()
        };
        let plan = EnvironmentPlan { upstream, ..default_plan };
        let env = PlatformEnvironment::start(plan).await;
        env.fill_retry_budget("slow").await;
        env.serve_calls("typical", CALLS).await;
        if matches!(case, SlowCase::NoOther) {
            env.wait_for_rows(env.upstreams[1].writer.drain()).await;
        }
        for upstream in &env.upstreams {
            upstream.server.update(|plan| {
                plan.service = ServiceTime::Fixed { ms: SLOW_WORK.as_millis_f64() };
                let (in_flight, queued, slots, pace_percent) = (0, 0, 1, Some(SLOW_PACE_PERCENT));
                plan.load = LoadAnswer::Fixed { in_flight, queued, slots, pace_percent };
            });
        }
        let mut connection = open(env.gate.caller_address).await;
        let call = connection.call(request(Method::GET, LOOK, "slow", None, PartBody::none()));
        let holding = async {
            wait_until("the call runs", async || env.history("slow").arrived > 0).await;
            match case {
                SlowCase::NoOther => None,
                SlowCase::Full => Some(hold_slot(&env).await),
                SlowCase::Shutdown => {
                    env.gate.process.signal(Signal::TERM);
                    None
                }
            }
        };
        let (answer, _held) = await_event("an answer", async { tokio::join!(call, holding) }).await;
        let status = answer.map_or(0, |answer| answer.status.as_u16());
        assert_eq!((status, env.history("slow").arrived), (200, 1), "{case:?}");
    }
}

/// Makes a call that keeps its slot at an upstream as long as the returned sender of its body exists.
async fn hold_slot(env: &PlatformEnvironment) -> PartSender {
    let (sender, body) = PartBody::announced(HELD_BODY_BYTES as u64);
    sender.send(Bytes::from(vec![b'h'; HELD_BODY_BYTES / 2])).expect("the body is open");
    let mut connection = open(env.gate.caller_address).await;
    let held = request(Method::POST, BOOK, "held", None, body);
    tokio::spawn(async move { connection.call(held).await });
    wait_until("the call arrives", async || env.history("held").arrived == 1).await;
    sender
}

/// Guards against a dropped call that must not run twice and is sent again.
#[tokio::test]
async fn a_dropped_call_that_must_not_run_twice_is_not_sent_again() {
    let timeout = ClockSpan::from_secs(3);
    let env =
        PlatformEnvironment::start(EnvironmentPlan { timeout, ..EnvironmentPlan::default() }).await;
    env.fill_retry_budget("stall").await;
    env.serve_calls("typical", CALLS).await;
    for upstream in &env.upstreams {
        upstream.server.update(|plan| {
            plan.load = LoadAnswer::Idle;
            plan.silent_when_full = true;
            plan.slots = 0;
            plan.queue_limit = 0;
        });
    }
    let unknown = ExpectedEnd { statuses: &[504], runs: 0..=0 };
    env.call_and_check(BOOK, "dropped", &unknown).await.expect("the outcome is unknown");
    assert_eq!(env.history("dropped").arrived, 1);
}

/// Connections that send bytes without end at the same time.
const ENDLESS_CALLS: usize = 100;
/// The most memory that a gateway may use for a call with such an answer: the buffers of its head,
/// of the body that is held back and of the two connections, each twice while it grows.
const ENDLESS_CALL_BYTES: u64 = 2 * (64 + 256 + 2 * 64) * 1024;
/// Calls whose answers would together fill the memory of a small VM, 160 MB, if each took as much.
const MANY_ENDLESS_CALLS: usize = 500;
/// The most memory that a gateway may use for them: half of that of a small VM.
const MANY_ENDLESS_BYTES: u64 = 80 * 1000 * 1000;
/// The timeout of these calls.
const ENDLESS_TIMEOUT: ClockSpan = ClockSpan::from_secs(3);

/// Returns the resident memory of a process in bytes.
fn resident_bytes(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("a status");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("a line");
    let kibibytes = line.split_whitespace().nth(1).expect("a number");
    kibibytes.parse::<u64>().expect("a number") * 1024
}

struct EndlessCase {
    part: EndlessPart,
    /// The statuses that callers may get; 0 stands for an incomplete answer.
    statuses: &'static [u16],
}

/// Guards against bytes without end, in any part of an answer, that fill the memory of the gateway,
/// keep a call beyond its deadline or reach the caller as a complete answer.
#[tokio::test]
async fn endless_answers_are_bounded() {
    let failed = &[0, 502, 504];
    let case = |part, statuses| EndlessCase { part, statuses };
    let cases = [
        case(EndlessPart::Head, failed),
        case(EndlessPart::Interim, failed),
        case(EndlessPart::ChunkLine, failed),
        case(EndlessPart::Trailer, failed),
        case(EndlessPart::Body, failed),
        // The answer is complete before the bytes that do not belong to it.
        case(EndlessPart::Excess, &[200]),
    ];
    for case in cases {
        let grown = check_endless(&case, ENDLESS_CALLS).await;
        assert!(grown <= ENDLESS_CALLS as u64 * ENDLESS_CALL_BYTES, "{:?}: {grown}", case.part);
    }
}

/// Guards against endless answers to many calls that together fill the memory of the gateway, although
/// each of them is bounded.
#[tokio::test]
async fn many_endless_answers_are_bounded_together() {
    let failed = &[0, 502, 504];
    for part in [EndlessPart::Head, EndlessPart::ChunkLine, EndlessPart::Body] {
        let case = EndlessCase { part, statuses: failed };
        let grown = check_endless(&case, MANY_ENDLESS_CALLS).await;
        assert!(grown <= MANY_ENDLESS_BYTES, "{part:?}: {grown}");
    }
}

/// Makes calls at the same time that get endless answers, and requires that later calls are served.
/// Returns by how many bytes the memory of the gateway has grown.
async fn check_endless(case: &EndlessCase, calls: usize) -> u64 {
    let default_plan = EnvironmentPlan::default();
    let connections = 100 * calls as u32;
    let upstream =
        UpstreamPlan { slots: 2 * calls as u32, connections, ..default_plan.upstream.clone() };
    let plan = EnvironmentPlan {
        upstream,
        upstreams: 1,
        timeout: ENDLESS_TIMEOUT,
        retry_ratio: 0.0,
        ..default_plan
    };
    let mut env = PlatformEnvironment::start(plan).await;
    env.configure(|config| config.services[0].connections = connections).await;
    env.serve_calls("before", CALLS).await;
    let process = env.gate.process.id();
    let before = resident_bytes(process);
    let fault = AnswerFault::Endless { part: case.part };
    let rule = FaultRule { fault, ..FaultRule::default() };
    env.upstreams[0].server.update(|plan| plan.faults = vec![rule]);
    let env = &env;
    let calls = (0..calls).map(|index| async move {
        let id = format!("endless-{index}");
        let answer = env.call(BOOK, &id).await;
        let status = answer.as_ref().map_or(0, |answer| answer.status.as_u16());
        assert!(case.statuses.contains(&status), "{:?}: {status}", case.part);
    });
    let mut peak = 0;
    let mut watch = tokio::time::interval(Duration::from_millis(50));
    let mut calls = std::pin::pin!(futures_util::future::join_all(calls));
    loop {
        tokio::select! {
            _ = &mut calls => break,
            _ = watch.tick() => peak = peak.max(resident_bytes(process)),
        }
    }
    let grown = peak.saturating_sub(before);
    println!("{:?}: {grown} bytes", case.part);
    env.upstreams[0].server.update(|plan| plan.faults.clear());
    wait_until("the connections are closed", async || {
        env.upstreams[0].server.counts().connections <= 4
    })
    .await;
    env.serve_calls("after", 4).await;
    grown
}

/// Returns whether every thread of a process is stopped by a signal.
fn is_stopped(process: u32) -> bool {
    let threads = std::fs::read_dir(format!("/proc/{process}/task")).expect("the threads");
    threads.flatten().all(|thread| {
        let stat = std::fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
        // The state follows the name of the program in parentheses.
        stat.rsplit_once(") ").is_some_and(|(_, rest)| rest.starts_with('T'))
    })
}

/// Pauses a gateway while it receives a call, until the deadline of the call has passed. Returns how
/// often the call arrives at an upstream.
async fn arrivals_after_deadline() -> u32 {
    let timeout = ClockSpan::from_secs(1);
    let plan = EnvironmentPlan { timeout, ..EnvironmentPlan::default() };
    let env = PlatformEnvironment::start(plan).await;
    env.serve_calls("before", CALLS).await;
    let (sender, body) = PartBody::announced(2);
    sender.send(Bytes::from_static(b"a")).expect("the body is open");
    let mut connection = open(env.gate.caller_address).await;
    let call = tokio::spawn(async move {
        connection.call(request(Method::POST, BOOK, "late", None, body)).await
    });
    // The gateway has read the head and the first part when it answers a later call.
    env.serve_calls("beside", CALLS).await;
    env.gate.process.signal(Signal::STOP);
    let process = env.gate.process.id();
    wait_until("the process is stopped", async || is_stopped(process)).await;
    sender.send(Bytes::from_static(b"b")).expect("the body is open");
    tokio::time::sleep(2 * timeout.to_duration()).await;
    env.gate.process.signal(Signal::CONT);
    let answer = await_event("an answer", call).await.expect("no panic");
    let status = answer.map_or(0, |answer| answer.status.as_u16());
    assert!([0, 408, 502, 503, 504].contains(&status), "{status}");
    env.history("late").arrived
}

/// Guards against a process that was paused and sends a call whose deadline passed meanwhile.
#[tokio::test]
async fn a_paused_gateway_does_not_send_expired_calls() {
    assert_eq!(arrivals_after_deadline().await, 0);
}

/// When the first call on a connection is made during a shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FirstCall {
    /// Once the gateway accepts no further connections.
    ListenerClosed,
    /// Once the gateway has closed the connection, a little later.
    ConnectionClosed,
}

/// Opens a connection during the shutdown of a gateway and makes its first call. Returns the status,
/// or 0 without an answer.
async fn status_of_late_first_call(disabled: DisabledList, first: FirstCall) -> u16 {
    let plan = EnvironmentPlan { disabled, ..EnvironmentPlan::default() };
    let env = PlatformEnvironment::start(plan).await;
    env.serve_calls("before", CALLS).await;
    env.gate.process.signal(Signal::TERM);
    env.wait_for_readiness(false).await;
    let mut connection = open(env.gate.caller_address).await;
    let address = env.gate.caller_address;
    wait_until("connections are refused", async || CallerConnection::open(address).await.is_err())
        .await;
    if first == FirstCall::ConnectionClosed {
        wait_until("the connection is closed", async || connection.is_closed()).await;
    }
    let call = connection.call(request(Method::POST, BOOK, "first", None, PartBody::none()));
    let answer = await_event("an end", call).await;
    let status = answer.as_ref().map_or(0, |answer| answer.status.as_u16());
    if status > 0 {
        env.check(BOOK, "first", &answer, &ExpectedEnd::SERVED).expect("served");
    }
    status
}

/// Guards against a planned stop that closes connections which it has accepted, but from which it
/// has not read the first request yet. With the mechanism turned off, the gateway must do so. It
/// closes its listener before these connections, and still answers a call in between.
#[tokio::test]
async fn a_shutdown_answers_the_first_call_of_each_connection() {
    assert_eq!(status_of_late_first_call(&[], FirstCall::ListenerClosed).await, 200);
    let status = status_of_late_first_call(&["first-request"], FirstCall::ConnectionClosed).await;
    assert_eq!(status, 0, "the call is answered without the mechanism as well");
}

/// Guards against work that is sent again or given up because its upstream was silent: its row was
/// removed while it ran a call.
#[tokio::test]
async fn calls_at_an_upstream_whose_row_disappears_end_there() {
    for path in [LOOK, BOOK] {
        let service = ServiceTime::Fixed { ms: 3_000.0 };
        let default_plan = EnvironmentPlan::default();
        let upstream = UpstreamPlan { service, ..default_plan.upstream.clone() };
        let env = PlatformEnvironment::start(EnvironmentPlan { upstream, ..default_plan }).await;
        let mut connection = open(env.gate.caller_address).await;
        let call = tokio::spawn(async move {
            connection.call(request(Method::POST, path, "running", None, PartBody::none())).await
        });
        wait_until("the call runs", async || env.history("running").runs == 1).await;
        let runs = |upstream: &&RegisteredUpstream| upstream.server.counts().arrived == 1;
        let silent = env.upstreams.iter().find(runs).expect("an upstream runs the call");
        env.wait_for_rows(silent.writer.remove()).await;
        let answer = await_event("an answer", call).await.expect("no panic");
        env.check(path, "running", &answer, &ExpectedEnd::SERVED).expect("it ends where it ran");
        assert_eq!(env.history("running").arrived, 1, "{path}");
    }
}

/// Guards against an odd entry of another writer that ends a process or keeps it from following the
/// others, in the table of the upstreams or in that of the VMs.
#[tokio::test]
async fn odd_entries_stop_no_process() {
    let mut env = PlatformEnvironment::start(EnvironmentPlan::default()).await;
    let handle = env.store.handle();
    let nested = "[".repeat(30_000) + &"]".repeat(30_000);
    let odd_values = [
        nested.clone(),
        format!("{{\"service\":{nested}}}"),
        "{\"slots\":1e999}".to_owned(),
        "{\"slots\":99999999999999999999999}".to_owned(),
        format!("{{\"address\":\"127.0.0.1:70000\",\"service\":\"{SERVICE}\"}}"),
        "\u{0}".to_owned(),
        "x".repeat(60_000),
    ];
    let address = env.upstreams[0].server.address();
    let vm = |name: &str, incarnation: &str, address: &str| {
        format!(
            "{{\"vm\":{{\"name\":\"{name}\",\"incarnation\":{incarnation},\"centre\":\"x\"}},\
             \"exchange_address\":\"{address}\",\"control_address\":\"{address}\"}}"
        )
    };
    let odd_vms = [
        vm("vm-1", "18446744073709551615", &address.to_string()),
        vm("odd-0", "1", "127.0.0.1:70000"),
        vm("odd-1", "1e999", "127.0.0.1:1"),
        vm("odd-2", "1", "0.0.0.0:0"),
        nested,
    ];
    for (index, value) in odd_values.iter().enumerate() {
        let key = format!("odd-{index}");
        handle.put(RowPath::new(PlatformCodec::UPSTREAM_TABLE, &key), value.clone().into_bytes());
    }
    for (index, value) in odd_vms.iter().enumerate() {
        let key = format!("odd-vm-{index}");
        handle.put(RowPath::new("agateroad_vms", &key), value.clone().into_bytes());
    }
    env.wait_for_rows(handle.version()).await;
    env.serve_calls("beside", 4).await;
    // A VM that starts reads all of them.
    let (_proxy, mut first) = env.replace_gate("vm-2").await;
    for round in 0..2 {
        let name = format!("desk-1{round}");
        env.add_upstream(&name, SERVICE).await;
        let added = &env.upstreams[env.upstreams.len() - 1].server;
        let mut calls = 0;
        // The change may reach this gateway through the other one.
        wait_until("the added upstream gets a call", async || {
            calls += 1;
            let id = format!("{name}-{calls}");
            env.call_and_check(LOOK, &id, &ExpectedEnd::SERVED).await.expect("served");
            added.counts().arrived > 0
        })
        .await;
        assert_eq!(env.readiness().await, Some(StatusCode::OK));
        assert_eq!(env.gate.process.exit_success(), None, "the process runs");
        std::mem::swap(&mut env.gate, &mut first);
    }
}

/// Guards against a call that may run twice, but whose body cannot be sent again, and that is given
/// up at a slow upstream as if it had been dropped.
#[tokio::test]
async fn a_call_whose_body_cannot_be_sent_again_is_not_given_up() {
    let env = PlatformEnvironment::start(EnvironmentPlan::default()).await;
    env.fill_retry_budget("slow").await;
    for upstream in &env.upstreams {
        upstream.server.update(|plan| {
            plan.load = LoadAnswer::Idle;
            plan.service = ServiceTime::Fixed { ms: 2_000.0 };
        });
    }
    let length = 200_000;
    let (sender, body) = PartBody::announced(length as u64);
    sender.send(Bytes::from(vec![b'h'; length])).expect("the body is open");
    drop(sender);
    let mut connection = open(env.gate.caller_address).await;
    let call = connection.call(request(Method::POST, LOOK, "long", None, body));
    let answer = await_event("an answer", call).await;
    env.check(LOOK, "long", &answer, &ExpectedEnd::SERVED).expect("the call is served");
}
