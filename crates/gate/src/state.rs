//! The state that all workers share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};

use arc_swap::ArcSwap;
use base::prelude::*;
use claim::prelude::ClaimRunner;
use http::HeaderValue;
use limit::prelude::{ConnectionShare, VmCounts};
use route::prelude::*;
use store::prelude::HttpStore;
use suspect::prelude::FingerprintKey;
use world::prelude::*;

use crate::check_id::CheckIds;
use crate::count::CallCount;
use crate::dependency::DependencyWatch;
use crate::drains::DrainReports;
use crate::held_bytes::HeldMemory;
use crate::links::LinkTable;
use crate::mechanism::Mechanism;
use crate::options::{GateOptions, GateTimeouts};
use crate::peers::GrantClient;
use crate::quota_table::QuotaTable;
use crate::stop::StopWatch;
use crate::suspect_bodies::SuspectBodies;
use crate::tables::CallTables;

/// The client of the platform's store, which holds claims and documents.
pub type GateStore = HttpStore<RealClock>;
/// The claims of this VM.
pub type GateClaims = ClaimRunner<GateStore, RealClock>;

/// The shared state of the gateway: options, configuration, tables and connections.
pub struct GateState {
    /// The options of the process.
    pub options: GateOptions,
    /// The current timeouts.
    pub timeouts: ArcSwap<GateTimeouts>,
    /// The clock of the process.
    pub clock: RealClock,
    /// The configuration that was applied last.
    pub environment: ArcSwap<EnvironmentMap>,
    /// The evidence on each upstream, and the calls in flight to it.
    pub upstreams: UpstreamTable,
    /// The links: the connections of this VM to each upstream.
    pub links: LinkTable,
    /// The tables that decide when and whether a call runs.
    pub tables: CallTables,
    /// The key of the fingerprints of requests.
    pub fingerprint_key: ArcSwap<FingerprintKey>,
    /// The memory for answers that are held until they are whole.
    pub held_answers: HeldMemory,
    /// How much may be read of long bodies of suspects.
    pub suspect_bodies: SuspectBodies,
    /// Upstreams that reported that they leave.
    pub drains: DrainReports,
    /// The quotas of accounts.
    pub quotas: QuotaTable,
    /// Whether the gateway is shutting down.
    pub shutting_down: AtomicBool,
    /// When calls are interrupted, once the process was asked to stop.
    pub stop: StopWatch,
    /// Whether the gateway waits for its first configuration.
    pub unconfigured: AtomicBool,
    /// Whether another VM has a newer configuration.
    pub config_outdated: AtomicBool,
    /// The claims of this VM, once it uses the platform.
    pub claims: OnceLock<GateClaims>,
    /// Asks other VMs for isolated runs of suspects, once this VM knows its peers.
    pub grants: OnceLock<GrantClient>,
    /// Whether the platform's store answers.
    pub store: DependencyWatch,
    /// Whether datagrams arrive from other VMs.
    pub peers: DependencyWatch,
    /// The calls in flight.
    pub calls: CallCount,
    /// The number of known VMs, this one included.
    known_vms: AtomicU32,
    /// The ids of health checks.
    pub check_ids: CheckIds,
    /// The number of the next call, which is a part of its id.
    next_call: AtomicU64,
}

impl GateState {
    /// Returns the state of a gateway that starts with `environment`.
    pub fn new(options: GateOptions, environment: EnvironmentMap) -> Self {
        let clock = RealClock::new();
        let upstreams = UpstreamTable::new(options.vm.centre.clone())
            .with_vm(&options.vm.name)
            .with_remote(options.remote);
        let tables = CallTables::new(&options.vm, &options.tuning, rand::random());
        let fingerprint_key = ArcSwap::from_pointee(options.fingerprint_key.clone());
        let timeouts = ArcSwap::from_pointee(options.initial_timeouts.clone());
        let state = Self {
            options,
            timeouts,
            clock,
            environment: ArcSwap::from_pointee(environment),
            upstreams,
            links: LinkTable::default(),
            tables,
            fingerprint_key,
            held_answers: HeldMemory::default(),
            suspect_bodies: SuspectBodies::default(),
            drains: DrainReports::default(),
            quotas: QuotaTable::default(),
            shutting_down: AtomicBool::new(false),
            stop: StopWatch::default(),
            unconfigured: AtomicBool::new(false),
            config_outdated: AtomicBool::new(false),
            claims: OnceLock::new(),
            grants: OnceLock::new(),
            store: DependencyWatch::new("store"),
            peers: DependencyWatch::new("peers"),
            calls: CallCount::default(),
            known_vms: AtomicU32::new(1),
            check_ids: CheckIds::new(rand::random()),
            next_call: AtomicU64::new(1),
        };
        state.refresh_tables();
        state
    }

