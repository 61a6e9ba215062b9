//! Which VMs have a version in force, as promote and status print it.

mod support;

use border::document_digest;
use stand::prelude::*;
use support::vm::{SECRET, TestVm, member};
use support::{document, operator_command, run};

struct SpreadCase {
    /// The fault that the case guards against.
    guards: &'static str,
    members: Vec<PlatformMember>,
    secret: Option<&'static str>,
    wait_ms: &'static str,
    promote_code: i32,
    printed: &'static [&'static str],
}

/// Guards against a promotion that claims success while VMs have not confirmed the version.
#[tokio::test(flavor = "multi_thread")]
async fn vms_are_listed_with_their_versions() {
    let current_vm = TestVm::new("current", Some(1)).start().await;
    let current = current_vm.address;
    let newer_vm = TestVm::new("newer", Some(2)).start().await;
    let newer = newer_vm.address;
    let behind_vm = TestVm::new("behind", Some(0)).start().await;
    let behind = behind_vm.address;
    let empty_vm = TestVm::new("empty", None).start().await;
    let empty = empty_vm.address;
    // Nothing listens on port 1 of a loopback address.
    let gone = "127.0.0.1:1";
    let base = || SpreadCase {
        guards: "",
        members: Vec::new(),
        secret: Some(SECRET),
        wait_ms: "1",
        promote_code: 4,
        printed: &[],
    };
    let cases = [
        SpreadCase {
            guards: "VMs that have the version or a newer one",
            members: vec![member("vm-1", current, false), member("vm-2", newer, false)],
            wait_ms: "10000",
            promote_code: 0,
            printed: &["vm-1: version 1 in force", "vm-2: version 2 in force"],
            ..base()
        },
        SpreadCase {
            guards: "a VM that is behind",
            members: vec![member("vm-1", current, false), member("vm-2", behind, false)],
            printed: &["vm-1: version 1 in force", "vm-2: still has version 0"],
            ..base()
        },
        SpreadCase {
            guards: "a VM without a version",
            members: vec![member("vm-1", empty, false)],
            printed: &["vm-1: has no version yet"],
            ..base()
        },
        SpreadCase {
            guards: "a VM that does not answer",
            members: vec![member("vm-1", current, false), member("vm-3", gone, false)],
            printed: &["vm-3: did not answer", "check that the VM runs and accepts the secret"],
            ..base()
        },
        SpreadCase {
            guards: "a VM that leaves",
            members: vec![member("vm-1", current, false), member("vm-3", gone, true)],
            promote_code: 0,
            printed: &["vm-1: version 1 in force"],
            ..base()
        },
        SpreadCase {
            guards: "an address that is none",
            members: vec![member("vm-1", "vm-1.example", false)],
            printed: &["\"vm-1.example\" is not an address"],
            ..base()
        },
        SpreadCase {
            guards: "a missing secret",
            members: vec![member("vm-1", current, false)],
            secret: None,
            printed: &["vm-1: did not answer: no operators' secret; name its file"],
            ..base()
        },
        SpreadCase {
            guards: "VMs that are not to be asked",
            members: vec![member("vm-3", gone, false)],
            wait_ms: "0",
            promote_code: 0,
            ..base()
        },
    ];
    let file = support::write_file("spread", "document.json", &document(200));
    let secret_file = support::write_file("spread", "secret", &format!("{SECRET}\n"));
    let digest = document_digest(document(200).as_bytes());
    for case in cases {
        let plan = PlatformPlan { members: case.members, ..PlatformPlan::default() };
        let platform = PlatformStand::start(plan).await.expect("a platform");
        let tried = run(operator_command(platform.address(), "beka", &["try", &file]));
        assert_eq!(tried.code, Some(0), "{tried:?}");
        let wait = ["--wait-ms", case.wait_ms];
        let commands = [
            ([&["promote", &digest], wait.as_slice()].concat(), case.promote_code),
            ([&["status"], wait.as_slice()].concat(), 0),
        ];
        for (arguments, code) in commands {
            let mut command = operator_command(platform.address(), "beka", &arguments);
            if case.secret.is_some() {
                command.env("AGATECTL_SECRET_FILE", &secret_file);
            }
            let ended = run(command);
            assert_eq!(ended.code, Some(code), "{}: {ended:?}", case.guards);
            for part in case.printed {
                assert!(ended.stdout.contains(part), "{}: no {part:?} in {ended:?}", case.guards);
            }
        }
    }
}
