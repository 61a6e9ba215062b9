//! What VMs and operators say to each other.

use std::net::SocketAddr;

use base::prelude::*;
use config::prelude::*;
use route::prelude::*;
use serde::{Deserialize, Serialize};
use store::prelude::{RowPage, TableRow};
use suspect::prelude::*;
use world::prelude::*;

/// The method with which VMs exchange what they know.
pub const EXCHANGE: &str = "peer_exchange";
/// The method with which a VM fetches a document from a peer.
pub const DOCUMENT: &str = "peer_document";
/// The method with which a VM asks the owner of a suspect for an isolated run.
pub const GRANT: &str = "peer_grant";
/// The method with which a VM tells the owner of a suspect how an isolated run ended.
pub const GRANT_END: &str = "peer_grant_end";
/// The method with which operators look at a VM.
pub const STATUS: &str = "operator_status";
/// The method with which operators list the requests that are suspected of crashing upstreams.
pub const SUSPECTS: &str = "operator_suspects";
/// The method with which operators release such a request on every VM.
pub const RELEASE: &str = "operator_release";
/// The method with which operators read a VM's counts of calls against the objectives.
pub const BURN: &str = "operator_burn";

/// A VM and its control listener.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PeerContact {
    /// The VM.
    pub vm: SharedName,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// The time since it was last heard from.
    pub age: ClockSpan,
}

/// What one VM tells another, as a request and as its answer.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ExchangeNotice {
    /// The sender and VMs that it heard from lately. The platform's list lags, so that a VM that
    /// starts would otherwise miss what its peers tell one another.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub contacts: Vec<PeerContact>,
    /// The version in force at the sender.
    pub version: Option<VersionMark>,
    /// Drain marks and load samples.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub upstreams: Vec<UpstreamNotice>,
    /// Requests that crash upstreams.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<SuspectNotice>,
}

/// A VM's question to the owner of a suspect.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct GrantQuestion {
    /// The fingerprint of the suspect.
    pub fingerprint: u64,
    /// The VM that asks.
    pub vm: SharedName,
}

/// How a VM's isolated run ended.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct GrantEnd {
    /// The run.
    pub report: GrantReport,
    /// The VM that performed it.
    pub vm: SharedName,
}

/// What a VM says about itself to operators.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StatusReport {
    /// The VM and its incarnation.
    pub vm: VmIdentity,
    /// The environment that it serves.
    pub environment: SharedName,
    /// The version in force.
    pub version: Option<VersionMark>,
    /// Whether it wants new calls.
    pub ready: bool,
    /// Calls in flight.
    pub calls: u64,
}

/// A table of the platform's store as a VM knows it, for peers that the store refuses.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TableCopy {
    /// The position from which changes are to be followed.
    pub position: u64,
    /// The rows.
    pub rows: Vec<RowCopy>,
}

/// A row of a [`TableCopy`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RowCopy {
    /// The key.
    pub key: SharedName,
    /// The version.
    pub version: u64,
    /// The value.
    pub value: Vec<u8>,
}

impl TableCopy {
    /// Returns the copy of a whole table.
    pub fn from_page(page: RowPage) -> Self {
        let copy = |row: TableRow| {
            let value = row.value?.to_vec();
            Some(RowCopy { key: row.key, version: row.version, value })
        };
        Self { position: page.position, rows: page.rows.into_iter().filter_map(copy).collect() }
    }

    /// Returns the table.
    pub fn into_page(self) -> RowPage {
        let row = |copy: RowCopy| TableRow {
            key: copy.key,
            version: copy.version,
            value: Some(copy.value.into()),
        };
        let rows = self.rows.into_iter().map(row).collect();
        RowPage { rows, position: self.position, ..RowPage::default() }
    }
}
