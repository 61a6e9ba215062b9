//! The slots and the queue of an upstream, without I/O.

use std::collections::VecDeque;

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// The load of an upstream: requests and slots.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoadFigures {
    /// Running requests.
    pub in_flight: u32,
    /// Slots, including those that a noisy neighbour occupies.
    pub slots: u32,
    /// Queued requests.
    pub queued: u32,
}

/// A request that waits for a slot.
#[derive(Debug)]
struct QueuedWork<W> {
    entry_id: u64,
    request: Option<SharedName>,
    deadline: Option<ClockTime>,
    waiter: W,
}

/// How a request leaves the queue.
#[derive(Debug, Eq, PartialEq)]
pub enum QueueExit<W> {
    /// It now occupies a slot.
    Started(W),
    /// Its deadline has passed; it is not run.
    Expired(W),
}

/// The slots and the queue of one upstream. `W` is stored with each queued request and is returned
/// when the request leaves the queue.
#[derive(Debug)]
pub struct SlotTable<W> {
    slots: u32,
    queue_limit: u32,
    noise_slots: u32,
    in_flight: u32,
    next_entry_id: u64,
    queue: VecDeque<QueuedWork<W>>,
    report_lag: ClockSpan,
    history: VecDeque<(ClockTime, LoadFigures)>,
}

impl<W> SlotTable<W> {
    /// Returns a table without requests.
    pub fn new(slots: u32, queue_limit: u32) -> Self {
        Self {
            slots,
            queue_limit,
            noise_slots: 0,
            in_flight: 0,
            next_entry_id: 0,
            queue: VecDeque::new(),
            report_lag: ClockSpan::ZERO,
            history: VecDeque::new(),
        }
    }

    /// Changes the limits. Running and queued requests are kept.
    pub fn resize(&mut self, slots: u32, queue_limit: u32, now: ClockTime) {
        self.slots = slots;
        self.queue_limit = queue_limit;
        self.record_figures(now);
    }

    /// Sets the age of the figures that [`SlotTable::reported_load`] returns.
    pub fn set_lag(&mut self, report_lag: ClockSpan, now: ClockTime) {
        self.report_lag = report_lag;
        self.record_figures(now);
    }

    /// Sets the number of slots that a noisy neighbour occupies.
    pub fn set_noise_slots(&mut self, noise_slots: u32) {
        self.noise_slots = noise_slots;
    }

    /// Removes every request and returns the queued ones.
    pub fn reset(&mut self, now: ClockTime) -> Vec<W> {
        self.in_flight = 0;
        let waiters = self.queue.drain(..).map(|work| work.waiter).collect();
        self.record_figures(now);
        waiters
    }

    /// Starts a new request if a slot is free and the queue is empty. Returns whether it was
    /// started.
    pub fn try_start(&mut self, now: ClockTime) -> bool {
        let starts = self.queue.is_empty() && self.has_free_slot();
        if starts {
            self.in_flight += 1;
            self.record_figures(now);
        }
        starts
    }

    /// Adds a request to the queue and returns the id of its entry, or `None` if the queue is full.
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
        let entry_id = self.next_entry_id;
        self.next_entry_id += 1;
        self.queue.push_back(QueuedWork { entry_id, request, deadline, waiter });
        self.record_figures(now);
        Some(entry_id)
    }

    /// Releases the slot of a request that has finished.
    pub fn finish(&mut self, now: ClockTime) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.record_figures(now);
    }

    /// Removes the next request that can leave the queue. After each change that may free a slot,
    /// the caller repeats this until it returns `None`.
    pub fn next_exit(&mut self, now: ClockTime) -> Option<QueueExit<W>> {
        let expired = self.queue.front()?.deadline.is_some_and(|deadline| deadline <= now);
        if !expired && !self.has_free_slot() {
            return None;
        }
        let work = self.queue.pop_front()?;
        if !expired {
            self.in_flight += 1;
        }
        self.record_figures(now);
        Some(if expired {
            QueueExit::Expired(work.waiter)
        } else {
            QueueExit::Started(work.waiter)
        })
    }

    /// Removes the queued request with a request id. It is not run.
    pub fn cancel(&mut self, request: &str, now: ClockTime) -> Option<W> {
        self.remove(now, |work| work.request.as_deref() == Some(request))
    }

    /// Removes the queued request with an entry id. It is not run.
    pub fn withdraw(&mut self, entry_id: u64, now: ClockTime) -> Option<W> {
        self.remove(now, |work| work.entry_id == entry_id)
    }

    /// Returns the current figures.
    pub fn figures(&self) -> LoadFigures {
        LoadFigures {
            in_flight: self.in_flight,
            slots: self.slots,
            queued: self.queue.len() as u32,
        }
    }

    /// Returns the figures as they were before the report lag.
    pub fn reported_load(&mut self, now: ClockTime) -> LoadFigures {
        if self.report_lag == ClockSpan::ZERO {
            return self.figures();
        }
        self.prune_history(now);
        match self.history.front() {
            Some((time, figures)) if *time <= now - self.report_lag => *figures,
            _ => LoadFigures { slots: self.slots, ..LoadFigures::default() },
        }
    }

    fn has_free_slot(&self) -> bool {
        self.in_flight + self.noise_slots < self.slots
    }

    fn remove(&mut self, now: ClockTime, matches: impl Fn(&QueuedWork<W>) -> bool) -> Option<W> {
        let index = self.queue.iter().position(matches)?;
        let work = self.queue.remove(index)?;
        self.record_figures(now);
        Some(work.waiter)
    }

    /// Adds the current figures to the history, if reports lag.
    fn record_figures(&mut self, now: ClockTime) {
        if self.report_lag == ClockSpan::ZERO {
            self.history.clear();
            return;
        }
        self.prune_history(now);
        let figures = self.figures();
        match self.history.back_mut() {
            Some((time, last)) if *time == now => *last = figures,
            _ => self.history.push_back((now, figures)),
        }
    }

    /// Removes the entries of the history that are no longer reported: those before the newest
    /// entry that is at least as old as the report lag.
    fn prune_history(&mut self, now: ClockTime) {
        let latest = now - self.report_lag;
        while self.history.get(1).is_some_and(|(time, _)| *time <= latest) {
            self.history.pop_front();
        }
    }
}
