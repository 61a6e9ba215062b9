//! Each switch of the upstream stand-in shows the fault that it makes.

mod support;

use stand::prelude::*;
use support::{Call, Caller, Reply, call};

/// Longer than any test runs.
const HOUR_MS: u64 = 3_600_000;
const HOUR: ServiceTime = ServiceTime::Fixed { ms: HOUR_MS as f64 };

struct AnswerCase {
    name: &'static str,
    plan: UpstreamPlan,
    call: Call,
    status: u16,
    /// Header and its value; an empty value means that the header must be absent.
    headers: &'static [(&'static str, &'static str)],
    check: fn(&Reply, &UpstreamCounts) -> bool,
}

const WORK: Call = Call::get("/phase/today");
const HEALTH: Call = Call::get("/agateroad/health");

fn answer_cases() -> Vec<AnswerCase> {
    let plan = UpstreamPlan::default;
    let drain = |health_fails_after_ms, grace_ms| UpstreamPlan {
        drain: Some(DrainPlan { health_fails_after_ms, grace_ms }),
        ..plan()
    };
    vec![
        AnswerCase {
            name: "ordinary answer",
            plan: plan(),
            call: WORK.with(&[("x-test-nonce", "n1"), ("idempotency-key", "k1")]),
            status: 200,
            headers: &[
                ("x-test-nonce", "n1"),
                ("agateroad-load", "0/6/0"),
                ("agateroad-drain", ""),
                ("agateroad-shed", ""),
            ],
            check: |reply, counts| {
                reply.body.len() == 16 && counts.of_key("k1") == 1 && counts.of_nonce("n1") == 1
            },
        },
        AnswerCase {
            name: "echo",
            plan: plan(),
            call: Call::post("/echo", "some bytes"),
            status: 200,
            headers: &[],
            check: |reply, _| reply.body == "some bytes",
        },
        AnswerCase {
            name: "generated body",
            plan: plan(),
            call: Call::get("/bytes/1000003"),
            status: 200,
            headers: &[("content-length", "1000003")],
            check: |reply, _| reply.body.len() == 1_000_003,
        },
        AnswerCase {
            name: "full queue sheds",
            plan: UpstreamPlan { slots: 0, queue_limit: 0, ..plan() },
            call: WORK,
            status: 503,
            headers: &[("agateroad-shed", "1")],
            check: |_, counts| counts.shed == 1 && counts.executed == 0,
        },
        AnswerCase {
            name: "deadline passes in the queue",
            plan: UpstreamPlan { slots: 0, queue_limit: 1, ..plan() },
            call: WORK.with(&[("agateroad-deadline-ms", "1")]),
            status: 503,
            headers: &[("agateroad-shed", "1")],
            check: |_, counts| counts.expired == 1 && counts.executed == 0,
        },
        AnswerCase {
            name: "fail fast",
            plan: UpstreamPlan { mode: UpstreamMode::FailFast, ..plan() },
            call: WORK,
            status: 500,
            headers: &[("agateroad-shed", "")],
            check: |_, counts| counts.failed_fast == 1 && counts.executed == 0,
        },
        AnswerCase {
            name: "fail fast with good health",
            plan: UpstreamPlan { mode: UpstreamMode::FailFast, ..plan() },
            call: HEALTH,
            status: 200,
            headers: &[],
            check: |_, counts| counts.probes == 1,
        },
        AnswerCase {
            name: "drain begins",
            plan: drain(HOUR_MS, HOUR_MS),
            call: WORK,
            status: 200,
            headers: &[("agateroad-drain", "1")],
            check: |_, counts| counts.executed == 1 && counts.arrived_draining == 1,
        },
        AnswerCase {
            name: "drain with good health",
            plan: drain(HOUR_MS, HOUR_MS),
            call: HEALTH,
            status: 200,
            headers: &[("agateroad-drain", "1")],
            check: |_, _| true,
        },
        AnswerCase {
            name: "drain with bad health",
            plan: drain(0, HOUR_MS),
            call: HEALTH,
            status: 503,
            headers: &[("agateroad-drain", "1")],
            check: |_, _| true,
        },
        AnswerCase {
            name: "drain past the grace time",
            plan: drain(0, 0),
            call: WORK,
            status: 503,
            headers: &[("agateroad-drain", "1"), ("agateroad-shed", "1")],
            check: |_, counts| counts.executed == 0 && counts.shed == 1,
        },
        AnswerCase {
            name: "no load report",
            plan: UpstreamPlan { load: LoadAnswer::Silent, ..plan() },
            call: Call::get("/agateroad/load"),
            status: 404,
            headers: &[("agateroad-load", "")],
            check: |_, _| true,
        },
        AnswerCase {
            name: "load with an id",
            plan: plan(),
            call: Call::get("/agateroad/load").with(&[("agateroad-request-id", "check-1")]),
            status: 200,
            headers: &[("agateroad-request-id", "check-1")],
            check: |_, _| true,
        },
        AnswerCase {
            name: "health with an id that is not echoed",
            plan: UpstreamPlan { echo_checks: false, ..plan() },
            call: HEALTH.with(&[("agateroad-request-id", "check-1")]),
            status: 200,
            headers: &[("agateroad-request-id", "")],
            check: |_, _| true,
        },
        AnswerCase {
            name: "work with an id",
            plan: plan(),
            call: WORK.with(&[("agateroad-request-id", "call-1")]),
            status: 200,
            headers: &[("agateroad-request-id", "")],
            check: |_, _| true,
        },
        AnswerCase {
            name: "probe in a slot",
            plan: UpstreamPlan { probe_ms: 1, ..plan() },
            call: HEALTH,
            status: 200,
            headers: &[],
            check: |_, counts| counts.probe_slot_ms == 1.0 && counts.executed == 0,
        },
        AnswerCase {
            name: "cold",
            plan: UpstreamPlan {
                service: ServiceTime::Fixed { ms: 1.0 },
                cold: Some(ColdStart { for_ms: HOUR_MS, factor: 3.0 }),
                ..plan()
            },
            call: WORK,
            status: 200,
            headers: &[],
            check: |_, counts| counts.slot_ms == 3.0,
        },
        AnswerCase {
            name: "warm",
            plan: UpstreamPlan {
                service: ServiceTime::Fixed { ms: 1.0 },
                cold: Some(ColdStart { for_ms: 0, factor: 3.0 }),
                ..plan()
            },
            call: WORK,
            status: 200,
            headers: &[],
            check: |_, counts| counts.slot_ms == 1.0,
        },
        AnswerCase {
            name: "unknown request to cancel",
            plan: plan(),
            call: Call::post("/agateroad/cancel/r1", ""),
            status: 200,
            headers: &[],
            check: |reply, counts| reply.json()["confirmed"] == false && counts.cancel_denied == 1,
        },
    ]
}

