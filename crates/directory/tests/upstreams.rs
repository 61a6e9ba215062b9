//! Removals around failures of the store, whole reads, gaps and unreadable rows.

mod support;

use std::sync::Arc;

use base::prelude::*;
use directory::prelude::*;
use serde_json::json;
use store::prelude::*;
use support::*;

/// Steps of a directory that starts with upstream a, ready in incarnation 1, at position 10.
struct DirectoryCase {
    name: &'static str,
    /// `time in ms, event, = usable upstreams`, separated by semicolons. The event `changes` has
    /// the positions before and after the changes and then the rows; `whole` and `part` are reads
    /// of the whole table or a part of it and have the position and the rows. `fail` and `answer`
    /// are a failed and a successful call to the store, `expire` is the check for retained
    /// upstreams whose grace time has passed, and `draining` is a report that this incarnation of
    /// upstream a is draining.
    steps: &'static str,
}

fn run(case: &DirectoryCase) {
    let mut directory = UpstreamDirectory::new(DirectoryTuning::default());
    directory.replace::<TestCodec>(&page(10, vec![row("a:1@9")]), at(0));
    for step in case.steps.split(';').map(str::trim) {
        let (event, expected) = step.split_once('=').expect("a step has a result");
        let before = usable(&directory);
        let changed = act(&mut directory, &event.split_whitespace().collect::<Vec<_>>());
        let after = usable(&directory);
        assert_eq!(after, expected.trim(), "{}: {step}", case.name);
        assert_eq!(changed, before != after, "{}: reported change of {step}", case.name);
    }
}

fn act(directory: &mut UpstreamDirectory, words: &[&str]) -> bool {
    let number = |index: usize| words[index].parse::<u64>().expect("a number");
    let rows = |from: usize| words[from..].iter().map(|text| row(text)).collect();
    let now = at(number(0));
    match words[1] {
        "fail" => directory.record_failure(now),
        "answer" => {
            directory.record_success(now);
            false
        }
        "expire" => directory.expire_missing(now),
        "draining" => directory.record_draining("a", number(2), now),
        "whole" | "part" => {
            let page = RowPage { truncated: words[1] == "part", ..page(number(2), rows(3)) };
            directory.replace::<TestCodec>(&page, now).upstreams_changed
        }
        _ => directory
            .apply_changes::<TestCodec>(number(2), &page(number(3), rows(4)), now)
            .is_ok_and(|change| change.upstreams_changed),
    }
}

