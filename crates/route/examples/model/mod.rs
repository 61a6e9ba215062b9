//! A seeded model of several gateways that share the servers of one service.
//!
//! Servers are FIFO queues with a number of slots. A noisy neighbour slows a server for tens of
//! milliseconds. Each VM has its own [`UpstreamTable`] and hears of load only on the responses to
//! its own calls, optionally as it was some time ago.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;

use base::prelude::*;
use route::prelude::*;
use world::prelude::*;

/// The service of the model.
pub const SERVICE: &str = "model";

/// One run of the model.
#[derive(Clone, Copy, Debug)]
pub struct ModelCase {
    pub name: &'static str,
    pub servers: usize,
    pub slots: u32,
    pub vms: usize,
    /// Data centres, over which servers and VMs are spread in turn.
    pub centres: usize,
    /// Round trip between two data centres. It is added to the latency of calls to another one.
    pub round_trip_ms: f64,
    /// Share of all slots that the offered work takes.
    pub load: f64,
    /// Mean work of a call, of which half is fixed and half exponential.
    pub work_ms: f64,
    /// Mean time between two visits of a noisy neighbour to a server.
    pub noise_every_ms: f64,
    /// Mean length of a visit.
    pub noise_ms: f64,
    /// Speed of a server during a visit, relative to its normal speed.
    pub noise_speed: f64,
    /// How old the load on a response is; the report claims to be fresh.
    pub report_lag_ms: f64,
    pub calls: usize,
    pub seed: u64,
}

/// What a run measured, in milliseconds from arrival at the gateway to the end of the call.
#[derive(Clone, Copy, Debug)]
pub struct ModelResult {
    pub mean_ms: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// Share of calls that found all slots of their server taken.
    pub collisions: f64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum EventKind {
    Arrival { vm: usize },
    Wake { vm: usize },
    End { server: usize, call: usize },
}

#[derive(Debug, Default)]
struct ModelServer {
    running: u32,
    queue: VecDeque<usize>,
    /// Start and end of the noisy neighbour's visits.
    visits: Vec<(f64, f64)>,
    /// Load after each change: time, running, queued.
    history: VecDeque<(f64, u32, u32)>,
}

struct ModelCall {
    vm: usize,
    arrived_ms: f64,
    sent_ms: f64,
    work_ms: f64,
    server: usize,
    ticket: Option<UpstreamTicket>,
}

struct ModelVm {
    table: UpstreamTable,
    random: RandomSource,
    queue: VecDeque<usize>,
}

struct Model<'a> {
    case: &'a ModelCase,
    policy: PolicyKind,
    random: RandomSource,
    events: BinaryHeap<Reverse<(u64, u64, EventKind)>>,
    sequence: u64,
    servers: Vec<ModelServer>,
    vms: Vec<ModelVm>,
    calls: Vec<ModelCall>,
    latencies: Vec<f64>,
    collisions: usize,
}

fn centre_name(index: usize) -> SharedName {
    SharedName::from(format!("centre-{index}"))
}

fn links(case: &ModelCase) -> Vec<LinkCost> {
    let one_way = ClockSpan::from_millis_f64(case.round_trip_ms / 2.0);
    let pairs = (0..case.centres).flat_map(|from| (0..from).map(move |to| (from, to)));
    pairs
        .map(|(from, to)| LinkCost { from: centre_name(from), to: centre_name(to), one_way })
        .collect()
}

/// Returns the environment of a case.
fn environment(case: &ModelCase) -> EnvironmentMap {
    let upstreams = (0..case.servers)
        .map(|index| {
            Arc::new(UpstreamServer {
                name: SharedName::from(format!("server-{index}")),
                service: SharedName::from(SERVICE),
                centre: centre_name(index % case.centres),
                address: ([127, 0, 0, 1], 9000 + index as u16).into(),
                slots: case.slots,
                connections: 200,
                incarnation: 0,
                warm_up: ClockSpan::ZERO,
            })
        })
        .collect();
    EnvironmentMap {
        name: SharedName::from("model"),
        version: 1,
        digest: SharedName::from("digest"),
        centres: Vec::new(),
        links: links(case),
        contracts: Vec::new(),
        upstreams: [(SharedName::from(SERVICE), upstreams)].into(),
        routes: RouteTable::default(),
        caller_limits: CallerLimits::default(),
    }
}

