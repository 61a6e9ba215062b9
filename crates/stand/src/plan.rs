//! The settings of an upstream stand-in.

use std::net::{Ipv4Addr, SocketAddr};

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::fault::FaultRule;
use crate::service::ServiceTime;

/// Connections that one upstream of the users' services holds.
const DEFAULT_CONNECTIONS: u32 = 200;
/// Slots of an upstream at Almaty.
const DEFAULT_SLOTS: u32 = 6;
/// Counted keys and nonces; bounds memory to some tens of megabytes in long runs.
const DEFAULT_COUNT_LIMIT: usize = 200_000;

/// A loopback address with a port that the system chooses.
pub const ANY_LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Everything that an upstream stand-in can be told. Absent fields take their defaults.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamPlan {
    /// The name, sent as `x-test-upstream` on every answer. Where requests name the instance that
    /// is meant to run them, those that name another one are refused.
    pub name: SharedName,
    /// Where requests are accepted. Read at the start only.
    pub listen: SocketAddr,
    /// Where the admin interface listens. Read at the start only.
    pub admin_listen: SocketAddr,
    /// Seed of the service times, read at the start, and of the noise schedule, read when the noise
    /// changes.
    pub seed: u64,
    /// Requests that run at the same time.
    pub slots: u32,
    /// Requests that wait for a slot; further ones are shed.
    pub queue_limit: u32,
    /// Connections that are served; further ones are closed at once.
    pub connections: u32,
    /// The distribution of service times.
    pub service: ServiceTime,
    /// Slower service after a start.
    pub cold: Option<ColdStart>,
    /// Present while the upstream is leaving.
    pub drain: Option<DrainPlan>,
    /// What the load header and the load endpoint say.
    pub load: LoadAnswer,
    /// Whether cancellations of queued requests are confirmed. If not, the request stays queued.
    pub confirm_cancel: bool,
    /// Work of a neighbour on the same machine.
    pub noise: Option<NoisePlan>,
    /// Whether requests are served at all.
    pub mode: UpstreamMode,
    /// Time from a crash to the restart; `null` stays down until it is restarted by hand.
    pub restart_ms: Option<u64>,
    /// Service time of a health or load probe in a slot; zero takes no slot.
    pub probe_ms: u64,
    /// Bytes of the body of an ordinary answer.
    pub answer_bytes: u64,
    /// The most distinct keys, nonces and request ids that are counted.
    pub count_limit: usize,
    /// The path of health checks, or `null` for the usual one.
    pub health_path: Option<SharedName>,
    /// Whether answers to health and load checks echo the id of the check.
    pub echo_checks: bool,
    /// How long work takes, in percent of the service time, and what is reported of it. A noisy
    /// neighbour adds to it.
    pub pace_percent: Option<u32>,
    /// When callers whose requests were not run are told to try again.
    pub retry_after_ms: Option<u64>,
    /// Answers that go wrong. The first rule that applies decides.
    pub faults: Vec<FaultRule>,
    /// Paths that crash the upstream when they are run.
    pub crash_paths: Vec<SharedName>,
    /// Whether running work ends when its caller goes away.
    pub ends_with_caller: bool,
    /// Time after which an idle connection is closed without notice. A change applies from the next
    /// request of a connection.
    pub idle_ms: Option<u64>,
    /// Whether arrivals, runs and bodies are counted for each request id. Bodies are then read
    /// whole before they are echoed.
    pub record_requests: bool,
}

impl Default for UpstreamPlan {
    fn default() -> Self {
        Self {
            name: SharedName::from("upstream"),
            listen: ANY_LOOPBACK,
            admin_listen: ANY_LOOPBACK,
            seed: 0,
            slots: DEFAULT_SLOTS,
            queue_limit: DEFAULT_SLOTS,
            connections: DEFAULT_CONNECTIONS,
            service: ServiceTime::Fixed { ms: 0.0 },
            cold: None,
            drain: None,
            load: LoadAnswer::Honest { lag_ms: 0 },
            confirm_cancel: true,
            noise: None,
            mode: UpstreamMode::Serve,
            restart_ms: Some(1000),
            probe_ms: 0,
            answer_bytes: 16,
            count_limit: DEFAULT_COUNT_LIMIT,
            health_path: None,
            echo_checks: true,
            pace_percent: None,
            retry_after_ms: None,
            faults: Vec::new(),
            crash_paths: Vec::new(),
            ends_with_caller: false,
            idle_ms: None,
            record_requests: false,
        }
    }
}

/// Slower service for a time after each start.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// How long the upstream is cold.
    pub for_ms: u64,
    /// Factor on the service time while it is cold.
    pub factor: f64,
}

impl ColdStart {
    /// Returns the factor on the service time when the upstream has run for `age`.
    pub fn factor_at(&self, age: ClockSpan) -> f64 {
        if age < ClockSpan::from_millis(self.for_ms) { self.factor } else { 1.0 }
    }
}

/// How an upstream leaves. Times count from the moment that the plan gained this part.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DrainPlan {
    /// When the health endpoint begins to fail.
    pub health_fails_after_ms: u64,
    /// When new requests are shed.
    pub grace_ms: u64,
}

/// What an upstream says about its load.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum LoadAnswer {
    /// The figures as they were some time ago.
    Honest {
        /// The age of the figures.
        lag_ms: u64,
    },
    /// Always the same figures.
    Fixed {
        /// Requests that run.
        in_flight: u32,
        /// Requests that wait.
        queued: u32,
        /// Slots.
        slots: u32,
        /// How long work takes, in percent of the usual time.
        #[serde(default)]
        pace_percent: Option<u32>,
    },
    /// Always idle.
    Idle,
    /// No figures at all; the load endpoint answers 404.
    Silent,
}

/// Work of a neighbour that takes capacity in bursts. Times between and of bursts are exponential.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct NoisePlan {
    /// Mean time from the end of a burst to the next.
    pub every_ms: f64,
    /// Mean length of a burst.
    pub for_ms: f64,
    /// Slots taken during a burst.
    #[serde(default)]
    pub slots: u32,
    /// Factor on the service time of requests that start during a burst.
    #[serde(default = "unit_factor")]
    pub factor: f64,
}

fn unit_factor() -> f64 {
    1.0
}

/// Whether an upstream serves requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamMode {
    /// Requests are served.
    Serve,
    /// Requests are answered with 500 at once; the health endpoint still succeeds.
    FailFast,
    /// Connections are accepted and requests read, but nothing is ever answered.
    Freeze,
}
