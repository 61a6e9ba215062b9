//! How many calls a cold upstream gets. A cold upstream, which has not warmed up, tolerates a few
//! requests a second from all VMs together and crashes far above that.
//!
//! The VMs share no counter. Instead, each cold upstream is used by a few VMs, which every VM chooses
//! alike by rendezvous hashing, and each of them sends at a pace of its own. VMs whose views of the
//! membership differ choose partly different ones. At four requests a second, twice as many users send
//! at most 12 calls in any second, and 14 are tolerated.

use base::prelude::*;

use crate::rendezvous;

/// The number of VMs that use a cold upstream. With one, its failure would leave the upstream idle.
const COLD_USERS: usize = 3;

/// The live VMs, among which the users of a cold upstream are chosen.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ColdUsers {
    /// Seeds of the names of all VMs, this one included, and their data centres.
    vms: Vec<(u64, SharedName)>,
}

impl ColdUsers {
    /// Returns the users among `vms`, which are names and data centres.
    pub fn new<'a>(vms: impl IntoIterator<Item = (&'a SharedName, &'a SharedName)>) -> Self {
        let seed = |(name, centre): (&SharedName, &SharedName)| {
            (rendezvous::name_seed(name), centre.clone())
        };
        let mut vms: Vec<_> = vms.into_iter().map(seed).collect();
        vms.sort_unstable();
        Self { vms }
    }

    /// Returns whether the VM with the seed `own` uses a cold upstream. VMs in the upstream's data
    /// centre are preferred.
    pub fn includes(&self, own: u64, upstream: &str, centre: &str) -> bool {
        let near = |vm: &&(u64, SharedName)| vm.1 == *centre;
        let is_near_enough = self.vms.iter().filter(near).count() >= COLD_USERS;
        let candidates = self.vms.iter().filter(|vm| !is_near_enough || near(vm));
        let own_score = rendezvous::score(own, upstream);
        let mut is_listed = false;
        let better = candidates.filter(|(seed, _)| {
            is_listed |= *seed == own;
            *seed != own && rendezvous::score(*seed, upstream) > own_score
        });
        better.count() < COLD_USERS && is_listed
    }
}

/// Returns the time between two calls of one VM to a cold upstream that tolerates `rate` calls a
/// second from all VMs.
pub fn cold_interval(rate: f64) -> ClockSpan {
    const MILLIS_PER_SECOND: f64 = 1000.0;
    ClockSpan::from_millis_f64(MILLIS_PER_SECOND * COLD_USERS as f64 / rate)
}
