//! Loading of environment documents.

mod common;

use border::{document_digest, load_document};
use common::{ALMATY, Edit, VITI, edited};
use world::prelude::*;

struct ExampleCase {
    name: &'static str,
    document: &'static [u8],
    centres: [&'static str; 3],
    one_way_ms: f64,
    services: [(&'static str, usize); 3],
    slots: u32,
    first_port: u16,
    probe_share: f64,
}

/// Guards against examples that differ from the users' environments of the design page.
#[test]
fn examples_have_the_stated_sizes() {
    let cases = [
        ExampleCase {
            name: "almaty",
            document: ALMATY,
            centres: ["medeu", "bostandyk", "auezov"],
            one_way_ms: 1.0,
            services: [("phase-desk", 12), ("booking-desk", 6), ("almanac-office", 11)],
            slots: 6,
            first_port: 21001,
            probe_share: 0.01,
        },
        ExampleCase {
            name: "viti",
            document: VITI,
            centres: ["suva", "lautoka", "labasa"],
            one_way_ms: 0.5,
            services: [("grove-view", 10), ("pledge-desk", 6), ("cert-house", 12)],
            slots: 2,
            first_port: 22001,
            probe_share: 0.005,
        },
    ];
    for case in cases {
        let map = load_document(case.document, 7).unwrap();
        assert_eq!(map.name, case.name);
        assert_eq!((map.version, &map.digest), (7, &document_digest(case.document)));
        let centres: Vec<&str> = map.centres.iter().map(|centre| centre.name.as_str()).collect();
        assert_eq!(centres, case.centres);
        assert_eq!(map.links.len(), 3);
        assert!(map.links.iter().all(|link| link.one_way.as_millis_f64() == case.one_way_ms));
        let sizes: Vec<(&str, usize)> = map
            .contracts
            .iter()
            .map(|contract| (contract.name.as_str(), map.upstreams_of(&contract.name).len()))
            .collect();
        assert_eq!(sizes, case.services);
        let mut port = case.first_port;
        for contract in &map.contracts {
            assert_eq!((contract.vm_ceiling, contract.probe_share), (15, case.probe_share));
            for (index, upstream) in map.upstreams_of(&contract.name).iter().enumerate() {
                assert_eq!((upstream.slots, upstream.connections), (case.slots, 200));
                assert_eq!(upstream.centre, case.centres[index % 3]);
                assert_eq!(upstream.address, ([127, 0, 0, 1], port).into());
                port += 1;
            }
        }
    }
}

struct RuleCase {
    document: &'static [u8],
    method: &'static str,
    path: &'static str,
    idempotent: bool,
    class: WorkClass,
    deferred: bool,
}

/// Guards against an example that lets a booking run twice or a lookup wait behind reports.
#[test]
fn examples_treat_work_as_the_design_page_states() {
    use WorkClass::{Deferrable, Normal, Urgent};
    let case = |document, method, path, idempotent, class, deferred| RuleCase {
        document,
        method,
        path,
        idempotent,
        class,
        deferred,
    };
    let cases = [
        case(ALMATY, "GET", "/phases/today", true, Urgent, false),
        case(ALMATY, "POST", "/bookings/square", false, Normal, false),
        case(ALMATY, "DELETE", "/bookings/square", false, Normal, false),
        case(ALMATY, "POST", "/almanac/corrections", false, Normal, false),
        case(ALMATY, "PATCH", "/almanac/tables/1", false, Normal, false),
        case(ALMATY, "GET", "/almanac/archive/1998", true, Deferrable, false),
        case(VITI, "GET", "/groves/7/count", true, Urgent, false),
        case(VITI, "PUT", "/groves/nursery-reports/7", true, Deferrable, true),
        case(VITI, "POST", "/pledges", false, Normal, false),
        case(VITI, "POST", "/certificates", false, Normal, false),
    ];
    for case in cases {
        let map = load_document(case.document, 1).unwrap();
        let contract = map.contract_for("127.0.0.1", case.path).unwrap();
        let rule = contract.rule_for(case.method, case.path).unwrap();
        let actual = (rule.idempotent, rule.class, rule.deferred);
        assert_eq!(actual, (case.idempotent, case.class, case.deferred), "{}", case.path);
    }
}

struct RejectedCase {
    name: &'static str,
    edits: &'static [Edit],
    /// The paths of all expected problems.
    paths: &'static [&'static str],
}

/// A fourth service for the Almaty document.
const SERVICE: &str = r#"{"name":"spare","hosts":["spare.example"],"path_prefixes":[],
    "rules":[{}],"deadline_ms":1000,
    "objective":{"latency_ms":10,"latency_share":0.9,"success_share":0.9},"probe_share":0,
    "vm_ceiling":1,"retry_ratio":0,"queue_limit":0,
    "upstreams":[{"name":"spare-01","data_centre":"medeu","address":"[::1]:1","slots":1,
    "connections":1}]}"#;

const fn rejected(
    name: &'static str,
    edits: &'static [Edit],
    paths: &'static [&'static str],
) -> RejectedCase {
    RejectedCase { name, edits, paths }
}

