//! The overlay network over which broadcasts spread, and the broadcasts that this VM has received.
//!
//! A broadcast is a message that every VM passes on to its neighbours. The VMs of a data centre form
//! rings, each in the order of a different hash of their names. The neighbours of a VM are those
//! next to it on each ring, so that each VM is a neighbour of as many VMs as it has neighbours.
//! Between each two data centres, a few VMs of both are neighbours as well: bytes between data
//! centres have a price, and with neighbours anywhere each broadcast crossed a border about three
//! times for each VM.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Neighbours of a VM on one ring: its predecessor and its successor.
const RING_NEIGHBOURS: usize = 2;
/// Seed of the hashes that choose bridges, apart from those of the rings.
const BRIDGE_SEED: u64 = u64::MAX;
/// How many sequence numbers behind the newest one a broadcast of a VM may arrive: the bits of a
/// word. The designated reader sends at most ten messages a second, and a message takes a few
/// milliseconds to reach all VMs.
const WINDOW: u64 = u64::BITS as u64;

/// Identifies a broadcast.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct BroadcastId {
    /// The VM that sent it first.
    pub vm: SharedName,
    /// The incarnation of that VM.
    pub incarnation: u64,
    /// Sequence number within that incarnation.
    pub number: u64,
}

/// A VM as the overlay sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct OverlayVm<'a> {
    /// The name of the VM.
    pub name: &'a SharedName,
    /// The data centre of the VM.
    pub centre: &'a SharedName,
}

/// How many neighbours a VM has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct OverlayDegree {
    /// Neighbours of a VM in its own data centre.
    pub near: usize,
    /// VMs of each data centre that have a neighbour in a given other one.
    pub bridges: usize,
}

/// Returns the neighbours of `own` among `others`, which must not contain it.
pub(crate) fn select_neighbours<'a>(
    own: OverlayVm<'a>,
    others: &[OverlayVm<'a>],
    degree: OverlayDegree,
) -> Vec<&'a SharedName> {
    let near: Vec<&SharedName> =
        others.iter().filter(|vm| vm.centre == own.centre).map(|vm| vm.name).collect();
    let mut chosen = ring_neighbours(own.name, &near, degree.near);
    let centres: BTreeSet<&SharedName> =
        others.iter().map(|vm| vm.centre).chain([own.centre]).collect();
    let with_own: Vec<_> = near.iter().copied().chain([own.name]).collect();
    for centre in centres.iter().copied().filter(|centre| *centre != own.centre) {
        let ranked = ranked_bridges(own.centre, &with_own, centre, &centres, degree.bridges);
        let Some(rank) = ranked.iter().position(|name| *name == own.name) else { continue };
        let far: Vec<_> =
            others.iter().filter(|vm| vm.centre == centre).map(|vm| vm.name).collect();
        let far = ranked_bridges(centre, &far, own.centre, &centres, degree.bridges);
        chosen.extend(links_of(rank, ranked.len(), far.len()).map(|index| far[index]));
    }
    chosen
}

/// Returns the indices of the VMs on the other side with which the VM of `rank` is linked, if this
/// side has `near` bridges and the other side `far`. A side with fewer bridges uses each of them for
/// several links.
fn links_of(rank: usize, near: usize, far: usize) -> impl Iterator<Item = usize> {
    let links = near.max(far);
    (0..links).filter(move |link| link % near == rank).map(move |link| link % far)
}

/// Returns the VMs of `centre` that are linked with `partner`. Each VM has one partner for which it
/// is preferred, so that a VM is rarely linked with several data centres.
fn ranked_bridges<'a>(
    centre: &SharedName,
    names: &[&'a SharedName],
    partner: &SharedName,
    centres: &BTreeSet<&SharedName>,
    count: usize,
) -> Vec<&'a SharedName> {
    let partners: Vec<_> = centres.iter().filter(|other| **other != centre).collect();
    let rank = |name: &&SharedName| {
        let hash = xxh3_64_with_seed(name.as_bytes(), BRIDGE_SEED);
        let preferred = partners[(hash % partners.len() as u64) as usize];
        (**preferred != *partner, hash)
    };
    let mut names = names.to_vec();
    names.sort_by_cached_key(rank);
    names.truncate(count);
    names
}

