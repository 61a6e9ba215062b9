//! Rotations of the peer secret while VMs send datagrams and control calls.

use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use directory::entry::VmEntry;
use peer::prelude::*;
use report::prelude::*;
use suspect::prelude::*;
use world::prelude::VmIdentity;

const OLD: &str = "the-old-peer-secret";
const NEW: &str = "the-new-peer-secret";
const OPERATOR: &str = "an-operator-secret-1";
/// Never passes within a test.
const LONG: ClockSpan = ClockSpan::from_secs(60);

/// A step of a rotation. During the step, some VMs have the secrets of before and others those of
/// after it.
struct StepCase {
    name: &'static str,
    before: &'static [&'static str],
    after: &'static [&'static str],
    /// Whether VMs before and after the step accept each other.
    accepted: bool,
}

const STEPS: &[StepCase] = &[
    StepCase { name: "add", before: &[OLD], after: &[OLD, NEW], accepted: true },
    StepCase { name: "move to the front", before: &[OLD, NEW], after: &[NEW, OLD], accepted: true },
    StepCase { name: "remove", before: &[NEW, OLD], after: &[NEW], accepted: true },
    StepCase { name: "undo the move", before: &[NEW, OLD], after: &[OLD, NEW], accepted: true },
    // These skip a step of the rotation. They show that the test detects lost messages.
    StepCase { name: "add in front", before: &[OLD], after: &[NEW, OLD], accepted: false },
    StepCase { name: "remove the first", before: &[OLD, NEW], after: &[NEW], accepted: false },
    StepCase { name: "replace", before: &[OLD], after: &[NEW], accepted: false },
];

/// The parts of a VM that exchange messages with its peers.
struct TestVm {
    codec: DatagramCodec,
    server: ControlServer,
    client: PeerClient,
}

impl TestVm {
    async fn start(secrets: &[&str]) -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let table = SecretTable::new(secrets.iter().copied(), [OPERATOR]);
        let server = ControlServer::start(address, table, Arc::default(), EmptyHandler);
        Self {
            codec: DatagramCodec::new(secrets.iter().copied()),
            server: server.await.expect("a listener"),
            client: PeerClient::new(secrets[0], LONG, Arc::default()),
        }
    }

    /// Replaces the secrets, as a running process does.
    fn rotate(&self, secrets: &[&str]) {
        self.server.secrets().set(SecretTable::new(secrets.iter().copied(), [OPERATOR]));
        self.codec.set_secrets(secrets.iter().copied());
        self.client.set_call_settings(secrets[0], LONG);
    }

    /// Returns whether a datagram and a control call to another VM are accepted.
    async fn reaches(&self, other: &Self) -> [bool; 2] {
        let datagrams = self.codec.encode(&hello());
        assert_eq!(datagrams.len(), 1);
        let datagram = other.codec.decode(&datagrams[0]) == Ok(hello());
        let notice = ExchangeNotice::default();
        let call = self.client.exchange(other.server.address, &notice).await;
        [datagram, call.is_ok()]
    }
}

/// Answers every method with an empty result.
struct EmptyHandler;

impl ControlHandler for EmptyHandler {
    fn exchange(&self, _notice: ExchangeNotice) -> ExchangeNotice {
        ExchangeNotice::default()
    }

    fn document(&self, _digest: &SharedName) -> Option<Bytes> {
        None
    }

    fn copy(&self, _name: CopyName) -> Option<Bytes> {
        None
    }

    fn grant(&self, _request: &GrantRequest) -> bool {
        false
    }

    fn release_grant(&self, _result: &GrantResult) {}

    fn status(&self) -> StatusReport {
        let vm = VmIdentity { name: "vm-1".into(), incarnation: 1, centre: "medeu".into() };
        StatusReport { vm, environment: "trial".into(), version: None, ready: true, calls: 0 }
    }

    fn suspects(&self) -> Vec<SuspectEntry> {
        Vec::new()
    }

    fn release(&self, _fingerprint: u64) {}

    fn burn(&self) -> BurnExport {
        BurnTable::new(BurnTuning::default()).export(&"vm-1".into(), ClockTime::ZERO)
    }
}

fn hello() -> PeerEnvelope {
    let vm = VmIdentity { name: "vm-1".into(), incarnation: 1, centre: "medeu".into() };
    let address = SocketAddr::from(([127, 0, 0, 1], 7400));
    let entry = VmEntry { vm, exchange_address: address, control_address: address };
    let message = HelloMessage { entry, leaving: false, answer_wanted: true, config_version: 1 };
    let message = PeerMessage::Hello(message);
    PeerEnvelope { sender: "vm-1".into(), incarnation: 1, origin: None, message }
}

/// Guards against a step that loses datagrams or control calls between VMs before and after it, and
/// against a running process that keeps the secrets that it started with.
#[tokio::test]
async fn a_step_loses_nothing_between_vms() {
    for case in STEPS {
        let (first, second) = (TestVm::start(case.before).await, TestVm::start(case.before).await);
        assert_eq!(first.reaches(&second).await, [true; 2], "before {}", case.name);
        first.rotate(case.after);
        let between = [first.reaches(&second).await, second.reaches(&first).await];
        let accepted = between.iter().flatten().all(|accepted| *accepted);
        assert_eq!(accepted, case.accepted, "during {}: {between:?}", case.name);
        second.rotate(case.after);
        assert_eq!(first.reaches(&second).await, [true; 2], "after {}", case.name);
    }
}

struct AcceptCase {
    secret: &'static str,
    secrets: &'static [&'static str],
    accepted: bool,
}

/// Guards against secrets that stay accepted after their removal, and against added ones that are
/// not accepted.
#[tokio::test]
async fn a_running_listener_accepts_exactly_its_secrets() {
    let case = |secret, secrets, accepted| AcceptCase { secret, secrets, accepted };
    let cases = [
        case(OLD, &[OLD][..], true),
        case(NEW, &[OLD], false),
        case(OLD, &[OLD, NEW], true),
        case(NEW, &[OLD, NEW], true),
        case(OLD, &[NEW], false),
        case(NEW, &[NEW], true),
    ];
    let vm = TestVm::start(&[OLD]).await;
    for AcceptCase { secret, secrets, accepted } in cases {
        vm.rotate(secrets);
        let caller = PeerClient::new(secret, LONG, Arc::default());
        let call = caller.exchange(vm.server.address, &ExchangeNotice::default()).await;
        assert_eq!(call.is_ok(), accepted, "{secret} of {secrets:?}: {call:?}");
        let datagram = &DatagramCodec::new([secret]).encode(&hello())[0];
        assert_eq!(vm.codec.decode(datagram).is_ok(), accepted, "{secret} of {secrets:?}");
    }
    for (operators, accepted) in [(&[NEW][..], true), (&[OLD, NEW], true), (&[OLD], false)] {
        vm.server.secrets().set(SecretTable::new([], operators.iter().copied()));
        let operator = PeerClient::new(NEW, LONG, Arc::default());
        let answer = operator.status(vm.server.address).await;
        assert_eq!(answer.is_ok(), accepted, "{operators:?}: {answer:?}");
    }
}
