//! Checks that every service, host name and path prefix can receive requests.

use std::collections::HashMap;
use std::sync::Arc;

use world::prelude::*;

use crate::field::MAX_PREFIX_CHARS;
use crate::problem::{FieldPath, ProblemList};
use crate::service::{ANY_PATH, MAX_SELECTORS};

/// Which service receives the requests of a host (`None` for any) and path prefix.
#[derive(Default)]
struct SelectorTable<'a> {
    holders: HashMap<Option<&'a str>, HashMap<&'a str, usize>>,
}

impl<'a> SelectorTable<'a> {
    /// Returns the first service that receives everything under `host` and `prefix`.
    fn holder(&self, host: Option<&str>, prefix: &str) -> Option<usize> {
        let named = host.and_then(|host| self.find(Some(host), prefix));
        named.into_iter().chain(self.find(None, prefix)).min()
    }

    fn find(&self, host: Option<&str>, prefix: &str) -> Option<usize> {
        let prefixes = self.holders.get(&host)?;
        let cuts = (0..=prefix.len()).filter_map(|end| prefix.get(..end));
        cuts.filter_map(|cut| prefixes.get(cut).copied()).min()
    }

    fn insert(&mut self, host: Option<&'a str>, prefix: &'a str, service: usize) {
        self.holders.entry(host).or_default().entry(prefix).or_insert(service);
    }
}

/// Reports services, host names and path prefixes that never receive a request because earlier
/// services take all of them.
pub(crate) fn check_coverage(contracts: &[Arc<ServiceContract>], problems: &mut ProblemList) {
    let mut table = SelectorTable::default();
    let list = FieldPath::top("services");
    for (index, contract) in contracts.iter().enumerate() {
        let hosts = host_keys(contract);
        let prefixes = prefix_keys(contract);
        // Such lists and prefixes are reported already, and searching them would take long.
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
    let host_holders = hosts
        .iter()
        .map(|host| first_holder(prefixes.iter().map(|prefix| table.holder(*host, prefix))));
    let host_holders: Vec<Option<usize>> = host_holders.collect();
    if let Some(holder) = first_holder(host_holders.iter().copied()) {
        report(&path, &list.item(holder), problems);
        return;
    }
    for (position, holder) in host_holders.into_iter().enumerate() {
        if let Some(holder) = holder {
            report(&path.field("hosts").item(position), &list.item(holder), problems);
        }
    }
    for (position, prefix) in prefixes.iter().enumerate() {
        let holder = first_holder(hosts.iter().map(|host| table.holder(*host, prefix)));
        if let Some(holder) = holder {
            report(&path.field("path_prefixes").item(position), &list.item(holder), problems);
        }
    }
}

/// Returns the earliest service if each of the selectors has one.
fn first_holder(holders: impl Iterator<Item = Option<usize>>) -> Option<usize> {
    holders.collect::<Option<Vec<usize>>>()?.into_iter().min()
}

fn report(path: &FieldPath, holder: &FieldPath, problems: &mut ProblemList) {
    problems.report(
        path,
        format!("never receives a request, because {holder} covers its hosts and paths first"),
        "move the narrower service up or remove the overlap",
    );
}
