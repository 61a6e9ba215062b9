//! Slots. A call with a slot has a reservation on an upstream and counts towards the adaptive limit
//! of its service. Free slots are granted to waiting calls.
//!
//! Slots and their granting are in one module because a slot that is freed is granted to the next
//! waiter. Depends on [`crate::waiters`] for the order of the waiters; [`crate::wait`] depends on
//! this module.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use base::prelude::*;
use limit::prelude::*;
use route::prelude::*;

use crate::service::ServiceContext;
use crate::state::GateState;
use crate::waiter::{SlotWaiter, WaitOutcome};
use crate::waiters::WaiterTable;
use crate::worker;

/// The most waiters of a service that one pass skips. More than one, because a waiter that may use
/// only some of the upstreams must not block the others.
const MAX_SKIPPED: usize = 8;

/// Why a call got no slot.
#[derive(Debug)]
pub enum SlotError {
    /// This VM has as many calls in flight to the service as its adaptive limit allows.
    Limit,
    /// Every usable upstream is full.
    Full,
    /// No upstream can be used, so waiting does not help.
    Unavailable(NoUpstream),
}

/// A reserved slot. When it is finished or dropped, it is freed and granted to the next waiter.
pub struct CallSlot {
    state: Arc<GateState>,
    context: Arc<ServiceContext>,
    reservation: Option<UpstreamReservation>,
    /// Whether the reservation was handed over to a waiter.
    handed_over: bool,
}

impl CallSlot {
    /// Reserves a slot.
    ///
    /// # Errors
    ///
    /// Returns why there is no slot, and so whether the call can wait for one.
    pub fn acquire(
        state: &Arc<GateState>,
        context: &Arc<ServiceContext>,
        excluded: &[SharedName],
        now: ClockTime,
    ) -> Result<Self, SlotError> {
        let limits = &state.tables.limits;
        if !limits.try_start(&context.name, now) {
            return Err(SlotError::Limit);
        }
        let policy = &state.options.policy;
        let reserved = worker::with_random(|random| {
            state.upstreams.reserve(policy, &context.name, excluded, now, random)
        });
        match reserved {
            Ok(reservation) => {
                state.calls.start();
                let (state, context) = (Arc::clone(state), Arc::clone(context));
                Ok(Self { state, context, reservation: Some(reservation), handed_over: false })
            }
            Err(error) => {
                limits.finish(&context.name, LimitSignal::Neutral, now);
                Err(if error.is_full() { SlotError::Full } else { SlotError::Unavailable(error) })
            }
        }
    }

    /// Returns the slot of a reservation that [`CallSlot::hand_over`] gave to a waiter.
    pub fn from_reservation(
        state: &Arc<GateState>,
        context: &Arc<ServiceContext>,
        reservation: UpstreamReservation,
    ) -> Self {
        let (state, context) = (Arc::clone(state), Arc::clone(context));
        Self { state, context, reservation: Some(reservation), handed_over: false }
    }

    /// Hands the reservation over to a waiter. If the waiter no longer exists, the slot is granted
    /// to the next one.
    pub fn hand_over(mut self, waiter: SlotWaiter) {
        let Some(reservation) = self.reservation.take() else { return };
        match waiter.end(Ok(reservation)) {
            None => self.handed_over = true,
            Some(result) => self.reservation = result.ok(),
        }
    }

    /// Returns the name of the upstream.
    pub fn upstream(&self) -> Option<&SharedName> {
        self.reservation.as_ref().map(UpstreamReservation::upstream)
    }

    /// Returns the evidence on the upstream at the time of the choice.
    pub fn evidence(&self) -> Option<&ChoiceEvidence> {
        self.reservation.as_ref().map(UpstreamReservation::evidence)
    }

    /// Returns the context of the service.
    pub fn context(&self) -> &Arc<ServiceContext> {
        &self.context
    }

