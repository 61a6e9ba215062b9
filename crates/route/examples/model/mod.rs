//! A seeded model of several gateways that share the servers of one service.
//!
//! Servers are FIFO queues with a number of slots. A noisy neighbour, other work on the same
//! machine, slows a server for tens of milliseconds at a time. Each VM has its own
//! [`UpstreamTable`] and receives load reports only on the responses to its own calls, optionally
//! with a delay. [`paced`] varies the work and the noise, and lets VMs probe.
#![allow(dead_code)]

pub mod paced;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;

use base::prelude::*;
use limit::prelude::*;
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
    /// Data centres, to which servers and VMs are assigned in turn.
    pub centres: usize,
    /// Round-trip time between two data centres, added to the latency of calls between them.
    pub round_trip_ms: f64,
    /// Share of all slots that the offered work occupies.
    pub load: f64,
    /// Mean work of a call, of which half is fixed and half exponential.
    pub work_ms: f64,
    /// Mean time between two intervals in which a noisy neighbour slows a server.
    pub noise_every_ms: f64,
    /// Mean length of such an interval.
    pub noise_ms: f64,
    /// Speed of a slowed server relative to its normal speed.
    pub noise_speed: f64,
    /// Age of the load on a response; the report itself claims an age of zero.
    pub report_lag_ms: f64,
    pub calls: usize,
    pub seed: u64,
}

impl ModelCase {
    /// Six-slot servers in one data centre with a noisy neighbour.
    pub const SIX_SLOTS: Self = Self {
        name: "six-slot, 12 servers",
        servers: 12,
        slots: 6,
        vms: 15,
        centres: 1,
        round_trip_ms: 2.0,
        load: 0.7,
        work_ms: 10.0,
        noise_every_ms: 500.0,
        noise_ms: 40.0,
        noise_speed: 0.1,
        report_lag_ms: 0.0,
        calls: 60_000,
        seed: 1,
    };
}

/// What a run measured. Latencies are from the arrival at the gateway to the end of the call, in
/// milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct ModelResult {
    pub mean_ms: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// Share of calls that ended within the latency objective.
    pub within: f64,
    /// Share of calls that stayed within their data centre.
    pub near: f64,
    /// Share of calls that found all slots of their server occupied.
    pub collisions: f64,
    /// Probes for each call.
    pub probes: f64,
}

/// The behaviour of the work and the servers of a model.
pub trait ModelRules {
    fn case(&self) -> &ModelCase;
    /// Returns the arrival rate over all VMs.
    fn calls_per_ms(&self) -> f64;
    /// Draws the work of a call.
    fn work_ms(&self, random: &mut RandomSource) -> f64;
    /// Draws the start and end of the intervals in which each server is slowed.
    fn noise_intervals(&self, span_ms: f64, random: &mut RandomSource) -> Vec<Vec<(f64, f64)>>;
    /// Returns the factor on the work of a call that starts when `running` calls run, itself
    /// included.
    fn load_factor(&self, running: u32) -> f64;
    /// Returns the pace that a server reports, in percent of the usual service time.
    fn pace_percent(&self, slowed: bool) -> Option<u32>;
    /// Returns the time within which a call should end.
    fn objective_ms(&self) -> f64;
}

/// When a VM probes before a call.
#[derive(Clone, Copy, Debug)]
pub struct ProbePlan {
    /// Age of the evidence on the best candidate from which the VM probes, in milliseconds.
    pub evidence_ms: f64,
    /// Number of candidates that are probed at the same time, the best ones first.
    pub count: usize,
    /// How often the VM may rank and probe the candidates before a call.
    pub rounds: u32,
}

