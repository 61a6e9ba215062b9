//! Which VM owns the quota of an account while VMs shut down.

use base::prelude::*;
use directory::entry::VmEntry;
use member::prelude::*;
use world::prelude::VmIdentity;

const CENTRE: &str = "medeu";
const VMS: u8 = 3;
const ACCOUNTS: usize = 20;
const NOW: ClockTime = ClockTime::from_millis(50_000);

fn entry(number: u8) -> VmEntry {
    let address = ([127, 0, 0, number], 7_200).into();
    let name = SharedName::from(format!("vm-{number}"));
    VmEntry {
        vm: VmIdentity { name, incarnation: 1, centre: CENTRE.into() },
        control_address: address,
        exchange_address: address,
    }
}

/// Returns the tables of all VMs, each of which knows the others.
fn tables() -> Vec<MembershipTable> {
    let table = |own: u8| {
        let mut table = MembershipTable::new(entry(own), MembershipTuning::default(), own.into());
        for other in (0..VMS).filter(|other| *other != own) {
            table.add_entry(&entry(other), NOW);
            table.observe_sender(&entry(other).vm.name, 1, NOW);
        }
        table
    };
    (0..VMS).map(table).collect()
}

struct OwnerCase {
    name: &'static str,
    /// The VMs that shut down, in order.
    leaving: &'static [u8],
    /// The VMs of which at least one owns an account afterwards.
    owners: &'static [u8],
}

const OWNER_CASES: &[OwnerCase] = &[
    OwnerCase { name: "none shuts down", leaving: &[], owners: &[0, 1, 2] },
    OwnerCase { name: "one shuts down", leaving: &[1], owners: &[0, 2] },
    OwnerCase { name: "one stays", leaving: &[1, 2], owners: &[0] },
    OwnerCase { name: "all shut down", leaving: &[2, 0, 1], owners: &[0, 1, 2] },
];

/// Guards against two owners of one quota: a VM that shuts down went on as the owner for its own
/// callers, while the others asked the next VM (review/8). Guards also against calls to cold
/// upstreams by a VM that the others no longer count.
#[test]
fn a_vm_that_shuts_down_hands_its_quotas_over() {
    for case in OWNER_CASES {
        let mut tables = tables();
        for leaving in case.leaving {
            let before: Vec<u64> = tables.iter().map(|table| table.centre_view().digest).collect();
            for (own, table) in tables.iter_mut().enumerate() {
                if own == usize::from(*leaving) {
                    table.begin_shutdown();
                } else {
                    table.record_shutdown(&entry(*leaving).vm.name, 1);
                }
            }
            for (table, before) in tables.iter().zip(before) {
                assert_ne!(table.centre_view().digest, before, "{}", case.name);
            }
        }
        let mut owners = Vec::new();
        for account in 0..ACCOUNTS {
            let account = format!("account-{account}");
            let own = tables.iter().filter(|table| table.owns_quota(&account));
            let own: Vec<_> = own.map(|table| table.own().vm.name.clone()).collect();
            assert_eq!(own.len(), 1, "{}: {account} has the owners {own:?}", case.name);
            for table in &tables {
                let known = table.quota_owner(&account, CENTRE).map(|owner| &owner.vm.name);
                assert_eq!(known, own.first(), "{}", case.name);
            }
            owners.extend(own);
        }
        owners.sort_unstable();
        owners.dedup();
        let expected: Vec<_> = case.owners.iter().map(|vm| entry(*vm).vm.name).collect();
        assert_eq!(owners, expected, "{}", case.name);
        for table in &tables {
            let mut users: Vec<_> = table.vms_in_service().map(|(name, _)| name.clone()).collect();
            users.sort_unstable();
            assert_eq!(users, expected, "{}", case.name);
        }
    }
}
