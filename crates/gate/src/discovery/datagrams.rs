//! Announces this VM to the others, and exchanges datagrams with them.
//!
//! Depends on [`super::core`], and on [`super::upstreams`] for the rows that a peer has read.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use base::prelude::*;
use directory::prelude::*;
use limit::prelude::VmCounts;
use member::prelude::*;
use peer::prelude::*;
use store::prelude::*;
use world::prelude::VmIdentity;

use super::core::DiscoveryCore;
use crate::event;
use crate::mechanism::Mechanism;

/// The table of the store in which each VM writes a row about itself, by its name.
const VM_TABLE: &str = "agateroad_vms";
/// The time between two checks for messages that are due.
const SEND_PERIOD: ClockSpan = ClockSpan::from_millis(100);
/// The mean pause after a failed announcement.
const ANNOUNCE_PAUSE: ClockSpan = ClockSpan::from_millis(700);
/// The receive buffer, larger than any datagram of a peer.
const BUFFER_BYTES: usize = 2048;

impl<K: EntryCodec + RowCodec> DiscoveryCore<K> {
    /// Writes this VM's row and reads those of the other VMs, now and whenever its incarnation
    /// changes.
    pub(super) async fn announce(self: Arc<Self>) {
        loop {
            while let Err(error) = self.announce_once().await {
                tracing::debug!(event = event::STORE_READ_FAILED, %error);
                self.announced.send_replace(true);
                let pause = ANNOUNCE_PAUSE.scaled(0.5 + rand::random::<f64>());
                tokio::time::sleep(pause.to_duration()).await;
            }
            self.announced.send_replace(true);
            self.exchange.announce_wanted.notified().await;
        }
    }

    /// Writes this VM's row, reads those of the other VMs and tells them that this one is alive.
    /// The write comes first, so that of two VMs that start at the same time at least one reads the
    /// row of the other.
    async fn announce_once(&self) -> Result<(), StoreError> {
        let own = self.exchange.membership.lock().own().clone();
        // Names and addresses can always be serialised.
        let value = serde_json::to_vec(&own).unwrap_or_default();
        self.rows.write_row(VM_TABLE, &own.vm.name, &value).await?;
        let page = self.rows.read_table(VM_TABLE).await?;
        let now = self.state.clock.now();
        for row in &page.rows {
            let Some(value) = &row.value else { continue };
            match decode_vm(&row.key, value) {
                Ok(entry) => {
                    self.exchange.membership.lock().add_entry(&entry, now);
                }
                Err(error) => {
                    tracing::warn!(event = event::VM_UNREADABLE, vm = %row.key, %error);
                }
            }
        }
        self.broadcast_presence().await;
        Ok(())
    }

    /// Records the upstreams that reported to this VM that they leave, and tells the other VMs.
    pub(super) async fn send_drains(self: Arc<Self>) {
        loop {
            let marks = self.state.drains.take().await;
            self.record_drains(&marks, "answer");
            self.exchange.publish(PeerMessage::Drains(DrainMessage { marks })).await;
        }
    }

    /// Sends the messages that are due to peers, and updates the number of VMs among which budgets
    /// are divided.
    pub(super) async fn send_due_messages(self: Arc<Self>) {
        let mut detector = PauseDetector::new(SEND_PERIOD);
        let watched = self.state.options.tuning.uses(Mechanism::Pause);
        let mut was_leaving = false;
        loop {
            tokio::time::sleep(SEND_PERIOD.to_duration()).await;
            let now = self.state.clock.now();
            if let Some(pause) = detector.observe(now, BootClock.elapsed()).filter(|_| watched) {
                tracing::warn!(event = event::PAUSE_DETECTED, %pause, "the process was paused");
                self.refresh();
                self.broadcast_presence().await;
            }
            let (due, losses, counts) = {
                let mut membership = self.exchange.membership.lock();
                (membership.due_hellos(now), membership.take_losses(now), membership.counts())
            };
            let leaving = self.state.shutting_down.load(Ordering::Relaxed);
            if leaving && !was_leaving {
                self.broadcast_presence().await;
            }
            was_leaving = leaving;
            self.exchange.send(self.exchange.hello(leaving, true), &due).await;
            if !losses.is_empty() {
                self.exchange.publish(PeerMessage::Losses(LossMessage { vms: losses })).await;
            }
            if counts.known > 1 && counts.reachable == 1 {
                self.state.peers.failed("no datagrams arrive from any peer", now);
            } else {
                self.state.peers.answered(now);
            }
            let counts = VmCounts { listed: counts.known, reported: counts.reachable };
            self.state.set_vm_counts(counts, now);
            let suspects = self.state.tables.take_suspect_notices(now);
            if !suspects.is_empty() {
                let message = PeerMessage::Suspects(SuspectMessage { notices: suspects });
                self.exchange.publish(message).await;
            }
        }
    }

