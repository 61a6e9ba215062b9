//! The latest changes of the table of upstreams, for VMs that missed some of them.

use std::collections::VecDeque;

use store::prelude::*;

/// Rows that changed after a position, in the order of their versions.
#[derive(Clone, Debug)]
pub(crate) struct ChangeLog {
    limit: usize,
    /// The position after which the log has every change, or `None` before the first read.
    start: Option<u64>,
    rows: VecDeque<TableRow>,
}

impl ChangeLog {
    pub fn new(limit: usize) -> Self {
        Self { limit, start: None, rows: VecDeque::new() }
    }

    /// Forgets all rows, because the table was read for the first time at `position`.
    pub fn restart(&mut self, position: u64) {
        self.start = Some(position);
        self.rows.clear();
    }

    /// Adds the rows of one update, and removes the oldest ones beyond the limit.
    pub fn extend(&mut self, rows: &[TableRow]) {
        let mut rows = rows.to_vec();
        rows.sort_by_key(|row| row.version);
        self.rows.extend(rows);
        while self.rows.len() > self.limit {
            self.start = self.rows.pop_front().map(|row| row.version).max(self.start);
        }
    }

    /// Returns the rows that changed after `position`, or `None` if some of them were removed from
    /// the log.
    pub fn since(&self, position: u64) -> Option<Vec<TableRow>> {
        let is_known = self.start.is_some_and(|start| start <= position);
        let newer = self.rows.iter().filter(|row| row.version > position);
        is_known.then(|| newer.cloned().collect())
    }
}
