//! The plan of an upstream stand-in: its capacity, its service times and its faults.

use std::net::{Ipv4Addr, SocketAddr};

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::fault::FaultRule;
use crate::service::ServiceTime;

/// Connections that one upstream in the environment almaty accepts.
const DEFAULT_CONNECTIONS: u32 = 200;
/// Slots of one upstream in the environment almaty.
const DEFAULT_SLOTS: u32 = 6;
/// Counted keys, nonces and request ids, of each. The limit bounds memory to some tens of megabytes
/// in long runs.
const DEFAULT_COUNT_LIMIT: usize = 200_000;

/// A loopback address with a port that the system chooses.
pub const ANY_LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The settings of an upstream stand-in. Absent fields take their defaults.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamPlan {
    /// The name, sent as `x-test-upstream` on every answer. A request that names another instance
    /// is refused, if the dialect reads such a name.
    pub name: SharedName,
    /// The address for requests. Read at the start only.
    pub listen: SocketAddr,
    /// The address of the admin interface. Read at the start only.
    pub admin_listen: SocketAddr,
    /// Seed of the service times, read at the start, and of the noise schedule, read when the noise
    /// changes.
    pub seed: u64,
    /// The most requests that run at the same time.
    pub slots: u32,
    /// The most requests that wait for a slot; further ones are shed.
    pub queue_limit: u32,
    /// The most open connections; further ones are closed at once.
    pub connections: u32,
    /// The distribution of service times.
    pub service: ServiceTime,
    /// Slower service after each start.
    pub cold: Option<ColdStart>,
    /// Present while the upstream is draining.
    pub drain: Option<DrainPlan>,
    /// Whether answers report that the upstream drains until it ends, if the dialect has a header
    /// for that.
    pub final_drain: bool,
    /// Whether a request that cannot be queued is never answered, and neither is any further one on
    /// its connection. Otherwise it is shed.
    pub silent_when_full: bool,
    /// What the load header and the load endpoint report.
    pub load: LoadAnswer,
    /// Whether cancellations of queued requests are confirmed. If not, the request stays queued.
    pub confirm_cancel: bool,
    /// A noisy neighbour on the same machine.
    pub noise: Option<NoisePlan>,
    /// How requests are served.
    pub mode: UpstreamMode,
    /// Time from a crash to the restart, in milliseconds; with `null` the upstream stays down until
    /// an admin call or `UpstreamStand::restart` restarts it.
    pub restart_ms: Option<u64>,
    /// Service time of a health check or load probe in milliseconds; with zero they take no slot.
    pub probe_ms: u64,
    /// Bytes of the body of an answer, unless the path sets another length.
    pub answer_bytes: u64,
    /// The most distinct keys, nonces and request ids that are counted, each kind by itself.
    pub count_limit: usize,
    /// The path of health checks, or `null` for that of the dialect.
    pub health_path: Option<SharedName>,
    /// Whether answers to health checks and load probes echo their request id.
    pub echo_checks: bool,
    /// The pace in percent: a factor on the service time, which is also reported. The factor of a
    /// noisy neighbour multiplies both. `null` keeps the service time and reports no pace.
    pub pace_percent: Option<u32>,
    /// The retry delay in milliseconds that answers to requests that were not run report.
    pub retry_after_ms: Option<u64>,
    /// Rules for faulty answers. The first rule that applies decides.
    pub faults: Vec<FaultRule>,
    /// Paths whose requests crash the upstream when they are run.
    pub crash_paths: Vec<SharedName>,
    /// Whether running work ends when its caller closes the connection.
    pub ends_with_caller: bool,
    /// Time in milliseconds after which an idle connection is closed without notice. A change
    /// applies from the next request of a connection.
    pub idle_ms: Option<u64>,
    /// Whether arrivals, runs and bodies are recorded for each request id. Bodies are then read
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
            final_drain: false,
            silent_when_full: false,
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
    /// Time after a start during which the upstream is cold, in milliseconds.
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

/// How an upstream drains. Times count from the moment at which the plan received this part.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DrainPlan {
    /// Time until the health endpoint fails, in milliseconds.
    pub health_fails_after_ms: u64,
    /// Time until new requests are shed, in milliseconds.
    pub grace_ms: u64,
}

/// What an upstream reports as its load.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum LoadAnswer {
    /// The true figures, after a delay.
    Honest {
        /// The age of the figures in milliseconds.
        lag_ms: u64,
    },
    /// Always the same figures.
    Fixed {
        /// Running requests.
        in_flight: u32,
        /// Queued requests.
        queued: u32,
        /// Slots.
        slots: u32,
        /// The pace in percent of the usual service time, if it is reported.
        #[serde(default)]
        pace_percent: Option<u32>,
    },
    /// The figures of an idle upstream.
    Idle,
    /// No figures; the load endpoint answers 404.
    Silent,
}

/// A noisy neighbour: other work on the machine that takes capacity in bursts. The gaps between
/// bursts and their durations are exponentially distributed.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct NoisePlan {
    /// Mean time from the end of a burst to the start of the next, in milliseconds.
    pub every_ms: f64,
    /// Mean duration of a burst, in milliseconds.
    pub for_ms: f64,
    /// Slots that the noisy neighbour takes during a burst.
    #[serde(default)]
    pub slots: u32,
    /// Factor on the service time of requests that start during a burst.
    #[serde(default = "unit_factor")]
    pub factor: f64,
}

fn unit_factor() -> f64 {
    1.0
}

/// How an upstream serves requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamMode {
    /// Requests are run.
    Serve,
    /// Requests are answered with 500 at once; the health endpoint still succeeds.
    FailFast,
    /// Connections are accepted and requests read, but nothing is ever answered.
    Freeze,
}
