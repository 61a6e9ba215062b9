//! A call that waits for a slot, and the result of its wait. Shared by the waiter table, the
//! service contexts and [`crate::slot`].
//!
//! Depends on no other module of this crate.

use base::prelude::*;
use limit::prelude::*;
use route::prelude::*;
use tokio::sync::oneshot;

/// How a wait ended without a slot.
#[derive(Debug)]
pub enum WaitOutcome {
    /// The queue refused or dropped the call.
    Refused(RefusalReason),
    /// No upstream is usable any more.
    Unavailable(NoUpstream),
    /// The deadline passed.
    Deadline,
}

/// The result of a wait: a reservation on an upstream, or why there is none.
pub type SlotResult = Result<UpstreamReservation, WaitOutcome>;

/// A call that waits for a slot.
#[derive(Debug)]
pub struct SlotWaiter {
    /// Its id in the queue.
    pub id: WaiterId,
    /// Upstreams that the call must not use.
    pub excluded: Vec<SharedName>,
    /// Sends the result of the wait to the call.
    pub sender: oneshot::Sender<SlotResult>,
}

impl SlotWaiter {
    /// Ends the wait with a result. Returns the result if the call no longer waits.
    pub fn end(self, result: SlotResult) -> Option<SlotResult> {
        self.sender.send(result).err()
    }

    /// Ends the wait without a slot.
    pub(crate) fn refuse(self, outcome: WaitOutcome) {
        // A call that no longer waits needs no reason.
        let _ = self.end(Err(outcome));
    }
}
