//! Policies compared on whole deployments of real processes.

use std::net::SocketAddr;

use base::prelude::*;
use bytes::Bytes;
use http::Method;
use load::prelude::*;
use stand::prelude::*;
use tokio::runtime::Runtime;
use trial::prelude::*;

use crate::error::BenchError;
use crate::figure::{FigureBound, FigureSheet, median};
use crate::machine::{MachineTime, processor_seconds};
use crate::site::{ALMATY, SITE_VMS, SiteMap, VITI};

/// The compared policies. The last one is the project's own.
const POLICIES: [&str; 4] = ["random", "least-in-flight", "two-choices", "expected-cost"];
const RANDOM: usize = 0;
const LEAST: usize = 1;
const OWN: usize = 3;
/// Goal for the own policy's p99 in multiples of that of random choice (design page, 5.2).
const RANDOM_MULTIPLE: f64 = 0.5;
/// Load as a share of all slot time without noise.
pub(crate) const LOAD_SHARE: f64 = 0.7;
const ROUNDS: u64 = 5;
const WARM_UP_MS: u64 = 1000;
const DURATION_MS: u64 = 3000;
/// Stand-ins in one process.
const GROUP_SIZE: usize = 4;
/// Connections of the generator to each gateway.
const CALLER_CONNECTIONS: usize = 64;
const GENERATOR_THREADS: usize = 2;

/// A deployment of running processes.
#[derive(Debug)]
pub struct RunningFleet {
    site: SiteMap,
    groups: Vec<UpstreamGroup>,
    gates: Vec<GateProcess>,
    client: TestClient,
    runtime: Runtime,
}

/// The results of one run of one policy.
#[derive(Clone, Copy, Debug)]
struct CellFigures {
    p50_ms: f64,
    p99_ms: f64,
    p999_ms: f64,
    goodput: f64,
    wrong: u64,
    lost: u64,
    refused: u64,
    late_share: f64,
    measuring_share: f64,
    processor_cores: f64,
    machine_share: f64,
}

/// Measures and prints all policies on both deployments.
///
/// # Errors
///
/// Fails if a process or the load generator does not run.
pub fn run(sheet: &mut FigureSheet) -> Result<(), BenchError> {
    for site in [ALMATY, VITI] {
        let mut rounds = Vec::new();
        for round in 0..ROUNDS {
            let mut cells = Vec::new();
            for policy in POLICIES {
                cells.push(cell(site, policy, round + 1)?);
            }
            rounds.push(cells);
        }
        print_site(site, &rounds, sheet);
    }
    Ok(())
}

impl RunningFleet {
    /// Starts the upstreams and gateways of a deployment.
    ///
    /// # Errors
    ///
    /// Fails if a process does not start.
    pub fn start(site: SiteMap, policy: &str, seed: u64) -> Result<Self, BenchError> {
        let plans = site.plans(seed);
        let groups =
            plans.chunks(GROUP_SIZE).map(UpstreamGroup::start).collect::<Result<Vec<_>, _>>()?;
        let addresses: Vec<_> = groups.iter().flat_map(|group| group.addresses.clone()).collect();
        let document = site.document(&addresses);
        let gates = (0..SITE_VMS)
            .map(|index| {
                let settings = GateSettings {
                    vm_name: format!("vm-{index}"),
                    centre: site.centre(index),
                    workers: 1,
                    arguments: vec!["--policy".to_owned(), policy.to_owned()],
                    ..GateSettings::default()
                };
                GateProcess::start_with(&settings, &document)
            })
            .collect::<Result<_, _>>()?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        Ok(Self { site, groups, gates, client: TestClient::default(), runtime })
    }

    /// Returns the processes of the gateways.
    pub fn gates(&self) -> &[GateProcess] {
        &self.gates
    }

    /// Returns a plan that loads all gateways evenly, and each service by its number of slots.
    pub fn load_plan(&self, rate: RateShape, duration_ms: u64, seed: u64) -> LoadPlan {
        let kind = |(name, count): (&str, usize)| RequestKind {
            name: SharedName::from(name),
            host: SharedName::from(name),
            weight: count as u32,
            path: SharedName::from("/{n}"),
            spread: 10_000,
            ..RequestKind::default()
        };
        LoadPlan {
            targets: self.gates.iter().map(|gate| gate.caller_address).collect(),
            rate,
            seed,
            threads: GENERATOR_THREADS,
            connections: CALLER_CONNECTIONS,
            warm_up_ms: WARM_UP_MS,
            duration_ms,
            timeout_ms: 3000,
            mix: self.site.services.map(kind).to_vec(),
            ..LoadPlan::default()
        }
    }

    /// Returns the counters of every upstream.
    ///
    /// # Errors
    ///
    /// Fails if a stand-in does not answer.
    pub fn counts(&self) -> Result<Vec<UpstreamCounts>, BenchError> {
        self.admin_addresses().map(|address| self.count(address)).collect()
    }

    /// Changes fields of the plan of one upstream.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer.
    pub fn change(&self, upstream: usize, patch: &str) -> Result<(), BenchError> {
        let Some(address) = self.admin_addresses().nth(upstream) else { return Ok(()) };
        self.ask(Method::POST, address, "/admin/plan", Bytes::from(patch.to_owned()))?;
        Ok(())
    }

