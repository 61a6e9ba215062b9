//! Sample contracts, servers, environments and requests for the tests of all crates. Each test sets
//! the fields that matter to it.
#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::sync::Arc;

use base::prelude::*;
use world::prelude::*;

/// Returns the contract of a service for any host and path.
pub fn contract(name: &str) -> ServiceContract {
    ServiceContract {
        name: name.into(),
        hosts: Vec::new(),
        path_prefixes: Vec::new(),
        rules: Vec::new(),
        deadline: ClockSpan::from_secs(1),
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
        cold_rate: None,
    }
}

/// Returns a server with two slots that needs no warm-up.
pub fn server(service: &str, name: &str) -> UpstreamServer {
    UpstreamServer {
        name: name.into(),
        service: service.into(),
        centre: "medeu".into(),
        address: ([127, 0, 0, 1], 9000).into(),
        slots: 2,
        connections: 200,
        incarnation: 0,
        warm_up: ClockSpan::ZERO,
    }
}

/// Returns `count` servers of a service, named after it and numbered from 0.
pub fn servers(service: &str, count: usize) -> Vec<Arc<UpstreamServer>> {
    (0..count).map(|index| Arc::new(server(service, &format!("{service}-{index}")))).collect()
}

/// Returns an environment of one data centre without upstreams.
pub fn environment(contracts: Vec<ServiceContract>) -> EnvironmentMap {
    EnvironmentMap {
        name: "trial".into(),
        version: 1,
        digest: "0".into(),
        centres: Vec::new(),
        links: Vec::new(),
        contracts: contracts.into_iter().map(Arc::new).collect(),
        upstreams: Default::default(),
        access: Default::default(),
        routes: RouteTable::default(),
        caller_limits: CallerLimits::default(),
    }
}

/// Returns the first attempt of an idempotent request.
pub fn request(service: &str, class: WorkClass, deadline: ClockTime) -> CallerRequest {
    CallerRequest {
        service: service.into(),
        class,
        idempotent: true,
        deadline,
        attempt: 1,
        attempt_limit: None,
        depth: 0,
        key: None,
        fingerprint: 1,
    }
}

/// Returns the first gateway process of a VM.
pub fn vm(name: &str) -> VmIdentity {
    VmIdentity { name: name.into(), incarnation: 1, centre: "medeu".into() }
}
