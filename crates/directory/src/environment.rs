//! Builds the environment from the configuration, the usable upstreams and the process settings.

use std::collections::HashMap;
use std::sync::Arc;

use base::prelude::*;
use world::prelude::*;

use crate::entry::{ConfigEntry, ConfigRules, ServiceEntry};
use crate::upstreams::UpstreamDirectory;

/// Share of calls whose latency is within the objective, as in the users' own documents.
const LATENCY_SHARE: f64 = 0.99;
/// Share of calls that succeed, as in the users' own documents.
const SUCCESS_SHARE: f64 = 0.999;
/// Latency objective and deadline of a service without a route. No call reaches it, so that its
/// contract is used for probes only.
const UNROUTED_SPAN: ClockSpan = ClockSpan::from_secs(1);
/// Milliseconds in a second.
const MILLIS_PER_SECOND: f64 = 1000.0;

/// The part of the environment that comes from the process settings, not from the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetBounds {
    /// The name of the environment.
    pub name: SharedName,
    /// The data centres.
    pub centres: Vec<DataCentre>,
    /// The links between data centres.
    pub links: Vec<LinkLatency>,
    /// The largest number of gateway VMs that may run at the same time.
    pub vm_ceiling: u32,
    /// The limit on the retries to each service.
    pub retry_window: RetryWindow,
    /// Probes of each upstream per second, over all VMs.
    pub probe_rate: f64,
    /// Slot time that one probe is charged.
    pub probe_cost: ClockSpan,
    /// Calls of each service that may wait on one VM.
    pub queue_limit: u32,
}

/// Builds the environment from a configuration and the usable upstreams. Upstreams of services that
/// the configuration does not name are left out.
///
/// Upstreams whose data is the same in `previous` keep their `Arc`. The `Arc` of the directory
/// cannot be used, because the number of connections comes from the configuration.
pub fn build_environment(
    config: &ConfigEntry,
    directory: &UpstreamDirectory,
    bounds: &FleetBounds,
    previous: Option<&EnvironmentMap>,
) -> EnvironmentMap {
    let upstreams = group_upstreams(config, directory, previous);
    let contract = |service: &ServiceEntry| {
        let servers = upstreams.get(&service.name).map_or(&[][..], Vec::as_slice);
        Arc::new(build_contract(service, &config.routes, servers, bounds))
    };
    EnvironmentMap {
        access: Arc::default(),
        name: bounds.name.clone(),
        version: config.version,
        digest: SharedName::from(""),
        centres: bounds.centres.clone(),
        links: bounds.links.clone(),
        contracts: config.services.iter().map(contract).collect(),
        routes: RouteTable::new(config.routes.iter().cloned()),
        caller_limits: config.caller_limits,
        upstreams,
    }
}

/// Adds to an environment the rules of its configuration, and removes the upstreams of evacuated data
/// centres, so that nothing is sent to them.
pub fn restrict_environment(
    mut map: EnvironmentMap,
    rules: &ConfigRules,
    is_evacuated: impl Fn(&str) -> bool,
) -> EnvironmentMap {
    map.access = Arc::clone(&rules.access);
    for contract in &mut map.contracts {
        if let Some(rate) = rules.cold_rates.get(&contract.name) {
            Arc::make_mut(contract).cold_rate = Some(*rate);
        }
    }
    for servers in map.upstreams.values_mut() {
        servers.retain(|server| !is_evacuated(&server.centre));
    }
    map
}

fn group_upstreams(
    config: &ConfigEntry,
    directory: &UpstreamDirectory,
    previous: Option<&EnvironmentMap>,
) -> HashMap<SharedName, Vec<Arc<UpstreamServer>>> {
    let services: HashMap<&str, &ServiceEntry> =
        config.services.iter().map(|service| (service.name.as_str(), service)).collect();
    let mut upstreams: HashMap<SharedName, Vec<Arc<UpstreamServer>>> = HashMap::new();
    for server in directory.servers() {
        let Some(service) = services.get(server.service.as_str()) else { continue };
        let servers = upstreams.entry(service.name.clone()).or_default();
        servers.push(resolve_server(server, service.connections, previous));
    }
    upstreams
}

fn resolve_server(
    server: &UpstreamServer,
    connections: u32,
    previous: Option<&EnvironmentMap>,
) -> Arc<UpstreamServer> {
    let server = UpstreamServer { connections, ..server.clone() };
    // The directory returns upstreams in the order of their names, so that those of a service are
    // sorted.
    let known = previous.and_then(|map| {
        let servers = map.upstreams_of(&server.service);
        let index = servers.binary_search_by(|known| known.name.cmp(&server.name)).ok()?;
        Some(&servers[index])
    });
    match known {
        Some(known) if **known == server => Arc::clone(known),
        _ => Arc::new(server),
    }
}

/// Builds the contract of a service. It has no rules, so that calls are planned by route only.
fn build_contract(
    service: &ServiceEntry,
    routes: &[CallRoute],
    upstreams: &[Arc<UpstreamServer>],
    bounds: &FleetBounds,
) -> ServiceContract {
    let service_routes = || routes.iter().filter(|route| leads_to(route, &service.name));
    let latency = service_routes().map(|route| route.objective).min().unwrap_or(UNROUTED_SPAN);
    ServiceContract {
        name: service.name.clone(),
        hosts: Vec::new(),
        path_prefixes: Vec::new(),
        rules: Vec::new(),
        deadline: service_routes().map(|route| route.timeout).max().unwrap_or(UNROUTED_SPAN),
        objective: ServiceObjective {
            latency,
            latency_share: LATENCY_SHARE,
            success_share: SUCCESS_SHARE,
        },
        probe_share: probe_share(upstreams, bounds),
        vm_ceiling: bounds.vm_ceiling,
        retry_ratio: bounds.retry_window.ratio,
        queue_limit: bounds.queue_limit,
        health_path: Some(service.health_path.clone()),
        retry_window: Some(bounds.retry_window),
        cold_rate: None,
    }
}

fn leads_to(route: &CallRoute, service: &SharedName) -> bool {
    route.targets.iter().any(|target| target.service == *service)
}

/// Returns the share of slot time with which each upstream gets `probe_rate` probes per second on
/// average. The probe budget multiplies it by the slots of all upstreams, so that the mean number
/// of slots counts here.
fn probe_share(upstreams: &[Arc<UpstreamServer>], bounds: &FleetBounds) -> f64 {
    let slots: u64 = upstreams.iter().map(|server| u64::from(server.slots)).sum();
    if slots == 0 {
        return 0.0;
    }
    let mean_slots = slots as f64 / upstreams.len() as f64;
    let busy_slots = bounds.probe_rate * bounds.probe_cost.as_millis_f64() / MILLIS_PER_SECOND;
    (busy_slots / mean_slots).clamp(0.0, 1.0)
}
