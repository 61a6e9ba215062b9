//! Messages that VMs send to one another in datagrams.

use base::prelude::*;
use directory::prelude::{DrainMark, EvacuationMark, VmEntry};
use member::prelude::{BroadcastId, LostVm};
use serde::{Deserialize, Serialize};
use store::prelude::TableRow;
use suspect::prelude::SuspectNotice;
use world::prelude::VmIdentity;

/// A message and its sender.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PeerEnvelope {
    /// The VM that sends.
    pub sender: SharedName,
    /// The incarnation of the sender.
    pub incarnation: u64,
    /// The id of a broadcast, which receivers pass on, or `None` for a message to its receivers
    /// only.
    pub origin: Option<BroadcastId>,
    /// The message.
    pub message: PeerMessage,
}

impl PeerEnvelope {
    /// Returns the envelope for a message of `vm` that receivers do not pass on.
    pub fn direct(vm: &VmIdentity, message: PeerMessage) -> Self {
        Self { sender: vm.name.clone(), incarnation: vm.incarnation, origin: None, message }
    }

    /// Returns the envelope for a broadcast of `vm`. The number of its origin is a placeholder that
    /// takes as many bytes as any number can, so that the parts of a long message fit into
    /// datagrams with every number.
    pub fn broadcast(vm: &VmIdentity, message: PeerMessage) -> Self {
        let (name, incarnation) = (vm.name.clone(), vm.incarnation);
        let origin = BroadcastId { vm: name, incarnation, number: u64::MAX };
        Self { origin: Some(origin), ..Self::direct(vm, message) }
    }

    /// Returns the envelope with which `vm` passes the broadcast on, with the ages in the message
    /// increased by `delay`.
    pub fn forwarded(self, vm: &VmIdentity, delay: ClockSpan) -> Self {
        let message = self.message.aged(delay);
        Self { sender: vm.name.clone(), incarnation: vm.incarnation, message, ..self }
    }
}

/// The contents of a datagram. The order of the variants is part of the format.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum PeerMessage {
    /// The identity and addresses of the sender.
    Hello(HelloMessage),
    /// Changes that the sender has read from the store's table of upstreams.
    Directory(DirectoryMessage),
    /// Load of upstreams, as observed by the sender.
    Load(LoadMessage),
    /// Requests that crash upstreams.
    Suspects(SuspectMessage),
    /// VMs that no longer answer.
    Losses(LossMessage),
    /// The incarnation of the receiver that the sender knows. It is sent in answer to a hello with
    /// a lower one.
    Outdated(u64),
    /// A new version of the configuration.
    Config(ConfigMessage),
    /// Upstreams that reported that they leave.
    Drains(DrainMessage),
    /// Data centres that operators have evacuated, or whose evacuation has ended.
    Evacuations(EvacuationMessage),
    /// Asks the owner of a part of an account's quota for credits.
    CreditRequest(CreditRequestMessage),
    /// The answer to such a request.
    CreditAnswer(CreditAnswerMessage),
}

impl PeerMessage {
    /// Returns the message with its ages increased by `delay`.
    fn aged(mut self, delay: ClockSpan) -> Self {
        match &mut self {
            Self::Directory(directory) => {
                directory.age_ms = directory.age_ms.saturating_add(millis(delay));
            }
            Self::Suspects(suspects) => {
                for notice in &mut suspects.notices {
                    notice.cleared_age += delay;
                    notice.renewed_age += delay;
                    for incident in &mut notice.incidents {
                        incident.age += delay;
                    }
                }
            }
            Self::Losses(losses) => {
                for loss in &mut losses.vms {
                    loss.silent_ms = loss.silent_ms.saturating_add(millis(delay));
                }
            }
            Self::Hello(_)
            | Self::Load(_)
            | Self::Outdated(_)
            | Self::Config(_)
            | Self::Drains(_)
            | Self::Evacuations(_)
            | Self::CreditRequest(_)
            | Self::CreditAnswer(_) => {}
        }
        self
    }
}

fn millis(span: ClockSpan) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

