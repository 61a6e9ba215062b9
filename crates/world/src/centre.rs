//! Data centres and the links between them.

use base::prelude::*;

/// A data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DataCentre {
    /// Its name, unique in the environment.
    pub name: SharedName,
    /// The region that it belongs to.
    pub region: SharedName,
}

/// The latency of the link between two data centres.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LinkLatency {
    /// One end.
    pub from: SharedName,
    /// The other end.
    pub to: SharedName,
    /// Latency in one direction.
    pub one_way: ClockSpan,
}

impl LinkLatency {
    /// Returns whether the link connects `first` and `second`, in either direction.
    pub fn connects(&self, first: &str, second: &str) -> bool {
        (self.from == *first && self.to == *second) || (self.from == *second && self.to == *first)
    }

    /// Returns the round-trip time: the latency of a request and its response together.
    pub fn round_trip(&self) -> ClockSpan {
        self.one_way + self.one_way
    }
}
