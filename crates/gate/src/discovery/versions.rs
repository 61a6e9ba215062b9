//! Follows the configuration in the store, or reads it from a peer while the store does not answer.
//!
//! Depends on [`super::core`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use base::prelude::*;
use bytes::Bytes;
use directory::prelude::*;
use member::prelude::*;
use peer::prelude::*;
use store::prelude::*;

use super::core::{DiscoveryCore, log_read, pause_at_start};
use crate::event;
use crate::mechanism::Mechanism;

/// The longest time of a long poll for changes of the configuration. It is a little less than the
/// store's limit of 30 s, so that few calls are made, each of which has a price. TCP keep-alive
/// detects a connection that stops responding meanwhile, and the checks of the designated reader
/// one that delivers nothing.
const CONFIG_POLL_LIMIT: ClockSpan = ClockSpan::from_secs(25);
/// The timeout of a check for changes that the long poll did not deliver. The store answers within
/// milliseconds, and a check that fails is repeated.
const CHECK_TIMEOUT: ClockSpan = ClockSpan::from_secs(1);
/// The shortest time between two reads of the configuration. Versions that follow each other within
/// this time cost one call. The time is a fraction of the 2 s within which one must be applied.
const CONFIG_PAUSE: ClockSpan = ClockSpan::from_millis(200);
/// The time between two checks whether this VM has to follow the configuration in the store itself.
/// Short compared with the 2 s within which a version must be applied.
const ROLE_PERIOD: ClockSpan = ClockSpan::from_millis(250);
/// The mean pause after a failed call.
const FAILURE_PAUSE: ClockSpan = ClockSpan::from_millis(400);
/// The time for which peers are asked for a new version before it is read from the store. Each
/// version spreads from VM to VM, and with each request about twice as many have it. The time is a
/// fraction of the 2 s within which a version must be applied.
const PEER_LIMIT: ClockSpan = ClockSpan::from_millis(700);
/// The part of this time in which only peers that report the version are asked. Each VM reports a
/// version to its neighbours as soon as it has it, so that the others rarely have to search for it.
const SOURCE_LIMIT: ClockSpan = ClockSpan::from_millis(200);
/// The part of this time in which only peers of this data centre are asked, one of which follows the
/// configuration in the store.
const CENTRE_LIMIT: ClockSpan = ClockSpan::from_millis(400);
/// The mean time between two of these requests.
const PEER_PAUSE: ClockSpan = ClockSpan::from_millis(30);

impl<K: EntryCodec + RowCodec> DiscoveryCore<K> {
    /// Keeps the configuration up to date until it is dropped.
    pub(super) async fn follow_config(self: Arc<Self>) {
        if let Some(wait) = self.wait_for_peers().await {
            while let Some(reach) = self.start_reach(wait) {
                if self.has_started_peer() && self.fetch_config_at_start(reach).await {
                    break;
                }
                pause_at_start().await;
            }
        }
        let mut position = None;
        loop {
            let mut is_complete = position.is_none();
            let read = tokio::select! {
                read = self.config_changes(position) => read,
                () = self.config_wanted.notified() => {
                    let refresh = self.config_refresh.swap(false, Ordering::Relaxed);
                    if self.fetch_newest_config().await && !refresh {
                        continue;
                    }
                    is_complete = true;
                    self.rows.read_table(K::CONFIG_TABLE).await
                }
            };
            match read {
                Ok(page) => {
                    position = Some(page.position);
                    log_read(K::CONFIG_TABLE, &page);
                    self.state.store.answered(self.state.clock.now());
                    self.tables.lock().detector.record_config(page.position);
                    self.apply_config(&page).await;
                    self.read_evacuations(&page, is_complete).await;
                    tokio::time::sleep(CONFIG_PAUSE.to_duration()).await;
                }
                Err(StoreError::HistoryLost) => position = None,
                Err(error) => {
                    tracing::debug!(event = event::STORE_READ_FAILED, %error);
                    self.record_own_failure(&error);
                    self.fetch_config(AskReach::Any).await;
                    let pause = FAILURE_PAUSE.scaled(0.5 + rand::random::<f64>());
                    tokio::time::sleep(pause.to_duration()).await;
                }
            }
        }
    }

