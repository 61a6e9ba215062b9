//! The state that the calls of one service share.
//!
//! Depends on [`crate::metrics`] and on [`crate::waiter`]; the queue and the slots depend on it.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use arc_swap::ArcSwap;
use base::prelude::*;
use limit::prelude::{RefusalKind, RefusalReason};
use tokio::sync::Notify;
use trace::prelude::LogLimiter;
use world::prelude::*;

use crate::event;
use crate::metrics::{GateMetrics, ServiceMetrics};
use crate::waiter::SlotWaiter;

/// Refusals of one kind are logged at most once in this time.
const REFUSAL_LOG_SPAN_MS: u64 = 1000;
/// The number of kinds of refusals.
const REFUSAL_KIND_COUNT: usize = RefusalKind::Displaced as usize + 1;

/// The state that the calls of one service share.
#[derive(Debug)]
pub struct ServiceContext {
    /// The name of the service.
    pub name: SharedName,
    /// Calls that wait for a slot, including those that are about to get one.
    pub waiting: AtomicU32,
    /// Waiters that were dequeued but must not use the upstream whose slot was free. They are
    /// served before the queue when a slot is free again.
    pub skipped: RankedMutex<VecDeque<SlotWaiter>>,
    /// Notifies calls that wait for a better upstream when a call has ended.
    pub slot_freed: Notify,
    /// The metrics of the service.
    pub metrics: ServiceMetrics,
    /// Limits the traces of refused calls in the log.
    pub refusal_limiter: RankedMutex<LogLimiter>,
    /// When a refusal of each kind was logged last, in milliseconds of the process's clock, or 0.
    logged: [AtomicU64; REFUSAL_KIND_COUNT],
}

impl ServiceContext {
    fn new(name: &SharedName, metrics: &GateMetrics) -> Self {
        Self {
            name: name.clone(),
            waiting: AtomicU32::new(0),
            skipped: RankedMutex::new(LockRank::WaitQueue, VecDeque::new()),
            slot_freed: Notify::new(),
            metrics: metrics.service(name),
            refusal_limiter: RankedMutex::new(LockRank::TraceTable, LogLimiter::default()),
            logged: Default::default(),
        }
    }

    /// Counts a refusal by the queue or by admission, and logs it if none of its kind was logged in
    /// the last second.
    pub fn record_refusal(&self, reason: &RefusalReason, now: ClockTime) {
        self.metrics.count_refusal(reason.kind);
        let logged = &self.logged[reason.kind as usize];
        let before = logged.load(Ordering::Relaxed);
        let now_ms = now.as_millis().max(1);
        let due = before == 0 || now_ms >= before + REFUSAL_LOG_SPAN_MS;
        let swap = || logged.compare_exchange(before, now_ms, Ordering::Relaxed, Ordering::Relaxed);
        if due && swap().is_ok() {
            tracing::warn!(
                event = event::OVERLOAD,
                service = %self.name,
                kind = reason.kind.as_str(),
                "calls are refused because of overload"
            );
        }
    }
}

/// The contexts of all services. Calls look them up without a lock.
#[derive(Debug, Default)]
pub struct ServiceRegistry {
    services: ArcSwap<NameMap<Arc<ServiceContext>>>,
}

impl ServiceRegistry {
    /// Adds the contexts of new services and drops those of removed ones.
    pub fn apply(&self, environment: &EnvironmentMap, metrics: &GateMetrics) {
        let known = self.services.load();
        let contexts = environment.contracts.iter().map(|contract| {
            let name = &contract.name;
            let kept = known.get(name).cloned();
            (name.clone(), kept.unwrap_or_else(|| Arc::new(ServiceContext::new(name, metrics))))
        });
        self.services.store(Arc::new(contexts.collect()));
    }

    /// Returns the context of a service.
    pub fn get(&self, service: &str) -> Option<Arc<ServiceContext>> {
        self.services.load().get(service).cloned()
    }

    /// Returns the contexts of all services.
    pub fn all(&self) -> Vec<Arc<ServiceContext>> {
        self.services.load().values().cloned().collect()
    }
}
