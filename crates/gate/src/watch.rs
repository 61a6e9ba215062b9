//! Tracks the states of upstreams for metrics and the log.

use std::sync::atomic::Ordering;

use base::prelude::*;
use route::prelude::*;

use crate::event;
use crate::metrics::StateCounts;
use crate::state::GateState;

/// The states of the upstreams at the last update, with which the next one is compared.
#[derive(Debug, Default)]
pub struct UpstreamWatch {
    /// Whether each upstream was ejected and draining.
    previous: NameMap<(bool, bool)>,
}

impl UpstreamWatch {
    /// Logs changes of state and sets the gauges.
    pub fn update(&mut self, state: &GateState, now: ClockTime) {
        let mut counts_by_service: NameMap<StateCounts> = NameMap::default();
        let mut seen = NameMap::default();
        for upstream in state.upstreams.states(now) {
            let counts = counts_by_service.entry(upstream.service.clone()).or_default();
            counts.draining += i64::from(upstream.draining);
            counts.ejected += i64::from(upstream.ejected && !upstream.draining);
            counts.usable += i64::from(!upstream.ejected && !upstream.draining);
            self.log_change(&upstream);
            seen.insert(upstream.upstream, (upstream.ejected, upstream.draining));
        }
        self.previous = seen;
        for link in state.links.all() {
            let counts = counts_by_service.entry(link.server().service.clone()).or_default();
            counts.connections += i64::from(link.open());
        }
        for context in state.tables.services.all() {
            let waiting = context.waiting.load(Ordering::Relaxed);
            let counts = counts_by_service.get(&context.name).copied().unwrap_or_default();
            context.metrics.set_gauges(waiting, counts);
        }
    }

    fn log_change(&self, upstream: &UpstreamState) {
        let name = &upstream.upstream;
        let (ejected, draining) = self.previous.get(name).copied().unwrap_or_default();
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
                event = event::UPSTREAM_DRAINING, %service, upstream = %name,
                "an upstream is draining"
            ),
            (true, false) => tracing::info!(
                event = event::UPSTREAM_DRAIN_ENDED, %service, upstream = %name,
                "an upstream takes calls again"
            ),
            _ => {}
        }
    }
}
