//! Guards that give slots, queue entries and connections of an upstream back when they are dropped.

use std::sync::Arc;

use base::prelude::*;
use tokio::sync::oneshot;

use crate::state::{UpstreamCore, WaitOutcome};

/// The work that occupies a slot.
#[derive(Clone, Debug)]
pub(crate) struct RunningWork {
    /// The epoch of the upstream, its number of crashes, when the work was started.
    pub(crate) epoch: u64,
    pub(crate) service_time: ClockSpan,
    pub(crate) probe: bool,
    pub(crate) started_at: ClockTime,
    pub(crate) request: Option<SharedName>,
}

/// A slot that a request occupies. Unless the plan sets `ends_with_caller`, work whose caller
/// closes the connection keeps its slot to the end of the service time, like a server that does not
/// detect the close.
#[derive(Debug)]
pub(crate) struct SlotGuard {
    core: Arc<UpstreamCore>,
    work: RunningWork,
    /// Whether a drop of the guard means that the caller closed the connection.
    abandoned_on_drop: bool,
}

impl SlotGuard {
    pub(crate) fn new(core: Arc<UpstreamCore>, work: RunningWork) -> Self {
        Self { core, work, abandoned_on_drop: true }
    }

    /// Waits for the service time and releases the slot.
    pub(crate) async fn run(self) {
        let service_time = self.work.service_time;
        self.run_for(service_time).await;
    }

    async fn run_for(mut self, duration: ClockSpan) {
        if duration > ClockSpan::ZERO {
            tokio::time::sleep(duration.to_duration()).await;
        }
        self.release();
    }

    fn release(&mut self) {
        self.abandoned_on_drop = false;
        self.core.release(&self.work);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if !self.abandoned_on_drop || self.core.abandon(&self.work) {
            return;
        }
        // Without a runtime the stand-in is shutting down and the slot is no longer needed. A
        // runtime that shuts down drops the new task at once, so its guard must not start another
        // task.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            let remainder =
                Self { core: self.core.clone(), work: self.work.clone(), abandoned_on_drop: false };
            let elapsed = self.core.now().since(self.work.started_at);
            runtime.spawn(remainder.run_for(self.work.service_time.saturating_sub(elapsed)));
        }
    }
}

/// An entry in the queue for slots. Dropping it removes the request from the queue.
#[derive(Debug)]
pub(crate) struct QueueEntry {
    core: Arc<UpstreamCore>,
    entry_id: u64,
    receiver: oneshot::Receiver<WaitOutcome>,
}

impl QueueEntry {
    pub(crate) fn new(
        core: Arc<UpstreamCore>,
        entry_id: u64,
        receiver: oneshot::Receiver<WaitOutcome>,
    ) -> Self {
        Self { core, entry_id, receiver }
    }

    /// Waits for a slot, the deadline or a cancellation. Returns `None` if the upstream crashed.
    pub(crate) async fn wait(mut self, deadline: Option<ClockTime>) -> Option<WaitOutcome> {
        let Some(deadline) = deadline else {
            return (&mut self.receiver).await.ok();
        };
        let remaining_wait = deadline.since(self.core.now()).to_duration();
        if let Ok(outcome) = tokio::time::timeout(remaining_wait, &mut self.receiver).await {
            return outcome.ok();
        }
        if self.core.withdraw(self.entry_id, true) {
            return Some(WaitOutcome::Expired);
        }
        (&mut self.receiver).await.ok()
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        self.core.withdraw(self.entry_id, false);
    }
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionGuard {
    core: Arc<UpstreamCore>,
}

impl ConnectionGuard {
    pub(crate) fn new(core: Arc<UpstreamCore>) -> Self {
        Self { core }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.core.count(|counts| counts.connections -= 1);
    }
}