/// Guards against a switch without effect, and against a refusal that ran all the same.
#[tokio::test]
async fn answers_follow_the_plan() {
    for case in answer_cases() {
        let stand = UpstreamStand::start(case.plan).await.unwrap();
        let reply = call(stand.address(), case.call).await.expect(case.name);
        assert_eq!(reply.status, case.status, "{}", case.name);
        for (name, value) in case.headers {
            assert_eq!(reply.header(name).unwrap_or(""), *value, "{}: {name}", case.name);
        }
        let counts = stand.counts();
        assert!((case.check)(&reply, &counts), "{}: {reply:?} {counts:?}", case.name);
    }
}

struct LoadCase {
    load: LoadAnswer,
    header: &'static str,
}

/// Guards against a misleading report that tells the truth, and the other way round.
#[tokio::test]
async fn load_reports_lag_or_mislead() {
    let cases = [
        LoadCase { load: LoadAnswer::Honest { lag_ms: 0 }, header: "2/2/1" },
        LoadCase { load: LoadAnswer::Honest { lag_ms: HOUR_MS }, header: "0/2/0" },
        LoadCase { load: LoadAnswer::Idle, header: "0/2/0" },
    ];
    for case in cases {
        let plan = UpstreamPlan { slots: 2, service: HOUR, load: case.load, ..Default::default() };
        let stand = UpstreamStand::start(plan).await.unwrap();
        for _ in 0..3 {
            tokio::spawn(call(stand.address(), WORK));
        }
        stand.wait_for(|_, figures| figures.in_flight == 2 && figures.queued == 1).await;
        let reply = call(stand.address(), Call::get("/agateroad/load")).await.unwrap();
        assert_eq!(reply.header("agateroad-load"), Some(case.header), "{:?}", case.load);
        let json = reply.json();
        let text = format!("{}/{}/{}", json["in_flight"], json["slots"], json["queued"]);
        assert_eq!(text, case.header, "{:?}", case.load);
    }
}

struct CancelCase {
    confirms: bool,
    status: u16,
    executed: u64,
}