/// Guards against upstreams that become unusable because a failing store returns no rows, removed
/// ones that stay usable, and wrong upstreams after reads that arrive late or leave out changes, or
/// after a row that cannot be decoded.
#[test]
fn upstreams_follow_the_rows_and_the_state_of_the_store() {
    let cases = [
        DirectoryCase {
            name: "removed while the store works",
            steps: "0 changes 10 11 a-@11 =; 1 fail =",
        },
        DirectoryCase {
            name: "removed while the store is down",
            steps: "0 fail = a:1; 0 changes 10 11 a-@11 = a:1; 60000 expire = a:1;
                60000 answer = a:1; 61000 answer = a:1; 61999 expire = a:1; 62000 expire =",
        },
        DirectoryCase {
            name: "removed after the store answers again, and added again",
            steps: "0 fail = a:1; 100 answer = a:1; 2099 changes 10 11 a-@11 = a:1;
                2100 changes 11 12 a:1@12 = a:1; 2200 expire = a:1; 2300 changes 12 13 a-@13 =",
        },
        DirectoryCase {
            name: "removed after the grace time",
            steps: "0 fail = a:1; 100 answer = a:1; 2100 changes 10 11 a-@11 =",
        },
        DirectoryCase {
            name: "two failures in a row",
            steps: "0 fail = a:1; 0 answer = a:1; 9 changes 10 11 a-@11 = a:1; 1999 fail = a:1;
                2500 answer = a:1; 4499 expire = a:1; 4500 expire =",
        },
        DirectoryCase {
            name: "read after the grace time",
            steps: "0 fail = a:1; 0 answer = a:1; 9 changes 10 11 a-@11 = a:1; 2000 changes 11 12 =",
        },
        DirectoryCase {
            name: "failure after the grace time",
            steps: "0 fail = a:1; 0 answer = a:1; 9 changes 10 11 a-@11 = a:1; 2000 fail =",
        },
        DirectoryCase {
            name: "removed while draining",
            steps: "0 changes 10 11 a:1~@11 =; 0 fail =; 0 changes 11 12 a-@12 =",
        },
        DirectoryCase {
            name: "draining after the removal",
            steps: "0 fail = a:1; 0 changes 10 11 a-@11 = a:1; 1 changes 11 12 a:1~@12 =",
        },
        DirectoryCase {
            name: "reported as draining after the removal",
            steps: "0 fail = a:1; 0 whole 11 = a:1; 1 draining 2 = a:1; 1 draining 1 =;
                2 answer =; 2002 expire =",
        },
        DirectoryCase {
            name: "draining is final for the incarnation",
            steps: "0 draining 1 =; 1 changes 10 11 a:1@11 =; 2 changes 11 12 a-@12 =;
                3 changes 12 13 a:1@13 =; 4 changes 13 14 a:2@14 = a:2",
        },
        DirectoryCase { name: "missing from a whole read", steps: "0 whole 20 b:1@15 = b:1" },
        DirectoryCase {
            name: "whole read overtaken by changes",
            steps: "0 changes 10 30 a-@25 b:1@28 = b:1; 1 whole 20 a:1@9 = b:1; 2 changes 30 31 = b:1",
        },
        DirectoryCase {
            name: "whole read with a row that the changes left out",
            steps: "0 whole 20 a:1@9 b:1@5 = a:1 b:1",
        },
        DirectoryCase { name: "part of the table", steps: "0 part 20 b:1@15 = a:1 b:1" },
        DirectoryCase {
            name: "removal beyond the end of its page",
            steps: "0 changes 10 11 a-@20 =; 1 changes 11 15 a:1@14 =; 2 changes 15 21 a:1@21 = a:1",
        },
        DirectoryCase {
            name: "gap",
            steps: "0 changes 11 30 a-@25 = a:1; 1 changes 10 30 a-@25 =",
        },
        DirectoryCase {
            name: "older pages and versions",
            steps: "0 changes 5 10 a-@10 = a:1; 1 changes 10 20 a:3@18 a:2@12 = a:3;
                2 changes 9 21 a:2@12 old:1@19 = a:3",
        },
        DirectoryCase {
            name: "unreadable rows",
            steps: "0 changes 10 20 x!@12 b:1@13 = a:1 b:1; 1 changes 20 21 a!@21 = b:1;
                2 changes 21 22 a:1@22 = a:1 b:1; 3 fail = a:1 b:1;
                3 changes 22 23 a!@23 x!@23 = a:1 b:1; 4 answer = a:1 b:1; 2004 expire = b:1",
        },
    ];
    cases.iter().for_each(run);
}

/// Guards against heartbeats, which change only the warm-up, that are sent to the other VMs or give
/// servers a new `Arc`, and against a change with a wrong start after a peer reported a part of it
/// during the read.
#[test]
fn only_changes_are_reported() {
    let cold = |version, port, incarnation, warm_up_ms| {
        let value = Some(value(json!(["maps", port, 2, incarnation, warm_up_ms, false, version])));
        TableRow { value, ..row(&format!("a-@{version}")) }
    };
    let mut directory = UpstreamDirectory::new(DirectoryTuning::default());
    let first = directory.replace::<TestCodec>(&page(10, vec![cold(9, 1, 1, 3000)]), at(0));
    assert_eq!((first.since, first.changed_rows.len(), first.upstreams_changed), (None, 0, true));
    let original = directory.servers().next().cloned().expect("a is usable");
    let mut apply = |from, row: TableRow, millis| {
        let page = page(row.version, vec![row]);
        let change = directory.apply_changes::<TestCodec>(from, &page, at(millis)).expect("no gap");
        (change, directory.servers().next().cloned())
    };

    let (change, renewed) = apply(10, cold(11, 1, 1, 1500), 1500);
    assert_eq!(change, DirectoryChange { since: Some(10), ..DirectoryChange::default() });
    assert!(renewed.is_some_and(|renewed| Arc::ptr_eq(&original, &renewed)));
    let (change, readdressed) = apply(9, cold(12, 2, 1, 1200), 2000);
    assert_eq!((change.since, change.changed_rows), (Some(11), vec![cold(12, 2, 1, 1200)]));
    let readdressed = readdressed.map(|server| (server.address.port(), server.warm_up));
    assert_eq!(readdressed, Some((2, ClockSpan::from_secs(1))));
    let (_, restarted) = apply(12, cold(13, 2, 2, 700), 2000);
    assert_eq!(restarted.map(|server| server.warm_up), Some(ClockSpan::from_millis(700)));
    for (version, count) in [(14, 1), (15, 0)] {
        let (change, _) = apply(version - 1, row(&format!("a!@{version}")), 2000);
        assert_eq!((change.changed_rows.len(), change.unreadable.len()), (count, count));
    }
}

