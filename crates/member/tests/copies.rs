//! Which peers a VM asks for what it misses, and when a VM that starts reads the store itself.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use base::prelude::*;
use directory::entry::VmEntry;
use member::prelude::*;
use world::prelude::VmIdentity;

const SEED: u64 = 25;
const DRAWS: usize = 400;

fn entry(name: &str, centre: &str, port: u16) -> VmEntry {
    let vm = VmIdentity { name: name.into(), incarnation: 1, centre: centre.into() };
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    VmEntry { vm, exchange_address: address, control_address: address }
}

struct AskCase {
    name: &'static str,
    reach: AskReach,
    /// For each peer: its data centre and whether it was heard of.
    peers: &'static [(&'static str, bool)],
    /// The numbers of the peers that are asked first, and those that are asked second.
    first: &'static [u16],
    second: &'static [u16],
}

/// Guards against requests to VMs that do not answer, against answers that cross data centres
/// without need, and against a change that never leaves the data centre that has it.
#[test]
fn a_vm_asks_one_peer_nearby_and_then_any() {
    use AskReach::{Any, Centre};
    let case = |name, reach, peers, first, second| AskCase { name, reach, peers, first, second };
    let mixed = &[("a", true), ("a", true), ("b", true)];
    let cases = [
        case("alone", Any, &[], &[], &[]),
        case("near and far", Any, mixed, &[0, 1], &[0, 1, 2]),
        case("only far", Any, &[("b", true), ("c", true)], &[0, 1], &[]),
        case("one near", Any, &[("a", true), ("b", true)], &[0], &[1]),
        case("not heard of", Any, &[("a", false), ("b", true)], &[1], &[]),
        case("of near and far, the near ones", Centre, mixed, &[0, 1], &[0, 1]),
        case("of one near", Centre, &[("a", true), ("b", true)], &[0], &[]),
        case("none near", Centre, &[("b", true), ("c", true)], &[0, 1], &[]),
    ];
    for case in cases {
        let tuning = MembershipTuning::default();
        let mut table = MembershipTable::new(entry("own", "a", 1), tuning, SEED);
        let now = ClockTime::from_millis(1);
        for (number, (centre, heard)) in case.peers.iter().enumerate() {
            let name = format!("vm-{number}");
            table.add_entry(&entry(&name, centre, 1_000 + number as u16), now);
            if *heard {
                table.observe_sender(&name.as_str().into(), 1, now);
            }
        }
        let (mut first, mut second) = (BTreeSet::new(), BTreeSet::new());
        for _ in 0..DRAWS {
            let asked: Vec<u16> = table
                .peers_to_ask(case.reach)
                .iter()
                .map(|address| address.port() - 1_000)
                .collect();
            assert!(asked.len() <= 2, "{}", case.name);
            // A VM without a near peer has only the second one.
            let near = case.peers.iter().any(|(centre, heard)| *centre == "a" && *heard);
            first.extend(asked.first());
            if near {
                second.extend(asked.get(1));
            }
        }
        assert_eq!(first, case.first.iter().copied().collect(), "{}", case.name);
        assert_eq!(second, case.second.iter().copied().collect(), "{}", case.name);
    }
}

/// The VMs that read the store before the first one of them has spread what it read.
const SPREAD_TIME: ClockSpan = ClockSpan::from_millis(100);

/// Guards against VMs that start together and all read the store, and against a lone VM that waits
/// for peers.
#[test]
fn few_of_many_vms_that_start_together_read_the_store() {
    for vms in [1_usize, 20, 100, 300, 1_000] {
        let tuning = MembershipTuning::default();
        let delays: Vec<ClockSpan> = (0..vms)
            .map(|own| {
                let own = entry("own", "a", 1 + own as u16);
                let seed = SEED + u64::from(own.control_address.port());
                let mut table = MembershipTable::new(own, tuning.clone(), seed);
                for number in 1..vms {
                    let peer = entry(&format!("vm-{number}"), "a", 2_000);
                    table.add_entry(&peer, ClockTime::ZERO);
                }
                table.start_delay()
            })
            .collect();
        let earliest = *delays.iter().min().expect("a VM");
        let readers = delays.iter().filter(|delay| **delay <= earliest + SPREAD_TIME).count();
        println!("{vms} VMs: first after {earliest}, {readers} read");
        assert!(readers <= 10, "{vms} VMs: {readers} read the store");
        assert!(vms > 1 || earliest == ClockSpan::ZERO, "a lone VM waits {earliest}");
    }
}
