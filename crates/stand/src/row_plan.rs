//! The settings, faults and counters of a row store stand-in, as tests set and read them.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::plan::ANY_LOOPBACK;
use crate::row_dialect::RowCall;
use crate::rows::HistoryRetention;

/// The longest key in bytes that the users' store accepts.
const DEFAULT_KEY_BYTES: usize = 200;
/// The longest value in bytes that the users' store accepts.
const DEFAULT_VALUE_BYTES: usize = 65_536;
/// The largest number of rows of one read, which limits an answer to about 90 MB of encoded values.
const DEFAULT_PAGE_ROWS: usize = 1000;
/// The longest time in milliseconds that the users' store waits for a change.
const DEFAULT_HOLD_MS: u64 = 30_000;

/// The settings and faults of a row store stand-in. Fields that are absent from its JSON take their
/// defaults.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RowPlan {
    /// The address on which the store listens. Read at the start only.
    pub listen: SocketAddr,
    /// The faults. Only the first one that applies to a call takes effect.
    pub faults: Vec<RowFault>,
    /// How long changes are kept.
    pub history: HistoryRetention,
    /// The limit on transactions per second. Further ones are refused with 429.
    pub writes_per_second: Option<u32>,
    /// The limit on reads and calls for changes per second. Further ones are refused with 429.
    pub reads_per_second: Option<u32>,
    /// The largest number of rows of one read.
    pub page_rows: usize,
    /// The length in bytes of the longest key that is accepted.
    pub key_bytes: usize,
    /// The length in bytes of the longest value that is accepted.
    pub value_bytes: usize,
    /// The longest time in milliseconds for which an answer waits for a change.
    pub hold_ms: u64,
}

impl Default for RowPlan {
    fn default() -> Self {
        Self {
            listen: ANY_LOOPBACK,
            faults: Vec::new(),
            history: HistoryRetention::All,
            writes_per_second: None,
            reads_per_second: None,
            page_rows: DEFAULT_PAGE_ROWS,
            key_bytes: DEFAULT_KEY_BYTES,
            value_bytes: DEFAULT_VALUE_BYTES,
            hold_ms: DEFAULT_HOLD_MS,
        }
    }
}

impl RowPlan {
    /// Returns the first fault that applies to a call.
    pub(crate) fn fault(&mut self, source: IpAddr, kind: RowCallKind) -> Option<&mut RowFault> {
        self.faults.iter_mut().find(|fault| fault.applies(source, kind))
    }
}

/// A fault that applies to calls of some kinds from some sources.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RowFault {
    /// The source addresses of the calls. Empty means every address.
    pub sources: Vec<IpAddr>,
    /// The kinds of the calls. Empty means every kind.
    pub kinds: Vec<RowCallKind>,
    /// The kind of outage while calls are not executed. Its start also ends waits for a change.
    pub down: Option<RowOutage>,
    /// The time in milliseconds by which the execution of a call is delayed.
    pub slow_ms: u64,
    /// How many of the next calls are executed, but not answered.
    pub lost_answers: u64,
    /// If present, calls are executed this many milliseconds later, and not answered.
    pub late_ms: Option<u64>,
    /// Calls for the changes of this table are not answered while there are changes.
    pub lost_changes: Option<SharedName>,
    /// Calls for the changes of this table that arrive meanwhile are neither executed nor answered.
    pub lost_polls: Option<SharedName>,
    /// What happens to the connection of a call that is not answered.
    pub loss: AnswerLoss,
}

impl RowFault {
    fn applies(&self, source: IpAddr, kind: RowCallKind) -> bool {
        (self.sources.is_empty() || self.sources.contains(&source))
            && (self.kinds.is_empty() || self.kinds.contains(&kind))
    }
}

/// How an outage of a store looks to callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum RowOutage {
    /// Calls are received, but neither executed nor answered.
    Silent,
    /// Calls are answered with an error status.
    Refused {
        /// The HTTP status of the answer.
        status: u16,
    },
    /// The connections of calls are reset.
    Reset,
}

/// What happens to the connection of a call that is not answered.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerLoss {
    /// The connection stays open without an answer.
    #[default]
    Silent,
    /// The connection is reset.
    Reset,
}

/// The kind of a call, by which faults and limits are selected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RowCallKind {
    /// A read of a range of rows.
    Read,
    /// A call for the changes of a table.
    Feed,
    /// A transaction.
    Transact,
}

/// Counters of the calls of one source, or of all sources. `reads`, `feeds` and `transactions` are
/// counted on arrival, before any fault.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct RowCallCounts {
    /// Reads of a range of rows.
    pub reads: u64,
    /// Calls for the changes of a table.
    pub feeds: u64,
    /// Transactions, successful or not.
    pub transactions: u64,
    /// Transactions that were committed, including those executed late.
    pub committed: u64,
    /// Transactions whose conditions were not met.
    pub conflicts: u64,
    /// Calls for changes that the history no longer contains.
    pub history_lost: u64,
    /// Calls refused by an outage.
    pub refused: u64,
    /// Calls refused because they were over a limit.
    pub throttled: u64,
    /// Calls that an outage left without an answer.
    pub silenced: u64,
    /// Calls whose connection was reset by an outage.
    pub reset: u64,
    /// Calls that were executed at once, but not answered.
    pub lost_answers: u64,
    /// Calls that are executed later and not answered.
    pub late: u64,
    /// Calls that could not be decoded, or whose keys or values were too long.
    pub malformed: u64,
    /// Calls that were executed and answered.
    pub answered: u64,
}

impl RowCallCounts {
    pub(crate) fn count_arrival(&mut self, kind: RowCallKind) {
        match kind {
            RowCallKind::Read => self.reads += 1,
            RowCallKind::Feed => self.feeds += 1,
            RowCallKind::Transact => self.transactions += 1,
        }
    }
}

/// Counters since the start of the stand-in.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct RowCounts {
    /// The counters of all sources together.
    pub all: RowCallCounts,
    /// The counters of each source address.
    pub by_source: BTreeMap<IpAddr, RowCallCounts>,
    /// For each table, the newest version after which a call asked for changes. A client that asks
    /// for the changes after a version has applied all changes up to it.
    pub followed: BTreeMap<SharedName, u64>,
}

impl RowCounts {
    /// Returns the counters of one source; zero for a source without calls.
    pub fn of_source(&self, source: IpAddr) -> RowCallCounts {
        self.by_source.get(&source).copied().unwrap_or_default()
    }

    /// Returns the newest version after which a call asked for the changes of a table; zero if none
    /// did.
    pub fn followed(&self, table: &str) -> u64 {
        self.followed.get(table).copied().unwrap_or_default()
    }

    pub(crate) fn count_arrival(&mut self, source: IpAddr, call: &RowCall) {
        let kind = call.kind();
        self.count(source, |counts| counts.count_arrival(kind));
        if let RowCall::Feed(feed) = call {
            let followed = self.followed.entry(feed.table.clone()).or_default();
            *followed = feed.after.max(*followed);
        }
    }

    pub(crate) fn count(&mut self, source: IpAddr, change: impl Fn(&mut RowCallCounts)) {
        change(&mut self.all);
        change(self.by_source.entry(source).or_default());
    }
}