/// A heartbeat with everything that a peer needs to answer it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HelloMessage {
    /// The sender and its addresses.
    pub entry: VmEntry,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// Whether the sender asks for a hello in return. An answer never asks for one.
    pub answer_wanted: bool,
    /// The version of the configuration in force at the sender.
    pub config_version: u64,
}

/// The changes that one read of the table of upstreams returned.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DirectoryMessage {
    /// The position in the table's history after which changes were read. A receiver whose position
    /// is lower has missed changes and has to read the table from the store.
    pub from: u64,
    /// The position in the table's history after the read.
    pub position: u64,
    /// The time since the read in milliseconds.
    pub age_ms: u32,
    /// The rows that changed. A row without a value was removed.
    #[serde(with = "row_list")]
    pub rows: Vec<TableRow>,
    /// Whether the rows were left out because they do not fit into a datagram.
    pub rows_omitted: bool,
    /// The version of the configuration in force at the sender.
    pub config_version: u64,
}

/// The version of the configuration in force at a VM that has just read it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ConfigMessage {
    /// The version.
    pub version: u64,
}

/// Incarnations of upstreams that drain until they end, as they reported in answers to a VM.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DrainMessage {
    /// The incarnations.
    pub marks: Vec<DrainMark>,
}

/// Data centres that are or were evacuated.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EvacuationMessage {
    /// One mark for each of them.
    pub marks: Vec<EvacuationMark>,
}

/// A request for credits, each of which allows one call of an account.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CreditRequestMessage {
    /// The number of the request, which its answer repeats.
    pub id: u64,
    /// The account.
    pub account: SharedName,
    /// How many credits are of use.
    pub count: u32,
}

/// The answer to a request for credits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CreditAnswerMessage {
    /// The number of the request.
    pub id: u64,
    /// How many credits were granted.
    pub granted: u32,
    /// Without credits, the time in milliseconds after which there may be one, or `None` if the
    /// sender does not own the quota.
    pub retry_ms: Option<u32>,
}

/// The load of upstreams, as observed by a VM.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoadMessage {
    /// One sample for each upstream.
    pub samples: Vec<LoadSample>,
}

/// The load of one upstream, as observed by a VM. The widths of the integers suffice for a VM's
/// connections to an upstream (220) and for the ages at which a sample still counts (65 s).
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoadSample {
    /// The upstream.
    pub upstream: SharedName,
    /// The incarnation of the upstream.
    pub incarnation: u64,
    /// The time since the observation in milliseconds.
    pub age_ms: u16,
    /// Calls that the upstream runs.
    pub in_flight: u16,
    /// Calls that wait at the upstream.
    pub queued: u16,
    /// Calls that the upstream can run at a time.
    pub slots: u16,
    /// The present service time as a percentage of the usual one.
    pub pace_percent: Option<u16>,
    /// Calls that failed recently.
    pub failures: u8,
}

/// Requests that crash upstreams.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SuspectMessage {
    /// One notice for each of them, or several with parts of its crashes.
    pub notices: Vec<SuspectNotice>,
}

/// VMs that no longer answer the sender, which is one of their neighbours.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LossMessage {
    /// The VMs.
    pub vms: Vec<LostVm>,
}

/// The serialised form of table rows in messages. The type of the store crate has none, because
/// each protocol of a store defines its own.
mod row_list {
    use base::prelude::*;
    use bytes::Bytes;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use store::prelude::TableRow;

    #[derive(Deserialize, Serialize)]
    struct RowForm {
        key: SharedName,
        version: u64,
        value: Option<Vec<u8>>,
    }

    impl From<&TableRow> for RowForm {
        fn from(row: &TableRow) -> Self {
            let value = row.value.as_ref().map(|value| value.to_vec());
            Self { key: row.key.clone(), version: row.version, value }
        }
    }

    impl From<RowForm> for TableRow {
        fn from(form: RowForm) -> Self {
            let RowForm { key, version, value } = form;
            Self { key, version, value: value.map(Bytes::from) }
        }
    }

    pub(super) fn serialize<S: Serializer>(
        rows: &[TableRow],
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(rows.iter().map(RowForm::from))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<TableRow>, D::Error> {
        let forms = Vec::<RowForm>::deserialize(deserializer)?;
        Ok(forms.into_iter().map(TableRow::from).collect())
    }
}
