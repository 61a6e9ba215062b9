//! The configuration and store of a run, and the application of faults to the store and to links.

use base::prelude::*;
use directory::prelude::*;
use platform::PlatformCodec;
use platform::stand::{StoreStand, write_config};
use stand::prelude::*;
use world::prelude::*;

use crate::fault::{ConfigFault, LinkFault, StoreFault};

/// The host name of all routes.
pub const HOST: &str = "desk.example";
/// The data centre of all VMs and upstreams.
pub const CENTRE: &str = "medeu";
/// The two services; each has half of the upstreams.
pub const SERVICES: [&str; 2] = ["desk", "annex"];
/// The path of idempotent calls.
pub const LOOK_PATH: &str = "/look";
/// The path of non-idempotent calls.
pub const BOOK_PATH: &str = "/book";
/// The path of calls whose remaining time, as their upstream receives it, shows the version of the
/// configuration.
pub const MARK_PATH: &str = "/mark";
/// The path of calls with a long answer: longer than the 256 KiB that the gateway buffers.
pub const BULK_PATH: &str = "/bytes/300000";
/// The body size of a long answer in bytes.
pub const BULK_BYTES: u64 = 300_000;
/// The body size of an ordinary answer in bytes.
pub const ANSWER_BYTES: u64 = 64;
/// The timeout of a route, as many of the users' routes have.
pub const ROUTE_TIMEOUT: ClockSpan = ClockSpan::from_millis(1_500);
/// The latency objective of a route, as many of the users' routes have.
const LATENCY_OBJECTIVE: ClockSpan = ClockSpan::from_millis(300);
/// The most upstreams that a call may reach, as the users' routes have.
const MAX_ATTEMPTS: u32 = 3;
/// The most connections of an upstream, as the users' services have.
const UPSTREAM_CONNECTIONS: u32 = 220;
/// The longest body of a request in bytes; those of a run are a few bytes long.
const MAX_BODY_BYTES: u64 = 64 * 1024;
/// The timeout of the route `MARK_PATH` in version 0, in milliseconds. Each version adds
/// `VERSION_TIMEOUT_STEP_MS`, so that the remaining time at the upstream shows the version.
const VERSION_TIMEOUT_BASE_MS: u64 = 100_000;
/// What each version adds to the timeout of the route `MARK_PATH`, in milliseconds. Longer than a
/// call can wait before it is sent to its upstream, so that no version can be taken for the one
/// before it.
const VERSION_TIMEOUT_STEP_MS: u64 = 10_000;
/// The step between two versions. On the platform, versions grow in uneven steps.
const VERSION_STEP: u64 = 3;
/// The number of calls that the store executes without an answer during a fault; more than are made
/// in the longest one.
const LOST_ANSWERS: u64 = 10_000;

/// Returns the version of the configuration that a call on `MARK_PATH` shows by its remaining time
/// in milliseconds, or `None` for a call on another path.
pub fn shown_version(remaining_ms: u64) -> Option<u64> {
    remaining_ms
        .checked_sub(VERSION_TIMEOUT_BASE_MS)
        .map(|over| over.div_ceil(VERSION_TIMEOUT_STEP_MS))
}

fn route_config(version: u64) -> ConfigEntry {
    let version_timeout =
        ClockSpan::from_millis(VERSION_TIMEOUT_BASE_MS + version * VERSION_TIMEOUT_STEP_MS);
    let route = |path: &str, index: usize, timeout: ClockSpan| CallRoute {
        name: path.into(),
        host: HOST.into(),
        path_prefix: path.into(),
        idempotent: path != BOOK_PATH,
        class: WorkClass::Urgent,
        timeout,
        objective: LATENCY_OBJECTIVE,
        attempts: MAX_ATTEMPTS,
        targets: vec![RouteTarget { service: SERVICES[index].into(), weight: 1.0 }],
    };
    let service = |name: &str| ServiceEntry {
        name: name.into(),
        health_path: "/health".into(),
        connections: UPSTREAM_CONNECTIONS,
    };
    ConfigEntry {
        version,
        routes: vec![
            route(LOOK_PATH, 0, ROUTE_TIMEOUT),
            route(BOOK_PATH, 0, ROUTE_TIMEOUT),
            route(MARK_PATH, 1, version_timeout),
            route(BULK_PATH, 1, ROUTE_TIMEOUT),
        ],
        services: SERVICES.map(service).to_vec(),
        caller_limits: CallerLimits { body_bytes: MAX_BODY_BYTES },
    }
}