struct TransitionCase {
    name: &'static str,
    row: &'static str,
    transition: Option<(&'static str, TransitionKind)>,
}

/// Guards against an upstream that becomes usable or unusable without a transition for the log, and
/// against a heartbeat or an unreadable row that is logged as one.
#[test]
fn transitions_report_what_changed() {
    let cases = [
        TransitionCase { name: "heartbeat", row: "a:1@11", transition: None },
        TransitionCase {
            name: "new",
            row: "b:1@11",
            transition: Some(("b", TransitionKind::Added)),
        },
        TransitionCase {
            name: "draining",
            row: "a:1~@11",
            transition: Some(("a", TransitionKind::Leaving)),
        },
        TransitionCase {
            name: "removed",
            row: "a-@11",
            transition: Some(("a", TransitionKind::Removed)),
        },
        TransitionCase { name: "unreadable and new", row: "b!@11", transition: None },
    ];
    for case in cases {
        let mut directory = UpstreamDirectory::new(DirectoryTuning::default());
        let first = directory.replace::<TestCodec>(&page(10, vec![row("a:1@9")]), at(0));
        assert_eq!(first.transitions, [], "{}: the first read", case.name);
        let change =
            directory.apply_changes::<TestCodec>(10, &page(11, vec![row(case.row)]), at(1));
        let expected = case
            .transition
            .map(|(name, kind)| UpstreamTransition { upstream: SharedName::from(name), kind });
        assert_eq!(change.expect("no gap").transitions, Vec::from_iter(expected), "{}", case.name);
    }
}

struct ChangesCase {
    name: &'static str,
    after: u64,
    /// The versions of the rows, or `None` if the changes are not known.
    versions: Option<&'static [u64]>,
}

/// Guards against a VM that misses changes and gets only a part of them from a peer, and against a
/// log of changes that grows without bound.
#[test]
fn changes_are_kept_for_vms_that_missed_them() {
    let tuning = DirectoryTuning { change_limit: 3, ..DirectoryTuning::default() };
    let mut directory = UpstreamDirectory::new(tuning);
    assert_eq!(directory.changes_since(0), None, "nothing was read");
    directory.replace::<TestCodec>(&page(10, vec![row("a:1@9")]), at(0));
    let updates = [
        (10, page(12, vec![row("b:1@11"), row("c:1@12")])),
        (12, page(15, vec![row("b:2@14")])),
        (15, page(18, vec![row("d:1@17")])),
    ];
    for (from, update) in updates {
        directory.apply_changes::<TestCodec>(from, &update, at(1)).expect("no gap");
    }
    let case = |name, after, versions| ChangesCase { name, after, versions };
    let cases = [
        case("before the log", 10, None),
        case("from its start", 11, Some(&[12, 14, 17][..])),
        case("in the middle", 14, Some(&[17])),
        case("between two versions", 13, Some(&[14, 17])),
        case("up to date", 18, Some(&[])),
    ];
    for case in cases {
        let changes = directory.changes_since(case.after);
        let position = changes.as_ref().map(|page| page.position);
        assert_eq!(position, case.versions.map(|_| 18), "{}", case.name);
        let versions =
            changes.map(|page| page.rows.iter().map(|row| row.version).collect::<Vec<_>>());
        assert_eq!(versions.as_deref(), case.versions, "{}", case.name);
    }
}

/// Guards against reports of upstreams that leave which fill the memory of a VM, and against a row
/// that is replaced and so makes such an upstream usable.
#[test]
fn reports_of_leaving_upstreams_are_bounded_and_outlast_their_rows() {
    let tuning = DirectoryTuning { draining_limit: 3, ..DirectoryTuning::default() };
    let mut directory = UpstreamDirectory::new(tuning);
    directory.replace::<TestCodec>(&page(10, vec![row("a:1@9")]), at(0));
    assert!(directory.record_draining("a", 1, at(1)));
    for (from, update) in [(10, "a:1@11"), (11, "a:1@12")] {
        let update = page(from + 1, vec![row(update)]);
        directory.apply_changes::<TestCodec>(from, &update, at(2)).expect("no gap");
        assert_eq!(usable(&directory), "", "{from}");
    }
    let update = page(13, vec![row("a:2@13")]);
    directory.apply_changes::<TestCodec>(12, &update, at(3)).expect("no gap");
    assert_eq!(usable(&directory), "a:2", "a new incarnation");
    for number in 0..10 {
        directory.record_draining("x", number, at(4));
    }
    assert_eq!(directory.drain_marks().count(), 3);
}