/// Guards against a confirmed cancellation whose request runs later.
#[tokio::test]
async fn confirmed_cancellations_never_run() {
    let cases = [
        CancelCase { confirms: true, status: 503, executed: 0 },
        CancelCase { confirms: false, status: 200, executed: 1 },
    ];
    for case in cases {
        // Without slots, requests wait until the plan changes.
        let plan = UpstreamPlan { slots: 0, confirm_cancel: case.confirms, ..Default::default() };
        let stand = UpstreamStand::start(plan).await.unwrap();
        let waiting = WORK.with(&[("agateroad-request-id", "r1")]);
        let task = tokio::spawn(call(stand.address(), waiting));
        stand.wait_for(|_, figures| figures.queued == 1).await;
        let cancel = Call::post("/agateroad/cancel/r1", "");
        let reply = call(stand.address(), cancel).await.unwrap();
        assert_eq!(reply.json()["confirmed"], case.confirms);
        stand.update(|plan| plan.slots = 1);
        let reply = task.await.unwrap().unwrap();
        assert_eq!(reply.status, case.status);
        assert_eq!(reply.header("agateroad-shed").is_some(), case.confirms);
        assert_eq!(stand.counts().executed, case.executed);
        let again = call(stand.address(), cancel).await.unwrap();
        assert_eq!(again.json()["confirmed"], false, "it is no longer queued");
    }
}

struct CrashCase {
    name: &'static str,
    call: Call,
    crashes: u64,
}

/// Guards against a crash that leaves a connection or a slot behind, or that restarts warm.
#[tokio::test]
async fn marked_requests_crash_the_upstream() {
    let cases = [
        CrashCase { name: "query", call: Call::get("/phase/x?crash=1"), crashes: 1 },
        CrashCase { name: "header", call: WORK.with(&[("x-test-crash", "1")]), crashes: 1 },
        CrashCase { name: "body", call: Call::post("/booking/x", "a crash=1 b"), crashes: 1 },
        CrashCase { name: "unmarked", call: Call::post("/booking/x", "crash=0"), crashes: 0 },
    ];
    for case in cases {
        let plan = UpstreamPlan {
            slots: 1,
            restart_ms: None,
            cold: Some(ColdStart { for_ms: HOUR_MS, factor: 5.0 }),
            ..Default::default()
        };
        let stand = UpstreamStand::start(plan).await.unwrap();
        let mut bystander = Caller::connect(stand.address()).await.unwrap();
        assert!(bystander.call(WORK).await.is_some(), "{}", case.name);
        let reply = call(stand.address(), case.call).await;
        let crashed = case.crashes == 1;
        assert_eq!(reply.is_none(), crashed, "{}", case.name);
        assert_eq!(stand.counts().crashes, case.crashes, "{}", case.name);
        assert_eq!(bystander.call(WORK).await.is_none(), crashed, "{}", case.name);
        if crashed {
            stand.wait_listening(false).await;
            assert!(Caller::connect(stand.address()).await.is_none(), "{}", case.name);
            stand.update(|plan| plan.service = ServiceTime::Fixed { ms: 1.0 });
            stand.restart();
            stand.wait_listening(true).await;
            assert!(call(stand.address(), WORK).await.is_some(), "{}", case.name);
            assert_eq!(stand.counts().slot_ms, 5.0, "{}", case.name);
        }
    }
}

/// Guards against a planned restart that never comes.
#[tokio::test]
async fn crashes_end_by_themselves() {
    let plan = UpstreamPlan { restart_ms: Some(1), ..Default::default() };
    let stand = UpstreamStand::start(plan).await.unwrap();
    stand.crash();
    stand.wait_for(|counts, _| counts.restarts == 1).await;
    stand.wait_listening(true).await;
    assert!(call(stand.address(), WORK).await.is_some());
    assert_eq!(stand.counts().crashes, 1);
}

/// Guards against frozen requests that are answered after the freeze, and frozen new connections.
#[tokio::test]
async fn frozen_requests_are_never_answered() {
    let plan = UpstreamPlan { mode: UpstreamMode::Freeze, ..Default::default() };
    let stand = UpstreamStand::start(plan).await.unwrap();
    let frozen = tokio::spawn(call(stand.address(), WORK));
    stand.wait_for(|counts, _| counts.frozen == 1).await;
    stand.update(|plan| plan.mode = UpstreamMode::Serve);
    assert!(call(stand.address(), WORK).await.is_some());
    assert!(!frozen.is_finished());
    frozen.abort();
    stand.wait_for(|counts, _| counts.connections == 0).await;
    assert_eq!(stand.counts().executed, 1);
}

struct NoiseCase {
    name: &'static str,
    slots: u32,
    factor: f64,
    queued: u32,
    slot_ms: f64,
}

