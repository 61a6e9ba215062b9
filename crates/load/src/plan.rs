//! The plan of a load run: targets, rates, limits and the mix of requests.

use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use serde::{Deserialize, Serialize};
use snafu::ensure;

use crate::error::{LoadError, NoTargetSnafu, NoWeightSnafu, WrongRateSnafu, ZeroSnafu};

/// The plan of a load run.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadPlan {
    /// The addresses that share the load evenly.
    pub targets: Vec<SocketAddr>,
    /// Calls a second over all targets, from the end of the warm-up.
    pub rate: RateShape,
    /// How the intended times of calls are distributed.
    pub arrivals: ArrivalKind,
    /// Seed of arrival times, mix, paths and nonces.
    pub seed: u64,
    /// Generator threads.
    pub threads: usize,
    /// Keep-alive connections to each target, over all threads, at least one a thread. Each carries
    /// one call at a time, so this bounds the calls in flight.
    pub connections: usize,
    /// Time at the first rate before the measurement, in milliseconds.
    pub warm_up_ms: u64,
    /// Time of the measurement in milliseconds.
    pub duration_ms: u64,
    /// Timeout of a call in milliseconds, from its intended time.
    pub timeout_ms: u64,
    /// The longest delay in milliseconds with which a call is sent after its intended time. Later
    /// calls are counted as unsent, since they would only add to the load of a server that is
    /// already too slow for the rate.
    pub send_within_ms: u64,
    /// The prefix of every idempotency key. Two runs against the same servers need different ones.
    pub key_prefix: SharedName,
    /// The request kinds.
    pub mix: Vec<RequestKind>,
}

impl Default for LoadPlan {
    fn default() -> Self {
        Self {
            targets: Vec::new(),
            rate: RateShape::Constant { per_second: 100.0 },
            arrivals: ArrivalKind::Poisson,
            seed: 0,
            threads: 2,
            connections: 64,
            warm_up_ms: 0,
            duration_ms: 1000,
            timeout_ms: 5000,
            send_within_ms: 1000,
            key_prefix: SharedName::from("key"),
            mix: vec![RequestKind::default()],
        }
    }
}

impl LoadPlan {
    /// Checks the conditions on the fields that the types cannot express.
    ///
    /// # Errors
    ///
    /// Fails on the first field that makes a run impossible.
    pub fn validate(&self) -> Result<(), LoadError> {
        ensure!(!self.targets.is_empty(), NoTargetSnafu);
        ensure!(self.mix.iter().any(|kind| kind.weight > 0), NoWeightSnafu);
        ensure!(self.threads > 0, ZeroSnafu { field: "threads" });
        ensure!(self.connections > 0, ZeroSnafu { field: "connections" });
        for rate in self.rate.rates() {
            ensure!(rate.is_finite() && rate >= 0.0, WrongRateSnafu { rate });
        }
        Ok(())
    }

    /// Returns the longest delay with which a call is sent after its intended time.
    pub fn send_within(&self) -> Duration {
        Duration::from_millis(self.send_within_ms.min(self.timeout_ms))
    }

    /// Returns the timeout of a call, from its intended time.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

/// How the intended times of calls are distributed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ArrivalKind {
    /// Independently of each other, as with many callers (a Poisson process).
    Poisson,
    /// At even intervals.
    Fixed,
}

/// How the rate changes during the measurement.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum RateShape {
    /// The same rate throughout.
    Constant {
        /// Calls a second.
        per_second: f64,
    },
    /// A linear change over the whole measurement.
    Ramp {
        /// Calls a second at the start.
        from: f64,
        /// Calls a second at the end.
        to: f64,
    },
    /// Steps; the last one lasts until the end.
    Steps {
        /// The steps in their order.
        steps: Vec<RateStep>,
    },
}

impl RateShape {
    /// Returns every rate that the shape names.
    pub fn rates(&self) -> Vec<f64> {
        match self {
            Self::Constant { per_second } => vec![*per_second],
            Self::Ramp { from, to } => vec![*from, *to],
            Self::Steps { steps } => steps.iter().map(|step| step.per_second).collect(),
        }
    }
}

/// A part of the measurement with one rate.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RateStep {
    /// The length of the step in milliseconds.
    pub for_ms: u64,
    /// Calls a second.
    pub per_second: f64,
}

/// One kind of request in a mix.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestKind {
    /// The name in the report.
    pub name: SharedName,
    /// The class in the report.
    pub class: SharedName,
    /// The share of the mix, relative to the other weights.
    pub weight: u32,
    /// The HTTP method.
    pub method: SharedName,
    /// The value of the `host` header.
    pub host: SharedName,
    /// The path; `{n}` stands for a random number below `spread`.
    pub path: SharedName,
    /// The number of different paths.
    pub spread: u64,
    /// Further headers.
    pub headers: Vec<(SharedName, SharedName)>,
    /// The length of the request's body in bytes.
    pub body_bytes: usize,
    /// Whether each call has an idempotency key of its own.
    pub keyed: bool,
    /// The deadline in milliseconds that is sent in a header.
    pub deadline_ms: Option<u64>,
    /// Whether each call has a nonce that the answer must repeat.
    pub check_nonce: bool,
    /// Statuses of a good answer.
    pub expect_status: Vec<u16>,
    /// The length of a good answer's body in bytes, if it is known.
    pub expect_bytes: Option<u64>,
}

impl Default for RequestKind {
    fn default() -> Self {
        Self {
            name: SharedName::from("get"),
            class: SharedName::from("normal"),
            weight: 1,
            method: SharedName::from("GET"),
            host: SharedName::from("localhost"),
            path: SharedName::from("/"),
            spread: 1,
            headers: Vec::new(),
            body_bytes: 0,
            keyed: false,
            deadline_ms: None,
            check_nonce: true,
            expect_status: vec![200],
            expect_bytes: None,
        }
    }
}