    /// Waits until this VM has to follow the configuration itself, and then for changes in the
    /// store. Without a position, reads the configuration.
    async fn config_changes(&self, position: Option<u64>) -> Result<RowPage, StoreError> {
        while !self.follows_config() {
            tokio::time::sleep(ROLE_PERIOD.to_duration()).await;
        }
        match position {
            Some(position) => tokio::select! {
                read = self.rows.changes(K::CONFIG_TABLE, position, CONFIG_POLL_LIMIT) => read,
                read = self.missed_changes(position) => read,
            },
            None => self.rows.read_table(K::CONFIG_TABLE).await,
        }
    }

    /// Waits until the long poll seems to have missed changes, and returns the first ones. Only the
    /// designated reader checks this, because each call to the store has a price.
    async fn missed_changes(&self, mut position: u64) -> Result<RowPage, StoreError> {
        let polled_at = self.state.clock.now();
        loop {
            self.wait_for_check(polled_at).await;
            self.tables.lock().detector.record_check(self.state.clock.now());
            let check = self.rows.changes(K::CONFIG_TABLE, position, ClockSpan::ZERO);
            match tokio::time::timeout(CHECK_TIMEOUT.to_duration(), check).await {
                Ok(Ok(page)) if page.rows.is_empty() => {
                    self.tables.lock().detector.record_config(page.position);
                    // The store keeps the history for less time than a long poll takes.
                    position = page.position;
                    continue;
                }
                Ok(Ok(page)) => {
                    let position = page.position;
                    tracing::info!(event = event::CHANGES_MISSED, position, "changes were missed");
                    return Ok(page);
                }
                Ok(Err(StoreError::HistoryLost)) => return Err(StoreError::HistoryLost),
                Ok(Err(error)) => tracing::debug!(event = event::STORE_READ_FAILED, %error),
                Err(_) => tracing::debug!(event = event::STORE_READ_FAILED, "no answer in time"),
            }
            let pause = FAILURE_PAUSE.scaled(0.5 + rand::random::<f64>());
            tokio::time::sleep(pause.to_duration()).await;
        }
    }

    /// Waits until this VM is the designated reader and a check is due. The current long poll was
    /// sent at `polled_at`.
    async fn wait_for_check(&self, polled_at: ClockTime) {
        let is_used = self.state.options.tuning.uses(Mechanism::ConfigCheck);
        loop {
            let is_reader = self.is_designated_reader.load(Ordering::Relaxed);
            let due = self.tables.lock().detector.next_check(polled_at);
            match due.filter(|_| is_used && is_reader) {
                Some(due) if due <= self.state.clock.now() => return,
                Some(due) => {
                    tokio::time::sleep_until(self.state.clock.to_instant(due).into()).await;
                }
                None => self.check_wanted.notified().await,
            }
        }
    }

    /// Fetches the configuration from the peer that reported it, else from any.
    async fn fetch_config_at_start(&self, reach: AskReach) -> bool {
        let source = self.config_source.lock().take();
        match source {
            Some(address) => self.fetch_config_from(address).await,
            None => self.fetch_config(reach).await,
        }
    }

    /// Fetches the version that another VM has reported: from the peer that did, then from any.
    /// Returns whether this VM has the newest version that it knows of.
    async fn fetch_newest_config(&self) -> bool {
        if !self.state.options.tuning.uses(Mechanism::PeerConfig) {
            return false;
        }
        let since = self.state.clock.now();
        loop {
            let waited = self.state.clock.now().since(since);
            if waited >= PEER_LIMIT {
                return false;
            }
            let source = self.config_source.lock().take();
            let is_newest = match source {
                Some(address) => self.fetch_config_from(address).await,
                None if waited < SOURCE_LIMIT => !self.misses_version(),
                None if waited < CENTRE_LIMIT => self.fetch_config(AskReach::Centre).await,
                None => self.fetch_config(AskReach::Any).await,
            };
            if is_newest {
                return true;
            }
            let pause = PEER_PAUSE.scaled(0.5 + rand::random::<f64>());
            tokio::time::sleep(pause.to_duration()).await;
        }
    }

