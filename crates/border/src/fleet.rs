//! Bounds that hold over all VMs of a deployment.

use base::prelude::*;
use world::prelude::*;

use crate::field;
use crate::generated::settings::FleetEntry;
use crate::problem::{FieldPath, ProblemList};

/// The most further arrivals that a window may allow on top of the ratio. Above the requests that
/// the largest deployment receives in ten seconds, a bound has no effect.
const MAX_RETRY_SLACK: f64 = 1_000_000.0;
/// The shortest retry window, in milliseconds. Counts are kept in slices of the window, which must
/// be longer than the time between two calls to mean anything.
const MIN_RETRY_WINDOW_MS: u32 = 100;
/// The most health checks for each upstream and second. One VM alone cannot send more.
const MAX_PROBE_RATE: f64 = 10_000.0;

/// Bounds that hold over all VMs of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// The bound on further arrivals at each service.
    pub retry: RetryWindow,
    /// Health checks of each upstream in a second, over all VMs.
    pub probe_rate: f64,
    /// An upstream that leaves gets no calls this long after its notice.
    pub drain: ClockSpan,
    /// The time between SIGTERM and SIGKILL.
    pub stop_limit: ClockSpan,
}

/// Checks the bounds of the deployment.
pub(crate) fn review_fleet(entry: &FleetEntry, problems: &mut ProblemList) -> FleetSettings {
    let fleet = FieldPath::top("fleet");
    let mut number = |name: &str, value: f64, most: f64, remedy: &str| {
        field::within(&fleet.field(name), value, 0.0..=most, remedy, problems);
        value
    };
    let ratio_remedy = "give further arrivals for each call, such as 0.2 for one in five calls";
    let ratio = number("retry_ratio", entry.retry_ratio, 1.0, ratio_remedy);
    let slack_remedy = "give further arrivals in each window, such as 58";
    let slack = number("retry_slack", entry.retry_slack, MAX_RETRY_SLACK, slack_remedy);
    let rate_remedy = "give health checks of each upstream in a second, such as 60";
    let probe_rate = number("probe_rate", entry.probe_rate, MAX_PROBE_RATE, rate_remedy);
    let mut span = |name, millis, least| field::span(&fleet.field(name), millis, least, problems);
    FleetSettings {
        retry: RetryWindow {
            ratio,
            slack,
            span: span("retry_window_ms", entry.retry_window_ms, MIN_RETRY_WINDOW_MS),
        },
        probe_rate,
        drain: span("drain_ms", entry.drain_ms, 1),
        stop_limit: span("stop_limit_ms", entry.stop_limit_ms, 1),
    }
}
