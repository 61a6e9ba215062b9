//! Decides when a call that gets no answer was lost at its upstream.
//!
//! Some upstreams never answer a request that they cannot queue, and keep its connection open. The
//! time since the request was sent tells this apart from a slow request, if it is compared with the
//! usual latency and with how slow the upstream is at the moment. While all slots of the upstream are
//! taken, the request may as well wait there, and a second copy would add to the overload.

use base::prelude::*;

/// Parameters of the decision.
#[derive(Clone, Copy, Debug)]
pub struct StallTuning {
    /// A call without an answer for this multiple of its expected latency is lost.
    pub factor: f64,
    /// The shortest time without an answer after which a call is lost. Scheduling on a small VM
    /// takes up to a tenth of a second.
    pub floor: ClockSpan,
}

impl Default for StallTuning {
    fn default() -> Self {
        // The work of a service varies by a third, so that a call takes four times the usual time
        // far less often than one in 1,000.
        Self { factor: 4.0, floor: ClockSpan::from_millis(250) }
    }
}

/// What is known about a call without an answer.
#[derive(Clone, Copy, Debug)]
pub struct StallFacts {
    /// The typical latency of such calls.
    pub typical: ClockSpan,
    /// The expected latency when the call was sent, divided by the typical one.
    pub slowdown: f64,
    /// The present service time at the upstream, divided by the usual one, if it is known.
    pub pace: Option<f64>,
    /// Whether the upstream reports that all its slots are taken.
    pub full: bool,
    /// The time since the call was sent.
    pub waited: ClockSpan,
}

/// Decision about a call without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StallDecision {
    /// It may only be slow: decide again after this time.
    Wait(ClockSpan),
    /// It was lost at the upstream.
    Lost,
}

impl StallTuning {
    /// Decides whether a call without an answer was lost.
    pub fn decide(&self, facts: &StallFacts) -> StallDecision {
        let slowdown = facts.slowdown.max(facts.pace.unwrap_or(1.0)).max(1.0);
        let limit = facts.typical.scaled(self.factor * slowdown).max(self.floor);
        match limit.saturating_sub(facts.waited) {
            ClockSpan::ZERO if facts.full => StallDecision::Wait(facts.typical.max(self.floor)),
            ClockSpan::ZERO => StallDecision::Lost,
            rest => StallDecision::Wait(rest),
        }
    }
}
