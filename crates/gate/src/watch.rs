//! Follows the states of upstreams for metrics and the log.

use std::sync::atomic::Ordering;

use base::prelude::*;
use route::prelude::*;

use crate::event;
use crate::metrics::UpstreamTally;
use crate::state::GateState;

/// The states that were seen last.
#[derive(Debug, Default)]
pub struct UpstreamWatch {
    known: NameMap<(bool, bool)>,
}

impl UpstreamWatch {
    /// Logs what changed and sets the gauges.
    pub fn update(&mut self, state: &GateState, now: ClockTime) {
        let mut tallies: NameMap<UpstreamTally> = NameMap::default();
        let mut seen = NameMap::default();
        for upstream in state.upstreams.states(now) {
            let tally = tallies.entry(upstream.service.clone()).or_default();
            tally.draining += i64::from(upstream.draining);
            tally.ejected += i64::from(upstream.ejected && !upstream.draining);
            tally.usable += i64::from(!upstream.ejected && !upstream.draining);
            self.log_change(&upstream);
            seen.insert(upstream.upstream, (upstream.ejected, upstream.draining));
        }
        self.known = seen;
        for link in state.links.all() {
            let tally = tallies.entry(link.server().service.clone()).or_default();
            tally.connections += i64::from(link.open());
        }
        for desk in state.tables.desks.all() {
            let waiting = desk.waiting.load(Ordering::Relaxed);
            let tally = tallies.get(&desk.name).copied().unwrap_or_default();
            desk.meters.set_gauges(waiting, tally);
        }
    }

    fn log_change(&self, upstream: &UpstreamState) {
        let name = &upstream.upstream;
        let (ejected, draining) = self.known.get(name).copied().unwrap_or_default();
        let service = &upstream.service;
        match (ejected, upstream.ejected) {
            (false, true) => tracing::warn!(
                event = event::UPSTREAM_EJECTED, %service, upstream = %name,
                failure_rate = upstream.failure_rate, "an upstream is ejected"
            ),
            (true, false) => tracing::info!(
                event = event::UPSTREAM_READMITTED, %service, upstream = %name,
                "an upstream is readmitted"
            ),
            _ => {}
        }
        match (draining, upstream.draining) {
            (false, true) => tracing::info!(
                event = event::DRAIN_SEEN, %service, upstream = %name, "an upstream is leaving"
            ),
            (true, false) => tracing::info!(
                event = event::DRAIN_ENDED, %service, upstream = %name,
                "an upstream takes calls again"
            ),
            _ => {}
        }
    }
}
