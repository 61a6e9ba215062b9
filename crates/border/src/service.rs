//! Checks of service contracts and upstreams.

use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use world::prelude::*;

use crate::centre::CentreTable;
use crate::field::{self, UniqueValues};
use crate::generated::environment::{ObjectiveEntry, ServiceEntry, UpstreamEntry};
use crate::problem::{FieldPath, ProblemList};
use crate::rule::check_rules;

/// The most host names or path prefixes of a service. They are searched on every request.
pub(crate) const MAX_SELECTORS: usize = 32;
/// The most upstreams of a service.
const MAX_UPSTREAMS: usize = 10_000;
/// The most slots of an upstream.
const MAX_SLOTS: u32 = 10_000;
/// The most connections of an upstream: the number of TCP ports.
const MAX_CONNECTIONS: u32 = 65_535;
/// The highest `vm_ceiling`.
const MAX_VM_CEILING: u32 = 10_000;
/// The most calls that may wait on one VM. Each of them keeps a caller's connection open.
const MAX_QUEUE_LIMIT: u32 = 100_000;
/// The path prefix of a service that lists none.
pub(crate) const ANY_PATH: &str = "/";

/// A checked service, in the form that the environment map stores.
pub(crate) struct CheckedService {
    pub(crate) contract: Arc<ServiceContract>,
    pub(crate) upstreams: Vec<Arc<UpstreamServer>>,
}

/// Checks the services of one document. Stores the names and addresses that must be unique among
/// all services.
pub(crate) struct ServiceChecker<'a> {
    centres: &'a mut CentreTable,
    problems: &'a mut ProblemList,
    service_names: UniqueValues,
    upstream_names: UniqueValues,
    addresses: UniqueValues,
}

impl<'a> ServiceChecker<'a> {
    /// Returns a checker without any services.
    pub(crate) fn new(centres: &'a mut CentreTable, problems: &'a mut ProblemList) -> Self {
        Self {
            centres,
            problems,
            service_names: UniqueValues::new("give each service its own name"),
            upstream_names: UniqueValues::new("give each upstream of the document its own name"),
            addresses: UniqueValues::new(
                "list each server once, since its slots and connections are counted per entry",
            ),
        }
    }

    /// Checks one service and returns it.
    pub(crate) fn check(&mut self, path: &FieldPath, entry: &ServiceEntry) -> CheckedService {
        let name = field::name(&path.field("name"), &entry.name, self.problems);
        self.service_names.add(&path.field("name"), entry.name.clone(), self.problems);
        let hosts = self.check_selectors(&path.field("hosts"), &entry.hosts, field::host);
        let path_prefixes = self.check_selectors(
            &path.field("path_prefixes"),
            &entry.path_prefixes,
            field::path_prefix,
        );
        let any_path = [SharedName::from(ANY_PATH)];
        let scopes = if path_prefixes.is_empty() { &any_path } else { path_prefixes.as_slice() };
        let rules = check_rules(&path.field("rules"), &entry.rules, scopes, self.problems);
        let objective = self.check_objective(path, entry);
        self.check_budgets(path, entry);
        let upstreams = self.check_upstreams(path, entry, &name);
        let contract = ServiceContract {
            name,
            hosts,
            path_prefixes,
            rules,
            deadline: ClockSpan::from_millis(entry.deadline_ms.into()),
            objective,
            probe_share: entry.probe_share,
            vm_ceiling: entry.vm_ceiling,
            retry_ratio: entry.retry_ratio,
            queue_limit: entry.queue_limit,
            health_path: None,
            retry_window: None,
            cold_rate: None,
        };
        CheckedService { contract: Arc::new(contract), upstreams }
    }

    fn check_selectors(
        &mut self,
        list: &FieldPath,
        entries: &[String],
        check: fn(&FieldPath, &str, &mut ProblemList) -> SharedName,
    ) -> Vec<SharedName> {
        field::length(list, entries.len(), 0..=MAX_SELECTORS, self.problems);
        let mut values = UniqueValues::new("remove the repetition");
        let mut names = Vec::with_capacity(entries.len());
        for (index, entry) in entries.iter().enumerate() {
            let path = list.item(index);
            names.push(check(&path, entry, self.problems));
            values.add(&path, entry.clone(), self.problems);
        }
        names
    }

