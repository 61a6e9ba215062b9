//! Final drains that upstreams reported to this VM and that the other VMs are not told yet.

use std::mem;

use base::prelude::*;
use directory::prelude::*;
use tokio::sync::Notify;

/// The most reports that are kept until they are taken. An upstream is reported once for each
/// incarnation, so that this suffices for two incarnations of each upstream at the target scale.
const MAX_REPORTS: usize = 2048;

/// The reports, for one task that takes them.
#[derive(Debug)]
pub struct DrainReports {
    marks: RankedMutex<Vec<DrainMark>>,
    added: Notify,
}

impl Default for DrainReports {
    fn default() -> Self {
        Self { marks: RankedMutex::new(LockRank::PeerTable, Vec::new()), added: Notify::new() }
    }
}

impl DrainReports {
    /// Adds a report.
    pub fn add(&self, mark: DrainMark) {
        {
            let mut marks = self.marks.lock();
            // Without a task that takes them, for example with a fixed configuration, reports are
            // not needed.
            if marks.len() < MAX_REPORTS {
                marks.push(mark);
            }
        }
        self.added.notify_one();
    }

    /// Waits for reports and takes them.
    pub async fn take(&self) -> Vec<DrainMark> {
        loop {
            self.added.notified().await;
            let marks = mem::take(&mut *self.marks.lock());
            if !marks.is_empty() {
                return marks;
            }
        }
    }
}
