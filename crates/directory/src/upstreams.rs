//! The table of upstreams as far as this VM knows it from the store and from peers.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use base::prelude::*;
use snafu::{Snafu, ensure};
use store::prelude::*;
use world::prelude::*;

use crate::draining::{DrainMark, DrainingSet};
use crate::entry::{EntryCodec, EntryError};
use crate::health::StoreHealth;
use crate::log::ChangeLog;
use crate::record::{RowRecord, RowState};

/// Parameters of the directory.
#[derive(Clone, Copy, Debug)]
pub struct DirectoryTuning {
    /// Time after the store answers again during which an upstream whose row is removed or
    /// unreadable stays usable.
    pub recovery_grace: ClockSpan,
    /// The largest number of incarnations that are remembered as draining. The oldest ones are
    /// dropped first.
    pub draining_limit: usize,
    /// The most changed rows that are kept for VMs that missed some of them. The oldest ones are
    /// dropped first.
    pub change_limit: usize,
    /// Whether a row that reports that its upstream is draining ends its use. Tests turn it off to
    /// show that a check detects this.
    pub honours_draining: bool,
}

impl Default for DirectoryTuning {
    fn default() -> Self {
        Self {
            // Rule 9 in docs/platform-deployment.md.
            recovery_grace: ClockSpan::from_secs(2),
            // More than two incarnations of each of the 730 upstreams at the target scale.
            draining_limit: 2048,
            // A release replaces the 730 upstreams of the target scale in more time than a VM needs
            // to learn that it misses changes.
            change_limit: 1024,
            honours_draining: true,
        }
    }
}

/// What changed in the directory.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DirectoryChange {
    /// Whether the usable upstreams changed.
    pub upstreams_changed: bool,
    /// Rows that changed in more than the warm-up, to be sent to the other VMs. Empty after the
    /// first read.
    pub changed_rows: Vec<TableRow>,
    /// The position of the directory before this change; `changed_rows` are the changes after it.
    /// It can be newer than the position from which the changes were read, because a peer may have
    /// reported some of them in the meantime. `None` if the page was ignored or is the first one.
    pub since: Option<u64>,
    /// Rows that have become unreadable.
    pub unreadable: Vec<UnreadableRow>,
    /// Upstreams that have become usable, or no longer are. Empty after the first read.
    pub transitions: Vec<UpstreamTransition>,
}

/// How an upstream became usable, or why it no longer is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TransitionKind {
    /// It has become usable.
    Added,
    /// It is draining, or its row became unreadable.
    Leaving,
    /// Its row was removed.
    Removed,
}

impl TransitionKind {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Added => "added",
            Self::Leaving => "leaving",
            Self::Removed => "removed",
        }
    }
}

/// An upstream that has become usable, or no longer is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamTransition {
    /// Its name.
    pub upstream: SharedName,
    /// How it changed.
    pub kind: TransitionKind,
}

/// A row that cannot be decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnreadableRow {
    /// Its key.
    pub key: SharedName,
    /// Why it cannot be used.
    pub error: EntryError,
}

/// Error: changes are missing between the position of the directory and the start of a page.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display(
    "the changes start after position {from} and the directory ends at {known:?}; read the \
     changes from there or the whole table"
))]
pub struct PositionGap {
    /// The position after which the changes of the page start.
    pub from: u64,
    /// The position of the directory.
    pub known: Option<u64>,
}

/// The table of upstreams as far as this VM knows it.
///
/// All changes up to [`position`](Self::position) are known. A row that is not in the directory,
/// with a version up to the position, is therefore outdated: it was removed after that version.
/// Versions and the position never decrease.
#[derive(Clone, Debug)]
pub struct UpstreamDirectory {
    tuning: DirectoryTuning,
    position: Option<u64>,
    records: BTreeMap<SharedName, RowRecord>,
    draining: DrainingSet,
    log: ChangeLog,
    health: StoreHealth,
}

impl UpstreamDirectory {
    /// Creates an empty directory without a position.
    pub fn new(tuning: DirectoryTuning) -> Self {
        Self {
            tuning,
            position: None,
            records: BTreeMap::new(),
            draining: DrainingSet::new(tuning.draining_limit),
            log: ChangeLog::new(tuning.change_limit),
            health: StoreHealth::default(),
        }
    }

    /// Returns the position after which changes are to be read, or `None` until the whole table has
    /// been read.
    pub fn position(&self) -> Option<u64> {
        self.position
    }

    /// Returns the usable upstreams in the order of their names.
    pub fn servers(&self) -> impl Iterator<Item = &Arc<UpstreamServer>> {
        self.records.values().filter_map(RowRecord::usable)
    }

