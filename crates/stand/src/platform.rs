//! The platform's services, in memory.

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

/// Everything that the platform stand-in can be told. Absent fields take their defaults.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformPlan {
    /// Where the services listen. Read at the start only.
    pub listen: SocketAddr,
    /// Where the admin interface listens. Read at the start only.
    pub admin_listen: SocketAddr,
    /// Seed of the delays and lost answers. Read at the start only.
    pub seed: u64,
    /// Present while the services are down.
    pub outage: Option<PlatformOutage>,
    /// Time before each call is carried out.
    pub delay: ServiceTime,
    /// The next transactions and stored objects whose answers are lost after the commit.
    pub lose_next: u64,
    /// The share of further answers to writes that is lost, `0.0..1.0`.
    pub lose_share: f64,
    /// Transactions and stored objects a second; further ones are refused with 429.
    pub writes_per_second: Option<u32>,
    /// Reads, scans and fetched objects a second; further ones are refused with 429.
    pub reads_per_second: Option<u32>,
    /// The age of the membership list.
    pub member_lag_ms: u64,
    /// The membership list at the start. Read at the start only.
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

/// How the services are down.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformOutage {
    /// Connections are cut and refused.
    Refuse,
    /// Calls are accepted, not carried out and never answered.
    Silent,
}

/// Counters since the start of the stand-in.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct PlatformCounts {
    /// Calls whose head was read, before any delay.
    pub arrived: u64,
    /// Transactions and stored objects, whether they succeeded or not.
    pub writes: u64,
    /// Reads, scans and fetched objects.
    pub reads: u64,
    /// Reads of the membership list.
    pub member_reads: u64,
    /// Transactions that were committed.
    pub committed: u64,
    /// Transactions whose attempt id had committed before.
    pub repeated: u64,
    /// Transactions that were rejected by an expectation.
    pub conflicts: u64,
    /// Rows written by committed transactions.
    pub rows_written: u64,
    /// Calls refused because of the limits.
    pub throttled: u64,
    /// Writes whose answer was lost after the commit.
    pub lost_answers: u64,
    /// Calls that are never answered.
    pub silenced: u64,
    /// Calls that were not understood.
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

    /// Returns the address of the services.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the admin interface.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Returns the plan in force.
    pub fn plan(&self) -> PlatformPlan {
        self.core.plan()
    }

    /// Puts a plan into force.
    pub fn set_plan(&self, plan: PlatformPlan) {
        self.core.update(|own| *own = plan);
    }

    /// Changes some fields of the plan in force.
    pub fn update(&self, change: impl FnOnce(&mut PlatformPlan)) {
        self.core.update(change);
    }

    /// Changes the membership list. Callers see the change after the lag.
    pub fn change_members(&self, change: impl FnOnce(&mut Vec<PlatformMember>)) {
        self.core.change_members(change);
    }

    /// Returns the counters.
    pub fn counts(&self) -> PlatformCounts {
        self.core.counts()
    }

    /// Waits until the counters meet a condition.
    pub async fn wait_for(&self, met: impl Fn(&PlatformCounts) -> bool) {
        self.core.wait_for(met).await;
    }

    /// Waits until the services accept connections, or until they refuse them.
    pub async fn wait_listening(&self, listening: bool) {
        self.core.port.wait_listening(listening).await;
    }

    /// Returns a row without a call, also during an outage.
    pub fn row(&self, table: &str, key: &str) -> Option<StoredRow> {
        self.core.row(table, key)
    }

    /// Stops and waits until the addresses are free for another listener. A process that is being
    /// started at the same moment may hold them a little longer, until its exec.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
    }
}

impl Drop for PlatformStand {
    fn drop(&mut self) {
        self.core.port.close_and_cut();
    }
}
