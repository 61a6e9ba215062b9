//! Counts and latencies of calls as the callers saw them, per service and class, on one VM.

use std::fmt;

use base::prelude::*;
use hdrhistogram::Histogram;
use world::prelude::*;

use crate::alert::{AlertScope, AlertStates, BurnAlert};
use crate::export::{
    BurnExport, BurnObjective, LATENCY_DIGITS, MAX_LATENCY_HUNDREDTHS, ServiceBurn,
    latency_histogram,
};
use crate::ring::{CallCounts, WindowCounts};
use crate::tuning::{BurnTuning, WINDOWS};

/// Time after which a new latency histogram is started. The previous one is kept, so percentiles
/// cover the last five to ten minutes.
const HISTOGRAM_PERIOD: ClockSpan = ClockSpan::from_secs(300);
/// The least time for which a service is kept after the configuration document no longer contains
/// it: the longest window.
const RETENTION: ClockSpan = WINDOWS[WINDOWS.len() - 1];

/// Counts and latencies of calls, and the alerts, per service and class. Safe for concurrent use:
/// one lock of rank [`LockRank::BurnTable`] protects it.
pub struct BurnTable {
    tuning: BurnTuning,
    state: RankedMutex<TableState>,
}

#[derive(Default)]
struct TableState {
    services: NameMap<ServiceCalls>,
    /// The number of services and classes with calls, limited by [`BurnTuning::max_entries`].
    entries: usize,
    dropped: u64,
}

struct ServiceCalls {
    objective: BurnObjective,
    classes: [Option<Box<ClassCalls>>; WorkClass::ALL.len()],
    alerts: AlertStates,
    /// Since when the configuration document no longer contains the service.
    removed_at: Option<ClockTime>,
}

struct ClassCalls {
    counts: WindowCounts,
    recent: Histogram<u32>,
    previous: Histogram<u32>,
    /// The number of the period of `recent`, counted from the origin of the clock.
    period: u64,
    alerts: AlertStates,
}

impl fmt::Debug for BurnTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("BurnTable").finish_non_exhaustive()
    }
}

impl BurnTable {
    /// Returns a table without services.
    pub fn new(tuning: BurnTuning) -> Self {
        Self { tuning, state: RankedMutex::new(LockRank::BurnTable, TableState::default()) }
    }

    /// Applies the objectives of a configuration document. Calls that were already counted stay. A
    /// service that the document no longer contains is kept until the first call of this function
    /// after the length of the longest window.
    pub fn apply(&self, map: &EnvironmentMap, now: ClockTime) {
        let mut state = self.state.lock();
        for (name, entry) in &mut state.services {
            if map.contract(name).is_none() {
                entry.removed_at.get_or_insert(now);
            }
        }
        for contract in &map.contracts {
            let objective = BurnObjective::new(&contract.objective, map.version);
            let entry = state
                .services
                .entry(contract.name.clone())
                .or_insert_with(|| ServiceCalls::new(objective));
            entry.objective = objective;
            entry.removed_at = None;
        }
        state.remove_expired(now);
    }

    /// Counts a call. Calls of services without a contract, and of further services and classes
    /// when the table is full, are only counted as dropped.
    pub fn record(
        &self,
        service: &str,
        class: WorkClass,
        latency: ClockSpan,
        success: bool,
        now: ClockTime,
    ) {
        let mut state = self.state.lock();
        let state = &mut *state;
        let Some(entry) = state.services.get_mut(service) else {
            state.dropped += 1;
            return;
        };
        let class_calls = &mut entry.classes[class.index()];
        if class_calls.is_none() {
            if state.entries >= self.tuning.max_entries {
                state.dropped += 1;
                return;
            }
            state.entries += 1;
        }
        let objective_latency = entry.objective.latency;
        class_calls.get_or_insert_with(|| Box::new(ClassCalls::new(now))).record(
            latency,
            objective_latency,
            success,
            now,
        );
    }

    /// Evaluates the alert rules and returns the alerts that began or ended. Must be called once a
    /// second.
    pub fn evaluate(&self, now: ClockTime) -> Vec<BurnAlert> {
        let mut state = self.state.lock();
        let mut names: Vec<SharedName> = state.services.keys().cloned().collect();
        names.sort();
        let mut alerts = Vec::new();
        for service in names {
            if let Some(entry) = state.services.get_mut(&service) {
                alerts.extend(entry.evaluate(&service, &self.tuning, now));
            }
        }
        alerts
    }

