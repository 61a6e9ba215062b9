//! Upstreams that want no requests: because they asked for a pause, or because they leave.

mod support;

use std::collections::BTreeSet;

use base::prelude::*;
use route::prelude::*;
use support::{FOUR_SERVERS, SEED, SERVICE, environment};

/// A table of four servers and the time of the test.
struct WishTable {
    table: UpstreamTable,
    random: RandomSource,
    now: ClockTime,
}

impl WishTable {
    fn new() -> Self {
        let now = ClockTime::from_millis(1_000);
        let table = UpstreamTable::new("medeu".into()).with_vm("vm-1");
        table.apply(&environment(1, FOUR_SERVERS), now);
        Self { table, random: RandomSource::from_seed(SEED), now }
    }

    fn reserve(&mut self) -> Result<UpstreamReservation, NoUpstream> {
        let policy = PolicyKind::default();
        self.table.reserve(&policy, SERVICE, &[], self.now, &mut self.random)
    }

    /// Returns the servers that a call may reach.
    fn reached(&mut self) -> BTreeSet<String> {
        let (policy, count) = (PolicyKind::default(), FOUR_SERVERS.len());
        let list = self.table.shortlist(&policy, SERVICE, &[], count, self.now, &mut self.random);
        list.iter().map(|entry| entry.server.name.to_string()).collect()
    }

    fn pause_all(&mut self, millis: u64) {
        for server in FOUR_SERVERS {
            self.table.record_pause(server.name, ClockSpan::from_millis(millis), self.now);
        }
    }
}

struct PauseCase {
    name: &'static str,
    /// For each pause, when it was asked for and its length, in milliseconds.
    pauses: &'static [(u64, u64)],
    /// The time of the calls in milliseconds.
    at: u64,
    paused: bool,
}

/// Guards against requests before the end of a pause, and against a pause that does not end.
#[test]
fn a_paused_upstream_gets_no_calls_until_the_pause_ends() {
    let case = |name, pauses, at, paused| PauseCase { name, pauses, at, paused };
    let cases = [
        case("none", &[], 2_000, false),
        case("just asked", &[(1_000, 500)], 1_000, true),
        case("before the end", &[(1_000, 500)], 1_499, true),
        case("at the end", &[(1_000, 500)], 1_500, false),
        case("a shorter one later", &[(1_000, 900), (1_100, 100)], 1_500, true),
        case("a longer one later", &[(1_000, 100), (1_050, 900)], 1_900, true),
    ];
    for case in cases {
        let mut table = WishTable::new();
        for (at, millis) in case.pauses {
            let at = ClockTime::from_millis(*at);
            table.table.record_pause("b", ClockSpan::from_millis(*millis), at);
        }
        table.now = ClockTime::from_millis(case.at);
        assert_eq!(!table.reached().contains("b"), case.paused, "{}", case.name);
        let accepts = table.table.accepts_checks("b", table.now);
        assert_eq!(!accepts, case.paused, "checks: {}", case.name);
    }
}

/// Guards against a pause that counts as a failure, and so against calls that go to ejected servers
/// because too few healthy ones seem to be left.
#[test]
fn pauses_do_not_end_ejections() {
    let mut table = WishTable::new();
    for _ in 0..20 {
        table.table.record_result("a", CallResult::ConnectFailed, table.now);
    }
    for name in ["b", "c"] {
        table.table.record_pause(name, ClockSpan::from_secs(1), table.now);
    }
    assert_eq!(table.reached(), BTreeSet::from(["d".to_owned()]));
}

/// Guards against a refusal that does not say when the first pause ends, and against calls that
/// wait for a slot that no call will free.
#[test]
fn a_service_whose_upstreams_are_all_paused_names_the_end() {
    let mut table = WishTable::new();
    table.pause_all(800);
    table.table.record_pause("c", ClockSpan::from_millis(900), table.now);
    let error = table.reserve().expect_err("no upstream is usable");
    let retry_in = ClockSpan::from_millis(800);
    let service = SERVICE.into();
    assert_eq!(error, NoUpstream::AllPaused { service, paused: 4, retry_in });
    assert!(!error.is_full());
    table.now = table.now + retry_in;
    assert_eq!(table.reached(), ["a", "b", "d"].map(str::to_owned).into());
}

struct DrainCase {
    name: &'static str,
    upstream: &'static str,
    incarnation: u64,
    is_new: bool,
    reached: &'static [&'static str],
}

/// Guards against new calls to an upstream that leaves, and against an upstream that gets no calls
/// because an earlier process of the same name left.
#[test]
fn an_upstream_that_leaves_gets_no_calls() {
    let known = environment(1, FOUR_SERVERS).upstreams_of(SERVICE)[0].incarnation;
    let case = |name, upstream, incarnation, is_new, reached| DrainCase {
        name,
        upstream,
        incarnation,
        is_new,
        reached,
    };
    let cases = [
        case("this incarnation", "a", known, true, &["b", "c", "d"][..]),
        case("an earlier one", "a", known.wrapping_sub(1), false, &["a", "b", "c", "d"]),
        case("an unknown upstream", "x", known, false, &["a", "b", "c", "d"]),
    ];
    for case in cases {
        let mut table = WishTable::new();
        let is_new = table.table.record_final_drain(case.upstream, case.incarnation);
        assert_eq!(is_new, case.is_new, "{}", case.name);
        let again = table.table.record_final_drain(case.upstream, case.incarnation);
        assert!(!again, "{}: reported once", case.name);
        // The row may still say that the upstream is ready.
        table.table.apply(&environment(2, FOUR_SERVERS), table.now);
        let expected = case.reached.iter().map(|name| (*name).to_owned()).collect();
        assert_eq!(table.reached(), expected, "{}", case.name);
        let accepts = table.table.accepts_checks(case.upstream, table.now);
        assert_eq!(accepts, !case.is_new, "checks: {}", case.name);
    }
}

/// Guards against the last upstreams of a service that get calls although all of them leave: the
/// bound holds for each of them, and those that replace them are listed soon.
#[test]
fn the_last_upstreams_that_leave_get_no_calls_either() {
    let mut table = WishTable::new();
    for server in environment(1, FOUR_SERVERS).upstreams_of(SERVICE) {
        assert!(table.table.record_final_drain(&server.name, server.incarnation));
    }
    let error = table.reserve().expect_err("no upstream is usable");
    let service = SERVICE.into();
    assert_eq!(error, NoUpstream::AllUnavailable { service, ejected: 0, draining: 4 });
}
