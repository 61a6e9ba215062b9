//! Keeps the configuration of a VM up to date: polls the store, accepts versions that peers report,
//! and fetches and applies their documents.

use std::future::Future;
use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use store::prelude::*;
use tokio::sync::{Mutex, Notify};

use crate::row::{VersionId, VersionRow};
use crate::tracker::{TrackerTuning, VersionSource, VersionTracker};

/// Applies documents on this VM.
pub trait DocumentTarget: Send + Sync + 'static {
    /// Puts a document into force as a whole.
    ///
    /// # Errors
    ///
    /// Returns why the document cannot be used. In that case no part of it is in force.
    fn apply(&self, id: &VersionId, document: &Bytes) -> Result<(), String>;
}

/// Requests versions and documents from other VMs.
pub trait PeerSource: Send + Sync + 'static {
    /// Asks all reachable peers for their active version.
    fn versions(&self) -> impl Future<Output = Vec<VersionId>> + Send;

    /// Asks peers for a document, or returns `None` if none has it.
    fn document(&self, digest: &SharedName) -> impl Future<Output = Option<Bytes>> + Send;
}

/// A [`PeerSource`] without peers.
#[derive(Clone, Copy, Debug)]
pub struct NoPeers;

impl PeerSource for NoPeers {
    async fn versions(&self) -> Vec<VersionId> {
        Vec::new()
    }

    async fn document(&self, _digest: &SharedName) -> Option<Bytes> {
        None
    }
}

#[derive(Debug)]
struct FollowerState<S, C, P, T> {
    store: S,
    clock: C,
    peers: P,
    target: T,
    environment: SharedName,
    tracker: RankedMutex<VersionTracker>,
    /// Held while a version is fetched and applied, so that versions are applied one at a time.
    apply_lock: Mutex<()>,
    /// Wakes [`ConfigFollower::run`] when a peer reports a newer version.
    new_version: Notify,
}

/// Follows the versions of one environment. Clones share their state.
#[derive(Debug)]
pub struct ConfigFollower<S, C, P, T> {
    state: Arc<FollowerState<S, C, P, T>>,
}

impl<S, C, P, T> Clone for ConfigFollower<S, C, P, T> {
    fn clone(&self) -> Self {
        Self { state: self.state.clone() }
    }
}

impl<S, C, P, T> ConfigFollower<S, C, P, T>
where
    S: PlatformStore,
    C: ClockSource,
    P: PeerSource,
    T: DocumentTarget,
{
    /// Returns a follower that knows no version yet.
    pub fn new(
        (store, clock, peers, target): (S, C, P, T),
        environment: SharedName,
        tuning: TrackerTuning,
        seed: u64,
    ) -> Self {
        let tracker = VersionTracker::new(tuning, seed, clock.now());
        let tracker = RankedMutex::new(LockRank::PeerTable, tracker);
        let new_version = Notify::new();
        let apply_lock = Mutex::new(());
        let state = FollowerState {
            store,
            clock,
            peers,
            target,
            environment,
            tracker,
            apply_lock,
            new_version,
        };
        Self { state: Arc::new(state) }
    }

    /// Records a version that a peer reports. A newer one is fetched at once.
    pub fn observe_version(&self, id: &VersionId) {
        if self.state.tracker.lock().observe_version(id, VersionSource::Peer) {
            self.state.new_version.notify_one();
        }
    }

    /// Returns the active version, which is the one that this VM runs.
    pub fn active(&self) -> Option<VersionId> {
        self.state.tracker.lock().active().cloned()
    }

    /// Returns whether a VM that starts may accept calls; see [`VersionTracker::may_start`].
    pub fn may_start(&self) -> bool {
        self.state.tracker.lock().may_start()
    }

    /// Follows the environment until the task is dropped.
    pub async fn run(self) {
        loop {
            let next = self.state.tracker.lock().next_poll();
            let wait = next.since(self.state.clock.now());
            if wait == ClockSpan::ZERO {
                self.poll().await;
            } else {
                tokio::select! {
                    () = tokio::time::sleep(wait.to_duration()) => {}
                    () = self.state.new_version.notified() => self.fetch().await,
                }
            }
        }
    }

    /// Reads the store once and applies a newer version. A VM that starts asks its peers if the
    /// store cannot be read.
    pub async fn poll(&self) {
        let state = &self.state;
        let rows = state.store.read(vec![VersionRow::row_key(&state.environment)]).await;
        let row = rows.ok().map(|rows| {
            let entry = rows.first().and_then(Option::as_ref);
            VersionRow::from_entry(&state.environment, entry)
        });
        match row {
            Some(Ok(row)) => {
                let id = row.map(|(_, row)| row.to_id());
                state.tracker.lock().record_store_read(id.as_ref(), state.clock.now());
            }
            _ => {
                state.tracker.lock().record_failure(state.clock.now());
                // A running VM receives new versions with its peers' regular messages. If all VMs
                // asked all others during an outage, that would cost several KB/s each.
                if !self.may_start() {
                    self.ask_peers().await;
                }
            }
        }
        self.fetch().await;
    }

    async fn ask_peers(&self) {
        let ids = self.state.peers.versions().await;
        let mut tracker = self.state.tracker.lock();
        for id in &ids {
            tracker.observe_version(id, VersionSource::Peer);
        }
        tracker.record_peers_asked();
    }

    async fn fetch(&self) {
        let state = &self.state;
        let _guard = state.apply_lock.lock().await;
        let Some(id) = state.tracker.lock().version_to_fetch().cloned() else { return };
        let Some(document) = self.document(&id.digest).await else {
            tracing::warn!(event = 1612, version = id.version, "document could not be fetched");
            return state.tracker.lock().record_failure(state.clock.now());
        };
        match state.target.apply(&id, &document) {
            Ok(()) => {
                state.tracker.lock().activate(&id);
                tracing::info!(event = 1613, version = id.version, "version is active");
            }
            Err(reason) => {
                state.tracker.lock().reject(&id);
                tracing::error!(event = 1614, version = id.version, reason, "version is unusable");
            }
        }
    }

    /// Returns the document with the digest, from the store or, if it is missing or damaged there,
    /// from a peer.
    async fn document(&self, digest: &SharedName) -> Option<Bytes> {
        let intact = |document: &Bytes| content_digest(document) == *digest;
        let stored = self.state.store.load_object(digest).await.ok().flatten().filter(intact);
        match stored {
            Some(document) => Some(document),
            None => self.state.peers.document(digest).await.filter(intact),
        }
    }
}
