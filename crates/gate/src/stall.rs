//! Detects calls that were lost at their upstream: some upstreams never answer a request that they
//! cannot queue. `limit::stall` decides; this module gathers what the decision needs.

use std::sync::Arc;

use base::prelude::*;
use codec::prelude::*;
use limit::prelude::*;
use route::prelude::*;
use world::prelude::*;

use crate::link::UpstreamLink;
use crate::probe::{self, PROBE_TIMEOUT};
use crate::service::ServiceContext;
use crate::state::GateState;

/// Watches a call that may run twice and waits for its answer.
pub struct StallWatch {
    link: Arc<UpstreamLink>,
    sent: ClockTime,
    typical: ClockSpan,
    slowdown: f64,
    next: ClockTime,
}

impl StallWatch {
    /// Returns a watch of a call that was sent at `sent`, or `None` while the usual latency of such
    /// calls is unknown. `slowdown` is the expected latency divided by the usual one.
    pub fn start(
        state: &GateState,
        link: &Arc<UpstreamLink>,
        request: &CallerRequest,
        slowdown: Option<f64>,
        sent: ClockTime,
    ) -> Option<Self> {
        let typical = state.tables.admission.typical(&request.service, request.class, sent)?;
        let mut watch = Self {
            link: Arc::clone(link),
            sent,
            typical,
            slowdown: slowdown.filter(|slowdown| slowdown.is_finite()).unwrap_or(1.0),
            next: sent,
        };
        let unknown = LoadStatus { pace: None, full: false };
        if let StallDecision::Wait(span) = watch.decide(unknown, sent) {
            watch.next = sent + span;
        }
        Some(watch)
    }

    /// Returns the time of the next check.
    pub const fn next(&self) -> ClockTime {
        self.next
    }

    fn decide(&self, status: LoadStatus, now: ClockTime) -> StallDecision {
        let Self { typical, slowdown, .. } = *self;
        let LoadStatus { pace, full } = status;
        let facts = StallFacts { typical, slowdown, pace, full, waited: now.since(self.sent) };
        StallTuning::default().decide(&facts)
    }

    /// Asks the upstream for its present load and pace, and decides whether the call was lost. Sets the
    /// time of the next check if it was not.
    pub async fn check<C: CallCodec>(
        &mut self,
        state: &GateState,
        context: &ServiceContext,
    ) -> bool {
        probe::probe::<C>(state, context, &self.link).await;
        let now = state.clock.now();
        let status = state.upstreams.load_status(&self.link.server().name);
        match self.decide(status.unwrap_or(LoadStatus { pace: None, full: false }), now) {
            StallDecision::Wait(span) => {
                self.next = now + span;
                false
            }
            StallDecision::Lost => true,
        }
    }

    /// Sets the time of the next check of a call that was lost but cannot be replaced now. About the
    /// time of a call later, the budget may have room and another upstream a free slot.
    pub fn postpone(&mut self, now: ClockTime) {
        self.next = now + self.typical.max(PROBE_TIMEOUT);
    }
}
