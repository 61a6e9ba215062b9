//! Prints time, allocations and memory of the choice of an upstream as lines of
//! `name value unit bound`, with `-` where there is no target. Run it in release mode.
#![allow(unsafe_code)]

use std::alloc::{GlobalAlloc, Layout, System};
use std::hint::black_box;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use base::prelude::*;
use route::prelude::*;
use world::prelude::*;

/// Numbers of candidates, each with the target for a choice in microseconds. The services of large
/// deployments have 118 upstreams.
const SIZES: [(usize, f64); 2] = [(30, 2.0), (118, 10.0)];
/// Number of upstreams that are probed before a call.
const SHORTLIST: usize = 2;
const ROUNDS: usize = 200_000;
/// The memory target for the control state of one VM.
const MEMORY_BOUND_KB: f64 = 32.0 * 1024.0;
const SCALE_UPSTREAMS: usize = 730;
const SCALE_SERVICES: usize = 140;

static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);
static LIVE_BYTES: AtomicU64 = AtomicU64::new(0);

/// Counts allocations and the bytes that are in use.
struct CountingAllocator;

// SAFETY: every call is passed on to the system allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        LIVE_BYTES.fetch_add(layout.size() as u64, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        LIVE_BYTES.fetch_sub(layout.size() as u64, Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Returns an environment with `upstreams` servers spread over `services`.
fn environment(services: usize, upstreams: usize) -> EnvironmentMap {
    let mut map = EnvironmentMap {
        name: SharedName::from("bench"),
        version: 1,
        digest: SharedName::from("digest"),
        centres: Vec::new(),
        links: Vec::new(),
        contracts: Vec::new(),
        upstreams: Default::default(),
        routes: RouteTable::default(),
        caller_limits: CallerLimits::default(),
        access: Default::default(),
    };
    for index in 0..upstreams {
        let service = SharedName::from(format!("service-{}", index % services));
        let server = UpstreamServer {
            name: SharedName::from(format!("upstream-{index}")),
            service: service.clone(),
            centre: SharedName::from("medeu"),
            address: ([127, 0, 0, 1], 10_000 + index as u16).into(),
            slots: 6,
            connections: 200,
            incarnation: 0,
            warm_up: ClockSpan::ZERO,
        };
        map.upstreams.entry(service).or_default().push(Arc::new(server));
    }
    map
}

fn table(map: &EnvironmentMap) -> UpstreamTable {
    let table = UpstreamTable::new(SharedName::from("medeu")).with_vm("vm-1");
    table.apply(map, ClockTime::ZERO);
    table
}

fn outcome(index: usize) -> CallOutcome {
    let load = LoadReport {
        in_flight: index as u32 % 6 + 1,
        slots: 6,
        queued: 0,
        pace_percent: Some(100 + index as u32 % 4 * 100),
        draining: false,
        age: ClockSpan::ZERO,
        source: ReportSource::Response,
    };
    let latency = ClockSpan::from_millis(8 + index as u64 % 5);
    CallOutcome { latency, result: CallResult::Success, load: Some(load) }
}

/// Returns candidates with evidence of every kind, so that each part of the cost is computed.
fn candidates(size: usize) -> Vec<UpstreamView> {
    (0..size)
        .map(|index| UpstreamView {
            own_in_flight: index as u32 % 3,
            oldest_at: Some(ClockTime::from_millis(990)),
            other_calls: index as f64 % 5.0,
            other_calls_mean: 2.0,
            reported_at: Some(ClockTime::from_millis(980 + index as u64 % 20)),
            pace: 1.0 + index as f64 % 4.0,
            paced_at: Some(ClockTime::from_millis(980 + index as u64 % 20)),
            pace_mean: 1.5,
            warm_up_until: Some(ClockTime::from_millis(990)),
            probe_timeout_at: Some(ClockTime::from_millis(900)),
            latency_ms: 9.0 + index as f64 % 20.0,
            tail_ms: 30.0,
            sampled_at: Some(ClockTime::from_millis(980)),
            service_ms: 10.0,
            failure_rate: 0.01,
            outcome_at: ClockTime::from_millis(900),
            failed_at: Some(ClockTime::from_millis(500)),
            contact_at: Some(ClockTime::from_millis(980)),
            round_trip_ms: 2.0 * (index % 3) as f64,
            preference: index as f64 / size as f64,
            ..UpstreamView::idle(6)
        })
        .collect()
}

