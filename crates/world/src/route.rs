//! Routes from hosts and paths to services.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;

use base::prelude::*;

use crate::contract::WorkClass;

/// A service that gets a share of a route's calls.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTarget {
    /// The service.
    pub service: SharedName,
    /// Its share of the calls, relative to the weights of the other targets.
    pub weight: f64,
}

/// A route: the settings of calls with one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct CallRoute {
    /// The name of the route.
    pub name: SharedName,
    /// The host that selects the route, in lower case.
    pub host: SharedName,
    /// The prefix of the path.
    pub path_prefix: SharedName,
    /// Whether calls are idempotent, so that they may run more than once.
    pub idempotent: bool,
    /// The class of the calls.
    pub class: WorkClass,
    /// The timeout of a call.
    pub timeout: ClockSpan,
    /// The latency objective.
    pub objective: ClockSpan,
    /// The largest number of upstreams that one call may reach.
    pub attempts: u32,
    /// The services that run the calls, at least one.
    pub targets: Vec<RouteTarget>,
}

impl CallRoute {
    /// Returns the target of a call, or `None` if no target has a weight above zero. `draw` is a
    /// random number, uniform in `0.0..1.0`.
    pub fn target(&self, draw: f64) -> Option<&RouteTarget> {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let mut remaining = draw * total;
        let drawn = self.targets.iter().find(|target| {
            remaining -= target.weight;
            remaining < 0.0
        });
        // Rounding errors can leave a remainder after the last target.
        drawn.or_else(|| self.targets.iter().rev().find(|target| target.weight > 0.0))
    }
}

/// All routes of an environment, by host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    hosts: HashMap<SharedName, Vec<Arc<CallRoute>>>,
}

impl RouteTable {
    /// Returns a table of `routes`.
    pub fn new(routes: impl IntoIterator<Item = CallRoute>) -> Self {
        let mut hosts: HashMap<SharedName, Vec<Arc<CallRoute>>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| Reverse(route.path_prefix.len()));
        }
        Self { hosts }
    }

    /// Returns whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Returns the route of `host` whose prefix of `path` is the longest.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<CallRoute>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// Returns all routes.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<CallRoute>> {
        self.hosts.values().flatten()
    }
}
