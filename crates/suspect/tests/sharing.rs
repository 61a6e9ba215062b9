//! Notices between VMs, owner VMs and shuffle shards.

#[path = "../../world/tests/sample/mod.rs"]
mod sample;

use base::prelude::*;
use suspect::prelude::SuspectStatus::{Cleared, Confirmed, Suspected};
use suspect::prelude::*;

const SUSPECT: u64 = 7;

fn table(vm: &str) -> SuspectTable {
    SuspectTable::new(vm.into(), SuspectTuning::default())
}

fn crash(table: &SuspectTable, fingerprint: u64, upstream: &str, now: ClockTime) -> SuspectNotice {
    let upstream = SharedName::from(upstream);
    table.start(fingerprint, &upstream, now);
    let notice = table.record_crash(&upstream, now).remove(0);
    table.finish(fingerprint, &upstream, now);
    notice
}

struct OrderCase {
    seed: u64,
    notices: usize,
}

/// Guards against VMs that disagree for ever because they received the same notices in a different
/// order, or twice.
#[test]
fn merge_order_does_not_matter() {
    let cases = (1..=40).map(|seed| OrderCase { seed, notices: 30 });
    for case in cases {
        let mut random = RandomSource::from_seed(case.seed);
        let notices = history(&mut random, case.notices);
        let now = ClockTime::from_millis(1_000_000);
        let reference = merged(&notices, now);
        for _ in 0..10 {
            let mut shuffled = notices.clone();
            for index in (1..shuffled.len()).rev() {
                shuffled.swap(index, random.below(index + 1));
            }
            let repeats: Vec<_> = shuffled.iter().filter(|_| random.chance(0.3)).cloned().collect();
            shuffled.extend(repeats);
            assert_eq!(merged(&shuffled, now), reference, "seed {}", case.seed);
        }
    }
}

/// Returns notices of four tables that record crashes, release and merge notices at random. All
/// ages are those at the same time.
fn history(random: &mut RandomSource, count: usize) -> Vec<SuspectNotice> {
    let tables: Vec<_> = (0..4).map(|index| table(&format!("vm-{index}"))).collect();
    let mut now = ClockTime::from_millis(1000);
    for _ in 0..count {
        now = now + ClockSpan::from_millis(random.below(5000) as u64);
        let fingerprint = random.below(3) as u64;
        let table = &tables[random.below(tables.len())];
        match random.below(10) {
            0 => drop(table.release(fingerprint)),
            1..5 => drop(crash(table, fingerprint, ["a", "b", "c"][random.below(3)], now)),
            _ => table
                .export(now, usize::MAX)
                .iter()
                .for_each(|notice| tables[random.below(tables.len())].merge(notice, now)),
        }
    }
    tables.iter().flat_map(|table| table.export(now, usize::MAX)).collect()
}

fn merged(notices: &[SuspectNotice], now: ClockTime) -> Vec<SuspectNotice> {
    let table = table("receiver");
    notices.iter().for_each(|notice| table.merge(notice, now));
    let mut known = table.export(now, usize::MAX);
    known.sort_unstable_by_key(|notice| notice.fingerprint);
    known
}

struct SpreadCase {
    name: &'static str,
    /// Upstreams whose crashes the first and the second VM detect.
    crashes: [&'static [&'static str]; 2],
    released: bool,
    /// Status on a third VM that received all notices, the oldest last.
    status: SuspectStatus,
}

const fn case(
    name: &'static str,
    crashes: [&'static [&'static str]; 2],
    released: bool,
    status: SuspectStatus,
) -> SpreadCase {
    SpreadCase { name, crashes, released, status }
}

const SPREAD_CASES: &[SpreadCase] = &[
    case("one crash at one VM", [&["a"], &[]], false, Suspected),
    case("the same crash at two VMs", [&["a"], &["a"]], false, Suspected),
    case("different crashes at two VMs", [&["a"], &["b"]], false, Confirmed),
    case(
        "a release overrides older notices that arrive later",
        [&["a", "b"], &["c"]],
        true,
        Cleared,
    ),
];