/// Runs `work` [`ROUNDS`] times and returns the mean microseconds and allocations of one run.
fn measure(mut work: impl FnMut(usize)) -> (f64, f64) {
    (0..ROUNDS / 10).for_each(&mut work);
    let before = ALLOCATIONS.load(Ordering::Relaxed);
    let start = Instant::now();
    (0..ROUNDS).for_each(&mut work);
    let elapsed_us = start.elapsed().as_secs_f64() * 1e6;
    let allocations = ALLOCATIONS.load(Ordering::Relaxed) - before;
    (elapsed_us / ROUNDS as f64, allocations as f64 / ROUNDS as f64)
}

fn print_choose(policy: &PolicyKind, size: usize, bound_us: f64) {
    let views = candidates(size);
    let now = ClockTime::from_millis(1000);
    let mut random = RandomSource::from_seed(1);
    let (time_us, allocations) = measure(|_| {
        black_box(policy.choose(black_box(&views), now, &mut random));
    });
    println!("choose_{policy}_{size} {time_us:.3} us {bound_us}");
    println!("choose_{policy}_{size}_allocations {allocations:.3} count 0");
}

fn print_reserve(policy: &PolicyKind, size: usize) {
    let map = environment(1, size);
    let table = table(&map);
    let mut random = RandomSource::from_seed(1);
    let mut now = ClockTime::from_millis(1000);
    let (time_us, allocations) = measure(|index| {
        now = now + ClockSpan::from_hundredths(10);
        let reservation = table.reserve(policy, "service-0", &[], now, &mut random);
        table.finish(reservation.expect("a free server"), outcome(index), now);
    });
    println!("reserve_finish_{policy}_{size} {time_us:.3} us -");
    println!("reserve_finish_{policy}_{size}_allocations {allocations:.3} count 0");
    let (time_us, allocations) = measure(|_| {
        black_box(table.shortlist(policy, "service-0", &[], SHORTLIST, now, &mut random));
    });
    println!("shortlist_{policy}_{size} {time_us:.3} us -");
    println!("shortlist_{policy}_{size}_allocations {allocations:.3} count 1");
}

fn print_memory() {
    let map = environment(SCALE_SERVICES, SCALE_UPSTREAMS);
    let before = LIVE_BYTES.load(Ordering::Relaxed);
    let table = table(&map);
    let policy = PolicyKind::default();
    let mut random = RandomSource::from_seed(1);
    for index in 0..SCALE_UPSTREAMS * 10 {
        let now = ClockTime::from_millis(1000 + index as u64);
        let service = format!("service-{}", index % SCALE_SERVICES);
        let reservation = table.reserve(&policy, &service, &[], now, &mut random);
        table.finish(reservation.expect("a free server"), outcome(index), now);
    }
    let bytes = LIVE_BYTES.load(Ordering::Relaxed) - before;
    println!("memory_730_upstreams {:.1} KB {MEMORY_BOUND_KB}", bytes as f64 / 1024.0);
    println!("memory_per_upstream {:.0} bytes -", bytes as f64 / SCALE_UPSTREAMS as f64);
}

fn main() {
    for name in PolicyKind::NAMES {
        let policy: PolicyKind = name.parse().expect("a policy name");
        for (size, bound_us) in SIZES {
            print_choose(&policy, size, bound_us);
            print_reserve(&policy, size);
        }
    }
    print_memory();
}
