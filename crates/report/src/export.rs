//! The counts and latencies that each VM exports, and their merging.

use std::collections::BTreeMap;

use base::prelude::*;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use world::prelude::*;

use crate::alert::BurnKind;
use crate::ring::CallCounts;

/// The smallest value for the allowed share of bad calls. Burn rates are divided by that share, so
/// an objective of 100% would otherwise make them infinite.
const MIN_ALLOWED_SHARE: f64 = 1e-6;
/// Significant digits of latencies in histograms.
pub(crate) const LATENCY_DIGITS: u8 = 2;
/// Highest latency in histograms, in hundredths of a millisecond: 60 s. Longer ones count as this.
pub(crate) const MAX_LATENCY_HUNDREDTHS: u64 = 6_000_000;

/// The part of a service's objective that burn rates need.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct BurnObjective {
    /// The version of the configuration document that contains it.
    pub version: u64,
    /// The highest latency that counts as good, in hundredths of a millisecond.
    pub latency: u64,
    /// The share of successful calls that must be within the latency.
    pub latency_share: f64,
    /// The share of calls that must succeed.
    pub success_share: f64,
}

impl BurnObjective {
    /// Returns the objective from a version of the configuration document.
    pub fn new(objective: &ServiceObjective, version: u64) -> Self {
        Self {
            version,
            latency: objective.latency.as_hundredths(),
            latency_share: objective.latency_share,
            success_share: objective.success_share,
        }
    }

    /// Returns the share of calls that may be bad.
    pub fn allowed(&self, kind: BurnKind) -> f64 {
        let good = match kind {
            BurnKind::Availability => self.success_share,
            BurnKind::Latency => self.latency_share,
        };
        (1.0 - good).max(MIN_ALLOWED_SHARE)
    }

    /// Returns the objective with the higher version. For equal versions the higher values decide,
    /// so that the result does not depend on the order.
    fn newer(self, other: Self) -> Self {
        let order = self
            .version
            .cmp(&other.version)
            .then(self.latency.cmp(&other.latency))
            .then(self.latency_share.total_cmp(&other.latency_share))
            .then(self.success_share.total_cmp(&other.success_share));
        if order.is_lt() { other } else { self }
    }
}

/// The calls of one service and class on one VM.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServiceBurn {
    /// The service.
    pub service: SharedName,
    /// The class.
    pub class: WorkClass,
    /// The objective.
    pub objective: BurnObjective,
    /// The calls in each window of [`crate::tuning::WINDOWS`].
    pub windows: Vec<CallCounts>,
    /// The calls in each five minutes of the last hour, the oldest first.
    pub timeline: Vec<CallCounts>,
    /// Latencies of successful calls in the last 5 to 10 minutes, in hundredths of a millisecond,
    /// each with its number of calls.
    pub latencies: Vec<(u64, u64)>,
}

/// Everything that one VM exports.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct BurnExport {
    /// The VM.
    pub vm: SharedName,
    /// Services and classes with calls in the longest window.
    pub services: Vec<ServiceBurn>,
    /// Calls that were not counted for a service, because there were too many services and classes
    /// or the service has no contract.
    pub dropped: u64,
}

/// The merged calls of one service and class.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceTotals {
    /// The objective with the highest version.
    pub objective: BurnObjective,
    /// The calls in each window.
    pub windows: Vec<CallCounts>,
    /// The calls in each five minutes of the last hour, the oldest first.
    pub timeline: Vec<CallCounts>,
    /// Latencies of successful calls, in hundredths of a millisecond.
    pub latencies: Histogram<u64>,
}

/// Merged exports. Merging is associative and commutative, so exports may arrive in any order and
/// be merged in any groups.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BurnTotals {
    /// The VMs whose exports are included, with the number of exports of each.
    pub vms: BTreeMap<SharedName, u32>,
    /// The services and classes.
    pub services: BTreeMap<(SharedName, WorkClass), ServiceTotals>,
    /// Calls that were not counted for a service; see [`BurnExport::dropped`].
    pub dropped: u64,
}

/// Returns an empty histogram of latencies.
///
/// # Panics
///
/// Does not panic: the constants are within the bounds of hdrhistogram.
pub(crate) fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_HUNDREDTHS, LATENCY_DIGITS)
        .expect("the bounds of the latency histogram are valid")
}

impl ServiceTotals {
    fn new(burn: &ServiceBurn) -> Self {
        let mut latencies = latency_histogram();
        for (value, count) in &burn.latencies {
            latencies.saturating_record_n((*value).max(1), *count);
        }
        Self {
            objective: burn.objective,
            windows: burn.windows.clone(),
            timeline: burn.timeline.clone(),
            latencies,
        }
    }

    fn merge(&mut self, other: &Self) {
        self.objective = self.objective.newer(other.objective);
        add_counts(&mut self.windows, &other.windows);
        add_counts(&mut self.timeline, &other.timeline);
        for value in other.latencies.iter_recorded() {
            self.latencies.saturating_record_n(value.value_iterated_to(), value.count_at_value());
        }
    }
}

fn add_counts(own: &mut Vec<CallCounts>, other: &[CallCounts]) {
    own.resize(own.len().max(other.len()), CallCounts::default());
    for (counts, added) in own.iter_mut().zip(other) {
        counts.add(added);
    }
}

impl From<&BurnExport> for BurnTotals {
    fn from(export: &BurnExport) -> Self {
        let mut totals = Self {
            vms: BTreeMap::from([(export.vm.clone(), 1)]),
            services: BTreeMap::new(),
            dropped: export.dropped,
        };
        for burn in &export.services {
            totals.add((burn.service.clone(), burn.class), &ServiceTotals::new(burn));
        }
        totals
    }
}

impl BurnTotals {
    /// Adds other totals.
    pub fn merge(&mut self, other: &Self) {
        for (vm, count) in &other.vms {
            *self.vms.entry(vm.clone()).or_default() += count;
        }
        for (key, totals) in &other.services {
            self.add(key.clone(), totals);
        }
        self.dropped += other.dropped;
    }

    fn add(&mut self, key: (SharedName, WorkClass), totals: &ServiceTotals) {
        match self.services.get_mut(&key) {
            Some(own) => own.merge(totals),
            None => {
                self.services.insert(key, totals.clone());
            }
        }
    }
}
