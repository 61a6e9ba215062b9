//! The known peers of this VM, and the documents and tables that they may read from it.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};

use arc_swap::{ArcSwap, ArcSwapOption};
use base::prelude::*;
use bytes::Bytes;
use config::prelude::*;
use peer::prelude::*;
use store::prelude::*;
use suspect::prelude::*;

use crate::directory_tables::CopySource;

/// The most contacts in one message besides that of the sender.
const CONTACT_LIMIT: usize = 3;
/// A peer that is not on the membership list is used for this long after its last contact. Twice
/// the 30 s by which the list lags.
const MAX_CONTACT_AGE: ClockSpan = ClockSpan::from_secs(60);

/// Asks owner VMs of suspects for isolated runs. An owner VM, chosen by rendezvous hashing, grants
/// one isolated run at a time.
#[derive(Clone, Debug)]
pub struct GrantClient {
    /// The known peers, with the addresses of the owner VMs.
    pub peers: Arc<PeerTable>,
    /// Sends the calls to the owner VMs.
    pub client: PeerClient,
}

impl GrantClient {
    /// Asks the owner VM of a suspect at the time `asked`, and returns whether this VM may perform
    /// an isolated run.
    pub async fn ask(&self, suspects: &SuspectTable, fingerprint: u64, asked: ClockTime) -> bool {
        let Some(owner) = suspects.isolation_owner(fingerprint, asked) else { return false };
        let Some(address) = self.peers.address_of(&owner) else { return false };
        let request = GrantRequest { fingerprint, vm: self.peers.own.clone() };
        let granted = self.client.grant(address, &request).await.unwrap_or(false);
        if granted {
            suspects.accept_grant(fingerprint, owner, asked);
        }
        granted
    }
}

/// The applied document, for peers that cannot read it from the platform.
#[derive(Debug)]
struct ActiveDocument {
    id: VersionId,
    bytes: Bytes,
}

/// Another VM and the address of its control listener.
#[derive(Clone, Debug)]
struct PeerAddress {
    vm: SharedName,
    address: SocketAddr,
    /// The time of the last contact, or `None` if only the membership list names the VM.
    last_contact: Option<ClockTime>,
}

/// The addresses of the known peers, and what peers may read from this VM.
#[derive(Debug)]
pub struct PeerTable {
    own: SharedName,
    own_address: OnceLock<SocketAddr>,
    addresses: ArcSwap<Vec<PeerAddress>>,
    document: ArcSwapOption<ActiveDocument>,
    /// The copies that peers may fetch, if this VM follows the store's tables.
    copies: OnceLock<CopySource>,
}

impl PeerTable {
    /// Returns a table without peers for the VM `own`.
    pub fn new(own: SharedName) -> Self {
        Self {
            own,
            own_address: OnceLock::new(),
            addresses: ArcSwap::default(),
            document: ArcSwapOption::default(),
            copies: OnceLock::new(),
        }
    }

    /// Records the address at which peers reach this VM.
    pub fn set_own_address(&self, address: SocketAddr) {
        // The address is set once, when the listener is bound.
        let _ = self.own_address.set(address);
    }

    /// Returns whether this VM has an address and at least one peer to send it to.
    pub(crate) fn can_announce(&self) -> bool {
        self.own_address.get().is_some() && !self.addresses.load().is_empty()
    }

    /// Returns the names of all known VMs, this one included.
    pub fn vm_names(&self) -> Vec<SharedName> {
        let peers = self.addresses.load();
        let others = peers.iter().map(|peer| peer.vm.clone());
        others.chain([self.own.clone()]).collect()
    }

