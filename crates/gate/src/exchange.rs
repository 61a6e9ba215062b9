//! What this VM tells its peers in datagrams, and hears from them.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use base::prelude::*;
use directory::prelude::*;
use limit::prelude::VmCounts;
use member::prelude::*;
use peer::prelude::*;
use store::prelude::*;
use tokio::net::UdpSocket;

use crate::discovery::{DiscoveryCore, READ_HOLD};
use crate::event;

/// The table in which VMs announce themselves, by name.
const VM_TABLE: &str = "agateroad_vms";
/// The time between two looks at what peers are to be told.
const TICK: ClockSpan = ClockSpan::from_millis(100);
/// The pause after a failed call of the announcement, before jitter.
const ANNOUNCE_PAUSE: ClockSpan = ClockSpan::from_millis(700);
/// Longer than any datagram of a peer.
const BUFFER_BYTES: usize = 2048;

/// How this VM speaks to its peers.
pub struct ExchangeOptions {
    /// This VM and its addresses.
    pub own: VmEntry,
    /// The secrets of the peers. The first one signs.
    pub secrets: Vec<SharedName>,
}

/// The exchange of datagrams with other VMs.
#[derive(Debug)]
pub(crate) struct VmExchange {
    clock: RealClock,
    socket: UdpSocket,
    codec: DatagramCodec,
    mesh: RankedMutex<MeshPlan>,
    /// The version of the configuration in force.
    config_version: AtomicU64,
}

impl VmExchange {
    /// Binds the socket of the exchange.
    pub(crate) async fn bind(options: ExchangeOptions, clock: RealClock) -> io::Result<Self> {
        let ExchangeOptions { own, secrets } = options;
        let socket = UdpSocket::bind(own.exchange_address).await?;
        let own = VmEntry { exchange_address: socket.local_addr()?, ..own };
        let tuning = MeshTuning { read: ReadTuning::holding(READ_HOLD), ..MeshTuning::default() };
        let mesh = MeshPlan::new(own, tuning, rand::random());
        Ok(Self {
            clock,
            socket,
            codec: DatagramCodec::new(secrets.iter().map(SharedName::as_str)),
            mesh: RankedMutex::new(LockRank::PeerTable, mesh),
            config_version: AtomicU64::new(0),
        })
    }

    /// Records the version of the configuration that peers are told of.
    pub(crate) fn set_config(&self, version: u64) {
        self.config_version.store(version, Ordering::Relaxed);
    }

    /// Returns whether this VM reads the upstreams now.
    pub(crate) fn read_due(&self) -> bool {
        self.mesh.lock().read_due(self.clock.now())
    }

    /// Returns when this VM reads the upstreams unless it hears of a newer read.
    pub(crate) fn next_read(&self) -> ClockTime {
        self.mesh.lock().next_read()
    }

    /// Records that an own read failed.
    pub(crate) fn note_failed_read(&self) {
        self.mesh.lock().read_failed(self.clock.now());
    }

    /// Records a read by this VM or a peer.
    pub(crate) fn note_read(&self, position: u64, made_at: ClockTime) {
        self.mesh.lock().note_read(position, made_at, self.clock.now());
    }

    /// Returns whether a peer that comes before this VM in the order of names reads for all, too.
    pub(crate) fn has_earlier_reader(&self) -> bool {
        self.mesh.lock().has_earlier_reader(self.clock.now())
    }

    /// Returns whether no peer has told of changes up to `position` yet.
    pub(crate) fn is_news(&self, position: u64) -> bool {
        self.mesh.lock().is_news(position)
    }

    /// Tells all peers what a read of the upstreams brought.
    pub(crate) async fn send_directory(&self, from: u64, page: &RowPage, made_at: ClockTime) {
        let age = self.clock.now().since(made_at).as_millis();
        let message = DirectoryMessage {
            from,
            position: page.position,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            rows: page.rows.clone(),
            rows_omitted: false,
            config_version: self.config_version.load(Ordering::Relaxed),
        };
        self.tell_all(PeerMessage::Directory(message)).await;
    }

    async fn tell_all(&self, message: PeerMessage) {
        let audience = self.mesh.lock().audience(MeshScope::All, self.clock.now());
        self.send(message, &audience).await;
    }

    async fn send(&self, message: PeerMessage, addresses: &[SocketAddr]) {
        if addresses.is_empty() {
            return;
        }
        let envelope = {
            let mesh = self.mesh.lock();
            let vm = &mesh.own().vm;
            PeerEnvelope { sender: vm.name.clone(), incarnation: vm.incarnation, message }
        };
        for datagram in self.codec.encode(&envelope) {
            for address in addresses {
                // A datagram that cannot be sent counts as lost; later ones make up for it.
                let _ = self.socket.send_to(&datagram, address).await;
            }
        }
    }

    fn hello(&self, leaving: bool, answer_wanted: bool) -> PeerMessage {
        let entry = self.mesh.lock().own().clone();
        let config_version = self.config_version.load(Ordering::Relaxed);
        PeerMessage::Hello(HelloMessage { entry, leaving, answer_wanted, config_version })
    }