/// Guards against VMs that do not learn from each other, and against a release that an older notice
/// undoes.
#[test]
fn notices_spread() {
    for case in SPREAD_CASES {
        let now = ClockTime::from_millis(5000);
        let tables = [table("vm-0"), table("vm-1")];
        let mut notices = Vec::new();
        for (table, names) in tables.iter().zip(case.crashes) {
            notices.extend(names.iter().map(|name| crash(table, SUSPECT, name, now)));
        }
        let later = now + ClockSpan::from_secs(10);
        if case.released {
            tables[0].merge(notices.last().expect("a notice"), later);
            // The current time of the table is that of its last event.
            assert_eq!(tables[0].check(SUSPECT, later), SuspectDecision::Refuse);
            notices.insert(0, tables[0].release(SUSPECT));
        }
        let third = table("vm-2");
        for notice in &mut notices {
            let release = notice.incidents.is_empty();
            let waited = if release { ClockSpan::ZERO } else { ClockSpan::from_secs(10) };
            notice.incidents.iter_mut().for_each(|incident| incident.age += waited);
            third.merge(notice, later);
        }
        assert_eq!(third.list(later)[0].standing, case.status, "{}", case.name);
    }
}

/// Guards against a crash that is lost because the VM that detected it had not received a release.
#[test]
fn crash_after_release_counts_at_vms_that_missed_the_release() {
    let [first, second] = [table("vm-0"), table("vm-1")];
    let start = ClockTime::from_millis(1000);
    crash(&first, SUSPECT, "a", start);
    crash(&first, SUSPECT, "b", start);
    first.release(SUSPECT);
    let later = start + ClockSpan::from_secs(20);
    let notice = crash(&second, SUSPECT, "c", later);
    // The VM that missed the release receives it in reply, and sends the crash again.
    first.merge(&notice, later);
    first.take_notices(later).iter().for_each(|notice| second.merge(notice, later));
    assert_eq!(second.list(later)[0].standing, Suspected);
    second.take_notices(later).iter().for_each(|notice| first.merge(notice, later));
    assert_eq!(first.list(later)[0].standing, Suspected);
}

/// Guards against a confirmed status that is lost with a VM, and against a restarted VM that keeps
/// it longer than the others.
#[test]
fn restarted_vm_relearns_with_the_true_age() {
    let old = table("vm-0");
    let crashed = ClockTime::from_millis(1000);
    crash(&old, SUSPECT, "a", crashed);
    crash(&old, SUSPECT, "b", crashed);
    let exported = old.export(crashed + ClockSpan::from_secs(3000), 10);
    let restarted = table("vm-1");
    let start = ClockTime::from_millis(50);
    assert_eq!(restarted.check(SUSPECT, start), SuspectDecision::Run);
    exported.iter().for_each(|notice| restarted.merge(notice, start));
    let status = |now: ClockTime| restarted.list(now)[0].standing;
    assert_eq!(status(start + ClockSpan::from_secs(599)), Confirmed);
    assert_eq!(status(start + ClockSpan::from_secs(601)), Cleared);
}

