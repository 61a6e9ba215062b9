//! Slots and the queue of an upstream, without I/O.

use std::collections::VecDeque;

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// What an upstream reports about its load.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoadFigures {
    /// Requests that run.
    pub in_flight: u32,
    /// Slots, including those that a neighbour has taken.
    pub slots: u32,
    /// Requests that wait.
    pub queued: u32,
}

/// A request that waits for a slot.
#[derive(Debug)]
struct QueuedWork<W> {
    ticket: u64,
    request: Option<SharedName>,
    deadline: Option<ClockTime>,
    waiter: W,
}

/// How a request left the queue.
#[derive(Debug, Eq, PartialEq)]
pub enum QueueExit<W> {
    /// It holds a slot now.
    Started(W),
    /// Its deadline had passed; it is never run.
    Expired(W),
}

/// Slots and queue of one upstream. `W` is what the owner needs to resume a waiting request.
#[derive(Debug)]
pub struct SlotTable<W> {
    slots: u32,
    queue_limit: u32,
    taken: u32,
    in_flight: u32,
    next_ticket: u64,
    queue: VecDeque<QueuedWork<W>>,
    lag: ClockSpan,
    history: VecDeque<(ClockTime, LoadFigures)>,
}

impl<W> SlotTable<W> {
    /// Returns an idle table.
    pub fn new(slots: u32, queue_limit: u32) -> Self {
        Self {
            slots,
            queue_limit,
            taken: 0,
            in_flight: 0,
            next_ticket: 0,
            queue: VecDeque::new(),
            lag: ClockSpan::ZERO,
            history: VecDeque::new(),
        }
    }

    /// Changes the limits. Requests that already run or wait are kept.
    pub fn resize(&mut self, slots: u32, queue_limit: u32, now: ClockTime) {
        self.slots = slots;
        self.queue_limit = queue_limit;
        self.note(now);
    }

    /// Sets how old the figures are that [`SlotTable::reported`] returns.
    pub fn set_lag(&mut self, lag: ClockSpan, now: ClockTime) {
        self.lag = lag;
        self.note(now);
    }

    /// Sets the slots that a neighbour has taken.
    pub fn take_slots(&mut self, taken: u32) {
        self.taken = taken;
    }

    /// Forgets every request and returns those that waited.
    pub fn reset(&mut self, now: ClockTime) -> Vec<W> {
        self.in_flight = 0;
        let waiters = self.queue.drain(..).map(|work| work.waiter).collect();
        self.note(now);
        waiters
    }

    /// Takes a slot for a new request if one is free and nothing waits.
    pub fn try_start(&mut self, now: ClockTime) -> bool {
        let starts = self.queue.is_empty() && self.has_free_slot();
        if starts {
            self.in_flight += 1;
            self.note(now);
        }
        starts
    }

    /// Adds a request to the queue and returns its ticket, or `None` if the queue is full.
    pub fn enqueue(
        &mut self,
        request: Option<SharedName>,
        deadline: Option<ClockTime>,
        waiter: W,
        now: ClockTime,
    ) -> Option<u64> {
        if self.queue.len() >= self.queue_limit as usize {
            return None;
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.queue.push_back(QueuedWork { ticket, request, deadline, waiter });
        self.note(now);
        Some(ticket)
    }

    /// Releases the slot of a request that has finished.
    pub fn finish(&mut self, now: ClockTime) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.note(now);
    }

    /// Removes the next request that can leave the queue. Call until it returns `None` after each
    /// change that may free a slot.
    pub fn next_exit(&mut self, now: ClockTime) -> Option<QueueExit<W>> {
        let expired = self.queue.front()?.deadline.is_some_and(|deadline| deadline <= now);
        if !expired && !self.has_free_slot() {
            return None;
        }
        let work = self.queue.pop_front()?;
        if !expired {
            self.in_flight += 1;
        }
        self.note(now);
        Some(if expired {
            QueueExit::Expired(work.waiter)
        } else {
            QueueExit::Started(work.waiter)
        })
    }

    /// Removes the waiting request with a request id. It is never run.
    pub fn cancel(&mut self, request: &str, now: ClockTime) -> Option<W> {
        self.remove(now, |work| work.request.as_deref() == Some(request))
    }

    /// Removes the waiting request with a ticket. It is never run.
    pub fn withdraw(&mut self, ticket: u64, now: ClockTime) -> Option<W> {
        self.remove(now, |work| work.ticket == ticket)
    }

    /// Returns the present figures.
    pub fn figures(&self) -> LoadFigures {
        LoadFigures {
            in_flight: self.in_flight,
            slots: self.slots,
            queued: self.queue.len() as u32,
        }
    }

    /// Returns the figures as they were before the lag.
    pub fn reported(&mut self, now: ClockTime) -> LoadFigures {
        if self.lag == ClockSpan::ZERO {
            return self.figures();
        }
        self.prune(now);
        match self.history.front() {
            Some((time, figures)) if *time <= now - self.lag => *figures,
            _ => LoadFigures { slots: self.slots, ..LoadFigures::default() },
        }
    }

    fn has_free_slot(&self) -> bool {
        self.in_flight + self.taken < self.slots
    }

    fn remove(&mut self, now: ClockTime, matches: impl Fn(&QueuedWork<W>) -> bool) -> Option<W> {
        let index = self.queue.iter().position(matches)?;
        let work = self.queue.remove(index)?;
        self.note(now);
        Some(work.waiter)
    }

    /// Records the figures if they are reported late.
    fn note(&mut self, now: ClockTime) {
        if self.lag == ClockSpan::ZERO {
            self.history.clear();
            return;
        }
        self.prune(now);
        let figures = self.figures();
        match self.history.back_mut() {
            Some((time, last)) if *time == now => *last = figures,
            _ => self.history.push_back((now, figures)),
        }
    }

    /// Drops entries that are followed by one that is old enough to be reported.
    fn prune(&mut self, now: ClockTime) {
        let horizon = now - self.lag;
        while self.history.get(1).is_some_and(|(time, _)| *time <= horizon) {
            self.history.pop_front();
        }
    }
}
