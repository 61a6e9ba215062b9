//! What this VM tells peers and operators, and asks of peers.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};

use arc_swap::{ArcSwap, ArcSwapOption};
use base::prelude::*;
use bytes::Bytes;
use config::prelude::*;
use futures_util::future::join_all;
use peer::prelude::*;
use platform::prelude::*;
use report::prelude::*;
use suspect::prelude::*;

use crate::access::GateFollower;
use crate::event;
use crate::state::GateState;

/// The time between exchanges with one random peer.
const EXCHANGE_PERIOD: ClockSpan = ClockSpan::from_millis(500);
/// Upstream notices in one message. With about 130 bytes each and two messages sent for each
/// period, a VM sends less than 5 KB/s.
const NOTICE_LIMIT: usize = 8;

/// Suspects in one regular message. Changes are sent to every peer at once besides.
const SUSPECT_LIMIT: usize = 2;
/// The time between looks for changes of suspects. Two crashes of one request on different VMs are
/// then known everywhere before most callers repeat it.
const SUSPECT_PERIOD: ClockSpan = ClockSpan::from_millis(50);

/// Asks the owners of suspects for isolated runs.
#[derive(Clone, Debug)]
pub struct GrantClient {
    /// The addresses of the owners.
    pub link: Arc<PeerLink>,
    /// Calls them.
    pub client: PeerClient,
}

impl GrantClient {
    /// Asks the owner of a suspect, and returns whether this VM may perform an isolated run.
    pub async fn ask(&self, state: &GateState, fingerprint: u64) -> bool {
        let suspects = &state.tables.suspects;
        let asked = state.clock.now();
        let Some(owner) = suspects.isolation_owner(fingerprint, asked) else { return false };
        let Some(address) = self.link.address_of(&owner) else { return false };
        let question = GrantQuestion { fingerprint, vm: state.options.vm.name.clone() };
        let granted = self.client.grant(address, &question).await.unwrap_or(false);
        if granted {
            suspects.accept_grant(fingerprint, owner, asked);
        }
        granted
    }
}

/// The document in force, for peers that cannot read it from the platform.
#[derive(Debug)]
struct ActiveDocument {
    mark: VersionMark,
    bytes: Bytes,
}

/// Another VM and its control listener.
#[derive(Clone, Debug)]
struct PeerAddress {
    vm: SharedName,
    address: SocketAddr,
}

/// What this VM shares with its peers.
#[derive(Debug, Default)]
pub struct PeerLink {
    addresses: ArcSwap<Vec<PeerAddress>>,
    document: ArcSwapOption<ActiveDocument>,
}

impl PeerLink {
    /// Records the document in force.
    pub fn set_document(&self, mark: &VersionMark, bytes: &Bytes) {
        let active = ActiveDocument { mark: mark.clone(), bytes: bytes.clone() };
        self.document.store(Some(Arc::new(active)));
    }

    /// Takes the addresses of peers from a membership list.
    pub fn apply_list(&self, list: &MemberList, own: &str) {
        let others = list.members.iter().filter(|member| member.name != *own);
        let addresses = others.filter_map(|member| {
            let address = member.peer_address.parse().ok()?;
            Some(PeerAddress { vm: member.name.clone(), address })
        });
        self.addresses.store(Arc::new(addresses.collect()));
    }

    fn address_of(&self, vm: &str) -> Option<SocketAddr> {
        self.addresses.load().iter().find(|peer| peer.vm == *vm).map(|peer| peer.address)
    }

    fn version(&self) -> Option<VersionMark> {
        self.document.load().as_ref().map(|active| active.mark.clone())
    }
}

/// The peers as the configuration needs them.
#[derive(Clone, Debug)]
pub struct GatePeers<S> {
    /// Their addresses.
    pub link: Arc<PeerLink>,
    /// Calls them.
    pub client: PeerClient,
    /// Where the membership list is.
    pub store: S,
    /// The name of this VM.
    pub own: SharedName,
}

impl<S: PlatformStore> PeerSource for GatePeers<S> {
    async fn versions(&self) -> Vec<VersionMark> {
        // A VM that starts has no list yet; the list may answer while the tables are down.
        if let Ok(list) = self.store.members().await {
            self.link.apply_list(&list, &self.own);
        }
        let addresses = self.link.addresses.load_full();
        let notice = ExchangeNotice { version: self.link.version(), ..ExchangeNotice::default() };
        let calls = addresses.iter().map(|peer| self.client.exchange(peer.address, &notice));
        let answers = join_all(calls).await;
        answers.into_iter().filter_map(|answer| answer.ok()?.version).collect()
    }

    async fn document(&self, digest: &SharedName) -> Option<Bytes> {
        for peer in self.link.addresses.load_full().iter() {
            if let Ok(document) = self.client.document(peer.address, digest).await {
                return Some(document);
            }
        }
        None
    }
}

