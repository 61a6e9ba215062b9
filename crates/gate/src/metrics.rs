//! Metrics of the request path, in the text format of Prometheus.
//!
//! Labels are services, classes and fixed names only, so that their number stays bounded.

use std::sync::OnceLock;

use base::prelude::*;
use limit::prelude::RefusalKind;
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};
use route::prelude::RemoteReason;
use trace::prelude::CallCause;
use world::prelude::*;

/// Histogram bounds, in seconds, of the time that a call spends in the gateway itself. The target
/// is 0.42 ms.
const RESIDENCE_BUCKETS: [f64; 13] =
    [2e-5, 5e-5, 1e-4, 2e-4, 3e-4, 4.2e-4, 6e-4, 1e-3, 2e-3, 5e-3, 2e-2, 0.1, 1.0];
/// Histogram bounds, in seconds, of the time until the head of an upstream's answer.
const UPSTREAM_BUCKETS: [f64; 13] =
    [5e-4, 1e-3, 2e-3, 5e-3, 1e-2, 2e-2, 5e-2, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0];

/// How a call ended for its caller, as a label of the counter of calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// The upstream's answer was passed on.
    Answered,
    /// The upstream's error was passed on.
    UpstreamError,
    /// The gateway reported that the call was not run.
    NotRun,
    /// The gateway reported that the call may have been run.
    Unknown,
}

impl CallEnd {
    const ALL: [Self; 4] = [Self::Answered, Self::UpstreamError, Self::NotRun, Self::Unknown];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::UpstreamError => "upstream_error",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

/// Counters of calls by cause. Each time series is created with its first call, because most causes
/// are rare.
#[derive(Debug)]
pub struct CauseCounters {
    calls: IntCounterVec,
    service: SharedName,
    class: &'static str,
    counters: [OnceLock<IntCounter>; CallCause::ALL.len()],
}

impl CauseCounters {
    fn new(calls: &IntCounterVec, service: &str, class: &'static str) -> Self {
        let (calls, service) = (calls.clone(), SharedName::from(service));
        Self { calls, service, class, counters: Default::default() }
    }

    /// Counts a call.
    pub fn count(&self, cause: CallCause) {
        let labels = [self.service.as_str(), self.class, cause.as_str()];
        let counter = &self.counters[cause as usize];
        counter.get_or_init(|| self.calls.with_label_values(&labels)).inc();
    }
}

/// How many upstreams of a service are in each state.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StateCounts {
    /// Upstreams that take calls.
    pub usable: i64,
    /// Upstreams that are ejected.
    pub ejected: i64,
    /// Upstreams that are draining.
    pub draining: i64,
    /// Open connections to the upstreams of the service.
    pub connections: i64,
}

/// The metrics of one service.
#[derive(Debug)]
pub struct ServiceMetrics {
    calls: [[IntCounter; CallEnd::ALL.len()]; WorkClass::ALL.len()],
    causes: [CauseCounters; WorkClass::ALL.len()],
    residence: Histogram,
    upstream_time: Histogram,
    waiting: IntGauge,
    refusals: [IntCounter; REFUSAL_KINDS.len()],
    suspects_refused: IntCounter,
    /// Attempts after the first.
    pub retries: IntCounter,
    /// Probes of upstreams.
    pub probes: IntCounter,
    probe_micros: IntCounter,
    /// Connections that were closed because they were silent.
    pub silent_connections: IntCounter,
    /// Upstreams that reported that they leave.
    pub final_drains: IntCounter,
    /// Pauses that upstreams asked for.
    pub pauses: IntCounter,
    /// Calls that were lost at their upstream and sent to another one.
    pub stalled_calls: IntCounter,
    /// Attempts in other data centres.
    remote_calls: [IntCounter; RemoteReason::ALL.len()],
    usable: IntGauge,
    ejected: IntGauge,
    draining: IntGauge,
    connections: IntGauge,
}

const REFUSAL_KINDS: [RefusalKind; 5] = [
    RefusalKind::UnknownService,
    RefusalKind::QueueFull,
    RefusalKind::DeadlineTooShort,
    RefusalKind::Overloaded,
    RefusalKind::Displaced,
];

