//! The tasks that use the platform: claims, the configuration and the membership list.
//!
//! Starts the tasks of [`crate::follow`] and [`crate::control`], which do not depend on this module.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock, Weak};
use std::time::{SystemTime, UNIX_EPOCH};

use base::prelude::*;
use claim::prelude::*;
use config::prelude::*;
use limit::prelude::VmCounts;
use peer::prelude::*;
use store::prelude::*;
use tokio::task::{JoinHandle, JoinSet};

use crate::control::GateControl;
use crate::event;
use crate::follow::{GateFollower, GatePeers, GateTarget};
use crate::peers::{GrantClient, PeerTable};
use crate::state::{GateClaims, GateState, GateStore};

/// The time between reads of the membership list. The list itself lags by 30 s.
const MEMBER_PERIOD: ClockSpan = ClockSpan::from_secs(5);

/// How this VM reaches the platform and its peers.
pub struct PlatformOptions {
    /// How to reach the platform's store.
    pub store: HttpSettings,
    /// The environment whose configuration is followed, or `None` if the configuration is fixed.
    pub environment: Option<SharedName>,
    /// The client for calls to peers.
    pub client: PeerClient,
}

/// The tasks that use the platform and the peers. They end when this is dropped.
pub struct PlatformTasks {
    store: GateStore,
    claims: GateClaims,
    driver: JoinHandle<()>,
    tasks: JoinSet<()>,
    peers: Arc<PeerTable>,
    follower: Arc<OnceLock<GateFollower>>,
}

impl PlatformTasks {
    /// Starts following the environment, accepting claims and exchanging notices with peers.
    pub fn start(state: &Arc<GateState>, options: PlatformOptions) -> Self {
        let PlatformOptions { store, environment, client } = options;
        let store = HttpStore::new(store, state.clock);
        let vm = state.options.vm.clone();
        let own = vm.name.clone();
        let epoch_ms = epoch_ms(state.clock.now());
        let table = ClaimTable::new(vm, epoch_ms, ClaimTuning::default(), rand::random());
        let (claims, driver) = ClaimRunner::new(table, store.clone(), state.clock);
        // Cannot fail: only this function sets the claims, once for each gateway.
        let _ = state.claims.set(claims.clone());
        let peers = Arc::new(PeerTable::new(own));
        let follower = Arc::new(OnceLock::new());
        let mut tasks = JoinSet::new();
        // Cannot fail, for the same reason.
        let _ = state.grants.set(GrantClient { peers: Arc::clone(&peers), client: client.clone() });
        let watch = MemberWatch {
            state: Arc::downgrade(state),
            store: store.clone(),
            claims: claims.clone(),
            peers: Arc::clone(&peers),
        };
        tasks.spawn(watch.run());
        if let Some(environment) = environment {
            let source = GatePeers {
                peers: Arc::clone(&peers),
                client: client.clone(),
                store: store.clone(),
                clock: state.clock,
            };
            let target = GateTarget { state: Arc::downgrade(state), peers: Arc::clone(&peers) };
            let parts = (store.clone(), state.clock, source, target);
            let tuning = TrackerTuning::default();
            let following = ConfigFollower::new(parts, environment, tuning, rand::random());
            let _ = follower.set(following.clone());
            tasks.spawn(following.run());
        }
        let driver = tokio::spawn(driver.run());
        let mut platform = Self { store, claims, driver, tasks, peers, follower };
        let control = platform.control(state);
        platform.tasks.spawn(control.run(client.clone()));
        let control = platform.control(state);
        platform.tasks.spawn(control.send_suspects(client));
        platform
    }

    /// Returns the platform's store, whose clones share its settings.
    pub fn store(&self) -> GateStore {
        self.store.clone()
    }

    /// Sets the address at which peers reach this VM. It is sent to them from now on.
    pub fn set_peer_address(&self, address: SocketAddr) {
        self.peers.set_own_address(address);
    }

    /// Returns the handler of requests from peers and operators.
    pub fn control(&self, state: &Arc<GateState>) -> GateControl {
        let (peers, follower) = (Arc::clone(&self.peers), Arc::clone(&self.follower));
        GateControl { state: Arc::clone(state), peers, follower }
    }

    /// Stops accepting claims and waits until every outcome is stored.
    pub async fn stop(self) {
        self.claims.stop();
        // A panic of the driver has already been printed.
        let _ = self.driver.await;
    }
}

/// Returns when the process's clock started, in milliseconds since the Unix epoch.
fn epoch_ms(now: ClockTime) -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    (since_epoch.as_millis() as u64).saturating_sub(now.as_millis())
}

/// Reads the membership list every [`MEMBER_PERIOD`].
struct MemberWatch {
    state: Weak<GateState>,
    store: GateStore,
    claims: GateClaims,
    peers: Arc<PeerTable>,
}

impl MemberWatch {
    async fn run(self) {
        loop {
            match self.store.members().await {
                Ok(list) => {
                    self.record_answer(None);
                    self.claims.update_members(&list);
                    self.apply_members(&list);
                }
                Err(error) => {
                    tracing::debug!(event = event::MEMBERS_READ_FAILED, %error);
                    self.record_answer(Some(error));
                }
            }
            tokio::time::sleep(MEMBER_PERIOD.to_duration()).await;
        }
    }
}

impl MemberWatch {
    /// Records whether the store answered.
    fn record_answer(&self, error: Option<StoreError>) {
        let Some(state) = self.state.upgrade() else { return };
        let now = state.clock.now();
        match error {
            Some(error) => state.store.failed(error, now),
            None => state.store.answered(now),
        }
    }

    /// Passes the VMs to the tables whose budgets and owner VMs depend on them.
    fn apply_members(&self, list: &MemberList) {
        let Some(state) = self.state.upgrade() else { return };
        let now = state.clock.now();
        self.peers.apply_member_list(list, now);
        let names = self.peers.vm_names();
        let listed = list.members.len() as u32;
        let counts = VmCounts { listed, reported: names.len() as u32 };
        state.tables.probes.set_counts(counts, now);
        state.tables.set_members(names);
    }
}
