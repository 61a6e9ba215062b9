//! Rendezvous hashing of fingerprints to upstreams and VMs.

use base::prelude::*;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the owner VM among `members`, which grants the isolated runs of the suspects of one
/// crash, or `None` if there are no members. `key` is the [`hash_name`] of the crashed upstream.
/// All VMs with the same members return the same VM.
pub fn owner(key: u64, members: &[SharedName]) -> Option<&SharedName> {
    members.iter().max_by_key(|member| (weight(key, member), *member))
}

/// Returns the shuffle shard of a fingerprint: the `count` upstreams with the highest rendezvous
/// weights. All VMs with the same upstreams return the same shard.
pub fn shard_upstreams<'a>(
    fingerprint: u64,
    upstreams: impl Iterator<Item = &'a SharedName>,
    count: usize,
) -> SmallVec<[&'a SharedName; 4]> {
    let mut best: SmallVec<[(u64, &SharedName); 4]> = SmallVec::new();
    for upstream in upstreams {
        let entry = (weight(fingerprint, upstream), upstream);
        let position = best.partition_point(|other| *other > entry);
        if position < count {
            best.insert(position, entry);
            best.truncate(count);
        }
    }
    best.into_iter().map(|(_, upstream)| upstream).collect()
}

/// Returns the key for [`owner`], from the name of an upstream.
pub fn hash_name(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 0)
}

fn weight(key: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), key)
}