    /// Returns the counts and latencies under the name `vm`, to be merged with those of other VMs.
    pub fn export(&self, vm: &SharedName, now: ClockTime) -> BurnExport {
        let state = self.state.lock();
        let mut services = Vec::new();
        for (service, entry) in &state.services {
            for class in WorkClass::ALL {
                if let Some(calls) = &entry.classes[class.index()] {
                    services.push(calls.export(service, class, entry.objective, now));
                }
            }
        }
        services.retain(|burn| burn.windows.iter().any(|counts| counts.total > 0));
        services
            .sort_by(|left, right| (&left.service, left.class).cmp(&(&right.service, right.class)));
        BurnExport { vm: vm.clone(), services, dropped: state.dropped }
    }

    /// Returns the memory of one service and class in bytes.
    pub fn entry_bytes() -> usize {
        let histogram = ClassCalls::histogram();
        let counters = histogram.distinct_values() * size_of::<u32>();
        size_of::<ClassCalls>() + WindowCounts::memory_bytes() + 2 * counters
    }
}

impl TableState {
    fn remove_expired(&mut self, now: ClockTime) {
        let entries = &mut self.entries;
        self.services.retain(|_, entry| {
            let keep = entry.removed_at.is_none_or(|removed| now.since(removed) < RETENTION);
            if !keep {
                *entries -= entry.classes.iter().flatten().count();
            }
            keep
        });
    }
}

impl ServiceCalls {
    fn new(objective: BurnObjective) -> Self {
        Self {
            objective,
            classes: Default::default(),
            alerts: AlertStates::default(),
            removed_at: None,
        }
    }

    fn evaluate(
        &mut self,
        service: &SharedName,
        tuning: &BurnTuning,
        now: ClockTime,
    ) -> Vec<BurnAlert> {
        let mut windows = [CallCounts::default(); WINDOWS.len()];
        let mut alerts = Vec::new();
        let objective = &self.objective;
        for class in WorkClass::ALL {
            let Some(calls) = &mut self.classes[class.index()] else { continue };
            let own: [CallCounts; WINDOWS.len()] =
                std::array::from_fn(|index| calls.counts.window(index, now));
            for (sum, counts) in windows.iter_mut().zip(&own) {
                sum.add(counts);
            }
            let scope = AlertScope { service, class: Some(class), objective };
            alerts.extend(calls.alerts.evaluate(scope, tuning, |index| own[index], now));
        }
        let scope = AlertScope { service, class: None, objective };
        alerts.extend(self.alerts.evaluate(scope, tuning, |index| windows[index], now));
        alerts
    }
}

impl ClassCalls {
    fn new(now: ClockTime) -> Self {
        Self {
            counts: WindowCounts::new(),
            recent: Self::histogram(),
            previous: Self::histogram(),
            period: Self::period_of(now),
            alerts: AlertStates::default(),
        }
    }

    fn histogram() -> Histogram<u32> {
        Histogram::new_with_bounds(1, MAX_LATENCY_HUNDREDTHS, LATENCY_DIGITS)
            .expect("the bounds of the latency histogram are valid")
    }

    fn period_of(now: ClockTime) -> u64 {
        now.as_millis() / HISTOGRAM_PERIOD.as_millis()
    }

    fn record(
        &mut self,
        latency: ClockSpan,
        objective_latency: u64,
        success: bool,
        now: ClockTime,
    ) {
        self.roll(now);
        let hundredths = latency.as_hundredths();
        self.counts.record(!success, success && hundredths > objective_latency, now);
        if success {
            self.recent.saturating_record(hundredths.max(1));
        }
    }

    fn roll(&mut self, now: ClockTime) {
        let period = Self::period_of(now);
        if period <= self.period {
            return;
        }
        std::mem::swap(&mut self.recent, &mut self.previous);
        self.recent.reset();
        if period > self.period + 1 {
            self.previous.reset();
        }
        self.period = period;
    }

    fn export(
        &self,
        service: &SharedName,
        class: WorkClass,
        objective: BurnObjective,
        now: ClockTime,
    ) -> ServiceBurn {
        let periods_passed = Self::period_of(now).saturating_sub(self.period);
        let mut latencies = latency_histogram();
        let kept = [(&self.recent, 1), (&self.previous, 0)];
        for (histogram, max_periods) in kept {
            if periods_passed <= max_periods {
                for value in histogram.iter_recorded() {
                    let count = u64::from(value.count_at_value());
                    latencies.saturating_record_n(value.value_iterated_to(), count);
                }
            }
        }
        ServiceBurn {
            service: service.clone(),
            class,
            objective,
            windows: (0..WINDOWS.len()).map(|index| self.counts.window(index, now)).collect(),
            timeline: self.counts.timeline(now),
            latencies: latencies
                .iter_recorded()
                .map(|value| (value.value_iterated_to(), value.count_at_value()))
                .collect(),
        }
    }
}
