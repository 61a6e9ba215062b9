//! Rendezvous hashing, which gives each VM its own order of preference among the upstreams of a
//! service.
//!
//! Many VMs share servers with few slots, and each knows only its own calls. With different orders
//! of preference, their first choices differ without any exchange between them.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the rendezvous score of `upstream` for the VM with `vm_seed`; higher is preferred.
///
/// Adding or removing an upstream changes no other score, and VMs need not know of one another.
pub fn score(vm_seed: u64, upstream: &str) -> u64 {
    xxh3_64_with_seed(upstream.as_bytes(), vm_seed)
}

/// Returns the hash of a name, for use as a seed.
pub fn name_seed(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 0)
}
