//! The result of the demo, and the comparison of the callers' answers with the upstreams' counts.

use std::collections::{HashMap, HashSet};
use std::fmt;

use base::prelude::*;
use load::prelude::*;
use serde::Serialize;
use snafu::ensure;
use stand::prelude::*;

use crate::demo::cluster::{DemoCluster, DemoUpstream};
use crate::demo::deployment::DemoDeployment;
use crate::error::{CtlError, FaultySnafu};

/// The result of the demo.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct DemoReport {
    /// One entry for each deployment.
    pub deployments: Vec<DeploymentReport>,
}

/// The result of one deployment.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct DeploymentReport {
    /// The name of the environment.
    pub name: SharedName,
    /// The number of gateways.
    pub gateways: usize,
    /// The number of upstreams in the document.
    pub upstreams: usize,
    /// The answers and latencies of the callers.
    pub load: LoadReport,
    /// The cost of the probes of each service.
    pub measuring: Vec<ProbeCost>,
    /// The faults that the comparison with the upstreams' counts found.
    pub verdict: FaultCounts,
}

/// The slot time that the probes of a service took.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct ProbeCost {
    /// The name of the service.
    pub service: SharedName,
    /// The number of probes that the upstreams answered.
    pub probes: u64,
    /// Share of the slot time that the probes took, from 0 to 1.
    pub share: f64,
    /// Share of the slot time that the contract allows for probes, from 0 to 1.
    pub budget: f64,
}

/// The numbers of faults, all zero in a correct run.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Serialize)]
pub struct FaultCounts {
    /// Answers to another call, of the wrong length, or with an unexpected status.
    pub wrong_answers: u64,
    /// At-most-once calls that ran more than once.
    pub repeated_work: u64,
    /// Successful answers to at-most-once calls that did not run; a lower bound.
    pub missing_work: u64,
}

impl DeploymentReport {
    pub(super) fn new(
        deployment: &DemoDeployment,
        cluster: &DemoCluster,
        load: LoadReport,
    ) -> Self {
        let kinds = deployment.mix.iter();
        let services_by_kind = kinds.filter_map(|kind| at_most_once(cluster, kind)).collect();
        let counted = |upstream: &DemoUpstream| (upstream.service.clone(), upstream.stand.counts());
        let counts: Vec<_> = cluster.upstreams.iter().map(counted).collect();
        Self {
            name: SharedName::from(deployment.name),
            gateways: cluster.gates.len(),
            upstreams: cluster.upstreams.len(),
            measuring: ProbeCost::by_service(cluster),
            verdict: FaultCounts::compare(&services_by_kind, &counts, &load),
            load,
        }
    }
}

impl ProbeCost {
    fn by_service(cluster: &DemoCluster) -> Vec<Self> {
        let elapsed_ms = cluster.clock.now().since(cluster.started).as_millis_f64();
        let cost = |contract: &std::sync::Arc<world::prelude::ServiceContract>| {
            let service_upstreams =
                cluster.upstreams.iter().filter(|upstream| upstream.service == contract.name);
            let counts: Vec<_> =
                service_upstreams.map(|upstream| upstream.stand.counts()).collect();
            let servers = cluster.environment.upstreams_of(&contract.name);
            let slots: u32 = servers.iter().map(|server| server.slots).sum();
            let probe_ms: f64 = counts.iter().map(|counts| counts.probe_slot_ms).sum();
            Self {
                service: contract.name.clone(),
                probes: counts.iter().map(|counts| counts.probes).sum(),
                share: probe_ms / (f64::from(slots) * elapsed_ms).max(1.0),
                budget: contract.probe_share,
            }
        };
        cluster.environment.contracts.iter().map(cost).collect()
    }
}

impl FaultCounts {
    /// Compares the answers of the callers with the counts of the upstreams. `services_by_kind` has
    /// the service of each kind of request that runs at most once, and `counts` the service and the
    /// counts of each upstream.
    pub fn compare(
        services_by_kind: &HashMap<SharedName, SharedName>,
        counts: &[(SharedName, UpstreamCounts)],
        load: &LoadReport,
    ) -> Self {
        let errors = &load.overall.errors;
        let services: HashSet<&SharedName> = services_by_kind.values().collect();
        let mut runs: HashMap<&SharedName, u64> = HashMap::new();
        for (_, counts) in counts.iter().filter(|(service, _)| services.contains(service)) {
            for (key, count) in &counts.by_key {
                *runs.entry(key).or_default() += u64::from(*count);
            }
        }
        let rows = load.kinds.iter().filter(|row| services_by_kind.contains_key(&row.name));
        let answered: u64 = rows.map(|row| row.good).sum();
        Self {
            wrong_answers: errors.wrong_nonce + errors.short_body + errors.wrong_status,
            repeated_work: runs.values().filter(|count| **count > 1).count() as u64,
            // A lower bound, because the upstreams also count the calls of the warm-up.
            missing_work: answered.saturating_sub(runs.len() as u64),
        }
    }

    fn is_clean(&self) -> bool {
        *self == Self::default()
    }
}

/// Returns the kind of a request and its service if the request runs at most once.
fn at_most_once(cluster: &DemoCluster, kind: &RequestKind) -> Option<(SharedName, SharedName)> {
    let contract = cluster.environment.contract_for(&kind.host, &kind.path)?;
    let rule = contract.rule_for(&kind.method, &kind.path)?;
    (!rule.idempotent).then(|| (kind.name.clone(), contract.name.clone()))
}

impl DemoReport {
    /// Checks that no caller got a wrong answer, and that no at-most-once call ran twice or was
    /// answered without a run.
    ///
    /// # Errors
    ///
    /// Fails with the faults of the first deployment that has any.
    pub fn verify(&self) -> Result<(), CtlError> {
        for deployment in &self.deployments {
            let verdict = &deployment.verdict;
            let faults = format!("{}: {verdict}", deployment.name);
            ensure!(verdict.is_clean(), FaultySnafu { faults });
        }
        Ok(())
    }
}

impl fmt::Display for FaultCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { wrong_answers, repeated_work, missing_work } = self;
        write!(
            formatter,
            "{wrong_answers} wrong answers, {repeated_work} pieces of work ran twice, \
             {missing_work} were answered and did not run"
        )
    }
}

impl fmt::Display for DemoReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, deployment) in self.deployments.iter().enumerate() {
            if index > 0 {
                writeln!(formatter)?;
            }
            write!(formatter, "{deployment}")?;
        }
        Ok(())
    }
}

impl fmt::Display for DeploymentReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { name, gateways, upstreams, load, measuring, verdict } = self;
        writeln!(formatter, "{name}: {gateways} gateways, {upstreams} upstreams")?;
        write!(formatter, "{load}")?;
        for cost in measuring {
            let (share, budget) = (cost.share * 100.0, cost.budget * 100.0);
            writeln!(
                formatter,
                "measuring {}: {} probes, {share:.3}% of slot time, {budget}% allowed",
                cost.service, cost.probes
            )?;
        }
        writeln!(formatter, "verdict: {verdict}")
    }
}
