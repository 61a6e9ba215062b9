//! Calls to cold upstreams, over all VMs together.

mod support;

use std::sync::Arc;

use base::prelude::*;
use route::prelude::*;
use support::*;
use world::prelude::*;

/// The requests per second that a cold upstream tolerates, and the bound on what all VMs send.
const COLD_RATE: f64 = 4.1;
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 8.0;

fn cold_environment(version: u64, rate: Option<f64>, warm_up: ClockSpan) -> EnvironmentMap {
    let mut map = environment(version, &[near("a", 6), near("b", 6)]);
    Arc::make_mut(&mut map.contracts[0]).cold_rate = rate;
    let servers = map.upstreams.get_mut(SERVICE).expect("a service");
    Arc::make_mut(&mut servers[0]).warm_up = warm_up;
    map
}

/// Returns the most calls to the cold upstream in any second over all VMs, and how many it got.
fn calls_to_cold(vms: usize, rate: Option<f64>, differing: bool) -> (usize, usize) {
    let names: Vec<SharedName> = (0..vms).map(|index| format!("vm-{index}").into()).collect();
    let centre = SharedName::from("medeu");
    let mut random = RandomSource::from_seed(SEED);
    let start = ClockTime::from_millis(1_000);
    let tables: Vec<UpstreamTable> = names
        .iter()
        .map(|name| {
            let table = UpstreamTable::new(centre.clone()).with_vm(name);
            table.apply(&cold_environment(1, rate, ClockSpan::from_secs(60)), start);
            // A VM whose view differs lacks a tenth of the others.
            let lacks = differing && random.unit() < 0.5;
            let known =
                names.iter().filter(|other| *other == name || !lacks || random.unit() > 0.1);
            table.set_cold_users(ColdUsers::new(known.map(|known| (known, &centre))));
            table
        })
        .collect();
    let policy = PolicyKind::Random(RandomChoice);
    let mut times = Vec::new();
    for step in 0..400_u64 {
        let now = start + ClockSpan::from_millis(step * 10);
        for table in &tables {
            let reserved = table.reserve(&policy, SERVICE, &[], now, &mut random);
            let is_cold = reserved.is_ok_and(|reserved| reserved.upstream().as_str() == "a");
            times.extend(is_cold.then_some(now));
        }
    }
    let second = ClockSpan::from_secs(1);
    let within = |from: ClockTime| {
        times.iter().filter(|time| **time >= from && **time < from + second).count()
    };
    (times.iter().map(|time| within(*time)).max().unwrap_or(0), times.len())
}

struct FleetCase {
    vms: usize,
    differing: bool,
}

/// Guards against VMs that together send a cold upstream more than it tolerates, so that it crashes,
/// and against a cold upstream that no VM uses. Without the limit, the bound is exceeded.
#[test]
fn all_vms_together_respect_the_limit_of_a_cold_upstream() {
    let bound = (COLD_RATE * OVERSHOOT + SLACK) as usize;
    let cases =
        [30, 118, 472].map(|vms| [false, true].map(|differing| FleetCase { vms, differing }));
    for FleetCase { vms, differing } in cases.into_iter().flatten() {
        let (most, all) = calls_to_cold(vms, Some(COLD_RATE), differing);
        assert!(most <= bound, "{vms} VMs, differing {differing}: {most} calls in a second");
        assert!(all >= 8, "{vms} VMs, differing {differing}: {all} calls in 4 s");
    }
    assert!(calls_to_cold(30, None, false).0 > bound);
}

/// Guards against a wait that outlasts the warm-up, against a refusal while another upstream can take
/// the call, and against health checks that occupy the slots of a cold upstream.
#[test]
fn calls_wait_for_a_cold_upstream_or_use_another_one() {
    let mut vm = TestVm::new(&[near("a", 6), near("b", 6)], RouteTuning::STANDARD);
    let (vm_name, centre) = (SharedName::from("vm-1"), SharedName::from("medeu"));
    vm.table.apply(&cold_environment(2, Some(COLD_RATE), ClockSpan::from_secs(3)), vm.now);
    let mut send = |excluded: &[SharedName], now: ClockTime| {
        vm.table.reserve(&vm.policy, SERVICE, excluded, now, &mut vm.random)
    };
    let warm = [SharedName::from("b")];
    // The VM does not know yet whether it may use the cold upstream.
    let reserved = send(&warm, vm.now).expect("the other upstream takes the call");
    assert_eq!(reserved.upstream().as_str(), "b");
    vm.table.set_cold_users(ColdUsers::new([(&vm_name, &centre)]));
    let mut on_cold = 0;
    for step in 0..300 {
        let now = vm.now + ClockSpan::from_millis(step * 10);
        let reserved = vm.table.reserve(&vm.policy, SERVICE, &warm, now, &mut vm.random);
        on_cold += usize::from(reserved.is_ok_and(|reserved| reserved.upstream().as_str() == "a"));
        assert!(!vm.table.accepts_checks("a", now) || step >= 300);
        assert!(vm.table.accepts_checks("b", now));
    }
    assert!((3..=6).contains(&on_cold), "{on_cold} calls in 3 s");
    let end = vm.now + ClockSpan::from_secs(3);
    assert!(vm.table.accepts_checks("a", end));
}