/// Returns up to `count` neighbours of `own` on the rings of `names`, which must not contain it.
///
/// A VM next to `own` on several rings counts once. VMs that lack neighbours for this reason choose
/// each other, so that none becomes the neighbour of many.
fn ring_neighbours<'a>(
    own: &'a SharedName,
    names: &[&'a SharedName],
    count: usize,
) -> Vec<&'a SharedName> {
    if names.len() <= count {
        return names.to_vec();
    }
    let names: Vec<_> = names.iter().copied().chain([own]).collect();
    let rings = count / RING_NEIGHBOURS;
    let mut adjacent: BTreeMap<&SharedName, BTreeSet<&SharedName>> = BTreeMap::new();
    for ring in 0..rings {
        let order = ring_order(&names, ring as u64);
        for (index, name) in order.iter().enumerate() {
            let next = order[(index + 1) % order.len()];
            adjacent.entry(*name).or_default().insert(next);
            adjacent.entry(next).or_default().insert(*name);
        }
    }
    let mut chosen: Vec<&SharedName> = adjacent[own].iter().copied().collect();
    if chosen.len() == count {
        return chosen;
    }
    let order = ring_order(&names, rings as u64);
    let lacking: Vec<_> =
        order.iter().copied().filter(|name| adjacent[name].len() < count).collect();
    let candidates = others_by_distance(own, &lacking).chain(others_by_distance(own, &order));
    for name in candidates {
        if chosen.len() < count && !chosen.contains(&name) {
            chosen.push(name);
        }
    }
    chosen
}

/// Returns the names in their order on a ring.
fn ring_order<'a>(names: &[&'a SharedName], ring: u64) -> Vec<&'a SharedName> {
    let mut order = names.to_vec();
    order.sort_by_cached_key(|name| xxh3_64_with_seed(name.as_bytes(), ring));
    order
}

/// Returns the other names of a ring, alternately after and before `own`, the nearest first.
fn others_by_distance<'a>(
    own: &SharedName,
    ring: &[&'a SharedName],
) -> impl Iterator<Item = &'a SharedName> {
    let length = ring.len();
    let position = ring.iter().position(|name| *name == own).unwrap_or(0);
    let at = move |distance: usize| {
        let ahead = (position + distance) % length.max(1);
        let behind = (position + length - distance) % length.max(1);
        [ahead, behind]
    };
    (1..length.div_ceil(2) + 1)
        .flat_map(at)
        .filter(move |index| *index != position)
        .map(|index| ring[index])
}

/// The broadcasts of one VM that this VM has received.
#[derive(Clone, Copy, Debug)]
struct SeenBroadcasts {
    incarnation: u64,
    /// The highest sequence number received.
    newest: u64,
    /// Bit map of the sequence numbers received: bit `n` stands for `newest - n`.
    arrived: u64,
    /// When the latest broadcast arrived.
    at: ClockTime,
}

/// The broadcasts that this VM has received, by the VM that sent them first.
#[derive(Clone, Debug, Default)]
pub(crate) struct BroadcastHistory {
    seen: BTreeMap<SharedName, SeenBroadcasts>,
}

impl BroadcastHistory {
    /// Records a broadcast and returns whether it is new. At most `limit` VMs are kept; the one
    /// whose last broadcast is oldest is removed first.
    pub(crate) fn record(&mut self, origin: &BroadcastId, limit: usize, now: ClockTime) -> bool {
        let BroadcastId { vm, incarnation, number } = origin;
        let first =
            SeenBroadcasts { incarnation: *incarnation, newest: *number, arrived: 0, at: now };
        let Some(seen) = self.seen.get_mut(vm) else {
            self.seen.insert(vm.clone(), SeenBroadcasts { arrived: 1, ..first });
            self.remove_oldest(limit);
            return true;
        };
        if *incarnation < seen.incarnation {
            return false;
        }
        if *incarnation > seen.incarnation {
            *seen = first;
        }
        seen.at = now;
        seen.record(*number)
    }

    fn remove_oldest(&mut self, limit: usize) {
        if self.seen.len() <= limit {
            return;
        }
        let oldest = self.seen.iter().min_by_key(|(_, seen)| seen.at);
        if let Some(vm) = oldest.map(|(vm, _)| vm.clone()) {
            self.seen.remove(&vm);
        }
    }
}

impl SeenBroadcasts {
    fn record(&mut self, number: u64) -> bool {
        if number > self.newest {
            let shift = u32::try_from(number - self.newest).unwrap_or(u32::MAX);
            self.arrived = self.arrived.checked_shl(shift).unwrap_or(0);
            self.newest = number;
        }
        let age = self.newest - number;
        if age >= WINDOW {
            return false;
        }
        let is_new = self.arrived & (1 << age) == 0;
        self.arrived |= 1 << age;
        is_new
    }
}
