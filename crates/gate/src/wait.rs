//! Calls that wait for a slot.
//!
//! The slot is reserved for a waiter before the waiter is woken, so that a woken call always has
//! its slot. A waiter that must not use the free slot is held and comes first at the next turn.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use base::prelude::*;
use limit::prelude::*;
use route::prelude::*;
use tokio::sync::{Notify, oneshot};
use world::prelude::*;

use crate::desk::ServiceDesk;
use crate::slot::{CallSlot, NoSlot};
use crate::state::GateState;

/// The most waiters of a service that are held at a time. More than one, because a waiter that may
/// use only some of the upstreams must not block the others.
const MAX_HELD: usize = 8;

/// Entries without a waiter are removed after this time.
const MARK_SPAN: ClockSpan = ClockSpan::from_secs(1);
/// Entries without a waiter that are kept before any is removed.
const SPARE_MARKS: usize = 64;

/// How a wait ended without a slot.
#[derive(Debug)]
pub enum WaitEnd {
    /// The queue refused or dropped the call.
    Refused(RefusalReason),
    /// No upstream can be used any more.
    Unavailable(NoUpstream),
    /// The deadline passed.
    Deadline,
}

type TurnResult = Result<CallSlot, WaitEnd>;

/// A waiter as the giver of slots sees it.
#[derive(Debug)]
pub struct TurnWaiter {
    id: WaiterId,
    avoid: Vec<SharedName>,
    sender: oneshot::Sender<TurnResult>,
}

impl TurnWaiter {
    /// Ends the wait. If the call is gone, the slot goes to the next waiter on drop.
    fn end(self, result: TurnResult) {
        drop(self.sender.send(result));
    }
}

/// A waiter of the queue.
#[derive(Debug)]
enum WaiterEntry {
    Waiting(TurnWaiter),
    /// Its turn came between its place in the queue and its entry here.
    Called(ClockTime),
    /// It was dropped from the queue before its entry here, or is gone already.
    Dropped(RefusalReason, ClockTime),
}

impl WaiterEntry {
    /// Returns whether a waiter may still come for the entry. Waiters come within microseconds.
    fn is_current(&self, now: ClockTime) -> bool {
        match self {
            Self::Waiting(_) => true,
            Self::Called(at) | Self::Dropped(_, at) => now.since(*at) <= MARK_SPAN,
        }
    }
}

/// The waiting calls of all services.
#[derive(Debug)]
pub struct WaitRoom {
    /// The order of the waiters.
    pub queue: WaitQueue,
    entries: RankedMutex<HashMap<WaiterId, WaiterEntry>>,
    total: AtomicU32,
    occupied: Notify,
}

impl WaitRoom {
    /// Returns an empty room. The seed feeds the jitter of repeat times.
    pub fn new(seed: u64) -> Self {
        Self {
            queue: WaitQueue::new(QueueTuning::default(), seed),
            entries: RankedMutex::new(LockRank::WaitQueue, HashMap::new()),
            total: AtomicU32::new(0),
            occupied: Notify::new(),
        }
    }

    /// Returns the number of waiters of all services.
    pub fn total(&self) -> u32 {
        self.total.load(Ordering::Relaxed)
    }

    /// Waits until a call waits.
    pub async fn until_occupied(&self) {
        while self.total() == 0 {
            self.occupied.notified().await;
        }
    }

    /// Tells the waiters that were dropped from the queue.
    pub fn tell_dropped(&self, now: ClockTime) {
        for dropped in self.queue.take_dropped(now) {
            let entry = {
                let mut entries = self.entries.lock();
                let entry = entries.remove(&dropped.waiter);
                if entry.is_none() {
                    entries.insert(dropped.waiter, WaiterEntry::Dropped(dropped.reason, now));
                }
                entry
            };
            if let Some(WaiterEntry::Waiting(waiter)) = entry {
                waiter.end(Err(WaitEnd::Refused(dropped.reason)));
            }
        }
        let mut entries = self.entries.lock();
        if entries.len() > self.total() as usize + SPARE_MARKS {
            entries.retain(|_, entry| entry.is_current(now));
        }
    }

    /// Registers a waiter that the queue has taken. Returns the waiter if its turn has come
    /// already.
    fn register(&self, waiter: TurnWaiter) -> Option<TurnWaiter> {
        let id = waiter.id;
        let early = {
            let mut entries = self.entries.lock();
            let early = entries.remove(&id);
            if early.is_none() {
                entries.insert(id, WaiterEntry::Waiting(waiter));
                return None;
            }
            early
        };
        match early {
            Some(WaiterEntry::Dropped(reason, _)) => {
                waiter.end(Err(WaitEnd::Refused(reason)));
                None
            }
            _ => Some(waiter),
        }
    }

    /// Returns the waiter whose turn it is.
    fn next(&self, desk: &ServiceDesk, now: ClockTime) -> Option<TurnWaiter> {
        if let Some(waiter) = desk.held.lock().pop_front() {
            return Some(waiter);
        }
        loop {
            let id = self.queue.next(&desk.name, now)?;
            let mut entries = self.entries.lock();
            match entries.remove(&id) {
                Some(WaiterEntry::Waiting(waiter)) => return Some(waiter),
                Some(_) => {}
                None => {
                    entries.insert(id, WaiterEntry::Called(now));
                }
            }
        }
    }
}

/// A call's place in the queue. Gives it up when dropped.
struct WaitPlace<'a> {
    state: &'a GateState,
    desk: &'a ServiceDesk,
    id: WaiterId,
}

impl Drop for WaitPlace<'_> {
    fn drop(&mut self) {
        let room = &self.state.tables.wait;
        room.queue.cancel(self.id);
        room.entries.lock().remove(&self.id);
        self.desk.held.lock().retain(|waiter| waiter.id != self.id);
        self.desk.waiting.fetch_sub(1, Ordering::Relaxed);
        room.total.fetch_sub(1, Ordering::Relaxed);
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
) -> TurnResult {
    let room = &state.tables.wait;
    let id = room.queue.enqueue(request, state.clock.now()).map_err(WaitEnd::Refused)?;
    desk.waiting.fetch_add(1, Ordering::Relaxed);
    if room.total.fetch_add(1, Ordering::Relaxed) == 0 {
        room.occupied.notify_one();
    }
    let place = WaitPlace { state, desk, id };
    let (sender, receiver) = oneshot::channel();
    if let Some(waiter) = room.register(TurnWaiter { id, avoid: avoid.to_vec(), sender }) {
        desk.held.lock().push_back(waiter);
    }
    serve_waiters(state, desk);
    let deadline = state.clock.to_instant(request.deadline).into();
    let turn = tokio::time::timeout_at(deadline, receiver).await;
    drop(place);
    match turn {
        Ok(Ok(result)) => result,
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
            Ok(slot) => waiter.end(Ok(slot)),
            Err(NoSlot::Unavailable(error)) => waiter.end(Err(WaitEnd::Unavailable(error))),
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
