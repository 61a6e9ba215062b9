//! What two VMs exchange, before encoding.

use std::net::SocketAddr;

use base::prelude::*;
use serde::{Deserialize, Serialize};
use world::prelude::*;

use crate::news::{HeldSlice, NewsDigest, NewsItem};
use crate::peer::VmPhase;

/// Bytes of a record without its names: incarnation, address, phase, life sign and punctuation.
const NOTICE_BYTES: usize = 64;
/// Bytes of a life sign without the name.
const BEAT_BYTES: usize = 18;
/// Bytes of a held count without its data centres.
const COUNT_BYTES: usize = 24;
/// Bytes of one part of a digest.
const DIGEST_PART_BYTES: usize = 11;
/// Bytes of the age of a news item.
pub(crate) const AGE_BYTES: usize = 8;

/// A record of a VM.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PeerNotice {
    /// The VM.
    pub identity: VmIdentity,
    /// Where it accepts peers.
    pub address: SocketAddr,
    /// What it last said about itself.
    pub phase: VmPhase,
    /// Its life sign counter.
    pub beat: u64,
    /// Time since the sender saw the counter grow.
    pub silent_ms: u64,
}

impl PeerNotice {
    /// Returns the bytes that the record takes in a message.
    pub fn encoded_size(&self) -> usize {
        NOTICE_BYTES + self.identity.name.len() + self.identity.centre.len()
    }
}

/// A life sign of a VM that the receiver already knows.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PeerBeat {
    /// The VM.
    pub name: SharedName,
    /// Its life sign counter; compared only within one incarnation.
    pub beat: u64,
    /// The lowest bits of the incarnation.
    pub incarnation: u16,
}

impl PeerBeat {
    /// Returns the bytes that the life sign takes in a message.
    pub fn encoded_size(&self) -> usize {
        BEAT_BYTES + self.name.len()
    }
}

/// The largest VM count within the hold time.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HeldCount {
    /// VMs in all data centres.
    pub count: u32,
    /// Time since this many were last seen.
    pub age_ms: u64,
}

/// A news item and its age.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct NewsEnvelope<N> {
    /// The item.
    pub item: N,
    /// Time since it was published.
    pub age_ms: u64,
}

/// The part of a message that is about VMs.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PeerReport {
    /// The sender.
    pub sender: PeerNotice,
    /// Records of other VMs.
    pub notices: Vec<PeerNotice>,
    /// Life signs of other VMs.
    pub beats: Vec<PeerBeat>,
    /// The largest VM count that the sender holds; absent in short messages.
    pub held: Option<HeldCount>,
    /// A digest of the VMs that the sender knows; absent in short messages.
    pub digest: Option<u32>,
}

impl PeerReport {
    /// Returns the bytes that the report takes in a message.
    pub fn encoded_size(&self) -> usize {
        let notices: usize = self.notices.iter().map(PeerNotice::encoded_size).sum();
        let beats: usize = self.beats.iter().map(PeerBeat::encoded_size).sum();
        let held = self.held.as_ref().map_or(0, |_| COUNT_BYTES);
        let digest = self.digest.map_or(0, |_| DIGEST_PART_BYTES);
        self.sender.encoded_size() + notices + beats + held + digest
    }
}

/// A request or a response between two VMs.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ExchangeMessage<N> {
    /// About VMs.
    pub peers: PeerReport,
    /// The digest of the sender's urgent news; absent in short messages.
    pub digest: Option<NewsDigest>,
    /// What the sender has where its news last differed from a peer's; only in requests.
    pub held: Option<HeldSlice>,
    /// News.
    pub news: Vec<NewsEnvelope<N>>,
}

impl<N: NewsItem> ExchangeMessage<N> {
    /// Returns the bytes of the message without the overhead of the transport.
    pub fn encoded_size(&self) -> usize {
        let news: usize = self.news.iter().map(NewsEnvelope::encoded_size).sum();
        let digest = self.digest.as_ref().map_or(0, |parts| parts.len() * DIGEST_PART_BYTES);
        let held = self.held.as_ref().map_or(0, HeldSlice::encoded_size);
        self.peers.encoded_size() + digest + held + news
    }
}

impl<N: NewsItem> NewsEnvelope<N> {
    /// Returns the bytes that the item and its age take in a message.
    pub fn encoded_size(&self) -> usize {
        AGE_BYTES + self.item.encoded_size()
    }

    /// Returns the age of the item.
    pub fn age(&self) -> ClockSpan {
        ClockSpan::from_millis(self.age_ms)
    }
}
