//! One immutable version of an environment: its data centres, services and upstreams.

use std::collections::HashMap;
use std::sync::Arc;

use base::prelude::*;

use crate::access::AccessRules;
use crate::centre::{DataCentre, LinkLatency};
use crate::contract::{ServiceContract, WorkClass};
use crate::route::RouteTable;
use crate::upstream::UpstreamServer;

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// The longest request body in bytes.
    pub body_bytes: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self { body_bytes: u64::MAX }
    }
}

/// The settings of one call, from its route or contract.
#[derive(Clone, Debug, PartialEq)]
pub struct CallPlan {
    /// The service that runs it.
    pub service: SharedName,
    /// Whether it is idempotent, so that it may run more than once.
    pub idempotent: bool,
    /// The name of its route, or `None` if a contract covers it.
    pub route: Option<SharedName>,
    /// Its class: how urgent it is.
    pub class: WorkClass,
    /// Its timeout.
    pub timeout: ClockSpan,
    /// Its latency objective.
    pub objective: ClockSpan,
    /// The largest number of upstreams that it may reach, or `None` for the default.
    pub attempt_limit: Option<u32>,
}

/// A version of the environment in the form in which requests look up their settings and upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct EnvironmentMap {
    /// The name of the environment.
    pub name: SharedName,
    /// The version, which only increases.
    pub version: u64,
    /// The digest of the document.
    pub digest: SharedName,
    /// The data centres.
    pub centres: Vec<DataCentre>,
    /// The links between data centres.
    pub links: Vec<LinkLatency>,
    /// The contracts, in order of precedence.
    pub contracts: Vec<Arc<ServiceContract>>,
    /// The upstreams of each service.
    pub upstreams: HashMap<SharedName, Vec<Arc<UpstreamServer>>>,
    /// Routes to the services. If there are none, the hosts and paths of the contracts apply.
    pub routes: RouteTable,
    /// Limits on the requests of callers.
    pub caller_limits: CallerLimits,
    /// Who may call, and where calls may run.
    pub access: Arc<AccessRules>,
}

impl EnvironmentMap {
    /// Returns the first contract that covers `host` and `path`.
    pub fn contract_for(&self, host: &str, path: &str) -> Option<&Arc<ServiceContract>> {
        self.contracts.iter().find(|contract| contract.covers(host, path))
    }

    /// Returns the settings of a call, or `None` if no route or contract covers it. `draw` is a
    /// random number, uniform in `0.0..1.0`, that selects the target of a route with several.
    pub fn plan_call(&self, host: &str, method: &str, path: &str, draw: f64) -> Option<CallPlan> {
        if self.routes.is_empty() {
            return self.plan_by_contract(host, method, path);
        }
        let route = self.routes.find(host, path)?;
        Some(CallPlan {
            service: route.target(draw)?.service.clone(),
            idempotent: route.idempotent,
            route: Some(route.name.clone()),
            class: route.class,
            timeout: route.timeout,
            objective: route.objective,
            attempt_limit: Some(route.attempts),
        })
    }

    fn plan_by_contract(&self, host: &str, method: &str, path: &str) -> Option<CallPlan> {
        let contract = self.contract_for(host, path)?;
        let rule = contract.rule_for(method, path)?;
        Some(CallPlan {
            service: contract.name.clone(),
            idempotent: rule.idempotent,
            route: None,
            class: rule.class,
            timeout: contract.deadline,
            objective: contract.objective.latency,
            attempt_limit: None,
        })
    }

    /// Returns the contract of a service.
    pub fn contract(&self, service: &str) -> Option<&Arc<ServiceContract>> {
        self.contracts.iter().find(|contract| contract.name == *service)
    }

    /// Returns the upstreams of a service.
    pub fn upstreams_of(&self, service: &str) -> &[Arc<UpstreamServer>] {
        self.upstreams.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the round-trip time between two data centres, which is zero within one, or `None` if
    /// the document has no link between them.
    pub fn round_trip(&self, from: &str, to: &str) -> Option<ClockSpan> {
        if from == to {
            return Some(ClockSpan::ZERO);
        }
        self.links.iter().find(|link| link.connects(from, to)).map(LinkLatency::round_trip)
    }
}
