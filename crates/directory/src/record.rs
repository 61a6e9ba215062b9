//! One row of the table of upstreams.

use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use world::prelude::*;

use crate::entry::UpstreamEntry;

/// What the newest version of a row says.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum RowState {
    /// The upstream takes calls.
    Ready,
    /// The upstream is leaving.
    Draining,
    /// The row names no upstream.
    Unreadable,
    /// There is no row.
    #[default]
    Removed,
}

/// What is known of one row. The default is a row that was never seen.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpstreamRecord {
    pub version: u64,
    /// The value as the store holds it.
    pub value: Option<Bytes>,
    pub state: RowState,
    /// The upstream of the newest version that could be read.
    server: Option<Arc<UpstreamServer>>,
    /// When the warm-up ends, as the first row of the incarnation said.
    cold_until: ClockTime,
    /// Whether the incarnation is marked as leaving.
    leaving: bool,
    /// Whether the upstream stays usable although its row was lost.
    kept: bool,
}

impl UpstreamRecord {
    /// Returns the upstream if calls may be sent to it.
    pub fn usable(&self) -> Option<&Arc<UpstreamServer>> {
        let listed = self.state == RowState::Ready || self.kept;
        self.server.as_ref().filter(|_| listed && !self.leaving)
    }

    pub fn is_kept(&self) -> bool {
        self.kept
    }

    /// Returns whether the record says no more than that everything up to `position` is known.
    pub fn is_obsolete(&self, position: u64) -> bool {
        self.state == RowState::Removed && !self.kept && self.version <= position
    }

    /// Takes over a row that could be read. Returns whether it differs in more than the warm-up.
    pub fn take_entry(&mut self, entry: UpstreamEntry, leaving: bool, now: ClockTime) -> bool {
        let state = if entry.draining { RowState::Draining } else { RowState::Ready };
        let server_changed = self.take_server(entry.server, now);
        let state_changed = self.state != state;
        self.state = state;
        self.leaving = leaving;
        self.kept = false;
        server_changed || state_changed
    }

    fn take_server(&mut self, mut server: UpstreamServer, now: ClockTime) -> bool {
        let known = self.server.as_ref().filter(|known| known.incarnation == server.incarnation);
        match known {
            Some(known) => {
                server.warm_up = known.warm_up;
                if **known == server {
                    return false;
                }
                server.warm_up = self.cold_until.since(now);
            }
            None => self.cold_until = now + server.warm_up,
        }
        self.server = Some(Arc::new(server));
        true
    }

    /// Records that the row was removed or cannot be read. Returns whether that is new.
    pub fn take_loss(&mut self, state: RowState, troubled: bool) -> bool {
        self.kept = troubled && self.usable().is_some();
        let changed = self.state != state;
        self.state = state;
        changed
    }

    /// Ends the use of an upstream whose row was lost. Returns whether it was in use.
    pub fn let_go(&mut self) -> bool {
        std::mem::take(&mut self.kept)
    }

    /// Marks the upstream as leaving if this is its incarnation.
    pub fn mark_leaving(&mut self, incarnation: u64) {
        if self.server.as_ref().is_some_and(|server| server.incarnation == incarnation) {
            self.leaving = true;
            self.kept = false;
        }
    }
}
