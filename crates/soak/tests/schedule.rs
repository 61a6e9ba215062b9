//! Properties of schedules that runs depend on.

use std::collections::HashSet;

use base::prelude::*;
use soak::prelude::*;

/// The number of seeds for which each property is checked.
const SEEDS: u64 = 300;
/// The latest end of a fault. A run must end within 30 s, of which the times without faults, the
/// last calls and the stop of the processes need 9 s at most.
const LATEST_END: ClockSpan = ClockSpan::from_secs(21);

/// Guards against a schedule that depends on anything but its seed, so that a failed run could not
/// be repeated.
#[test]
fn a_seed_always_gives_the_same_schedule() {
    let mut texts = HashSet::new();
    for seed in 0..SEEDS {
        let schedule = FaultSchedule::draw(seed);
        assert_eq!(schedule, FaultSchedule::draw(seed));
        texts.insert(schedule.to_string());
    }
    assert_eq!(texts.len() as u64, SEEDS, "two seeds give the same schedule");
}

/// Guards against faults that are out of order, hardly overlap, or end too late for the time limit
/// of a run.
#[test]
fn faults_are_in_order_and_overlap() {
    for seed in 0..SEEDS {
        let schedule = FaultSchedule::draw(seed);
        let faults = &schedule.faults;
        assert!(faults.is_sorted_by_key(|fault| fault.at), "seed {seed}");
        assert!(schedule.end() <= LATEST_END, "seed {seed}");
        let overlaps = faults.windows(2).filter(|pair| pair[0].end() > pair[1].at).count();
        assert!(overlaps * 2 > faults.len(), "seed {seed}: {overlaps} of {}", faults.len());
    }
}

/// Returns the name of the kind of a fault, without its target and figures.
fn kind(fault: SoakFault) -> String {
    let name = |text: String| text.split([' ', '(', '{']).next().unwrap_or_default().to_owned();
    match fault {
        SoakFault::Link { link, fault: LinkFault::Cut(way) } => {
            format!("{} cut {way:?}", name(format!("{link:?}")))
        }
        SoakFault::Link { link, fault } => {
            format!("{} {}", name(format!("{link:?}")), name(format!("{fault:?}")))
        }
        SoakFault::Store(StoreFault::Down(outage)) => format!("store {outage:?}"),
        SoakFault::Store(fault) => format!("store {}", name(format!("{fault:?}"))),
        SoakFault::Upstream { fault: UpstreamFault::Answers { fault, .. }, .. } => {
            format!("answers {}", name(format!("{fault:?}")))
        }
        SoakFault::Upstream { fault: UpstreamFault::Checks { fault, .. }, .. } => {
            format!("checks {}", name(format!("{fault:?}")))
        }
        SoakFault::Upstream { fault, .. } => format!("upstream {}", name(format!("{fault:?}"))),
        SoakFault::Process { fault, .. } => format!("process {fault:?}"),
        SoakFault::Config(fault) => format!("config {fault:?}"),
    }
}

/// Guards against a kind of fault that no seed draws, which runs would then never test.
#[test]
fn every_kind_of_fault_is_drawn() {
    let schedules = (0..SEEDS).map(FaultSchedule::draw);
    let kinds: HashSet<String> =
        schedules.flat_map(|schedule| schedule.faults).map(|fault| kind(fault.fault)).collect();
    // 3 links with 7 faults, 11 of the store, 16 of answers, 12 of checks, 5 others of upstreams,
    // 4 of processes and 2 of the configuration.
    assert_eq!(kinds.len(), 21 + 11 + 16 + 12 + 5 + 4 + 2, "{kinds:?}");
}

/// Guards against schedules in which no change of the configuration follows a short outage of the
/// store in calm.
#[test]
fn changes_follow_short_outages() {
    let calm = ClockSpan::from_secs(3);
    for seed in 0..SEEDS {
        let schedule = FaultSchedule::draw(seed);
        let follows_outage = |change: &ScheduledFault| {
            schedule.faults.iter().any(|fault| {
                let is_outage = matches!(fault.fault, SoakFault::Store(_));
                is_outage && fault.end() + calm <= change.at
            })
        };
        let is_change =
            |fault: &&ScheduledFault| fault.fault == SoakFault::Config(ConfigFault::Newer);
        assert!(schedule.faults.iter().filter(is_change).any(follows_outage), "seed {seed}");
    }
}
