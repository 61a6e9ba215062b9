//! What a gateway process is told at its start.

use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::time::{SystemTime, UNIX_EPOCH};

use base::prelude::*;
use border::ProcessSettings;
use route::prelude::*;
use world::prelude::*;

/// Settings of one gateway process.
#[derive(Clone, Debug)]
pub struct GateOptions {
    /// This run of the gateway.
    pub vm: VmIdentity,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// The number of worker threads.
    pub workers: usize,
    /// How an upstream is chosen.
    pub policy: PolicyKind,
    /// Limits of waiting for peers on the network.
    pub timeouts: GateTimeouts,
}

impl GateOptions {
    /// Returns the options that the settings ask for. The incarnation is the start time, so that it
    /// grows with each start.
    pub fn from_settings(settings: &ProcessSettings, policy: PolicyKind) -> Self {
        let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let cores = std::thread::available_parallelism().map_or(1, NonZeroUsize::get);
        Self {
            vm: VmIdentity {
                name: settings.vm_name.clone(),
                incarnation: started.as_millis() as u64,
                centre: settings.centre.clone(),
            },
            caller_address: settings.caller_address,
            workers: settings.worker_count.map_or(cores, NonZeroUsize::get),
            policy,
            timeouts: GateTimeouts::from_settings(settings),
        }
    }
}

impl GateTimeouts {
    fn from_settings(settings: &ProcessSettings) -> Self {
        let timeouts = &settings.timeouts;
        Self {
            connect: timeouts.connect,
            request_head: timeouts.head,
            request_body: timeouts.body_idle,
            keep_alive: timeouts.caller_idle,
            connection_idle: timeouts.upstream_idle,
            ..Self::default()
        }
    }
}

/// How long the gateway waits for the other end of a connection.
#[derive(Clone, Debug)]
pub struct GateTimeouts {
    /// For a connection to an upstream.
    pub connect: ClockSpan,
    /// For a complete request head.
    pub request_head: ClockSpan,
    /// Between two parts of a request body.
    pub request_body: ClockSpan,
    /// For the next request on a caller's connection.
    pub keep_alive: ClockSpan,
    /// How recently a connection must have carried an answer to take non-idempotent work.
    pub connection_proof: ClockSpan,
    /// How long an unused connection to an upstream is kept.
    pub connection_idle: ClockSpan,
}

impl Default for GateTimeouts {
    fn default() -> Self {
        Self {
            connect: ClockSpan::from_millis(250),
            request_head: ClockSpan::from_secs(10),
            request_body: ClockSpan::from_secs(10),
            keep_alive: ClockSpan::from_secs(60),
            connection_proof: ClockSpan::from_secs(1),
            connection_idle: ClockSpan::from_secs(30),
        }
    }
}