    fn misses_version(&self) -> bool {
        self.tables.lock().config.misses_version()
    }

    /// Returns whether this VM follows the configuration in the store itself.
    pub(super) fn follows_config(&self) -> bool {
        let now = self.state.clock.now();
        let state = FollowState {
            is_designated_reader: self.is_designated_reader.load(Ordering::Relaxed),
            peer_reported: self.has_recent_peer_read(now),
            is_outdated: self.misses_version(),
        };
        self.exchange.membership.lock().follows_config(state)
    }

    /// Applies the configuration in a page if it is newer than the current one, and tells the
    /// neighbours, which fetch it from this VM and tell theirs in turn. A version thus reaches all
    /// VMs over few links between data centres, and each VM serves it a few times.
    async fn apply_config(&self, page: &RowPage) {
        for row in page.rows.iter().filter(|row| row.key == *K::CONFIG_KEY) {
            let Some(value) = &row.value else { continue };
            let offer = {
                let mut tables = self.tables.lock();
                let offer = tables.config.offer::<K>(value);
                if let ConfigOffer::Newer(config) = &offer {
                    tables.config.observe_version(config.version);
                }
                offer
            };
            match offer {
                ConfigOffer::Newer(config) => {
                    let version = config.version;
                    tracing::info!(event = event::CONFIG_APPLIED, version, "configuration applied");
                    self.exchange.set_config_version(version);
                    self.apply();
                    let message = PeerMessage::Config(ConfigMessage { version });
                    self.exchange.send_to_neighbours(message).await;
                }
                ConfigOffer::Known => {}
                ConfigOffer::Unreadable(error) => {
                    tracing::error!(event = event::CONFIG_UNREADABLE, %error);
                }
            }
        }
    }

    /// Records that a neighbour has a version of the configuration. If this VM lacks it, it fetches
    /// it from there.
    pub(super) fn receive_config(&self, sender: &SharedName, version: u64) {
        if version > self.tables.lock().config.current().map_or(0, |config| config.version) {
            let membership = self.exchange.membership.lock();
            let address = membership.entry(sender).map(|entry| entry.control_address);
            drop(membership);
            *self.config_source.lock() = address;
        }
        self.observe_config_version(version);
    }

    /// Fetches the configuration from a peer, if some VM has a newer version. Returns whether this
    /// VM then has the newest version that it knows of.
    async fn fetch_config(&self, reach: AskReach) -> bool {
        if let Some(name) = self.missing_config() {
            let copy = self.fetch_copy(name, reach).await;
            self.apply_config_copy(copy).await;
        }
        self.has_newest_config()
    }

    /// Fetches the configuration from one VM, as [`Self::fetch_config`] does.
    async fn fetch_config_from(&self, address: SocketAddr) -> bool {
        if let Some(name) = self.missing_config() {
            let copy = self.fetch_copy_from(address, name).await;
            self.apply_config_copy(copy).await;
        }
        self.has_newest_config()
    }

    /// Returns the name of the copy that this VM needs, or `None` if it has the newest version.
    fn missing_config(&self) -> Option<CopyName> {
        let config = &self.tables.lock().config;
        let at_least = config.highest_version();
        config.is_outdated().then_some(CopyName::Configuration { at_least })
    }

    fn has_newest_config(&self) -> bool {
        !self.tables.lock().config.is_outdated()
    }

    async fn apply_config_copy(&self, copy: Option<Bytes>) {
        let Some(value) = copy else { return };
        // The peer would also report reads of the store. Otherwise, VMs that start together would
        // all follow the configuration until one of them has reported its first read.
        self.tables.lock().peer_read_at.get_or_insert(self.state.clock.now());
        let row = TableRow { key: K::CONFIG_KEY.into(), version: 0, value: Some(value) };
        self.apply_config(&RowPage { rows: vec![row], ..RowPage::default() }).await;
    }
}