/// Guards against a neighbour that takes nothing, or gives nothing back.
#[tokio::test]
async fn neighbours_take_slots_or_slow_work_down() {
    let cases = [
        NoiseCase { name: "slots", slots: 6, factor: 1.0, queued: 1, slot_ms: 1.0 },
        NoiseCase { name: "factor", slots: 0, factor: 7.0, queued: 0, slot_ms: 7.0 },
    ];
    for case in cases {
        let noise = NoisePlan {
            every_ms: 0.0,
            for_ms: HOUR_MS as f64,
            slots: case.slots,
            factor: case.factor,
        };
        let service = ServiceTime::Fixed { ms: 1.0 };
        let plan = UpstreamPlan { service, noise: Some(noise), ..Default::default() };
        let stand = UpstreamStand::start(plan).await.unwrap();
        stand.wait_for(|counts, _| counts.bursts == 1).await;
        let task = tokio::spawn(call(stand.address(), WORK));
        let (queued, done) = (case.queued, 1 - u64::from(case.queued));
        stand
            .wait_for(|counts, figures| figures.queued == queued && counts.completed == done)
            .await;
        stand.update(|plan| plan.noise = None);
        assert!(task.await.unwrap().is_some(), "{}", case.name);
        assert_eq!(stand.counts().slot_ms, case.slot_ms, "{}", case.name);
    }
}

/// Guards against an upstream that holds more connections than it can.
#[tokio::test]
async fn connections_are_limited() {
    let plan = UpstreamPlan { connections: 1, ..Default::default() };
    let stand = UpstreamStand::start(plan).await.unwrap();
    let mut first = Caller::connect(stand.address()).await.unwrap();
    assert!(first.call(WORK).await.is_some());
    assert!(call(stand.address(), WORK).await.is_none());
    assert!(first.call(WORK).await.is_some());
    let counts = stand.counts();
    assert_eq!((counts.connections_refused, counts.connections_peak), (1, 1));
    drop(first);
    stand.wait_for(|counts, _| counts.connections == 0).await;
    assert!(call(stand.address(), WORK).await.is_some());
}

struct LeaverCase {
    name: &'static str,
    slots: u32,
    withdrawn: u64,
    in_flight: u32,
}

/// Guards against queued work that runs although its caller left, and against running work that
/// gives its slot back early.
#[tokio::test]
async fn callers_may_leave() {
    let cases = [
        LeaverCase { name: "queued", slots: 0, withdrawn: 1, in_flight: 0 },
        LeaverCase { name: "running", slots: 1, withdrawn: 0, in_flight: 1 },
    ];
    for case in cases {
        let plan = UpstreamPlan { slots: case.slots, service: HOUR, ..Default::default() };
        let stand = UpstreamStand::start(plan).await.unwrap();
        let task = tokio::spawn(call(stand.address(), WORK));
        stand.wait_for(|_, figures| figures.queued + figures.in_flight == 1).await;
        task.abort();
        stand.wait_for(|counts, _| counts.connections == 0).await;
        stand.update(|plan| plan.slots = 1);
        assert_eq!(stand.counts().withdrawn, case.withdrawn, "{}", case.name);
        assert_eq!(stand.figures().in_flight, case.in_flight, "{}", case.name);
    }
}

/// Guards against an admin call that resets the fields it does not name.
#[tokio::test]
async fn admin_changes_the_named_fields() {
    let plan = UpstreamPlan { slots: 3, ..Default::default() };
    let stand = UpstreamStand::start(plan.clone()).await.unwrap();
    let change = Call::post("/admin/plan", r#"{"mode":"fail_fast"}"#);
    assert_eq!(call(stand.admin_address(), change).await.unwrap().status, 200);
    assert_eq!(stand.plan(), UpstreamPlan { mode: UpstreamMode::FailFast, ..plan });
    for wrong in [r#"{"mode":"no such mode"}"#, r#"{"no_such_field":1}"#, "not JSON"] {
        let reply = call(stand.admin_address(), Call::post("/admin/plan", wrong)).await.unwrap();
        assert_eq!(reply.status, 400, "{wrong}");
    }
    assert_eq!(call(stand.address(), WORK).await.unwrap().status, 500);
    let counts = call(stand.admin_address(), Call::get("/admin/counts")).await.unwrap();
    assert_eq!(counts.json()["failed_fast"], 1);
    assert_eq!(serde_json::from_slice::<UpstreamCounts>(&counts.body).unwrap(), stand.counts());
}

/// Guards against a service time that is counted but not spent. Time is virtual.
#[tokio::test(start_paused = true)]
async fn service_takes_its_time() {
    let plan = UpstreamPlan { service: ServiceTime::Fixed { ms: 60_000.0 }, ..Default::default() };
    let stand = UpstreamStand::start(plan).await.unwrap();
    let start = tokio::time::Instant::now();
    assert!(call(stand.address(), WORK).await.is_some());
    assert!(start.elapsed().as_secs() >= 60, "{:?}", start.elapsed());
}