/// Guards against two VMs that run suspects of one crash at the same time.
#[test]
fn owner_grants_one_isolated_run() {
    let members: Vec<SharedName> = ["vm-0", "vm-1", "vm-2"].map(SharedName::from).to_vec();
    let tables = ["vm-0", "vm-1", "vm-2"].map(table);
    let crashed = ClockTime::from_millis(1000);
    let notice = crash(&tables[0], SUSPECT, "a", crashed);
    for table in &tables {
        table.set_members(members.clone());
        table.merge(&notice, crashed);
    }
    assert_eq!(
        tables[0].isolation_owner(SUSPECT, crashed),
        None,
        "not before the settle time has passed"
    );
    let now = crashed + ClockSpan::from_secs(1);
    let owners: Vec<_> = tables.iter().map(|table| table.isolation_owner(SUSPECT, now)).collect();
    let position = owners.iter().position(Option::is_none).expect("one VM is the owner");
    let others: Vec<usize> = (0..3).filter(|index| *index != position).collect();
    let (owner, [holder, other]) = (&tables[position], [&tables[others[0]], &tables[others[1]]]);
    let name = members[position].clone();
    assert!(owners.iter().flatten().all(|vm| *vm == name));

    assert_eq!(holder.check(SUSPECT, now), SuspectDecision::Refuse, "no grant yet");
    assert!(owner.grant(SUSPECT, &members[others[0]], now));
    assert!(!owner.grant(SUSPECT, &members[others[1]], now), "one at a time");
    assert!(!other.grant(SUSPECT, &members[others[0]], now), "only the owner grants");
    holder.accept_grant(SUSPECT, name, now);
    assert_eq!(holder.check(SUSPECT, now), SuspectDecision::RunIsolated);
    holder.start(SUSPECT, &"b".into(), now);
    holder.finish(SUSPECT, &"b".into(), now);
    let reports = holder.take_reports();
    assert!(reports.len() == 1 && reports[0].survived);
    owner.release_grant(&reports[0], &members[others[0]], now);
    assert_eq!(owner.check(SUSPECT, now), SuspectDecision::RunIsolated, "free again");
    assert_eq!(holder.check(SUSPECT, now), SuspectDecision::Refuse, "the grant is used up");
}

struct EvictionCase {
    name: &'static str,
    /// Number of fingerprints that crash one upstream.
    suspected: u64,
    /// Number of fingerprints that crash two upstreams, before the others.
    confirmed: u64,
    /// Number of fingerprints that are released last.
    cleared: u64,
}

/// Guards against a table that grows without bound, or that evicts suspected or confirmed
/// fingerprints before cleared ones.
#[test]
fn table_is_bounded() {
    let cases = [
        EvictionCase { name: "cleared first", suspected: 30, confirmed: 20, cleared: 80 },
        EvictionCase { name: "then suspected", suspected: 120, confirmed: 20, cleared: 0 },
    ];
    for case in cases {
        let tuning = SuspectTuning { entries: 64, ..SuspectTuning::default() };
        let table = SuspectTable::new("vm".into(), tuning);
        let now = ClockTime::from_millis(1000);
        for fingerprint in 0..case.confirmed {
            crash(&table, fingerprint, "a", now);
            crash(&table, fingerprint, "b", now);
        }
        for fingerprint in 1000..1000 + case.suspected {
            crash(&table, fingerprint, "a", now);
        }
        for fingerprint in 2000..2000 + case.cleared {
            let empty = table.release(fingerprint);
            table.merge(&empty, now);
        }
        let list = table.list(now);
        let count = |status| list.iter().filter(|entry| entry.standing == status).count();
        assert!(list.len() <= 64, "{}: {} entries", case.name, list.len());
        assert_eq!(count(Confirmed) as u64, case.confirmed, "{}", case.name);
        if case.cleared > 0 {
            assert_eq!(count(Suspected) as u64, case.suspected, "{}", case.name);
        }
    }
}

struct CopyCase {
    name: &'static str,
    /// The time from the last event to the copy.
    age: ClockSpan,
    events: fn(&SuspectTable, ClockTime),
    expected: SuspectStatus,
    /// Whether the copy has a notice.
    is_copied: bool,
}

/// Guards against a VM that starts and learns less than its peer knows, or suspects what the peer
/// no longer does.
#[test]
fn a_copy_tells_a_vm_that_starts_what_matters() {
    let confirm = |table: &SuspectTable, now: ClockTime| {
        crash(table, SUSPECT, "a", now);
        crash(table, SUSPECT, "b", now);
    };
    let (soon, late) = (ClockSpan::from_secs(5), ClockSpan::from_secs(3 * 3600));
    let case = |name, age, events, expected, is_copied| CopyCase {
        name,
        age,
        events,
        expected,
        is_copied,
    };
    let cases = [
        case("nothing", soon, |_, _| {}, Cleared, false),
        case(
            "suspected",
            soon,
            |table, now| drop(crash(table, SUSPECT, "a", now)),
            Suspected,
            true,
        ),
        case("confirmed", soon, confirm, Confirmed, true),
        case("expired", late, confirm, Cleared, false),
        case("released", soon, |table, _| drop(table.release(SUSPECT)), Cleared, true),
        case("released long ago", late, |table, _| drop(table.release(SUSPECT)), Cleared, false),
    ];
    for CopyCase { name, age, events, expected, is_copied } in cases {
        let (old, new) = (table("old"), table("new"));
        let crashed = ClockTime::from_millis(1_000);
        // Sets the time of the table, which a release uses.
        old.check(SUSPECT, crashed);
        events(&old, crashed);
        let now = crashed + age;
        let copy = old.copy(now);
        assert_eq!(!copy.is_empty(), is_copied, "{name}");
        // The process of the new VM has just started.
        let started = ClockTime::from_millis(10);
        copy.iter().for_each(|notice| new.merge(notice, started));
        let standing = new.list(started).first().map_or(Cleared, |entry| entry.standing);
        assert_eq!(standing, expected, "{name}");
        assert_eq!(new.digest(started), old.digest(now), "{name}");
        assert_eq!(old.digest(now) != 0, is_copied, "{name}");
    }
}

