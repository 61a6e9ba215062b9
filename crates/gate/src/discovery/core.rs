//! The state that the tasks of [`crate::discovery`] share: what was read from the store and from
//! peers, and how it is applied.
//!
//! The tasks depend on this module; it does not depend on them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use base::prelude::*;
use bytes::Bytes;
use directory::prelude::*;
use member::prelude::*;
use peer::prelude::*;
use store::prelude::*;
use tokio::sync::{Notify, watch};

use crate::directory_tables::DirectoryTables;
use crate::event;
use crate::exchange::VmExchange;
use crate::mechanism::Mechanism;
use crate::state::GateState;

/// The longest time for a request to a peer. A peer that is frozen or cut off must not delay a
/// change, and a small VM that is alive answers within some tens of milliseconds.
const COPY_TIMEOUT: ClockSpan = ClockSpan::from_millis(120);
/// The longest time for which a VM that starts waits until it knows other VMs. The store may be down
/// or slow, and calls may arrive already.
const JOIN_TIMEOUT: ClockSpan = ClockSpan::from_millis(1_200);
/// The longest time for which a VM that starts asks its peers although they report reads.
const START_LIMIT: ClockSpan = ClockSpan::from_millis(2_500);
/// For this long, a read of the upstreams by a peer shows that the store works. Twice the time
/// between two reads of the designated reader.
pub(super) const PEER_READ_VALIDITY: ClockSpan = ClockSpan::from_millis(1400);
/// The mean time between two requests of a VM that starts. What one VM has read then reaches many
/// others, each of which answers in turn, within a few hundred milliseconds.
const START_PAUSE: ClockSpan = ClockSpan::from_millis(60);

/// The share of the time for which a VM that starts asks its peers in which it asks only those of its
/// data centre. Of 472 VMs that start together, 12 read the store, two or three in each of five data
/// centres.
const CENTRE_SHARE: f64 = 0.7;

/// The state that the tasks share.
pub(crate) struct DiscoveryCore<K> {
    pub(super) state: Arc<GateState>,
    pub(super) rows: RowStore<RealClock, K>,
    pub(super) tables: Arc<RankedMutex<DirectoryTables>>,
    pub(super) exchange: Arc<VmExchange>,
    pub(super) client: PeerClient,
    /// Whether this VM is the designated reader of the upstreams.
    pub(super) is_designated_reader: AtomicBool,
    /// Wakes the task that follows the configuration, to get a newer one.
    pub(super) config_wanted: Notify,
    /// Whether the configuration is to be read from the store.
    pub(super) config_refresh: AtomicBool,
    /// Wakes the check for changes of the configuration that the long poll did not deliver.
    pub(super) check_wanted: Notify,
    /// The control address of the peer that last reported a version that this VM lacks.
    pub(super) config_source: RankedMutex<Option<SocketAddr>>,
    /// Wakes the task that follows the upstreams, to get changes.
    pub(super) upstreams_wanted: Notify,
    /// Whether the upstreams are to be read from the store.
    pub(super) upstreams_refresh: AtomicBool,
    /// Whether this VM knows other VMs, or has tried to find them.
    pub(super) joined: watch::Sender<bool>,
    /// Whether this VM has learned from a settled VM which requests crash upstreams.
    pub(super) suspects_learned: Arc<AtomicBool>,
    /// Whether the row of this VM is in the store.
    pub(super) row_written: AtomicBool,
    /// Wakes the task that asks a peer for the VMs that it knows.
    pub(super) query_wanted: Notify,
    /// The control address of that peer.
    pub(super) queried: RankedMutex<Option<SocketAddr>>,
}

impl<K: EntryCodec + RowCodec> DiscoveryCore<K> {
    /// Builds the environment and applies it, once both the configuration and the upstreams are
    /// known.
    pub(super) fn apply(&self) {
        let environment = {
            let tables = self.tables.lock();
            let Some(config) = tables.config.current() else { return };
            if tables.upstreams.position().is_none() {
                return;
            }
            let previous = self.state.environment.load();
            let previous = Some(&**previous);
            let map = build_environment(config, &tables.upstreams, &tables.bounds, previous);
            let evacuations = &tables.evacuations;
            restrict_environment(map, tables.config.rules(), |centre| {
                evacuations.is_evacuated(centre)
            })
        };
        let outdated = self.tables.lock().config.is_outdated();
        self.state.config_outdated.store(outdated, Ordering::Release);
        self.state.apply(environment);
    }