/// How the VMs of a model choose.
#[derive(Clone, Copy, Debug)]
pub enum ModelChoice {
    /// By a policy, on the evidence of each VM.
    Policy(PolicyKind),
    /// By a policy, after probes.
    Probed(PolicyKind, ProbePlan),
    /// As `Probed`, but the call is sent only if it is expected to meet the objective; otherwise it
    /// waits or is refused.
    Admission(PolicyKind, ProbePlan),
    /// By the present load and pace of every server, without knowledge of the future.
    Oracle,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum EventKind {
    Arrival { vm: usize },
    ProbeAnswer { server: usize, call: usize },
    Wake { vm: usize },
    Recheck { call: usize },
    End { server: usize, call: usize },
}

#[derive(Debug, Default)]
struct ModelServer {
    running: u32,
    queue: VecDeque<usize>,
    /// Start and end of the intervals in which the server is slowed.
    noise_intervals: Vec<(f64, f64)>,
    /// Load after each change: time, running, queued.
    history: VecDeque<(f64, u32, u32)>,
}

struct ModelCall {
    vm: usize,
    arrived_ms: f64,
    sent_ms: f64,
    work_ms: f64,
    /// Probes that have not been answered yet.
    probes: u32,
    /// Rounds of probes that have been sent.
    rounds: u32,
    /// Whether it has waited for a better server.
    waited: bool,
    /// Its expected latency divided by the typical one.
    slowdown: Option<f64>,
    server: usize,
    reservation: Option<UpstreamReservation>,
}

struct ModelVm {
    table: UpstreamTable,
    admission: AdmissionPolicy,
    random: RandomSource,
    queue: VecDeque<usize>,
}

struct Model<'a, R> {
    rules: &'a R,
    case: &'a ModelCase,
    choice: ModelChoice,
    random: RandomSource,
    events: BinaryHeap<Reverse<(u64, u64, EventKind)>>,
    sequence: u64,
    servers: Vec<ModelServer>,
    vms: Vec<ModelVm>,
    calls: Vec<ModelCall>,
    latencies: Vec<f64>,
    near: usize,
    collisions: usize,
    probes: usize,
}

fn centre_name(index: usize) -> SharedName {
    SharedName::from(format!("centre-{index}"))
}

fn server_name(index: usize) -> SharedName {
    SharedName::from(format!("server-{index}"))
}

fn server_index(name: &str) -> usize {
    name["server-".len()..].parse().expect("a model name")
}

fn time_at(now_ms: f64) -> ClockTime {
    ClockTime::ZERO + ClockSpan::from_millis_f64(now_ms)
}

fn links(case: &ModelCase) -> Vec<LinkLatency> {
    let one_way = ClockSpan::from_millis_f64(case.round_trip_ms / 2.0);
    let pairs = (0..case.centres).flat_map(|from| (0..from).map(move |to| (from, to)));
    pairs
        .map(|(from, to)| LinkLatency { from: centre_name(from), to: centre_name(to), one_way })
        .collect()
}

