//! Counters of an upstream stand-in and its records of requests, which its admin interface returns
//! as JSON.

use std::collections::HashMap;

use base::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Length and digest of the body of a request as it arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct BodyRecord {
    /// The length in bytes.
    pub bytes: u64,
    /// The 64-bit XXH3 digest.
    pub digest: u64,
}

impl BodyRecord {
    /// Returns the record of a body.
    pub fn of(body: &[u8]) -> Self {
        Self { bytes: body.len() as u64, digest: xxh3_64(body) }
    }
}

/// Arrivals and runs of the requests with one id.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct RequestRecord {
    /// Arrivals of a request head.
    pub arrived: u32,
    /// Runs of a request.
    pub runs: u32,
    /// The bodies that arrived whole, in the order of their arrival.
    pub bodies: Vec<BodyRecord>,
    /// For each arrival with a deadline, the time until it, in milliseconds.
    pub remaining_ms: Vec<u64>,
    /// For each run whose caller closed the connection, its duration until then, in milliseconds.
    pub abandoned_ms: Vec<f64>,
    /// For each arrival during a drain, the time since the drain began, in milliseconds.
    pub draining_ms: Vec<u64>,
}

/// Counters since the start of the stand-in. Simulated crashes do not reset them.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct UpstreamCounts {
    /// Requests other than probes, cancellations and admin calls whose head was read.
    pub arrived: u64,
    /// Requests whose run was started.
    pub executed: u64,
    /// Requests whose run was completed.
    pub completed: u64,
    /// Requests shed because the queue was full or the drain's grace time was over.
    pub shed: u64,
    /// Queued requests that were dropped because their deadline had passed.
    pub expired: u64,
    /// Queued requests whose cancellation was confirmed.
    pub cancelled: u64,
    /// Cancellations that were not confirmed.
    pub cancel_denied: u64,
    /// Queued requests whose caller closed the connection.
    pub withdrawn: u64,
    /// Requests answered with 500 at once in the mode `fail_fast`.
    pub failed_fast: u64,
    /// Requests that arrived in the mode `freeze` and are never answered.
    pub frozen: u64,
    /// Requests whose body did not arrive whole; they are not run.
    pub broken_bodies: u64,
    /// Requests that arrived during a drain.
    pub arrived_draining: u64,
    /// Requests that named another instance.
    pub misdirected: u64,
    /// Answers changed by a fault rule.
    pub faults: u64,
    /// Runs whose caller closed the connection.
    pub abandoned: u64,
    /// Connections closed because they were idle.
    pub idle_closed: u64,
    /// Simulated crashes.
    pub crashes: u64,
    /// Restarts after crashes.
    pub restarts: u64,
    /// Bursts of the noisy neighbour that have started.
    pub bursts: u64,
    /// Calls to the health and load endpoints.
    pub probes: u64,
    /// Slot time that probes took, in milliseconds.
    pub probe_slot_ms: f64,
    /// Slot time that requests took, in milliseconds.
    pub slot_ms: f64,
    /// Open connections.
    pub connections: u64,
    /// Connections served since the start.
    pub connections_served: u64,
    /// Connections closed at once because the limit was reached.
    pub connections_refused: u64,
    /// The most connections that were open at the same time.
    pub connections_peak: u64,
    /// The most requests that ran at the same time.
    pub in_flight_peak: u64,
    /// Executions and other events that are missing in `by_key`, `by_nonce` or `by_request` because
    /// the map already had `count_limit` entries.
    pub uncounted: u64,
    /// Executions of each `idempotency-key`.
    pub by_key: HashMap<SharedName, u32>,
    /// Executions of each `x-test-nonce`.
    pub by_nonce: HashMap<SharedName, u32>,
    /// The record of each request id, if the plan sets `record_requests`.
    pub by_request: HashMap<SharedName, RequestRecord>,
}

impl UpstreamCounts {
    /// Returns the number of executions of work with the idempotency key `key`.
    pub fn executions_of_key(&self, key: &str) -> u32 {
        self.by_key.get(key).copied().unwrap_or(0)
    }

    /// Returns the number of executions of the request with `nonce`.
    pub fn executions_of_nonce(&self, nonce: &str) -> u32 {
        self.by_nonce.get(nonce).copied().unwrap_or(0)
    }

    /// Returns the record of the requests with an id, which is empty if none arrived.
    pub fn request_record(&self, request: &str) -> RequestRecord {
        self.by_request.get(request).cloned().unwrap_or_default()
    }

    /// Returns the keys that were executed more than once.
    pub fn repeated_keys(&self) -> Vec<SharedName> {
        self.by_key.iter().filter(|(_, count)| **count > 1).map(|(key, _)| key.clone()).collect()
    }

    /// Counts an execution. At most `limit` keys and as many nonces are counted.
    pub(crate) fn record_execution(
        &mut self,
        key: Option<&str>,
        nonce: Option<&str>,
        limit: usize,
    ) {
        self.executed += 1;
        for (map, name) in [(&mut self.by_key, key), (&mut self.by_nonce, nonce)] {
            let Some(name) = name else { continue };
            if let Some(count) = map.get_mut(name) {
                *count += 1;
            } else if map.len() < limit {
                map.insert(SharedName::from(name), 1);
            } else {
                self.uncounted += 1;
            }
        }
    }

    /// Applies `change` to the record of a request id. At most `limit` ids are recorded.
    pub(crate) fn record_event(
        &mut self,
        request: Option<&str>,
        limit: usize,
        change: impl FnOnce(&mut RequestRecord),
    ) {
        let Some(request) = request else { return };
        if let Some(record) = self.by_request.get_mut(request) {
            change(record);
        } else if self.by_request.len() < limit {
            change(self.by_request.entry(SharedName::from(request)).or_default());
        } else {
            self.uncounted += 1;
        }
    }
}