    /// Returns the contact of this VM and those of some peers with recent contact, starting at a
    /// position that depends on `random`.
    pub(crate) fn contacts(&self, now: ClockTime, random: usize) -> Vec<PeerContact> {
        let own = self.own_address.get().map(|address| PeerContact {
            vm: self.own.clone(),
            address: *address,
            age: ClockSpan::ZERO,
        });
        let peers = self.addresses.load();
        let known = peers.iter().filter_map(|peer| {
            let age = now.since(peer.last_contact?);
            (age <= MAX_CONTACT_AGE).then(|| PeerContact {
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

    /// Merges contacts that a peer sent. Returns whether one of the VMs was unknown.
    pub(crate) fn merge_contacts(&self, contacts: &[PeerContact], now: ClockTime) -> bool {
        let fresh =
            |contact: &&PeerContact| contact.vm != self.own && contact.age <= MAX_CONTACT_AGE;
        let mut added = false;
        self.addresses.rcu(|peers| {
            let mut peers: Vec<PeerAddress> = Vec::clone(peers);
            added = false;
            for contact in contacts.iter().filter(fresh) {
                let last_contact = Some(now - contact.age);
                match peers.iter_mut().find(|peer| peer.vm == contact.vm) {
                    Some(peer) if peer.last_contact < last_contact => {
                        peer.last_contact = last_contact;
                        peer.address = contact.address;
                    }
                    Some(_) => {}
                    None => {
                        let (vm, address) = (contact.vm.clone(), contact.address);
                        peers.push(PeerAddress { vm, address, last_contact });
                        added = true;
                    }
                }
            }
            peers
        });
        added
    }

    /// Records the document that was applied.
    pub fn set_document(&self, id: &VersionId, bytes: &Bytes) {
        let active = ActiveDocument { id: id.clone(), bytes: bytes.clone() };
        self.document.store(Some(Arc::new(active)));
    }

    /// Replaces the known peers by those of a membership list. Peers with recent contact stay,
    /// because the list lags.
    pub fn apply_member_list(&self, list: &MemberList, now: ClockTime) {
        let listed = |vm: &SharedName| list.members.iter().any(|member| member.name == *vm);
        self.addresses.rcu(|known| {
            let is_recent = |peer: &&PeerAddress| {
                peer.last_contact.is_some_and(|last| now.since(last) <= MAX_CONTACT_AGE)
            };
            let retained = known.iter().filter(is_recent).filter(|peer| !listed(&peer.vm)).cloned();
            let others = list.members.iter().filter(|member| member.name != self.own);
            let addresses = others.filter_map(|member| {
                let entry = known.iter().find(|peer| peer.vm == member.name);
                match entry.filter(is_recent) {
                    Some(peer) => Some(peer.clone()),
                    None => {
                        let address = member.peer_address.parse().ok()?;
                        Some(PeerAddress { vm: member.name.clone(), address, last_contact: None })
                    }
                }
            });
            addresses.chain(retained).collect::<Vec<_>>()
        });
    }

    /// Returns the control address of a peer, if it is known.
    pub(crate) fn address_of(&self, vm: &str) -> Option<SocketAddr> {
        self.addresses.load().iter().find(|peer| peer.vm == *vm).map(|peer| peer.address)
    }

    /// Returns the addresses of the known peers.
    pub(crate) fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.addresses.load().iter().map(|peer| peer.address).collect()
    }

    /// Lets peers fetch copies of what this VM knows.
    pub(crate) fn offer_copies(&self, source: CopySource) {
        // Set once, when the VM starts to follow the store.
        let _ = self.copies.set(source);
    }

    /// Returns the copy with the given name.
    pub(crate) fn copy(&self, name: CopyName, now: ClockTime) -> Option<Bytes> {
        self.copies.get()?.copy(name, now)
    }

    /// Returns the applied document if it has this digest.
    pub(crate) fn document(&self, digest: &str) -> Option<Bytes> {
        let active = self.document.load();
        let active = active.as_ref().filter(|active| active.id.digest == *digest)?;
        Some(active.bytes.clone())
    }

    /// Returns the version of the applied document.
    pub(crate) fn version(&self) -> Option<VersionId> {
        self.document.load().as_ref().map(|active| active.id.clone())
    }
}
