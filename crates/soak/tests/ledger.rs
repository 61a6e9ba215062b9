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

fn case(name: &'static str, broken: &'static [Promise], happen: fn(&mut Book)) -> LedgerCase {
    LedgerCase { name, happen, broken }
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

/// A lookup that ends at 200 ms.
fn looked(book: &mut Book, ended: Option<(u64, CallEnd)>) {
    book.call(CallKind::Look, 100, ended);
}

/// A call with what the upstreams saw of it: the upstream, arrivals and runs.
fn ran(
    book: &mut Book,
    kind: CallKind,
    ended: Option<(u64, CallEnd)>,
    sights: &[(usize, u32, u32)],
) {
    let id = book.call(kind, 100, ended);
    for (upstream, arrivals, runs) in sights {
        book.see(*upstream, &id, *arrivals, *runs);
    }
}

/// Guards against a caller that gets a part of an answer, or another one's.
#[test]
fn answers_are_whole_and_own() {
    check(&[
        case("own and whole", &[], |book| looked(book, answered(OWN))),
        case("another call's", &[Promise::OwnAnswer], |book| {
            looked(book, answered(SeenAnswer { own: false, ..OWN }))
        }),
        case("a part that looks complete", &[Promise::OwnAnswer], |book| {
            looked(book, answered(SeenAnswer { whole: false, ..OWN }))
        }),
        case("a success that no upstream has signed", &[Promise::OwnAnswer], |book| {
            looked(book, answered(SeenAnswer { signed: false, ..OWN }))
        }),
        case("a refusal of the gateway", &[], |book| looked(book, refused(502))),
        case("another call's refusal", &[Promise::OwnAnswer], |book| {
            let answer = SeenAnswer { status: 502, own: false, signed: false, whole: false };
            book.call(CallKind::Look, 100, answered(answer));
        }),
        case("a connection that ended early", &[], |book| looked(book, Some((200, CallEnd::Lost)))),
    ]);
}

/// Guards against a second run of a call that must not run twice, and against a run of one of which
/// its caller was told that it was not run.
#[test]
fn runs_are_counted_over_all_upstreams() {
    check(&[
        case("one run", &[], |book| {
            ran(book, CallKind::Book, answered(OWN), &[(0, 1, 0), (1, 1, 1)])
        }),
        case("two runs at two upstreams", &[Promise::AtMostOnce], |book| {
            ran(book, CallKind::Book, answered(OWN), &[(0, 1, 1), (1, 1, 1)])
        }),
        case("two runs at one upstream, and no answer yet", &[Promise::AtMostOnce], |book| {
            ran(book, CallKind::Book, None, &[(0, 2, 2)])
        }),
        case("two runs of an idempotent call", &[], |book| {
            ran(book, CallKind::Look, answered(OWN), &[(0, 2, 2)])
        }),
        case("not run and told so", &[], |book| {
            ran(book, CallKind::Book, refused(503), &[(0, 1, 0)])
        }),
        case("run and told otherwise", &[Promise::NotRun], |book| {
            ran(book, CallKind::Book, refused(503), &[(0, 1, 1)])
        }),
        case("an idempotent call, run and told otherwise", &[Promise::NotRun], |book| {
            ran(book, CallKind::Look, refused(429), &[(0, 1, 1)])
        }),
        case("run later than its caller was told otherwise", &[Promise::NotRun], |book| {
            ran(book, CallKind::Look, refused(408), &[(0, 0, 0), (0, 1, 1)])
        }),
        case("run and told nothing", &[], |book| {
            ran(book, CallKind::Book, refused(504), &[(0, 1, 1)])
        }),
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
        case("in time", &[], |book| drained(book, 2_000)),
        case("late", &[Promise::Drain], |book| drained(book, 2_100)),
        case("within the stable window after an outage of the store", &[], |book| {
            drained(book, 4_900);
            trouble(book, TroublePlace::Store, 11_000, 12_000);
        }),
        case("after the stable window", &[Promise::Drain], |book| {
            drained(book, 5_100);
            trouble(book, TroublePlace::Store, 11_000, 12_000);
        }),
        case("an outage that began after the bound", &[Promise::Drain], |book| {
            drained(book, 2_500);
            trouble(book, TroublePlace::Store, 12_100, 12_400);
        }),
        case("an outage that goes on", &[], |book| {
            drained(book, 4_900);
            book.ledger.troubles.begin(TroublePlace::Store, ms(9_000));
        }),
        case("outages in a series", &[], |book| {
            drained(book, 6_500);
            trouble(book, TroublePlace::Store, 11_500, 12_000);
            trouble(book, TroublePlace::Store, 13_500, 14_000);
        }),
        case("the gateway was cut off from the store", &[], |book| {
            drained(book, 2_500);
            trouble(book, TroublePlace::StoreLink(PROCESS.vm), 10_500, 10_600);
        }),
        case("another gateway was cut off from the store", &[Promise::Drain], |book| {
            drained(book, 2_500);
            trouble(book, TroublePlace::StoreLink(PROCESS.vm + 1), 10_500, 10_600);
        }),
        case(
            "the upstream went wrong, which does not hide that it leaves",
            &[Promise::Drain],
            |book| {
                drained(book, 2_500);
                trouble(book, TroublePlace::Upstream(UPSTREAM), 10_500, 10_600);
            },
        ),
        case("a second drain", &[Promise::Drain], |book| {
            book.ledger.drain(UPSTREAM, ms(1_000), ms(1_000));
            drained(book, 2_500);
        }),
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
        case("a call that was running", &[Promise::GracefulStop], |book| {
            stopped(book, CallKind::Look, false, 900, 1);
        }),
        case(
            "a call that was taken while the process was leaving",
            &[Promise::GracefulStop],
            |book| {
                stopped(book, CallKind::Look, false, 1_100, 1);
            },
        ),
        case("a call on a new connection that did not run yet", &[Promise::GracefulStop], |book| {
            stopped(book, CallKind::Look, true, 990, 0);
        }),
        case("a call that met the close of an idle connection", &[], |book| {
            stopped(book, CallKind::Look, false, 1_290, 0);
        }),
        case("a call that was lost before", &[], |book| {
            let id = stopped(book, CallKind::Look, true, 500, 1);
            book.ledger.end(&id, CallEnd::Lost, ms(900));
        }),
        case("a call whose connection was reset", &[], |book| {
            stopped(book, CallKind::Look, true, 900, 1);
            trouble(book, TroublePlace::CallerLink(PROCESS.vm), 1_200, 1_200);
        }),
        case("a reset at another gateway", &[Promise::GracefulStop], |book| {
            stopped(book, CallKind::Look, true, 900, 1);
            trouble(book, TroublePlace::CallerLink(PROCESS.vm + 1), 1_200, 1_200);
        }),
        case("a process that was killed while it left", &[], |book| {
            stopped(book, CallKind::Look, true, 900, 1);
            book.ledger.kill(PROCESS);
        }),
        case("a long answer whose upstream crashed", &[], |book| {
            stopped(book, CallKind::Bulk, true, 900, 1);
            trouble(book, TroublePlace::Upstream(UPSTREAM), 1_200, 1_250);
        }),
        case("a long answer over a slow connection", &[Promise::GracefulStop], |book| {
            stopped(book, CallKind::Bulk, true, 900, 1);
            trouble(book, TroublePlace::SlowLink(UPSTREAM), 1_200, 1_250);
        }),
        case("a long answer that ended with its time", &[], |book| {
            let id = stopped(book, CallKind::Bulk, true, 900, 1);
            book.ledger.end(&id, CallEnd::Lost, ms(2_410));
        }),
        case("a short answer whose upstream crashed", &[Promise::GracefulStop], |book| {
            stopped(book, CallKind::Look, true, 900, 1);
            trouble(book, TroublePlace::Upstream(UPSTREAM), 1_200, 1_250);
        }),
        case("an end with a failure", &[Promise::GracefulStop], |book| {
            book.ledger.stop(PROCESS, ms(1_000));
            book.ledger.process_ended(PROCESS, false);
        }),
        case("no end", &[Promise::GracefulStop], |book| {
            book.ledger.stop(PROCESS, ms(1_000));
            book.ledger.process_stuck(PROCESS);
        }),
        case("a regular end", &[], |book| {
            book.ledger.stop(PROCESS, ms(1_000));
            book.ledger.process_ended(PROCESS, true);
        }),
        case("an end without a reason", &[Promise::StaysUp], |book| {
            book.ledger.process_ended(PROCESS, true)
        }),
    ]);
}

/// Guards against a process that goes back to an older configuration.
#[test]
fn the_version_of_a_process_never_falls() {
    const NEXT: ProcessId = ProcessId { start: PROCESS.start + 1, ..PROCESS };
    check(&[
        case("it grows", &[], |book| {
            book.mark(PROCESS, 100, 110, 3);
            book.mark(PROCESS, 120, 130, 6);
        }),
        case("it falls", &[Promise::VersionOrder], |book| {
            book.mark(PROCESS, 100, 110, 6);
            book.mark(PROCESS, 120, 130, 3);
        }),
        case("two calls at once", &[], |book| {
            book.mark(PROCESS, 100, 130, 6);
            book.mark(PROCESS, 120, 140, 3);
        }),
        case("another process", &[], |book| {
            book.mark(PROCESS, 100, 110, 6);
            book.mark(NEXT, 120, 130, 3);
        }),
    ]);
}
