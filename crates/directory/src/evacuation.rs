//! The data centres that operators have evacuated.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::entry::EvacuationMark;

/// The most data centres of which marks are kept. An environment has few; rows with other names must
/// not use up memory.
const MAX_MARKS: usize = 64;

/// The evacuations as far as this VM knows them. Of two marks of a data centre, the one with the
/// higher version of the store counts, whatever the order in which they arrive.
#[derive(Clone, Debug, Default)]
pub struct EvacuationTable {
    marks: BTreeMap<SharedName, EvacuationMark>,
}

impl EvacuationTable {
    /// Applies a mark. Returns whether it is news.
    pub fn apply(&mut self, mark: &EvacuationMark) -> bool {
        let known = self.marks.get(&mark.centre);
        let is_news = match known {
            Some(known) => known.version < mark.version,
            None => self.marks.len() < MAX_MARKS,
        };
        if is_news {
            self.marks.insert(mark.centre.clone(), mark.clone());
        }
        is_news
    }

    /// Ends the evacuations that are missing from a complete read of the store at `version`.
    /// Returns their marks.
    pub fn end_missing(&mut self, present: &[&str], version: u64) -> Vec<EvacuationMark> {
        let missing = self.marks.values_mut().filter(|mark| {
            mark.active && mark.version < version && !present.contains(&mark.centre.as_str())
        });
        let end = |mark: &mut EvacuationMark| {
            (mark.active, mark.version) = (false, version);
            mark.clone()
        };
        missing.map(end).collect()
    }

    /// Returns whether nothing may be sent to the upstreams of a data centre.
    pub fn is_evacuated(&self, centre: &str) -> bool {
        self.marks.get(centre).is_some_and(|mark| mark.active)
    }

    /// Returns the marks of all data centres that are or were evacuated, for other VMs.
    pub fn marks(&self) -> impl Iterator<Item = &EvacuationMark> {
        self.marks.values()
    }
}