    /// Returns the control listeners of the VMs that were heard of lately.
    pub(crate) fn control_addresses(&self) -> Vec<SocketAddr> {
        let mesh = self.mesh.lock();
        mesh.present(self.clock.now()).map(|entry| entry.control_address).collect()
    }
}

impl<K: EntryCodec + RowCodec> DiscoveryCore<K> {
    /// Writes this VM's row and reads those of the others.
    pub(crate) async fn announce(self: Arc<Self>) {
        while let Err(error) = self.announce_once().await {
            tracing::debug!(event = event::STORE_UNREAD, %error);
            let pause = ANNOUNCE_PAUSE.scaled(0.5 + rand::random::<f64>());
            tokio::time::sleep(pause.to_duration()).await;
        }
    }

    /// The write comes first, so that of two VMs that start at once at least one reads the other.
    async fn announce_once(&self) -> Result<(), StoreError> {
        let own = self.exchange.mesh.lock().own().clone();
        // The entry holds names and addresses, which always have a JSON form.
        let value = serde_json::to_vec(&own).unwrap_or_default();
        self.rows.write_row(VM_TABLE, &own.vm.name, &value).await?;
        let page = self.rows.read_table(VM_TABLE).await?;
        let now = self.state.clock.now();
        for row in &page.rows {
            let Some(value) = &row.value else { continue };
            match serde_json::from_slice::<VmEntry>(value) {
                Ok(entry) => {
                    self.exchange.mesh.lock().learn(&entry, now);
                }
                Err(error) => {
                    tracing::warn!(event = event::VM_UNREADABLE, vm = %row.key, %error);
                }
            }
        }
        Ok(())
    }

    /// Sends what is due to peers, and keeps the budgets of all VMs divided by their number.
    pub(crate) async fn greet(self: Arc<Self>) {
        let mut detector = PauseDetector::new(TICK);
        loop {
            tokio::time::sleep(TICK.to_duration()).await;
            let now = self.state.clock.now();
            if let Some(pause) = detector.observe(now, BootClock.elapsed()) {
                tracing::warn!(event = event::PAUSE_SEEN, %pause, "the process stood still");
                self.refresh();
            }
            let (due, counts) = {
                let mut mesh = self.exchange.mesh.lock();
                (mesh.due_hellos(now), mesh.counts(now))
            };
            let leaving = self.state.draining.load(Ordering::Relaxed);
            self.exchange.send(self.exchange.hello(leaving, true), &due).await;
            let counts = VmCounts { listed: counts.listed, reported: counts.heard };
            self.state.tables.probes.set_counts(counts, now);
            self.state.tables.retries.set_counts(counts, now);
            let suspects = self.state.tables.take_suspect_notices(now);
            if !suspects.is_empty() {
                let message = PeerMessage::Suspects(SuspectMessage { notices: suspects });
                self.exchange.tell_all(message).await;
            }
        }
    }

    /// Takes in what peers tell.
    pub(crate) async fn receive(self: Arc<Self>) {
        let mut buffer = [0; BUFFER_BYTES];
        loop {
            // An error belongs to a datagram that was sent before.
            let received = self.exchange.socket.recv_from(&mut buffer).await;
            let Ok((length, source)) = received else { continue };
            match self.exchange.codec.decode(&buffer[..length]) {
                Ok(envelope) => self.absorb(envelope, source).await,
                Err(error) => tracing::warn!(event = event::DATAGRAM_REFUSED, %source, %error),
            }
        }
    }

    async fn absorb(&self, envelope: PeerEnvelope, source: SocketAddr) {
        let PeerEnvelope { sender, incarnation, message } = envelope;
        let now = self.state.clock.now();
        if let PeerMessage::Hello(hello) = &message {
            self.exchange.mesh.lock().learn(&hello.entry, now);
        }
        let heard = self.exchange.mesh.lock().hear(&sender, incarnation, now);
        match heard {
            HeardFrom::Outdated => return,
            HeardFrom::Unknown => {
                self.exchange.send(self.exchange.hello(false, true), &[source]).await;
            }
            HeardFrom::Known => {}
        }
        match message {
            PeerMessage::Hello(hello) => {
                self.hear_config(hello.config_version);
                if hello.leaving {
                    self.exchange.mesh.lock().leave(&sender, incarnation);
                }
                if hello.answer_wanted {
                    let leaving = self.state.draining.load(Ordering::Relaxed);
                    self.exchange.send(self.exchange.hello(leaving, false), &[source]).await;
                }
            }
            PeerMessage::Directory(message) => {
                let age = ClockSpan::from_millis(u64::from(message.age_ms));
                let complete = !message.rows_omitted;
                let page =
                    RowPage { rows: message.rows, position: message.position, truncated: false };
                self.exchange.mesh.lock().hear_reader(&sender, page.position, now);
                self.take_peer_rows(message.from, &page, complete, age);
                self.hear_config(message.config_version);
            }
            PeerMessage::Load(_) => {}
            PeerMessage::Suspects(message) => {
                for notice in &message.notices {
                    self.state.tables.suspects.merge(notice, now);
                }
            }
        }
    }
}
