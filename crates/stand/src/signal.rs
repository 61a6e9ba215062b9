//! Waiting for a change of shared state.

use tokio::sync::Notify;

/// Wakes those who wait for a condition on shared state.
#[derive(Debug, Default)]
pub(crate) struct ChangeSignal {
    changed: Notify,
}

impl ChangeSignal {
    /// Has every waiter check its condition again.
    pub(crate) fn announce(&self) {
        self.changed.notify_waiters();
    }

    /// Waits until `met` returns true.
    pub(crate) async fn wait_until(&self, met: impl Fn() -> bool) {
        loop {
            let notified = self.changed.notified();
            tokio::pin!(notified);
            // A change between the check and the wait must not be missed.
            notified.as_mut().enable();
            if met() {
                return;
            }
            notified.await;
        }
    }
}
