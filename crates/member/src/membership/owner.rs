//! Which VM owns an account's quota in a data centre, as far as this VM knows.

use base::prelude::*;
use directory::prelude::VmEntry;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::MembershipTable;

/// The VMs of this VM's own data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CentreView {
    /// VMs in service, this one included.
    pub live: usize,
    /// VMs that are in service or were lost without a shutdown.
    pub known: usize,
    /// Changes with the set of VMs in service and their incarnations.
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
    /// Returns the VM in `centre` that owns the quota of `account`: the one in service with the
    /// highest rendezvous score. Returns `None` if no VM there is in service.
    pub fn quota_owner(&self, account: &str, centre: &str) -> Option<&VmEntry> {
        let seed = xxh3_64_with_seed(account.as_bytes(), 0);
        let score = |entry: &VmEntry| xxh3_64_with_seed(entry.vm.name.as_bytes(), seed);
        let peers = self.vms.values().filter(|vm| vm.is_in_service()).map(|vm| &vm.entry);
        let all = peers.chain(std::iter::once(&self.own));
        all.filter(|entry| entry.vm.centre == *centre).max_by_key(|entry| score(entry))
    }

    /// Returns whether this VM owns the quota of `account` in its own data centre.
    pub fn owns_quota(&self, account: &str) -> bool {
        let owner = self.quota_owner(account, &self.own.vm.centre);
        owner.is_some_and(|owner| owner.vm.name == self.own.vm.name)
    }

    /// Returns what this VM knows of the VMs of its own data centre.
    pub fn centre_view(&self) -> CentreView {
        let mut view = CentreView { live: 1, known: 1, digest: 0 };
        let near = self.vms.values().filter(|vm| vm.entry.vm.centre == self.own.vm.centre);
        for vm in near {
            view.known += usize::from(!vm.shutting_down);
            if vm.is_in_service() {
                view.live += 1;
                let VmEntry { vm, .. } = &vm.entry;
                view.digest ^= xxh3_64_with_seed(vm.name.as_bytes(), vm.incarnation);
            }
        }
        view
    }

    /// Returns the names and data centres of the VMs in service, this one included.
    pub fn vms_in_service(&self) -> impl Iterator<Item = (&SharedName, &SharedName)> {
        let peers = self.vms.values().filter(|vm| vm.is_in_service()).map(|vm| &vm.entry);
        let all = peers.chain(std::iter::once(&self.own));
        all.map(|entry| (&entry.vm.name, &entry.vm.centre))
    }
}
