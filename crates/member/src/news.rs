//! News that VMs pass on: kept until replaced or expired, sent a bounded number of times.

use std::collections::HashMap;
use std::hash::{Hash, Hasher};

use base::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::message::{AGE_BYTES, NewsEnvelope};

/// Parts of a digest. Differing parts name the items to send, so more parts send fewer items that
/// the other side already has, and make every routine message longer.
pub const DIGEST_PARTS: usize = 8;

/// Share of an item's lifetime after which it is no longer accepted as new. Without it, delays
/// between VMs could let an item circulate after it expired.
const ACCEPT_SHARE: f64 = 0.9;

/// The order in which news takes the room of a message.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub enum NewsPriority {
    /// An upstream is leaving.
    DrainMark,
    /// A version of the configuration.
    ConfigVersion,
    /// A request that crashes upstreams.
    CrashVerdict,
    /// Load of an upstream: sent to a few peers, never passed on and never repaired.
    LoadSample,
}

impl NewsPriority {
    /// Returns whether the news must reach every VM.
    pub const fn is_urgent(self) -> bool {
        !matches!(self, Self::LoadSample)
    }
}

/// An item that other crates hand over for spreading.
pub trait NewsItem: Clone {
    /// What the item is about. An item replaces an older one with the same key.
    type Key: Clone + Eq + Hash + Ord;

    /// Returns what the item is about.
    fn key(&self) -> Self::Key;

    /// Returns the revision; of two items with one key, the higher is kept.
    fn revision(&self) -> u64;

    /// Returns the priority.
    fn priority(&self) -> NewsPriority;

    /// Returns the bytes that the item takes in a message.
    fn encoded_size(&self) -> usize;

    /// Returns the time after which the item is dropped, or `None` for an item that stays until
    /// it is replaced.
    fn lifetime(&self) -> Option<ClockSpan>;
}

/// Sums of the hashes of all urgent items, in parts by key.
pub type NewsDigest = [u32; DIGEST_PARTS];

struct NewsEntry<N> {
    item: N,
    born: ClockTime,
    sends_left: u32,
    sends: u32,
    hash: u64,
}

impl<N: NewsItem> NewsEntry<N> {
    fn expired(&self, now: ClockTime) -> bool {
        self.item.lifetime().is_some_and(|lifetime| now.since(self.born) >= lifetime)
    }

    fn is_urgent(&self) -> bool {
        self.item.priority().is_urgent()
    }

    fn is_hot(&self, most_sends: u32) -> bool {
        self.sends_left > 0 && self.sends < most_sends
    }

    fn part(&self) -> usize {
        (self.hash >> 32) as usize % DIGEST_PARTS
    }

    fn encoded_size(&self) -> usize {
        AGE_BYTES + self.item.encoded_size()
    }

    fn envelope(&self, now: ClockTime) -> NewsEnvelope<N> {
        NewsEnvelope { item: self.item.clone(), age_ms: now.since(self.born).as_millis() }
    }
}

/// Items chosen for a message while there is room.
struct Chosen<N> {
    left: usize,
    taken: Vec<NewsEnvelope<N>>,
    now: ClockTime,
}

impl<N: NewsItem> Chosen<N> {
    /// Takes entries in order until one does not fit, and returns how many were taken.
    fn fill<'a>(&mut self, entries: impl Iterator<Item = &'a NewsEntry<N>>) -> usize
    where
        N: 'a,
    {
        let before = self.taken.len();
        for entry in entries {
            let size = entry.encoded_size();
            if size > self.left {
                break;
            }
            self.left -= size;
            self.taken.push(entry.envelope(self.now));
        }
        self.taken.len() - before
    }
}

fn hash_of<N: NewsItem>(item: &N) -> u64 {
    let mut hasher = Xxh3::new();
    item.key().hash(&mut hasher);
    let part = hasher.finish();
    hasher.write_u64(item.revision());
    // The upper half depends on the key alone, so that a revision does not move the item.
    (part >> 32 << 32) | (hasher.finish() & u64::from(u32::MAX))
}

/// Most items that a request names in full, so that the response holds only others.
const SLICE_ITEMS: usize = 32;
/// Bytes of the hash of an item.
const HASH_BYTES: usize = 11;