    /// Returns the table as far as it is known, for a VM that cannot read it from the store, or
    /// `None` until the whole table has been read. A row can have an older version than in the
    /// store, but then differs only in the rest of its warm-up or in values that are not decoded,
    /// such as a counter of heartbeats.
    pub fn table(&self) -> Option<RowPage> {
        let row = |(key, record): (&SharedName, &RowRecord)| TableRow {
            key: key.clone(),
            version: record.version,
            value: record.value.clone(),
        };
        let present = self.records.iter().filter(|(_, record)| record.value.is_some());
        let rows = present.map(row).collect();
        Some(RowPage { rows, position: self.position?, ..RowPage::default() })
    }

    /// Returns the changes after `position`, for a VM that missed them, or `None` if they are no
    /// longer known.
    pub fn changes_since(&self, position: u64) -> Option<RowPage> {
        let rows = self.log.since(position)?;
        Some(RowPage { rows, position: self.position?, ..RowPage::default() })
    }

    /// Applies a read of the whole table. Rows that are missing from it count as removed, unless
    /// they are newer than the read. A truncated page removes nothing, and the position stays.
    ///
    /// After the first read, the change has no rows and no transitions, because there is no
    /// position after which they are changes.
    pub fn replace<C: EntryCodec>(&mut self, page: &RowPage, now: ClockTime) -> DirectoryChange {
        let known = self.position;
        let mut change = DirectoryChange { since: known, ..DirectoryChange::default() };
        // If newer changes were applied before this read, it may contain rows that they removed.
        let removed_up_to = known.filter(|known| *known > page.position);
        for row in &page.rows {
            self.apply::<C>(row, removed_up_to, now, &mut change);
        }
        if !page.truncated {
            self.remove_missing::<C>(page, now, &mut change);
            self.position = known.max(Some(page.position));
        }
        if known.is_none() {
            change.changed_rows.clear();
            change.transitions.clear();
            self.log.restart(page.position);
        }
        self.log.extend(&change.changed_rows);
        self.finish_update(now, &mut change);
        change
    }

    fn remove_missing<C: EntryCodec>(
        &mut self,
        page: &RowPage,
        now: ClockTime,
        change: &mut DirectoryChange,
    ) {
        let present: HashSet<&str> = page.rows.iter().map(|row| row.key.as_str()).collect();
        let missing = self.records.iter().filter(|(key, record)| {
            record.state != RowState::Removed && !present.contains(key.as_str())
        });
        // The read does not contain the version of a removal, but its position is an upper bound. A
        // known row that is newer than the read stays, because its version is higher.
        let removals: Vec<TableRow> = missing
            .map(|(key, _)| TableRow { key: key.clone(), version: page.position, value: None })
            .collect();
        for row in removals {
            self.apply::<C>(&row, None, now, change);
        }
    }

    /// Applies the changes after position `from`. A page that ends at or before the present
    /// position is ignored, and so are rows that are not newer than the known version of the same
    /// key.
    ///
    /// # Errors
    ///
    /// Fails if changes are missing between the present position and `from`, or if the whole table
    /// has not been read yet.
    pub fn apply_changes<C: EntryCodec>(
        &mut self,
        from: u64,
        page: &RowPage,
        now: ClockTime,
    ) -> Result<DirectoryChange, PositionGap> {
        let known = self.position;
        ensure!(Some(from) <= known, PositionGapSnafu { from, known });
        if Some(page.position) <= known {
            return Ok(DirectoryChange::default());
        }
        let mut change = DirectoryChange { since: known, ..DirectoryChange::default() };
        for row in &page.rows {
            self.apply::<C>(row, known, now, &mut change);
        }
        self.position = Some(page.position);
        self.log.extend(&change.changed_rows);
        self.finish_update(now, &mut change);
        Ok(change)
    }

    /// Applies changes after position `from` that a peer read, which shows that the store answers.
    /// `complete` is whether the page has all rows that changed.
    ///
    /// # Errors
    ///
    /// Fails if changes are missing, as in [`apply_changes`](Self::apply_changes), or because the
    /// peer left out rows. This VM then has to read the store itself.
    pub fn apply_peer_changes<C: EntryCodec>(
        &mut self,
        from: u64,
        page: &RowPage,
        complete: bool,
        now: ClockTime,
    ) -> Result<DirectoryChange, PositionGap> {
        self.record_success(now);
        let known = self.position;
        if known >= Some(page.position) {
            return Ok(DirectoryChange::default());
        }
        ensure!(complete, PositionGapSnafu { from, known });
        self.apply_changes::<C>(from, page, now)
    }

