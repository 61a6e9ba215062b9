//! The tables that decide about calls on the request path.

use std::sync::Arc;

use base::prelude::*;
use limit::prelude::*;
use report::prelude::*;
use suspect::prelude::*;
use trace::prelude::LogLimiter;
use world::prelude::*;

use crate::metrics::GateMetrics;
use crate::options::CallTuning;
use crate::service::ServiceRegistry;
use crate::waiters::WaiterTable;

/// The most crash notices that are kept until they are sent. What dropped ones reported is also
/// sent by `SuspectTable::export`.
const MAX_CRASH_NOTICES: usize = 256;

/// Tables that decide when and whether a call runs.
#[derive(Debug)]
pub struct CallTables {
    /// Calls that wait for a slot.
    pub waiters: WaiterTable,
    /// The adaptive limits of calls in flight to each service.
    pub limits: AdaptiveLimit,
    /// Decides whether calls are expected to meet their latency objectives.
    pub admission: AdmissionPolicy,
    /// The retry budget.
    pub retries: RetryBudget,
    /// The probe budget.
    pub probes: ProbeBudget,
    /// Requests that crash upstreams.
    pub suspects: Arc<SuspectTable>,
    /// The burn rates of the service-level objectives.
    pub burn: BurnTable,
    /// The context of each service.
    pub services: ServiceRegistry,
    /// The metrics of the process.
    pub metrics: GateMetrics,
    /// Limits how many refused calls that match no service are logged.
    pub unmatched_limiter: RankedMutex<LogLimiter>,
    crash_notices: RankedMutex<Vec<SuspectNotice>>,
}

impl CallTables {
    /// Returns tables without services. The seed is for the jitter of retry delays.
    pub fn new(vm: &VmIdentity, tuning: &CallTuning, seed: u64) -> Self {
        Self {
            waiters: WaiterTable::new(tuning.queue.clone(), seed),
            limits: AdaptiveLimit::new(tuning.limits.clone()),
            admission: AdmissionPolicy::new(AdmissionTuning::default()),
            retries: RetryBudget::new(RetryTuning::default()),
            probes: ProbeBudget::new(ProbeTuning::default()),
            suspects: Arc::new(SuspectTable::new(vm.name.clone(), tuning.suspects.clone())),
            burn: BurnTable::new(BurnTuning::default()),
            services: ServiceRegistry::default(),
            metrics: GateMetrics::new(),
            unmatched_limiter: RankedMutex::new(LockRank::TraceTable, LogLimiter::default()),
            crash_notices: RankedMutex::new(LockRank::SuspectTable, Vec::new()),
        }
    }

    /// Applies a version of the environment.
    pub fn apply(&self, environment: &EnvironmentMap, now: ClockTime) {
        self.waiters.queue.apply(environment, now);
        self.limits.apply(environment, now);
        self.admission.apply(environment);
        self.retries.apply(environment, now);
        self.probes.apply(environment, now);
        self.suspects.apply(environment, now);
        self.burn.apply(environment, now);
        self.services.apply(environment, &self.metrics);
    }

    /// Sets the names of the known VMs, this one included.
    pub fn set_members(&self, names: Vec<SharedName>) {
        self.metrics.set_known_vms(names.len());
        self.suspects.set_members(names);
    }

    /// Adds notices of a crash that are to be sent to the other VMs.
    pub fn add_crash_notices(&self, notices: Vec<SuspectNotice>) {
        let mut kept = self.crash_notices.lock();
        kept.extend(notices);
        let surplus = kept.len().saturating_sub(MAX_CRASH_NOTICES);
        kept.drain(..surplus);
    }

    /// Returns the notices about suspects since the last call, to be sent to all VMs.
    pub fn take_suspect_notices(&self, now: ClockTime) -> Vec<SuspectNotice> {
        let mut notices = std::mem::take(&mut *self.crash_notices.lock());
        notices.extend(self.suspects.take_notices(now));
        notices
    }
}
