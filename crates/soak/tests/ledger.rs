//! The ledger notices each broken promise, and excuses what the rules allow.

use base::prelude::*;
use soak::prelude::*;

/// The process that most calls are sent to.
const PROCESS: ProcessId = ProcessId { vm: 1, start: 1 };
/// The upstream that sees most calls.
const UPSTREAM: usize = 4;

const OWN: SeenAnswer = SeenAnswer { status: 200, own: true, signed: true, whole: true };

fn ms(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn span(millis: u64) -> ClockSpan {
    ClockSpan::from_millis(millis)
}

/// A ledger whose calls have numbers for ids.
#[derive(Default)]
struct Book {
    ledger: Ledger,
    calls: u32,
}

impl Book {
    /// Adds a call and returns its id.
    fn call(&mut self, kind: CallKind, sent: u64, ended: Option<(u64, CallEnd)>) -> String {
        self.call_to(PROCESS, kind, true, sent, ended)
    }

    fn call_to(
        &mut self,
        process: ProcessId,
        kind: CallKind,
        fresh: bool,
        sent: u64,
        ended: Option<(u64, CallEnd)>,
    ) -> String {
        self.calls += 1;
        let id = self.calls.to_string();
        self.ledger.send(id.as_str().into(), SentCall { process, kind, fresh }, ms(sent));
        if let Some((at, end)) = ended {
            self.ledger.end(&id, end, ms(at));
        }
        id
    }

    fn see(&mut self, upstream: usize, id: &str, arrivals: u32, runs: u32) {
        let sight = RequestSight { arrivals, runs, ..RequestSight::default() };
        self.ledger.see(upstream, id, sight);
    }

    fn see_drained(&mut self, id: &str, age: u64) {
        let draining = vec![span(age)];
        let sight = RequestSight { arrivals: 1, runs: 1, draining, ..RequestSight::default() };
        self.ledger.see(UPSTREAM, id, sight);
    }

    fn mark(&mut self, process: ProcessId, sent: u64, ended: u64, version: u64) {
        let end = Some((ended, CallEnd::Answered(OWN)));
        let id = self.call_to(process, CallKind::Mark, false, sent, end);
        let version = Some(version);
        let sight = RequestSight { arrivals: 1, runs: 1, version, ..RequestSight::default() };
        self.ledger.see(UPSTREAM, &id, sight);
    }
}

fn answered(answer: SeenAnswer) -> Option<(u64, CallEnd)> {
    Some((200, CallEnd::Answered(answer)))
}

fn refused(status: u16) -> Option<(u64, CallEnd)> {
    answered(SeenAnswer { status, own: true, signed: false, whole: false })
}

/// What happens, and the promises that the ledger must find broken.
struct LedgerCase {
    name: &'static str,
    happen: fn(&mut Book),
    broken: &'static [Promise],
}

fn check(cases: &[LedgerCase]) {
    for case in cases {
        let mut book = Book::default();
        (case.happen)(&mut book);
        let broken = book.ledger.broken();
        let promises: Vec<Promise> = broken.iter().map(|own| own.promise).collect();
        assert_eq!(promises, case.broken, "{}: {broken:?}", case.name);
    }
}

/// Guards against a caller that gets a part of an answer, or another one's.
#[test]
fn answers_are_whole_and_own() {
    check(&[
        LedgerCase {
            name: "own and whole",
            happen: |book| {
                book.call(CallKind::Look, 100, answered(OWN));
            },
            broken: &[],
        },
        LedgerCase {
            name: "another call's",
            happen: |book| {
                book.call(CallKind::Look, 100, answered(SeenAnswer { own: false, ..OWN }));
            },
            broken: &[Promise::OwnAnswer],
        },
        LedgerCase {
            name: "a part that looks complete",
            happen: |book| {
                book.call(CallKind::Look, 100, answered(SeenAnswer { whole: false, ..OWN }));
            },
            broken: &[Promise::OwnAnswer],
        },
        LedgerCase {
            name: "a success that no upstream has signed",
            happen: |book| {
                book.call(CallKind::Look, 100, answered(SeenAnswer { signed: false, ..OWN }));
            },
            broken: &[Promise::OwnAnswer],
        },
        LedgerCase {
            name: "a refusal of the gateway",
            happen: |book| {
                book.call(CallKind::Look, 100, refused(502));
            },
            broken: &[],
        },
        LedgerCase {
            name: "another call's refusal",
            happen: |book| {
                let answer = SeenAnswer { status: 502, own: false, signed: false, whole: false };
                book.call(CallKind::Look, 100, answered(answer));
            },
            broken: &[Promise::OwnAnswer],
        },
        LedgerCase {
            name: "a connection that ended early",
            happen: |book| {
                book.call(CallKind::Look, 100, Some((200, CallEnd::Lost)));
            },
            broken: &[],
        },
    ]);
}

/// Guards against a second run of a call that must not run twice, and against a run of one of which
/// its caller was told that it was not run.
#[test]
fn runs_are_counted_over_all_upstreams() {
    check(&[
        LedgerCase {
            name: "one run",
            happen: |book| {
                let id = book.call(CallKind::Book, 100, answered(OWN));
                book.see(0, &id, 1, 0);
                book.see(1, &id, 1, 1);
            },
            broken: &[],
        },
        LedgerCase {
            name: "two runs at two upstreams",
            happen: |book| {
                let id = book.call(CallKind::Book, 100, answered(OWN));
                book.see(0, &id, 1, 1);
                book.see(1, &id, 1, 1);
            },
            broken: &[Promise::AtMostOnce],
        },
        LedgerCase {
            name: "two runs at one upstream, and no answer yet",
            happen: |book| {
                let id = book.call(CallKind::Book, 100, None);
                book.see(0, &id, 2, 2);
            },
            broken: &[Promise::AtMostOnce],
        },
        LedgerCase {
            name: "two runs of an idempotent call",
            happen: |book| {
                let id = book.call(CallKind::Look, 100, answered(OWN));
                book.see(0, &id, 2, 2);
            },
            broken: &[],
        },
        LedgerCase {
            name: "not run and told so",
            happen: |book| {
                let id = book.call(CallKind::Book, 100, refused(503));
                book.see(0, &id, 1, 0);
            },
            broken: &[],
        },
        LedgerCase {
            name: "run and told otherwise",
            happen: |book| {
                let id = book.call(CallKind::Book, 100, refused(503));
                book.see(0, &id, 1, 1);
            },
            broken: &[Promise::NotRun],
        },
        LedgerCase {
            name: "an idempotent call, run and told otherwise",
            happen: |book| {
                let id = book.call(CallKind::Look, 100, refused(429));
                book.see(0, &id, 1, 1);
            },
            broken: &[Promise::NotRun],
        },
        LedgerCase {
            name: "run later than its caller was told otherwise",
            happen: |book| {
                let id = book.call(CallKind::Look, 100, refused(408));
                book.see(0, &id, 0, 0);
                book.see(0, &id, 1, 1);
            },
            broken: &[Promise::NotRun],
        },
        LedgerCase {
            name: "run and told nothing",
            happen: |book| {
                let id = book.call(CallKind::Book, 100, refused(504));
                book.see(0, &id, 1, 1);
            },
            broken: &[],
        },
    ]);
}

/// A drain that begins at 10 s, and a call that arrives in it at `age`.
fn drained(book: &mut Book, age: u64) {
    book.ledger.drain(UPSTREAM, ms(10_000), ms(10_010));
    let id = book.call(CallKind::Look, 10_000 + age - 5, None);
    book.see_drained(&id, age);
}

fn trouble(book: &mut Book, place: TroublePlace, from: u64, to: u64) {
    book.ledger.troubles.add(place, ms(from), ms(to));
}

/// Guards against new calls on an upstream that is leaving, and against excuses that are too wide.
#[test]
fn a_leaving_upstream_gets_no_calls_after_the_bound() {
    check(&[
        LedgerCase { name: "in time", happen: |book| drained(book, 2_000), broken: &[] },
        LedgerCase { name: "late", happen: |book| drained(book, 2_100), broken: &[Promise::Drain] },
        LedgerCase {
            name: "within the stable window after an outage of the store",
            happen: |book| {
                drained(book, 4_900);
                trouble(book, TroublePlace::Store, 11_000, 12_000);
            },
            broken: &[],
        },
        LedgerCase {
            name: "after the stable window",
            happen: |book| {
                drained(book, 5_100);
                trouble(book, TroublePlace::Store, 11_000, 12_000);
            },
            broken: &[Promise::Drain],
        },
        LedgerCase {
            name: "an outage that began after the bound",
            happen: |book| {
                drained(book, 2_500);
                trouble(book, TroublePlace::Store, 12_100, 12_400);
            },
            broken: &[Promise::Drain],
        },
        LedgerCase {
            name: "an outage that goes on",
            happen: |book| {
                drained(book, 4_900);
                book.ledger.troubles.begin(TroublePlace::Store, ms(9_000));
            },
            broken: &[],
        },
        LedgerCase {
            name: "outages in a series",
            happen: |book| {
                drained(book, 6_500);
                trouble(book, TroublePlace::Store, 11_500, 12_000);
                trouble(book, TroublePlace::Store, 13_500, 14_000);
            },
            broken: &[],
        },
        LedgerCase {
            name: "the gateway was cut off from the store",
            happen: |book| {
                drained(book, 2_500);
                trouble(book, TroublePlace::StoreLink(PROCESS.vm), 10_500, 10_600);
            },
            broken: &[],
        },
        LedgerCase {
            name: "another gateway was cut off from the store",
            happen: |book| {
                drained(book, 2_500);
                trouble(book, TroublePlace::StoreLink(PROCESS.vm + 1), 10_500, 10_600);
            },
            broken: &[Promise::Drain],
        },
        LedgerCase {
            name: "the upstream went wrong, which does not hide that it leaves",
            happen: |book| {
                drained(book, 2_500);
                trouble(book, TroublePlace::Upstream(UPSTREAM), 10_500, 10_600);
            },
            broken: &[Promise::Drain],
        },
        LedgerCase {
            name: "a second drain",
            happen: |book| {
                book.ledger.drain(UPSTREAM, ms(1_000), ms(1_000));
                drained(book, 2_500);
            },
            broken: &[Promise::Drain],
        },
    ]);
}

/// A process that is told to stop at 1 s, with a call that was sent before and ends after.
fn stopped(book: &mut Book, kind: CallKind, fresh: bool, sent: u64, arrivals: u32) -> String {
    book.ledger.stop(PROCESS, ms(1_000));
    let id = book.call_to(PROCESS, kind, fresh, sent, Some((1_300, CallEnd::Lost)));
    book.see(UPSTREAM, &id, arrivals, arrivals);
    id
}

/// Guards against a graceful shutdown that interrupts calls, fails or never ends, and against
/// processes that end by themselves.
#[test]
fn a_graceful_shutdown_interrupts_no_call() {
    check(&[
        LedgerCase {
            name: "a call that was running",
            happen: |book| {
                stopped(book, CallKind::Look, false, 900, 1);
            },
            broken: &[Promise::GracefulStop],
        },
        LedgerCase {
            name: "a call that was taken while the process was leaving",
            happen: |book| {
                stopped(book, CallKind::Look, false, 1_100, 1);
            },
            broken: &[Promise::GracefulStop],
        },
        LedgerCase {
            name: "a call on a new connection that did not run yet",
            happen: |book| {
                stopped(book, CallKind::Look, true, 990, 0);
            },
            broken: &[Promise::GracefulStop],
        },
        LedgerCase {
            name: "a call that met the close of an idle connection",
            happen: |book| {
                stopped(book, CallKind::Look, false, 1_290, 0);
            },
            broken: &[],
        },
        LedgerCase {
            name: "a call that was lost before",
            happen: |book| {
                let id = stopped(book, CallKind::Look, true, 500, 1);
                book.ledger.end(&id, CallEnd::Lost, ms(900));
            },
            broken: &[],
        },
        LedgerCase {
            name: "a call whose connection was reset",
            happen: |book| {
                stopped(book, CallKind::Look, true, 900, 1);
                trouble(book, TroublePlace::CallerLink(PROCESS.vm), 1_200, 1_200);
            },
            broken: &[],
        },
        LedgerCase {
            name: "a reset at another gateway",
            happen: |book| {
                stopped(book, CallKind::Look, true, 900, 1);
                trouble(book, TroublePlace::CallerLink(PROCESS.vm + 1), 1_200, 1_200);
            },
            broken: &[Promise::GracefulStop],
        },
        LedgerCase {
            name: "a process that was killed while it left",
            happen: |book| {
                stopped(book, CallKind::Look, true, 900, 1);
                book.ledger.kill(PROCESS);
            },
            broken: &[],
        },
        LedgerCase {
            name: "a long answer whose upstream crashed",
            happen: |book| {
                stopped(book, CallKind::Bulk, true, 900, 1);
                trouble(book, TroublePlace::Upstream(UPSTREAM), 1_200, 1_250);
            },
            broken: &[],
        },
        LedgerCase {
            name: "a long answer over a slow connection",
            happen: |book| {
                stopped(book, CallKind::Bulk, true, 900, 1);
                trouble(book, TroublePlace::SlowLink(UPSTREAM), 1_200, 1_250);
            },
            broken: &[Promise::GracefulStop],
        },
        LedgerCase {
            name: "a long answer that ended with its time",
            happen: |book| {
                let id = stopped(book, CallKind::Bulk, true, 900, 1);
                book.ledger.end(&id, CallEnd::Lost, ms(2_410));
            },
            broken: &[],
        },
        LedgerCase {
            name: "a short answer whose upstream crashed",
            happen: |book| {
                stopped(book, CallKind::Look, true, 900, 1);
                trouble(book, TroublePlace::Upstream(UPSTREAM), 1_200, 1_250);
            },
            broken: &[Promise::GracefulStop],
        },
        LedgerCase {
            name: "an end with a failure",
            happen: |book| {
                book.ledger.stop(PROCESS, ms(1_000));
                book.ledger.process_ended(PROCESS, false);
            },
            broken: &[Promise::GracefulStop],
        },
        LedgerCase {
            name: "no end",
            happen: |book| {
                book.ledger.stop(PROCESS, ms(1_000));
                book.ledger.process_stuck(PROCESS);
            },
            broken: &[Promise::GracefulStop],
        },
        LedgerCase {
            name: "a regular end",
            happen: |book| {
                book.ledger.stop(PROCESS, ms(1_000));
                book.ledger.process_ended(PROCESS, true);
            },
            broken: &[],
        },
        LedgerCase {
            name: "an end without a reason",
            happen: |book| book.ledger.process_ended(PROCESS, true),
            broken: &[Promise::StaysUp],
        },
    ]);
}

/// Guards against a process that goes back to an older configuration.
#[test]
fn the_version_of_a_process_never_falls() {
    const NEXT: ProcessId = ProcessId { start: PROCESS.start + 1, ..PROCESS };
    check(&[
        LedgerCase {
            name: "it grows",
            happen: |book| {
                book.mark(PROCESS, 100, 110, 3);
                book.mark(PROCESS, 120, 130, 6);
            },
            broken: &[],
        },
        LedgerCase {
            name: "it falls",
            happen: |book| {
                book.mark(PROCESS, 100, 110, 6);
                book.mark(PROCESS, 120, 130, 3);
            },
            broken: &[Promise::VersionOrder],
        },
        LedgerCase {
            name: "two calls at once",
            happen: |book| {
                book.mark(PROCESS, 100, 130, 6);
                book.mark(PROCESS, 120, 140, 3);
            },
            broken: &[],
        },
        LedgerCase {
            name: "another process",
            happen: |book| {
                book.mark(PROCESS, 100, 110, 6);
                book.mark(NEXT, 120, 130, 3);
            },
            broken: &[],
        },
    ]);
}