impl ServiceMetrics {
    /// Counts a finished call.
    pub fn count_call(&self, class: WorkClass, end: CallEnd) {
        self.calls[class.index()][end as usize].inc();
    }

    /// Counts the cause of a call. `class` is the name of a [`WorkClass`].
    pub fn count_cause(&self, class: &str, cause: CallCause) {
        if let Some(counters) = self.causes.iter().find(|counters| counters.class == class) {
            counters.count(cause);
        }
    }

    /// Records the time that a call spent in the gateway itself.
    pub fn record_residence(&self, span: ClockSpan) {
        self.residence.observe(span.as_millis_f64() / 1e3);
    }

    /// Records the time until the head of an upstream's answer.
    pub fn record_upstream(&self, span: ClockSpan) {
        self.upstream_time.observe(span.as_millis_f64() / 1e3);
    }

    /// Counts a refusal by the queue or by admission.
    pub fn count_refusal(&self, kind: RefusalKind) {
        if let Some(index) = REFUSAL_KINDS.iter().position(|known| *known == kind) {
            self.refusals[index].inc();
        }
    }

    /// Counts a call that was refused because it is suspected of crashing upstreams.
    pub fn count_suspect(&self) {
        self.suspects_refused.inc();
    }

    /// Counts an attempt at an upstream in another data centre.
    pub fn count_remote(&self, reason: RemoteReason) {
        self.remote_calls[reason as usize].inc();
    }

    /// Counts a probe and the slot time that it is charged.
    pub fn count_probe(&self, cost: ClockSpan) {
        self.probes.inc();
        self.probe_micros.inc_by(cost.as_hundredths() * 10);
    }

    /// Sets the gauges of waiting calls, upstreams and connections.
    pub fn set_gauges(&self, waiting: u32, counts: StateCounts) {
        self.waiting.set(i64::from(waiting));
        self.usable.set(counts.usable);
        self.ejected.set(counts.ejected);
        self.draining.set(counts.draining);
        self.connections.set(counts.connections);
    }
}

/// The metrics of the process.
#[derive(Debug)]
pub struct GateMetrics {
    registry: Registry,
    calls: IntCounterVec,
    causes: IntCounterVec,
    /// Causes of calls that matched no service.
    pub unmatched_causes: CauseCounters,
    /// Lines of the log that did not fit into its buffer.
    pub log_dropped: IntCounter,
    residence: HistogramVec,
    upstream_time: HistogramVec,
    waiting: IntGaugeVec,
    refusals: IntCounterVec,
    retries: IntCounterVec,
    probes: IntCounterVec,
    probe_micros: IntCounterVec,
    silent_connections: IntCounterVec,
    final_drains: IntCounterVec,
    pauses: IntCounterVec,
    stalled_calls: IntCounterVec,
    remote_calls: IntCounterVec,
    upstreams: IntGaugeVec,
    connections: IntGaugeVec,
    known_vms: IntGauge,
}

