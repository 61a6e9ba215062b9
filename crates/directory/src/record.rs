//! What is known about one row of the table of upstreams.

use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use world::prelude::*;

use crate::entry::UpstreamEntry;

/// The state of an upstream according to the newest version of its row.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum RowState {
    /// The upstream takes calls.
    Ready,
    /// The upstream is draining.
    Draining,
    /// The row cannot be decoded.
    Unreadable,
    /// There is no row.
    #[default]
    Removed,
}

/// How much later than the known end of a warm-up the end can seem to be because a row was read late.
/// A reader reads the table every second, and an outage of the store lasts a few seconds.
const ROW_DELAY: ClockSpan = ClockSpan::from_secs(2);

/// One row and its upstream. The default stands for a row that was never read.
#[derive(Clone, Debug, Default)]
pub(crate) struct RowRecord {
    pub version: u64,
    /// The value in the encoding of the store.
    pub value: Option<Bytes>,
    pub state: RowState,
    /// The upstream of the newest version that could be decoded.
    server: Option<Arc<UpstreamServer>>,
    /// When the warm-up ends, according to the first row of the incarnation.
    warm_up_until: ClockTime,
    /// Whether a peer or a response of the upstream reported that the incarnation is draining.
    draining: bool,
    /// Whether the upstream stays usable although its row is removed or unreadable.
    retained: bool,
}

impl RowRecord {
    /// Returns the upstream if calls may be sent to it.
    pub fn usable(&self) -> Option<&Arc<UpstreamServer>> {
        let takes_calls = self.state == RowState::Ready || self.retained;
        self.server.as_ref().filter(|_| takes_calls && !self.draining)
    }

    pub fn is_retained(&self) -> bool {
        self.retained
    }

    /// Returns whether the record can be dropped: its row is removed, and `position`, up to which
    /// all changes of the table are known, includes the removal.
    pub fn is_obsolete(&self, position: u64) -> bool {
        self.state == RowState::Removed && !self.retained && self.version <= position
    }

    /// Applies a row that could be decoded. `draining` is true if a peer or a response reported
    /// that its incarnation is draining. Returns whether the row differs from the previous one in
    /// more than the warm-up.
    pub fn apply_entry(&mut self, entry: UpstreamEntry, draining: bool, now: ClockTime) -> bool {
        let state = if entry.draining { RowState::Draining } else { RowState::Ready };
        let server_changed = self.apply_server(entry.server, now);
        let state_changed = self.state != state;
        self.state = state;
        self.draining = draining;
        self.retained = false;
        server_changed || state_changed
    }

    /// Replaces the upstream and returns whether the new one differs in more than the warm-up. The
    /// end of an incarnation's warm-up follows from its first row. Later rows change it only if they
    /// report that the upstream is cold again.
    fn apply_server(&mut self, mut server: UpstreamServer, now: ClockTime) -> bool {
        let known = self.server.as_ref().filter(|known| known.incarnation == server.incarnation);
        match known {
            Some(known) if self.is_cold_again(&server, now) => {
                self.warm_up_until = now + server.warm_up;
                if server.warm_up == known.warm_up {
                    // A different value shows that the warm-up starts again.
                    server.warm_up += ClockSpan::from_hundredths(1);
                }
            }
            Some(known) => {
                server.warm_up = known.warm_up;
                if **known == server {
                    return false;
                }
                server.warm_up = self.warm_up_until.since(now);
            }
            None => self.warm_up_until = now + server.warm_up,
        }
        self.server = Some(Arc::new(server));
        true
    }

    /// Returns whether the row reports a warm-up that ends later than the known one.
    fn is_cold_again(&self, server: &UpstreamServer, now: ClockTime) -> bool {
        server.warm_up > ClockSpan::ZERO && now + server.warm_up > self.warm_up_until + ROW_DELAY
    }

    /// Records that the row was removed or cannot be decoded. If `retain` is true, an upstream that
    /// is usable stays so. Returns whether the state of the row changed.
    pub fn apply_missing_entry(&mut self, state: RowState, retain: bool) -> bool {
        self.retained = retain && self.usable().is_some();
        let changed = self.state != state;
        self.state = state;
        changed
    }

    /// Ends the use of an upstream that is retained. Returns whether it was retained.
    pub fn end_retention(&mut self) -> bool {
        std::mem::take(&mut self.retained)
    }

    /// Marks the upstream as draining if this is its incarnation.
    pub fn mark_draining(&mut self, incarnation: u64) {
        if self.server.as_ref().is_some_and(|server| server.incarnation == incarnation) {
            self.draining = true;
            self.retained = false;
        }
    }
}
