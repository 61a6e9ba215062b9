//! Follows the configuration in the store, or reads it from a peer while the store does not answer.
//!
//! Depends on [`super::core`].

use std::sync::Arc;
use std::sync::atomic::Ordering;

use base::prelude::*;
use directory::prelude::*;
use member::prelude::*;
use peer::prelude::*;
use store::prelude::*;

use super::core::{DiscoveryCore, log_read, pause_at_start};
use crate::event;
use crate::mechanism::Mechanism;

/// The longest time of a long poll for changes of the configuration. It is a little less than the
/// store's limit of 30 s, so that few calls are made, each of which has a price. TCP keep-alive
/// detects a connection that stops responding meanwhile.
const CONFIG_POLL_LIMIT: ClockSpan = ClockSpan::from_secs(25);
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
const PEER_LIMIT: ClockSpan = ClockSpan::from_millis(500);
/// The mean time between two of these requests.
const PEER_PAUSE: ClockSpan = ClockSpan::from_millis(30);

impl<K: EntryCodec + RowCodec> DiscoveryCore<K> {
    /// Keeps the configuration up to date until it is dropped.
    pub(super) async fn follow_config(self: Arc<Self>) {
        let until = self.wait_for_peers().await;
        while self.state.clock.now() < until {
            if self.has_started_peer() && self.fetch_config().await {
                break;
            }
            pause_at_start().await;
        }
        let mut position = None;
        loop {
            let read = tokio::select! {
                read = self.config_changes(position) => read,
                () = self.config_wanted.notified() => {
                    let refresh = self.config_refresh.swap(false, Ordering::Relaxed);
                    if self.fetch_newest_config().await && !refresh {
                        continue;
                    }
                    self.rows.read_table(K::CONFIG_TABLE).await
                }
            };
            match read {
                Ok(page) => {
                    position = Some(page.position);
                    log_read(K::CONFIG_TABLE, &page);
                    self.state.store.answered(self.state.clock.now());
                    self.apply_config(&page);
                    let unreported = self.tables.lock().config.take_unreported();
                    if let Some(version) = unreported {
                        let message = PeerMessage::Config(ConfigMessage { version });
                        self.exchange.publish(message).await;
                    }
                    tokio::time::sleep(CONFIG_PAUSE.to_duration()).await;
                }
                Err(StoreError::HistoryLost) => position = None,
                Err(error) => {
                    tracing::debug!(event = event::STORE_READ_FAILED, %error);
                    self.record_own_failure(&error);
                    self.fetch_config().await;
                    let pause = FAILURE_PAUSE.scaled(0.5 + rand::random::<f64>());
                    tokio::time::sleep(pause.to_duration()).await;
                }
            }
        }
    }

    /// Waits until this VM has to follow the configuration itself, and then for changes in the
    /// store. Without a position, reads the configuration.
    async fn config_changes(&self, position: Option<u64>) -> Result<RowPage, StoreError> {
        while self.has_config() && !self.follows_config() {
            tokio::time::sleep(ROLE_PERIOD.to_duration()).await;
        }
        match position {
            Some(position) => self.rows.changes(K::CONFIG_TABLE, position, CONFIG_POLL_LIMIT).await,
            None => self.rows.read_table(K::CONFIG_TABLE).await,
        }
    }

    fn has_config(&self) -> bool {
        self.tables.lock().config.current().is_some()
    }

    /// Fetches the version that another VM has reported from a peer. Returns whether this VM has
    /// the newest version that it knows of.
    async fn fetch_newest_config(&self) -> bool {
        if !self.state.options.tuning.uses(Mechanism::PeerConfig) {
            return false;
        }
        let until = self.state.clock.now() + PEER_LIMIT;
        while self.state.clock.now() < until {
            if self.fetch_config().await {
                return true;
            }
            let pause = PEER_PAUSE.scaled(0.5 + rand::random::<f64>());
            tokio::time::sleep(pause.to_duration()).await;
        }
        false
    }

    /// Returns whether this VM follows the configuration in the store itself.
    pub(super) fn follows_config(&self) -> bool {
        let now = self.state.clock.now();
        let state = FollowState {
            is_designated_reader: self.is_designated_reader.load(Ordering::Relaxed),
            peer_reported: self.has_recent_peer_read(now),
            is_outdated: self.tables.lock().config.is_outdated(),
        };
        self.exchange.membership.lock().follows_config(state)
    }

    /// Applies the configuration in a page if it is newer than the current one.
    fn apply_config(&self, page: &RowPage) {
        for row in page.rows.iter().filter(|row| row.key == *K::CONFIG_KEY) {
            let Some(value) = &row.value else { continue };
            let offer = self.tables.lock().config.offer::<K>(value);
            match offer {
                ConfigOffer::Newer(config) => {
                    let version = config.version;
                    tracing::info!(event = event::CONFIG_APPLIED, version, "configuration applied");
                    self.exchange.set_config_version(version);
                    self.apply();
                }
                ConfigOffer::Known => {}
                ConfigOffer::Unreadable(error) => {
                    tracing::error!(event = event::CONFIG_UNREADABLE, %error);
                }
            }
        }
    }

    /// Fetches the configuration from a peer, if some VM has a newer version. Returns whether this
    /// VM then has the newest version that it knows of.
    async fn fetch_config(&self) -> bool {
        let (is_outdated, at_least) = {
            let config = &self.tables.lock().config;
            (config.is_outdated(), config.highest_version())
        };
        if is_outdated {
            let copy = self.fetch_copy(CopyName::Configuration { at_least }).await;
            let Some(value) = copy else { return false };
            // The peer would also report reads of the store. Otherwise, VMs that start together
            // would all follow the configuration until one of them has reported its first read.
            self.tables.lock().peer_read_at.get_or_insert(self.state.clock.now());
            let row = TableRow { key: K::CONFIG_KEY.into(), version: 0, value: Some(value) };
            self.apply_config(&RowPage { rows: vec![row], ..RowPage::default() });
        }
        !self.tables.lock().config.is_outdated()
    }
}
