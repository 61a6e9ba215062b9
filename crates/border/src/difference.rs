//! Lists the changes from one version of the environment document to another.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use base::prelude::*;
use world::prelude::*;

/// A change between two versions of the document. Its text is shown to operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MapChange {
    /// An entry that only the newer version contains.
    Added {
        /// The label of the entry.
        item: String,
        /// The content of the entry; may be empty.
        value: String,
    },
    /// An entry that only the older version contains.
    Removed {
        /// The label of the entry.
        item: String,
    },
    /// An entry or a field that both versions contain with different content.
    Changed {
        /// The label of the entry or field.
        item: String,
        /// The content in the older version.
        from: String,
        /// The content in the newer version.
        to: String,
    },
}

impl fmt::Display for MapChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added { item, value } if value.is_empty() => write!(formatter, "added {item}"),
            Self::Added { item, value } => write!(formatter, "added {item}: {value}"),
            Self::Removed { item } => write!(formatter, "removed {item}"),
            Self::Changed { item, from, to } => write!(formatter, "changed {item}: {from} -> {to}"),
        }
    }
}

/// Returns the changes from `older` to `newer`, empty if both treat all requests in the same way.
/// The version, the digest and the order of lists without precedence are not compared.
pub fn difference(older: &EnvironmentMap, newer: &EnvironmentMap) -> Vec<MapChange> {
    let mut changes = ChangeList::default();
    changes.compare("environment name", &older.name, &newer.name);
    changes.compare_lists("", &older.centres, &newer.centres);
    changes.compare_lists("", &older.links, &newer.links);
    changes.compare_lists("", &older.contracts, &newer.contracts);
    changes.compare_order("order of services", &older.contracts, &newer.contracts);
    for contract in &newer.contracts {
        let Some(old_contract) = older.contract(&contract.name) else { continue };
        changes.compare_contracts(old_contract, contract);
        let prefix = format!("{}, ", contract.label());
        let old_upstreams = older.upstreams_of(&contract.name);
        changes.compare_lists(&prefix, old_upstreams, newer.upstreams_of(&contract.name));
    }
    changes.changes
}

/// An entry of a list that can be found again in another version of the list.
trait ListEntry {
    /// Returns the text that identifies the entry.
    fn label(&self) -> String;

    /// Returns the content as one text, empty for entries whose fields are compared one by one.
    fn content(&self) -> String;
}

impl ListEntry for DataCentre {
    fn label(&self) -> String {
        format!("data centre {}", self.name)
    }

    fn content(&self) -> String {
        format!("region {}", self.region)
    }
}

impl ListEntry for LinkLatency {
    fn label(&self) -> String {
        let (first, second) = ((&self.from).min(&self.to), (&self.from).max(&self.to));
        format!("link {first} - {second}")
    }

    fn content(&self) -> String {
        format!("{} one way", self.one_way)
    }
}

impl ListEntry for ServiceContract {
    fn label(&self) -> String {
        format!("service {}", self.name)
    }

    fn content(&self) -> String {
        String::new()
    }
}

impl ListEntry for WorkRule {
    fn label(&self) -> String {
        format!("rule {} {}", self.method.as_deref().unwrap_or("any method"), self.path_prefix)
    }

    fn content(&self) -> String {
        let idempotent = if self.idempotent { "idempotent" } else { "at most once" };
        let deferred = if self.deferred { ", deferred" } else { "" };
        format!("{idempotent}, {}{deferred}", self.class.as_str())
    }
}

impl ListEntry for UpstreamServer {
    fn label(&self) -> String {
        format!("upstream {}", self.name)
    }

    fn content(&self) -> String {
        let Self { address, centre, slots, connections, .. } = self;
        format!("{address} in {centre}, {slots} slots, {connections} connections")
    }
}

impl<T: ListEntry> ListEntry for Arc<T> {
    fn label(&self) -> String {
        self.as_ref().label()
    }

    fn content(&self) -> String {
        self.as_ref().content()
    }
}

#[derive(Default)]
struct ChangeList {
    changes: Vec<MapChange>,
}

impl ChangeList {
    fn compare<T>(&mut self, item: &str, from: &T, to: &T)
    where
        T: fmt::Display + PartialEq,
    {
        if from != to {
            let (from, to) = (from.to_string(), to.to_string());
            self.changes.push(MapChange::Changed { item: item.to_owned(), from, to });
        }
    }

    /// Compares entries with the same label. `prefix` names the object that contains the lists.
    fn compare_lists<T: ListEntry>(&mut self, prefix: &str, older: &[T], newer: &[T]) {
        let mut contents: HashMap<String, String> =
            older.iter().map(|entry| (entry.label(), entry.content())).collect();
        for entry in newer {
            let label = entry.label();
            let item = format!("{prefix}{label}");
            match contents.remove(&label) {
                Some(old_content) => self.compare(&item, &old_content, &entry.content()),
                None => self.changes.push(MapChange::Added { item, value: entry.content() }),
            }
        }
        for label in older.iter().map(ListEntry::label) {
            if contents.remove(&label).is_some() {
                self.changes.push(MapChange::Removed { item: format!("{prefix}{label}") });
            }
        }
    }

    /// Compares the order of the entries that both lists contain.
    fn compare_order<T: ListEntry>(&mut self, item: &str, older: &[T], newer: &[T]) {
        let old_labels: Vec<String> = older.iter().map(ListEntry::label).collect();
        let labels: Vec<String> = newer.iter().map(ListEntry::label).collect();
        let from: Vec<&str> =
            old_labels.iter().filter(|label| labels.contains(label)).map(String::as_str).collect();
        let to: Vec<&str> =
            labels.iter().filter(|label| old_labels.contains(label)).map(String::as_str).collect();
        self.compare(item, &from.join(", "), &to.join(", "));
    }

    fn compare_contracts(&mut self, older: &ServiceContract, newer: &ServiceContract) {
        let label = newer.label();
        let item = |field: &str| format!("{label}, {field}");
        self.compare(&item("hosts"), &sorted_list(&older.hosts), &sorted_list(&newer.hosts));
        let (from, to) = (sorted_list(&older.path_prefixes), sorted_list(&newer.path_prefixes));
        self.compare(&item("path prefixes"), &from, &to);
        self.compare_lists(&item(""), &older.rules, &newer.rules);
        self.compare_order(&item("order of rules"), &older.rules, &newer.rules);
        self.compare(&item("deadline"), &older.deadline, &newer.deadline);
        let (from, to) = (&older.objective, &newer.objective);
        self.compare(&item("objective latency"), &from.latency, &to.latency);
        self.compare(&item("objective latency share"), &from.latency_share, &to.latency_share);
        self.compare(&item("objective success share"), &from.success_share, &to.success_share);
        self.compare(&item("probe share"), &older.probe_share, &newer.probe_share);
        self.compare(&item("vm ceiling"), &older.vm_ceiling, &newer.vm_ceiling);
        self.compare(&item("retry ratio"), &older.retry_ratio, &newer.retry_ratio);
        self.compare(&item("queue limit"), &older.queue_limit, &newer.queue_limit);
    }
}

/// Returns selectors as a sorted list, since their order has no effect.
fn sorted_list(names: &[SharedName]) -> String {
    if names.is_empty() {
        return "any".to_owned();
    }
    let mut sorted: Vec<&str> = names.iter().map(SharedName::as_str).collect();
    sorted.sort_unstable();
    sorted.join(", ")
}