/// Runs the model with one policy.
pub fn run(case: &ModelCase, policy: PolicyKind, tuning: RouteTuning) -> ModelResult {
    let mut model = Model::new(case, policy, tuning);
    while let Some(Reverse((steps, _, kind))) = model.events.pop() {
        let now_ms = steps as f64 / STEPS_PER_MS;
        match kind {
            EventKind::Arrival { vm } => model.arrive(vm, now_ms),
            EventKind::Wake { vm } => model.dispatch(vm, now_ms),
            EventKind::End { server, call } => model.end(server, call, now_ms),
        }
    }
    model.result()
}

const STEPS_PER_MS: f64 = 1000.0;

impl<'a> Model<'a> {
    fn new(case: &'a ModelCase, policy: PolicyKind, tuning: RouteTuning) -> Self {
        let map = environment(case);
        let mut random = RandomSource::from_seed(case.seed);
        let span_ms = case.calls as f64 / case.calls_per_ms();
        let servers =
            (0..case.servers).map(|_| ModelServer::new(case, span_ms, &mut random)).collect();
        let vms = (0..case.vms)
            .map(|index| {
                let table = UpstreamTable::new(centre_name(index % case.centres))
                    .with_vm(&format!("vm-{index}"))
                    .with_tuning(tuning);
                table.apply(&map, ClockTime::ZERO);
                let seed = case.seed * 1000 + index as u64;
                ModelVm { table, random: RandomSource::from_seed(seed), queue: VecDeque::new() }
            })
            .collect();
        let mut model = Self {
            case,
            policy,
            random,
            events: BinaryHeap::new(),
            sequence: 0,
            servers,
            vms,
            calls: Vec::with_capacity(case.calls),
            latencies: Vec::with_capacity(case.calls),
            collisions: 0,
        };
        (0..case.vms).for_each(|vm| model.plan_arrival(vm, 0.0));
        model
    }

    fn schedule(&mut self, at_ms: f64, kind: EventKind) {
        self.sequence += 1;
        let steps = (at_ms * STEPS_PER_MS) as u64;
        self.events.push(Reverse((steps, self.sequence, kind)));
    }

    fn plan_arrival(&mut self, vm: usize, now_ms: f64) {
        let gap_ms = self.random.exponential(self.case.vms as f64 / self.case.calls_per_ms());
        self.schedule(now_ms + gap_ms, EventKind::Arrival { vm });
    }

    fn arrive(&mut self, vm: usize, now_ms: f64) {
        if self.calls.len() >= self.case.calls {
            return;
        }
        let half_ms = self.case.work_ms / 2.0;
        let work_ms = half_ms + self.random.exponential(half_ms);
        self.vms[vm].queue.push_back(self.calls.len());
        self.calls.push(ModelCall {
            vm,
            arrived_ms: now_ms,
            sent_ms: now_ms,
            work_ms,
            server: 0,
            ticket: None,
        });
        self.plan_arrival(vm, now_ms);
        self.dispatch(vm, now_ms);
    }

    fn dispatch(&mut self, vm: usize, now_ms: f64) {
        let now = ClockTime::ZERO + ClockSpan::from_millis_f64(now_ms);
        while let Some(call) = self.vms[vm].queue.front().copied() {
            let own = &mut self.vms[vm];
            match own.table.reserve(&self.policy, SERVICE, &[], now, &mut own.random) {
                Ok(ticket) => {
                    own.queue.pop_front();
                    self.send(call, ticket, now_ms);
                }
                Err(NoUpstream::AllFull { retry_in, .. }) => {
                    if let Some(span) = retry_in {
                        self.schedule(now_ms + span.as_millis_f64(), EventKind::Wake { vm });
                    }
                    return;
                }
                Err(refusal) => panic!("{refusal}"),
            }
        }
    }

    fn send(&mut self, call: usize, ticket: UpstreamTicket, now_ms: f64) {
        let server: usize = ticket.upstream()["server-".len()..].parse().expect("a model name");
        let entry = &mut self.calls[call];
        entry.server = server;
        entry.sent_ms = now_ms;
        entry.ticket = Some(ticket);
        if self.servers[server].running < self.case.slots {
            self.start(server, call, now_ms);
        } else {
            self.collisions += 1;
            self.servers[server].queue.push_back(call);
        }
        self.servers[server].note(now_ms);
    }