/// The items that a VM has in one slice of one part whose digest differed, so that a peer can
/// return those that are lacking. Digests alone only tell that something in a part is lacking.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HeldSlice {
    /// The part.
    pub part: usize,
    /// The slices into which the part is divided.
    pub slices: usize,
    /// The slice.
    pub slice: usize,
    /// Hashes of the items.
    pub hashes: Vec<u32>,
}

impl HeldSlice {
    /// Returns the bytes that the slice takes in a message.
    pub fn encoded_size(&self) -> usize {
        HASH_BYTES * (self.hashes.len() + 2)
    }

    fn covers<N: NewsItem>(&self, entry: &NewsEntry<N>) -> bool {
        entry.part() == self.part && (entry.hash >> 40) as usize % self.slices.max(1) == self.slice
    }
}

/// The items that one VM knows.
pub struct NewsStore<N: NewsItem> {
    entries: HashMap<N::Key, NewsEntry<N>>,
    max_items: usize,
    /// Position among the items of differing parts.
    repair_cursor: usize,
    /// Position among the parts and slices to name in full.
    cursor: usize,
}

impl<N: NewsItem> NewsStore<N> {
    /// Returns an empty store.
    pub fn new(max_items: usize) -> Self {
        Self { entries: HashMap::new(), max_items, repair_cursor: 0, cursor: 0 }
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no items.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the bytes that the items take in messages.
    pub fn encoded_size(&self) -> usize {
        self.entries.values().map(|entry| entry.item.encoded_size()).sum()
    }

    /// Adds an item and returns whether it was new.
    pub fn insert(&mut self, item: N, age: ClockSpan, sends: u32, now: ClockTime) -> bool {
        let too_old = item.lifetime().is_some_and(|lifetime| age > lifetime.scaled(ACCEPT_SHARE));
        let key = item.key();
        if let Some(entry) = self.entries.get_mut(&key)
            && entry.item.revision() >= item.revision()
        {
            // Each copy received shows that fewer VMs still lack the item.
            entry.sends_left = entry.sends_left.saturating_sub(1);
            return false;
        }
        if too_old {
            return false;
        }
        let hash = hash_of(&item);
        let entry = NewsEntry { item, born: now - age, sends_left: sends, sends: 0, hash };
        self.entries.insert(key, entry);
        self.evict();
        true
    }

    fn evict(&mut self) {
        while self.entries.len() > self.max_items {
            let worst = self
                .entries
                .iter()
                .max_by_key(|(key, entry)| {
                    (entry.item.priority(), ClockTime::MAX.since(entry.born), (*key).clone())
                })
                .map(|(key, _)| key.clone());
            let Some(key) = worst else { return };
            self.entries.remove(&key);
        }
    }

    /// Drops expired items, and samples that were sent often enough.
    pub fn expire(&mut self, now: ClockTime) {
        self.entries.retain(|_, entry| {
            let spent = !entry.is_urgent() && entry.sends_left == 0;
            !spent && !entry.expired(now)
        });
    }

    /// Returns whether urgent items that were sent fewer than `most_sends` times are to be sent.
    pub fn has_rumours(&self, most_sends: u32) -> bool {
        self.entries.values().any(|entry| entry.is_hot(most_sends) && entry.is_urgent())
    }

    /// Returns the digest of the urgent items.
    pub fn digest(&self, now: ClockTime) -> NewsDigest {
        let mut digest = [0; DIGEST_PARTS];
        for entry in self.entries.values() {
            if entry.is_urgent() && !entry.expired(now) {
                digest[entry.part()] ^= entry.hash as u32;
            }
        }
        digest
    }

    /// Takes the urgent items, or the samples, to send next that fit in `room` bytes, least sent
    /// first and among those most urgent first. Items sent `most_sends` times and items for which `skip` holds are left out. Returns
    /// the items and the number left out for lack of room.
    pub fn take(
        &mut self,
        room: usize,
        urgent: bool,
        most_sends: u32,
        now: ClockTime,
        skip: impl Fn(&N::Key, u64) -> bool,
    ) -> (Vec<NewsEnvelope<N>>, u64) {
        let mut chosen: Vec<&mut NewsEntry<N>> = self
            .entries
            .iter_mut()
            .filter(|(key, entry)| {
                entry.is_hot(most_sends)
                    && entry.is_urgent() == urgent
                    && !entry.expired(now)
                    && !skip(key, entry.item.revision())
            })
            .map(|(_, entry)| entry)
            .collect();
        chosen.sort_by_key(|entry| (entry.sends, entry.item.priority(), entry.hash));
        let mut left = room;
        let mut cut = 0;
        let mut taken = Vec::new();
        for entry in chosen {
            let size = entry.encoded_size();
            if size > left {
                cut += 1;
                continue;
            }
            left -= size;
            entry.sends_left -= 1;
            entry.sends += 1;
            taken.push(entry.envelope(now));
        }
        (taken, cut)
    }

    /// Returns items in the parts that differ from `other`, as many as fit in `room` bytes. Half of
    /// the room is for the newest ones, because an item that a peer lacks is most likely new. For
    /// the rest a cursor rotates, so that repeated calls reach every item.
    pub fn repair(
        &mut self,
        other: &NewsDigest,
        room: usize,
        now: ClockTime,
        skip: impl Fn(&N::Key) -> bool,
    ) -> Vec<NewsEnvelope<N>> {
        let own = self.digest(now);
        let mut differing: Vec<&NewsEntry<N>> = self
            .entries
            .iter()
            .filter(|(key, entry)| {
                entry.is_urgent()
                    && !entry.expired(now)
                    && !skip(key)
                    && own[entry.part()] != other[entry.part()]
            })
            .map(|(_, entry)| entry)
            .collect();
        if differing.is_empty() {
            return Vec::new();
        }
        differing.sort_by_key(|entry| (now.since(entry.born), entry.hash));
        let mut chosen = Chosen { left: room / 2, taken: Vec::new(), now };
        let newest = chosen.fill(differing.iter().copied());
        differing.drain(..newest);
        chosen.left += room - room / 2;
        if !differing.is_empty() {
            let start = self.repair_cursor % differing.len();
            differing.rotate_left(start);
            let filled = chosen.fill(differing.into_iter());
            self.repair_cursor = self.repair_cursor.wrapping_add(filled);
        }
        chosen.taken
    }

    /// Returns one slice of the first part that differs from `other`, if one does. Parts and slices
    /// have their turn.
    pub fn held_slice(&mut self, other: &NewsDigest, now: ClockTime) -> Option<HeldSlice> {
        let own = self.digest(now);
        self.cursor = self.cursor.wrapping_add(1);
        let part = (0..DIGEST_PARTS)
            .map(|step| (self.cursor + step) % DIGEST_PARTS)
            .find(|part| own[*part] != other[*part])?;
        let urgent = || self.entries.values().filter(|entry| entry.is_urgent());
        let items = urgent().filter(|entry| entry.part() == part).count();
        let slices = items.div_ceil(SLICE_ITEMS).max(1);
        let slice = self.cursor / DIGEST_PARTS % slices;
        let mut held = HeldSlice { part, slices, slice, hashes: Vec::new() };
        held.hashes = urgent()
            .filter(|entry| held.covers(entry) && !entry.expired(now))
            .map(|entry| entry.hash as u32)
            .collect();
        held.hashes.sort_unstable();
        Some(held)
    }

    /// Returns the items of a slice that `held` does not name, as many as fit in `room` bytes.
    pub fn missing(
        &self,
        held: &HeldSlice,
        room: usize,
        now: ClockTime,
        skip: impl Fn(&N::Key) -> bool,
    ) -> Vec<NewsEnvelope<N>> {
        let mut lacking: Vec<&NewsEntry<N>> = self
            .entries
            .iter()
            .filter(|(key, entry)| {
                entry.is_urgent()
                    && !entry.expired(now)
                    && held.covers(entry)
                    && !held.hashes.contains(&(entry.hash as u32))
                    && !skip(key)
            })
            .map(|(_, entry)| entry)
            .collect();
        lacking.sort_by_key(|entry| (entry.item.priority(), entry.hash));
        let mut chosen = Chosen { left: room, taken: Vec::new(), now };
        chosen.fill(lacking.into_iter());
        chosen.taken
    }

    /// Returns the newest revision known for a key.
    pub fn revision(&self, key: &N::Key) -> Option<u64> {
        self.entries.get(key).map(|entry| entry.item.revision())
    }
}
