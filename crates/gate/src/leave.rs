//! Graceful shutdown.

use std::sync::atomic::{AtomicU64, Ordering};

use base::prelude::*;
use tokio::sync::Notify;

use crate::access::PlatformAccess;
use crate::event;
use crate::process::RunningGate;

/// How long outcomes of claims are stored while the store is down. Those that are left become
/// unknown, which is safe.
const OUTCOME_LIMIT: ClockSpan = ClockSpan::from_secs(10);

/// The number of calls in flight.
#[derive(Debug, Default)]
pub struct CallCount {
    running: AtomicU64,
    idle: Notify,
}

/// One call in flight, until it is dropped.
#[derive(Debug)]
pub struct CallGuard<'a>(&'a CallCount);

impl CallCount {
    /// Counts a call until the guard is dropped.
    pub fn enter(&self) -> CallGuard<'_> {
        self.start();
        CallGuard(self)
    }

    /// Counts a call until [`CallCount::finish`].
    pub fn start(&self) {
        self.running.fetch_add(1, Ordering::SeqCst);
    }

    /// Ends a call.
    pub fn finish(&self) {
        if self.running.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.idle.notify_one();
        }
    }

    /// Returns the calls in flight.
    pub fn running(&self) -> u64 {
        self.running.load(Ordering::SeqCst)
    }

    /// Waits until no call is in flight.
    pub async fn wait_idle(&self) {
        while self.running() > 0 {
            self.idle.notified().await;
        }
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.0.finish();
    }
}

/// Leaves: readiness off, `lag` of further accepting, then no new connections, the calls in flight
/// and the outcomes of claims.
pub async fn leave(gate: &RunningGate, platform: PlatformAccess, lag: ClockSpan) {
    let state = &gate.state;
    tracing::info!(event = event::DRAIN_STARTED, vm = %state.options.vm.name, "leaving");
    state.draining.store(true, Ordering::SeqCst);
    tokio::time::sleep(lag.to_duration()).await;
    gate.stop_accepting();
    let longest = state.longest_deadline().to_duration();
    if tokio::time::timeout(longest, state.calls.wait_idle()).await.is_err() {
        let calls = state.calls.running();
        tracing::warn!(event = event::DRAIN_CUT, calls, "calls are interrupted");
    }
    if tokio::time::timeout(OUTCOME_LIMIT.to_duration(), platform.stop()).await.is_err() {
        tracing::warn!(event = event::OUTCOMES_LEFT, "outcomes were not stored and become unknown");
    }
}
