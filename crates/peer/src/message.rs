//! Methods of the control listener, with their parameters and results.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use base::prelude::*;
use bytes::Bytes;
use config::prelude::*;
use directory::prelude::DrainMark;
use member::prelude::MemberNotice;
use route::prelude::*;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use store::prelude::{RowPage, TableRow};
use suspect::prelude::*;
use world::prelude::*;

/// The method with which VMs exchange their state.
pub const EXCHANGE: &str = "peer_exchange";
/// The method with which a VM fetches a document from a peer.
pub const DOCUMENT: &str = "peer_document";
/// The method with which a VM fetches a copy of a table or of the configuration from a peer.
pub const COPY: &str = "peer_copy";
/// The method with which a VM asks the owner of a suspect, the VM that grants its isolated runs,
/// for permission to perform one.
pub const GRANT: &str = "peer_grant";
/// The method with which a VM reports the end of an isolated run to the owner of the suspect.
pub const GRANT_END: &str = "peer_grant_end";
/// The method with which operators read the state of a VM.
pub const STATUS: &str = "operator_status";
/// The method with which operators list the requests that are suspected of crashing upstreams.
pub const SUSPECTS: &str = "operator_suspects";
/// The method with which operators release such a request on every VM.
pub const RELEASE: &str = "operator_release";
/// The method with which operators read a VM's counts of calls that met or missed their objectives.
pub const BURN: &str = "operator_burn";

/// A VM and its control listener.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PeerContact {
    /// The VM.
    pub vm: SharedName,
    /// The address at which peers reach it.
    pub address: SocketAddr,
    /// The time since a message from it was last received.
    pub age: ClockSpan,
}

/// The state that a VM sends to a peer, as the request and as the answer of an exchange.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ExchangeNotice {
    /// The sender and the VMs from which it has recently received messages. The platform's
    /// membership list lags, so that a VM that has just started would otherwise miss the messages
    /// of its peers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub contacts: Vec<PeerContact>,
    /// The version of the configuration in force at the sender.
    pub version: Option<VersionId>,
    /// Drain flags and load samples of upstreams.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub upstreams: Vec<UpstreamNotice>,
    /// Requests that crash upstreams.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<SuspectNotice>,
}

/// A VM's request to the owner of a suspect for an isolated run.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct GrantRequest {
    /// The fingerprint of the suspect.
    pub fingerprint: u64,
    /// The VM that asks.
    pub vm: SharedName,
}

/// The result of an isolated run.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct GrantResult {
    /// The run and how it ended.
    pub report: GrantReport,
    /// The VM that performed it.
    pub vm: SharedName,
}

/// The state of a VM, for operators.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StatusReport {
    /// The VM and its incarnation.
    pub vm: VmIdentity,
    /// The environment that it serves.
    pub environment: SharedName,
    /// The version of the configuration in force.
    pub version: Option<VersionId>,
    /// Whether it accepts new calls.
    pub ready: bool,
    /// Calls in flight.
    pub calls: u64,
}

/// What a VM can fetch from a peer instead of the platform's store. Its text is the parameter of the
/// request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopyName {
    /// The configuration.
    Configuration {
        /// The lowest version that is of use.
        at_least: u64,
    },
    /// The whole table of upstreams.
    Upstreams {
        /// The lowest position that is of use.
        at_least: u64,
    },
    /// The changes of the table of upstreams.
    Changes {
        /// The position after which they are needed.
        after: u64,
        /// The lowest position that is of use.
        at_least: u64,
    },
    /// The VMs that the peer knows.
    Members,
    /// Requests that crash upstreams.
    Suspects,
}

impl fmt::Display for CopyName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Configuration { at_least } => write!(formatter, "configuration:{at_least}"),
            Self::Upstreams { at_least } => write!(formatter, "upstreams:{at_least}"),
            Self::Changes { after, at_least } => write!(formatter, "changes:{after}:{at_least}"),
            Self::Members => formatter.write_str("members"),
            Self::Suspects => formatter.write_str("suspects"),
        }
    }
}

/// Error: a text is not the name of a copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("not the name of a copy; run the same release on all VMs"))]
pub struct UnknownCopy;

impl FromStr for CopyName {
    type Err = UnknownCopy;

    fn from_str(text: &str) -> Result<Self, UnknownCopy> {
        let mut parts = text.split(':');
        let kind = parts.next();
        let numbers: Result<Vec<u64>, _> = parts.map(str::parse).collect();
        match (kind, numbers.as_deref()) {
            (Some("configuration"), Ok(&[at_least])) => Ok(Self::Configuration { at_least }),
            (Some("upstreams"), Ok(&[at_least])) => Ok(Self::Upstreams { at_least }),
            (Some("changes"), Ok(&[after, at_least])) => Ok(Self::Changes { after, at_least }),
            (Some("members"), Ok(&[])) => Ok(Self::Members),
            (Some("suspects"), Ok(&[])) => Ok(Self::Suspects),
            _ => Err(UnknownCopy),
        }
    }
}

/// The table of upstreams as a VM has it, or its changes, for peers.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TableCopy {
    /// The position after which the rows are changes, or `None` for the whole table.
    pub since: Option<u64>,
    /// The position in the table's history after which to read changes.
    pub position: u64,
    /// The time since the last read of the store that the VM knows of, in milliseconds.
    pub read_age_ms: u64,
    /// The rows.
    pub rows: Vec<RowCopy>,
    /// Upstreams that reported that they leave, which the rows do not show.
    pub drains: Vec<DrainMark>,
}

/// The VMs that a VM knows, for a peer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct MembersCopy {
    /// The live VMs, the sender first.
    pub members: Vec<MemberNotice>,
    /// The highest version of the configuration that any VM is known to have.
    pub config_version: u64,
    /// The digest of the suspects that the sender knows.
    #[serde(default)]
    pub suspect_digest: u64,
    /// See [`SuspectsCopy::is_settled`].
    #[serde(default)]
    pub is_settled: bool,
    /// Upstreams that reported that they leave. The store may list them as ready.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub drains: Vec<DrainMark>,
}

/// The requests that crash upstreams, as a VM knows them, for a peer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SuspectsCopy {
    /// The suspects, and those that were released or cleared recently.
    pub notices: Vec<SuspectNotice>,
    /// Whether the sender has run for a while or has itself learned the suspects from such a VM. If
    /// not, it may not know any suspects yet.
    pub is_settled: bool,
}

/// A row of a [`TableCopy`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RowCopy {
    /// The key.
    pub key: SharedName,
    /// The version.
    pub version: u64,
    /// The value, or `None` if the row was removed. A value that is no text names no upstream and is
    /// sent as an empty one, which does not either.
    pub value: Option<String>,
}

impl From<TableRow> for RowCopy {
    fn from(row: TableRow) -> Self {
        let text = |value: Bytes| String::from_utf8(value.into()).unwrap_or_default();
        Self { key: row.key, version: row.version, value: row.value.map(text) }
    }
}

impl TableCopy {
    /// Returns the rows as a page of the table.
    pub fn into_page(self) -> RowPage {
        let row = |copy: RowCopy| TableRow {
            key: copy.key,
            version: copy.version,
            value: copy.value.map(Bytes::from),
        };
        let rows = self.rows.into_iter().map(row).collect();
        RowPage { rows, position: self.position, ..RowPage::default() }
    }
}