impl Default for GateMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl GateMetrics {
    /// Returns metrics without services.
    ///
    /// # Panics
    ///
    /// Panics if two metrics of this module have the same name.
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels).expect("valid names");
            registry.register(Box::new(counter.clone())).expect("distinct names");
            counter
        };
        let gauge = |name: &str, help: &str, labels: &[&str]| {
            let gauge = IntGaugeVec::new(Opts::new(name, help), labels).expect("valid names");
            registry.register(Box::new(gauge.clone())).expect("distinct names");
            gauge
        };
        let histogram = |name: &str, help: &str, buckets: &[f64]| {
            let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
            let histogram = HistogramVec::new(options, &["service"]).expect("valid names");
            registry.register(Box::new(histogram.clone())).expect("distinct names");
            histogram
        };
        let log_dropped = IntCounter::new(
            "agateroad_log_dropped_total",
            "Lines of the log that were dropped because standard output was not read.",
        )
        .expect("a valid name");
        registry.register(Box::new(log_dropped.clone())).expect("distinct names");
        let causes = counter(
            "agateroad_call_causes_total",
            "Calls by why they ended as they did.",
            &["service", "class", "cause"],
        );
        let known_vms =
            IntGauge::new("agateroad_known_vms", "VMs that this VM knows, itself included.")
                .expect("a valid name");
        registry.register(Box::new(known_vms.clone())).expect("distinct names");
        Self {
            unmatched_causes: CauseCounters::new(&causes, "", ""),
            causes,
            log_dropped,
            calls: counter(
                "agateroad_calls_total",
                "Calls by how they ended.",
                &["service", "class", "result"],
            ),
            residence: histogram(
                "agateroad_residence_seconds",
                "Time of a call in the gateway until the head of its answer, less the time of its \
                 upstreams.",
                &RESIDENCE_BUCKETS,
            ),
            upstream_time: histogram(
                "agateroad_upstream_seconds",
                "Time from sending an attempt to the head of its answer.",
                &UPSTREAM_BUCKETS,
            ),
            waiting: gauge("agateroad_waiting_calls", "Calls that wait for a slot.", &["service"]),
            refusals: counter(
                "agateroad_refusals_total",
                "Calls that were refused without being run.",
                &["service", "kind"],
            ),
            retries: counter("agateroad_retries_total", "Attempts after the first.", &["service"]),
            probes: counter("agateroad_probes_total", "Probes of upstreams.", &["service"]),
            probe_micros: counter(
                "agateroad_probe_slot_microseconds_total",
                "Slot time that probes were charged for.",
                &["service"],
            ),
            silent_connections: counter(
                "agateroad_silent_connections_total",
                "Connections that were closed because they were silent while a new one worked.",
                &["service"],
            ),
            final_drains: counter(
                "agateroad_final_drains_total",
                "Upstreams that reported in an answer that they leave.",
                &["service"],
            ),
            pauses: counter(
                "agateroad_upstream_pauses_total",
                "Pauses that upstreams asked for.",
                &["service"],
            ),
            stalled_calls: counter(
                "agateroad_stalled_calls_total",
                "Calls that were lost at their upstream and sent to another one.",
                &["service"],
            ),
            remote_calls: counter(
                "agateroad_remote_attempts_total",
                "Attempts at upstreams in other data centres.",
                &["service", "reason"],
            ),
            upstreams: gauge("agateroad_upstreams", "Upstreams by state.", &["service", "state"]),
            connections: gauge(
                "agateroad_upstream_connections",
                "Open connections to upstreams.",
                &["service"],
            ),
            known_vms,
            registry,
        }
    }

    /// Returns the metrics of a service.
    pub fn service(&self, service: &str) -> ServiceMetrics {
        let labels = [service];
        ServiceMetrics {
            calls: WorkClass::ALL.map(|class| {
                CallEnd::ALL.map(|end| {
                    self.calls.with_label_values(&[service, class.as_str(), end.as_str()])
                })
            }),
            causes: WorkClass::ALL
                .map(|class| CauseCounters::new(&self.causes, service, class.as_str())),
            residence: self.residence.with_label_values(&labels),
            upstream_time: self.upstream_time.with_label_values(&labels),
            waiting: self.waiting.with_label_values(&labels),
            refusals: REFUSAL_KINDS
                .map(|kind| self.refusals.with_label_values(&[service, kind.as_str()])),
            suspects_refused: self.refusals.with_label_values(&[service, "suspect"]),
            retries: self.retries.with_label_values(&labels),
            probes: self.probes.with_label_values(&labels),
            probe_micros: self.probe_micros.with_label_values(&labels),
            silent_connections: self.silent_connections.with_label_values(&labels),
            final_drains: self.final_drains.with_label_values(&labels),
            pauses: self.pauses.with_label_values(&labels),
            stalled_calls: self.stalled_calls.with_label_values(&labels),
            remote_calls: RemoteReason::ALL
                .map(|reason| self.remote_calls.with_label_values(&[service, reason.as_str()])),
            usable: self.upstreams.with_label_values(&[service, "usable"]),
            ejected: self.upstreams.with_label_values(&[service, "ejected"]),
            draining: self.upstreams.with_label_values(&[service, "draining"]),
            connections: self.connections.with_label_values(&labels),
        }
    }

    /// Sets the number of known VMs.
    pub fn set_known_vms(&self, count: usize) {
        self.known_vms.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn render(&self) -> String {
        let mut bytes = Vec::new();
        // Writing to memory fails only for a metric without a name, which `new` rules out.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut bytes);
        String::from_utf8(bytes).unwrap_or_default()
    }
}
