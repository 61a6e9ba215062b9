//! Loading of process settings.

mod common;

use border::{
    InterfaceKind, LogFormat, LogLevel, load_settings, reloaded_settings, settings_change,
};
use common::{Edit, RejectedCase, SETTINGS, at_field, at_paths, edited, report_rejections};

/// Guards against an example that does not load, and against secrets in another order: the first
/// one signs messages.
#[test]
fn example_loads() {
    let settings = load_settings(SETTINGS).unwrap();
    assert_eq!((settings.vm_name.as_str(), settings.centre.as_str()), ("almaty-vm-01", "medeu"));
    assert_eq!(settings.environment, "almaty");
    assert_eq!(settings.control_address, ([127, 0, 0, 1], 8081).into());
    let secrets: Vec<&str> = settings.peer_secrets.iter().map(|secret| secret.as_str()).collect();
    assert_eq!(secrets, ["replace-this-peer-secret-2", "replace-this-peer-secret-1"]);
    assert_eq!(settings.worker_count.map(usize::from), Some(2));
}

/// Guards against defaults that differ from `docs/configuration.md`.
#[test]
fn absent_fields_have_defaults() {
    let edits = [("/worker_count", ""), ("/log_format", ""), ("/log_level", ""), ("/timeouts", "")];
    let settings = load_settings(&edited(SETTINGS, &edits)).unwrap();
    assert_eq!(settings.worker_count, None);
    assert_eq!((settings.log_format, settings.log_level), (LogFormat::Json, LogLevel::Info));
    let timeouts = settings.timeouts;
    let actual = [
        (timeouts.head, 10_000),
        (timeouts.caller_idle, 60_000),
        (timeouts.body_idle, 30_000),
        (timeouts.connect, 250),
        (timeouts.upstream_idle, 30_000),
        (timeouts.platform, 2_000),
        (timeouts.peer, 1_000),
        (timeouts.drain_delay, 10_000),
    ];
    for (span, millis) in actual {
        assert_eq!(span.as_millis(), millis);
    }
}

