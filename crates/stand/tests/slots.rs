//! The slot table, service times and noise schedule, on virtual time.

use base::prelude::*;
use stand::noise::NoiseSchedule;
use stand::plan::{ColdStart, NoisePlan};
use stand::scan::MarkerScan;
use stand::service::ServiceTime;
use stand::slot::{LoadFigures, QueueExit, SlotTable};

const SAMPLES: usize = 20_001;

enum Step {
    Arrive { at: u64, deadline: Option<u64>, starts: bool, queues: bool },
    Finish { at: u64, exits: &'static [(&'static str, usize)] },
    Cancel { at: u64, id: &'static str, confirmed: bool },
    Take { at: u64, slots: u32, exits: &'static [(&'static str, usize)] },
    Report { at: u64, figures: (u32, u32) },
}

struct SlotCase {
    name: &'static str,
    slots: u32,
    queue: u32,
    lag: u64,
    steps: &'static [Step],
}

use Step::{Arrive, Cancel, Finish, Report, Take};

fn exits(table: &mut SlotTable<usize>, now: ClockTime) -> Vec<(&'static str, usize)> {
    std::iter::from_fn(|| table.next_exit(now))
        .map(|exit| match exit {
            QueueExit::Started(id) => ("started", id),
            QueueExit::Expired(id) => ("expired", id),
        })
        .collect()
}

/// Guards against requests that overtake the queue, run after their deadline or cancellation, and
/// against load reports that are fresher or older than the plan says.
#[test]
fn slots_and_queue_follow_the_plan() {
    let cases = [
        SlotCase {
            name: "first come, first served, then shed",
            slots: 1,
            queue: 1,
            lag: 0,
            steps: &[
                Arrive { at: 0, deadline: None, starts: true, queues: false },
                Arrive { at: 0, deadline: None, starts: false, queues: true },
                Arrive { at: 0, deadline: None, starts: false, queues: false },
                Finish { at: 1, exits: &[("started", 1)] },
                Report { at: 1, figures: (1, 0) },
            ],
        },
        SlotCase {
            name: "queued work past its deadline is dropped",
            slots: 1,
            queue: 2,
            lag: 0,
            steps: &[
                Arrive { at: 0, deadline: None, starts: true, queues: false },
                Arrive { at: 0, deadline: Some(5), starts: false, queues: true },
                Arrive { at: 0, deadline: Some(6), starts: false, queues: true },
                Finish { at: 5, exits: &[("expired", 1), ("started", 2)] },
            ],
        },
        SlotCase {
            name: "cancelled work is never started",
            slots: 1,
            queue: 2,
            lag: 0,
            steps: &[
                Arrive { at: 0, deadline: None, starts: true, queues: false },
                Arrive { at: 0, deadline: None, starts: false, queues: true },
                Cancel { at: 1, id: "0", confirmed: false },
                Cancel { at: 1, id: "1", confirmed: true },
                Cancel { at: 1, id: "1", confirmed: false },
                Finish { at: 2, exits: &[] },
                Report { at: 2, figures: (0, 0) },
            ],
        },
        SlotCase {
            name: "a neighbour takes slots unseen",
            slots: 2,
            queue: 2,
            lag: 0,
            steps: &[
                Take { at: 0, slots: 1, exits: &[] },
                Arrive { at: 0, deadline: None, starts: true, queues: false },
                Arrive { at: 0, deadline: None, starts: false, queues: true },
                Report { at: 1, figures: (1, 1) },
                Take { at: 2, slots: 0, exits: &[("started", 1)] },
            ],
        },
        SlotCase {
            name: "reports lag",
            slots: 2,
            queue: 2,
            lag: 100,
            steps: &[
                Arrive { at: 10, deadline: None, starts: true, queues: false },
                Report { at: 109, figures: (0, 0) },
                Report { at: 110, figures: (1, 0) },
                Finish { at: 150, exits: &[] },
                Report { at: 249, figures: (1, 0) },
                Report { at: 250, figures: (0, 0) },
            ],
        },
    ];
    for case in cases {
        let mut table = SlotTable::new(case.slots, case.queue);
        table.set_lag(ClockSpan::from_millis(case.lag), ClockTime::ZERO);
        let mut arrivals = 0;
        for (index, step) in case.steps.iter().enumerate() {
            let place = format!("{}, step {index}", case.name);
            let millis = ClockTime::from_millis;
            match *step {
                Arrive { at, deadline, starts, queues } => {
                    let id = arrivals;
                    arrivals += 1;
                    let started = table.try_start(millis(at));
                    assert_eq!(started, starts, "{place}");
                    if !started {
                        let request = Some(SharedName::from(id.to_string()));
                        let seat = table.enqueue(request, deadline.map(millis), id, millis(at));
                        assert_eq!(seat.is_some(), queues, "{place}");
                    }
                }
                Finish { at, exits: expected } => {
                    table.finish(millis(at));
                    assert_eq!(exits(&mut table, millis(at)), expected, "{place}");
                }
                Cancel { at, id, confirmed } => {
                    assert_eq!(table.cancel(id, millis(at)).is_some(), confirmed, "{place}");
                }
                Take { at, slots, exits: expected } => {
                    table.take_slots(slots);
                    assert_eq!(exits(&mut table, millis(at)), expected, "{place}");
                }
                Report { at, figures: (in_flight, queued) } => {
                    let expected = LoadFigures { in_flight, slots: case.slots, queued };
                    assert_eq!(table.reported(millis(at)), expected, "{place}");
                }
            }
        }
    }
}

