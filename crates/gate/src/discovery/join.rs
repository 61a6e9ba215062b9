//! Finds the other VMs: through those that the settings name, else through the store, and later
//! through what peers know.
//!
//! Depends on [`super::core`], and on [`super::datagrams`] to announce this VM.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use base::prelude::*;
use directory::prelude::*;
use futures_util::future::join_all;
use member::prelude::*;
use peer::prelude::*;
use rand::seq::SliceRandom;
use store::prelude::*;

use super::core::{DiscoveryCore, log_read};
use crate::event;
use crate::mechanism::Mechanism;

/// The table of the store in which VMs write rows about themselves, by their names.
const VM_TABLE: &str = "agateroad_vms";
/// The longest time for which a VM that starts asks the VMs of its settings, before it looks for
/// others in the store. VMs that start together may take a few hundred milliseconds to listen, and small
/// ones that many ask need as long to answer.
const SEED_LIMIT: ClockSpan = ClockSpan::from_millis(1_000);
/// The most VMs that a VM which starts asks for suspects after the first. When all VMs start together,
/// none of them knows any.
const SUSPECT_REQUESTS: usize = 4;
/// The mean pause between two rounds of these requests.
const SEED_PAUSE: ClockSpan = ClockSpan::from_millis(60);
/// The most VMs with rows in the store that a VM which starts asks for the others. Some of them may be
/// gone.
const LISTED_REQUESTS: usize = 4;
/// The mean pause after a failed call to the store.
const FAILURE_PAUSE: ClockSpan = ClockSpan::from_millis(700);
/// The mean time between two checks whether this VM must be found through the store. VMs that start
/// together know one another by then, so that few of them come first in their data centre.
const ANCHOR_PERIOD: ClockSpan = ClockSpan::from_secs(5);

impl<K: EntryCodec + RowCodec> DiscoveryCore<K> {
    /// Finds the other VMs at the start. Later, writes the row of this VM if it is one of those
    /// through which others are found, and announces a changed incarnation.
    pub(super) async fn join_fleet(self: Arc<Self>) {
        if self.join_through_seeds().await {
            self.joined.send_replace(true);
            self.learn_suspects().await;
            self.exchange.membership.lock().schedule_presence(self.state.clock.now());
        } else {
            self.announce_until_done().await;
        }
        loop {
            let pause = ANCHOR_PERIOD.scaled(0.5 + rand::random::<f64>());
            let is_changed = tokio::select! {
                () = self.exchange.announce_wanted.notified() => true,
                () = tokio::time::sleep(pause.to_duration()) => false,
            };
            let is_written = self.row_written.load(Ordering::Relaxed);
            if is_changed && !is_written {
                self.broadcast_presence().await;
            }
            let is_anchor = self.exchange.membership.lock().is_anchor();
            if is_changed && is_written || is_anchor && !is_written {
                self.announce_until_done().await;
            }
        }
    }

    /// Asks the VMs of the settings for those that they know. Returns whether one of them answered.
    async fn join_through_seeds(&self) -> bool {
        let until = self.state.clock.now() + SEED_LIMIT;
        loop {
            let seeds = self.exchange.seeds();
            for seed in &seeds {
                if self.ask_for_members(*seed).await {
                    return true;
                }
            }
            if seeds.is_empty() || self.state.clock.now() >= until {
                return false;
            }
            let pause = SEED_PAUSE.scaled(0.5 + rand::random::<f64>());
            tokio::time::sleep(pause.to_duration()).await;
        }
    }

    /// Asks peers for the VMs that they know, whenever that is due.
    pub(super) async fn query_members(self: Arc<Self>) {
        loop {
            self.query_wanted.notified().await;
            let queried = self.queried.lock().take();
            if let Some(address) = queried {
                self.ask_for_members(address).await;
            }
        }
    }

    /// Asks a VM for those that it knows, and lets it know of this one. Returns whether it answered.
    async fn ask_for_members(&self, address: SocketAddr) -> bool {
        let Some(copy) = self.fetch_copy_from(address, CopyName::Members).await else {
            return false;
        };
        let copy = match serde_json::from_slice::<MembersCopy>(&copy) {
            Ok(copy) => copy,
            Err(error) => {
                tracing::debug!(event = event::EXCHANGE_FAILED, %error);
                return false;
            }
        };
        let now = self.state.clock.now();
        self.exchange.membership.lock().merge_members(&copy.members, now);
        self.observe_config_version(copy.config_version);
        self.record_drains(&copy.drains, "peer");
        self.compare_suspects(address, &copy).await;
        if let Some(sender) = copy.members.first() {
            let address = sender.entry.exchange_address;
            self.exchange.send(self.exchange.hello(false, true), &[address]).await;
        }
        true
    }

