//! The control listener of a VM, with answers that a test sets.

use std::sync::{Arc, Mutex};

use base::prelude::*;
use bytes::Bytes;
use config::prelude::*;
use peer::prelude::*;
use report::prelude::*;
use stand::prelude::*;
use suspect::prelude::*;
use world::prelude::*;

/// The operators' secret of the tests.
pub const SECRET: &str = "an-operator-secret-of-the-tests";

/// The answers of a VM to operators.
pub struct TestVm {
    pub status: StatusReport,
    pub suspects: Vec<SuspectEntry>,
    pub burn: BurnExport,
    /// The fingerprints that were released.
    pub released: Arc<Mutex<Vec<u64>>>,
}

impl TestVm {
    pub fn new(name: &str, version: Option<u64>) -> Self {
        let id = |version| VersionId { version, digest: "0".into() };
        let vm = VmIdentity { name: name.into(), incarnation: 1, centre: "medeu".into() };
        let environment = super::ENVIRONMENT.into();
        let version = version.map(id);
        Self {
            status: StatusReport { vm, environment, version, ready: true, calls: 7 },
            suspects: Vec::new(),
            burn: BurnExport { vm: name.into(), services: Vec::new(), dropped: 0 },
            released: Arc::default(),
        }
    }

    pub async fn start(self) -> ControlServer {
        let address = "127.0.0.1:0".parse().expect("an address");
        let secrets = SecretTable::new([], [SECRET]);
        ControlServer::start(address, secrets, Arc::default(), self).await.expect("a listener")
    }
}

impl ControlHandler for TestVm {
    fn exchange(&self, _: ExchangeNotice) -> ExchangeNotice {
        ExchangeNotice::default()
    }

    fn document(&self, _: &SharedName) -> Option<Bytes> {
        None
    }

    fn copy(&self, _name: CopyName) -> Option<Bytes> {
        None
    }

    fn grant(&self, _: &GrantRequest) -> bool {
        false
    }

    fn release_grant(&self, _: &GrantResult) {}

    fn status(&self) -> StatusReport {
        self.status.clone()
    }

    fn suspects(&self) -> Vec<SuspectEntry> {
        self.suspects.clone()
    }

    fn release(&self, fingerprint: u64) {
        self.released.lock().expect("no panic").push(fingerprint);
    }

    fn burn(&self) -> BurnExport {
        self.burn.clone()
    }
}

/// Returns an entry of the platform's list of VMs.
pub fn member(name: &str, address: impl ToString, leaving: bool) -> PlatformMember {
    PlatformMember {
        name: name.into(),
        incarnation: 1,
        centre: "medeu".into(),
        peer_address: address.to_string().into(),
        leaving,
    }
}
