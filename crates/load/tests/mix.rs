//! The ready-made mixes against the checked-in documents.

use load::prelude::*;
use world::prelude::*;

const ALMATY: &[u8] = include_bytes!("../../../examples/almaty.json");
const VITI: &[u8] = include_bytes!("../../../examples/viti.json");
/// Numbers put in the place of `{n}`, with the extremes of the spread.
const NUMBERS: [u64; 3] = [0, 7, 9_999];

struct KindCase {
    document: &'static [u8],
    mix: fn() -> Vec<RequestKind>,
    kind: &'static str,
    service: &'static str,
    class: WorkClass,
    idempotent: bool,
    deferred: bool,
}

const CASES: [KindCase; 8] = [
    KindCase {
        document: ALMATY,
        mix: almaty_mix,
        kind: "phase lookup",
        service: "phase-desk",
        class: WorkClass::Urgent,
        idempotent: true,
        deferred: false,
    },
    KindCase {
        document: ALMATY,
        mix: almaty_mix,
        kind: "booking",
        service: "booking-desk",
        class: WorkClass::Normal,
        idempotent: false,
        deferred: false,
    },
    KindCase {
        document: ALMATY,
        mix: almaty_mix,
        kind: "correction",
        service: "almanac-office",
        class: WorkClass::Normal,
        idempotent: false,
        deferred: false,
    },
    KindCase {
        document: ALMATY,
        mix: almaty_mix,
        kind: "archive pull",
        service: "almanac-office",
        class: WorkClass::Deferrable,
        idempotent: true,
        deferred: false,
    },
    KindCase {
        document: VITI,
        mix: viti_mix,
        kind: "tree count",
        service: "grove-view",
        class: WorkClass::Urgent,
        idempotent: true,
        deferred: false,
    },
    KindCase {
        document: VITI,
        mix: viti_mix,
        kind: "pledge",
        service: "pledge-desk",
        class: WorkClass::Normal,
        idempotent: false,
        deferred: false,
    },
    KindCase {
        document: VITI,
        mix: viti_mix,
        kind: "certificate",
        service: "cert-house",
        class: WorkClass::Normal,
        idempotent: false,
        deferred: false,
    },
    KindCase {
        document: VITI,
        mix: viti_mix,
        kind: "nursery report",
        service: "grove-view",
        class: WorkClass::Deferrable,
        idempotent: true,
        deferred: true,
    },
];

/// Guards against a mix whose requests are answered with 404 or run under the wrong rule, and
/// against work that runs at most once without a key.
#[test]
fn every_kind_hits_its_rule() {
    for case in &CASES {
        let map = border::load_document(case.document, 1).expect("the document is valid");
        let mix = (case.mix)();
        let kind = mix.iter().find(|kind| kind.name == case.kind).expect(case.kind);
        for number in NUMBERS {
            let path = kind.path.replace("{n}", &number.to_string());
            let contract = map.contract_for(&kind.host, &path).expect(case.kind);
            assert_eq!(contract.name, case.service, "{}", case.kind);
            let rule = contract.rule_for(&kind.method, &path).expect(case.kind);
            let expected = (case.class, case.idempotent, case.deferred);
            assert_eq!((rule.class, rule.idempotent, rule.deferred), expected, "{}", case.kind);
            assert_eq!(kind.class.as_str(), case.class.as_str(), "{}", case.kind);
            assert_eq!(kind.keyed, !rule.idempotent || rule.deferred, "{}", case.kind);
        }
    }
}

/// Guards against a kind of a mix that the cases above leave out.
#[test]
fn every_kind_has_a_case() {
    let mix = [almaty_mix(), viti_mix()].concat();
    let mut kinds: Vec<&str> = mix.iter().map(|kind| kind.name.as_str()).collect();
    let mut cases: Vec<&str> = CASES.iter().map(|case| case.kind).collect();
    kinds.sort_unstable();
    cases.sort_unstable();
    assert_eq!(kinds, cases);
}
