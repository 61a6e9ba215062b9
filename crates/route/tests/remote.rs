//! The share of calls that leave the data centre, for loads that change with time.

mod support;

use base::prelude::*;
use route::prelude::*;
use support::*;

const TUNING: RemoteTuning = RemoteTuning::STANDARD;
/// The time between two updates of the share.
const STEP_MS: u64 = 50;

fn load(home_load: f64, away_load: f64) -> RemoteLoad {
    RemoteLoad {
        home_slots: 40.0,
        away_slots: 80.0,
        home_load,
        away_load,
        latency_ms: 100.0,
        round_trip_ms: 2.8,
    }
}

/// Returns the share after `millis` of a load.
fn after(share: &mut RemoteShare, from: &mut ClockTime, load: RemoteLoad, millis: u64) -> f64 {
    let mut last = 0.0;
    for _ in 0..millis / STEP_MS {
        *from = *from + ClockSpan::from_millis(STEP_MS);
        last = share.update(&load, &TUNING, *from);
    }
    last
}

struct ShareCase {
    name: &'static str,
    load: RemoteLoad,
    least: f64,
    most: f64,
}

/// Guards against calls that leave although that does not pay, and against calls that stay at a home
/// that has no room.
#[test]
fn the_share_follows_the_load() {
    let cases = [
        ShareCase { name: "room at home", load: load(0.5, 0.1), least: 0.0, most: 0.0 },
        ShareCase { name: "both busy", load: load(1.1, 1.1), least: 0.0, most: 0.0 },
        ShareCase { name: "home overloaded", load: load(1.5, 0.3), least: 0.2, most: 0.7 },
        ShareCase {
            name: "little room away",
            load: RemoteLoad { away_slots: 4.0, ..load(1.5, 0.8) },
            least: 0.0,
            most: 0.1,
        },
        ShareCase {
            name: "no upstreams away",
            load: RemoteLoad { away_slots: 0.0, ..load(1.5, 0.0) },
            least: 0.0,
            most: 0.0,
        },
        ShareCase {
            name: "no upstreams at home",
            load: RemoteLoad { home_slots: 0.0, ..load(0.0, 0.5) },
            least: 1.0,
            most: 1.0,
        },
        ShareCase {
            name: "far away",
            load: RemoteLoad { round_trip_ms: 200.0, ..load(1.3, 0.1) },
            least: 0.0,
            most: 0.0,
        },
    ];
    for ShareCase { name, load, least, most } in cases {
        let (mut share, mut now) = (RemoteShare::default(), ClockTime::from_millis(1_000));
        let mut value = 0.0;
        for _ in 0..100 {
            // The calls that leave are missing at home and arrive away.
            let moved = load.home_load * value;
            let home_load = load.home_load - moved;
            let away_load = load.away_load + moved * load.home_slots / load.away_slots.max(1.0);
            let present = RemoteLoad { home_load, away_load, ..load };
            value = after(&mut share, &mut now, present, STEP_MS);
        }
        assert!((least..=most).contains(&value), "{name}: {value}");
    }
}

/// Guards against VMs that all leave, or all return, at once: the share changes at a bounded rate, and
/// is zero again soon after home has recovered.
#[test]
fn the_share_rises_and_falls_at_a_bounded_rate() {
    let (mut share, mut now) = (RemoteShare::default(), ClockTime::from_millis(1_000));
    assert_eq!(after(&mut share, &mut now, load(0.4, 0.3), 1_000), 0.0);
    let mut before = 0.0;
    let step = STEP_MS as f64 / 1000.0;
    for (home, millis) in [(1.6, 2_000), (0.4, 3_000)] {
        for _ in 0..millis / STEP_MS {
            let next = after(&mut share, &mut now, load(home, 0.3), STEP_MS);
            let change = next - before;
            assert!(change <= TUNING.rise_per_second * step + 1e-9, "{change}");
            assert!(-change <= TUNING.fall_per_second * step + 1e-9, "{change}");
            before = next;
        }
        assert_eq!(before > 0.0, home > 1.0, "{before}");
    }
}