    fn start(&mut self, server: usize, call: usize, now_ms: f64) {
        let work_ms = self.calls[call].work_ms;
        self.servers[server].running += 1;
        let end_ms = self.servers[server].end_of(now_ms, work_ms, self.case.noise_speed);
        self.schedule(end_ms, EventKind::End { server, call });
    }

    fn end(&mut self, server: usize, call: usize, now_ms: f64) {
        let (running, queued) = self.servers[server].load_at(now_ms - self.case.report_lag_ms);
        self.servers[server].running -= 1;
        if let Some(next) = self.servers[server].queue.pop_front() {
            self.start(server, next, now_ms);
        }
        self.servers[server].note(now_ms);
        let entry = &mut self.calls[call];
        let load = LoadReport {
            in_flight: running,
            slots: self.case.slots,
            queued,
            pace_percent: None,
            draining: false,
            age: ClockSpan::ZERO,
            source: ReportSource::Response,
        };
        let is_near = entry.vm % self.case.centres == server % self.case.centres;
        let link_ms = if is_near { 0.0 } else { self.case.round_trip_ms };
        let latency = ClockSpan::from_millis_f64(now_ms - entry.sent_ms + link_ms);
        let outcome = CallOutcome { latency, result: CallResult::Success, load: Some(load) };
        let now = ClockTime::ZERO + ClockSpan::from_millis_f64(now_ms);
        let ticket = entry.ticket.take().expect("a call ends once");
        let vm = entry.vm;
        self.latencies.push(now_ms - entry.arrived_ms + link_ms);
        self.vms[vm].table.finish(ticket, outcome, now);
        self.dispatch(vm, now_ms);
    }

    fn result(mut self) -> ModelResult {
        // The first tenth of the run fills the empty system.
        let mut steady = self.latencies.split_off(self.latencies.len() / 10);
        steady.sort_by(f64::total_cmp);
        let at = |share: f64| steady[((steady.len() - 1) as f64 * share) as usize];
        ModelResult {
            mean_ms: steady.iter().sum::<f64>() / steady.len() as f64,
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            collisions: self.collisions as f64 / self.calls.len() as f64,
        }
    }
}

impl ModelCase {
    /// Returns the arrival rate over all VMs. Time under noise counts as lost capacity.
    fn calls_per_ms(&self) -> f64 {
        let noise_share = self.noise_ms / (self.noise_every_ms + self.noise_ms);
        let speed = 1.0 - noise_share * (1.0 - self.noise_speed);
        self.load * speed * self.servers as f64 * f64::from(self.slots) / self.work_ms
    }
}

impl ModelServer {
    fn new(case: &ModelCase, span_ms: f64, random: &mut RandomSource) -> Self {
        let mut visits = Vec::new();
        let mut at_ms = random.exponential(case.noise_every_ms);
        while at_ms < span_ms {
            let end_ms = at_ms + random.exponential(case.noise_ms);
            visits.push((at_ms, end_ms));
            at_ms = end_ms + random.exponential(case.noise_every_ms);
        }
        Self { visits, ..Self::default() }
    }

    /// Returns when work that starts now is done, given the visits that slow it.
    fn end_of(&self, now_ms: f64, mut work_ms: f64, noise_speed: f64) -> f64 {
        let mut at_ms = now_ms;
        let first = self.visits.partition_point(|(_, end_ms)| *end_ms <= now_ms);
        for (start_ms, end_ms) in &self.visits[first..] {
            let free_ms = (start_ms - at_ms).max(0.0);
            if work_ms <= free_ms {
                return at_ms + work_ms;
            }
            work_ms -= free_ms;
            at_ms = at_ms.max(*start_ms);
            let slowed_ms = (end_ms - at_ms) * noise_speed;
            if work_ms <= slowed_ms {
                return at_ms + work_ms / noise_speed;
            }
            work_ms -= slowed_ms;
            at_ms = *end_ms;
        }
        at_ms + work_ms
    }

    fn note(&mut self, now_ms: f64) {
        self.history.push_back((now_ms, self.running, self.queue.len() as u32));
        if self.history.len() > HISTORY_LIMIT {
            self.history.pop_front();
        }
    }

    fn load_at(&self, at_ms: f64) -> (u32, u32) {
        let after = self.history.partition_point(|(time_ms, ..)| *time_ms <= at_ms);
        after.checked_sub(1).map_or((0, 0), |index| {
            let (_, running, queued) = self.history[index];
            (running, queued)
        })
    }
}

const HISTORY_LIMIT: usize = 20_000;
