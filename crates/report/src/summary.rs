//! Burn rates, budgets and percentiles of services over all VMs, computed from merged exports.

use std::collections::BTreeMap;

use base::prelude::*;
use serde::{Deserialize, Serialize};
use world::prelude::*;

use crate::alert::BurnKind;
use crate::export::{BurnExport, BurnTotals, ServiceTotals};
use crate::ring::CallCounts;
use crate::tuning::WINDOWS;

/// Burn rates in one window.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WindowBurn {
    /// The length of the window in milliseconds.
    pub window_ms: u64,
    /// The calls in the window.
    pub counts: CallCounts,
    /// Burn rate of availability: the share of failed calls divided by the allowed share.
    pub availability: f64,
    /// Burn rate of latency: the share of slow calls divided by the allowed share.
    pub latency: f64,
}

/// The burn of one service and class over all VMs.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SummaryRow {
    /// The service.
    pub service: SharedName,
    /// The class.
    pub class: WorkClass,
    /// Burn in each window, the shortest first.
    pub windows: Vec<WindowBurn>,
    /// Share of the error budget of the longest window that is left, by the objective with the
    /// higher burn rate; negative if overspent.
    pub budget_left: f64,
    /// Median latency of successful calls in the last 5 to 10 minutes, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latencies of `p50_ms`.
    pub p99_ms: f64,
    /// 99.9th percentile of the latencies of `p50_ms`.
    pub p999_ms: f64,
    /// Share of failed calls in each five minutes of the last hour, the oldest first.
    pub failed_shares: Vec<f64>,
}

/// The burn of all services over the VMs that answered.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct BurnSummary {
    /// The VMs whose exports are included.
    pub answered: Vec<SharedName>,
    /// The VMs that were asked and did not answer.
    pub missing: Vec<SharedName>,
    /// Calls that the VMs did not count for a service; see [`BurnExport::dropped`].
    pub dropped: u64,
    /// The services and classes, sorted by name and class.
    pub rows: Vec<SummaryRow>,
}

impl BurnSummary {
    /// Returns the summary of the exports of the VMs that answered. `asked` names all VMs that were
    /// asked. Of several exports of one VM, the last is used.
    pub fn from_exports(exports: &[BurnExport], asked: &[SharedName]) -> Self {
        let by_vm: BTreeMap<&SharedName, &BurnExport> =
            exports.iter().map(|export| (&export.vm, export)).collect();
        let mut totals = BurnTotals::default();
        for export in by_vm.values() {
            totals.merge(&BurnTotals::from(*export));
        }
        Self::from_totals(&totals, asked)
    }

    /// Returns the summary of merged exports. `asked` names all VMs that were asked.
    pub fn from_totals(totals: &BurnTotals, asked: &[SharedName]) -> Self {
        let mut missing: Vec<SharedName> =
            asked.iter().filter(|vm| !totals.vms.contains_key(*vm)).cloned().collect();
        missing.sort();
        missing.dedup();
        let rows = totals
            .services
            .iter()
            .map(|((service, class), totals)| SummaryRow::new(service, *class, totals))
            .collect();
        let answered = totals.vms.keys().cloned().collect();
        Self { answered, missing, dropped: totals.dropped, rows }
    }
}

impl SummaryRow {
    fn new(service: &SharedName, class: WorkClass, totals: &ServiceTotals) -> Self {
        let allowed = |kind| totals.objective.allowed(kind);
        let windows: Vec<WindowBurn> = WINDOWS
            .iter()
            .zip(&totals.windows)
            .map(|(window, counts)| WindowBurn {
                window_ms: window.as_millis(),
                counts: *counts,
                availability: counts.failed_share() / allowed(BurnKind::Availability),
                latency: counts.slow_share() / allowed(BurnKind::Latency),
            })
            .collect();
        let spent = windows.last().map_or(0.0, |burn| burn.availability.max(burn.latency));
        let quantile = |share| {
            let hundredths = totals.latencies.value_at_quantile(share);
            ClockSpan::from_hundredths(hundredths).as_millis_f64()
        };
        Self {
            service: service.clone(),
            class,
            windows,
            budget_left: 1.0 - spent,
            p50_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            p999_ms: quantile(0.999),
            failed_shares: totals.timeline.iter().map(CallCounts::failed_share).collect(),
        }
    }

    /// Returns the highest burn rate in any window.
    pub fn worst_burn(&self) -> f64 {
        let rates = self.windows.iter().map(|burn| burn.availability.max(burn.latency));
        rates.fold(0.0, f64::max)
    }
}
