//! Checks of a run's ledger: each broken promise is found, and outcomes that the rules allow are
//! not.

use base::prelude::*;
use soak::prelude::*;

/// The process that most calls are sent to.
const PROCESS: ProcessId = ProcessId { vm: 1, incarnation: 1 };
/// The upstream that observes most calls.
const UPSTREAM: usize = 4;

const OWN_ANSWER: SeenAnswer = SeenAnswer { status: 200, own: true, signed: true, whole: true };

fn ms(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn span(millis: u64) -> ClockSpan {
    ClockSpan::from_millis(millis)
}

/// Builds a ledger whose calls have consecutive numbers as ids. Times are in milliseconds.
#[derive(Default)]
struct LedgerBuilder {
    ledger: Ledger,
    calls: u32,
}

impl LedgerBuilder {
    /// Adds a call to `PROCESS` on a new connection and returns its id.
    fn add_call(
        &mut self,
        kind: CallKind,
        sent: u64,
        ended: Option<(u64, CallerOutcome)>,
    ) -> String {
        self.add_call_to(PROCESS, kind, true, sent, ended)
    }

    fn add_call_to(
        &mut self,
        process: ProcessId,
        kind: CallKind,
        new_connection: bool,
        sent: u64,
        ended: Option<(u64, CallerOutcome)>,
    ) -> String {
        self.calls += 1;
        let id = self.calls.to_string();
        self.ledger.record_sent(
            id.as_str().into(),
            SentCall { process, kind, new_connection },
            ms(sent),
        );
        if let Some((at, end)) = ended {
            self.ledger.record_outcome(&id, end, ms(at));
        }
        id
    }

    fn observe(&mut self, upstream: usize, id: &str, arrivals: u32, runs: u32) {
        let observation = RequestObservation { arrivals, runs, ..RequestObservation::default() };
        self.ledger.record_observation(upstream, id, observation);
    }

    fn observe_drained(&mut self, id: &str, age: u64) {
        let drain_ages = vec![span(age)];
        let observation = RequestObservation {
            arrivals: 1,
            runs: 1,
            drain_ages,
            ..RequestObservation::default()
        };
        self.ledger.record_observation(UPSTREAM, id, observation);
    }

    fn add_versioned_call(&mut self, process: ProcessId, sent: u64, ended: u64, version: u64) {
        let end = Some((ended, CallerOutcome::Answered(OWN_ANSWER)));
        let id = self.add_call_to(process, CallKind::Mark, false, sent, end);
        let version = Some(version);
        let observation =
            RequestObservation { arrivals: 1, runs: 1, version, ..RequestObservation::default() };
        self.ledger.record_observation(UPSTREAM, &id, observation);
    }
}

fn answered(answer: SeenAnswer) -> Option<(u64, CallerOutcome)> {
    Some((200, CallerOutcome::Answered(answer)))
}

fn refused(status: u16) -> Option<(u64, CallerOutcome)> {
    answered(SeenAnswer { status, own: true, signed: false, whole: false })
}

/// A ledger and the promises that must be found broken.
struct LedgerCase {
    name: &'static str,
    build: fn(&mut LedgerBuilder),
    broken: &'static [Promise],
}

fn case(
    name: &'static str,
    broken: &'static [Promise],
    build: fn(&mut LedgerBuilder),
) -> LedgerCase {
    LedgerCase { name, build, broken }
}

fn check(cases: &[LedgerCase]) {
    for case in cases {
        let mut builder = LedgerBuilder::default();
        (case.build)(&mut builder);
        let broken = builder.ledger.broken_promises();
        let promises: Vec<Promise> = broken.iter().map(|found| found.promise).collect();
        assert_eq!(promises, case.broken, "{}: {broken:?}", case.name);
    }
}

/// Adds a lookup that is sent at 100 ms and ends at 200 ms.
fn add_lookup(builder: &mut LedgerBuilder, ended: Option<(u64, CallerOutcome)>) {
    builder.add_call(CallKind::Look, 100, ended);
}

/// Adds a call with the observations of the upstreams: the upstream, arrivals and runs.
fn add_runs(
    builder: &mut LedgerBuilder,
    kind: CallKind,
    ended: Option<(u64, CallerOutcome)>,
    observations: &[(usize, u32, u32)],
) {
    let id = builder.add_call(kind, 100, ended);
    for (upstream, arrivals, runs) in observations {
        builder.observe(*upstream, &id, *arrivals, *runs);
    }
}

/// Guards against a check that accepts a partial answer or another call's answer, or that rejects an
/// error answer of the gateway.
#[test]
fn callers_get_their_own_complete_answers() {
    check(&[
        case("the complete answer to its own call", &[], |builder| {
            add_lookup(builder, answered(OWN_ANSWER))
        }),
        case("another call's answer", &[Promise::OwnAnswer], |builder| {
            add_lookup(builder, answered(SeenAnswer { own: false, ..OWN_ANSWER }))
        }),
        case("a partial answer with complete framing", &[Promise::OwnAnswer], |builder| {
            add_lookup(builder, answered(SeenAnswer { whole: false, ..OWN_ANSWER }))
        }),
        case("a success that no upstream has signed", &[Promise::OwnAnswer], |builder| {
            add_lookup(builder, answered(SeenAnswer { signed: false, ..OWN_ANSWER }))
        }),
        case("a refusal of the gateway", &[], |builder| add_lookup(builder, refused(502))),
        case("another call's refusal", &[Promise::OwnAnswer], |builder| {
            let answer = SeenAnswer { status: 502, own: false, signed: false, whole: false };
            builder.add_call(CallKind::Look, 100, answered(answer));
        }),
        case("a connection that ended early", &[], |builder| {
            add_lookup(builder, Some((200, CallerOutcome::Lost)))
        }),
    ]);
}

/// Guards against a check that misses a second run of a non-idempotent call, also at another
/// upstream, or a run of a call whose answer states that it was not run.
#[test]
fn runs_are_counted_over_all_upstreams() {
    check(&[
        case("one run", &[], |builder| {
            add_runs(builder, CallKind::Book, answered(OWN_ANSWER), &[(0, 1, 0), (1, 1, 1)])
        }),
        case("two runs at two upstreams", &[Promise::AtMostOnce], |builder| {
            add_runs(builder, CallKind::Book, answered(OWN_ANSWER), &[(0, 1, 1), (1, 1, 1)])
        }),
        case("two runs at one upstream, and no answer yet", &[Promise::AtMostOnce], |builder| {
            add_runs(builder, CallKind::Book, None, &[(0, 2, 2)])
        }),
        case("two runs of an idempotent call", &[], |builder| {
            add_runs(builder, CallKind::Look, answered(OWN_ANSWER), &[(0, 2, 2)])
        }),
        case("not run, and the answer states so", &[], |builder| {
            add_runs(builder, CallKind::Book, refused(503), &[(0, 1, 0)])
        }),
        case("run, and the answer states that it was not", &[Promise::NotRun], |builder| {
            add_runs(builder, CallKind::Book, refused(503), &[(0, 1, 1)])
        }),
        case(
            "an idempotent call, run, and the answer states that it was not",
            &[Promise::NotRun],
            |builder| add_runs(builder, CallKind::Look, refused(429), &[(0, 1, 1)]),
        ),
        case("run after the answer that states that it was not", &[Promise::NotRun], |builder| {
            add_runs(builder, CallKind::Look, refused(408), &[(0, 0, 0), (0, 1, 1)])
        }),
        case("run, and the answer leaves open whether it was", &[], |builder| {
            add_runs(builder, CallKind::Book, refused(504), &[(0, 1, 1)])
        }),
    ]);
}

/// Adds a drain that starts at 10 s and a call that arrives `age` milliseconds later.
fn add_drained_call(builder: &mut LedgerBuilder, age: u64) {
    builder.ledger.record_drain(UPSTREAM, ms(10_000), ms(10_010));
    let id = builder.add_call(CallKind::Look, 10_000 + age - 5, None);
    builder.observe_drained(&id, age);
}

fn add_disruption(builder: &mut LedgerBuilder, part: DisruptedPart, from: u64, to: u64) {
    builder.ledger.disruptions.add(part, ms(from), ms(to));
}

/// Guards against a check that misses new calls on a draining upstream, because it exempts calls
/// after disruptions of other parts or outside the stable window.
#[test]
fn a_draining_upstream_gets_no_calls_after_the_bound() {
    check(&[
        case("in time", &[], |builder| add_drained_call(builder, 2_000)),
        case("late", &[Promise::Drain], |builder| add_drained_call(builder, 2_100)),
        case("within the stable window after an outage of the store", &[], |builder| {
            add_drained_call(builder, 4_900);
            add_disruption(builder, DisruptedPart::Store, 11_000, 12_000);
        }),
        case("after the stable window", &[Promise::Drain], |builder| {
            add_drained_call(builder, 5_100);
            add_disruption(builder, DisruptedPart::Store, 11_000, 12_000);
        }),
        case("an outage that began after the bound", &[Promise::Drain], |builder| {
            add_drained_call(builder, 2_500);
            add_disruption(builder, DisruptedPart::Store, 12_100, 12_400);
        }),
        case("an outage that has not ended", &[], |builder| {
            add_drained_call(builder, 4_900);
            builder.ledger.disruptions.begin(DisruptedPart::Store, ms(9_000));
        }),
        case("outages in a series", &[], |builder| {
            add_drained_call(builder, 6_500);
            add_disruption(builder, DisruptedPart::Store, 11_500, 12_000);
            add_disruption(builder, DisruptedPart::Store, 13_500, 14_000);
        }),
        case("the gateway was cut off from the store", &[], |builder| {
            add_drained_call(builder, 2_500);
            add_disruption(builder, DisruptedPart::StoreLink(PROCESS.vm), 10_500, 10_600);
        }),
        case("another gateway was cut off from the store", &[Promise::Drain], |builder| {
            add_drained_call(builder, 2_500);
            add_disruption(builder, DisruptedPart::StoreLink(PROCESS.vm + 1), 10_500, 10_600);
        }),
        case(
            "the upstream was faulty, which does not hide its drain",
            &[Promise::Drain],
            |builder| {
                add_drained_call(builder, 2_500);
                add_disruption(builder, DisruptedPart::Upstream(UPSTREAM), 10_500, 10_600);
            },
        ),
        case("a second drain", &[Promise::Drain], |builder| {
            builder.ledger.record_drain(UPSTREAM, ms(1_000), ms(1_000));
            add_drained_call(builder, 2_500);
        }),
    ]);
}

/// Adds a process that gets SIGTERM at 1 s and a call that is lost at 1.3 s. Returns the id of the
/// call.
fn add_stopped_call(
    builder: &mut LedgerBuilder,
    kind: CallKind,
    new_connection: bool,
    sent: u64,
    arrivals: u32,
) -> String {
    builder.ledger.record_stop(PROCESS, ms(1_000));
    let id = builder.add_call_to(
        PROCESS,
        kind,
        new_connection,
        sent,
        Some((1_300, CallerOutcome::Lost)),
    );
    builder.observe(UPSTREAM, &id, arrivals, arrivals);
    id
}

/// Guards against a check that misses a graceful shutdown which interrupts calls, fails or never
/// ends, or a process that exits without SIGTERM.
#[test]
fn a_graceful_shutdown_interrupts_no_call() {
    check(&[
        case("a call that was running", &[Promise::GracefulStop], |builder| {
            add_stopped_call(builder, CallKind::Look, false, 900, 1);
        }),
        case(
            "a call that was accepted while the process was shutting down",
            &[Promise::GracefulStop],
            |builder| {
                add_stopped_call(builder, CallKind::Look, false, 1_100, 1);
            },
        ),
        case(
            "a call on a new connection that did not run yet",
            &[Promise::GracefulStop],
            |builder| {
                add_stopped_call(builder, CallKind::Look, true, 990, 0);
            },
        ),
        case("a call on an idle connection that the process was closing", &[], |builder| {
            add_stopped_call(builder, CallKind::Look, false, 1_290, 0);
        }),
        case("a call that was lost before SIGTERM", &[], |builder| {
            let id = add_stopped_call(builder, CallKind::Look, true, 500, 1);
            builder.ledger.record_outcome(&id, CallerOutcome::Lost, ms(900));
        }),
        case("a call whose connection was reset", &[], |builder| {
            add_stopped_call(builder, CallKind::Look, true, 900, 1);
            add_disruption(builder, DisruptedPart::CallerLink(PROCESS.vm), 1_200, 1_200);
        }),
        case("a reset at another gateway", &[Promise::GracefulStop], |builder| {
            add_stopped_call(builder, CallKind::Look, true, 900, 1);
            add_disruption(builder, DisruptedPart::CallerLink(PROCESS.vm + 1), 1_200, 1_200);
        }),
        case("a process that was killed while it was shutting down", &[], |builder| {
            add_stopped_call(builder, CallKind::Look, true, 900, 1);
            builder.ledger.record_kill(PROCESS);
        }),
        case("a long answer whose upstream crashed", &[], |builder| {
            add_stopped_call(builder, CallKind::Bulk, true, 900, 1);
            add_disruption(builder, DisruptedPart::Upstream(UPSTREAM), 1_200, 1_250);
        }),
        case("a long answer over a slow connection", &[Promise::GracefulStop], |builder| {
            add_stopped_call(builder, CallKind::Bulk, true, 900, 1);
            add_disruption(builder, DisruptedPart::SlowLink(UPSTREAM), 1_200, 1_250);
        }),
        case("a long answer that ended at the timeout of its route", &[], |builder| {
            let id = add_stopped_call(builder, CallKind::Bulk, true, 900, 1);
            builder.ledger.record_outcome(&id, CallerOutcome::Lost, ms(2_410));
        }),
        case("a short answer whose upstream crashed", &[Promise::GracefulStop], |builder| {
            add_stopped_call(builder, CallKind::Look, true, 900, 1);
            add_disruption(builder, DisruptedPart::Upstream(UPSTREAM), 1_200, 1_250);
        }),
        case("an exit with a failure", &[Promise::GracefulStop], |builder| {
            builder.ledger.record_stop(PROCESS, ms(1_000));
            builder.ledger.record_exit(PROCESS, false);
        }),
        case("no exit", &[Promise::GracefulStop], |builder| {
            builder.ledger.record_stop(PROCESS, ms(1_000));
            builder.ledger.record_no_exit(PROCESS);
        }),
        case("an exit with success", &[], |builder| {
            builder.ledger.record_stop(PROCESS, ms(1_000));
            builder.ledger.record_exit(PROCESS, true);
        }),
        case("an exit without SIGTERM", &[Promise::StaysUp], |builder| {
            builder.ledger.record_exit(PROCESS, true)
        }),
    ]);
}

/// Guards against a check that misses a process which goes back to an older configuration, or that
/// compares calls that overlap or belong to different processes.
#[test]
fn a_process_never_returns_to_an_older_version() {
    const NEXT: ProcessId = ProcessId { incarnation: PROCESS.incarnation + 1, ..PROCESS };
    check(&[
        case("it grows", &[], |builder| {
            builder.add_versioned_call(PROCESS, 100, 110, 3);
            builder.add_versioned_call(PROCESS, 120, 130, 6);
        }),
        case("it falls", &[Promise::VersionOrder], |builder| {
            builder.add_versioned_call(PROCESS, 100, 110, 6);
            builder.add_versioned_call(PROCESS, 120, 130, 3);
        }),
        case("two calls at once", &[], |builder| {
            builder.add_versioned_call(PROCESS, 100, 130, 6);
            builder.add_versioned_call(PROCESS, 120, 140, 3);
        }),
        case("another process", &[], |builder| {
            builder.add_versioned_call(PROCESS, 100, 110, 6);
            builder.add_versioned_call(NEXT, 120, 130, 3);
        }),
    ]);
}

/// Guards against a check that misses a VM which applies a version late, or that reports one that was
/// disrupted or cannot know the version.
#[test]
fn a_version_is_applied_in_time() {
    fn write_versions(builder: &mut LedgerBuilder, versions: &[(u64, u64)]) {
        for (version, at) in versions {
            builder.ledger.record_version(*version, ms(*at));
        }
    }
    fn disrupt(builder: &mut LedgerBuilder, part: DisruptedPart, from: u64, to: u64) {
        builder.ledger.disruptions.add(part, ms(from), ms(to));
    }
    let late = &[Promise::VersionInTime];
    check(&[
        case("the newest version", &[], |builder| {
            write_versions(builder, &[(3, 0), (6, 1_000)]);
            builder.add_versioned_call(PROCESS, 3_100, 3_110, 6);
        }),
        case("a newer version before its bound", &[], |builder| {
            write_versions(builder, &[(3, 0), (6, 3_000)]);
            builder.add_versioned_call(PROCESS, 3_100, 3_110, 6);
        }),
        case("the previous version within the bound", &[], |builder| {
            write_versions(builder, &[(3, 0), (6, 1_000)]);
            builder.add_versioned_call(PROCESS, 2_900, 2_910, 3);
        }),
        case("the previous version after the bound", late, |builder| {
            write_versions(builder, &[(3, 0), (6, 1_000)]);
            builder.add_versioned_call(PROCESS, 3_100, 3_110, 3);
        }),
        case("an outage long before", late, |builder| {
            write_versions(builder, &[(3, 0), (6, 5_000)]);
            disrupt(builder, DisruptedPart::Store, 500, 4_000);
            builder.add_versioned_call(PROCESS, 7_100, 7_110, 3);
        }),
        case("an outage in the stable window", &[], |builder| {
            write_versions(builder, &[(3, 0), (6, 5_000)]);
            disrupt(builder, DisruptedPart::Store, 500, 4_200);
            builder.add_versioned_call(PROCESS, 7_100, 7_110, 3);
        }),
        case("a start in the stable window", &[], |builder| {
            write_versions(builder, &[(3, 0), (6, 5_000)]);
            disrupt(builder, DisruptedPart::Starting(PROCESS.vm), 500, 4_200);
            builder.add_versioned_call(PROCESS, 7_100, 7_110, 3);
        }),
        case("a pause of another VM", late, |builder| {
            write_versions(builder, &[(3, 0), (6, 5_000)]);
            disrupt(builder, DisruptedPart::Paused(PROCESS.vm + 1), 4_900, 6_900);
            builder.add_versioned_call(PROCESS, 7_100, 7_110, 3);
        }),
        case("an older version was written over it", &[], |builder| {
            write_versions(builder, &[(6, 0), (3, 100)]);
            builder.add_versioned_call(PROCESS, 2_050, 2_060, 3);
            builder.add_versioned_call(PROCESS, 7_100, 7_110, 3);
        }),
    ]);
}
