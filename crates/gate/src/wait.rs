//! Waiting for a slot, and giving free slots to those that wait.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use base::prelude::*;
use limit::prelude::*;
use tokio::sync::oneshot;
use world::prelude::*;

use crate::desk::ServiceDesk;
use crate::room::{TurnResult, TurnWaiter, WaitEnd, WaitRoom};
use crate::slot::{CallSlot, NoSlot};
use crate::state::GateState;

/// The most waiters of a service that are held at a time. More than one, because a waiter that may
/// use only some of the upstreams must not block the others.
const MAX_HELD: usize = 8;

/// A call's place in the queue. Gives it up when dropped, with the slot that it may have got.
struct WaitPlace<'a> {
    state: &'a Arc<GateState>,
    desk: &'a Arc<ServiceDesk>,
    id: WaiterId,
    receiver: oneshot::Receiver<TurnResult>,
}

impl Drop for WaitPlace<'_> {
    fn drop(&mut self) {
        self.state.tables.wait.leave(self.id);
        self.desk.held.lock().retain(|waiter| waiter.id != self.id);
        self.desk.waiting.fetch_sub(1, Ordering::Relaxed);
        self.receiver.close();
        if let Ok(Ok(ticket)) = self.receiver.try_recv() {
            drop(CallSlot::resume(self.state, self.desk, ticket));
        }
    }
}

/// Waits for a slot until the deadline of the call.
///
/// # Errors
///
/// Returns why the call got none.
pub async fn wait_for_slot(
    state: &Arc<GateState>,
    desk: &Arc<ServiceDesk>,
    request: &CallerRequest,
    avoid: &[SharedName],
) -> Result<CallSlot, WaitEnd> {
    let room = &state.tables.wait;
    let id = room.queue.enqueue(request, state.clock.now()).map_err(WaitEnd::Refused)?;
    desk.waiting.fetch_add(1, Ordering::Relaxed);
    room.enter();
    let (sender, receiver) = oneshot::channel();
    let mut place = WaitPlace { state, desk, id, receiver };
    if let Some(waiter) = room.register(TurnWaiter { id, avoid: avoid.to_vec(), sender }) {
        desk.held.lock().push_back(waiter);
    }
    serve_waiters(state, desk);
    let deadline = state.clock.to_instant(request.deadline).into();
    match tokio::time::timeout_at(deadline, &mut place.receiver).await {
        Ok(Ok(result)) => result.map(|ticket| CallSlot::resume(state, desk, ticket)),
        // The sender is dropped only after it was used, or with the service.
        Ok(Err(_)) | Err(_) => Err(WaitEnd::Deadline),
    }
}

/// Gives free slots to waiters. No waiter has its turn before there is a slot, so that waiters keep
/// their order; only a waiter that must not use the free slot is held.
pub fn serve_waiters(state: &Arc<GateState>, desk: &Arc<ServiceDesk>) {
    if desk.waiting.load(Ordering::Relaxed) == 0 {
        return;
    }
    let room = &state.tables.wait;
    let now = state.clock.now();
    let mut failed: Vec<TurnWaiter> = Vec::new();
    while failed.len() < MAX_HELD {
        let found = CallSlot::acquire(state, desk, &[], now);
        if let Err(NoSlot::Limit | NoSlot::Full) = found {
            break;
        }
        let Some(waiter) = next_open(room, desk, now) else {
            if let Ok(slot) = found {
                slot.release();
            }
            break;
        };
        let fitted = match found {
            Ok(slot) if slot.upstream().is_some_and(|name| waiter.avoid.contains(name)) => {
                slot.release();
                CallSlot::acquire(state, desk, &waiter.avoid, now)
            }
            found => found,
        };
        match fitted {
            Ok(slot) => slot.pass_to(waiter),
            Err(NoSlot::Unavailable(error)) => {
                // A call that is gone needs no reason.
                let _ = waiter.end(Err(WaitEnd::Unavailable(error)));
            }
            Err(NoSlot::Limit | NoSlot::Full) => failed.push(waiter),
        }
    }
    if !failed.is_empty() {
        let mut held = desk.held.lock();
        for waiter in failed.into_iter().rev() {
            held.push_front(waiter);
        }
    }
}

/// Returns the next waiter whose call is not gone.
fn next_open(room: &WaitRoom, desk: &ServiceDesk, now: ClockTime) -> Option<TurnWaiter> {
    loop {
        let waiter = room.next(desk, now)?;
        if !waiter.sender.is_closed() {
            return Some(waiter);
        }
    }
}
