//! Queries the VMs until all of them have a version in force, and lists the version of each.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use serde::Serialize;
use store::prelude::*;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::vm::{VmError, VmQuery, VmStatus};

/// The time between two rounds of queries.
const ROUND_GAP: Duration = Duration::from_millis(250);

/// Whether a VM has the version in force.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum VmState {
    /// The VM has the version, or a newer one, in force.
    Active {
        /// The version in force.
        version: u64,
    },
    /// The VM has an older version, or none, in force.
    Behind {
        /// The version in force, or `None` if the VM has none yet.
        version: Option<u64>,
    },
    /// The VM did not answer.
    Silent {
        /// The error of the query.
        reason: String,
    },
}

/// The state of all VMs on the platform's list. Does no I/O.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct RolloutTable {
    version: u64,
    /// Why the latest read of the list of VMs failed, or `None` if it succeeded.
    unlisted: Option<String>,
    vms: BTreeMap<SharedName, VmState>,
}

impl RolloutTable {
    /// Returns a table without VMs for a version.
    pub fn new(version: u64) -> Self {
        Self { version, unlisted: None, vms: BTreeMap::new() }
    }

    /// Updates the list of VMs and returns those that have not confirmed the version. Leaves out
    /// VMs that are shutting down or no longer listed. Returns none if the list could not be read.
    pub fn list(&mut self, listed: Result<MemberList, StoreError>) -> Vec<MemberEntry> {
        let members = match listed {
            Ok(list) => list.members,
            Err(error) => {
                self.unlisted = Some(error.to_string());
                return Vec::new();
            }
        };
        self.unlisted = None;
        let serving: Vec<_> = members.into_iter().filter(|member| !member.leaving).collect();
        self.vms.retain(|name, _| serving.iter().any(|member| member.name == *name));
        let is_unconfirmed = |member: &MemberEntry| {
            !matches!(self.vms.get(&member.name), Some(VmState::Active { .. }))
        };
        serving.into_iter().filter(is_unconfirmed).collect()
    }

    /// Records the answer of a VM.
    pub fn record(&mut self, vm: SharedName, answer: Result<VmStatus, VmError>) {
        let state = match answer {
            Ok(VmStatus { version: Some(version), .. }) if version >= self.version => {
                VmState::Active { version }
            }
            Ok(VmStatus { version, .. }) => VmState::Behind { version },
            Err(error) => VmState::Silent { reason: error.to_string() },
        };
        self.vms.insert(vm, state);
    }

    /// Returns whether the list is known and every VM on it has the version.
    pub fn is_complete(&self) -> bool {
        self.unlisted.is_none()
            && self.vms.values().all(|state| matches!(state, VmState::Active { .. }))
    }
}

impl fmt::Display for RolloutTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(reason) = &self.unlisted {
            writeln!(formatter, "the list of VMs could not be read: {reason}")?;
        } else if self.vms.is_empty() {
            writeln!(formatter, "the platform lists no VMs")?;
        }
        for (name, state) in &self.vms {
            match state {
                VmState::Active { version } => {
                    writeln!(formatter, "{name}: version {version} in force")?;
                }
                VmState::Behind { version: Some(version) } => {
                    writeln!(formatter, "{name}: still has version {version}")?;
                }
                VmState::Behind { version: None } => {
                    writeln!(formatter, "{name}: has no version yet")?;
                }
                VmState::Silent { reason } => {
                    writeln!(formatter, "{name}: did not answer: {reason}")?;
                }
            }
        }
        Ok(())
    }
}

/// Queries the VMs until all have the version, or until `limit` has passed. Queries each VM at
/// least once.
pub async fn wait<S: PlatformStore, Q: VmQuery>(
    store: &S,
    query: &Q,
    version: u64,
    limit: Duration,
) -> RolloutTable {
    let deadline = Instant::now() + limit;
    let mut table = RolloutTable::new(version);
    loop {
        let unconfirmed = table.list(store.members().await);
        let mut answers = JoinSet::new();
        for member in unconfirmed {
            let query = query.clone();
            answers
                .spawn(async move { (member.name.clone(), query_member(&query, &member).await) });
        }
        for (name, answer) in answers.join_all().await {
            table.record(name, answer);
        }
        if table.is_complete() || Instant::now() + ROUND_GAP >= deadline {
            return table;
        }
        tokio::time::sleep(ROUND_GAP).await;
    }
}

async fn query_member<Q: VmQuery>(query: &Q, member: &MemberEntry) -> Result<VmStatus, VmError> {
    let address: SocketAddr = member
        .peer_address
        .parse()
        .map_err(|_| VmError::Address { address: member.peer_address.clone() })?;
    query.status(address).await
}