    /// Applies a row unless it is outdated. A row with an unknown key is outdated if its version is
    /// at most `removed_up_to`, because it has been removed.
    fn apply<C: EntryCodec>(
        &mut self,
        row: &TableRow,
        removed_up_to: Option<u64>,
        now: ClockTime,
        change: &mut DirectoryChange,
    ) {
        let is_newer = match self.records.get(&row.key) {
            Some(record) => row.version > record.version,
            None => row.value.is_some() && Some(row.version) > removed_up_to,
        };
        if !is_newer {
            return;
        }
        let retain = !self.health.is_trusted(now);
        let record = self.records.entry(row.key.clone()).or_default();
        let before = record.usable().cloned();
        record.version = row.version;
        record.value = row.value.clone();
        let entry = row.value.as_ref().map(|value| C::decode_upstream(&row.key, value));
        let is_changed = match entry {
            Some(Ok(mut entry)) => {
                entry.draining &= self.tuning.honours_draining;
                let draining = self.draining.contains(&row.key, entry.server.incarnation);
                record.apply_entry(entry, draining, now)
            }
            Some(Err(error)) => {
                let is_changed = record.apply_missing_entry(RowState::Unreadable, retain);
                if is_changed {
                    change.unreadable.push(UnreadableRow { key: row.key.clone(), error });
                }
                is_changed
            }
            None => record.apply_missing_entry(RowState::Removed, retain),
        };
        change.upstreams_changed |= !is_same(before.as_ref(), record.usable());
        let kind = match (before.is_some(), record.usable().is_some()) {
            (false, true) => Some(TransitionKind::Added),
            (true, false) if row.value.is_some() => Some(TransitionKind::Leaving),
            (true, false) => Some(TransitionKind::Removed),
            _ => None,
        };
        let upstream = row.key.clone();
        change.transitions.extend(kind.map(|kind| UpstreamTransition { upstream, kind }));
        if is_changed {
            change.changed_rows.push(row.clone());
        }
    }

    /// Ends the use of retained upstreams if the grace time has passed, and drops records that are
    /// no longer needed.
    fn finish_update(&mut self, now: ClockTime, change: &mut DirectoryChange) {
        change.upstreams_changed |= self.expire_missing(now);
        if let Some(position) = self.position {
            self.records.retain(|_, record| !record.is_obsolete(position));
        }
    }

    /// Records that a call to the store failed. From now on, an upstream whose row is removed or
    /// unreadable stays usable. Returns whether the usable upstreams changed, which they do if the
    /// grace time after an earlier failure has passed meanwhile.
    #[must_use]
    pub fn record_failure(&mut self, now: ClockTime) -> bool {
        let changed = self.expire_missing(now);
        self.health.record_failure();
        changed
    }

    /// Records that a call to the store succeeded.
    pub fn record_success(&mut self, now: ClockTime) {
        self.health.record_success(self.tuning.recovery_grace, now);
    }

    /// Records that an upstream is draining, as a peer or an answer reported. This is final for its
    /// incarnation. Returns whether the usable upstreams changed.
    pub fn record_draining(&mut self, upstream: &str, incarnation: u64, now: ClockTime) -> bool {
        let mut changed = self.expire_missing(now);
        self.draining.add(DrainMark { upstream: SharedName::from(upstream), incarnation });
        if let Some(record) = self.records.get_mut(upstream) {
            let was_usable = record.usable().is_some();
            record.mark_draining(incarnation);
            changed |= was_usable && record.usable().is_none();
        }
        changed
    }

    /// Returns the incarnations that were reported to drain, for a VM that has just started.
    pub fn drain_marks(&self) -> impl Iterator<Item = &DrainMark> {
        self.draining.iter()
    }

    /// Returns when [`expire_missing`](Self::expire_missing) is to be called, or `None` if no
    /// upstream is retained or the store still fails.
    pub fn next_expiry(&self) -> Option<ClockTime> {
        let trusted_at = self.health.trusted_at()?;
        self.records.values().any(RowRecord::is_retained).then_some(trusted_at)
    }

    /// Removes upstreams whose rows are still removed or unreadable at the end of the grace time
    /// after a failure of the store. Returns whether the usable upstreams changed.
    pub fn expire_missing(&mut self, now: ClockTime) -> bool {
        if !self.health.is_trusted(now) {
            return false;
        }
        let mut changed = false;
        for record in self.records.values_mut() {
            changed |= record.end_retention();
        }
        changed
    }
}

fn is_same(before: Option<&Arc<UpstreamServer>>, after: Option<&Arc<UpstreamServer>>) -> bool {
    match (before, after) {
        (Some(before), Some(after)) => Arc::ptr_eq(before, after),
        (before, after) => before.is_none() && after.is_none(),
    }
}
