//! The demo as a process, and the judgement of its result.

use std::process::Command;

use ctl::demo::{DemoReport, DeploymentReport, DeploymentVerdict};
use load::prelude::*;
use serde_json::Value;

/// Guards against a demo that does not end by itself, gives wrong answers or shows a deployment
/// without calls.
#[test]
fn demo_ends_without_faults() {
    let output = Command::new(env!("CARGO_BIN_EXE_agatectl"))
        .args(["demo", "--seconds", "0.5", "--format", "json"])
        .output()
        .expect("the demo starts");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let report: Value = serde_json::from_slice(&output.stdout).expect("one JSON value");
    for (index, name) in ["almaty", "viti"].into_iter().enumerate() {
        let deployment = &report["deployments"][index];
        assert_eq!(deployment["name"], name);
        assert_eq!(deployment["gateways"], 3);
        assert!(deployment["load"]["overall"]["good"].as_u64() > Some(0), "{deployment}");
        assert_eq!(deployment["load"]["kinds"].as_array().map(Vec::len), Some(4));
        assert_eq!(deployment["measuring"].as_array().map(Vec::len), Some(3));
        for count in ["wrong_answers", "repeated_work", "missing_work"] {
            assert_eq!(deployment["verdict"][count], 0, "{name}");
        }
    }
}

struct VerdictCase {
    verdict: DeploymentVerdict,
    fault: Option<&'static str>,
}

/// Guards against a demo that succeeds in spite of a fault.
#[test]
fn every_fault_is_a_failure() {
    let clean = DeploymentVerdict::default;
    let cases = [
        VerdictCase { verdict: clean(), fault: None },
        VerdictCase {
            verdict: DeploymentVerdict { wrong_answers: 1, ..clean() },
            fault: Some("1 wrong answers"),
        },
        VerdictCase {
            verdict: DeploymentVerdict { repeated_work: 2, ..clean() },
            fault: Some("2 pieces of work ran twice"),
        },
        VerdictCase {
            verdict: DeploymentVerdict { missing_work: 3, ..clean() },
            fault: Some("3 were answered and did not run"),
        },
    ];
    for case in cases {
        let deployment = DeploymentReport {
            name: "almaty".into(),
            gateways: 3,
            upstreams: 29,
            load: LoadReport::new(&LoadPlan::default(), &[]),
            measuring: Vec::new(),
            verdict: case.verdict,
        };
        let error = DemoReport { deployments: vec![deployment] }.verify().err();
        let message = error.map(|error| error.to_string());
        match case.fault {
            None => assert_eq!(message, None),
            Some(fault) => assert!(message.is_some_and(|text| text.contains(fault)), "{fault}"),
        }
    }
}
