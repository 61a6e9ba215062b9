//! Exchanges datagrams with the other VMs.
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
use crate::quota;

/// The time between two checks for messages that are due.
const SEND_PERIOD: ClockSpan = ClockSpan::from_millis(100);
/// The receive buffer, larger than any datagram of a peer.
const BUFFER_BYTES: usize = 2048;

impl<K: EntryCodec + RowCodec> DiscoveryCore<K> {
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
            self.send_due_requests(now).await;
            let leaving = self.state.shutting_down.load(Ordering::Relaxed);
            if leaving && !was_leaving {
                self.exchange.membership.lock().begin_shutdown();
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
            quota::tick(&self.state, &self.exchange, now);
            self.repeat_evacuations(now).await;
            let suspects = self.state.tables.take_suspect_notices(now);
            if !suspects.is_empty() {
                let message = PeerMessage::Suspects(SuspectMessage { notices: suspects });
                self.exchange.publish(message).await;
            }
        }
    }

    /// Broadcasts that this VM is alive and requests the VMs that a peer knows, if that is due.
    async fn send_due_requests(&self, now: ClockTime) {
        let (is_presence_due, query) = {
            let mut membership = self.exchange.membership.lock();
            (membership.take_presence(now), membership.due_query(now))
        };
        if is_presence_due {
            self.broadcast_presence().await;
        }
        if query.is_some() {
            *self.queried.lock() = query;
            self.query_wanted.notify_one();
        }
    }

    /// Broadcasts to all VMs that this one is alive or shutting down. The periodic hellos reach VMs
    /// that are not its neighbours only after several seconds.
    pub(super) async fn broadcast_presence(&self) {
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
            PeerMessage::Evacuations(message) => {
                self.apply_evacuations(&message.marks, "peer");
            }
            PeerMessage::CreditRequest(request) => {
                quota::answer(&self.state, &self.exchange, request, source).await;
            }
            PeerMessage::CreditAnswer(answer) => self.state.quotas.receive_answer(*answer),
            PeerMessage::Drains(message) => self.record_drains(&message.marks, "peer"),
            PeerMessage::Config(message) => self.receive_config(sender, message.version),
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