    /// Fetches the suspects of a peer if this VM knows others.
    async fn compare_suspects(&self, address: SocketAddr, copy: &MembersCopy) {
        if !self.state.options.tuning.uses(Mechanism::PeerSuspects) {
            return;
        }
        if copy.suspect_digest != self.state.tables.suspects.digest(self.state.clock.now()) {
            self.fetch_suspects(address).await;
        } else if copy.is_settled {
            self.suspects_learned.store(true, Ordering::Relaxed);
        }
    }

    /// Fetches the suspects that a VM knows.
    async fn fetch_suspects(&self, address: SocketAddr) {
        let Some(copy) = self.fetch_copy_from(address, CopyName::Suspects).await else { return };
        let copy = match serde_json::from_slice::<SuspectsCopy>(&copy) {
            Ok(copy) => copy,
            Err(error) => {
                tracing::debug!(event = event::EXCHANGE_FAILED, %error);
                return;
            }
        };
        let now = self.state.clock.now();
        for notice in &copy.notices {
            self.state.tables.suspects.merge(notice, now);
        }
        if copy.is_settled {
            self.suspects_learned.store(true, Ordering::Relaxed);
        }
    }

    /// Asks further VMs for their suspects until one is settled. The one that told this VM of the
    /// others may have started at the same time. The configuration does not wait for this: of VMs that
    /// all start together none knows any suspects, and they would serve calls later.
    async fn learn_suspects(&self) {
        if !self.state.options.tuning.uses(Mechanism::PeerSuspects) {
            return;
        }
        let mut addresses = self.exchange.membership.lock().peers_to_ask(AskReach::Any);
        addresses.extend(self.exchange.seeds());
        for (index, address) in addresses.iter().enumerate().take(SUSPECT_REQUESTS) {
            if self.suspects_learned.load(Ordering::Relaxed) {
                return;
            }
            if !addresses[..index].contains(address) {
                self.fetch_suspects(*address).await;
            }
        }
    }

    /// Announces this VM in the store, repeatedly until that succeeds. After the first try, tasks
    /// that wait for peers go on.
    async fn announce_until_done(&self) {
        let is_start = !*self.joined.borrow();
        let listed = loop {
            match self.announce_in_store().await {
                Ok(listed) => break listed,
                Err(error) => tracing::debug!(event = event::STORE_READ_FAILED, %error),
            }
            self.joined.send_replace(true);
            let pause = FAILURE_PAUSE.scaled(0.5 + rand::random::<f64>());
            tokio::time::sleep(pause.to_duration()).await;
        };
        self.row_written.store(true, Ordering::Relaxed);
        if is_start {
            self.ask_listed_vms(listed).await;
        }
        self.joined.send_replace(true);
        self.learn_suspects().await;
    }

    /// Writes this VM's row, reads those of the other VMs and tells them that this one is alive.
    /// The write comes first, so that of two VMs that start at the same time at least one reads the
    /// row of the other. Returns the control addresses of the others.
    async fn announce_in_store(&self) -> Result<Vec<SocketAddr>, StoreError> {
        let own = self.exchange.membership.lock().own().clone();
        // Names and addresses can always be serialised.
        let value = serde_json::to_vec(&own).unwrap_or_default();
        self.rows.write_row(VM_TABLE, &own.vm.name, &value).await?;
        let page = self.rows.read_table(VM_TABLE).await?;
        log_read(VM_TABLE, &page);
        let mut entries = Vec::new();
        for row in &page.rows {
            let Some(value) = &row.value else { continue };
            match decode_vm(&row.key, value) {
                Ok(entry) => entries.push(entry),
                Err(error) => {
                    tracing::warn!(event = event::VM_UNREADABLE, vm = %row.key, %error);
                }
            }
        }
        let others = entries.iter().filter(|entry| entry.vm.name != own.vm.name);
        let addresses = others.map(|entry| entry.control_address).collect();
        self.exchange.membership.lock().add_rows(entries, self.state.clock.now());
        self.broadcast_presence().await;
        Ok(addresses)
    }

    /// Asks some of the VMs that have rows for those that they know. Without an answer, this VM would
    /// read the store as if it were the only one, and use upstreams that have told others that they
    /// leave.
    async fn ask_listed_vms(&self, mut addresses: Vec<SocketAddr>) {
        addresses.shuffle(&mut rand::rng());
        addresses.truncate(LISTED_REQUESTS);
        join_all(addresses.into_iter().map(|address| self.ask_for_members(address))).await;
    }
}

/// Decodes the row of the VM `key`. A row with the name of another VM would take its place.
fn decode_vm(key: &SharedName, value: &[u8]) -> Result<VmEntry, EntryError> {
    let entry: VmEntry = serde_json::from_slice(value).map_err(EntryError::new)?;
    if entry.vm.name != *key {
        return Err(EntryError::new("the row has the name of another VM"));
    }
    Ok(entry)
}