/// Guards against a share that flaps around the load at which leaving begins to pay.
#[test]
fn leaving_starts_later_than_it_ends() {
    let advantages = |start: f64| {
        let (mut share, mut now) = (RemoteShare::default(), ClockTime::from_millis(1_000));
        after(&mut share, &mut now, load(start, 0.3), 2_000);
        after(&mut share, &mut now, load(0.86, 0.3), 500)
    };
    assert_eq!(advantages(0.5), 0.0);
    assert!(advantages(1.6) > 0.0);
}

/// Guards against old load reports that keep the share up after the last call.
#[test]
fn old_reports_decay_to_the_mean_of_the_service() {
    let (mut share, now) = (RemoteShare::default(), ClockTime::from_millis(1_000));
    (0..20).for_each(|_| share.record_load(2.0, true, &TUNING, now));
    assert!(share.mean_load(true, 0.2, &TUNING, now) > 1.9);
    let later = now + ClockSpan::from_secs(5);
    assert!((share.mean_load(true, 0.2, &TUNING, later) - 0.2).abs() < 0.01);
    assert_eq!(share.mean_load(false, 0.2, &TUNING, now), 0.2);
}

fn table(remote: Option<RemoteTuning>) -> UpstreamTable {
    let table = UpstreamTable::new("medeu".into()).with_vm("vm-1").with_remote(remote);
    let servers = [near("a", 1), near("b", 1), far("x", 1), far("y", 1)];
    table.apply(&environment(1, &servers), ClockTime::from_millis(1_000));
    table
}

/// Guards against a choice that leaves the data centre while home has room, that refuses a call
/// although there is room away, or that names another reason.
#[test]
fn calls_leave_only_for_a_reason() {
    let policy = PolicyKind::Paced(PacedChoice::default());
    let mut random = RandomSource::from_seed(SEED);
    let table = table(Some(TUNING));
    let now = ClockTime::from_millis(2_000);
    let mut reserved = Vec::new();
    for _ in 0..4 {
        let next = table.reserve(&policy, SERVICE, &[], now, &mut random);
        reserved.push(next.expect("there is a free slot"));
    }
    let reasons: Vec<_> = reserved.iter().map(|next| next.evidence().remote).collect();
    use RemoteReason::{Home, NoRoom};
    assert_eq!(reasons, [Home, Home, NoRoom, NoRoom]);
    let is_far = |next: &UpstreamReservation| next.server().centre.as_str() == "bostandyk";
    assert_eq!(reserved.iter().map(is_far).collect::<Vec<_>>(), [false, false, true, true]);
}

/// Guards against a slow upstream at home, such as one beside a noisy neighbour, that keeps its calls.
#[test]
fn a_call_leaves_a_slow_home() {
    let policy = PolicyKind::Paced(PacedChoice::default());
    let mut random = RandomSource::from_seed(SEED);
    let table = table(Some(TUNING));
    let now = ClockTime::from_millis(2_000);
    let reports = [("a", 400), ("b", 400), ("x", 100), ("y", 100)];
    for (upstream, percent) in reports {
        let source = ReportSource::Probe;
        let report = LoadReport { pace_percent: Some(percent), source, ..report(0, 1, 0) };
        table.observe(upstream, report, now);
    }
    let first = table.reserve(&policy, SERVICE, &[], now, &mut random).expect("a free slot");
    // The latency of the service is unknown before its first call has ended.
    let outcome = CallOutcome {
        latency: ClockSpan::from_millis(100),
        result: CallResult::Success,
        load: None,
    };
    table.finish(first, outcome, now);
    let next = table.reserve(&policy, SERVICE, &[], now, &mut random).expect("a free slot");
    assert_eq!(next.evidence().remote, RemoteReason::Slow);
    assert_eq!(next.server().centre.as_str(), "bostandyk");
}