struct TimeCase {
    time: ServiceTime,
    median: f64,
}

/// Guards against a distribution whose centre differs from the plan's.
#[test]
fn service_times_have_the_planned_median() {
    let cases = [
        TimeCase { time: ServiceTime::Fixed { ms: 3.0 }, median: 3.0 },
        TimeCase {
            time: ServiceTime::Exponential { mean_ms: 10.0 },
            median: 10.0 * std::f64::consts::LN_2,
        },
        TimeCase { time: ServiceTime::LogNormal { median_ms: 8.0, sigma: 0.5 }, median: 8.0 },
    ];
    for case in cases {
        let mut random = RandomSource::from_seed(7);
        let mut drawn: Vec<f64> =
            (0..SAMPLES).map(|_| case.time.draw(&mut random).as_millis_f64()).collect();
        drawn.sort_by(f64::total_cmp);
        let median = drawn[SAMPLES / 2];
        // Four standard errors of the median of the widest case are under 3%.
        let error = (median / case.median - 1.0).abs();
        assert!(error < 0.03, "{:?}: median {median}, seed 7", case.time);
    }
}

/// Guards against a cold upstream that never warms up, or starts warm.
#[test]
fn cold_start_ends() {
    let cold = ColdStart { for_ms: 50, factor: 4.0 };
    for (age, factor) in [(0, 4.0), (49, 4.0), (50, 1.0)] {
        assert_eq!(cold.factor_at(ClockSpan::from_millis(age)), factor, "at {age} ms");
    }
}

/// Guards against noise that differs between two runs with one seed.
#[test]
fn noise_is_repeatable() {
    let plan = NoisePlan { every_ms: 100.0, for_ms: 30.0, slots: 1, factor: 1.0 };
    let bursts = |seed| {
        let mut schedule = NoiseSchedule::new(plan, seed);
        (0..100).map(|_| schedule.next_burst()).collect::<Vec<_>>()
    };
    assert_eq!(bursts(3), bursts(3));
    assert_ne!(bursts(3), bursts(4));
}

struct ScanCase {
    chunks: &'static [&'static str],
    found: bool,
}

/// Guards against a marker that is missed because it is split over chunks.
#[test]
fn marker_is_found_across_chunks() {
    let cases = [
        ScanCase { chunks: &["crash=1"], found: true },
        ScanCase { chunks: &["say cra", "sh=1 now"], found: true },
        ScanCase { chunks: &["c", "r", "a", "s", "h", "=", "1"], found: true },
        ScanCase { chunks: &["a long chunk cras", "h", "=1 and a long chunk"], found: true },
        ScanCase { chunks: &["crash", " ", "=1"], found: false },
        ScanCase { chunks: &[], found: false },
    ];
    for case in cases {
        let mut scan = MarkerScan::default();
        for chunk in case.chunks {
            scan.push(chunk.as_bytes());
        }
        assert_eq!(scan.found(), case.found, "{:?}", case.chunks);
    }
}
