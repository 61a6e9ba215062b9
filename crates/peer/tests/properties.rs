//! Property tests with damaged copies of peers.

use base::prelude::*;
use directory::entry::VmEntry;
use directory::prelude::DrainMark;
use member::prelude::*;
use peer::prelude::*;
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use serde_json::{Value, json};
use world::prelude::VmIdentity;

const SEED: u64 = 20_261_205;
const CASES: u32 = 2_000;
const NOW: ClockTime = ClockTime::from_millis(100_000);

fn runner() -> TestRunner {
    let rng_seed = RngSeed::Fixed(SEED);
    TestRunner::new(Config {
        cases: CASES,
        rng_seed,
        failure_persistence: None,
        ..Config::default()
    })
}

/// Values that another release or a fault could put into a field.
fn odd_values() -> impl Strategy<Value = Value> {
    let nested = (0..200).fold(json!(1), |inner, _| json!([inner]));
    select(vec![
        json!(null),
        json!(-1),
        json!(0.5),
        json!(u64::MAX),
        json!(1e300),
        json!(""),
        json!("127.0.0.1:65536"),
        json!("127.0.0.1:0"),
        json!("a\u{0}b"),
        json!([]),
        json!({}),
        nested,
    ])
}

fn own_entry() -> VmEntry {
    let vm = VmIdentity { name: "vm-1".into(), incarnation: 1, centre: "a".into() };
    let address = ([127, 0, 0, 1], 7200).into();
    VmEntry { vm, exchange_address: address, control_address: address }
}

fn members() -> Value {
    let entry = VmEntry { vm: VmIdentity { name: "vm-2".into(), ..own_entry().vm }, ..own_entry() };
    let members = vec![MemberNotice { entry, silent_ms: 5 }];
    serde_json::to_value(MembersCopy {
        members,
        config_version: 3,
        suspect_digest: 4,
        is_settled: true,
        drains: vec![DrainMark { upstream: "b".into(), incarnation: 2 }],
    })
    .expect("a value")
}

fn table() -> Value {
    let rows = vec![RowCopy { key: "a".into(), version: 4, value: Some("{}".to_owned()) }];
    let drains = vec![DrainMark { upstream: "b".into(), incarnation: 2 }];
    let copy = TableCopy { since: Some(3), position: 5, read_age_ms: 10, rows, drains };
    serde_json::to_value(copy).expect("a value")
}

/// The fields of a list of VMs and of a table that are replaced.
const MEMBER_FIELDS: [&str; 9] = [
    "/members",
    "/members/0/entry/vm/name",
    "/members/0/entry/vm/incarnation",
    "/members/0/entry/vm/centre",
    "/members/0/entry/exchange_address",
    "/members/0/entry/control_address",
    "/members/0/silent_ms",
    "/config_version",
    "/drains",
];
const TABLE_FIELDS: [&str; 7] =
    ["/since", "/position", "/read_age_ms", "/rows", "/rows/0/key", "/rows/0/version", "/drains"];

fn changed(mut copy: Value, field: &str, value: Value) -> Vec<u8> {
    *copy.pointer_mut(field).expect("a field of the copy") = value;
    serde_json::to_vec(&copy).expect("a text")
}

/// Guards against a peer of another release, or a damaged copy, that ends the process: each is an
/// error, or has a meaning that does no harm.
#[test]
fn odd_lists_of_vms_end_no_process() {
    let run = |(field, value): (&str, Value)| {
        let copy = changed(members(), field, value);
        let Ok(copy) = serde_json::from_slice::<MembersCopy>(&copy) else { return Ok(()) };
        let mut table = MembershipTable::new(own_entry(), MembershipTuning::default(), SEED);
        table.merge_members(&copy.members, NOW);
        table.due_hellos(NOW);
        table.neighbours(NOW);
        prop_assert!(table.live_entries().count() <= 1);
        prop_assert!(table.members(NOW).len() <= 2);
        Ok(())
    };
    let input = (select(MEMBER_FIELDS.to_vec()), odd_values());
    runner().run(&input, run).expect("no odd list does harm");
}

/// Guards against a copy of a table that ends the process in the same way.
#[test]
fn odd_copies_of_tables_end_no_process() {
    let run = |(field, value): (&str, Value)| {
        let copy = changed(table(), field, value);
        let Ok(copy) = serde_json::from_slice::<TableCopy>(&copy) else { return Ok(()) };
        let age = ClockSpan::from_millis(copy.read_age_ms);
        prop_assert!(NOW - age <= NOW);
        prop_assert!(copy.into_page().rows.len() <= 1);
        Ok(())
    };
    let input = (select(TABLE_FIELDS.to_vec()), odd_values());
    runner().run(&input, run).expect("no odd copy does harm");
}

/// Guards against a text that is no copy and ends the process or takes memory without bound.
#[test]
fn random_texts_are_copies_or_errors() {
    let run = |text: String| {
        let _ = copy_of_text(&text);
        Ok(())
    };
    runner().run(&"[A-Za-z0-9+/=\" ]{0,200}", run).expect("no text does harm");
}
