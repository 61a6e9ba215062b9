//! The tables that all workers share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use arc_swap::ArcSwap;
use base::prelude::*;
use http::HeaderValue;
use limit::prelude::{ConnectionShare, VmCounts};
use route::prelude::*;
use world::prelude::*;

use crate::link::LinkTable;
use crate::options::GateOptions;
use crate::tables::CallTables;

/// Everything that a call needs besides itself.
pub struct GateState {
    /// The settings of the process.
    pub options: GateOptions,
    /// The clock of the process.
    pub clock: RealClock,
    /// The configuration in force.
    pub environment: ArcSwap<EnvironmentMap>,
    /// What is known of the upstreams.
    pub upstreams: UpstreamTable,
    /// The connections to the upstreams.
    pub links: LinkTable,
    /// What decides when and whether a call runs.
    pub tables: CallTables,
    /// Whether the gateway is leaving.
    pub draining: AtomicBool,
    next_call: AtomicU64,
}

impl GateState {
    /// Returns the state of a gateway that starts with `environment`.
    pub fn new(options: GateOptions, environment: EnvironmentMap) -> Self {
        let clock = RealClock::new();
        let upstreams = UpstreamTable::new(options.vm.centre.clone()).with_vm(&options.vm.name);
        let tables = CallTables::new(&options.vm, rand::random());
        let state = Self {
            options,
            clock,
            environment: ArcSwap::from_pointee(environment),
            upstreams,
            links: LinkTable::default(),
            tables,
            draining: AtomicBool::new(false),
            next_call: AtomicU64::new(1),
        };
        state.refresh_tables();
        state
    }

    /// Puts a configuration in force. Calls that have started keep the previous one.
    pub fn apply(&self, environment: EnvironmentMap) {
        self.environment.store(Arc::new(environment));
        self.refresh_tables();
    }

    fn refresh_tables(&self) {
        let environment = self.environment.load();
        let now = self.clock.now();
        self.upstreams.apply(&environment, now);
        self.tables.apply(&environment, now);
        self.links.apply(&environment, |server| connection_share(&environment, server));
    }

    /// Returns an id that no other call of any VM has.
    pub fn next_id(&self) -> HeaderValue {
        let number = self.next_call.fetch_add(1, Ordering::Relaxed);
        let vm = &self.options.vm;
        let text = format!("{}-{:x}-{:x}", vm.name, vm.incarnation, number);
        HeaderValue::from_str(&text).unwrap_or_else(|_| HeaderValue::from(number))
    }
}

/// Divides an upstream's connections among the most VMs that may run.
fn connection_share(environment: &EnvironmentMap, server: &UpstreamServer) -> ConnectionShare {
    let ceiling = environment.contract(&server.service).map_or(1, |contract| contract.vm_ceiling);
    ConnectionShare::of(server.connections, ceiling, VmCounts::default())
}