    /// Broadcasts to all VMs that this one is alive or shutting down. The periodic hellos reach VMs
    /// that are not its neighbours only after several seconds.
    async fn broadcast_presence(&self) {
        let leaving = self.state.shutting_down.load(Ordering::Relaxed);
        self.exchange.publish(self.exchange.hello(leaving, false)).await;
    }

    /// Answers a hello whose incarnation is lower than the one that this VM knows of its sender.
    async fn send_known_incarnation(&self, message: &PeerMessage, source: SocketAddr) {
        let PeerMessage::Hello(hello) = message else { return };
        let known = self.exchange.membership.lock().newer_incarnation(&hello.entry.vm);
        if let Some(known) = known.filter(|_| hello.answer_wanted) {
            self.exchange.send(PeerMessage::Outdated(known), &[source]).await;
        }
    }

    /// Receives and handles the datagrams of peers.
    pub(super) async fn receive(self: Arc<Self>) {
        let mut buffer = [0; BUFFER_BYTES];
        loop {
            // An error here concerns a datagram that this VM sent earlier.
            let received = self.exchange.socket.recv_from(&mut buffer).await;
            let Ok((length, source)) = received else { continue };
            match self.exchange.codec.decode(&buffer[..length]) {
                Ok(envelope) => self.handle(envelope, source).await,
                Err(error) => tracing::warn!(event = event::DATAGRAM_REFUSED, %source, %error),
            }
        }
    }

    /// Updates the membership with the sender of a message, applies the message, and forwards it if
    /// it is a broadcast that was not received before.
    async fn handle(&self, envelope: PeerEnvelope, source: SocketAddr) {
        let PeerEnvelope { sender, incarnation, origin, message } = &envelope;
        let incarnation = *incarnation;
        let now = self.state.clock.now();
        if let PeerMessage::Hello(hello) = message {
            self.exchange.membership.lock().add_entry(&hello.entry, now);
        }
        let status = self.exchange.membership.lock().observe_sender(sender, incarnation, now);
        match status {
            SenderStatus::Outdated => {
                self.send_known_incarnation(message, source).await;
                return;
            }
            SenderStatus::Unknown => {
                self.exchange.send(self.exchange.hello(false, true), &[source]).await;
            }
            SenderStatus::Known => {}
        }
        let next = match origin {
            Some(origin) => self.exchange.membership.lock().receive_broadcast(origin, sender, now),
            None => Some(Vec::new()),
        };
        let Some(next) = next else { return };
        match message {
            PeerMessage::Hello(hello) => {
                self.observe_config_version(hello.config_version);
                if hello.leaving {
                    let VmIdentity { name, incarnation, .. } = &hello.entry.vm;
                    self.exchange.membership.lock().record_shutdown(name, *incarnation);
                }
                if hello.answer_wanted {
                    let leaving = self.state.shutting_down.load(Ordering::Relaxed);
                    self.exchange.send(self.exchange.hello(leaving, false), &[source]).await;
                }
            }
            PeerMessage::Directory(message) => {
                let age = ClockSpan::from_millis(u64::from(message.age_ms));
                let complete = !message.rows_omitted;
                let (rows, position) = (message.rows.clone(), message.position);
                let page = RowPage { rows, position, ..RowPage::default() };
                let reader = origin.as_ref().map_or(sender, |origin| &origin.vm);
                self.exchange.membership.lock().record_peer_read(reader, page.position, now);
                self.apply_peer_rows(message.from, &page, complete, age);
                self.observe_config_version(message.config_version);
            }
            PeerMessage::Load(_) => {}
            PeerMessage::Drains(message) => self.record_drains(&message.marks, "peer"),
            PeerMessage::Config(message) => self.observe_config_version(message.version),
            PeerMessage::Suspects(message) => {
                for notice in &message.notices {
                    self.state.tables.suspects.merge(notice, now);
                }
            }
            PeerMessage::Outdated(known) => {
                let raised = self.exchange.membership.lock().raise_incarnation(*known, now);
                if raised {
                    self.exchange.announce_wanted.notify_one();
                }
            }
            PeerMessage::Losses(message) => {
                for loss in &message.vms {
                    let is_own = self.exchange.membership.lock().record_loss_report(loss, now);
                    if is_own {
                        self.broadcast_presence().await;
                    }
                }
            }
        }
        self.exchange.forward(envelope, &next, now).await;
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
