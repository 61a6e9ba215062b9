//! Checks the settings that apply to all VMs of a deployment together.

use base::prelude::*;
use world::prelude::*;

use crate::field;
use crate::generated::settings::FleetEntry;
use crate::problem::{FieldPath, ProblemList};

/// The most additional retries in a window. The largest deployment receives fewer requests in ten
/// seconds, so a higher limit has no effect.
const MAX_RETRY_SLACK: f64 = 1_000_000.0;
/// The shortest retry window, in milliseconds. Retries are counted in parts of the window, which
/// must be longer than the time between two calls for the counts to be meaningful.
const MIN_RETRY_WINDOW_MS: u32 = 100;
/// The most health checks of an upstream in a second. A single VM cannot send more.
const MAX_PROBE_RATE: f64 = 10_000.0;

/// Limits that apply to all VMs of a deployment together.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// The limit on the retries to each service.
    pub retry: RetryWindow,
    /// Health checks of each upstream in a second, over all VMs.
    pub probe_rate: f64,
    /// The time after which a draining upstream gets no calls, counted from the announcement of its
    /// drain.
    pub drain_limit: ClockSpan,
    /// The time between SIGTERM and SIGKILL.
    pub stop_limit: ClockSpan,
}

/// Checks the limits of the deployment and returns them.
pub(crate) fn check_fleet(entry: &FleetEntry, problems: &mut ProblemList) -> FleetSettings {
    let fleet = FieldPath::top("fleet");
    let mut number = |name: &str, value: f64, max: f64, remedy: &str| {
        field::within(&fleet.field(name), value, 0.0..=max, remedy, problems);
        value
    };
    let ratio_remedy = "give retries for each call, such as 0.2 for one in five calls";
    let ratio = number("retry_ratio", entry.retry_ratio, 1.0, ratio_remedy);
    let slack_remedy = "give additional retries in each window, such as 58";
    let slack = number("retry_slack", entry.retry_slack, MAX_RETRY_SLACK, slack_remedy);
    let rate_remedy = "give health checks of each upstream in a second, such as 60";
    let probe_rate = number("probe_rate", entry.probe_rate, MAX_PROBE_RATE, rate_remedy);
    let mut span = |name, millis, min_ms| field::span(&fleet.field(name), millis, min_ms, problems);
    FleetSettings {
        retry: RetryWindow {
            ratio,
            slack,
            span: span("retry_window_ms", entry.retry_window_ms, MIN_RETRY_WINDOW_MS),
        },
        probe_rate,
        drain_limit: span("drain_ms", entry.drain_ms, 1),
        stop_limit: span("stop_limit_ms", entry.stop_limit_ms, 1),
    }
}
