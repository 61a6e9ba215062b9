//! Environments for the tests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use world::prelude::*;

/// What the tests vary about a service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceSetup {
    pub name: &'static str,
    pub upstreams: u32,
    pub slots: u32,
    pub probe_share: f64,
    pub vm_ceiling: u32,
    pub retry_ratio: f64,
    pub queue_limit: u32,
    pub objective: ClockSpan,
    pub retry_window: Option<RetryWindow>,
}

impl ServiceSetup {
    pub const BASE: Self = Self {
        name: "grove-view",
        upstreams: 10,
        slots: 2,
        probe_share: 0.005,
        vm_ceiling: 16,
        retry_ratio: 0.1,
        queue_limit: 200,
        objective: ClockSpan::from_millis(50),
        retry_window: None,
    };

    fn contract(&self) -> ServiceContract {
        ServiceContract {
            name: self.name.into(),
            hosts: Vec::new(),
            path_prefixes: Vec::new(),
            rules: Vec::new(),
            deadline: ClockSpan::from_secs(2),
            objective: ServiceObjective {
                latency: self.objective,
                latency_share: 0.99,
                success_share: 0.999,
            },
            probe_share: self.probe_share,
            vm_ceiling: self.vm_ceiling,
            retry_ratio: self.retry_ratio,
            queue_limit: self.queue_limit,
            health_path: None,
            retry_window: self.retry_window,
        }
    }

    fn servers(&self) -> Vec<Arc<UpstreamServer>> {
        let server = |index: u32| {
            Arc::new(UpstreamServer {
                name: SharedName::from(format!("{}-{index}", self.name)),
                service: self.name.into(),
                centre: "suva".into(),
                address: SocketAddr::from(([127, 0, 0, 1], 9)),
                slots: self.slots,
                connections: 200,
                incarnation: 0,
                warm_up: ClockSpan::ZERO,
            })
        };
        (0..self.upstreams).map(server).collect()
    }
}

pub fn environment(setups: &[ServiceSetup]) -> EnvironmentMap {
    let upstreams: HashMap<SharedName, _> =
        setups.iter().map(|setup| (setup.name.into(), setup.servers())).collect();
    EnvironmentMap {
        name: "trial".into(),
        version: 1,
        digest: "0".into(),
        centres: Vec::new(),
        links: Vec::new(),
        contracts: setups.iter().map(|setup| Arc::new(setup.contract())).collect(),
        upstreams,
        routes: RouteTable::default(),
        caller_limits: CallerLimits::default(),
    }
}

// Not every test file sends requests.
#[allow(dead_code)]
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