/// Edits that change the example to the interface platform.
const PLATFORM: [Edit; 2] =
    [("/interface", r#""platform""#), ("/exchange_address", r#""127.0.0.1:8083""#)];

struct PlatformCase {
    edits: &'static [Edit],
    environment: &'static str,
    centres: &'static [(&'static str, &'static str)],
    leave_ms: u64,
}

/// Guards against defaults of the wrong interface, and against data centres that lack the one of
/// the VM.
#[test]
fn interfaces_have_their_own_defaults() {
    let cases = [
        PlatformCase {
            edits: &[("/environment", ""), ("/timeouts/leave_ms", "")],
            environment: "platform",
            centres: &[("medeu", "default")],
            leave_ms: 2_600,
        },
        PlatformCase {
            edits: &[("/region", r#""east""#), ("/timeouts/leave_ms", "5999")],
            environment: "almaty",
            centres: &[("medeu", "east")],
            leave_ms: 5_999,
        },
        PlatformCase {
            edits: &[
                ("/timeouts", ""),
                ("/regions", r#"{"suva": "west", "medeu": "east", "auezov": "east"}"#),
            ],
            environment: "almaty",
            centres: &[("auezov", "east"), ("medeu", "east"), ("suva", "west")],
            leave_ms: 2_600,
        },
    ];
    for case in cases {
        let edits = [&PLATFORM, case.edits].concat();
        let settings = load_settings(&edited(SETTINGS, &edits)).unwrap();
        assert_eq!(settings.interface, InterfaceKind::Platform);
        assert_eq!(settings.exchange_address, Some(([127, 0, 0, 1], 8083).into()));
        assert_eq!(settings.environment, case.environment);
        let centres: Vec<(&str, &str)> = settings
            .centres
            .iter()
            .map(|centre| (centre.name.as_str(), centre.region.as_str()))
            .collect();
        assert_eq!(centres, case.centres);
        assert_eq!(settings.timeouts.drain_delay.as_millis(), case.leave_ms);
        assert_eq!(settings.centre_latency.as_millis_f64(), 1.0);
        let fleet = settings.fleet;
        assert_eq!((fleet.retry.ratio, fleet.retry.slack), (0.2, 58.0));
        assert_eq!(fleet.probe_rate, 60.0);
        let spans = [fleet.retry.span, fleet.drain_limit, fleet.stop_limit];
        assert_eq!(spans.map(|span| span.as_millis()), [10_000, 2_000, 6_000]);
    }
    let agateroad = load_settings(SETTINGS).unwrap();
    assert_eq!((agateroad.interface, agateroad.exchange_address), (InterfaceKind::Agateroad, None));
}

struct ReloadCase {
    edit: Edit,
    /// The changed field if it takes effect at once.
    live: Option<&'static str>,
    /// The changed field if it needs a restart.
    restart: Option<&'static str>,
}

const fn live(pointer: &'static str, json: &'static str, field: &'static str) -> ReloadCase {
    ReloadCase { edit: (pointer, json), live: Some(field), restart: None }
}

const fn restart(pointer: &'static str, json: &'static str, field: &'static str) -> ReloadCase {
    ReloadCase { edit: (pointer, json), live: None, restart: Some(field) }
}

const RELOADS: &[ReloadCase] = &[
    ReloadCase { edit: ("/log_format", r#""text""#), live: None, restart: None },
    live("/log_level", r#""debug""#, "log_level"),
    live("/peer_secrets/-", r#""another-peer-secret""#, "peer_secrets"),
    live("/operator_secrets/0", r#""another-operator-secret""#, "operator_secrets"),
    live("/timeouts/head_ms", "7", "timeouts.head_ms"),
    live("/timeouts/caller_idle_ms", "7", "timeouts.caller_idle_ms"),
    live("/timeouts/body_idle_ms", "7", "timeouts.body_idle_ms"),
    live("/timeouts/connect_ms", "7", "timeouts.connect_ms"),
    live("/timeouts/upstream_idle_ms", "7", "timeouts.upstream_idle_ms"),
    live("/timeouts/platform_ms", "7", "timeouts.platform_ms"),
    live("/timeouts/peer_ms", "7", "timeouts.peer_ms"),
    live("/timeouts/leave_ms", "7", "timeouts.leave_ms"),
    live("/fleet", r#"{"retry_ratio": 0.1}"#, "fleet.retry_ratio"),
    live("/fleet", r#"{"retry_slack": 57}"#, "fleet.retry_slack"),
    live("/fleet", r#"{"retry_window_ms": 9000}"#, "fleet.retry_window_ms"),
    live("/fleet", r#"{"probe_rate": 59.5}"#, "fleet.probe_rate"),
    restart("/fleet", r#"{"drain_ms": 1500}"#, "fleet.drain_ms"),
    live("/fleet", r#"{"stop_limit_ms": 5000}"#, "fleet.stop_limit_ms"),
    restart("/vm_name", r#""almaty-vm-02""#, "vm_name"),
    restart("/interface", r#""agateroad""#, "interface"),
    restart("/environment", r#""viti""#, "environment"),
    restart("/region", r#""east""#, "regions"),
    restart("/data_centre_latency_ms", "0.9", "data_centre_latency_ms"),
    restart("/caller_address", r#""127.0.0.1:9080""#, "caller_address"),
    restart("/control_address", r#""127.0.0.1:9081""#, "control_address"),
    live("/peer_seeds", r#"["127.0.0.1:9081"]"#, "peer_seeds"),
    restart("/metrics_address", r#""127.0.0.1:9082""#, "metrics_address"),
    restart("/exchange_address", r#""127.0.0.1:9083""#, "exchange_address"),
    restart("/platform_address", r#""127.0.0.1:9090""#, "platform_address"),
    restart("/worker_count", "3", "worker_count"),
    restart("/log_format", r#""json""#, "log_format"),
];

/// Guards against a reload that misses a change, reports a change as active that needs a restart, or
/// applies a change that it does not report as active.
#[test]
fn reloads_distinguish_live_fields_from_others() {
    // `leave_ms` is long enough for the platform's load balancer and below the stop limit.
    let base = [&PLATFORM[..], &[("/timeouts/leave_ms", "2600")]].concat();
    let old = load_settings(&edited(SETTINGS, &base)).unwrap();
    for case in RELOADS {
        let edits = [&base[..], &[case.edit]].concat();
        let new = load_settings(&edited(SETTINGS, &edits)).unwrap();
        let change = settings_change(&old, &new);
        assert_eq!(change.live, Vec::from_iter(case.live), "{:?}", case.edit);
        assert_eq!(change.restart, Vec::from_iter(case.restart), "{:?}", case.edit);
        assert_eq!(change.is_empty(), old == new, "{:?}", case.edit);
        let reloaded = reloaded_settings(&old, &new);
        let expected = if case.live.is_some() { &new } else { &old };
        assert_eq!(&reloaded, expected, "{:?}", case.edit);
        assert_eq!(settings_change(&old, &reloaded).live, change.live, "{:?}", case.edit);
    }
}

/// Guards against a reload that applies the `leave_ms` of another interface before the restart. It
/// may exceed the stop limit of the interface in force, and SIGKILL would then end calls in flight.
#[test]
fn the_drain_delay_of_another_interface_needs_a_restart() {
    let base = [&PLATFORM[..], &[("/timeouts/leave_ms", "2600")]].concat();
    let old = load_settings(&edited(SETTINGS, &base)).unwrap();
    let other: &[Edit] = &[("/timeouts/leave_ms", "10000"), ("/timeouts/head_ms", "7")];
    let new = load_settings(&edited(SETTINGS, other)).unwrap();
    let change = settings_change(&old, &new);
    assert_eq!(change.live, ["timeouts.head_ms"]);
    assert_eq!(change.restart, ["interface", "exchange_address", "timeouts.leave_ms"]);
    let reloaded = reloaded_settings(&old, &new);
    assert_eq!(
        (reloaded.interface, reloaded.timeouts.drain_delay),
        (old.interface, old.timeouts.drain_delay)
    );
    assert_eq!(reloaded.timeouts.head, new.timeouts.head);
}

/// Guards against secrets in the `Debug` output of the settings, which may be logged.
#[test]
fn debug_output_hides_secrets() {
    let text = format!("{:?}", load_settings(SETTINGS).unwrap());
    assert!(text.contains("SharedSecret(hidden)") && !text.contains("replace-this"), "{text}");
}

const REJECTED: &[RejectedCase] = &[
    at_field("unknown field", "/peer_secret", r#""tell-no-one-0123""#),
    at_paths("missing field", &[("/platform_address", "")], &["."]),
    at_field("secret outside a list", "/peer_secrets", r#""tell-no-one-0123""#),
    at_field("secret of another type", "/operator_secrets/0", "123454321"),
    at_paths("seed with port 0", &[("/peer_seeds", r#"["127.0.0.1:0"]"#)], &["peer_seeds[0]"]),
    at_paths("seed that is a name", &[("/peer_seeds", r#"["vm-02"]"#)], &["peer_seeds[0]"]),
    at_field("short secret", "/peer_secrets/0", r#""tell-no-one""#),
    at_field("secret with a space", "/peer_secrets/0", r#""tell no one 0123""#),
    at_field("no peer secrets", "/peer_secrets", "[]"),
    at_paths(
        "secret of peers and operators",
        &[
            ("/peer_secrets/0", r#""tell-no-one-0123""#),
            ("/operator_secrets/0", r#""tell-no-one-0123""#),
        ],
        &["operator_secrets[0]"],
    ),
    at_field("VM name", "/vm_name", r#""VM 1""#),
    at_field("environment", "/environment", r#""The Environment""#),
    at_field("data centre", "/data_centre", r#""""#),
    at_field("host name for a listener", "/caller_address", r#""localhost:80""#),
    at_field("shared listener address", "/control_address", r#""127.0.0.1:8080""#),
    at_field("overlapping listener address", "/metrics_address", r#""0.0.0.0:8080""#),
    at_field("platform port 0", "/platform_address", r#""127.0.0.1:0""#),
    at_field("no workers", "/worker_count", "0"),
    at_field("unknown log level", "/log_level", r#""loud""#),
    at_field("no time to connect", "/timeouts/connect_ms", "0"),
    at_field("time above an hour", "/timeouts/leave_ms", "3600001"),
    at_field("unknown timeout", "/timeouts/dial_ms", "1"),
    at_field("list for timeouts", "/timeouts", "[1, 2, 3, 4, 5, 6, 7, 8]"),
    at_paths("no environment", &[("/environment", "")], &["environment"]),
    at_field("unknown interface", "/interface", r#""other""#),
    at_paths(
        "no address for datagrams",
        &[("/interface", r#""platform""#), ("/timeouts/leave_ms", "")],
        &["exchange_address"],
    ),
    at_field("datagrams to any address", "/exchange_address", r#""0.0.0.0:8083""#),
    at_field("host name for datagrams", "/exchange_address", r#""vm-1:8083""#),
    at_field("region", "/region", r#""The East""#),
    at_field("regions without the data centre of the VM", "/regions", r#"{"suva": "west"}"#),
    at_paths(
        "name of a data centre in the regions",
        &[("/regions", r#"{"medeu": "east", "The Suva": "west"}"#)],
        &["regions"],
    ),
    at_paths("name of a region", &[("/regions", r#"{"medeu": ""}"#)], &["regions.medeu"]),
    at_paths(
        "different regions",
        &[("/regions", r#"{"medeu": "east"}"#), ("/region", r#""west""#)],
        &["region"],
    ),
    at_field("list for regions", "/regions", r#"["east"]"#),
    at_field("negative latency", "/data_centre_latency_ms", "-0.1"),
    at_paths("retry ratio", &[("/fleet", r#"{"retry_ratio": 1.5}"#)], &["fleet.retry_ratio"]),
    at_paths("retry slack", &[("/fleet", r#"{"retry_slack": -1}"#)], &["fleet.retry_slack"]),
    at_paths(
        "retry window",
        &[("/fleet", r#"{"retry_window_ms": 99}"#)],
        &["fleet.retry_window_ms"],
    ),
    at_paths("probe rate", &[("/fleet", r#"{"probe_rate": 10000.5}"#)], &["fleet.probe_rate"]),
    at_paths("drain time", &[("/fleet", r#"{"drain_ms": 0}"#)], &["fleet.drain_ms"]),
    at_paths(
        "stop limit",
        &[("/fleet", r#"{"stop_limit_ms": 3600001}"#)],
        &["fleet.stop_limit_ms"],
    ),
    at_paths("unknown bound", &[("/fleet", r#"{"grace_ms": 1}"#)], &["fleet.grace_ms"]),
    at_paths(
        "no time for the last calls",
        &[
            ("/interface", r#""platform""#),
            ("/exchange_address", r#""127.0.0.1:8083""#),
            ("/timeouts/leave_ms", "6000"),
        ],
        &["timeouts.leave_ms"],
    ),
    at_paths(
        "several problems",
        &[("/vm_name", r#""""#), ("/caller_address", r#""x""#), ("/worker_count", "0")],
        &["vm_name", "caller_address", "worker_count"],
    ),
];

/// Guards against a check that is missing, reports the wrong field, hides later problems, or writes
/// a secret into the message.
#[test]
fn rejected_settings_name_every_problem() {
    let load = |bytes: &[u8]| load_settings(bytes).err().map(|error| error.to_problems());
    let report = report_rejections(REJECTED, SETTINGS, load);
    assert!(!report.contains("tell") && !report.contains("123454321"), "{report}");
    insta::assert_snapshot!(report);
}

/// Guards against secrets in the message if the settings are a list or a string instead of an
/// object.
#[test]
fn other_json_is_rejected_without_its_values() {
    for settings in [r#"["tell-no-one-0123"]"#, r#" "tell-no-one-0123""#] {
        let error = load_settings(settings.as_bytes()).unwrap_err().to_string();
        assert!(error.contains(".: not written in the form") && !error.contains("tell"), "{error}");
    }
}
