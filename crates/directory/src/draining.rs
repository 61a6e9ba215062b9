//! Incarnations of upstreams that are known to be draining.

use std::collections::{HashSet, VecDeque};

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// An incarnation of an upstream that drains until it ends.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DrainMark {
    /// The upstream.
    pub upstream: SharedName,
    /// The incarnation.
    pub incarnation: u64,
}

/// The incarnations of upstreams that are draining. An entry is final, because an upstream that has
/// begun to drain takes calls again only after a restart.
#[derive(Clone, Debug)]
pub(crate) struct DrainingSet {
    limit: usize,
    incarnations: HashSet<DrainMark>,
    order: VecDeque<DrainMark>,
}

impl DrainingSet {
    pub fn new(limit: usize) -> Self {
        Self { limit, incarnations: HashSet::new(), order: VecDeque::new() }
    }

    /// Adds an incarnation, and removes the oldest one if there are more than the limit.
    pub fn add(&mut self, entry: DrainMark) {
        if !self.incarnations.insert(entry.clone()) {
            return;
        }
        self.order.push_back(entry);
        while self.order.len() > self.limit {
            if let Some(oldest) = self.order.pop_front() {
                self.incarnations.remove(&oldest);
            }
        }
    }

    pub fn contains(&self, upstream: &SharedName, incarnation: u64) -> bool {
        let upstream = upstream.clone();
        self.incarnations.contains(&DrainMark { upstream, incarnation })
    }

    /// Returns the entries, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &DrainMark> {
        self.order.iter()
    }
}
