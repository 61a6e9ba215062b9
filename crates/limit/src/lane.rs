//! The waiters of one class of one service.

use std::collections::BTreeMap;

use base::prelude::*;

#[derive(Clone, Copy, Debug)]
pub struct Waiter {
    pub arrived: ClockTime,
    pub deadline: ClockTime,
}

/// Waiters in order of arrival, keyed by their ids, which only grow.
#[derive(Debug, Default)]
pub struct ClassLane {
    waiters: BTreeMap<u64, Waiter>,
    busy_since: Option<ClockTime>,
}

impl ClassLane {
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    pub fn push(&mut self, id: u64, waiter: Waiter) {
        self.busy_since.get_or_insert(waiter.arrived);
        self.waiters.insert(id, waiter);
    }

    pub fn remove(&mut self, id: u64) -> Option<Waiter> {
        let waiter = self.waiters.remove(&id);
        if self.waiters.is_empty() {
            self.busy_since = None;
        }
        waiter
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

    /// Returns how many waiters arrived at `moment` or before.
    pub fn count_until(&self, moment: ClockTime) -> usize {
        self.waiters.values().take_while(|waiter| waiter.arrived <= moment).count()
    }

    /// Removes the waiters for which `test` holds and returns their ids.
    pub fn take_if(&mut self, test: impl Fn(&Waiter) -> bool) -> Vec<u64> {
        let ids: Vec<u64> =
            self.waiters.iter().filter(|(_, waiter)| test(waiter)).map(|(id, _)| *id).collect();
        for id in &ids {
            self.remove(*id);
        }
        ids
    }

    /// Returns whether the lane has held waiters without a break for `span`.
    pub fn is_standing(&self, span: ClockSpan, now: ClockTime) -> bool {
        self.busy_since.is_some_and(|since| now.since(since) >= span)
    }
}
