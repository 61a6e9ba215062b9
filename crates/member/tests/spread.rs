//! Time and bytes until every VM knows that an upstream is leaving, in the model.

mod model;

use base::prelude::*;
use model::{Model, upstream};

/// Time within which an upstream that leaves must get no more requests, by the design page.
const SPREAD: ClockSpan = ClockSpan::from_secs(3);
/// Bytes a second of one node's control traffic, by the design page.
const NODE_BYTES: f64 = 10_000.0;
/// Seconds in which the bytes of one node are averaged.
const BYTES_WINDOW: usize = 10;
/// Share of datagrams that are lost.
const LOSS: f64 = 0.1;
/// How long the store holds back its answers to the VM that reads for all, by the deployment page.
const HOLD: ClockSpan = ClockSpan::from_millis(600);
/// Time in which the VMs find one another and one of them begins to read for all.
const SETTLE_MS: u64 = 10_000;

struct SpreadCase {
    name: &'static str,
    vms: usize,
    marks: usize,
    /// Time from one mark to the next.
    period_ms: u64,
    seeds: std::ops::RangeInclusive<u64>,
}

/// What became of the marks of a case with one seed.
struct SpreadRun {
    /// For each mark, the time until every VM knew it.
    spans: Vec<Option<ClockSpan>>,
    /// Bytes a second of the busiest VM.
    peak_bytes: f64,
}

impl SpreadCase {
    fn run(&self, seed: u64) -> SpreadRun {
        let mut model = Model::holding(self.vms, LOSS, seed, HOLD);
        (0..self.marks).for_each(|index| model.put_upstream(index, false));
        model.run(SETTLE_MS);
        let begun = model.now();
        let mut set = vec![None; self.marks];
        let mut spans = vec![None; self.marks];
        let length = self.period_ms * self.marks as u64 + BYTES_WINDOW as u64 * 1000;
        for millis in 0..length {
            let index = (millis / self.period_ms) as usize;
            if millis % self.period_ms == 0 && index < self.marks {
                model.put_upstream(index, true);
                set[index] = Some(model.now());
            }
            model.run(1);
            for (index, set) in set.iter().enumerate() {
                if let Some(set) = set
                    && spans[index].is_none()
                    && model.all_know_leaving(&upstream(index))
                {
                    spans[index] = Some(model.now().since(*set));
                }
            }
        }
        let peak_bytes = model.peak_bytes(begun, BYTES_WINDOW);
        let longest = spans.iter().map(|span| span.unwrap_or(ClockSpan::from_secs(3600))).max();
        let longest = longest.unwrap_or(ClockSpan::ZERO);
        println!("{}, seed {seed}: last known after {longest}, {peak_bytes:.0} B/s", self.name);
        SpreadRun { spans, peak_bytes }
    }
}

struct TrafficCase {
    name: &'static str,
    vms: usize,
    /// How long one of the data centres is cut off.
    cut_ms: u64,
}

impl TrafficCase {
    /// Returns the bytes a second of the busiest VM, measured after the cut.
    fn peak_bytes(&self) -> f64 {
        let mut model = Model::holding(self.vms, LOSS, 11, HOLD);
        model.run(SETTLE_MS);
        if self.cut_ms > 0 {
            model.cut_centre(1);
            model.run(self.cut_ms);
            model.cut_centre(0);
        }
        let begun = model.now();
        model.run(2 * BYTES_WINDOW as u64 * 1000);
        let bytes = model.peak_bytes(begun, BYTES_WINDOW);
        println!("{}: {bytes:.0} B/s", self.name);
        bytes
    }
}

/// Guards against hellos and reads that cost a node more than 10 KB/s in 10 s while nothing
/// changes, or when a data centre that was cut off returns.
#[test]
fn traffic_without_changes_stays_in_budget() {
    let cases = [
        TrafficCase { name: "15 VMs", vms: 15, cut_ms: 0 },
        TrafficCase { name: "45 VMs", vms: 45, cut_ms: 0 },
        TrafficCase { name: "15 VMs after a cut", vms: 15, cut_ms: 70_000 },
    ];
    check_traffic(&cases);
}

/// Guards against the same with more VMs.
#[test]
fn traffic_of_many_vms_stays_in_budget() {
    let cases = [
        TrafficCase { name: "45 VMs after a cut", vms: 45, cut_ms: 70_000 },
        TrafficCase { name: "120 VMs", vms: 120, cut_ms: 0 },
    ];
    check_traffic(&cases);
}

fn check_traffic(cases: &[TrafficCase]) {
    let costs: Vec<_> = cases.iter().map(|case| (case.name, case.peak_bytes())).collect();
    for (name, bytes) in costs {
        assert!(bytes <= NODE_BYTES, "{name}: {bytes:.0} B/s");
    }
}