    /// Frees the slot without granting it to a waiter.
    pub fn release(mut self) {
        drop(self.reservation.take());
        let now = self.state.clock.now();
        self.state.tables.limits.finish(&self.context.name, LimitSignal::Neutral, now);
    }

    /// Records how the call ended and frees the slot.
    pub fn finish(mut self, outcome: CallOutcome) {
        let Some(reservation) = self.reservation.take() else { return };
        let now = self.state.clock.now();
        let tables = &self.state.tables;
        let service = &self.context.name;
        self.state.upstreams.finish(reservation, outcome, now);
        tables.limits.finish(service, limit_signal(&outcome), now);
        if outcome.result == CallResult::Success {
            tables.waiters.queue.record_call(service, outcome.latency, now);
            tables.retries.record_call(service, outcome.latency, now);
        }
        serve_waiters(&self.state, &self.context);
        self.context.slot_freed.notify_waiters();
    }
}

/// Returns what the outcome of a call means for the adaptive limit.
fn limit_signal(outcome: &CallOutcome) -> LimitSignal {
    match outcome.result {
        CallResult::Success => LimitSignal::Response(outcome.latency),
        CallResult::Shed => LimitSignal::Shed,
        CallResult::TimedOut => LimitSignal::TimedOut,
        // Errors are often faster than the work and would lower the baseline.
        CallResult::ServerError
        | CallResult::ConnectFailed
        | CallResult::ConnectionLost
        | CallResult::Cancelled => LimitSignal::Neutral,
    }
}

impl Drop for CallSlot {
    fn drop(&mut self) {
        if self.handed_over {
            return;
        }
        self.state.calls.finish();
        if let Some(reservation) = self.reservation.take() {
            drop(reservation);
            let now = self.state.clock.now();
            self.state.tables.limits.finish(&self.context.name, LimitSignal::Neutral, now);
            serve_waiters(&self.state, &self.context);
        }
    }
}

impl fmt::Debug for CallSlot {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("CallSlot")
            .field("reservation", &self.reservation)
            .finish_non_exhaustive()
    }
}

/// Grants free slots to waiters. A waiter is dequeued only when there is a slot, so that waiters
/// keep their order; only a waiter that must not use the free slot is skipped.
pub fn serve_waiters(state: &Arc<GateState>, context: &Arc<ServiceContext>) {
    if context.waiting.load(Ordering::Relaxed) == 0 {
        return;
    }
    let waiters = &state.tables.waiters;
    let now = state.clock.now();
    let mut failed: Vec<SlotWaiter> = Vec::new();
    while failed.len() < MAX_SKIPPED {
        let found = CallSlot::acquire(state, context, &[], now);
        if let Err(SlotError::Limit | SlotError::Full) = found {
            break;
        }
        let Some(waiter) = next_waiting(waiters, context, now) else {
            if let Ok(slot) = found {
                slot.release();
            }
            break;
        };
        let usable = match found {
            Ok(slot) if slot.upstream().is_some_and(|name| waiter.excluded.contains(name)) => {
                slot.release();
                CallSlot::acquire(state, context, &waiter.excluded, now)
            }
            found => found,
        };
        match usable {
            Ok(slot) => slot.hand_over(waiter),
            Err(SlotError::Unavailable(error)) => {
                // A waiter that no longer exists needs no reason.
                let _ = waiter.end(Err(WaitOutcome::Unavailable(error)));
            }
            Err(SlotError::Limit | SlotError::Full) => failed.push(waiter),
        }
    }
    if !failed.is_empty() {
        let mut skipped = context.skipped.lock();
        for waiter in failed.into_iter().rev() {
            skipped.push_front(waiter);
        }
    }
}

/// Returns the next waiter that still waits for its result.
fn next_waiting(
    waiters: &WaiterTable,
    context: &ServiceContext,
    now: ClockTime,
) -> Option<SlotWaiter> {
    loop {
        let waiter = waiters.next(context, now)?;
        if !waiter.sender.is_closed() {
            return Some(waiter);
        }
    }
}
