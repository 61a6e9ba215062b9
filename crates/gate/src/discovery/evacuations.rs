//! Follows the evacuations of data centres: reads them in the table of the configuration, and spreads
//! them to the other VMs.
//!
//! Depends on [`super::core`].

use base::prelude::*;
use directory::prelude::*;
use peer::prelude::*;
use store::prelude::*;

use super::core::DiscoveryCore;
use crate::event;

/// The time between two broadcasts of the evacuations by a VM that follows the configuration. A VM that
/// misses one, or starts, learns of an evacuation with the next, well within the 5 s in which it must
/// be in force.
const REPEAT_PERIOD: ClockSpan = ClockSpan::from_secs(1);

impl<K: EntryCodec + RowCodec> DiscoveryCore<K> {
    /// Applies the evacuations in a page of the table of the configuration, and tells the other VMs
    /// what is news. A complete page shows also which evacuations have ended.
    pub(super) async fn read_evacuations(&self, page: &RowPage, is_complete: bool) {
        let mark = |row: &TableRow| {
            let centre = K::evacuated_centre(&row.key)?.into();
            Some(EvacuationMark { centre, version: row.version, active: row.value.is_some() })
        };
        let mut marks: Vec<EvacuationMark> = page.rows.iter().filter_map(mark).collect();
        if is_complete && !page.truncated {
            let present: Vec<&str> = marks.iter().map(|mark| mark.centre.as_str()).collect();
            let mut tables = self.tables.lock();
            let ended = tables.evacuations.end_missing(&present, page.position);
            drop(tables);
            self.log_evacuations(&ended, "store");
            if !ended.is_empty() {
                self.apply();
            }
            marks.extend(ended);
        }
        self.apply_evacuations(&marks, "store");
        if !marks.is_empty() {
            self.exchange.publish(PeerMessage::Evacuations(EvacuationMessage { marks })).await;
        }
    }

    /// Applies evacuations that `source` reported.
    pub(super) fn apply_evacuations(&self, marks: &[EvacuationMark], source: &str) {
        let news: Vec<EvacuationMark> = {
            let mut tables = self.tables.lock();
            marks.iter().filter(|mark| tables.evacuations.apply(mark)).cloned().collect()
        };
        if news.is_empty() {
            return;
        }
        self.log_evacuations(&news, source);
        self.apply();
    }

    fn log_evacuations(&self, marks: &[EvacuationMark], source: &str) {
        for EvacuationMark { centre, active, version } in marks {
            tracing::warn!(
                event = event::CENTRE_EVACUATED,
                %centre,
                active,
                version,
                source,
                "the evacuation of a data centre started or ended"
            );
        }
    }

    /// Broadcasts the evacuations again if that is due and this VM follows the configuration.
    pub(super) async fn repeat_evacuations(&self, now: ClockTime) {
        let marks: Vec<EvacuationMark> = {
            let mut tables = self.tables.lock();
            let marks: Vec<_> = tables.evacuations.marks().cloned().collect();
            let is_due = now.since(tables.evacuations_sent_at) >= REPEAT_PERIOD;
            if marks.is_empty() || !is_due {
                return;
            }
            tables.evacuations_sent_at = now;
            marks
        };
        if self.follows_config() {
            self.exchange.publish(PeerMessage::Evacuations(EvacuationMessage { marks })).await;
        }
    }
}
