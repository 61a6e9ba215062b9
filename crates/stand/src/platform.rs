//! The platform stand-in: tables, objects and the membership list over HTTP, stored in memory, with
//! faults that are switched at run time.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;

use crate::error::StandError;
use crate::plan::ANY_LOOPBACK;
use crate::port::StandPort;
use crate::protocol::{self, PlatformCore};
use crate::service::ServiceTime;
use crate::web;
use crate::wire::{PlatformMember, StoredRow};

/// The settings and faults of the platform stand-in. Fields that are absent from its JSON take
/// their defaults.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformPlan {
    /// The address on which the services listen. Read at the start only.
    pub listen: SocketAddr,
    /// The address on which the admin interface listens. Read at the start only.
    pub admin_listen: SocketAddr,
    /// The seed for random delays and lost answers. Read at the start only.
    pub seed: u64,
    /// The kind of outage while the services are down, or `None` while they are up.
    pub outage: Option<PlatformOutage>,
    /// The time by which the execution of each call is delayed.
    pub delay: ServiceTime,
    /// How many of the next writes (transactions and stored objects) lose their answers after the
    /// commit.
    pub lose_next: u64,
    /// The share of the answers to later writes that is lost after the commit, `0.0..1.0`, or
    /// `1.0` for all.
    pub lose_share: f64,
    /// The limit on transactions and stored objects per second. Further ones are refused with 429.
    pub writes_per_second: Option<u32>,
    /// The limit on reads, scans and fetched objects per second. Further ones are refused with 429.
    pub reads_per_second: Option<u32>,
    /// The age of the membership list that callers see, in milliseconds.
    pub member_lag_ms: u64,
    /// The first membership list. Read at the start only.
    pub members: Vec<PlatformMember>,
}

impl Default for PlatformPlan {
    fn default() -> Self {
        Self {
            listen: ANY_LOOPBACK,
            admin_listen: ANY_LOOPBACK,
            seed: 0,
            outage: None,
            delay: ServiceTime::Fixed { ms: 0.0 },
            lose_next: 0,
            lose_share: 0.0,
            writes_per_second: None,
            reads_per_second: None,
            member_lag_ms: 0,
            members: Vec::new(),
        }
    }
}

/// How an outage of the services looks to callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformOutage {
    /// Open connections are closed and new ones refused.
    Refuse,
    /// Calls are received, but neither executed nor answered.
    Silent,
}

/// Counters since the start of the stand-in.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct PlatformCounts {
    /// Calls whose head was read. They are counted before any delay.
    pub arrived: u64,
    /// Transactions and stored objects, successful or not.
    pub writes: u64,
    /// Reads, scans, fetched objects and calls with an unknown method or path.
    pub reads: u64,
    /// Reads of the membership list.
    pub member_reads: u64,
    /// Transactions that were committed, without repeats.
    pub committed: u64,
    /// Transactions whose attempt id had committed before.
    pub repeated: u64,
    /// Transactions that were rejected because an expectation was not met.
    pub conflicts: u64,
    /// Rows written by committed transactions.
    pub rows_written: u64,
    /// Calls refused because they were over a limit.
    pub throttled: u64,
    /// Writes whose answer was lost after the commit.
    pub lost_answers: u64,
    /// Calls that a silent outage left without an answer.
    pub silenced: u64,
    /// Calls that could not be decoded.
    pub malformed: u64,
}

/// A running platform stand-in. It stops when it is dropped.
#[derive(Debug)]
pub struct PlatformStand {
    core: Arc<PlatformCore>,
    address: SocketAddr,
    admin_address: SocketAddr,
    tasks: JoinSet<()>,
}

impl PlatformStand {
    /// Starts the platform in the current tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails if one of the two addresses cannot be bound.
    pub async fn start(plan: PlatformPlan) -> Result<Self, StandError> {
        let (port, control) = StandPort::open(plan.listen)?;
        let (admin_port, admin_control) = StandPort::open(plan.admin_listen)?;
        let (address, admin_address) = (port.address(), admin_port.address());
        let core = PlatformCore::new(plan, control);
        let mut tasks = JoinSet::new();
        tasks.spawn(web::serve_port(port, core.port.clone(), core.clone(), protocol::serve));
        tasks.spawn(web::serve_port(admin_port, admin_control, core.clone(), protocol::administer));
        Ok(Self { core, address, admin_address, tasks })
    }

    /// Returns the address on which the services listen.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address on which the admin interface listens.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Returns the current plan. `lose_next` is the number of answers still to be lost.
    pub fn plan(&self) -> PlatformPlan {
        self.core.plan()
    }

    /// Replaces the current plan. The fields that are read at the start only have no effect.
    pub fn set_plan(&self, plan: PlatformPlan) {
        self.core.update(|current| *current = plan);
    }

    /// Changes fields of the current plan.
    pub fn update(&self, change: impl FnOnce(&mut PlatformPlan)) {
        self.core.update(change);
    }

    /// Changes the membership list. Callers see the change after the lag.
    pub fn change_members(&self, change: impl FnOnce(&mut Vec<PlatformMember>)) {
        self.core.change_members(change);
    }

    /// Returns the current counters.
    pub fn counts(&self) -> PlatformCounts {
        self.core.counts()
    }

    /// Waits until the condition on the counters holds.
    pub async fn wait_for(&self, condition: impl Fn(&PlatformCounts) -> bool) {
        self.core.wait_for(condition).await;
    }

    /// Waits until the services accept connections (`listening`) or refuse them (`!listening`).
    pub async fn wait_listening(&self, listening: bool) {
        self.core.port.wait_listening(listening).await;
    }

    /// Returns a row, or `None` if it does not exist. Needs no call, so it works during an outage.
    pub fn row(&self, table: &str, key: &str) -> Option<StoredRow> {
        self.core.row(table, key)
    }

    /// Stops and waits until the addresses are free for another listener. A process that is started
    /// at the same time inherits the sockets and may keep the addresses in use until its exec.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
    }
}

impl Drop for PlatformStand {
    fn drop(&mut self) {
        self.core.port.close_and_cut();
    }
}
