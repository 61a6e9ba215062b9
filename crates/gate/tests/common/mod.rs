//! The environment of the tests of this crate.

use std::collections::HashMap;
use std::sync::Arc;

use base::prelude::*;
use gate::options::{CallTuning, GateOptions, GateTimeouts};
use route::prelude::*;
use world::prelude::*;

/// Returns an environment of one service with one upstream.
pub fn environment(upstream: std::net::SocketAddr) -> EnvironmentMap {
    let service = SharedName::from("phase-desk");
    let rule = WorkRule {
        method: None,
        path_prefix: "/".into(),
        idempotent: true,
        class: WorkClass::Urgent,
        deferred: false,
    };
    let contract = ServiceContract {
        name: service.clone(),
        hosts: vec![],
        path_prefixes: vec![],
        rules: vec![rule],
        deadline: ClockSpan::from_secs(5),
        objective: ServiceObjective {
            latency: ClockSpan::from_millis(50),
            latency_share: 0.99,
            success_share: 0.999,
        },
        probe_share: 0.01,
        vm_ceiling: 15,
        retry_ratio: 0.1,
        queue_limit: 100,
        health_path: None,
        retry_window: None,
    };
    let server = UpstreamServer {
        name: "phase-1".into(),
        service: service.clone(),
        centre: "medeu".into(),
        address: upstream,
        slots: 6,
        connections: 200,
        incarnation: 0,
        warm_up: ClockSpan::ZERO,
    };
    EnvironmentMap {
        name: "almaty".into(),
        version: 1,
        digest: "none".into(),
        centres: vec![DataCentre { name: "medeu".into(), region: "almaty".into() }],
        links: vec![],
        contracts: vec![Arc::new(contract)],
        upstreams: HashMap::from([(service, vec![Arc::new(server)])]),
        routes: RouteTable::default(),
        caller_limits: CallerLimits::default(),
    }
}

/// Returns the options of a gateway with two workers.
pub fn options() -> GateOptions {
    GateOptions {
        vm: VmIdentity { name: "vm-1".into(), incarnation: 1, centre: "medeu".into() },
        caller_address: ([127, 0, 0, 1], 0).into(),
        workers: 2,
        policy: PolicyKind::default(),
        initial_timeouts: GateTimeouts::default(),
        tuning: CallTuning::default(),
    }
}
