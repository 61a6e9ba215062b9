//! Datagrams between VMs: one byte of format, a keyed digest, and a message in the `postcard`
//! format. Nothing is decoded before the digest has been checked.

use std::borrow::Cow;
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwap;
use hmac::{Hmac, Mac};
use sha2::Sha256;
use snafu::{Snafu, ensure};
use subtle::{Choice, ConstantTimeEq};

mod message;
mod split;

pub use message::{
    ConfigMessage, DirectoryMessage, HelloMessage, LoadMessage, LoadSample, LossMessage,
    PeerEnvelope, PeerMessage, SuspectMessage,
};

/// Most bytes in a datagram. With packet headers it stays below 1,280 bytes, which every network
/// carries without fragments.
pub const DATAGRAM_BYTES: usize = 1200;
/// The format that is written and read.
const FORMAT: u8 = 2;
/// Bytes of the digest. 128 bits leave no chance to guess one, and cost half of the full digest.
const TAG_BYTES: usize = 16;
/// Bytes before the message.
const HEAD_BYTES: usize = 1 + TAG_BYTES;

type DatagramTag = [u8; TAG_BYTES];
type KeyedDigest = Hmac<Sha256>;

/// Why a datagram is not accepted.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum DatagramError {
    /// It is too short or too long.
    #[snafu(display(
        "a datagram of {length} bytes is not from a peer; check what else sends to this address"
    ))]
    Length {
        /// Its bytes.
        length: usize,
    },
    /// It has another format.
    #[snafu(display(
        "the datagram has format {format}, and this VM reads format {FORMAT}; run the same \
         release on all VMs"
    ))]
    Format {
        /// The format.
        format: u8,
    },
    /// No accepted secret signed it, or it was changed on its way.
    #[snafu(display(
        "the datagram is not signed with an accepted secret; give all VMs the same peer secrets"
    ))]
    NotAuthentic,
    /// It is signed, and is not a message.
    #[snafu(display(
        "the signed datagram cannot be read ({detail}); run the same release on all VMs"
    ))]
    Malformed {
        /// What is wrong with it.
        detail: String,
    },
}

/// Encodes and decodes datagrams.
pub struct DatagramCodec {
    /// The first one signs, all are accepted.
    keys: ArcSwap<Vec<KeyedDigest>>,
    oversized: AtomicU64,
}

impl fmt::Debug for DatagramCodec {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("DatagramCodec(hidden)")
    }
}

impl DatagramCodec {
    /// Returns a codec that signs with the first secret and accepts all of them. Empty secrets are
    /// left out, because everyone knows them; without a secret nothing is sent or accepted.
    pub fn new<'a>(secrets: impl IntoIterator<Item = &'a str>) -> Self {
        Self { keys: ArcSwap::from_pointee(keyed_digests(secrets)), oversized: AtomicU64::new(0) }
    }

    /// Replaces the secrets, as in [`DatagramCodec::new`].
    pub fn set_secrets<'a>(&self, secrets: impl IntoIterator<Item = &'a str>) {
        self.keys.store(Arc::new(keyed_digests(secrets)));
    }

    /// Returns how many hellos or single entries were not sent because they do not fit into a
    /// datagram. Names of more than 300 bytes can cause it.
    pub fn oversized(&self) -> u64 {
        self.oversized.load(Ordering::Relaxed)
    }

    /// Encodes a message in the datagrams of its [`parts`](Self::parts).
    pub fn encode(&self, envelope: &PeerEnvelope) -> Vec<Vec<u8>> {
        let keys = self.keys.load();
        let Some(key) = keys.first() else { return Vec::new() };
        let parts = self.parts(envelope);
        let datagrams: Vec<_> = parts.iter().filter_map(|part| seal(key, part)).collect();
        let missing = (parts.len() - datagrams.len()) as u64;
        self.oversized.fetch_add(missing, Ordering::Relaxed);
        datagrams
    }

    /// Returns the messages that carry a message in one datagram each. Long lists are
    /// divided, and a directory message that does not fit loses its rows.
    pub fn parts<'a>(&self, envelope: &'a PeerEnvelope) -> Cow<'a, [PeerEnvelope]> {
        split::parts(envelope, DATAGRAM_BYTES - HEAD_BYTES)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails if the datagram has another length or format than a peer's, is not signed with an
    /// accepted secret, or is not a message.
    pub fn decode(&self, datagram: &[u8]) -> Result<PeerEnvelope, DatagramError> {
        let length = datagram.len();
        ensure!((HEAD_BYTES + 1..=DATAGRAM_BYTES).contains(&length), LengthSnafu { length });
        let (head, body) = datagram.split_at(HEAD_BYTES);
        let (format, tag) = (head[0], &head[1..]);
        ensure!(format == FORMAT, FormatSnafu { format });
        ensure!(self.is_authentic(tag, body), NotAuthenticSnafu);
        let (envelope, rest) = postcard::take_from_bytes(body)
            .map_err(|error| DatagramError::Malformed { detail: error.to_string() })?;
        ensure!(rest.is_empty(), MalformedSnafu { detail: "bytes after the message" });
        Ok(envelope)
    }

    // Every key is tried, so that the time does not tell which one matched.
    fn is_authentic(&self, tag: &[u8], body: &[u8]) -> bool {
        let matches = |key| signature(key, body).ct_eq(tag);
        self.keys.load().iter().fold(Choice::from(0), |found, key| found | matches(key)).into()
    }
}

fn keyed_digests<'a>(secrets: impl IntoIterator<Item = &'a str>) -> Vec<KeyedDigest> {
    let secrets = secrets.into_iter().filter(|secret| !secret.is_empty());
    secrets.map(keyed_digest).collect()
}

fn keyed_digest(secret: &str) -> KeyedDigest {
    KeyedDigest::new_from_slice(secret.as_bytes()).expect("a keyed digest takes any key length")
}

fn signature(key: &KeyedDigest, body: &[u8]) -> DatagramTag {
    let digest = key.clone().chain_update([FORMAT]).chain_update(body).finalize().into_bytes();
    let mut tag = DatagramTag::default();
    tag.copy_from_slice(&digest[..TAG_BYTES]);
    tag
}

/// Returns the datagram, or `None` if it is too long.
fn seal(key: &KeyedDigest, envelope: &PeerEnvelope) -> Option<Vec<u8>> {
    let mut head = Vec::with_capacity(DATAGRAM_BYTES);
    head.resize(HEAD_BYTES, FORMAT);
    // None of the messages has a part that the format cannot express.
    let mut datagram = postcard::to_extend(envelope, head).ok()?;
    if datagram.len() > DATAGRAM_BYTES {
        return None;
    }
    let tag = signature(key, &datagram[HEAD_BYTES..]);
    datagram[1..HEAD_BYTES].copy_from_slice(&tag);
    Some(datagram)
}