/// Guards against a copy without a bound, and against one that leaves out confirmed suspects.
#[test]
fn a_copy_is_bounded() {
    let tuning = SuspectTuning { copied: 8, ..SuspectTuning::default() };
    let table = SuspectTable::new("vm".into(), tuning);
    let now = ClockTime::from_millis(1000);
    for fingerprint in 0..4 {
        crash(&table, fingerprint, "a", now);
        crash(&table, fingerprint, "b", now);
    }
    for fingerprint in 4..40 {
        crash(&table, fingerprint, "a", now + ClockSpan::from_millis(fingerprint));
    }
    let copied: Vec<u64> =
        table.copy(now + ClockSpan::from_secs(1)).iter().map(|n| n.fingerprint).collect();
    assert_eq!(copied, [0, 1, 2, 3, 39, 38, 37, 36]);
}

/// Guards against records that are never exported: calls in succession must cover the table.
#[test]
fn export_covers_the_table_in_turns() {
    let table = table("vm");
    let now = ClockTime::from_millis(1000);
    (0..10).for_each(|fingerprint| drop(crash(&table, fingerprint, "a", now)));
    let mut seen: Vec<u64> =
        (0..4).flat_map(|_| table.export(now, 3)).map(|notice| notice.fingerprint).collect();
    seen.sort_unstable();
    seen.dedup();
    assert_eq!(seen.len(), 10);
}

struct ShardCase {
    name: &'static str,
    upstreams: usize,
    /// Whether an upstream of the service crashed shortly before.
    guarded: bool,
    /// Upstreams on which the request may run.
    allowed: usize,
}

/// Records a crash by another request in both tables.
fn crash_elsewhere(tables: [&SuspectTable; 2], upstream: &SharedName, now: ClockTime) {
    for table in tables {
        table.start(SUSPECT + 1, upstream, now);
        table.record_crash(upstream, now);
    }
}

/// Guards against copies of one new request that spread over a service, and against limits for
/// proven ones.
#[test]
fn unproven_requests_stay_in_their_shard() {
    let cases = [
        ShardCase { name: "one upstream", upstreams: 1, guarded: false, allowed: 1 },
        ShardCase { name: "two upstreams", upstreams: 2, guarded: false, allowed: 2 },
        ShardCase { name: "ten upstreams", upstreams: 10, guarded: false, allowed: 3 },
        ShardCase { name: "two after a crash", upstreams: 2, guarded: true, allowed: 2 },
        ShardCase { name: "ten after a crash", upstreams: 10, guarded: true, allowed: 2 },
    ];
    for case in cases {
        let now = ClockTime::from_millis(1000);
        let servers = sample::servers("grove-view", case.upstreams);
        let [first, second] = [table("vm-0"), table("vm-1")];
        if case.guarded {
            crash_elsewhere([&first, &second], &servers[0].name, now);
        }
        let excluded = first.excluded_upstreams(SUSPECT, &servers, now);
        assert_eq!(excluded.len(), case.upstreams - case.allowed, "{}", case.name);
        assert_eq!(excluded, second.excluded_upstreams(SUSPECT, &servers, now), "{}", case.name);
        // Calls that start at the time of the crash would not count as survived.
        let later = now + ClockSpan::from_secs(2);
        for _ in 0..3 {
            first.start(SUSPECT, &servers[0].name, later);
            first.finish(SUSPECT, &servers[0].name, later);
        }
        assert!(
            first.excluded_upstreams(SUSPECT, &servers, later).is_empty(),
            "{}: proven",
            case.name
        );
    }
}

