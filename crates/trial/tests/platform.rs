//! Gateway processes with the interface of the users' platform, in front of failing upstreams and
//! a failing store.

#[path = "support/platform.rs"]
mod bed;

use std::ops::RangeInclusive;

use base::prelude::*;
use bed::{ANSWER_BYTES, ATTEMPTS, BOOK, BedPlan, LONG, LOOK, PlatformBed, event};
use platform::stand::{ServerStand, answered_id, is_signed};
use stand::prelude::*;
use trial::prelude::*;

/// Calls until one meets the fault of an upstream. With two upstreams of the same cost, the chance
/// that all go to the other one is below 1 in 10^60.
const MEETING_CALLS: usize = 200;
/// Calls after one that met a fault, and calls to a service with a fault that lasts.
const FURTHER_CALLS: usize = 5;
/// A timeout that passes in a test.
const SHORT: ClockSpan = ClockSpan::from_millis(300);
/// An objective at whose half a slow idempotent call is sent to a second upstream.
const SOON: ClockSpan = ClockSpan::from_millis(200);
/// Answers of this length are passed on while they arrive.
const LONG_ANSWER_BYTES: u64 = 1_000_000;
/// Statuses that promise that a call was not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// What goes wrong.
#[derive(Clone, Copy, Debug)]
enum CaseFault {
    /// One answer of one upstream.
    Answer(AnswerFault),
    /// Every answer of every upstream.
    EveryAnswer(AnswerFault),
    /// One upstream refuses connections.
    Refused,
    /// Every upstream refuses connections.
    EveryRefused,
    /// The address of one upstream changed hands.
    Moved,
    /// The address of every upstream changed hands.
    EveryMoved,
}

/// What the caller gets.
#[derive(Clone, Debug)]
struct CallEnd {
    /// The statuses that are allowed; 0 stands for an answer that is not complete.
    statuses: &'static [u16],
    /// How often the upstreams may run the request.
    runs: RangeInclusive<u32>,
}

/// A fault, the kind of route, and what must become of calls that meet it.
#[derive(Clone, Debug)]
struct FaultCase {
    name: &'static str,
    fault: CaseFault,
    path: &'static str,
    timeout: ClockSpan,
    objective: ClockSpan,
    end: CallEnd,
    /// What becomes of the calls after a fault that does not last.
    after: CallEnd,
}

impl FaultCase {
    fn new(
        name: &'static str,
        fault: CaseFault,
        path: &'static str,
        statuses: &'static [u16],
        runs: RangeInclusive<u32>,
    ) -> Self {
        let end = CallEnd { statuses, runs };
        let after = CallEnd { statuses: &[200], runs: 1..=1 };
        Self { name, fault, path, timeout: LONG, objective: LONG, end, after }
    }
}