/// Returns the environment of a case.
fn environment(case: &ModelCase) -> EnvironmentMap {
    let upstreams = (0..case.servers)
        .map(|index| {
            Arc::new(UpstreamServer {
                name: server_name(index),
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
        access: Default::default(),
    }
}

/// Runs the model with one policy.
pub fn run(case: &ModelCase, policy: PolicyKind, tuning: RouteTuning) -> ModelResult {
    run_choice(case, ModelChoice::Policy(policy), tuning)
}

/// Runs the model with the given rules and choice.
pub fn run_choice<R: ModelRules>(
    rules: &R,
    choice: ModelChoice,
    tuning: RouteTuning,
) -> ModelResult {
    let mut model = Model::new(rules, choice, tuning);
    while let Some(Reverse((steps, _, kind))) = model.events.pop() {
        let now_ms = steps as f64 / STEPS_PER_MS;
        match kind {
            EventKind::Arrival { vm } => model.arrive(vm, now_ms),
            EventKind::ProbeAnswer { server, call } => {
                model.apply_probe_answer(server, call, now_ms)
            }
            EventKind::Wake { vm } => model.dispatch(vm, now_ms),
            EventKind::Recheck { call } => model.recheck(call, now_ms),
            EventKind::End { server, call } => model.end(server, call, now_ms),
        }
    }
    model.result()
}

/// Resolution of the times of events.
const STEPS_PER_MS: f64 = 1000.0;
/// Round-trip time of a probe within a data centre, in milliseconds; that between two data centres
/// of the platform is 1.8 ms.
const NEAR_PROBE_MS: f64 = 0.4;
/// The time after which a call that waits for a better server is considered again. The gateway also
/// considers it again as soon as one of its own calls has ended.
const RECHECK_MS: f64 = 40.0;

impl<'a, R: ModelRules> Model<'a, R> {
    fn new(rules: &'a R, choice: ModelChoice, tuning: RouteTuning) -> Self {
        let case = rules.case();
        let map = environment(case);
        let mut random = RandomSource::from_seed(case.seed);
        let span_ms = case.calls as f64 / rules.calls_per_ms();
        let noise_intervals = rules.noise_intervals(span_ms, &mut random).into_iter();
        let servers = noise_intervals
            .map(|noise_intervals| ModelServer { noise_intervals, ..Default::default() })
            .collect();
        let vms = (0..case.vms)
            .map(|index| {
                let table = UpstreamTable::new(centre_name(index % case.centres))
                    .with_vm(&format!("vm-{index}"))
                    .with_tuning(tuning);
                table.apply(&map, ClockTime::ZERO);
                let seed = case.seed * 1000 + index as u64;
                let admission = AdmissionPolicy::new(AdmissionTuning::default());
                admission.apply(&map);
                let random = RandomSource::from_seed(seed);
                ModelVm { table, admission, random, queue: VecDeque::new() }
            })
            .collect();
        let mut model = Self {
            rules,
            case,
            choice,
            random,
            events: BinaryHeap::new(),
            sequence: 0,
            servers,
            vms,
            calls: Vec::with_capacity(case.calls),
            latencies: Vec::with_capacity(case.calls),
            near: 0,
            collisions: 0,
            probes: 0,
        };
        (0..case.vms).for_each(|vm| model.schedule_arrival(vm, 0.0));
        model
    }

    fn schedule(&mut self, at_ms: f64, kind: EventKind) {
        self.sequence += 1;
        let steps = (at_ms * STEPS_PER_MS) as u64;
        self.events.push(Reverse((steps, self.sequence, kind)));
    }

    fn schedule_arrival(&mut self, vm: usize, now_ms: f64) {
        let gap_ms = self.random.exponential(self.case.vms as f64 / self.rules.calls_per_ms());
        self.schedule(now_ms + gap_ms, EventKind::Arrival { vm });
    }

    fn arrive(&mut self, vm: usize, now_ms: f64) {
        if self.calls.len() >= self.case.calls {
            return;
        }
        let work_ms = self.rules.work_ms(&mut self.random);
        let call = self.calls.len();
        self.calls.push(ModelCall {
            vm,
            arrived_ms: now_ms,
            sent_ms: now_ms,
            work_ms,
            probes: 0,
            rounds: 0,
            waited: false,
            slowdown: None,
            server: 0,
            reservation: None,
        });
        self.schedule_arrival(vm, now_ms);
        self.advance(call, now_ms);
    }

    /// Probes for a call. If there is nothing to probe, puts it into the queue of its VM, lets it
    /// wait or refuses it.
    fn advance(&mut self, call: usize, now_ms: f64) {
        self.probe(call, now_ms);
        if self.calls[call].probes > 0 {
            return;
        }
        match self.decide(call, now_ms) {
            AdmissionDecision::Send => {
                let vm = self.calls[call].vm;
                self.vms[vm].queue.push_back(call);
                self.dispatch(vm, now_ms);
            }
            AdmissionDecision::Wait => {
                self.calls[call].waited = true;
                self.schedule(now_ms + RECHECK_MS, EventKind::Recheck { call });
            }
            AdmissionDecision::Refuse => self.latencies.push(f64::INFINITY),
        }
    }

    fn recheck(&mut self, call: usize, now_ms: f64) {
        self.calls[call].rounds = 0;
        self.advance(call, now_ms);
    }

    /// Decides whether a call is sent, waits or is refused after its probes.
    fn decide(&mut self, call: usize, now_ms: f64) -> AdmissionDecision {
        let ModelChoice::Admission(policy, _) = self.choice else { return AdmissionDecision::Send };
        let entry = &self.calls[call];
        let vm_state = &mut self.vms[entry.vm];
        let now = time_at(now_ms);
        let best = vm_state.table.shortlist(&policy, SERVICE, &[], 1, now, &mut vm_state.random);
        let full = vm_state.table.is_full(SERVICE, &[], now);
        let (slowdown, round_trip) = match best.first() {
            Some(best) => (best.slowdown, best.round_trip),
            None if full => (f64::INFINITY, ClockSpan::ZERO),
            None => return AdmissionDecision::Send,
        };
        let remaining_ms = (entry.arrived_ms + self.rules.objective_ms() - now_ms).max(0.0);
        let forecast = LatencyForecast {
            remaining: ClockSpan::from_millis_f64(remaining_ms),
            slowdown,
            round_trip,
            has_waited: entry.waited,
        };
        self.calls[call].slowdown = slowdown.is_finite().then_some(slowdown);
        self.vms[self.calls[call].vm].admission.decide(
            SERVICE,
            WorkClass::Deferrable,
            &forecast,
            now,
        )
    }

    /// Sends the probes before a call, if its VM probes and the evidence on the best candidate is
    /// old.
    fn probe(&mut self, call: usize, now_ms: f64) {
        let (ModelChoice::Probed(policy, plan) | ModelChoice::Admission(policy, plan)) =
            self.choice
        else {
            return;
        };
        if self.calls[call].rounds >= plan.rounds {
            return;
        }
        let vm = self.calls[call].vm;
        let vm_state = &mut self.vms[vm];
        let now = time_at(now_ms);
        let entries =
            vm_state.table.shortlist(&policy, SERVICE, &[], plan.count, now, &mut vm_state.random);
        let fresh = |at| now.since(at).as_millis_f64() <= plan.evidence_ms;
        if entries.first().and_then(|entry| entry.reported_at).is_some_and(fresh) {
            return;
        }
        self.calls[call].rounds += 1;
        for entry in entries {
            let server = server_index(&entry.server.name);
            self.calls[call].probes += 1;
            self.probes += 1;
            let answer_ms = now_ms + self.probe_ms(vm, server);
            self.schedule(answer_ms, EventKind::ProbeAnswer { server, call });
        }
    }

    fn is_near(&self, vm: usize, server: usize) -> bool {
        vm % self.case.centres == server % self.case.centres
    }

    fn link_ms(&self, vm: usize, server: usize) -> f64 {
        if self.is_near(vm, server) { 0.0 } else { self.case.round_trip_ms }
    }

    fn probe_ms(&self, vm: usize, server: usize) -> f64 {
        self.link_ms(vm, server).max(NEAR_PROBE_MS)
    }

    /// Applies the answer to a probe, which the server sent half a round trip ago.
    fn apply_probe_answer(&mut self, server: usize, call: usize, now_ms: f64) {
        let vm = self.calls[call].vm;
        let age_ms = self.probe_ms(vm, server) / 2.0;
        let report = LoadReport {
            age: ClockSpan::from_millis_f64(age_ms),
            source: ReportSource::Probe,
            ..self.report(server, now_ms - age_ms)
        };
        self.vms[vm].table.observe(&server_name(server), report, time_at(now_ms));
        self.calls[call].probes -= 1;
        if self.calls[call].probes == 0 {
            self.advance(call, now_ms);
        }
    }

    /// Returns the load report of a server at a given time, as a response carries it.
    fn report(&self, server: usize, at_ms: f64) -> LoadReport {
        let (running, queued) = self.servers[server].load_at(at_ms);
        LoadReport {
            in_flight: running,
            slots: self.case.slots,
            queued,
            pace_percent: self.rules.pace_percent(self.servers[server].is_slowed(at_ms)),
            draining: false,
            age: ClockSpan::ZERO,
            source: ReportSource::Response,
        }
    }

    fn reserve(&mut self, call: usize, now_ms: f64) -> Result<UpstreamReservation, NoUpstream> {
        let vm = self.calls[call].vm;
        let (policy, excluded) = match self.choice {
            ModelChoice::Policy(policy)
            | ModelChoice::Probed(policy, _)
            | ModelChoice::Admission(policy, _) => (policy, Vec::new()),
            ModelChoice::Oracle => {
                let best = self.best_server(call, now_ms);
                let others = (0..self.case.servers).filter(|server| *server != best);
                (PolicyKind::Random(RandomChoice), others.map(server_name).collect())
            }
        };
        let vm_state = &mut self.vms[vm];
        vm_state.table.reserve(&policy, SERVICE, &excluded, time_at(now_ms), &mut vm_state.random)
    }

    /// Returns the server on which the call would end first if no pace changed; ties go to the
    /// server with the fewest calls.
    fn best_server(&self, call: usize, now_ms: f64) -> usize {
        let ModelCall { vm, work_ms, .. } = self.calls[call];
        let cost = |server: usize| {
            let entry = &self.servers[server];
            let pace = if entry.is_slowed(now_ms) { 1.0 / self.case.noise_speed } else { 1.0 };
            let running = self.case.slots.min(entry.running + 1);
            let factor = pace * self.rules.load_factor(running);
            let ahead = entry.running + 1 - running + entry.queue.len() as u32;
            let wait_ms = self.case.work_ms * f64::from(ahead) / f64::from(self.case.slots);
            ((work_ms + wait_ms) * factor + self.link_ms(vm, server), entry.running)
        };
        let servers = (0..self.case.servers).map(|server| (cost(server), server));
        let best = servers.min_by(|(first, _), (second, _)| {
            first.0.total_cmp(&second.0).then(first.1.cmp(&second.1))
        });
        best.expect("a model has servers").1
    }

    fn dispatch(&mut self, vm: usize, now_ms: f64) {
        while let Some(call) = self.vms[vm].queue.front().copied() {
            match self.reserve(call, now_ms) {
                Ok(reservation) => {
                    self.vms[vm].queue.pop_front();
                    self.send(call, reservation, now_ms);
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

    fn send(&mut self, call: usize, reservation: UpstreamReservation, now_ms: f64) {
        let server = server_index(reservation.upstream());
        self.near += usize::from(self.is_near(self.calls[call].vm, server));
        let entry = &mut self.calls[call];
        entry.server = server;
        entry.sent_ms = now_ms;
        entry.reservation = Some(reservation);
        if self.servers[server].running < self.case.slots {
            self.start(server, call, now_ms);
        } else {
            self.collisions += 1;
            self.servers[server].queue.push_back(call);
        }
        self.servers[server].record_load(now_ms);
    }

    fn start(&mut self, server: usize, call: usize, now_ms: f64) {
        self.servers[server].running += 1;
        let factor = self.rules.load_factor(self.servers[server].running);
        let work_ms = self.calls[call].work_ms * factor;
        let end_ms = self.servers[server].end_of(now_ms, work_ms, self.case.noise_speed);
        self.schedule(end_ms, EventKind::End { server, call });
    }

    fn end(&mut self, server: usize, call: usize, now_ms: f64) {
        let load = self.report(server, now_ms - self.case.report_lag_ms);
        self.servers[server].running -= 1;
        if let Some(next) = self.servers[server].queue.pop_front() {
            self.start(server, next, now_ms);
        }
        self.servers[server].record_load(now_ms);
        let link_ms = self.link_ms(self.calls[call].vm, server);
        let entry = &mut self.calls[call];
        let latency = ClockSpan::from_millis_f64(now_ms - entry.sent_ms + link_ms);
        let outcome = CallOutcome { latency, result: CallResult::Success, load: Some(load) };
        let reservation = entry.reservation.take().expect("a call ends once");
        let vm = entry.vm;
        if let Some(slowdown) = entry.slowdown {
            let (class, now) = (WorkClass::Deferrable, time_at(now_ms));
            self.vms[vm].admission.record(SERVICE, class, latency, slowdown, now);
        }
        self.latencies.push(now_ms - entry.arrived_ms + link_ms);
        self.vms[vm].table.finish(reservation, outcome, time_at(now_ms));
        self.dispatch(vm, now_ms);
    }

    fn result(mut self) -> ModelResult {
        // Excludes the first tenth of the run, in which the empty system fills.
        let mut steady = self.latencies.split_off(self.latencies.len() / 10);
        steady.sort_by(f64::total_cmp);
        let objective_ms = self.rules.objective_ms();
        let calls = self.calls.len() as f64;
        let percentile = |share: f64| steady[((steady.len() - 1) as f64 * share) as usize];
        ModelResult {
            mean_ms: steady.iter().sum::<f64>() / steady.len() as f64,
            p50_ms: percentile(0.5),
            p99_ms: percentile(0.99),
            within: steady.partition_point(|ms| *ms <= objective_ms) as f64 / steady.len() as f64,
            near: self.near as f64 / calls,
            collisions: self.collisions as f64 / calls,
            probes: self.probes as f64 / calls,
        }
    }
}

impl ModelRules for ModelCase {
    fn case(&self) -> &ModelCase {
        self
    }

    /// Counts the lost speed of slowed servers as lost capacity.
    fn calls_per_ms(&self) -> f64 {
        let noise_share = self.noise_ms / (self.noise_every_ms + self.noise_ms);
        let speed = 1.0 - noise_share * (1.0 - self.noise_speed);
        self.load * speed * self.servers as f64 * f64::from(self.slots) / self.work_ms
    }

    fn work_ms(&self, random: &mut RandomSource) -> f64 {
        let half_ms = self.work_ms / 2.0;
        half_ms + random.exponential(half_ms)
    }

    fn noise_intervals(&self, span_ms: f64, random: &mut RandomSource) -> Vec<Vec<(f64, f64)>> {
        let server_intervals = |_| {
            let mut noise_intervals = Vec::new();
            let mut at_ms = random.exponential(self.noise_every_ms);
            while at_ms < span_ms {
                let end_ms = at_ms + random.exponential(self.noise_ms);
                noise_intervals.push((at_ms, end_ms));
                at_ms = end_ms + random.exponential(self.noise_every_ms);
            }
            noise_intervals
        };
        (0..self.servers).map(server_intervals).collect()
    }

    fn load_factor(&self, _running: u32) -> f64 {
        1.0
    }

    fn pace_percent(&self, _slowed: bool) -> Option<u32> {
        None
    }

    fn objective_ms(&self) -> f64 {
        f64::INFINITY
    }
}

impl ModelServer {
    /// Returns when work that starts now ends, in milliseconds, given the intervals in which the
    /// server is slowed.
    fn end_of(&self, now_ms: f64, mut work_ms: f64, noise_speed: f64) -> f64 {
        let mut at_ms = now_ms;
        let first = self.noise_intervals.partition_point(|(_, end_ms)| *end_ms <= now_ms);
        for (start_ms, end_ms) in &self.noise_intervals[first..] {
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

    fn is_slowed(&self, at_ms: f64) -> bool {
        let next = self.noise_intervals.partition_point(|(_, end_ms)| *end_ms <= at_ms);
        self.noise_intervals.get(next).is_some_and(|(start_ms, _)| *start_ms <= at_ms)
    }

    fn record_load(&mut self, now_ms: f64) {
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

/// The largest number of load changes that each server keeps for delayed reports.
const HISTORY_LIMIT: usize = 20_000;