    /// Requests reads of the configuration and the upstreams from the store, because the current
    /// ones may be outdated although no peer has reported newer ones.
    pub(super) fn refresh(&self) {
        self.config_refresh.store(true, Ordering::Relaxed);
        self.config_wanted.notify_one();
        self.upstreams_refresh.store(true, Ordering::Relaxed);
        self.upstreams_wanted.notify_one();
    }

    /// Records that a peer has a version of the configuration, and requests it if this VM lacks it.
    pub(super) fn observe_config_version(&self, version: u64) {
        let outdated = {
            let mut tables = self.tables.lock();
            tables.config.observe_version(version);
            tables.config.is_outdated()
        };
        self.state.config_outdated.store(outdated, Ordering::Release);
        // A VM without a configuration reports version 0.
        if outdated && version > 0 {
            self.config_wanted.notify_one();
        }
    }

    /// Fetches a copy from a peer. Returns `None` if none of those that are asked has it.
    pub(super) async fn fetch_copy(&self, name: CopyName, reach: AskReach) -> Option<Bytes> {
        let peers = self.exchange.membership.lock().peers_to_ask(reach);
        for address in peers {
            if let Some(copy) = self.fetch_copy_from(address, name).await {
                return Some(copy);
            }
        }
        None
    }

    /// Fetches a copy from one VM.
    pub(super) async fn fetch_copy_from(
        &self,
        address: SocketAddr,
        name: CopyName,
    ) -> Option<Bytes> {
        let call = self.client.copy(address, name);
        match tokio::time::timeout(COPY_TIMEOUT.to_duration(), call).await {
            Ok(Ok(copy)) => return Some(copy),
            Ok(Err(error)) => tracing::debug!(event = event::EXCHANGE_FAILED, %error),
            Err(_) => tracing::debug!(event = event::EXCHANGE_FAILED, %address, "no answer"),
        }
        None
    }

    /// Returns whether a peer has a configuration, so that it may have what a VM needs at its start.
    pub(super) fn has_started_peer(&self) -> bool {
        self.tables.lock().config.highest_version() > 0
    }

    /// Waits until this VM knows other VMs. Returns whether it then asks them for what it needs, or
    /// `None` if it reads the store at once.
    pub(super) async fn wait_for_peers(&self) -> Option<StartWait> {
        if !self.state.options.tuning.uses(Mechanism::PeerConfig) {
            return None;
        }
        let mut joined = self.joined.subscribe();
        let waiting = joined.wait_for(|joined| *joined);
        // If the time is over, this VM knows no peer and reads the store.
        let _ = tokio::time::timeout(JOIN_TIMEOUT.to_duration(), waiting).await;
        Some(StartWait { since: self.state.clock.now() })
    }

    /// Returns which peers a VM that starts asks now, or `None` if it is to read the store. While a
    /// peer reports reads, what this VM needs is on its way, or is not in the store yet.
    pub(super) fn start_reach(&self, wait: StartWait) -> Option<AskReach> {
        let now = self.state.clock.now();
        let waited = now.since(wait.since);
        let delay = self.exchange.membership.lock().start_delay();
        let limit = if self.has_recent_peer_read(now) { START_LIMIT } else { delay };
        let near = waited < delay.scaled(CENTRE_SHARE);
        let reach = if near { AskReach::Centre } else { AskReach::Any };
        (waited < limit).then_some(reach)
    }

    /// Returns whether a peer has recently reported a read of the upstreams.
    pub(super) fn has_recent_peer_read(&self, now: ClockTime) -> bool {
        let read_at = self.tables.lock().peer_read_at;
        read_at.is_some_and(|read_at| now.since(read_at) <= PEER_READ_VALIDITY)
    }
}

/// The time since which a VM that starts asks its peers.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartWait {
    since: ClockTime,
}

/// Waits between two requests of a VM that starts.
pub(super) async fn pause_at_start() {
    let pause = START_PAUSE.scaled(0.5 + rand::random::<f64>());
    tokio::time::sleep(pause.to_duration()).await;
}

/// Logs a read of a table.
pub(super) fn log_read(table: &str, page: &RowPage) {
    let (rows, position) = (page.rows.len(), page.position);
    tracing::debug!(event = event::TABLE_READ, table, rows, position);
}
