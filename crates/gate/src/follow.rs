//! The configuration of this VM: how peers serve as a source of versions besides the platform, and
//! how a document is applied.
//!
//! Depends on [`crate::peers`] and [`crate::state`] only.

use std::sync::{Arc, Weak};

use base::prelude::*;
use bytes::Bytes;
use config::prelude::*;
use futures_util::future::join_all;
use peer::prelude::*;
use store::prelude::*;

use crate::peers::PeerTable;
use crate::state::{GateState, GateStore};

/// Follows the versions of the configuration and applies them to this VM.
pub type GateFollower = ConfigFollower<GateStore, RealClock, GatePeers<GateStore>, GateTarget>;

/// The peers as a source of configuration versions.
#[derive(Clone, Debug)]
pub struct GatePeers<S> {
    /// The addresses of the peers, and the version of this VM.
    pub peers: Arc<PeerTable>,
    /// Sends calls to the peers.
    pub client: PeerClient,
    /// The store that serves the membership list.
    pub store: S,
    /// The clock of the process.
    pub clock: RealClock,
}

impl<S: PlatformStore> PeerSource for GatePeers<S> {
    async fn versions(&self) -> Vec<VersionId> {
        // A VM that starts has no membership list yet. The store may serve it while its tables are
        // unavailable.
        if let Ok(list) = self.store.members().await {
            self.peers.apply_member_list(&list, self.clock.now());
        }
        let addresses = self.peers.peer_addresses();
        let notice = ExchangeNotice { version: self.peers.version(), ..ExchangeNotice::default() };
        let calls = addresses.iter().map(|address| self.client.exchange(*address, &notice));
        let answers = join_all(calls).await;
        answers.into_iter().filter_map(|answer| answer.ok()?.version).collect()
    }

    async fn document(&self, digest: &SharedName) -> Option<Bytes> {
        for address in self.peers.peer_addresses() {
            if let Ok(document) = self.client.document(address, digest).await {
                return Some(document);
            }
        }
        None
    }
}

/// Applies documents to the state of this VM.
pub struct GateTarget {
    /// The state of the gateway.
    pub state: Weak<GateState>,
    /// Offers the applied document to peers.
    pub peers: Arc<PeerTable>,
}

impl DocumentTarget for GateTarget {
    fn apply(&self, id: &VersionId, document: &Bytes) -> Result<(), String> {
        let Some(state) = self.state.upgrade() else { return Ok(()) };
        let environment =
            border::load_document(document, id.version).map_err(|error| error.to_string())?;
        state.apply(environment);
        self.peers.set_document(id, document);
        Ok(())
    }
}
