//! Graceful shutdown of the process: with the tasks of [`crate::platform_tasks`], or without them
//! and within a time limit.

use std::sync::atomic::Ordering;

use base::prelude::*;

use crate::event;
use crate::mechanism::Mechanism;
use crate::platform_tasks::PlatformTasks;
use crate::process::RunningGate;

/// The longest wait for the store to accept the outcomes of claims. Outcomes that are not stored
/// count as unknown, which is safe.
const OUTCOME_LIMIT: ClockSpan = ClockSpan::from_secs(10);

/// The part of the time of a shutdown that is reserved for the answers to interrupted calls.
const ANSWER_RESERVE: ClockSpan = ClockSpan::from_millis(100);

/// Shuts down: turns readiness off, accepts connections for the drain delay, then accepts none, and
/// waits for the calls in flight and for the outcomes of claims to be stored.
pub async fn shut_down(gate: &RunningGate, platform: PlatformTasks) {
    let state = &gate.state;
    let drain_delay = state.timeouts.load().drain_delay;
    tracing::info!(
        event = event::DRAIN_STARTED,
        vm = %state.options.vm.name,
        "graceful shutdown started"
    );
    state.shutting_down.store(true, Ordering::SeqCst);
    let longest = state.longest_deadline();
    state.stop.begin(state.clock.now() + drain_delay + longest);
    tokio::time::sleep(drain_delay.to_duration()).await;
    gate.stop_accepting();
    wait_for_calls(gate, longest + ANSWER_RESERVE).await;
    if tokio::time::timeout(OUTCOME_LIMIT.to_duration(), platform.stop()).await.is_err() {
        tracing::warn!(
            event = event::OUTCOMES_UNSTORED,
            "outcomes were not stored and become unknown"
        );
    }
}

/// The part of the limit that is reserved for the end of the process itself.
const EXIT_RESERVE: ClockSpan = ClockSpan::from_millis(300);

/// Shuts down within `limit`: turns readiness off, accepts connections for the drain delay, then
/// accepts none, and waits for the calls in flight. Calls that might not end in time are refused from
/// the start, see [`crate::stop_check`].
pub async fn shut_down_within(gate: &RunningGate, limit: ClockSpan) {
    let state = &gate.state;
    if !state.options.tuning.uses(Mechanism::GracefulStop) {
        return;
    }
    let drain_delay = state.timeouts.load().drain_delay;
    tracing::info!(
        event = event::DRAIN_STARTED,
        vm = %state.options.vm.name,
        "graceful shutdown started"
    );
    state.shutting_down.store(true, Ordering::SeqCst);
    let limit = limit.saturating_sub(EXIT_RESERVE);
    state.stop.begin(state.clock.now() + limit.saturating_sub(ANSWER_RESERVE));
    tokio::time::sleep(drain_delay.to_duration()).await;
    gate.stop_accepting();
    wait_for_calls(gate, limit.saturating_sub(drain_delay)).await;
}

/// Waits until all calls have ended, at most for `limit`.
async fn wait_for_calls(gate: &RunningGate, limit: ClockSpan) {
    if tokio::time::timeout(limit.to_duration(), gate.wait_finished()).await.is_err() {
        let calls = gate.state.calls.running();
        tracing::warn!(event = event::DRAIN_TIMED_OUT, calls, "calls in flight are interrupted");
    }
}