/// Answers peers and operators.
pub struct GateControl {
    /// The tables.
    pub state: Arc<GateState>,
    /// What is shared with peers.
    pub link: Arc<PeerLink>,
    /// Learns of versions, once the environment is followed.
    pub follower: Arc<OnceLock<GateFollower>>,
}

impl GateControl {
    fn notice(&self) -> ExchangeNotice {
        let now = self.state.clock.now();
        let upstreams = self.state.upstreams.export(now, NOTICE_LIMIT);
        let suspects = self.state.tables.suspects.export(now, SUSPECT_LIMIT);
        ExchangeNotice { version: self.link.version(), upstreams, suspects }
    }

    fn absorb(&self, notice: &ExchangeNotice) {
        if let (Some(mark), Some(follower)) = (&notice.version, self.follower.get()) {
            follower.learn(mark);
        }
        let now = self.state.clock.now();
        for upstream in &notice.upstreams {
            self.state.upstreams.merge(upstream, now);
        }
        for suspect in &notice.suspects {
            self.state.tables.suspects.merge(suspect, now);
        }
    }

    /// Tells every peer of crashes and released requests at once, because each further crash costs
    /// an upstream.
    pub async fn spread_suspects(self, client: PeerClient) {
        loop {
            tokio::time::sleep(SUSPECT_PERIOD.to_duration()).await;
            let tables = &self.state.tables;
            let suspects = tables.take_suspect_notices(self.state.clock.now());
            if !suspects.is_empty() {
                self.tell_all(&client, suspects).await;
            }
            for report in tables.suspects.take_reports() {
                let Some(address) = self.link.address_of(&report.owner) else { continue };
                let end = GrantEnd { report, vm: self.state.options.vm.name.clone() };
                if let Err(error) = client.end_grant(address, &end).await {
                    tracing::debug!(event = event::EXCHANGE_FAILED, %error);
                }
            }
        }
    }

    async fn tell_all(&self, client: &PeerClient, suspects: Vec<SuspectNotice>) {
        let notice = ExchangeNotice { suspects, ..ExchangeNotice::default() };
        let addresses = self.link.addresses.load_full();
        let calls = addresses.iter().map(|peer| client.exchange(peer.address, &notice));
        for answer in join_all(calls).await {
            match answer {
                Ok(notice) => self.absorb(&notice),
                Err(error) => tracing::debug!(event = event::EXCHANGE_FAILED, %error),
            }
        }
    }

    /// Exchanges what is known with one random peer at a time.
    pub async fn run(self, client: PeerClient) {
        let mut random = RandomSource::from_seed(rand::random());
        loop {
            let pause = EXCHANGE_PERIOD.scaled(0.5 + random.unit());
            tokio::time::sleep(pause.to_duration()).await;
            let addresses = self.link.addresses.load_full();
            let index = (random.unit() * addresses.len() as f64) as usize;
            let Some(peer) = addresses.get(index) else { continue };
            match client.exchange(peer.address, &self.notice()).await {
                Ok(notice) => self.absorb(&notice),
                Err(error) => tracing::debug!(event = event::EXCHANGE_FAILED, %error),
            }
        }
    }
}

impl ControlHandler for GateControl {
    fn exchange(&self, notice: ExchangeNotice) -> ExchangeNotice {
        self.absorb(&notice);
        self.notice()
    }

    fn document(&self, digest: &SharedName) -> Option<Bytes> {
        let active = self.link.document.load();
        let active = active.as_ref().filter(|active| active.mark.digest == *digest)?;
        Some(active.bytes.clone())
    }

    fn grant(&self, question: &GrantQuestion) -> bool {
        let now = self.state.clock.now();
        self.state.tables.suspects.grant(question.fingerprint, &question.vm, now)
    }

    fn end_grant(&self, end: &GrantEnd) {
        let now = self.state.clock.now();
        self.state.tables.suspects.end_grant(&end.report, &end.vm, now);
    }

    fn suspects(&self) -> Vec<SuspectEntry> {
        self.state.tables.suspects.list(self.state.clock.now())
    }

    fn release(&self, fingerprint: u64) {
        let notice = self.state.tables.suspects.release(fingerprint);
        self.state.tables.add_crash_notices(vec![notice]);
    }

    fn burn(&self) -> BurnExport {
        let vm = &self.state.options.vm.name;
        self.state.tables.burn.export(vm, self.state.clock.now())
    }

    fn status(&self) -> StatusReport {
        let environment = self.state.environment.load();
        StatusReport {
            vm: self.state.options.vm.clone(),
            environment: environment.name.clone(),
            version: self.link.version(),
            ready: self.state.is_ready(),
            calls: self.state.calls.running(),
        }
    }
}
