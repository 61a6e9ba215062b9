//! Contracts of services: objectives, limits, and rules for calls.

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// The class of a call: how urgent it is.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkClass {
    /// Served first.
    Urgent,
    /// Served after urgent work.
    Normal,
    /// Served last, such as reads of archives and reports.
    Deferrable,
}

impl WorkClass {
    /// Every class, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Deferrable];

    /// Returns the class for a priority given as a number, of which 0 is the most urgent.
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

    /// Returns the name used in the environment's document, in metrics and in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Deferrable => "deferrable",
        }
    }
}

/// The settings of calls with one method and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkRule {
    /// The HTTP method, or `None` for any.
    pub method: Option<SharedName>,
    /// The prefix of the path.
    pub path_prefix: SharedName,
    /// Whether the call is idempotent, so that it may run more than once.
    pub idempotent: bool,
    /// The class of the call.
    pub class: WorkClass,
    /// Whether the call is stored and run later.
    pub deferred: bool,
}

impl WorkRule {
    /// Returns whether the rule applies to `method` and `path`.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        self.method.as_ref().is_none_or(|expected| *expected == *method)
            && path.starts_with(self.path_prefix.as_str())
    }
}

/// The service-level objective of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceObjective {
    /// The latency objective.
    pub latency: ClockSpan,
    /// The target share of calls within that latency, `0.0..1.0`.
    pub latency_share: f64,
    /// The target share of calls that succeed, `0.0..1.0`.
    pub success_share: f64,
}

/// The contract of a service: which calls it gets, its objective and its limits.
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
    /// The timeout of a call for which the caller sets no deadline.
    pub deadline: ClockSpan,
    /// The service-level objective.
    pub objective: ServiceObjective,
    /// The share of the service's slot time that the probes of all VMs may use together,
    /// `0.0..1.0`.
    pub probe_share: f64,
    /// The largest number of gateway VMs that may run at the same time, by which global budgets are
    /// divided.
    pub vm_ceiling: u32,
    /// Retries allowed for each first attempt, `0.0..1.0`.
    pub retry_ratio: f64,
    /// The largest number of calls that may wait for a slot on one VM.
    pub queue_limit: u32,
    /// The path of health checks, or `None` for the path that the protocol of the upstreams
    /// defines.
    pub health_path: Option<SharedName>,
    /// Limits the retries of all VMs in a sliding window, in place of `retry_ratio`.
    pub retry_window: Option<RetryWindow>,
    /// Calls per second that all VMs together may send to a cold upstream, which is one that has
    /// not warmed up, or `None` without a limit. An upstream far above the limit crashes.
    pub cold_rate: Option<f64>,
}

/// A limit on the retries to a service from all VMs: in any `span`, at most `ratio` times the
/// number of calls plus `slack`. The first arrival of a call at an upstream is its first attempt,
/// and each further one counts as a retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryWindow {
    /// Retries for each call.
    pub ratio: f64,
    /// Additional retries in each window.
    pub slack: f64,
    /// The length of the window.
    pub span: ClockSpan,
}

impl ServiceContract {
    /// Returns the first rule that applies to `method` and `path`.
    pub fn rule_for(&self, method: &str, path: &str) -> Option<&WorkRule> {
        self.rules.iter().find(|rule| rule.matches(method, path))
    }

    /// Returns whether the contract applies to `host` and `path`.
    pub fn covers(&self, host: &str, path: &str) -> bool {
        let host_matches =
            self.hosts.is_empty() || self.hosts.iter().any(|allowed| *allowed == *host);
        let path_matches = self.path_prefixes.is_empty()
            || self.path_prefixes.iter().any(|prefix| path.starts_with(prefix.as_str()));
        host_matches && path_matches
    }
}
