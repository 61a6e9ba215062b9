//! Which VM owns an account's quota in a data centre, as far as this VM knows.

use base::prelude::*;
use directory::prelude::VmEntry;
use world::prelude::VmIdentity;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::MembershipTable;

/// The VMs of this VM's own data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CentreView {
    /// VMs in service, and this one.
    pub live: usize,
    /// VMs that are in service or were lost without a shutdown.
    pub known: usize,
    /// Changes with the set of VMs that can own quotas and with their incarnations.
    pub digest: u64,
}

impl CentreView {
    /// Returns whether this VM hears from so many VMs that it cannot be cut off from most of them. A
    /// third, because half of a data centre may restart at once, and single VMs are cut off more
    /// often than a data centre is divided.
    pub fn has_contact(&self) -> bool {
        self.live * 3 > self.known
    }
}

impl MembershipTable {
    /// Records that this VM is shutting down. It must be called before the peers hear of it: from
    /// then on, they ask another owner.
    pub fn begin_shutdown(&mut self) {
        self.is_leaving = true;
    }

    /// Returns whether this VM is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns the VMs in service, with this one unless it is shutting down.
    fn serving(&self) -> impl Iterator<Item = &VmEntry> {
        let peers = self.vms.values().filter(|vm| vm.is_in_service()).map(|vm| &vm.entry);
        peers.chain((!self.is_leaving).then_some(&self.own))
    }

    /// Returns the VMs that are shutting down and still serve calls.
    fn leaving(&self) -> impl Iterator<Item = &VmEntry> {
        let peers = self.vms.values().filter(|vm| vm.is_leaving()).map(|vm| &vm.entry);
        peers.chain(self.is_leaving.then_some(&self.own))
    }

    /// Returns the VM in `centre` that owns the quota of `account`: the one in service with the
    /// highest rendezvous score. If all are shutting down, it is one of these. Returns `None` if
    /// there is no VM.
    pub fn quota_owner(&self, account: &str, centre: &str) -> Option<&VmEntry> {
        let seed = xxh3_64_with_seed(account.as_bytes(), 0);
        let score = |entry: &VmEntry| xxh3_64_with_seed(entry.vm.name.as_bytes(), seed);
        let is_near = |entry: &&VmEntry| entry.vm.centre == *centre;
        let owner = self.serving().filter(is_near).max_by_key(|entry| score(entry));
        owner.or_else(|| self.leaving().filter(is_near).max_by_key(|entry| score(entry)))
    }

    /// Returns whether this VM owns the quota of `account` in its own data centre.
    pub fn owns_quota(&self, account: &str) -> bool {
        let owner = self.quota_owner(account, &self.own.vm.centre);
        owner.is_some_and(|owner| owner.vm.name == self.own.vm.name)
    }

    /// Returns what this VM knows of the VMs of its own data centre.
    pub fn centre_view(&self) -> CentreView {
        let mut view = CentreView { live: 1, known: 1, digest: u64::from(self.is_leaving) };
        let near = self.vms.values().filter(|vm| vm.entry.vm.centre == self.own.vm.centre);
        for vm in near {
            view.known += usize::from(!vm.shutting_down);
            view.live += usize::from(vm.is_in_service());
            if vm.is_in_service() || vm.is_leaving() {
                let VmIdentity { name, incarnation, .. } = &vm.entry.vm;
                let digest = xxh3_64_with_seed(name.as_bytes(), *incarnation);
                view.digest ^= digest.rotate_left(u32::from(vm.is_leaving()));
            }
        }
        view
    }

    /// Returns the names and data centres of the VMs in service or, if there are none, of those that
    /// are shutting down.
    pub fn vms_in_service(&self) -> impl Iterator<Item = (&SharedName, &SharedName)> {
        let is_empty = self.serving().next().is_none();
        let all = self.serving().chain(self.leaving().filter(move |_| is_empty));
        all.map(|entry| (&entry.vm.name, &entry.vm.centre))
    }
}
