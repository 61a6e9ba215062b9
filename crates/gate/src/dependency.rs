//! Tracks whether the services that the gateway depends on answer.

use std::fmt;

use base::prelude::*;

use crate::event;

/// Tracks whether one dependency answers. Logs only changes.
#[derive(Debug)]
pub struct DependencyWatch {
    name: &'static str,
    state: RankedMutex<DependencyState>,
}

#[derive(Debug, Default)]
struct DependencyState {
    answered_at: ClockTime,
    failed_at: Option<ClockTime>,
}

impl DependencyWatch {
    /// Returns the watch of a dependency that is initially available.
    pub const fn new(name: &'static str) -> Self {
        let state = DependencyState { answered_at: ClockTime::ZERO, failed_at: None };
        Self { name, state: RankedMutex::new(LockRank::TraceTable, state) }
    }

    /// Records that the dependency answered.
    pub fn answered(&self, now: ClockTime) {
        let failed_at = {
            let mut state = self.state.lock();
            state.answered_at = now;
            state.failed_at.take()
        };
        if let Some(failed_at) = failed_at {
            let (dependency, after_ms) = (self.name, now.since(failed_at).as_millis());
            tracing::info!(
                event = event::DEPENDENCY_RESTORED,
                dependency,
                after_ms,
                "a dependency is available again"
            );
        }
    }

    /// Records that the dependency did not answer.
    pub fn failed(&self, error: impl fmt::Display, now: ClockTime) {
        let unanswered = {
            let mut state = self.state.lock();
            if state.failed_at.is_some() {
                return;
            }
            state.failed_at = Some(now);
            now.since(state.answered_at)
        };
        let (dependency, after_ms) = (self.name, unanswered.as_millis());
        tracing::warn!(
            event = event::DEPENDENCY_LOST,
            dependency,
            after_ms,
            %error,
            "a dependency is unavailable"
        );
    }
}