fn fault_cases() -> Vec<FaultCase> {
    use AnswerFault as Fault;
    use CaseFault::{Answer, EveryAnswer, EveryMoved, EveryRefused, Moved, Refused};
    let case = FaultCase::new;
    let own_or_lost = || CallEnd { statuses: &[200, 502], runs: 0..=1 };
    let long = "/bytes/1000000";
    vec![
        case("extra bytes", Answer(Fault::Extra { bytes: 100 }), LOOK, &[200], 1..=1),
        case("extra bytes, at most once", Answer(Fault::Extra { bytes: 100 }), BOOK, &[200], 1..=1),
        case("late answer", Answer(Fault::Second), LOOK, &[200], 1..=1),
        FaultCase {
            after: own_or_lost(),
            ..case("late answer, at most once", Answer(Fault::Second), BOOK, &[200], 1..=1)
        },
        case("answer to another", Answer(Fault::Foreign), LOOK, &[200], 2..=2),
        case("answer to another, at most once", Answer(Fault::Foreign), BOOK, &[502], 1..=1),
        case("truncated", Answer(Fault::Truncated { bytes: 5 }), LOOK, &[200], 2..=2),
        case("truncated, at most once", Answer(Fault::Truncated { bytes: 5 }), BOOK, &[502], 1..=1),
        case("truncated late", Answer(Fault::Truncated { bytes: 500_000 }), long, &[0], 1..=1),
        case("unframed", Answer(Fault::Unframed), LOOK, &[200], 1..=1),
        case("unframed, at most once", Answer(Fault::Unframed), BOOK, &[200], 1..=1),
        case("unframed and reset", Answer(Fault::UnframedReset { bytes: 5 }), LOOK, &[200], 2..=2),
        case(
            "unframed and reset, at most once",
            Answer(Fault::UnframedReset { bytes: 5 }),
            BOOK,
            &[502],
            1..=1,
        ),
        case("unsigned", Answer(Fault::Unsigned), LOOK, &[200], 2..=2),
        case("unsigned, at most once", Answer(Fault::Unsigned), BOOK, &[502], 1..=1),
        case("own failure", Answer(Fault::Status { status: 500 }), LOOK, &[200], 2..=2),
        case(
            "own failure, at most once",
            Answer(Fault::Status { status: 500 }),
            BOOK,
            &[500],
            1..=1,
        ),
        case("own rejection", Answer(Fault::Status { status: 404 }), LOOK, &[404], 1..=1),
        case("lost", Answer(Fault::Reset), LOOK, &[200], 2..=2),
        case("lost, at most once", Answer(Fault::Reset), BOOK, &[502], 1..=1),
        case("shed", Answer(Fault::Early { status: 503 }), LOOK, &[200], 1..=1),
        case("shed, at most once", Answer(Fault::Early { status: 503 }), BOOK, &[200], 1..=1),
        case("all shed", EveryAnswer(Fault::Early { status: 503 }), LOOK, &[503], 0..=0),
        case(
            "all shed, at most once",
            EveryAnswer(Fault::Early { status: 503 }),
            BOOK,
            &[503],
            0..=0,
        ),
        FaultCase {
            timeout: SHORT,
            ..case("silent, at most once", Answer(Fault::Silent), BOOK, &[504], 1..=1)
        },
        FaultCase { objective: SOON, ..case("silent", Answer(Fault::Silent), LOOK, &[200], 2..=2) },
        FaultCase {
            timeout: SHORT,
            ..case("all silent", Answer(Fault::Silent), LOOK, &[504], 1..=1)
        },
        case("refused", Refused, LOOK, &[200], 1..=1),
        case("refused, at most once", Refused, BOOK, &[200], 1..=1),
        case("all refused", EveryRefused, LOOK, &[503], 0..=0),
        case("all refused, at most once", EveryRefused, BOOK, &[503], 0..=0),
        case("moved", Moved, LOOK, &[200], 1..=1),
        case("moved, at most once", Moved, BOOK, &[200], 1..=1),
        case("all moved", EveryMoved, LOOK, &[503], 0..=0),
        case("all moved, at most once", EveryMoved, BOOK, &[503], 0..=0),
    ]
}

/// The calls of a case.
struct CaseRun {
    case: FaultCase,
    bed: PlatformBed,
}

impl CaseRun {
    async fn start(case: FaultCase, checks: bool) -> Self {
        let (timeout, objective) = (case.timeout, case.objective);
        let plan = BedPlan { checks, timeout, objective, ..BedPlan::default() };
        let bed = PlatformBed::start(plan).await;
        bed.fill_budget().await;
        Self { case, bed }
    }

    async fn run(&self) -> Result<(), String> {
        self.inject().await;
        match self.case.fault {
            CaseFault::Answer(_) => {
                self.meet().await?;
                for index in 0..FURTHER_CALLS {
                    self.judge(&format!("after-{index}"), &self.case.after).await?;
                }
            }
            _ => {
                for index in 0..FURTHER_CALLS {
                    self.judge(&format!("call-{index}"), &self.case.end).await?;
                }
            }
        }
        Ok(())
    }

    async fn inject(&self) {
        let upstreams = &self.bed.upstreams;
        let first = &upstreams[0].stand;
        match self.case.fault {
            CaseFault::Answer(fault) => {
                first.update(|plan| plan.faults = vec![FaultRule::next(fault, 1)]);
            }
            CaseFault::EveryAnswer(fault) => {
                let rule = FaultRule { fault, ..FaultRule::default() };
                for upstream in upstreams {
                    upstream.stand.update(|plan| plan.faults = vec![rule.clone()]);
                }
            }
            CaseFault::Refused => refuse(first).await,
            CaseFault::EveryRefused => {
                for upstream in upstreams {
                    refuse(&upstream.stand).await;
                }
            }
            CaseFault::Moved => first.update(|plan| plan.name = "another".into()),
            CaseFault::EveryMoved => {
                for upstream in upstreams {
                    upstream.stand.update(|plan| plan.name = "another".into());
                }
            }
        }
    }

