//! Policies that choose one of several upstreams.

use std::fmt;
use std::str::FromStr;

use base::prelude::*;
use snafu::Snafu;

use crate::cost::ExpectedCost;
use crate::paced::PacedChoice;
use crate::view::UpstreamView;

/// Chooses an upstream for a call. The methods run while the lock on the state of the service is
/// held, which every call to the service needs, so they must neither block nor take a lock.
pub trait ChoicePolicy {
    /// Returns the index of the chosen candidate, or `None` if there are none.
    fn choose(
        &self,
        candidates: &[UpstreamView],
        now: ClockTime,
        random: &mut RandomSource,
    ) -> Option<usize>;

    /// Returns the expected latency of a call on an upstream, including the wait for a slot,
    /// divided by the typical latency of the service, or 1.0 if the policy does not estimate it.
    fn expected_slowdown(&self, _view: &UpstreamView, _now: ClockTime) -> f64 {
        1.0
    }

    /// Returns the cost that the policy assigns to a candidate, in milliseconds, or `None` if it
    /// computes none.
    fn expected_cost_ms(&self, _view: &UpstreamView, _now: ClockTime) -> Option<f64> {
        None
    }
}

/// Chooses uniformly at random.
#[derive(Clone, Copy, Debug, Default)]
pub struct RandomChoice;

impl ChoicePolicy for RandomChoice {
    fn choose(
        &self,
        candidates: &[UpstreamView],
        _now: ClockTime,
        random: &mut RandomSource,
    ) -> Option<usize> {
        (!candidates.is_empty()).then(|| random.below(candidates.len()))
    }
}

/// Chooses the upstream with the fewest calls of this VM in flight relative to its slots; ties are
/// broken at random.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastInFlight;

impl ChoicePolicy for LeastInFlight {
    fn choose(
        &self,
        candidates: &[UpstreamView],
        _now: ClockTime,
        random: &mut RandomSource,
    ) -> Option<usize> {
        min_cost_by(candidates, random, |view, _| occupancy(view))
    }
}

/// Draws two upstreams at random and chooses the one with fewer calls of this VM in flight relative
/// to its slots.
#[derive(Clone, Copy, Debug, Default)]
pub struct TwoChoices;

impl ChoicePolicy for TwoChoices {
    fn choose(
        &self,
        candidates: &[UpstreamView],
        _now: ClockTime,
        random: &mut RandomSource,
    ) -> Option<usize> {
        if candidates.len() < 2 {
            return (!candidates.is_empty()).then_some(0);
        }
        let first = random.below(candidates.len());
        let offset = 1 + random.below(candidates.len() - 1);
        let second = (first + offset) % candidates.len();
        let second_wins = occupancy(&candidates[second]) < occupancy(&candidates[first]);
        Some(if second_wins { second } else { first })
    }
}

/// Returns this VM's calls in flight on the upstream divided by its slots.
fn occupancy(view: &UpstreamView) -> f64 {
    f64::from(view.own_in_flight) / f64::from(view.slots.max(1))
}

/// Returns the index of the candidate with the lowest cost, or `None` if there are none. The scan
/// starts at a random index and keeps the first of equals, which breaks ties without a second pass.
/// If no cost is finite, the candidate at that random index is chosen.
pub(crate) fn min_cost_by(
    candidates: &[UpstreamView],
    random: &mut RandomSource,
    cost: impl Fn(&UpstreamView, &mut RandomSource) -> f64,
) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    let start = random.below(candidates.len());
    let mut best = start;
    let mut best_cost = f64::INFINITY;
    for index in (start..candidates.len()).chain(0..start) {
        let candidate_cost = cost(&candidates[index], random);
        if candidate_cost < best_cost {
            best = index;
            best_cost = candidate_cost;
        }
    }
    Some(best)
}

/// Returns the index of the candidate with the lowest cost, or `None` if there are none. Each cost
/// is first multiplied by a random factor between 1.0 and `1.0 + jitter`, so that VMs with the same
/// evidence choose differently.
pub(crate) fn min_cost_with_jitter(
    candidates: &[UpstreamView],
    random: &mut RandomSource,
    jitter: f64,
    cost: impl Fn(&UpstreamView) -> f64,
) -> Option<usize> {
    min_cost_by(candidates, random, |view, random| cost(view) * (1.0 + jitter * random.unit()))
}

/// A policy that is selected by name and called without dynamic dispatch. The comment on each
/// variant gives the name.
#[derive(Clone, Copy, Debug)]
pub enum PolicyKind {
    /// `random`
    Random(RandomChoice),
    /// `least-in-flight`
    LeastInFlight(LeastInFlight),
    /// `two-choices`
    TwoChoices(TwoChoices),
    /// `expected-cost`, the default
    ExpectedCost(ExpectedCost),
    /// `paced`
    Paced(PacedChoice),
}

impl PolicyKind {
    /// The names of all policies.
    pub const NAMES: [&'static str; 5] =
        ["random", "least-in-flight", "two-choices", "expected-cost", "paced"];

    /// Returns the name that selects the policy.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Random(_) => "random",
            Self::LeastInFlight(_) => "least-in-flight",
            Self::TwoChoices(_) => "two-choices",
            Self::ExpectedCost(_) => "expected-cost",
            Self::Paced(_) => "paced",
        }
    }
}

impl Default for PolicyKind {
    fn default() -> Self {
        Self::ExpectedCost(ExpectedCost::default())
    }
}

impl ChoicePolicy for PolicyKind {
    fn choose(
        &self,
        candidates: &[UpstreamView],
        now: ClockTime,
        random: &mut RandomSource,
    ) -> Option<usize> {
        match self {
            Self::Random(policy) => policy.choose(candidates, now, random),
            Self::LeastInFlight(policy) => policy.choose(candidates, now, random),
            Self::TwoChoices(policy) => policy.choose(candidates, now, random),
            Self::ExpectedCost(policy) => policy.choose(candidates, now, random),
            Self::Paced(policy) => policy.choose(candidates, now, random),
        }
    }

    fn expected_slowdown(&self, view: &UpstreamView, now: ClockTime) -> f64 {
        match self {
            Self::Paced(policy) => policy.expected_slowdown(view, now),
            _ => 1.0,
        }
    }

    fn expected_cost_ms(&self, view: &UpstreamView, now: ClockTime) -> Option<f64> {
        match self {
            Self::Random(policy) => policy.expected_cost_ms(view, now),
            Self::LeastInFlight(policy) => policy.expected_cost_ms(view, now),
            Self::TwoChoices(policy) => policy.expected_cost_ms(view, now),
            Self::ExpectedCost(policy) => policy.expected_cost_ms(view, now),
            Self::Paced(policy) => policy.expected_cost_ms(view, now),
        }
    }
}

/// The error for an unknown policy name.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display(
    "unknown policy {name:?}: use random, least-in-flight, two-choices, expected-cost or paced"
))]
pub struct UnknownPolicy {
    /// The name that was given.
    pub name: String,
}

impl FromStr for PolicyKind {
    type Err = UnknownPolicy;

    fn from_str(name: &str) -> Result<Self, UnknownPolicy> {
        match name {
            "random" => Ok(Self::Random(RandomChoice)),
            "least-in-flight" => Ok(Self::LeastInFlight(LeastInFlight)),
            "two-choices" => Ok(Self::TwoChoices(TwoChoices)),
            "expected-cost" => Ok(Self::default()),
            "paced" => Ok(Self::Paced(PacedChoice::default())),
            _ => Err(UnknownPolicy { name: name.to_owned() }),
        }
    }
}

impl fmt::Display for PolicyKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}
