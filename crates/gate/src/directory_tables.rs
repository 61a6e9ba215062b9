//! What this VM has read from the store and from peers, and the copies of it that peers may fetch.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use base::prelude::*;
use bytes::Bytes;
use directory::prelude::*;
use member::prelude::*;
use peer::prelude::*;
use store::prelude::*;
use suspect::prelude::*;

/// A VM that has run for this long has received the notices of its peers, although it found none to
/// ask at its start. The clock of a process starts with it.
const SETTLE_SPAN: ClockSpan = ClockSpan::from_secs(10);

/// What was read from the store and from peers.
#[derive(Debug)]
pub struct DirectoryTables {
    /// The upstreams.
    pub upstreams: UpstreamDirectory,
    /// The data centres that operators have evacuated.
    pub evacuations: EvacuationTable,
    /// When this VM last broadcast them.
    pub evacuations_sent_at: ClockTime,
    /// The configuration.
    pub config: ConfigTracker,
    /// Detects changes of the configuration that this VM has missed.
    pub detector: ChangeDetector,
    /// The part of the environment that comes from the process settings.
    pub bounds: FleetBounds,
    /// When a peer last reported a read of the upstreams.
    pub peer_read_at: Option<ClockTime>,
    /// When the upstreams were last read, by this VM or a peer.
    pub read_at: Option<ClockTime>,
    /// The highest position of the upstreams that a peer has reported.
    pub reported_position: u64,
    /// The number of requests to the store that timed out, as of the last read of the upstreams.
    pub timeout_count: u64,
}

impl DirectoryTables {
    /// Returns whether a peer has reported changes of upstreams that this VM misses.
    pub fn misses_changes(&self) -> bool {
        self.upstreams.position() < Some(self.reported_position)
    }

    /// Returns what a peer asked for, if this VM has it.
    pub fn copy(&self, name: CopyName, now: ClockTime) -> Option<TablesCopy> {
        let (since, page, needed) = match name {
            CopyName::Configuration { at_least } => {
                let current = self.config.current()?;
                let document = self.config.document().filter(|_| current.version >= at_least);
                return document.cloned().map(TablesCopy::Configuration);
            }
            CopyName::Upstreams { at_least } => (None, self.upstreams.table()?, at_least),
            CopyName::Changes { after, at_least } => {
                (Some(after), self.upstreams.changes_since(after)?, at_least)
            }
            CopyName::Members | CopyName::Suspects => return None,
        };
        let RowPage { rows, position, .. } = page;
        if position < needed {
            return None;
        }
        let read_age_ms = now.since(self.read_at?).as_millis();
        let drains = self.upstreams.drain_marks().cloned().collect();
        Some(TablesCopy::Upstreams { since, position, read_age_ms, rows, drains })
    }
}

/// The tables of which peers may fetch copies.
#[derive(Debug)]
pub struct CopySource {
    /// What was read from the store and from peers.
    pub tables: Arc<RankedMutex<DirectoryTables>>,
    /// The VMs.
    pub membership: Arc<RankedMutex<MembershipTable>>,
    /// Requests that crash upstreams.
    pub suspects: Arc<SuspectTable>,
    /// Whether this VM has learned the suspects from a settled VM.
    pub suspects_learned: Arc<AtomicBool>,
}

impl CopySource {
    /// Returns whether the suspects of this VM can be relied on, see [`SuspectsCopy::is_settled`].
    fn is_settled(&self, now: ClockTime) -> bool {
        let uptime = now.since(ClockTime::ZERO);
        uptime >= SETTLE_SPAN || self.suspects_learned.load(Ordering::Relaxed)
    }

    /// Returns the copy with the given name, if this VM has it.
    pub fn copy(&self, name: CopyName, now: ClockTime) -> Option<Bytes> {
        if name == CopyName::Members {
            let members = self.membership.lock().members(now);
            let (config_version, drains) = {
                let tables = self.tables.lock();
                (tables.config.highest_version(), tables.upstreams.drain_marks().cloned().collect())
            };
            let (suspect_digest, is_settled) = (self.suspects.digest(now), self.is_settled(now));
            let copy = MembersCopy { members, config_version, suspect_digest, is_settled, drains };
            // Names, addresses and numbers can always be serialised.
            return serde_json::to_vec(&copy).ok().map(Bytes::from);
        }
        if name == CopyName::Suspects {
            let (notices, is_settled) = (self.suspects.copy(now), self.is_settled(now));
            let copy = serde_json::to_vec(&SuspectsCopy { notices, is_settled });
            return copy.ok().map(Bytes::from);
        }
        let copy = self.tables.lock().copy(name, now);
        copy?.encode()
    }
}

/// A copy for a peer, which is encoded after the lock of the tables is released.
#[derive(Clone, Debug)]
pub enum TablesCopy {
    /// The configuration in the encoding of the store.
    Configuration(Bytes),
    /// The table of upstreams or its changes, see [`TableCopy`].
    Upstreams {
        /// The position after which the rows are changes, or `None` for the whole table.
        since: Option<u64>,
        /// The position of the table.
        position: u64,
        /// The time since the last known read of the store, in milliseconds.
        read_age_ms: u64,
        /// The rows.
        rows: Vec<TableRow>,
        /// Upstreams that reported that they leave.
        drains: Vec<DrainMark>,
    },
}

impl TablesCopy {
    /// Encodes the copy for a peer.
    pub fn encode(self) -> Option<Bytes> {
        let copy = match self {
            Self::Configuration(document) => return Some(document),
            Self::Upstreams { since, position, read_age_ms, rows, drains } => {
                let rows = rows.into_iter().map(RowCopy::from).collect();
                TableCopy { since, position, read_age_ms, rows, drains }
            }
        };
        // Texts and numbers can always be serialised.
        serde_json::to_vec(&copy).ok().map(Bytes::from)
    }
}
