//! Evacuations of data centres, as they arrive from the store and from peers.

mod support;

use std::sync::Arc;

use base::prelude::*;
use directory::prelude::*;
use serde_json::json;
use store::prelude::TableRow;
use support::*;
use world::prelude::*;

fn mark(centre: &str, version: u64, active: bool) -> EvacuationMark {
    EvacuationMark { centre: centre.into(), version, active }
}

struct OrderCase {
    name: &'static str,
    marks: &'static [(u64, bool)],
    evacuated: bool,
}

/// Guards against an evacuation that an older report ends or starts again.
#[test]
fn the_newest_mark_counts() {
    let cases = [
        OrderCase { name: "started", marks: &[(3, true)], evacuated: true },
        OrderCase { name: "ended", marks: &[(3, true), (5, false)], evacuated: false },
        OrderCase { name: "start arrives late", marks: &[(5, false), (3, true)], evacuated: false },
        OrderCase { name: "again", marks: &[(3, true), (5, false), (8, true)], evacuated: true },
        OrderCase { name: "end arrives late", marks: &[(8, true), (5, false)], evacuated: true },
        OrderCase { name: "repeated", marks: &[(3, true), (3, true)], evacuated: true },
    ];
    for case in cases {
        let mut table = EvacuationTable::default();
        for (version, active) in case.marks {
            table.apply(&mark("north", *version, *active));
        }
        assert_eq!(table.is_evacuated("north"), case.evacuated, "{}", case.name);
        assert!(!table.is_evacuated("south"), "{}", case.name);
    }
}

/// Guards against an evacuation whose end was missed and that never ends, and against a read that
/// ends one that is newer.
#[test]
fn a_complete_read_ends_missing_evacuations() {
    let mut table = EvacuationTable::default();
    for (centre, version) in [("north", 3), ("south", 4), ("west", 20)] {
        assert!(table.apply(&mark(centre, version, true)));
    }
    let ended = table.end_missing(&["south"], 10);
    assert_eq!(ended, [mark("north", 10, false)]);
    let evacuated = ["north", "south", "west"].map(|centre| table.is_evacuated(centre));
    assert_eq!(evacuated, [false, true, true]);
    assert!(!table.apply(&mark("north", 3, true)));
}

/// Guards against rows with many names that fill the memory.
#[test]
fn marks_are_bounded() {
    let mut table = EvacuationTable::default();
    let known = (0..1000).filter(|index| table.apply(&mark(&format!("c{index}"), 1, true))).count();
    assert_eq!(known, 64);
}

/// Guards against an upstream that reports late in its life that it is cold again, and that is sent
/// calls as a warm one, also by VMs to which the row was reported by a peer.
#[test]
fn an_upstream_can_become_cold_again() {
    let mut directory = UpstreamDirectory::new(DirectoryTuning::default());
    let warm_up = |directory: &UpstreamDirectory| {
        directory.servers().next().map(|server| server.warm_up).unwrap_or_default()
    };
    let mut apply = |version, warm_ms: u64, now| {
        let row = json!(["maps", 1, 2, 7, warm_ms, false, version]);
        let row = TableRow { key: "u1".into(), version, value: Some(value(row)) };
        let page = page(version, vec![row]);
        let from = directory.position().unwrap_or(0);
        let now = ClockTime::from_millis(now);
        let change = match directory.position() {
            None => directory.replace::<TestCodec>(&page, now),
            Some(_) => directory.apply_changes::<TestCodec>(from, &page, now).unwrap(),
        };
        (change.changed_rows.len(), warm_up(&directory))
    };
    let seconds = ClockSpan::from_secs;
    assert_eq!(apply(1, 3_000, 0).1, seconds(3));
    // The heartbeats of a warm-up that goes on are no news.
    assert_eq!(apply(2, 1_500, 1_500), (0, seconds(3)));
    assert_eq!(apply(3, 0, 3_000), (0, seconds(3)));
    let (rows, again) = apply(4, 3_000, 60_000);
    assert_eq!(rows, 1);
    assert!(again >= seconds(3) && again < seconds(4), "{again}");
}

/// Guards against an environment that keeps upstreams of an evacuated data centre, or loses the
/// restrictions of its configuration.
#[test]
fn environments_are_restricted() {
    let config = value(json!([5, [["x", 200, 1500, "maps"]], [["maps", 10]]]));
    let config = TestCodec::decode_config(&config).expect("the configuration is readable");
    let bounds = FleetBounds {
        name: "test".into(),
        centres: Vec::new(),
        links: Vec::new(),
        vm_ceiling: 15,
        retry_window: RetryWindow { ratio: 0.2, slack: 58.0, span: ClockSpan::from_secs(10) },
        probe_rate: 60.0,
        probe_cost: ClockSpan::from_millis(1),
        queue_limit: 40,
    };
    let mut directory = UpstreamDirectory::new(DirectoryTuning::default());
    directory.replace::<TestCodec>(&page(2, vec![row("a:1@1"), row("b:1@2")]), at(0));
    let map = build_environment(&config, &directory, &bounds, None);
    let rules = ConfigRules {
        access: Arc::new(AccessRules {
            accounts: Some(AccountTable::default()),
            ..AccessRules::default()
        }),
        cold_rates: [(map.contracts[0].name.clone(), 4.0)].into(),
    };
    let before: usize = map.upstreams.values().map(Vec::len).sum();
    assert!(before > 0);
    let kept = restrict_environment(map.clone(), &rules, |_| false);
    assert_eq!(kept.upstreams, map.upstreams);
    assert_eq!((kept.contracts[0].cold_rate, &kept.access), (Some(4.0), &rules.access));
    let emptied = restrict_environment(map, &rules, |_| true);
    assert_eq!(emptied.upstreams.values().map(Vec::len).sum::<usize>(), 0);
}
