//! Detects that the configuration may have changed although no read has delivered a change.

use base::prelude::*;
use store::prelude::RowPage;

/// How long an unexplained version waits for the long poll that may deliver it. The store answers
/// that poll at about the same time as the read that showed the version.
const POLL_GRACE: ClockSpan = ClockSpan::from_millis(100);
/// The shortest time between two checks, each of which is a call to the store. Together with the
/// longest time between two reads of the upstreams (700 ms), it is well within the 2 s in which a
/// version of the configuration must be applied.
const CHECK_PAUSE: ClockSpan = ClockSpan::from_millis(500);

/// Decides when the table of the configuration must be read beside its long poll.
///
/// A long poll that the store has lost looks like one without changes. But the store numbers the
/// transactions of all tables with one counter, and every read returns the newest version. If a read
/// of the upstreams reaches a version that none of its rows has, either another table has changed, or
/// an upstream changed twice. Reading the configuration up to that version explains it.
#[derive(Clone, Debug, Default)]
pub struct ChangeDetector {
    /// The position up to which this VM has read the upstreams without a gap.
    followed: u64,
    /// The newest version that no row of an upstream explains.
    unexplained: u64,
    /// The position up to which this VM has read the configuration.
    config_position: u64,
    /// When a version was last found that the configuration read so far does not explain either.
    detected_at: ClockTime,
    checked_at: Option<ClockTime>,
}

impl ChangeDetector {
    /// Records that this VM has read the changes of upstreams after `from`. What peers have read
    /// does not count, because they leave out rows without news.
    pub fn record_changes(&mut self, from: u64, page: &RowPage, now: ClockTime) {
        let unexplained = newest_unexplained(from, page);
        let missed = (from > self.followed).then_some(from);
        self.followed = page.position;
        if let Some(version) = unexplained.or(missed) {
            self.detect(version, now);
        }
    }

    /// Records that this VM has read the whole table of upstreams. Its rows do not show which changes
    /// preceded theirs, so that the configuration must be read up to `position`. Earlier findings do
    /// not count any more: they are older, or of a store that has lost its last versions since.
    pub fn record_table(&mut self, position: u64, now: ClockTime) {
        self.followed = position;
        self.unexplained = 0;
        self.detect(position, now);
    }

    /// Records that this VM has read the configuration up to `position`.
    pub fn record_config(&mut self, position: u64) {
        self.config_position = position;
    }

    /// Returns whether there is a version that neither the upstreams nor the configuration explain.
    pub fn is_pending(&self) -> bool {
        self.unexplained > self.config_position
    }

    /// Returns when the configuration must be read, if no long poll delivers the changes before. The
    /// current long poll was sent at `polled_at`.
    pub fn next_check(&self, polled_at: ClockTime) -> Option<ClockTime> {
        let delivered = self.detected_at.max(polled_at) + POLL_GRACE;
        let paused = self.checked_at.map_or(ClockTime::ZERO, |checked| checked + CHECK_PAUSE);
        self.is_pending().then_some(delivered.max(paused))
    }

    /// Records that a check was sent.
    pub fn record_check(&mut self, now: ClockTime) {
        self.checked_at = Some(now);
    }

    fn detect(&mut self, version: u64, now: ClockTime) {
        let was_pending = self.is_pending();
        self.unexplained = self.unexplained.max(version);
        if !was_pending {
            self.detected_at = now;
        }
    }
}

/// Returns the newest version after `from` that no row of the page has.
fn newest_unexplained(from: u64, page: &RowPage) -> Option<u64> {
    let mut versions: Vec<u64> = page.rows.iter().map(|row| row.version).collect();
    versions.sort_unstable();
    let mut newest = page.position;
    for version in versions.into_iter().rev() {
        if version == newest {
            newest -= 1;
        }
    }
    (newest > from).then_some(newest)
}