struct UnshardedCase {
    name: &'static str,
    upstreams: usize,
    /// Indexes of the upstreams that the request may have crashed.
    crashed: &'static [usize],
    /// Indexes of the upstreams to which it must not be sent.
    excluded: &'static [usize],
}

/// Guards against new requests that are limited to a few upstreams where nearly all requests are
/// new, and against a suspect that returns to the upstream that it may have crashed.
#[test]
fn unsharded_requests_avoid_only_what_they_may_have_crashed() {
    let cases = [
        UnshardedCase { name: "new", upstreams: 10, crashed: &[], excluded: &[] },
        UnshardedCase { name: "suspected", upstreams: 10, crashed: &[3], excluded: &[3] },
        UnshardedCase { name: "no other upstream", upstreams: 1, crashed: &[0], excluded: &[] },
        UnshardedCase { name: "confirmed", upstreams: 10, crashed: &[3, 4], excluded: &[] },
    ];
    for case in cases {
        let table = SuspectTable::new("vm".into(), SuspectTuning::unsharded());
        let servers = sample::servers("grove-view", case.upstreams);
        let now = ClockTime::from_millis(1000);
        for index in case.crashed {
            crash(&table, SUSPECT, &servers[*index].name, now);
        }
        let expected: Vec<_> =
            case.excluded.iter().map(|index| servers[*index].name.clone()).collect();
        assert_eq!(table.excluded_upstreams(SUSPECT, &servers, now), expected, "{}", case.name);
        assert!(
            table.excluded_upstreams(SUSPECT + 1, &servers, now).is_empty(),
            "{}: another",
            case.name
        );
        let refused = table.check(SUSPECT, now) == SuspectDecision::Refuse;
        assert_eq!(refused, !case.crashed.is_empty(), "{}", case.name);
    }
}

/// Guards against a shard that changes while notices are under way, and against one that keeps an
/// upstream that is down.
#[test]
fn shard_changes_after_a_crash_has_settled() {
    let table = table("vm");
    let servers = sample::servers("grove-view", 10);
    let now = ClockTime::from_millis(1000);
    // An earlier crash limits the fingerprint to a shard of two upstreams.
    table.record_crash(&servers[0].name, now);
    let now = now + ClockSpan::from_secs(31);
    let before = table.excluded_upstreams(SUSPECT, &servers, now);
    let shard_member = servers
        .iter()
        .find(|server| !before.contains(&server.name))
        .expect("an upstream of the shard");
    table.record_crash(&shard_member.name, now);
    assert_eq!(table.excluded_upstreams(SUSPECT, &servers, now + ClockSpan::from_secs(1)), before);
    let changed = table.excluded_upstreams(SUSPECT, &servers, now + ClockSpan::from_millis(1001));
    assert!(changed.contains(&shard_member.name));
    assert_eq!(table.excluded_upstreams(SUSPECT, &servers, now + ClockSpan::from_secs(31)), before);
}

/// Guards against a change of membership that moves suspects whose owner VM stays.
#[test]
fn owner_changes_only_with_its_own_vm() {
    let members: Vec<SharedName> =
        (0..15).map(|index| SharedName::from(format!("vm-{index}"))).collect();
    let fewer = &members[1..];
    let mut counts = [0; 15];
    for key in 0..3000 {
        let before = owner(key, &members).expect("members");
        counts[members.iter().position(|vm| vm == before).expect("a member")] += 1;
        if *before != members[0] {
            assert_eq!(owner(key, fewer), Some(before), "key {key}");
        }
    }
    assert!(counts.iter().all(|count| (100..300).contains(count)), "uneven: {counts:?}");
    assert_eq!(owner(1, &[]), None);
}
