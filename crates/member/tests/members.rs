//! The VMs that a VM learns of from the lists of its peers, and what it sends to them.

mod model;

use base::prelude::*;
use member::prelude::*;
use model::entry;

const NOW: ClockTime = ClockTime::from_millis(100_000);
/// VMs of the largest deployment of the users.
const VMS: usize = 472;
/// Time from one call of `due_hellos` to the next.
const TICK: ClockSpan = ClockSpan::from_millis(100);

fn table(own: usize) -> MembershipTable {
    MembershipTable::new(entry(own, 1), MembershipTuning::default(), own as u64)
}

fn notice(index: usize, silent: ClockSpan) -> MemberNotice {
    MemberNotice { entry: entry(index, 1), silent_ms: silent.as_millis() }
}

/// Returns the hellos that a VM sends in its first seconds, of which none is answered, and whether
/// it counts a VM of the list as lost after that.
fn first_hellos(tuning: MembershipTuning) -> (usize, bool) {
    let mut table = MembershipTable::new(entry(0, 1), tuning, 7);
    let list: Vec<_> = (1..VMS).map(|index| notice(index, ClockSpan::ZERO)).collect();
    table.merge_members(&list, NOW);
    let ticks = ClockSpan::from_secs(3).as_millis() / TICK.as_millis();
    let sent = (0..ticks).map(|tick| table.due_hellos(NOW + TICK.scaled(tick as f64)).len()).sum();
    (sent, table.live_entries().count() < VMS - 1)
}

/// Guards against a VM that starts among many and sends hellos to each of them: 472 VMs that start
/// together sent 0.7 million.
#[test]
fn a_vm_that_joins_many_sends_few_hellos() {
    let tuning = MembershipTuning::default();
    // The neighbours, and three a second to the others.
    let most = (tuning.direct_vms + 4 * tuning.neighbours) * tuning.fast_tries as usize;
    let (sent, _) = first_hellos(tuning.clone());
    let (sent_to_all, _) = first_hellos(MembershipTuning { direct_vms: VMS, ..tuning });
    println!("{sent} hellos, {sent_to_all} if they are sent to all");
    assert!(sent <= most, "{sent} hellos");
    assert!(sent_to_all > most, "{sent_to_all} hellos without the limit");
}

struct ListCase {
    name: &'static str,
    /// How long ago this VM itself heard of the other, if it did.
    own_silence_ms: Option<u64>,
    /// Whether a neighbour reported it lost, and how long it had been silent then.
    loss_ms: Option<u64>,
    /// How long ago the peer heard of it.
    list_silence_ms: u64,
    is_live: bool,
}

/// Guards against a VM that stays lost although a peer has heard of it since, and against one that
/// has failed and becomes live again by an old list.
#[test]
fn lists_of_peers_count_by_their_age() {
    let case = |name, own_silence_ms, loss_ms, list_silence_ms, is_live| ListCase {
        name,
        own_silence_ms,
        loss_ms,
        list_silence_ms,
        is_live,
    };
    let cases = [
        case("never heard of", None, None, 9_000, true),
        case("heard of", Some(500), None, 9_000, true),
        case("lost, heard of since", Some(8_000), Some(4_000), 1_000, true),
        case("lost, heard of before", Some(8_000), Some(4_000), 9_000, false),
        case("lost, heard of before its neighbour did", Some(8_000), Some(4_000), 6_000, false),
    ];
    for case in cases {
        let mut table = table(0);
        let vm = entry(1, 1).vm.name;
        if let Some(silence) = case.own_silence_ms {
            let at = NOW - ClockSpan::from_millis(silence);
            table.add_entry(&entry(1, 1), at);
            table.observe_sender(&vm, 1, at);
        }
        if let Some(silent) = case.loss_ms {
            let silent_ms = silent as u32;
            table.record_loss_report(&LostVm { vm: vm.clone(), incarnation: 1, silent_ms }, NOW);
            assert_eq!(table.live_entries().count(), 0, "{}", case.name);
        }
        let silence = ClockSpan::from_millis(case.list_silence_ms);
        table.merge_members(&[notice(1, silence), notice(0, ClockSpan::ZERO)], NOW);
        assert_eq!(table.live_entries().count() == 1, case.is_live, "{}", case.name);
        let listed = table.members(NOW).iter().any(|notice| notice.entry.vm.name == vm);
        assert_eq!(listed, case.is_live, "{}", case.name);
    }
}

/// Guards against a VM that never corrects what it missed of the others, and against one that asks
/// its peers all the time.
#[test]
fn a_vm_asks_often_after_its_start_and_then_rarely() {
    let mut table = table(0);
    let asks = |table: &mut MembershipTable, from: u64, to: u64| {
        let ticks = (from..to).step_by(100).map(|at| NOW + ClockSpan::from_millis(at));
        ticks.filter(|now| table.due_query(*now).is_some()).count()
    };
    assert_eq!(asks(&mut table, 0, 10_000), 0, "without a peer");
    table.merge_members(&[notice(3, ClockSpan::ZERO)], NOW + ClockSpan::from_secs(10));
    let rounds = MembershipTuning::default().query_rounds as usize;
    assert_eq!(asks(&mut table, 10_000, 20_000), rounds, "in the first seconds");
    let later = asks(&mut table, 20_000, 20_000 + 600_000);
    assert!((6..=20).contains(&later), "{later} in the following ten minutes");
}
