//! Multi-window, multi-burn-rate alerts: an alert is raised when the burn is high both in a short
//! and in a long window, and cleared when it has stayed low in the short one.

use base::prelude::*;
use serde::{Deserialize, Serialize};
use world::prelude::*;

use crate::export::BurnObjective;
use crate::ring::CallCounts;
use crate::tuning::{
    BurnTuning, FIVE_MINUTES, HALF_HOUR, ONE_HOUR, ONE_MINUTE, SIX_HOURS, TEN_SECONDS, WINDOWS,
};

/// The objective that is missed.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BurnKind {
    /// The share of calls that succeed.
    Availability,
    /// The share of successful calls that are fast enough.
    Latency,
}

impl BurnKind {
    /// Every kind.
    pub const ALL: [Self; 2] = [Self::Availability, Self::Latency];

    /// Returns the share of bad calls: of all calls for availability, of successful ones for
    /// latency.
    pub fn bad_share(self, counts: &CallCounts) -> f64 {
        match self {
            Self::Availability => counts.failed_share(),
            Self::Latency => counts.slow_share(),
        }
    }

    fn bad_calls(self, counts: &CallCounts) -> u64 {
        match self {
            Self::Availability => counts.failed,
            Self::Latency => counts.slow,
        }
    }
}

/// The alert rules, one for each speed at which the error budget is spent.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BurnRule {
    /// A large share of calls is bad now (10 s and 1 min). A fast-burn rule.
    Outage,
    /// The budget would be spent within a few days (5 min and 1 h). A fast-burn rule.
    Fast,
    /// The budget would be spent before the end of its period (30 min and 6 h). The slow-burn rule.
    Slow,
}

impl BurnRule {
    /// Every rule.
    pub const ALL: [Self; 3] = [Self::Outage, Self::Fast, Self::Slow];

    /// Returns the indices of the short and the long window.
    const fn windows(self) -> (usize, usize) {
        match self {
            Self::Outage => (TEN_SECONDS, ONE_MINUTE),
            Self::Fast => (FIVE_MINUTES, ONE_HOUR),
            Self::Slow => (HALF_HOUR, SIX_HOURS),
        }
    }

    /// Returns the shares of bad calls in the short and the long window from which an alert is
    /// raised. `allowed` is the share that the objective allows.
    fn thresholds(self, allowed: f64, tuning: &BurnTuning) -> (f64, f64) {
        match self {
            Self::Outage => {
                let share = (tuning.fast_rate * allowed).min(tuning.outage_share);
                let (short, long) = self.windows();
                // The threshold of the long window is reached by the bad calls of one short window,
                // so that an outage is detected before it has lasted for the long window of a
                // minute.
                let ratio = WINDOWS[short].as_millis_f64() / WINDOWS[long].as_millis_f64();
                (share, share * ratio)
            }
            Self::Fast => (tuning.fast_rate * allowed, tuning.fast_rate * allowed),
            Self::Slow => (tuning.slow_rate * allowed, tuning.slow_rate * allowed),
        }
    }

    /// Returns whether an alert of this rule needs a person at once or today.
    pub const fn is_urgent(self) -> bool {
        matches!(self, Self::Outage | Self::Fast)
    }

    /// Returns the number of the log event when an alert is raised.
    pub const fn event_number(self) -> u32 {
        match self {
            Self::Outage => 1901,
            Self::Fast => 1902,
            Self::Slow => 1903,
        }
    }
}

/// The number of the log event when an alert clears.
pub const CLEARED_EVENT: u32 = 1904;

/// Whether an alert began or ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AlertChange {
    /// The alert began.
    Raised,
    /// The alert ended.
    Cleared,
}

/// The beginning or end of an alert, which the gateway logs.
#[derive(Clone, Debug, PartialEq)]
pub struct BurnAlert {
    /// The service.
    pub service: SharedName,
    /// The class, or `None` for all calls of the service.
    pub class: Option<WorkClass>,
    /// The objective that is missed.
    pub kind: BurnKind,
    /// The rule that raised the alert.
    pub rule: BurnRule,
    /// Whether the alert began or ended.
    pub change: AlertChange,
    /// The burn rate in the short window.
    pub burn: f64,
    /// Bad calls in the short window.
    pub bad: u64,
    /// Calls in the short window.
    pub total: u64,
}

impl BurnAlert {
    /// Returns the number of the log event.
    pub const fn event_number(&self) -> u32 {
        match self.change {
            AlertChange::Raised => self.rule.event_number(),
            AlertChange::Cleared => CLEARED_EVENT,
        }
    }
}

/// Whether the alert of one rule is raised, and since when its burn has been low.
#[derive(Clone, Copy, Debug, Default)]
struct RuleState {
    raised: bool,
    low_since: Option<ClockTime>,
}

/// The alerts of one service, or of one service and class, by objective and rule.
#[derive(Clone, Debug, Default)]
pub(crate) struct AlertStates {
    states: [[RuleState; BurnRule::ALL.len()]; BurnKind::ALL.len()],
}

/// The service and class to which alerts apply, and the objective.
#[derive(Clone, Copy)]
pub(crate) struct AlertScope<'a> {
    pub service: &'a SharedName,
    pub class: Option<WorkClass>,
    pub objective: &'a BurnObjective,
}

impl AlertStates {
    /// Evaluates all rules and returns the alerts that began or ended. `window` returns the calls
    /// in the window with an index.
    pub fn evaluate(
        &mut self,
        scope: AlertScope<'_>,
        tuning: &BurnTuning,
        window: impl Fn(usize) -> CallCounts,
        now: ClockTime,
    ) -> Vec<BurnAlert> {
        let mut alerts = Vec::new();
        for kind in BurnKind::ALL {
            for rule in BurnRule::ALL {
                let (short, long) = rule.windows();
                let (short, long) = (window(short), window(long));
                let allowed = scope.objective.allowed(kind);
                let (short_limit, long_limit) = rule.thresholds(allowed, tuning);
                let share = kind.bad_share(&short);
                let enough = kind.bad_calls(&short) >= u64::from(tuning.min_bad)
                    && short.total >= u64::from(tuning.min_calls);
                let high = enough && share >= short_limit && kind.bad_share(&long) >= long_limit;
                let low = share < short_limit * tuning.clear_share;
                let state = &mut self.states[kind as usize][rule as usize];
                if let Some(change) = state.advance(high, low, tuning.clear_hold, now) {
                    alerts.push(BurnAlert {
                        service: scope.service.clone(),
                        class: scope.class,
                        kind,
                        rule,
                        change,
                        burn: share / allowed,
                        bad: kind.bad_calls(&short),
                        total: short.total,
                    });
                }
            }
        }
        alerts
    }
}

impl RuleState {
    /// Raises the alert if the burn is `high`, and clears it once the burn has been `low` for
    /// `hold`. Returns whether the alert began or ended.
    fn advance(
        &mut self,
        high: bool,
        low: bool,
        hold: ClockSpan,
        now: ClockTime,
    ) -> Option<AlertChange> {
        if !self.raised {
            self.raised = high;
            self.low_since = None;
            return high.then_some(AlertChange::Raised);
        }
        if !low {
            self.low_since = None;
            return None;
        }
        let since = *self.low_since.get_or_insert(now);
        if now.since(since) < hold {
            return None;
        }
        *self = Self::default();
        Some(AlertChange::Cleared)
    }
}
