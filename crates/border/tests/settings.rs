//! Loading of process settings.

mod common;

use border::{LogFormat, LogLevel, load_settings};
use common::{Edit, SETTINGS, edited};

/// Guards against an example that does not load, and against secrets that are reordered: the first
/// one signs.
#[test]
fn example_loads() {
    let settings = load_settings(SETTINGS).unwrap();
    assert_eq!((settings.vm_name.as_str(), settings.centre.as_str()), ("almaty-vm-01", "medeu"));
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

struct RejectedCase {
    name: &'static str,
    edits: &'static [Edit],
    /// The paths of all expected problems.
    paths: &'static [&'static str],
}

const fn rejected(
    name: &'static str,
    edits: &'static [Edit],
    paths: &'static [&'static str],
) -> RejectedCase {
    RejectedCase { name, edits, paths }
}

const REJECTED: &[RejectedCase] = &[
    rejected("unknown field", &[("/peer_secret", "\"tell-no-one-0123\"")], &["peer_secret"]),
    rejected("missing field", &[("/platform_address", "")], &["."]),
    rejected(
        "secret outside a list",
        &[("/peer_secrets", "\"tell-no-one-0123\"")],
        &["peer_secrets"],
    ),
    rejected(
        "secret of another type",
        &[("/operator_secrets/0", "123454321")],
        &["operator_secrets[0]"],
    ),
    rejected("short secret", &[("/peer_secrets/0", "\"tell-no-one\"")], &["peer_secrets[0]"]),
    rejected(
        "secret with a space",
        &[("/peer_secrets/0", "\"tell no one 0123\"")],
        &["peer_secrets[0]"],
    ),
    rejected("no peer secrets", &[("/peer_secrets", "[]")], &["peer_secrets"]),
    rejected(
        "secret of peers and operators",
        &[
            ("/peer_secrets/0", "\"tell-no-one-0123\""),
            ("/operator_secrets/0", "\"tell-no-one-0123\""),
        ],
        &["operator_secrets[0]"],
    ),
    rejected("VM name", &[("/vm_name", "\"VM 1\"")], &["vm_name"]),
    rejected("data centre", &[("/data_centre", "\"\"")], &["data_centre"]),
    rejected(
        "host name for a listener",
        &[("/caller_address", "\"localhost:80\"")],
        &["caller_address"],
    ),
    rejected(
        "shared listener address",
        &[("/control_address", "\"127.0.0.1:8080\"")],
        &["control_address"],
    ),
    rejected(
        "overlapping listener address",
        &[("/metrics_address", "\"0.0.0.0:8080\"")],
        &["metrics_address"],
    ),
    rejected("platform port 0", &[("/platform_address", "\"127.0.0.1:0\"")], &["platform_address"]),
    rejected("no workers", &[("/worker_count", "0")], &["worker_count"]),
    rejected("unknown log level", &[("/log_level", "\"loud\"")], &["log_level"]),
    rejected("no time to connect", &[("/timeouts/connect_ms", "0")], &["timeouts.connect_ms"]),
    rejected("time above an hour", &[("/timeouts/leave_ms", "3600001")], &["timeouts.leave_ms"]),
    rejected("unknown timeout", &[("/timeouts/tea_ms", "1")], &["timeouts.tea_ms"]),
    rejected("list for timeouts", &[("/timeouts", "[1, 2, 3, 4, 5, 6, 7, 8]")], &["timeouts"]),
    rejected(
        "several problems",
        &[("/vm_name", "\"\""), ("/caller_address", "\"x\""), ("/worker_count", "0")],
        &["vm_name", "caller_address", "worker_count"],
    ),
];

/// Guards against a check that is missing, reports another field, hides later problems, or writes a
/// secret into the message.
#[test]
fn rejected_settings_name_every_problem() {
    let mut report = String::new();
    for case in REJECTED {
        let error = load_settings(&edited(SETTINGS, case.edits)).expect_err(case.name);
        let problems = error.to_problems();
        let paths: Vec<&str> = problems.iter().map(|problem| problem.path.as_str()).collect();
        assert_eq!(paths, case.paths, "{}: {error}", case.name);
        report += &format!("{}\n", case.name);
        report.extend(problems.iter().map(|problem| format!("  {problem}\n")));
    }
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
