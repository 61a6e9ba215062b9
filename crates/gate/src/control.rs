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

use crate::access::GateFollower;
use crate::event;
use crate::state::GateState;

/// The time between exchanges with one random peer.
const EXCHANGE_PERIOD: ClockSpan = ClockSpan::from_millis(500);
/// Upstream notices in one message. With about 130 bytes each and two messages sent for each
/// period, a VM sends less than 5 KB/s.
const NOTICE_LIMIT: usize = 8;

/// The document in force, for peers that cannot read it from the platform.
#[derive(Debug)]
struct ActiveDocument {
    mark: VersionMark,
    bytes: Bytes,
}

/// What this VM shares with its peers.
#[derive(Debug, Default)]
pub struct PeerLink {
    addresses: ArcSwap<Vec<SocketAddr>>,
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
        let addresses = others.filter_map(|member| member.peer_address.parse().ok()).collect();
        self.addresses.store(Arc::new(addresses));
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
        let notice = ExchangeNotice { version: self.link.version(), upstreams: Vec::new() };
        let calls = addresses.iter().map(|address| self.client.exchange(*address, &notice));
        let answers = join_all(calls).await;
        answers.into_iter().filter_map(|answer| answer.ok()?.version).collect()
    }

    async fn document(&self, digest: &SharedName) -> Option<Bytes> {
        for address in self.link.addresses.load_full().iter() {
            if let Ok(document) = self.client.document(*address, digest).await {
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
        let upstreams = self.state.upstreams.export(self.state.clock.now(), NOTICE_LIMIT);
        ExchangeNotice { version: self.link.version(), upstreams }
    }

    fn absorb(&self, notice: &ExchangeNotice) {
        if let (Some(mark), Some(follower)) = (&notice.version, self.follower.get()) {
            follower.learn(mark);
        }
        for upstream in &notice.upstreams {
            self.state.upstreams.merge(upstream, self.state.clock.now());
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
            let Some(address) = addresses.get(index) else { continue };
            match client.exchange(*address, &self.notice()).await {
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