    /// Makes calls until one meets the fault, and judges that one.
    async fn meet(&self) -> Result<(), String> {
        let end = &self.case.end;
        // A stall can make a call look slow, so that it is sent to a second upstream.
        let usual = CallEnd { statuses: &[200], runs: 1..=1.max(*end.runs.end()) };
        for index in 0..MEETING_CALLS {
            let id = format!("meet-{index}");
            let answer = self.call(&id).await;
            if self.bed.upstreams[0].stand.counts().faults > 0 {
                return self.check(&id, &answer, end);
            }
            self.check(&id, &answer, &usual)?;
        }
        Err(format!("no call of {MEETING_CALLS} met the fault"))
    }

    async fn judge(&self, id: &str, end: &CallEnd) -> Result<(), String> {
        let answer = self.call(id).await;
        self.check(id, &answer, end)
    }

    async fn call(&self, id: &str) -> Result<CallAnswer, String> {
        let started = tokio::time::Instant::now();
        let answer = self.bed.call(self.case.path, id).await;
        if answer.as_ref().is_ok_and(|answer| answer.status == 504) {
            assert!(started.elapsed() >= self.case.timeout.to_duration(), "504 before the timeout");
        }
        answer
    }

    fn check(
        &self,
        id: &str,
        answer: &Result<CallAnswer, String>,
        end: &CallEnd,
    ) -> Result<(), String> {
        let history = self.bed.history(id);
        let status = answer.as_ref().map_or(0, |answer| answer.status.as_u16());
        let shown = answer.as_ref().map(|answer| String::from_utf8_lossy(&answer.body));
        let seen = || format!("{id}: {status} {:.200?}, {history:?}", shown);
        let require =
            |met: bool, what: &str| if met { Ok(()) } else { Err(format!("{what}: {}", seen())) };
        require(end.statuses.contains(&status), "status")?;
        require(end.runs.contains(&history.runs), "runs")?;
        require(history.runs_at_one <= 1, "runs at one upstream")?;
        require(history.arrived <= ATTEMPTS, "arrivals")?;
        require(!PROMISES.contains(&status) || history.runs == 0, "promise")?;
        let longest = self.case.timeout.as_millis();
        require(history.remaining_ms.iter().all(|left| *left <= longest), "remaining time")?;
        let Ok(answer) = answer else { return Ok(()) };
        require(answered_id(&answer.headers) == Some(id), "id of the answer")?;
        let retry_after = !answer.header("retry-after").is_empty();
        require(status != 503 || retry_after, "time to retry")?;
        if status == 200 {
            require(is_signed(&answer.headers), "signature")?;
            require(answer.header("x-test-nonce") == id, "nonce")?;
            require(is_whole(self.case.path, &answer.body), "body")?;
        }
        Ok(())
    }
}

fn is_whole(path: &str, body: &[u8]) -> bool {
    let length = if path.starts_with("/bytes") { LONG_ANSWER_BYTES } else { ANSWER_BYTES };
    body.len() as u64 == length && body.iter().all(|byte| *byte == b'a')
}

/// Ends an upstream, and waits until its connections are closed and new ones are refused.
async fn refuse(stand: &ServerStand) {
    stand.update(|plan| plan.restart_ms = None);
    stand.crash();
    event("connections are refused", stand.wait_listening(false)).await;
    event("connections are closed", stand.wait_for(|counts, _| counts.connections == 0)).await;
}

async fn run_cases(checks: bool) {
    let mut failures = Vec::new();
    for case in fault_cases() {
        let name = case.name;
        if let Err(reason) = CaseRun::start(case, checks).await.run().await {
            failures.push(format!("{name}: {reason}"));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against broken answers that reach callers, against calls that run too often, and against
/// statuses that promise too much, with upstreams that are checked right before calls.
#[tokio::test]
async fn failing_upstreams_with_checks() {
    run_cases(true).await;
}

/// Guards against the same where the budget leaves no checks, so that calls meet each fault.
#[tokio::test]
async fn failing_upstreams_without_checks() {
    run_cases(false).await;
}
