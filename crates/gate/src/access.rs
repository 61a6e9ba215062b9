//! This VM's use of the platform: claims, the configuration and the membership list.

use std::sync::{Arc, Weak};
use std::time::{SystemTime, UNIX_EPOCH};

use base::prelude::*;
use bytes::Bytes;
use claim::prelude::*;
use config::prelude::*;
use platform::prelude::*;
use tokio::task::{JoinHandle, JoinSet};

use crate::event;
use crate::state::GateState;

/// The platform as the gateway reaches it.
pub type GateStore = HttpStore<RealClock>;
/// The claims of this VM.
pub type GateClaims = ClaimRunner<GateStore, RealClock>;

/// The time between reads of the membership list, which lags by 30 s in any case.
const MEMBER_PERIOD: ClockSpan = ClockSpan::from_secs(5);

/// The tasks that use the platform. They end when this is dropped.
pub struct PlatformAccess {
    claims: GateClaims,
    driver: JoinHandle<()>,
    _tasks: JoinSet<()>,
}

impl PlatformAccess {
    /// Starts to follow the environment and to take claims.
    pub fn start<P: PeerSource>(
        state: &Arc<GateState>,
        settings: HttpSettings,
        environment: Option<SharedName>,
        peers: P,
    ) -> Self {
        let store = HttpStore::new(settings, state.clock);
        let vm = state.options.vm.clone();
        let epoch_ms = epoch_ms(state.clock.now());
        let table = ClaimTable::new(vm, epoch_ms, ClaimTuning::default(), rand::random());
        let (claims, driver) = ClaimRunner::new(table, store.clone(), state.clock);
        // The claims are set once, by the only start.
        let _ = state.claims.set(claims.clone());
        let mut tasks = JoinSet::new();
        tasks.spawn(watch_members(store.clone(), claims.clone()));
        if let Some(environment) = environment {
            let target = GateTarget { state: Arc::downgrade(state) };
            let parts = (store, state.clock, peers, target);
            let tuning = TrackerTuning::default();
            let follower = ConfigFollower::new(parts, environment, tuning, rand::random());
            tasks.spawn(follower.run());
        }
        Self { claims, driver: tokio::spawn(driver.run()), _tasks: tasks }
    }

    /// Takes no further claims and waits until every outcome is stored.
    pub async fn stop(self) {
        self.claims.stop();
        // A panic of the driver has already been printed.
        let _ = self.driver.await;
    }
}

/// Returns the time of the clock's start in milliseconds since the Unix epoch.
fn epoch_ms(now: ClockTime) -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    (since_epoch.as_millis() as u64).saturating_sub(now.as_millis())
}

async fn watch_members(store: GateStore, claims: GateClaims) {
    loop {
        match store.members().await {
            Ok(list) => claims.update_members(&list),
            Err(error) => tracing::debug!(event = event::MEMBERS_UNREAD, %error),
        }
        tokio::time::sleep(MEMBER_PERIOD.to_duration()).await;
    }
}

/// Puts documents into force on this VM.
#[derive(Debug)]
struct GateTarget {
    state: Weak<GateState>,
}

impl DocumentTarget for GateTarget {
    fn apply(&self, mark: &VersionMark, document: &Bytes) -> Result<(), String> {
        let Some(state) = self.state.upgrade() else { return Ok(()) };
        let environment =
            border::load_document(document, mark.version).map_err(|error| error.to_string())?;
        state.apply(environment);
        Ok(())
    }
}
