//! The count of calls in flight, for which a shutdown waits.

use std::sync::atomic::{AtomicU64, Ordering};

use tokio::sync::Notify;

/// The count of calls in flight. A call counts while it is served, once more while it holds a slot
/// (its answer may still be arriving after it was served), and once more in the task of its claim.
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

    /// Counts a call as ended.
    pub fn finish(&self) {
        if self.running.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.idle.notify_one();
        }
    }

    /// Returns the count. It is higher than the number of calls if some hold a slot or a claim; see
    /// [`CallCount`].
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
