//! Waiting for a slot.
//!
//! Depends on [`crate::slot`], which grants free slots to waiting calls.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use base::prelude::*;
use limit::prelude::*;
use tokio::sync::oneshot;
use world::prelude::*;

use crate::service::ServiceContext;
use crate::slot::{self, CallSlot};
use crate::state::GateState;
use crate::waiter::{SlotResult, SlotWaiter, WaitOutcome};

/// A call's entry in the queue. On drop, the call is removed, and a slot that it was granted
/// meanwhile is freed.
struct QueueEntry<'a> {
    state: &'a Arc<GateState>,
    context: &'a Arc<ServiceContext>,
    id: WaiterId,
    receiver: oneshot::Receiver<SlotResult>,
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        self.state.tables.waiters.remove(self.id);
        self.context.skipped.lock().retain(|waiter| waiter.id != self.id);
        self.context.waiting.fetch_sub(1, Ordering::Relaxed);
        self.receiver.close();
        if let Ok(Ok(reservation)) = self.receiver.try_recv() {
            drop(CallSlot::from_reservation(self.state, self.context, reservation));
        }
    }
}

/// Waits for a slot until the deadline of the call.
///
/// # Errors
///
/// Returns why the call got no slot.
pub async fn wait_for_slot(
    state: &Arc<GateState>,
    context: &Arc<ServiceContext>,
    request: &CallerRequest,
    excluded: &[SharedName],
) -> Result<CallSlot, WaitOutcome> {
    let waiters = &state.tables.waiters;
    let id = waiters.queue.enqueue(request, state.clock.now()).map_err(WaitOutcome::Refused)?;
    context.waiting.fetch_add(1, Ordering::Relaxed);
    waiters.add();
    let (sender, receiver) = oneshot::channel();
    let mut entry = QueueEntry { state, context, id, receiver };
    if let Some(waiter) = waiters.register(SlotWaiter { id, excluded: excluded.to_vec(), sender }) {
        context.skipped.lock().push_back(waiter);
    }
    slot::serve_waiters(state, context);
    let deadline = state.clock.to_instant(request.deadline).into();
    match tokio::time::timeout_at(deadline, &mut entry.receiver).await {
        Ok(Ok(result)) => {
            result.map(|reservation| CallSlot::from_reservation(state, context, reservation))
        }
        // The sender is dropped only after it was used, or together with the service.
        Ok(Err(_)) | Err(_) => Err(WaitOutcome::Deadline),
    }
}