const REJECTED: &[RejectedCase] = &[
    rejected("unknown field", &[("/colour", "1")], &["colour"]),
    rejected(
        "unknown nested field",
        &[("/services/0/rules/1/verb", "1")],
        &["services[0].rules[1].verb"],
    ),
    rejected("missing field", &[("/services/1/queue_limit", "")], &["services[1]"]),
    rejected("wrong type", &[("/services/0/deadline_ms", "\"1 s\"")], &["services[0].deadline_ms"]),
    rejected("negative count", &[("/services/0/queue_limit", "-1")], &["services[0].queue_limit"]),
    rejected(
        "fraction for a count",
        &[("/services/0/vm_ceiling", "1.5")],
        &["services[0].vm_ceiling"],
    ),
    rejected(
        "unknown class",
        &[("/services/0/rules/0/class", "\"now\"")],
        &["services[0].rules[0].class"],
    ),
    rejected("list for an object", &[("/links/1", "[\"medeu\", 1, \"auezov\"]")], &["links[1]"]),
    rejected(
        "object for a name",
        &[("/services/0/rules/0/class", "{\"urgent\": null}")],
        &["services[0].rules[0].class"],
    ),
    rejected("environment name", &[("/name", "\"Almaty\"")], &["name"]),
    rejected(
        "empty name",
        &[("/services/0/upstreams/0/name", "\"\"")],
        &["services[0].upstreams[0].name"],
    ),
    rejected(
        "control character in a region",
        &[("/data_centres/0/region", "\"a\\nb\"")],
        &["data_centres[0].region"],
    ),
    rejected(
        "duplicate data centre",
        &[("/data_centres/-", "{\"name\":\"medeu\",\"region\":\"r\"}")],
        &["data_centres[3].name"],
    ),
    rejected(
        "duplicate service",
        &[("/services/-", SERVICE), ("/services/3/name", "\"phase-desk\"")],
        &["services[3].name"],
    ),
    rejected(
        "duplicate upstream",
        &[("/services/1/upstreams/0/name", "\"phase-desk-01\"")],
        &["services[1].upstreams[0].name"],
    ),
    rejected(
        "duplicate address",
        &[("/services/1/upstreams/0/address", "\"[::ffff:127.0.0.1]:21001\"")],
        &["services[1].upstreams[0].address"],
    ),
    rejected(
        "duplicate host",
        &[("/services/0/hosts", "[\"a.example\", \"a.example\"]")],
        &["services[0].hosts[1]"],
    ),
    rejected(
        "no data centres",
        &[("/data_centres", "[]"), ("/links", "[]"), ("/services", "[]")],
        &["data_centres", "services"],
    ),
    rejected("no upstreams", &[("/services/1/upstreams", "[]")], &["services[1].upstreams"]),
    rejected(
        "unknown data centre",
        &[("/services/0/upstreams/0/data_centre", "\"medeo\"")],
        &["services[0].upstreams[0].data_centre"],
    ),
    rejected("unknown link end", &[("/links/0/to", "\"bostandik\"")], &["links[0].to", "links"]),
    rejected(
        "link within a data centre",
        &[("/links/-", "{\"from\":\"medeu\",\"to\":\"medeu\",\"one_way_ms\":1}")],
        &["links[3]"],
    ),
    rejected(
        "link listed twice",
        &[("/links/-", "{\"from\":\"auezov\",\"to\":\"medeu\",\"one_way_ms\":2}")],
        &["links[3]"],
    ),
    rejected("negative latency", &[("/links/0/one_way_ms", "-0.5")], &["links[0].one_way_ms"]),
    rejected("missing link", &[("/links/1", "")], &["links"]),
    rejected(
        "missing link to a data centre without upstreams",
        &[("/data_centres/-", "{\"name\":\"alatau\",\"region\":\"almaty\"}")],
        &["links", "links", "links"],
    ),
    rejected(
        "host with a port",
        &[("/services/0/hosts", "[\"a.example:80\"]")],
        &["services[0].hosts[0]"],
    ),
    rejected(
        "host in upper case",
        &[("/services/0/hosts", "[\"A.example\"]")],
        &["services[0].hosts[0]"],
    ),
    rejected(
        "relative path prefix",
        &[("/services/0/path_prefixes/-", "\"phases\"")],
        &["services[0].path_prefixes[1]", "services[0].rules"],
    ),
    rejected(
        "path prefix with a query",
        &[("/services/0/rules/0/path_prefix", "\"/phases?day\"")],
        &["services[0].rules[0].path_prefix"],
    ),
    rejected(
        "no rules",
        &[("/services/0/rules", "[]")],
        &["services[0].rules", "services[0].rules"],
    ),
    rejected(
        "unknown method",
        &[("/services/1/rules/1/method", "\"post\"")],
        &["services[1].rules[1].method"],
    ),
    rejected("no catch-all", &[("/services/1/rules/2", "")], &["services[1].rules"]),
    rejected(
        "catch-all for one of two prefixes",
        &[("/services/1/path_prefixes/-", "\"/squares\"")],
        &["services[1].rules"],
    ),
    rejected(
        "rule behind an idempotent catch-all",
        &[("/services/1/rules/0", "{\"idempotent\":true}")],
        &["services[1].rules[1]", "services[1].rules[2]"],
    ),
    rejected(
        "rule outside the service",
        &[("/services/1/rules/0/path_prefix", "\"/phases\"")],
        &["services[1].rules[0].path_prefix"],
    ),
    rejected(
        "deferred and not idempotent",
        &[("/services/2/rules/0/idempotent", "false"), ("/services/2/rules/0/deferred", "true")],
        &["services[2].rules[0].deferred"],
    ),
    rejected(
        "deferred and urgent",
        &[("/services/0/rules/0/deferred", "true")],
        &["services[0].rules[0].class"],
    ),
    rejected(
        "no deadline",
        &[("/services/0/deadline_ms", "0")],
        &["services[0].deadline_ms", "services[0].objective.latency_ms"],
    ),
    rejected(
        "deadline above an hour",
        &[("/services/0/deadline_ms", "3600001")],
        &["services[0].deadline_ms"],
    ),
    rejected(
        "objective beyond the deadline",
        &[("/services/0/objective/latency_ms", "500.1")],
        &["services[0].objective.latency_ms"],
    ),
    rejected(
        "objective without error budget",
        &[("/services/0/objective/success_share", "1")],
        &["services[0].objective.success_share"],
    ),
    rejected(
        "share in per cent",
        &[("/services/0/objective/latency_share", "99")],
        &["services[0].objective.latency_share"],
    ),
    rejected(
        "probe share above 1",
        &[("/services/0/probe_share", "1.01")],
        &["services[0].probe_share"],
    ),
    rejected(
        "negative retry ratio",
        &[("/services/0/retry_ratio", "-0.1")],
        &["services[0].retry_ratio"],
    ),
    rejected("no VMs", &[("/services/0/vm_ceiling", "0")], &["services[0].vm_ceiling"]),
    rejected(
        "endless queue",
        &[("/services/0/queue_limit", "4294967295")],
        &["services[0].queue_limit"],
    ),
    rejected(
        "host name for an address",
        &[("/services/0/upstreams/0/address", "\"localhost:80\"")],
        &["services[0].upstreams[0].address"],
    ),
    rejected(
        "address without a port",
        &[("/services/0/upstreams/0/address", "\"127.0.0.1\"")],
        &["services[0].upstreams[0].address"],
    ),
    rejected(
        "unspecified address",
        &[("/services/0/upstreams/0/address", "\"0.0.0.0:80\"")],
        &["services[0].upstreams[0].address"],
    ),
    rejected(
        "port 0",
        &[("/services/0/upstreams/0/address", "\"127.0.0.1:0\"")],
        &["services[0].upstreams[0].address"],
    ),
    rejected(
        "no slots",
        &[("/services/0/upstreams/0/slots", "0")],
        &["services[0].upstreams[0].slots"],
    ),
    rejected(
        "no connections",
        &[("/services/0/upstreams/0/connections", "0")],
        &["services[0].upstreams[0].connections"],
    ),
    rejected(
        "fewer connections than VMs",
        &[("/services/0/upstreams/0/connections", "14")],
        &["services[0].upstreams[0].connections"],
    ),
    rejected(
        "fewer connections than slots",
        &[("/services/0/upstreams/0/slots", "201")],
        &["services[0].upstreams[0].connections"],
    ),
    rejected(
        "service behind a broader one",
        &[("/services/0/path_prefixes", "[]"), ("/services/0/rules/2/path_prefix", "\"/\"")],
        &["services[1]", "services[2]"],
    ),
    rejected(
        "host taken by an earlier service",
        &[
            ("/services/0/hosts", "[\"a.example\"]"),
            ("/services/1/hosts", "[\"a.example\", \"b.example\"]"),
            ("/services/1/path_prefixes", "[\"/phases/x\"]"),
            ("/services/1/rules", "[{}]"),
        ],
        &["services[1].hosts[0]"],
    ),
    rejected(
        "path prefix taken by an earlier service",
        &[("/services/1/path_prefixes/-", "\"/phases/x\""), ("/services/1/rules", "[{}]")],
        &["services[1].path_prefixes[1]"],
    ),
    rejected(
        "several problems",
        &[
            ("/name", "\"\""),
            ("/links/0/one_way_ms", "1e9"),
            ("/services/0/probe_share", "2"),
            ("/services/2/upstreams/10/slots", "0"),
        ],
        &[
            "name",
            "links[0].one_way_ms",
            "services[0].probe_share",
            "services[2].upstreams[10].slots",
        ],
    ),
];