/// The store of a run and the newest configuration in it.
#[derive(Debug)]
pub struct SoakStore {
    /// The stand-in.
    pub stand: StoreStand,
    newest_version: u64,
}

impl SoakStore {
    /// Starts a store that holds a configuration.
    ///
    /// # Errors
    ///
    /// Fails if no address can be bound.
    pub async fn start() -> Result<Self, StandError> {
        let stand = StoreStand::start(RowPlan::default()).await?;
        let store = Self { stand, newest_version: VERSION_STEP };
        write_config(&store.stand.handle(), &route_config(store.newest_version));
        Ok(store)
    }

    /// Writes a newer version of the configuration, or the one before the newest. Returns its number.
    pub fn write_version(&mut self, fault: ConfigFault) -> u64 {
        let version = match fault {
            ConfigFault::Newer => {
                self.newest_version += VERSION_STEP;
                self.newest_version
            }
            ConfigFault::Older => self.newest_version - VERSION_STEP,
        };
        write_config(&self.stand.handle(), &route_config(version));
        version
    }

    /// Replaces the faults in force.
    pub async fn set_faults(&self, faults: &[StoreFault]) {
        let rules = faults.iter().filter_map(|fault| row_fault(*fault)).collect();
        self.stand.update(|plan| plan.faults = rules);
        self.stand.listen(!faults.contains(&StoreFault::Closed)).await;
    }
}

fn row_fault(fault: StoreFault) -> Option<RowFault> {
    let rule = RowFault::default();
    match fault {
        StoreFault::Down(outage) => Some(RowFault { down: Some(outage), ..rule }),
        StoreFault::Slow { ms } => Some(RowFault { slow_ms: ms, ..rule }),
        StoreFault::Lost(loss) => Some(RowFault { lost_answers: LOST_ANSWERS, loss, ..rule }),
        StoreFault::LostConfig => {
            Some(RowFault { lost_changes: Some(PlatformCodec::CONFIG_TABLE.into()), ..rule })
        }
        StoreFault::LostPolls => {
            Some(RowFault { lost_polls: Some(PlatformCodec::CONFIG_TABLE.into()), ..rule })
        }
        StoreFault::Late { ms, loss } => Some(RowFault { late_ms: Some(ms), loss, ..rule }),
        StoreFault::Closed | StoreFault::HistoryDropped => None,
    }
}

/// Replaces the faults in force on a link.
pub fn set_link_faults(link: &FaultProxy, faults: &[LinkFault]) {
    link.update(|plan| {
        let target = plan.target;
        *plan = ProxyPlan { target, ..ProxyPlan::default() };
        for fault in faults {
            match *fault {
                LinkFault::Delay { ms } => plan.delay_ms = plan.delay_ms.max(ms),
                LinkFault::Narrow { bytes_per_second } => {
                    plan.bytes_per_second = Some(bytes_per_second);
                }
                LinkFault::Cut(direction) => plan.hold = Some(direction),
                LinkFault::Refuse => plan.refuse = true,
                LinkFault::Reset | LinkFault::Silence => {}
            }
        }
    });
}

/// Applies the instantaneous effect of a fault that starts on a link.
pub fn start_link_fault(link: &FaultProxy, fault: LinkFault) {
    match fault {
        LinkFault::Reset => link.cut_all(),
        LinkFault::Silence => link.silence_connections(),
        _ => {}
    }
}

/// Applies the instantaneous effect of a fault that ends on a link. Called before the remaining
/// faults are set.
pub fn end_link_fault(link: &FaultProxy, fault: LinkFault) {
    // Bytes that were held back must not arrive after their sender has given up.
    if matches!(fault, LinkFault::Cut(_)) {
        link.cut_all();
    }
}
