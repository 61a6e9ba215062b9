//! Routes from hosts and paths to services.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;

use base::prelude::*;

use crate::contract::WorkClass;

/// A service that takes a share of a route's calls.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTarget {
    /// The service.
    pub service: SharedName,
    /// Its share, relative to the weights of the other targets.
    pub weight: f64,
}

/// How calls with one host and path prefix are treated.
#[derive(Clone, Debug, PartialEq)]
pub struct CallRoute {
    /// The name of the route.
    pub name: SharedName,
    /// The host that selects the route, in lower case.
    pub host: SharedName,
    /// The start of the path.
    pub path_prefix: SharedName,
    /// Whether running a call twice has the same effect as running it once.
    pub idempotent: bool,
    /// How urgent the calls are.
    pub class: WorkClass,
    /// The longest time for a call.
    pub timeout: ClockSpan,
    /// The latency that counts as good.
    pub objective: ClockSpan,
    /// The most upstreams that one call may reach.
    pub attempts: u32,
    /// The services that take the calls, at least one.
    pub targets: Vec<RouteTarget>,
}

impl CallRoute {
    /// Returns the target of a call. `draw` is uniform in `0.0..1.0`.
    pub fn target(&self, draw: f64) -> Option<&RouteTarget> {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = draw * total;
        let drawn = self.targets.iter().find(|target| {
            left -= target.weight;
            left < 0.0
        });
        // Rounding can leave a remainder after the last target.
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

    /// Returns the route of `host` with the longest prefix of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<CallRoute>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// Returns all routes.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<CallRoute>> {
        self.hosts.values().flatten()
    }
}
