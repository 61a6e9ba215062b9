//! Time windows and alert parameters of the burn measurement.

use base::prelude::*;

/// The time windows over which burn is measured, the shortest first.
pub const WINDOWS: [ClockSpan; 6] = [
    ClockSpan::from_secs(10),
    ClockSpan::from_secs(60),
    ClockSpan::from_secs(300),
    ClockSpan::from_secs(1800),
    ClockSpan::from_secs(3600),
    ClockSpan::from_secs(6 * 3600),
];

/// Indices into [`WINDOWS`].
pub(crate) const TEN_SECONDS: usize = 0;
pub(crate) const ONE_MINUTE: usize = 1;
pub(crate) const FIVE_MINUTES: usize = 2;
pub(crate) const HALF_HOUR: usize = 3;
pub(crate) const ONE_HOUR: usize = 4;
pub(crate) const SIX_HOURS: usize = 5;

/// Points of the exported timeline, one for each five minutes of the last hour.
pub const TIMELINE_POINTS: usize = 12;

/// Parameters of the alerts and of [`crate::table::BurnTable`]. The burn rate is the share of bad
/// calls divided by the share that the objective allows; at 14.4 a 30-day budget lasts 50 hours, at
/// 6 it lasts 5 days.
#[derive(Clone, Debug, PartialEq)]
pub struct BurnTuning {
    /// Burn rate of the outage rule (10 s and 1 min) and the fast rule (5 min and 1 h).
    pub fast_rate: f64,
    /// Burn rate of the slow rule (30 min and 6 h).
    pub slow_rate: f64,
    /// Share of bad calls that triggers the outage rule even if the burn rate is below the fast
    /// rate. With a lax objective, the burn rate does not reach the fast rate when half of the
    /// calls fail.
    pub outage_share: f64,
    /// Bad calls in the short window below which no alert is raised, so that one failed call of a
    /// service with few calls raises none.
    pub min_bad: u32,
    /// Calls in the short window below which no alert is raised.
    pub min_calls: u32,
    /// Part of the short window's threshold below which the share of bad calls must fall for an
    /// alert to clear.
    pub clear_share: f64,
    /// Time for which the share of bad calls must stay that low for the alert to clear.
    pub clear_hold: ClockSpan,
    /// The most pairs of service and class that are kept. Calls of further pairs are only counted
    /// as dropped.
    pub max_entries: usize,
}

impl Default for BurnTuning {
    fn default() -> Self {
        Self {
            fast_rate: 14.4,
            slow_rate: 6.0,
            outage_share: 0.25,
            min_bad: 3,
            min_calls: 5,
            clear_share: 0.5,
            clear_hold: ClockSpan::from_secs(30),
            max_entries: 1024,
        }
    }
}
