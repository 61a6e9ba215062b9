//! Checks that every service, host name and path prefix can receive requests.

use std::collections::HashMap;
use std::sync::Arc;

use world::prelude::*;

use crate::field::MAX_PREFIX_CHARS;
use crate::problem::{FieldPath, ProblemList};
use crate::service::{ANY_PATH, MAX_SELECTORS};

/// The services that precede the checked one, by host (`None` for any) and path prefix. The values
/// are indexes into the list of services.
#[derive(Default)]
struct SelectorTable<'a> {
    earlier_services: HashMap<Option<&'a str>, HashMap<&'a str, usize>>,
}

impl<'a> SelectorTable<'a> {
    /// Returns the first service that receives all requests for `host` under `prefix`.
    fn earlier_service(&self, host: Option<&str>, prefix: &str) -> Option<usize> {
        let for_host = host.and_then(|host| self.find(Some(host), prefix));
        for_host.into_iter().chain(self.find(None, prefix)).min()
    }

    fn find(&self, host: Option<&str>, prefix: &str) -> Option<usize> {
        let prefixes = self.earlier_services.get(&host)?;
        let candidates = (0..=prefix.len()).filter_map(|end| prefix.get(..end));
        candidates.filter_map(|candidate| prefixes.get(candidate).copied()).min()
    }

    fn insert(&mut self, host: Option<&'a str>, prefix: &'a str, service: usize) {
        self.earlier_services.entry(host).or_default().entry(prefix).or_insert(service);
    }
}

/// Reports services, host names and path prefixes that never receive a request because earlier
/// services receive all of them.
pub(crate) fn check_coverage(contracts: &[Arc<ServiceContract>], problems: &mut ProblemList) {
    let mut table = SelectorTable::default();
    let list = FieldPath::top("services");
    for (index, contract) in contracts.iter().enumerate() {
        let hosts = host_keys(contract);
        let prefixes = prefix_keys(contract);
        // Lists and prefixes above the limits are already reported, and checking them takes long.
        if hosts.len().max(prefixes.len()) > MAX_SELECTORS
            || prefixes.iter().any(|prefix| prefix.len() > MAX_PREFIX_CHARS)
        {
            continue;
        }
        check_service(&list, index, contract, &table, problems);
        for host in &hosts {
            for prefix in &prefixes {
                table.insert(*host, prefix, index);
            }
        }
    }
}

fn host_keys(contract: &ServiceContract) -> Vec<Option<&str>> {
    if contract.hosts.is_empty() {
        return vec![None];
    }
    contract.hosts.iter().map(|host| Some(host.as_str())).collect()
}

fn prefix_keys(contract: &ServiceContract) -> Vec<&str> {
    if contract.path_prefixes.is_empty() {
        return vec![ANY_PATH];
    }
    contract.path_prefixes.iter().map(|prefix| prefix.as_str()).collect()
}

fn check_service(
    list: &FieldPath,
    index: usize,
    contract: &ServiceContract,
    table: &SelectorTable<'_>,
    problems: &mut ProblemList,
) {
    let path = list.item(index);
    let hosts = host_keys(contract);
    let prefixes = prefix_keys(contract);
    let services_by_host = hosts.iter().map(|host| {
        earliest_covering(prefixes.iter().map(|prefix| table.earlier_service(*host, prefix)))
    });
    let services_by_host: Vec<Option<usize>> = services_by_host.collect();
    if let Some(earlier_service) = earliest_covering(services_by_host.iter().copied()) {
        report(&path, &list.item(earlier_service), problems);
        return;
    }
    for (position, earlier_service) in services_by_host.into_iter().enumerate() {
        if let Some(earlier_service) = earlier_service {
            report(&path.field("hosts").item(position), &list.item(earlier_service), problems);
        }
    }
    for (position, prefix) in prefixes.iter().enumerate() {
        let earlier_service =
            earliest_covering(hosts.iter().map(|host| table.earlier_service(*host, prefix)));
        if let Some(earlier_service) = earlier_service {
            report(
                &path.field("path_prefixes").item(position),
                &list.item(earlier_service),
                problems,
            );
        }
    }
}

/// Returns the earliest of the services, or `None` if one of the selectors is not covered.
fn earliest_covering(earlier_services: impl Iterator<Item = Option<usize>>) -> Option<usize> {
    earlier_services.collect::<Option<Vec<usize>>>()?.into_iter().min()
}

fn report(path: &FieldPath, earlier_service: &FieldPath, problems: &mut ProblemList) {
    problems.report(
        path,
        format!(
            "never receives a request, because {earlier_service} covers its hosts and paths first"
        ),
        "move the narrower service up or remove the overlap",
    );
}
