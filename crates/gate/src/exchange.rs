//! The UDP exchange with peers: the socket, the codec of its datagrams and the membership table,
//! which also decides which VM is the designated reader of the store (the one VM that reads the
//! upstreams and sends the rows to its peers).
//!
//! Depends on no other module of this crate; the tasks of [`crate::discovery`] use it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwap;
use base::prelude::*;
use directory::prelude::*;
use member::prelude::*;
use peer::prelude::*;
use rand::seq::SliceRandom;
use store::prelude::*;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use world::prelude::VmIdentity;

/// The longest time of a long poll in which the designated reader waits for changes of the
/// upstreams. If that VM fails, another one reads 0.8 to 1.2 s after its last message, which is
/// well below the 2 s after which a draining upstream must get no more calls.
pub(crate) const READ_POLL_LIMIT: ClockSpan = ClockSpan::from_millis(600);

/// The address and secrets for datagrams between VMs.
pub struct ExchangeOptions {
    /// This VM and its addresses.
    pub own: VmEntry,
    /// The peer secrets. Datagrams are signed with the first one.
    pub secrets: Vec<SharedName>,
    /// The control addresses of VMs that are asked for the others at the start. They may be outdated
    /// or down.
    pub seeds: Vec<SocketAddr>,
}

/// The exchange of datagrams with other VMs.
#[derive(Debug)]
pub(crate) struct VmExchange {
    clock: RealClock,
    pub(crate) socket: UdpSocket,
    pub(crate) codec: DatagramCodec,
    pub(crate) membership: Arc<RankedMutex<MembershipTable>>,
    /// Wakes the task that announces this VM, because its incarnation changed.
    pub(crate) announce_wanted: Notify,
    /// The control addresses of VMs that are asked for the others at the start.
    seeds: ArcSwap<Vec<SocketAddr>>,
    /// The version of the configuration that this VM has applied.
    config_version: AtomicU64,
}

impl VmExchange {
    /// Binds the UDP socket.
    pub(crate) async fn bind(options: ExchangeOptions, clock: RealClock) -> io::Result<Self> {
        let ExchangeOptions { own, secrets, seeds } = options;
        let socket = UdpSocket::bind(own.exchange_address).await?;
        let own = VmEntry { exchange_address: socket.local_addr()?, ..own };
        let tuning = MembershipTuning {
            read: ReadTuning::for_long_poll(READ_POLL_LIMIT),
            ..MembershipTuning::default()
        };
        let membership = MembershipTable::new(own, tuning, rand::random());
        Ok(Self {
            clock,
            socket,
            codec: DatagramCodec::new(secrets.iter().map(SharedName::as_str)),
            membership: Arc::new(RankedMutex::new(LockRank::PeerTable, membership)),
            announce_wanted: Notify::new(),
            seeds: ArcSwap::from_pointee(seeds),
            config_version: AtomicU64::new(0),
        })
    }

    /// Changes the peer secrets.
    pub(crate) fn set_secrets(&self, secrets: &[SharedName]) {
        self.codec.set_secrets(secrets.iter().map(SharedName::as_str));
    }

    /// Changes the VMs that are asked for the others at the start.
    pub(crate) fn set_seeds(&self, seeds: &[SocketAddr]) {
        self.seeds.store(Arc::new(seeds.to_vec()));
    }

    /// Returns the control addresses of the VMs to ask for the others, in random order.
    pub(crate) fn seeds(&self) -> Vec<SocketAddr> {
        let own = self.membership.lock().own().control_address;
        let seeds = self.seeds.load();
        let mut seeds: Vec<_> = seeds.iter().copied().filter(|seed| *seed != own).collect();
        seeds.shuffle(&mut rand::rng());
        seeds
    }

    /// Sets the version of the configuration that is reported to peers.
    pub(crate) fn set_config_version(&self, version: u64) {
        self.config_version.store(version, Ordering::Relaxed);
    }

    /// Returns whether a read of the upstreams by this VM is due, and if so records it as started.
    pub(crate) fn start_due_read(&self) -> bool {
        self.membership.lock().start_due_read(self.clock.now())
    }

    /// Returns when the next read of the upstreams by this VM is due, unless a peer reports a newer
    /// read.
    pub(crate) fn next_read(&self) -> ClockTime {
        self.membership.lock().next_read()
    }

    /// Records that a read by this VM failed.
    pub(crate) fn record_read_failure(&self) {
        self.membership.lock().record_read_failure(self.clock.now());
    }

    /// Records a read by this VM or a peer.
    pub(crate) fn record_read(&self, position: u64, made_at: ClockTime) {
        self.membership.lock().record_read(position, made_at);
    }

    /// Returns whether a peer that precedes this VM in the order of names acts as designated reader
    /// as well.
    pub(crate) fn has_preferred_reader(&self) -> bool {
        self.membership.lock().has_preferred_reader(self.clock.now())
    }

    /// Returns whether no peer has reported changes up to `position` yet.
    pub(crate) fn is_unreported(&self, position: u64) -> bool {
        self.membership.lock().is_unreported(position)
    }

    /// Sends all peers the rows that a read of the upstreams returned.
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
        self.publish(PeerMessage::Directory(message)).await;
    }

    /// Sends a broadcast to the neighbours, which forward it to all VMs.
    pub(crate) async fn publish(&self, message: PeerMessage) {
        let envelope = PeerEnvelope::broadcast(&self.own(), message);
        for part in self.codec.parts(&envelope).iter() {
            let (origin, addresses) = self.membership.lock().publish(self.clock.now());
            self.send_envelope(&PeerEnvelope { origin: Some(origin), ..part.clone() }, &addresses)
                .await;
        }
    }

    /// Sends a message to the neighbours only.
    pub(crate) async fn send_to_neighbours(&self, message: PeerMessage) {
        let addresses = self.membership.lock().neighbours(self.clock.now());
        self.send(message, &addresses).await;
    }

    /// Forwards a broadcast that arrived at `arrived`.
    pub(crate) async fn forward(
        &self,
        envelope: PeerEnvelope,
        addresses: &[SocketAddr],
        arrived: ClockTime,
    ) {
        let delay = self.clock.now().since(arrived);
        self.send_envelope(&envelope.forwarded(&self.own(), delay), addresses).await;
    }

    /// Sends a message to the given addresses only.
    pub(crate) async fn send(&self, message: PeerMessage, addresses: &[SocketAddr]) {
        self.send_envelope(&PeerEnvelope::direct(&self.own(), message), addresses).await;
    }

    async fn send_envelope(&self, envelope: &PeerEnvelope, addresses: &[SocketAddr]) {
        if addresses.is_empty() {
            return;
        }
        for datagram in self.codec.encode(envelope) {
            for address in addresses {
                // A datagram that cannot be sent counts as lost; later ones carry the same state.
                let _ = self.socket.send_to(&datagram, address).await;
            }
        }
    }

    fn own(&self) -> VmIdentity {
        self.membership.lock().own().vm.clone()
    }

    /// Returns a hello of this VM, which also reports the version of its configuration.
    pub(crate) fn hello(&self, leaving: bool, answer_wanted: bool) -> PeerMessage {
        let entry = self.membership.lock().own().clone();
        let config_version = self.config_version.load(Ordering::Relaxed);
        PeerMessage::Hello(HelloMessage { entry, leaving, answer_wanted, config_version })
    }
}
