//! A signal for tasks that wait for a change of shared state.

use tokio::sync::Notify;

/// Wakes the tasks that wait for a condition on shared state.
#[derive(Debug, Default)]
pub(crate) struct ChangeSignal {
    changed: Notify,
}

impl ChangeSignal {
    /// Wakes every waiting task to check its condition again. Call it after each change.
    pub(crate) fn announce(&self) {
        self.changed.notify_waiters();
    }

    /// Waits until `condition` returns true.
    pub(crate) async fn wait_until(&self, condition: impl Fn() -> bool) {
        loop {
            let notified = self.changed.notified();
            tokio::pin!(notified);
            // Registers before the check, so that a change between check and wait is not missed.
            notified.as_mut().enable();
            if condition() {
                return;
            }
            notified.await;
        }
    }
}
