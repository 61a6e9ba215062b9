//! Waiting calls of one class of one service.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;

#[derive(Clone, Copy, Debug)]
pub struct Waiter {
    pub arrived: ClockTime,
    pub deadline: ClockTime,
}

/// Waiters in order of arrival, keyed by their ids, which increase with each arrival.
#[derive(Debug, Default)]
pub struct ClassQueue {
    waiters: BTreeMap<u64, Waiter>,
    deadlines: BTreeSet<(ClockTime, u64)>,
    nonempty_since: Option<ClockTime>,
}

impl ClassQueue {
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    pub fn push(&mut self, id: u64, waiter: Waiter) {
        self.nonempty_since.get_or_insert(waiter.arrived);
        self.deadlines.insert((waiter.deadline, id));
        self.waiters.insert(id, waiter);
    }

    pub fn remove(&mut self, id: u64) -> Option<Waiter> {
        let waiter = self.waiters.remove(&id)?;
        self.deadlines.remove(&(waiter.deadline, id));
        if self.waiters.is_empty() {
            self.nonempty_since = None;
        }
        Some(waiter)
    }

    pub fn oldest(&self) -> Option<(u64, Waiter)> {
        self.waiters.first_key_value().map(|(id, waiter)| (*id, *waiter))
    }

    pub fn newest(&self) -> Option<(u64, Waiter)> {
        self.waiters.last_key_value().map(|(id, waiter)| (*id, *waiter))
    }

    pub fn ids(&self) -> impl Iterator<Item = u64> {
        self.waiters.keys().copied()
    }

    /// Removes the waiters with a deadline at or before `latest` and returns their ids.
    pub fn take_due(&mut self, latest: ClockTime) -> Vec<u64> {
        let mut due = Vec::new();
        while let Some((_, id)) =
            self.deadlines.first().filter(|(deadline, _)| *deadline <= latest).copied()
        {
            self.remove(id);
            due.push(id);
        }
        due
    }

    /// Removes the waiters that have waited longer than `max_wait` and returns their ids.
    pub fn take_stale(&mut self, max_wait: ClockSpan, now: ClockTime) -> Vec<u64> {
        let mut stale = Vec::new();
        while let Some((id, _)) =
            self.oldest().filter(|(_, waiter)| now.since(waiter.arrived) > max_wait)
        {
            self.remove(id);
            stale.push(id);
        }
        stale
    }

    /// Returns whether the queue has not been empty for at least `duration`.
    pub fn is_standing(&self, duration: ClockSpan, now: ClockTime) -> bool {
        self.nonempty_since.is_some_and(|since| now.since(since) >= duration)
    }
}
