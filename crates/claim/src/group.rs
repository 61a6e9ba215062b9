//! Group commit: claims and outcomes that are written in shared transactions.
//!
//! A group is the set of writes in one transaction. At most one is in flight.

use std::collections::VecDeque;

use base::prelude::*;
use store::row::{RowExpect, RowWrite};

use crate::event::GroupId;
use crate::row::ClaimRow;

/// What a write is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WriteKind {
    /// Claims the key for this VM.
    Claim,
    /// Stores the outcome of an attempt of this VM.
    Outcome,
    /// Marks the claim of a VM that is no longer on the membership list as unknown.
    MarkUnknown,
}

/// A write that waits for its transaction.
#[derive(Clone, Debug)]
pub(crate) struct PendingWrite {
    pub(crate) key: SharedName,
    pub(crate) kind: WriteKind,
    pub(crate) expect: RowExpect,
    pub(crate) row: ClaimRow,
    pub(crate) due: ClockTime,
    /// Whether the write follows a conflict, a read of its row, a transaction that was not applied
    /// or the release of its key by this VM. Such writes are queued before the others.
    pub(crate) requeued: bool,
    /// Whether the write gets a transaction of its own, because it was in one that the store
    /// rejected. A write that the store never accepts then does not delay the others.
    pub(crate) alone: bool,
}

impl PendingWrite {
    pub(crate) fn to_row_write(&self) -> RowWrite {
        RowWrite::put(&ClaimRow::row_key(&self.key), self.expect, self.row.to_value())
    }
}

/// The queue of writes and the one transaction in flight. A key has at most one write, either in
/// the queue or in the transaction.
#[derive(Clone, Debug, Default)]
pub(crate) struct GroupQueue {
    pending: VecDeque<PendingWrite>,
    in_flight: Option<(GroupId, Vec<PendingWrite>)>,
    last_group: GroupId,
}

impl GroupQueue {
    pub(crate) fn push(&mut self, write: PendingWrite) {
        // Requeued writes form a group of their own. They were checked against the rows immediately
        // before, so that another conflict is unlikely, and new writes cannot delay them again.
        if write.requeued {
            let position = self.pending.iter().take_while(|other| other.requeued).count();
            self.pending.insert(position, write);
        } else {
            self.pending.push_back(write);
        }
    }

    /// Removes the write of `key` and returns whether it was still waiting.
    pub(crate) fn remove(&mut self, key: &str) -> bool {
        let count = self.pending.len();
        self.pending.retain(|write| write.key != *key);
        self.pending.len() < count
    }

    /// Returns whether a write of `key` waits or is in flight.
    pub(crate) fn contains(&self, key: &str) -> bool {
        let in_flight = self.in_flight.iter().flat_map(|(_, writes)| writes);
        self.pending.iter().chain(in_flight).any(|write| write.key == *key)
    }

    /// Returns the keys of waiting claims.
    pub(crate) fn waiting_claims(&self) -> Vec<SharedName> {
        let claims = self.pending.iter().filter(|write| write.kind == WriteKind::Claim);
        claims.map(|write| write.key.clone()).collect()
    }

    /// Starts a transaction if none is in flight and one is due.
    pub(crate) fn start(
        &mut self,
        size: usize,
        now: ClockTime,
    ) -> Option<(GroupId, Vec<RowWrite>)> {
        let due = self.pending.len() >= size || self.due().is_some_and(|due| due <= now);
        if self.in_flight.is_some() || !due {
            return None;
        }
        let count = self.next_count().min(size);
        let writes: Vec<PendingWrite> = self.pending.drain(..count).collect();
        let rows = writes.iter().map(PendingWrite::to_row_write).collect();
        self.last_group += 1;
        self.in_flight = Some((self.last_group, writes));
        Some((self.last_group, rows))
    }

    /// Returns how many writes at the front of the queue may share the next transaction.
    fn next_count(&self) -> usize {
        let requeued = self.pending.iter().take_while(|write| write.requeued && !write.alone);
        match self.pending.front() {
            Some(write) if write.alone => 1,
            Some(write) if write.requeued => requeued.count(),
            _ => self.pending.len(),
        }
    }

    /// Ends the transaction in flight and returns its writes.
    pub(crate) fn end(&mut self, group: GroupId) -> Vec<PendingWrite> {
        match self.in_flight.take_if(|(id, _)| *id == group) {
            Some((_, writes)) => writes,
            None => Vec::new(),
        }
    }

    /// Returns when a transaction is due, if none is in flight.
    pub(crate) fn next_due(&self) -> Option<ClockTime> {
        if self.in_flight.is_some() { None } else { self.due() }
    }

    /// Returns how many writes wait.
    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty() && self.in_flight.is_none()
    }

    fn due(&self) -> Option<ClockTime> {
        self.pending.iter().map(|write| write.due).min()
    }
}