    fn check_objective(&mut self, path: &FieldPath, entry: &ServiceEntry) -> ServiceObjective {
        let ObjectiveEntry { latency_ms, latency_share, success_share } = entry.objective;
        let objective_path = path.field("objective");
        field::within(
            &path.field("deadline_ms"),
            entry.deadline_ms,
            1..=field::MAX_TIME_MS,
            "give the deadline of calls whose caller states none, in milliseconds",
            self.problems,
        );
        field::within(
            &objective_path.field("latency_ms"),
            latency_ms,
            field::MIN_TIME_MS..=f64::from(entry.deadline_ms.max(1)),
            "give a latency above 0 and within deadline_ms, since later calls fail",
            self.problems,
        );
        field::exclusive_share(
            &objective_path.field("latency_share"),
            latency_share,
            self.problems,
        );
        field::exclusive_share(
            &objective_path.field("success_share"),
            success_share,
            self.problems,
        );
        let latency = ClockSpan::from_millis_f64(latency_ms);
        ServiceObjective { latency, latency_share, success_share }
    }

    fn check_budgets(&mut self, path: &FieldPath, entry: &ServiceEntry) {
        field::within(
            &path.field("probe_share"),
            entry.probe_share,
            0.0..=1.0,
            "give the share of slot time for probes, such as 0.01 for 1%",
            self.problems,
        );
        field::within(
            &path.field("vm_ceiling"),
            entry.vm_ceiling,
            1..=MAX_VM_CEILING,
            "give the highest number of gateway VMs, including those that are being replaced",
            self.problems,
        );
        field::within(
            &path.field("retry_ratio"),
            entry.retry_ratio,
            0.0..=1.0,
            "give the retries for each first attempt, such as 0.1 for one in ten",
            self.problems,
        );
        field::within(
            &path.field("queue_limit"),
            entry.queue_limit,
            0..=MAX_QUEUE_LIMIT,
            "give the calls that may wait on one VM",
            self.problems,
        );
    }

    fn check_upstreams(
        &mut self,
        path: &FieldPath,
        entry: &ServiceEntry,
        service: &SharedName,
    ) -> Vec<Arc<UpstreamServer>> {
        let list = path.field("upstreams");
        field::length(&list, entry.upstreams.len(), 1..=MAX_UPSTREAMS, self.problems);
        let mut servers = Vec::with_capacity(entry.upstreams.len());
        for (index, upstream) in entry.upstreams.iter().enumerate() {
            let path = list.item(index);
            self.check_capacity(&path, upstream, entry.vm_ceiling);
            servers.extend(self.check_upstream(&path, upstream, service).map(Arc::new));
        }
        servers
    }

    fn check_upstream(
        &mut self,
        path: &FieldPath,
        entry: &UpstreamEntry,
        service: &SharedName,
    ) -> Option<UpstreamServer> {
        let name = field::name(&path.field("name"), &entry.name, self.problems);
        self.upstream_names.add(&path.field("name"), entry.name.clone(), self.problems);
        let centre =
            self.centres.find(&path.field("data_centre"), &entry.data_centre, self.problems);
        if let Some(centre) = &centre {
            self.centres.record_upstream(centre);
        }
        let address_path = path.field("address");
        let address = field::remote_address(&address_path, &entry.address, self.problems)?;
        let canonical = SocketAddr::new(address.ip().to_canonical(), address.port());
        self.addresses.add(&address_path, canonical.to_string(), self.problems);
        Some(UpstreamServer {
            name,
            service: service.clone(),
            centre: centre?,
            address,
            slots: entry.slots,
            connections: entry.connections,
            incarnation: 0,
            warm_up: ClockSpan::ZERO,
        })
    }

    fn check_capacity(&mut self, path: &FieldPath, entry: &UpstreamEntry, vm_ceiling: u32) {
        let UpstreamEntry { slots, connections, .. } = *entry;
        field::within(
            &path.field("slots"),
            slots,
            1..=MAX_SLOTS,
            "give the calls that the server runs at the same time",
            self.problems,
        );
        let path = path.field("connections");
        field::within(
            &path,
            connections,
            1..=MAX_CONNECTIONS,
            "give the highest number of connections to the server from all VMs",
            self.problems,
        );
        if connections == 0 {
            return;
        }
        // Every VM needs at least one connection, and each call in flight occupies a connection.
        if connections < vm_ceiling {
            let reason = format!("{connections} connections leave some of {vm_ceiling} VMs none");
            self.problems.report(&path, reason, "raise connections or lower vm_ceiling");
        }
        if connections < slots {
            let reason = format!("{connections} connections cannot fill {slots} slots");
            self.problems.report(&path, reason, "raise connections or lower slots");
        }
    }
}