    /// Returns the state of a gateway that waits for its first configuration.
    pub fn unconfigured(options: GateOptions) -> Self {
        let environment = EnvironmentMap {
            name: SharedName::from(""),
            version: 0,
            digest: SharedName::from(""),
            centres: Vec::new(),
            links: Vec::new(),
            contracts: Vec::new(),
            upstreams: HashMap::new(),
            routes: RouteTable::default(),
            caller_limits: CallerLimits::default(),
            access: Arc::default(),
        };
        let state = Self::new(options, environment);
        state.unconfigured.store(true, Ordering::Release);
        state
    }

    /// Returns whether the gateway is ready for new calls.
    pub fn is_ready(&self) -> bool {
        let waits = self.options.tuning.uses(Mechanism::Recovery);
        let waiting = waits && self.unconfigured.load(Ordering::Acquire);
        !waiting && !self.shutting_down.load(Ordering::Acquire)
    }

    /// Returns the longest time that a call may take.
    pub fn longest_deadline(&self) -> ClockSpan {
        let environment = self.environment.load();
        let deadlines = environment.contracts.iter().map(|contract| contract.deadline);
        deadlines.max().unwrap_or(ClockSpan::ZERO)
    }

    /// Applies a configuration. Calls that have started keep the previous one.
    pub fn apply(&self, environment: EnvironmentMap) {
        self.environment.store(Arc::new(environment));
        self.refresh_tables();
        self.unconfigured.store(false, Ordering::Release);
    }

    /// Applies the current configuration to all tables.
    fn refresh_tables(&self) {
        let environment = self.environment.load();
        let now = self.clock.now();
        self.upstreams.apply(&environment, now);
        self.tables.apply(&environment, now);
        self.share_connections(&environment);
    }

    /// Sets the share of connections that this VM may open to each upstream.
    fn share_connections(&self, environment: &EnvironmentMap) {
        let reported = self.known_vms.load(Ordering::Relaxed);
        let counts = VmCounts { listed: 0, reported };
        self.links.apply(environment, |server| connection_share(environment, server, counts));
    }

    /// Divides the limits that apply to all VMs together by the number of known VMs.
    pub fn set_vm_counts(&self, counts: VmCounts, now: ClockTime) {
        self.tables.probes.set_counts(counts, now);
        self.tables.retries.set_counts(counts, now);
        let known = counts.listed.max(counts.reported);
        if self.known_vms.swap(known, Ordering::Relaxed) != known {
            self.tables.metrics.set_known_vms(known as usize);
            self.share_connections(&self.environment.load());
        }
    }

    /// Returns an id that is unique among the calls of all VMs.
    pub fn next_id(&self) -> HeaderValue {
        let number = self.next_call.fetch_add(1, Ordering::Relaxed);
        let vm = &self.options.vm;
        let text = format!("{}-{:x}-{:x}", vm.name, vm.incarnation, number);
        HeaderValue::from_str(&text).unwrap_or_else(|_| HeaderValue::from(number))
    }
}

/// Returns this VM's share of an upstream's connections, divided among the most VMs that may run.
fn connection_share(
    environment: &EnvironmentMap,
    server: &UpstreamServer,
    counts: VmCounts,
) -> ConnectionShare {
    let ceiling = environment.contract(&server.service).map_or(1, |contract| contract.vm_ceiling);
    ConnectionShare::of(server.connections, ceiling, counts)
}