/// Guards against a VM that never learns of marks that were set while it reached neither its peers
/// nor the store, or while it was down.
#[test]
fn a_vm_that_was_away_learns_of_all_marks() {
    for restarts in [false, true] {
        let mut model = Model::holding(15, LOSS, 12, HOLD);
        (0..100).for_each(|index| model.put_upstream(index, false));
        model.run(SETTLE_MS);
        (model.vms[3].side, model.vms[3].store_reachable) = (1, false);
        model.vms[3].alive = !restarts;
        for index in 0..100 {
            model.put_upstream(index, true);
            model.run(600);
        }
        (model.vms[3].side, model.vms[3].store_reachable) = (0, true);
        if restarts {
            model.start(3);
        }
        model.run(SPREAD.as_millis());
        let known = (0..100).filter(|index| model.all_know_leaving(&upstream(*index))).count();
        assert_eq!(known, 100, "restarts {restarts}");
    }
}

/// Guards against marks that are lost while all VMs are restarted one after the other, or a third
/// of them, the one that reads for all included, is killed at once.
#[test]
fn marks_are_known_in_time_while_vms_fail() {
    const VMS: usize = 45;
    let mut model = Model::holding(VMS, LOSS, 13, HOLD);
    (0..2 * VMS).for_each(|index| model.put_upstream(index, false));
    model.run(SETTLE_MS);
    for index in 0..VMS {
        model.vms[index].alive = false;
        model.put_upstream(index, true);
        model.run(500);
        model.start(index);
        model.run(SPREAD.as_millis() - 500);
        assert!(model.all_know_leaving(&upstream(index)), "restart of VM {index}");
    }
    model.vms.iter_mut().step_by(3).for_each(|vm| vm.alive = false);
    for index in VMS..VMS + 10 {
        model.put_upstream(index, true);
        model.run(SPREAD.as_millis());
        assert!(model.all_know_leaving(&upstream(index)), "mark {index} after a third was killed");
    }
}

/// Guards against VMs that start together, or read at the same moment because of a change, and all
/// go on to read for all.
#[test]
fn one_vm_reads_for_all() {
    /// Reads a second of all VMs, by the deployment page.
    const READS_PER_SECOND: usize = 2;
    for vms in [2, 15, 45] {
        let mut model = Model::holding(vms, 0.0, 14, HOLD);
        model.put_upstream(0, false);
        model.run(SETTLE_MS);
        model.put_upstream(0, true);
        model.run(SPREAD.as_millis());
        let begun = model.now();
        model.run(10_000);
        let reads = model.reads_since(begun);
        assert!((1..=10 * READS_PER_SECOND).contains(&reads), "{vms} VMs: {reads} reads in 10 s");
    }
}

fn burst() -> SpreadCase {
    SpreadCase { name: "burst", vms: 45, marks: 30, period_ms: 100, seeds: 1..=10 }
}

/// Guards against a leaving upstream that a VM learns of too late: single ones at today's, the
/// design page's and the target number of VMs, and a burst, such as a service whose 30 upstreams
/// leave within 3 s, with 10% of the datagrams lost.
#[test]
fn drain_marks_are_known_in_time() {
    let case = |name, vms, marks| SpreadCase { name, vms, marks, period_ms: 2000, seeds: 1..=2 };
    for case in [case("15", 15, 15), case("45", 45, 10), case("120", 120, 3), burst()] {
        for seed in case.seeds.clone() {
            for (index, span) in case.run(seed).spans.iter().enumerate() {
                let in_time = span.is_some_and(|span| span <= SPREAD);
                assert!(in_time, "{}, seed {seed}, mark {index}: {span:?}", case.name);
            }
        }
    }
}

/// Guards against a burst of drain marks that costs a node more than 10 KB/s in 10 s.
#[test]
fn burst_of_drain_marks_stays_in_budget() {
    let case = burst();
    for seed in case.seeds.clone() {
        let bytes = case.run(seed).peak_bytes;
        assert!(bytes <= NODE_BYTES, "seed {seed}: {bytes:.0} B/s");
    }
}

/// Guards against an exchange whose bytes grow with the number of VMs, and against news that does
/// not reach all of 300 VMs in time.
#[test]
fn three_hundred_vms_cost_little_more_than_thirty() {
    /// Bytes of a VM among 300 in relation to one among 30, by the design page.
    const MOST: f64 = 1.3;
    const MARKS: usize = 2;
    let [few, many] = [30, 300].map(|vms| {
        let mut model = Model::holding(vms, LOSS, 15, HOLD);
        (0..MARKS).for_each(|index| model.put_upstream(index, false));
        model.run(5000);
        let begun = model.now();
        model.run(6000);
        let (mean, busiest) = model.mean_and_peak_bytes(begun);
        println!("{vms} VMs: mean {mean:.0} B/s, busiest {busiest:.0} B/s");
        for index in 0..MARKS {
            model.put_upstream(index, true);
            model.run(SPREAD.as_millis());
            assert!(model.all_know_leaving(&upstream(index)), "{vms} VMs, mark {index}");
        }
        (mean, busiest)
    });
    assert!(many.0 <= MOST * few.0, "mean: {:.0} and {:.0} B/s", few.0, many.0);
    assert!(many.1 <= MOST * few.1, "busiest: {:.0} and {:.0} B/s", few.1, many.1);
}
