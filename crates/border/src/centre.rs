//! Checks of data centres and links.

use std::collections::HashSet;

use base::prelude::*;
use world::prelude::*;

use crate::field::{self, UniqueValues};
use crate::generated::environment::{DataCentreEntry, LinkEntry};
use crate::problem::{FieldPath, ProblemList, quoted};

/// The most data centres, since the document lists links between all pairs of them.
pub(crate) const MAX_CENTRES: usize = 64;
/// The most links: one for each pair of data centres.
const MAX_LINKS: usize = MAX_CENTRES * (MAX_CENTRES - 1) / 2;
/// The longest latency of a link, in milliseconds.
pub(crate) const MAX_ONE_WAY_MS: f64 = 10_000.0;

/// The data centres of a document, and which of them contain upstreams.
#[derive(Debug, Default)]
pub(crate) struct CentreTable {
    pub(crate) centres: Vec<DataCentre>,
    with_upstreams: HashSet<SharedName>,
}

impl CentreTable {
    /// Checks the data centres and returns them.
    pub(crate) fn new(entries: &[DataCentreEntry], problems: &mut ProblemList) -> Self {
        let list = FieldPath::top("data_centres");
        field::length(&list, entries.len(), 1..=MAX_CENTRES, problems);
        let mut names = UniqueValues::new("give each data centre its own name");
        let mut centres = Vec::with_capacity(entries.len());
        for (index, entry) in entries.iter().enumerate() {
            let path = list.item(index);
            let name = field::name(&path.field("name"), &entry.name, problems);
            names.add(&path.field("name"), entry.name.clone(), problems);
            let region = field::name(&path.field("region"), &entry.region, problems);
            centres.push(DataCentre { name, region });
        }
        Self { centres, with_upstreams: HashSet::new() }
    }

    /// Returns `text` as the name of a data centre, or reports that the document has none of this
    /// name.
    pub(crate) fn find(
        &self,
        path: &FieldPath,
        text: &str,
        problems: &mut ProblemList,
    ) -> Option<SharedName> {
        let centre = self.centres.iter().find(|centre| centre.name == *text);
        if centre.is_none() {
            let reason = format!("{} is not a data centre of the document", quoted(text));
            problems.report(path, reason, "correct the name or add it to data_centres");
        }
        centre.map(|centre| centre.name.clone())
    }

    /// Records that a data centre contains upstreams.
    pub(crate) fn record_upstream(&mut self, name: &SharedName) {
        self.with_upstreams.insert(name.clone());
    }

    /// Checks the links and returns those between known data centres.
    pub(crate) fn links(
        &self,
        entries: &[LinkEntry],
        problems: &mut ProblemList,
    ) -> Vec<LinkLatency> {
        let list = FieldPath::top("links");
        field::length(&list, entries.len(), 0..=MAX_LINKS, problems);
        let mut pairs =
            UniqueValues::new("keep one link for each pair, which is valid in both directions");
        let mut links = Vec::with_capacity(entries.len());
        for (index, entry) in entries.iter().enumerate() {
            let path = list.item(index);
            field::within(
                &path.field("one_way_ms"),
                entry.one_way_ms,
                0.0..=MAX_ONE_WAY_MS,
                "give the latency in one direction, in milliseconds",
                problems,
            );
            let from = self.find(&path.field("from"), &entry.from, problems);
            let to = self.find(&path.field("to"), &entry.to, problems);
            let (Some(from), Some(to)) = (from, to) else { continue };
            if from == to {
                let reason = "both ends are the same data centre";
                problems.report(
                    &path,
                    reason,
                    "remove the link; the latency within a data centre is 0",
                );
                continue;
            }
            pairs.add(&path, format!("{} - {}", (&from).min(&to), (&from).max(&to)), problems);
            let one_way = ClockSpan::from_millis_f64(entry.one_way_ms);
            links.push(LinkLatency { from, to, one_way });
        }
        links
    }

    /// Checks that the latency to every upstream is known. VMs run in every data centre, so two
    /// data centres need a link if one of them contains upstreams.
    pub(crate) fn check_missing_links(&self, links: &[LinkLatency], problems: &mut ProblemList) {
        if self.centres.len() > MAX_CENTRES {
            return;
        }
        for (index, first) in self.centres.iter().enumerate() {
            for second in &self.centres[index + 1..] {
                let (first, second) = (&first.name, &second.name);
                let needed =
                    self.with_upstreams.contains(first) || self.with_upstreams.contains(second);
                let present = links.iter().any(|link| link.connects(first, second));
                if needed && !present && first != second {
                    let reason = format!("no link joins {} and {}", quoted(first), quoted(second));
                    problems.report(
                        &FieldPath::top("links"),
                        reason,
                        "add the link with its one_way_ms",
                    );
                }
            }
        }
    }
}