    /// Crashes one upstream.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer.
    pub fn crash(&self, upstream: usize) -> Result<(), BenchError> {
        let Some(address) = self.admin_addresses().nth(upstream) else { return Ok(()) };
        self.ask(Method::POST, address, "/admin/crash", Bytes::new())?;
        Ok(())
    }

    fn count(&self, address: SocketAddr) -> Result<UpstreamCounts, BenchError> {
        let path = "/admin/counts";
        let body = self.ask(Method::GET, address, path, Bytes::new())?;
        serde_json::from_slice(&body)
            .map_err(|error| BenchError::Admin { path, reason: error.to_string() })
    }

    fn ask(
        &self,
        method: Method,
        address: SocketAddr,
        path: &'static str,
        body: Bytes,
    ) -> Result<Bytes, BenchError> {
        let call = self.client.call(method, address, "stand", path, &[], body);
        match self.runtime.block_on(call) {
            Ok(answer) if answer.status.is_success() => Ok(answer.body),
            Ok(answer) => Err(BenchError::Admin { path, reason: answer.status.to_string() }),
            Err(reason) => Err(BenchError::Admin { path, reason }),
        }
    }

    fn admin_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.groups.iter().flat_map(|group| group.admin_addresses.iter().copied())
    }

    /// Returns the processor seconds of all processes, the generator included.
    fn processor_seconds(&self) -> f64 {
        let gates = self.gates.iter().map(|gate| gate.process.id());
        let groups = self.groups.iter().map(|group| group.process.id());
        gates.chain(groups).chain([std::process::id()]).map(processor_seconds).sum()
    }
}

/// Runs one policy on fresh processes, so that no cell inherits evidence or connections.
fn cell(site: SiteMap, policy: &str, seed: u64) -> Result<CellFigures, BenchError> {
    let fleet = RunningFleet::start(site, policy, seed)?;
    let rate = RateShape::Constant { per_second: site.rate(LOAD_SHARE) };
    let (processor, machine) = (fleet.processor_seconds(), MachineTime::now());
    let report = load::run::run(&fleet.load_plan(rate, DURATION_MS, seed))?;
    let seconds = (WARM_UP_MS + DURATION_MS) as f64 / 1000.0;
    let processor = fleet.processor_seconds() - processor;
    let machine_share = MachineTime::now().busy_share(&machine);
    let probe_ms: f64 = fleet.counts()?.iter().map(|counts| counts.probe_slot_ms).sum();
    let slots = site.upstreams() as f64 * f64::from(site.slots);
    let row = &report.overall;
    let errors = &row.errors;
    Ok(CellFigures {
        p50_ms: row.latency.p50_ms,
        p99_ms: row.latency.p99_ms,
        p999_ms: row.latency.p999_ms,
        goodput: row.goodput,
        wrong: errors.wrong_nonce + errors.short_body,
        lost: errors.wrong_status + errors.unknown + errors.timed_out + errors.connection_error,
        refused: errors.not_run + errors.unsent,
        late_share: row.late as f64 / row.intended.max(1) as f64,
        measuring_share: probe_ms / (slots * seconds * 1000.0),
        processor_cores: processor / seconds,
        machine_share,
    })
}

fn print_site(site: SiteMap, rounds: &[Vec<CellFigures>], sheet: &mut FigureSheet) {
    for (index, policy) in POLICIES.into_iter().enumerate() {
        let cells: Vec<_> = rounds.iter().map(|round| round[index]).collect();
        print_policy(&format!("fleet.{}.{policy}", site.name), site, &cells, sheet);
    }
    let ratio =
        |other: usize| median(rounds.iter().map(|round| round[OWN].p99_ms / round[other].p99_ms));
    let name = |other: &str| format!("fleet.{}.p99-ratio-to-{other}", site.name);
    let half = FigureBound::AtMost(RANDOM_MULTIPLE);
    sheet.print(&name("random"), ratio(RANDOM), "ratio", half);
    sheet.print(&name("least-in-flight"), ratio(LEAST), "ratio", FigureBound::Below(1.0));
}

fn print_policy(name: &str, site: SiteMap, cells: &[CellFigures], sheet: &mut FigureSheet) {
    let of = |value: fn(&CellFigures) -> f64| median(cells.iter().map(value));
    let sum = |value: fn(&CellFigures) -> u64| cells.iter().map(value).sum::<u64>() as f64;
    let none = FigureBound::None;
    let measuring = FigureBound::AtMost(site.probe_share);
    let rows = [
        ("p50", of(|cell| cell.p50_ms), "ms", none),
        ("p99", of(|cell| cell.p99_ms), "ms", none),
        ("p99.9", of(|cell| cell.p999_ms), "ms", none),
        ("goodput", of(|cell| cell.goodput), "calls/s", none),
        ("wrong", sum(|cell| cell.wrong), "calls", FigureBound::AtMost(0.0)),
        ("lost", sum(|cell| cell.lost), "calls", none),
        ("refused", sum(|cell| cell.refused), "calls", none),
        ("late", of(|cell| cell.late_share), "share", none),
        ("measuring", of(|cell| cell.measuring_share), "share", measuring),
        ("processor", of(|cell| cell.processor_cores), "cores", none),
        ("machine", of(|cell| cell.machine_share), "share", none),
    ];
    for (figure, value, unit, bound) in rows {
        sheet.print(&format!("{name}.{figure}"), value, unit, bound);
    }
}
