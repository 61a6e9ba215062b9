//! Neighbours of VMs and the broadcasts that they pass on.

mod model;

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use member::prelude::*;
use model::entry;

const NOW: ClockTime = ClockTime::from_millis(100_000);

/// Returns the tables of VMs that have all had contact with one another at [`NOW`], by address.
fn tables(vms: usize) -> BTreeMap<std::net::SocketAddr, MembershipTable> {
    let table = |index| {
        let mut table =
            MembershipTable::new(entry(index, 1), MembershipTuning::default(), index as u64);
        for other in 0..vms {
            table.add_entry(&entry(other, 1), NOW);
            table.observe_sender(&entry(other, 1).vm.name, 1, NOW);
        }
        (entry(index, 1).exchange_address, table)
    };
    (0..vms).map(table).collect()
}

/// Guards against broadcasts that do not reach every VM, that circulate without end, or that make
/// one VM send or receive more than the others.
#[test]
fn broadcasts_reach_every_vm_over_few_neighbours() {
    for vms in [1, 2, 3, 5, 6, 15, 45, 120, 300, 1_000] {
        let mut tables = tables(vms);
        let MembershipTuning { neighbours: count, bridges, .. } = MembershipTuning::default();
        let centres: BTreeMap<_, _> = tables
            .values()
            .map(|table| (table.own().exchange_address, table.own().vm.centre.clone()))
            .collect();
        let others_near = |own: &std::net::SocketAddr| {
            centres.values().filter(|centre| **centre == centres[own]).count() - 1
        };
        let (mut chosen_by, mut crossing) = (BTreeMap::new(), BTreeMap::new());
        for (own, table) in &mut tables {
            let neighbours = table.neighbours(NOW);
            assert!(!neighbours.contains(own), "{vms} VMs");
            let (near, far): (Vec<_>, Vec<_>) =
                neighbours.into_iter().partition(|to| centres[to] == centres[own]);
            assert_eq!(near.len(), count.min(others_near(own)), "{vms} VMs");
            near.into_iter().for_each(|to| *chosen_by.entry(to).or_insert(0) += 1);
            far.into_iter().for_each(|to| {
                *crossing.entry((centres[own].clone(), centres[&to].clone())).or_insert(0) += 1;
            });
        }
        // A VM that is next to another one on both rings is replaced by the one after it.
        let most = chosen_by.values().copied().max().unwrap_or(0);
        assert!(most <= count + 1, "{vms} VMs: one is the near neighbour of {most}");
        let used: BTreeSet<_> = centres.values().collect();
        assert_eq!(crossing.len(), used.len() * (used.len() - 1), "{vms} VMs: {crossing:?}");
        for ((from, to), links) in &crossing {
            assert!(*links <= bridges, "{vms} VMs: {links} links from {from} to {to}");
            assert_eq!(crossing[&(to.clone(), from.clone())], *links, "{vms} VMs: {from} and {to}");
        }

        let source = entry(0, 1).exchange_address;
        let source_table = tables.get_mut(&source).expect("the first VM");
        let (origin, next) = source_table.publish(NOW);
        let mut sent: Vec<_> = next.into_iter().map(|to| (source, to)).collect();
        let (mut reached, mut copies) = (BTreeSet::from([source]), 0);
        while let Some((from, to)) = sent.pop() {
            copies += 1;
            let sender = tables[&from].own().vm.name.clone();
            let table = tables.get_mut(&to).expect("a VM of the model");
            let Some(next) = table.receive_broadcast(&origin, &sender, NOW) else { continue };
            assert!(reached.insert(to), "{vms} VMs: {to} accepted the broadcast twice");
            assert!(!next.contains(&from), "{vms} VMs: {to} sends the broadcast back");
            sent.extend(next.into_iter().map(|next| (to, next)));
        }
        assert_eq!(reached.len(), vms);
        let crossing: usize = crossing.values().sum();
        assert!(copies <= vms * count + crossing, "{vms} VMs: {copies} datagrams");
    }
}

struct BroadcastCase {
    name: &'static str,
    incarnation: u64,
    number: u64,
    is_new: bool,
}

/// Guards against broadcasts that are dropped because they arrive out of order or after a restart,
/// and against ones that are accepted twice or from a process that has been replaced.
#[test]
fn broadcasts_are_received_once() {
    let case =
        |name, incarnation, number, is_new| BroadcastCase { name, incarnation, number, is_new };
    let cases = [
        case("first", 5, 3, true),
        case("again", 5, 3, false),
        case("next", 5, 4, true),
        case("earlier than the first one", 5, 1, true),
        case("earlier again", 5, 1, false),
        case("after a gap", 5, 60, true),
        case("in the gap", 5, 30, true),
        case("in the gap again", 5, 30, false),
        case("far ahead", 5, 5_000_000_000_000, true),
        case("too far back", 5, 60, false),
        case("of the predecessor", 4, 100, false),
        case("after a restart", 6, 1, true),
        case("of the process before the restart", 5, 5_000_000_000_001, false),
    ];
    let mut table = MembershipTable::new(entry(0, 1), MembershipTuning::default(), 3);
    let sender = entry(2, 1).vm.name;
    for BroadcastCase { name, incarnation, number, is_new } in cases {
        let origin = BroadcastId { vm: entry(1, 1).vm.name, incarnation, number };
        assert_eq!(table.receive_broadcast(&origin, &sender, NOW).is_some(), is_new, "{name}");
    }
    table.add_entry(&entry(1, 9), NOW);
    let replaced = BroadcastId { vm: entry(1, 1).vm.name, incarnation: 8, number: 1 };
    assert_eq!(
        table.receive_broadcast(&replaced, &sender, NOW),
        None,
        "of a VM known to be replaced"
    );
    let own = BroadcastId { vm: entry(0, 1).vm.name, incarnation: 1, number: 9 };
    assert_eq!(table.receive_broadcast(&own, &sender, NOW), None, "this VM's own broadcast");
}
