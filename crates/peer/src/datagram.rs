//! Datagrams between VMs. Each consists of one byte for the version of the format, an HMAC tag and
//! a message in `postcard` encoding. Nothing is decoded before the tag has been checked.

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
    ConfigMessage, CreditAnswerMessage, CreditRequestMessage, DirectoryMessage, DrainMessage,
    EvacuationMessage, HelloMessage, LoadMessage, LoadSample, LossMessage, PeerEnvelope,
    PeerMessage, SuspectMessage,
};

/// The most bytes in a datagram. With packet headers it stays below 1,280 bytes, which every
/// network carries without fragmentation.
pub const DATAGRAM_BYTES: usize = 1200;
/// The version of the datagram format that is written and read.
const FORMAT: u8 = 2;
/// Bytes of the tag, a truncated HMAC. 128 bits cannot be guessed, and take half of the space of
/// the full digest.
const TAG_BYTES: usize = 16;
/// Bytes before the message.
const HEAD_BYTES: usize = 1 + TAG_BYTES;

type DatagramTag = [u8; TAG_BYTES];
type HmacKey = Hmac<Sha256>;

/// Why a datagram is rejected.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum DatagramError {
    /// It is too short or too long.
    #[snafu(display(
        "a datagram of {length} bytes is not from a peer; check what else sends to this address"
    ))]
    Length {
        /// The number of its bytes.
        length: usize,
    },
    /// It has another version of the format.
    #[snafu(display(
        "the datagram has format {format}, and this VM reads format {FORMAT}; run the same \
         release on all VMs"
    ))]
    Format {
        /// The version of its format.
        format: u8,
    },
    /// It was not signed with an accepted secret, or was changed on its way.
    #[snafu(display(
        "the datagram is not signed with an accepted secret; give all VMs the same peer secrets"
    ))]
    NotAuthentic,
    /// It is signed, but cannot be decoded.
    #[snafu(display(
        "the signed datagram cannot be read ({detail}); run the same release on all VMs"
    ))]
    Malformed {
        /// What is wrong with it.
        detail: String,
    },
}

/// Encodes and signs datagrams, and verifies and decodes them.
pub struct DatagramCodec {
    /// The first key signs, and signatures of all keys are accepted.
    keys: ArcSwap<Vec<HmacKey>>,
    oversized: AtomicU64,
}

impl fmt::Debug for DatagramCodec {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("DatagramCodec(hidden)")
    }
}

impl DatagramCodec {
    /// Returns a codec that signs with the first secret and accepts all of them. Empty secrets are
    /// ignored, because anyone could sign with them; without a secret nothing is sent or accepted.
    pub fn new<'a>(secrets: impl IntoIterator<Item = &'a str>) -> Self {
        Self { keys: ArcSwap::from_pointee(hmac_keys(secrets)), oversized: AtomicU64::new(0) }
    }

    /// Replaces the secrets, as in [`DatagramCodec::new`].
    pub fn set_secrets<'a>(&self, secrets: impl IntoIterator<Item = &'a str>) {
        self.keys.store(Arc::new(hmac_keys(secrets)));
    }

    /// Returns how many hellos or single list entries were not sent because they do not fit into a
    /// datagram. Names of more than 300 bytes can cause this.
    pub fn oversized(&self) -> u64 {
        self.oversized.load(Ordering::Relaxed)
    }

    /// Encodes each of the message's [`parts`](Self::parts) as a datagram.
    pub fn encode(&self, envelope: &PeerEnvelope) -> Vec<Vec<u8>> {
        let keys = self.keys.load();
        let Some(key) = keys.first() else { return Vec::new() };
        let parts = self.parts(envelope);
        let datagrams: Vec<_> = parts.iter().filter_map(|part| sign_datagram(key, part)).collect();
        let unsent = (parts.len() - datagrams.len()) as u64;
        self.oversized.fetch_add(unsent, Ordering::Relaxed);
        datagrams
    }

    /// Splits a message into parts that are sent as one datagram each. Long lists are divided, and
    /// a directory message with very many rows, or a very long one, is sent without its rows.
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

    // Every key is tried, so that the response time does not reveal which one matched.
    fn is_authentic(&self, tag: &[u8], body: &[u8]) -> bool {
        let matches = |key| signature(key, body).ct_eq(tag);
        self.keys.load().iter().fold(Choice::from(0), |found, key| found | matches(key)).into()
    }
}

fn hmac_keys<'a>(secrets: impl IntoIterator<Item = &'a str>) -> Vec<HmacKey> {
    let secrets = secrets.into_iter().filter(|secret| !secret.is_empty());
    secrets.map(hmac_key).collect()
}

fn hmac_key(secret: &str) -> HmacKey {
    HmacKey::new_from_slice(secret.as_bytes()).expect("HMAC accepts keys of any length")
}

fn signature(key: &HmacKey, body: &[u8]) -> DatagramTag {
    let digest = key.clone().chain_update([FORMAT]).chain_update(body).finalize().into_bytes();
    let mut tag = DatagramTag::default();
    tag.copy_from_slice(&digest[..TAG_BYTES]);
    tag
}

/// Returns the signed datagram, or `None` if it is too long.
fn sign_datagram(key: &HmacKey, envelope: &PeerEnvelope) -> Option<Vec<u8>> {
    let mut head = Vec::with_capacity(DATAGRAM_BYTES);
    head.resize(HEAD_BYTES, FORMAT);
    // Encoding does not fail: no message contains a value that `postcard` cannot encode.
    let mut datagram = postcard::to_extend(envelope, head).ok()?;
    if datagram.len() > DATAGRAM_BYTES {
        return None;
    }
    let tag = signature(key, &datagram[HEAD_BYTES..]);
    datagram[1..HEAD_BYTES].copy_from_slice(&tag);
    Some(datagram)
}
