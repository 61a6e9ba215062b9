//! What this VM tells peers and operators, and asks of peers.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};

use arc_swap::{ArcSwap, ArcSwapOption};
use base::prelude::*;
use bytes::Bytes;
use config::prelude::*;
use futures_util::future::join_all;
use peer::prelude::*;
use report::prelude::*;
use store::prelude::*;
use suspect::prelude::*;

use crate::access::GateFollower;
use crate::event;
use crate::state::GateState;

/// The time between exchanges with one random peer.
const EXCHANGE_PERIOD: ClockSpan = ClockSpan::from_millis(500);
/// Upstream notices in one message. With about 130 bytes each and two messages sent for each
/// period, a VM sends less than 5 KB/s.
const NOTICE_LIMIT: usize = 8;

/// Contacts in one message besides the sender.
const CONTACT_LIMIT: usize = 3;
/// A peer that is not on the list is called for this long after it was heard from. Twice the 30 s
/// by which the list lags.
const CONTACT_SPAN: ClockSpan = ClockSpan::from_secs(60);
/// How often a VM that starts makes itself known. The answers name VMs that the first round missed.
const ANNOUNCEMENTS: u32 = 2;
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
    /// When the VM was last heard from, or `None` if only the list names it.
    heard: Option<ClockTime>,
}

/// What this VM shares with its peers.
#[derive(Debug)]
pub struct PeerLink {
    own: SharedName,
    own_address: OnceLock<SocketAddr>,
    addresses: ArcSwap<Vec<PeerAddress>>,
    document: ArcSwapOption<ActiveDocument>,
}

impl PeerLink {
    /// Returns a link of the VM `own` that knows no peers.
    pub fn new(own: SharedName) -> Self {
        Self {
            own,
            own_address: OnceLock::new(),
            addresses: ArcSwap::default(),
            document: ArcSwapOption::default(),
        }
    }

    /// Records where peers reach this VM.
    pub fn set_own_address(&self, address: SocketAddr) {
        // The listener is bound once.
        let _ = self.own_address.set(address);
    }

    fn can_announce(&self) -> bool {
        self.own_address.get().is_some() && !self.addresses.load().is_empty()
    }

    /// Returns the names of all known VMs, this one included.
    pub fn names(&self) -> Vec<SharedName> {
        let peers = self.addresses.load();
        let others = peers.iter().map(|peer| peer.vm.clone());
        others.chain([self.own.clone()]).collect()
    }

    /// Returns this VM and some that were heard from lately, a different part each time.
    fn contacts(&self, now: ClockTime, random: usize) -> Vec<PeerContact> {
        let own = self.own_address.get().map(|address| PeerContact {
            vm: self.own.clone(),
            address: *address,
            age: ClockSpan::ZERO,
        });
        let peers = self.addresses.load();
        let known = peers.iter().filter_map(|peer| {
            let age = now.since(peer.heard?);
            (age <= CONTACT_SPAN).then(|| PeerContact {
                vm: peer.vm.clone(),
                address: peer.address,
                age,
            })
        });
        let known: Vec<PeerContact> = known.collect();
        let start = if known.is_empty() { 0 } else { random % known.len() };
        let some = known.into_iter().cycle().skip(start).take(CONTACT_LIMIT.min(peers.len()));
        own.into_iter().chain(some).collect()
    }

    /// Takes in contacts. Returns whether one of them is new.
    fn learn(&self, contacts: &[PeerContact], now: ClockTime) -> bool {
        let fresh = |contact: &&PeerContact| contact.vm != self.own && contact.age <= CONTACT_SPAN;
        let mut grown = false;
        self.addresses.rcu(|peers| {
            let mut peers: Vec<PeerAddress> = Vec::clone(peers);
            grown = false;
            for contact in contacts.iter().filter(fresh) {
                let heard = Some(now - contact.age);
                match peers.iter_mut().find(|peer| peer.vm == contact.vm) {
                    Some(peer) if peer.heard < heard => {
                        peer.heard = heard;
                        peer.address = contact.address;
                    }
                    Some(_) => {}
                    None => {
                        let (vm, address) = (contact.vm.clone(), contact.address);
                        peers.push(PeerAddress { vm, address, heard });
                        grown = true;
                    }
                }
            }
            peers
        });
        grown
    }

    /// Records the document in force.
    pub fn set_document(&self, mark: &VersionMark, bytes: &Bytes) {
        let active = ActiveDocument { mark: mark.clone(), bytes: bytes.clone() };
        self.document.store(Some(Arc::new(active)));
    }

    /// Takes the addresses of peers from a membership list. Peers that were heard from lately stay,
    /// because the list lags.
    pub fn apply_list(&self, list: &MemberList, now: ClockTime) {
        let listed = |vm: &SharedName| list.members.iter().any(|member| member.name == *vm);
        self.addresses.rcu(|known| {
            let heard = |peer: &&PeerAddress| {
                peer.heard.is_some_and(|heard| now.since(heard) <= CONTACT_SPAN)
            };
            let kept = known.iter().filter(heard).filter(|peer| !listed(&peer.vm)).cloned();
            let others = list.members.iter().filter(|member| member.name != self.own);
            let addresses = others.filter_map(|member| {
                let own = known.iter().find(|peer| peer.vm == member.name);
                match own.filter(heard) {
                    Some(peer) => Some(peer.clone()),
                    None => {
                        let address = member.peer_address.parse().ok()?;
                        Some(PeerAddress { vm: member.name.clone(), address, heard: None })
                    }
                }
            });
            addresses.chain(kept).collect::<Vec<_>>()
        });
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
    /// The clock of the process.
    pub clock: RealClock,
}

impl<S: PlatformStore> PeerSource for GatePeers<S> {
    async fn versions(&self) -> Vec<VersionMark> {
        // A VM that starts has no list yet; the list may answer while the tables are down.
        if let Ok(list) = self.store.members().await {
            self.link.apply_list(&list, self.clock.now());
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
        ExchangeNotice {
            contacts: self.contacts(),
            version: self.link.version(),
            upstreams,
            suspects,
        }
    }

    fn contacts(&self) -> Vec<PeerContact> {
        self.link.contacts(self.state.clock.now(), rand::random::<u32>() as usize)
    }

    fn absorb(&self, notice: &ExchangeNotice) {
        if let (Some(mark), Some(follower)) = (&notice.version, self.follower.get()) {
            follower.learn(mark);
        }
        let now = self.state.clock.now();
        if self.link.learn(&notice.contacts, now) {
            self.state.tables.suspects.set_members(self.link.names());
        }
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
        let mut announced = 0;
        loop {
            tokio::time::sleep(SUSPECT_PERIOD.to_duration()).await;
            // A VM that starts makes itself known to every listed peer at once.
            if announced < ANNOUNCEMENTS && self.link.can_announce() {
                announced += 1;
                self.tell_all(&client, Vec::new()).await;
            }
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
        let contacts = self.contacts();
        let notice = ExchangeNotice { contacts, suspects, ..ExchangeNotice::default() };
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
