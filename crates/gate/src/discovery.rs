//! Follows the configuration and the upstreams in the tables of the platform's store.
//!
//! This module starts the tasks. They are in the modules `versions` (configuration), `evacuations`,
//! `upstreams`, `join` (how a VM finds the others) and `datagrams` (messages between VMs), and depend
//! on `core`, which holds the tables that they share.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Weak};

use base::prelude::*;
use directory::prelude::*;
use peer::prelude::*;
use store::prelude::*;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;

use self::core::DiscoveryCore;
use crate::directory_tables::{CopySource, DirectoryTables};
use crate::exchange::{ExchangeOptions, VmExchange};
use crate::mechanism::Mechanism;
use crate::peers::PeerTable;
use crate::state::GateState;

mod core;
mod datagrams;
mod evacuations;
mod join;
mod upstreams;
mod versions;

/// How a VM finds its configuration, its upstreams and its peers.
pub struct DiscoveryOptions {
    /// The platform's store.
    pub store: HttpSettings,
    /// The part of the environment that comes from the process settings, such as the limits that
    /// apply to all VMs together.
    pub bounds: FleetBounds,
    /// The address and secrets for datagrams between VMs.
    pub exchange: ExchangeOptions,
    /// Sends calls to the control listeners of peers.
    pub client: PeerClient,
    /// The copies of tables that peers may read from this VM.
    pub peers: Arc<PeerTable>,
}

/// The tasks that follow the tables of the store. They end when this is dropped. `K` decodes the
/// rows of the platform.
pub struct DiscoveryTasks<K> {
    core: Arc<DiscoveryCore<K>>,
    _tasks: JoinSet<()>,
}

impl<K: EntryCodec + RowCodec> DiscoveryTasks<K> {
    /// Starts to follow the store and to exchange datagrams with peers.
    ///
    /// # Errors
    ///
    /// Fails if the address for datagrams of peers cannot be bound.
    pub async fn start(state: &Arc<GateState>, options: DiscoveryOptions) -> std::io::Result<Self> {
        let DiscoveryOptions { store, bounds, exchange, client, peers } = options;
        let tuning = &state.options.tuning;
        let directory = DirectoryTuning {
            honours_draining: tuning.uses(Mechanism::Drain),
            ..DirectoryTuning::default()
        };
        let ordered = tuning.uses(Mechanism::VersionOrder);
        let tables = DirectoryTables {
            upstreams: UpstreamDirectory::new(directory),
            evacuations: EvacuationTable::default(),
            evacuations_sent_at: ClockTime::ZERO,
            config: if ordered { ConfigTracker::new() } else { ConfigTracker::unordered() },
            detector: ChangeDetector::default(),
            bounds,
            peer_read_at: None,
            read_at: None,
            reported_position: 0,
            timeout_count: 0,
        };
        let tables = Arc::new(RankedMutex::new(LockRank::PeerTable, tables));
        let rows = RowStore::<_, K>::new(store, state.clock);
        let exchange = Arc::new(VmExchange::bind(exchange, state.clock).await?);
        state.quotas.connect(&exchange);
        let membership = Arc::clone(&exchange.membership);
        let suspects_learned = Arc::new(AtomicBool::new(false));
        peers.offer_copies(CopySource {
            tables: Arc::clone(&tables),
            membership,
            suspects: Arc::clone(&state.tables.suspects),
            suspects_learned: Arc::clone(&suspects_learned),
        });
        let core = Arc::new(DiscoveryCore {
            state: Arc::clone(state),
            rows,
            tables,
            exchange,
            client,
            is_designated_reader: AtomicBool::new(false),
            config_wanted: Notify::new(),
            config_refresh: AtomicBool::new(false),
            check_wanted: Notify::new(),
            config_source: RankedMutex::new(LockRank::PeerTable, None),
            upstreams_wanted: Notify::new(),
            upstreams_refresh: AtomicBool::new(false),
            joined: watch::Sender::new(false),
            suspects_learned,
            row_written: AtomicBool::new(false),
            query_wanted: Notify::new(),
            queried: RankedMutex::new(LockRank::PeerTable, None),
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(Arc::clone(&core).follow_config());
        tasks.spawn(Arc::clone(&core).follow_upstreams());
        tasks.spawn(Arc::clone(&core).join_fleet());
        tasks.spawn(Arc::clone(&core).query_members());
        tasks.spawn(Arc::clone(&core).send_due_messages());
        tasks.spawn(Arc::clone(&core).receive());
        tasks.spawn(Arc::clone(&core).send_drains());
        Ok(Self { core, _tasks: tasks })
    }

    /// Returns a handle that changes the settings of the tasks.
    pub fn handle(&self) -> DiscoveryHandle<K> {
        DiscoveryHandle { core: Arc::downgrade(&self.core) }
    }
}

/// Changes the settings of running tasks.
pub struct DiscoveryHandle<K> {
    core: Weak<DiscoveryCore<K>>,
}

impl<K: EntryCodec + RowCodec> DiscoveryHandle<K> {
    /// Changes the part of the environment that comes from the process settings.
    pub fn set_bounds(&self, bounds: FleetBounds) {
        let Some(core) = self.core.upgrade() else { return };
        core.tables.lock().bounds = bounds;
        core.apply();
    }

    /// Changes the peer secrets. Datagrams are signed with the first one.
    pub fn set_secrets(&self, secrets: &[SharedName]) {
        if let Some(core) = self.core.upgrade() {
            core.exchange.set_secrets(secrets);
        }
    }

    /// Changes the VMs that are asked for the others at the start.
    pub fn set_seeds(&self, seeds: &[SocketAddr]) {
        if let Some(core) = self.core.upgrade() {
            core.exchange.set_seeds(seeds);
        }
    }

    /// Changes the timeout of a call to the store.
    pub fn set_store_timeout(&self, timeout: ClockSpan) {
        if let Some(core) = self.core.upgrade() {
            core.rows.set_call_timeout(timeout);
        }
    }
}
