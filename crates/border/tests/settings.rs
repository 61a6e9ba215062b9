//! Loading of process settings.

mod common;

use border::{LogFormat, LogLevel, load_settings};
use common::{RejectedCase, SETTINGS, at_field, at_paths, edited, report_rejections};

/// Guards against an example that does not load, and against secrets that are reordered: the first
/// one signs.
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
        (timeouts.leave, 10_000),
    ];
    for (span, millis) in actual {
        assert_eq!(span.as_millis(), millis);
    }
}

/// Guards against secrets in logs.
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
    at_paths(
        "several problems",
        &[("/vm_name", r#""""#), ("/caller_address", r#""x""#), ("/worker_count", "0")],
        &["vm_name", "caller_address", "worker_count"],
    ),
];

/// Guards against a check that is missing, reports another field, hides later problems, or writes a
/// secret into the message.
#[test]
fn rejected_settings_name_every_problem() {
    let load = |bytes: &[u8]| load_settings(bytes).err().map(|error| error.to_problems());
    let report = report_rejections(REJECTED, SETTINGS, load);
    assert!(!report.contains("tell") && !report.contains("123454321"), "{report}");
    insta::assert_snapshot!(report);
}

/// Guards against secrets in the message when the settings are not an object.
#[test]
fn other_json_is_rejected_without_its_values() {
    for settings in [r#"["tell-no-one-0123"]"#, r#" "tell-no-one-0123""#] {
        let error = load_settings(settings.as_bytes()).unwrap_err().to_string();
        assert!(error.contains(".: not written in the form") && !error.contains("tell"), "{error}");
    }
}
