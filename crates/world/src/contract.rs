//! What a service promises its callers and may cost its upstreams.

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// How urgent a call is.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkClass {
    /// Served first.
    Urgent,
    /// Served after urgent work.
    Normal,
    /// Served last, for archive pulls and reports.
    Deferrable,
}

impl WorkClass {
    /// Every class, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Deferrable];

    /// Returns the class of a priority, of which 0 is the most urgent.
    pub const fn from_priority(priority: u32) -> Self {
        match priority {
            0 => Self::Urgent,
            1 => Self::Normal,
            _ => Self::Deferrable,
        }
    }

    /// Returns the position in [`WorkClass::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }

    /// Returns the name used in documents, metrics and reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Deferrable => "deferrable",
        }
    }
}

/// How calls with one method and path prefix are treated.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkRule {
    /// The HTTP method, or `None` for any.
    pub method: Option<SharedName>,
    /// The start of the path.
    pub path_prefix: SharedName,
    /// Whether running the call twice has the same effect as running it once.
    pub idempotent: bool,
    /// How urgent the call is.
    pub class: WorkClass,
    /// Whether the call is stored and run later.
    pub deferred: bool,
}

impl WorkRule {
    /// Returns whether the rule applies to `method` and `path`.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        self.method.as_ref().is_none_or(|own| *own == *method)
            && path.starts_with(self.path_prefix.as_str())
    }
}

/// The service-level objective of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceObjective {
    /// The latency that counts as good.
    pub latency: ClockSpan,
    /// The share of calls within the latency, `0.0..1.0`.
    pub latency_share: f64,
    /// The share of calls that succeed, `0.0..1.0`.
    pub success_share: f64,
}

/// The contract of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceContract {
    /// The name of the service.
    pub name: SharedName,
    /// Host names that select the service; empty means any host.
    pub hosts: Vec<SharedName>,
    /// Path prefixes that select the service; empty means any path.
    pub path_prefixes: Vec<SharedName>,
    /// Rules in order of precedence; the first that matches applies.
    pub rules: Vec<WorkRule>,
    /// The time for a call whose caller names no deadline.
    pub deadline: ClockSpan,
    /// The service-level objective.
    pub objective: ServiceObjective,
    /// The share of the service's slot time that measuring may take over all VMs, `0.0..1.0`.
    pub probe_share: f64,
    /// The most gateway VMs that may run at once. Divides the global budgets.
    pub vm_ceiling: u32,
    /// Retries allowed for each first attempt, `0.0..1.0`.
    pub retry_ratio: f64,
    /// Calls that may wait on one VM.
    pub queue_limit: u32,
    /// The path of health checks, or `None` for the one of the product's own interface.
    pub health_path: Option<SharedName>,
    /// Bounds the retries of all VMs in a sliding window, in place of `retry_ratio`.
    pub retry_window: Option<RetryWindow>,
}

/// A bound on the arrivals at a service beyond the first one of each call, over all VMs: at most
/// `ratio` times the calls plus `slack` in any `span`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryWindow {
    /// Further arrivals for each call.
    pub ratio: f64,
    /// Further arrivals in each window on top.
    pub slack: f64,
    /// The length of the window.
    pub span: ClockSpan,
}

impl ServiceContract {
    /// Returns the first rule that applies to `method` and `path`.
    pub fn rule_for(&self, method: &str, path: &str) -> Option<&WorkRule> {
        self.rules.iter().find(|rule| rule.matches(method, path))
    }

    /// Returns whether the contract covers `host` and `path`.
    pub fn covers(&self, host: &str, path: &str) -> bool {
        let host_matches = self.hosts.is_empty() || self.hosts.iter().any(|own| *own == *host);
        let path_matches = self.path_prefixes.is_empty()
            || self.path_prefixes.iter().any(|prefix| path.starts_with(prefix.as_str()));
        host_matches && path_matches
    }
}