/// Guards against a check that is missing, reports another field, or hides later problems.
#[test]
fn rejected_documents_name_every_problem() {
    let mut report = String::new();
    for case in REJECTED {
        let error = load_document(&edited(ALMATY, case.edits), 1).expect_err(case.name);
        let problems = error.to_problems();
        let paths: Vec<&str> = problems.iter().map(|problem| problem.path.as_str()).collect();
        assert_eq!(paths, case.paths, "{}: {error}", case.name);
        report += &format!("{}\n", case.name);
        report.extend(problems.iter().map(|problem| format!("  {problem}\n")));
    }
    insta::assert_snapshot!(report);
}

struct MalformedCase {
    name: &'static str,
    document: &'static str,
    message: &'static str,
}

/// Guards against JSON that only the parser's leniency accepts.
#[test]
fn malformed_documents_are_rejected() {
    let cases = [
        MalformedCase { name: "empty", document: "", message: "EOF while parsing a value" },
        MalformedCase { name: "cut", document: r#"{"name": "x""#, message: "EOF while parsing" },
        MalformedCase { name: "list", document: r#"["x", [], [], []]"#, message: "schema names" },
        MalformedCase {
            name: "trailing text",
            document: r#"{"name":"x","data_centres":[],"links":[],"services":[]} true"#,
            message: "trailing characters",
        },
        MalformedCase {
            name: "repeated field",
            document: r#"{"name":"x","name":"y","data_centres":[],"links":[],"services":[]}"#,
            message: "duplicate field `name`",
        },
    ];
    for case in cases {
        let error = load_document(case.document.as_bytes(), 1).expect_err(case.name).to_string();
        assert!(error.contains(case.message), "{}: {error}", case.name);
    }
}

/// Guards against unbounded input: the limit is 1 MiB.
#[test]
fn size_is_limited() {
    let mut document = ALMATY.to_vec();
    document.resize(1024 * 1024, b' ');
    assert!(load_document(&document, 1).is_ok());
    document.push(b' ');
    assert!(load_document(&document, 1).unwrap_err().to_string().contains("1048577 bytes"));
}

/// Guards against a digest that other programs cannot repeat. The values are those of FIPS 180-4.
#[test]
fn digest_is_sha256_of_the_bytes() {
    let cases = [
        ("", "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"),
        ("abc", "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"),
    ];
    for (text, digest) in cases {
        assert_eq!(document_digest(text.as_bytes()), digest);
    }
}
