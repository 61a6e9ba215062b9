//! The calls that wait for a slot.
//!
//! The queue decides the order. This table holds how to notify each waiter.
//!
//! The slot is reserved for a waiter before the waiter is woken, so that a woken call always has
//! its slot. A waiter that must not use the free slot is skipped and comes first when the next slot
//! is free.
//!
//! Depends on [`crate::service`], which holds the skipped waiters, and on [`crate::waiter`].

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};

use base::prelude::*;
use limit::prelude::*;
use tokio::sync::Notify;

use crate::service::ServiceContext;
use crate::waiter::{SlotWaiter, WaitOutcome};

/// Entries without a registered waiter may be removed after this time.
const UNREGISTERED_LIFETIME: ClockSpan = ClockSpan::from_secs(1);
/// The number of entries without a registered waiter above which old ones are removed.
const UNREGISTERED_LIMIT: usize = 64;

/// The state of a waiter of the queue. The entry may be created before the waiter is registered.
#[derive(Debug)]
enum WaiterEntry {
    Waiting(SlotWaiter),
    /// It was dequeued after it joined the queue, but before it was registered here.
    Dequeued(ClockTime),
    /// It was dropped from the queue before it was registered here, or after it was removed.
    Dropped(RefusalReason, ClockTime),
}

impl WaiterEntry {
    /// Returns whether the waiter may still be registered. Waiters are registered within
    /// microseconds.
    fn is_current(&self, now: ClockTime) -> bool {
        match self {
            Self::Waiting(_) => true,
            Self::Dequeued(at) | Self::Dropped(_, at) => now.since(*at) <= UNREGISTERED_LIFETIME,
        }
    }
}

/// The waiting calls of all services.
#[derive(Debug)]
pub struct WaiterTable {
    /// Decides the order of the waiters.
    pub queue: WaitQueue,
    entries: RankedMutex<HashMap<WaiterId, WaiterEntry>>,
    total: AtomicU32,
    nonempty: Notify,
}

impl WaiterTable {
    /// Returns an empty table. The seed is for the jitter of retry delays.
    pub fn new(tuning: QueueTuning, seed: u64) -> Self {
        Self {
            queue: WaitQueue::new(tuning, seed),
            entries: RankedMutex::new(LockRank::WaitQueue, HashMap::new()),
            total: AtomicU32::new(0),
            nonempty: Notify::new(),
        }
    }

    /// Counts a waiter.
    pub(crate) fn add(&self) {
        if self.total.fetch_add(1, Ordering::Relaxed) == 0 {
            self.nonempty.notify_one();
        }
    }

    /// Removes a waiter from the queue and the table, and from the count.
    pub(crate) fn remove(&self, waiter: WaiterId) {
        self.queue.cancel(waiter);
        self.entries.lock().remove(&waiter);
        self.total.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the number of waiters of all services.
    pub fn total(&self) -> u32 {
        self.total.load(Ordering::Relaxed)
    }

    /// Returns once there is a waiter.
    pub async fn wait_nonempty(&self) {
        while self.total() == 0 {
            self.nonempty.notified().await;
        }
    }

    /// Notifies the waiters that were dropped from the queue, and removes old entries.
    pub fn notify_dropped(&self, now: ClockTime) {
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
                waiter.refuse(WaitOutcome::Refused(dropped.reason));
            }
        }
        let mut entries = self.entries.lock();
        if entries.len() > self.total() as usize + UNREGISTERED_LIMIT {
            entries.retain(|_, entry| entry.is_current(now));
        }
    }

    /// Registers a waiter that has joined the queue. Returns the waiter if it was dequeued already.
    pub(crate) fn register(&self, waiter: SlotWaiter) -> Option<SlotWaiter> {
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
                waiter.refuse(WaitOutcome::Refused(reason));
                None
            }
            _ => Some(waiter),
        }
    }

    /// Returns the next waiter: a skipped one, or else the next one of the queue.
    pub(crate) fn next(&self, context: &ServiceContext, now: ClockTime) -> Option<SlotWaiter> {
        if let Some(waiter) = context.skipped.lock().pop_front() {
            return Some(waiter);
        }
        loop {
            let id = self.queue.dequeue(&context.name, now)?;
            let mut entries = self.entries.lock();
            match entries.remove(&id) {
                Some(WaiterEntry::Waiting(waiter)) => return Some(waiter),
                Some(_) => {}
                None => {
                    entries.insert(id, WaiterEntry::Dequeued(now));
                }
            }
        }
    }
}
