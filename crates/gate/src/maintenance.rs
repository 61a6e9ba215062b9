//! Periodic background tasks of the request path. They run on the first worker.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use base::prelude::*;
use codec::prelude::*;
use report::prelude::*;
use world::prelude::*;

use crate::link::UpstreamLink;
use crate::state::GateState;
use crate::watch::UpstreamWatch;
use crate::{probe, slot};

/// The time between two passes over the waiting calls while there are any.
const QUEUE_PERIOD: ClockSpan = ClockSpan::from_millis(2);
/// The time between two passes over the connections to upstreams.
const LINK_PERIOD: ClockSpan = ClockSpan::from_secs(1);
/// The time between two passes over the states of the upstreams.
const WATCH_PERIOD: ClockSpan = ClockSpan::from_millis(500);
/// The time between two evaluations of the service-level objectives.
const BURN_PERIOD: ClockSpan = ClockSpan::from_secs(1);
/// The time between two rounds of probes.
const PROBE_PERIOD: ClockSpan = ClockSpan::from_millis(200);
/// The most probes in a round. Ten a second of about 500 bytes each are 5 KB/s, half of the limit
/// for a VM's control traffic.
const PROBES_PER_ROUND: usize = 2;

/// Runs the background tasks until the future is dropped.
pub async fn run<C: CallCodec>(state: Arc<GateState>) {
    let state = &state;
    tokio::select! {
        () = serve_queue(state) => {}
        () = maintain_links(state) => {}
        () = watch_upstreams(state) => {}
        () = probe_upstreams::<C>(state) => {}
        () = watch_objectives(state) => {}
    }
}

/// Notifies dropped waiters and grants free slots to waiting calls.
async fn serve_queue(state: &Arc<GateState>) {
    let waiters = &state.tables.waiters;
    loop {
        waiters.wait_nonempty().await;
        tokio::time::sleep(QUEUE_PERIOD.to_duration()).await;
        waiters.notify_dropped(state.clock.now());
        for context in state.tables.services.all() {
            if context.waiting.load(Ordering::Relaxed) > 0 {
                slot::serve_waiters(state, &context);
            }
        }
    }
}

/// Closes connections that were unused for the idle timeout, and keeps one open connection to each
/// upstream unless health checks precede calls (precheck).
async fn maintain_links(state: &GateState) {
    loop {
        let timeouts = state.timeouts.load_full();
        let unused_since = state.clock.now() - timeouts.connection_idle;
        for link in state.links.all() {
            link.close_unused(unused_since);
            // Further connections are opened by the workers, which can then use them without a
            // switch between threads. Health checks before calls open connections when they need
            // them: 98 VMs that kept one open to each of 174 upstreams opened 75,033 connections in
            // 20 s.
            let wanted = state.upstreams.accepts_checks(&link.server().name, state.clock.now());
            if wanted && link.open() == 0 && !state.options.tuning.precheck {
                link.open_spare(timeouts.connect, state.clock);
            }
        }
        tokio::time::sleep(LINK_PERIOD.to_duration()).await;
    }
}

/// Evaluates the burn rates of the service-level objectives and logs alerts.
async fn watch_objectives(state: &GateState) {
    loop {
        tokio::time::sleep(BURN_PERIOD.to_duration()).await;
        for alert in state.tables.burn.evaluate(state.clock.now()) {
            log_alert(&alert);
        }
    }
}

fn log_alert(alert: &BurnAlert) {
    let BurnAlert { service, class, kind, rule, change, burn, bad, total } = alert;
    let class = class.map_or("all", WorkClass::as_str);
    let event = alert.event_number();
    match change {
        AlertChange::Raised if !rule.is_urgent() => {
            tracing::warn!(event, %service, class, ?kind, ?rule, burn, bad, total, "alert raised");
        }
        AlertChange::Raised => {
            tracing::error!(event, %service, class, ?kind, ?rule, burn, bad, total, "alert raised");
        }
        AlertChange::Cleared => {
            tracing::info!(event, %service, class, ?kind, ?rule, burn, "alert cleared");
        }
    }
}

/// Logs changes in the states of upstreams and sets their gauges.
async fn watch_upstreams(state: &GateState) {
    let mut watch = UpstreamWatch::default();
    loop {
        watch.update(state, state.clock.now());
        tokio::time::sleep(WATCH_PERIOD.to_duration()).await;
    }
}

/// Probes the upstreams whose last contact is the oldest.
async fn probe_upstreams<C: CallCodec>(state: &GateState) {
    let Some(probe_after) = state.options.tuning.probe_after else {
        return std::future::pending().await;
    };
    let mut probed: HashMap<SharedName, ClockTime> = HashMap::new();
    loop {
        tokio::time::sleep(PROBE_PERIOD.to_duration()).await;
        let now = state.clock.now();
        let links = state.links.all();
        probed.retain(|name, _| links.iter().any(|link| link.server().name == *name));
        let mut due: Vec<(ClockTime, &Arc<UpstreamLink>)> = links
            .iter()
            .map(|link| {
                let probed = probed.get(&link.server().name).copied().unwrap_or_default();
                (link.last_contact().max(probed), link)
            })
            .filter(|(last, _)| now.since(*last) > probe_after)
            .collect();
        due.sort_unstable_by_key(|(last, _)| *last);
        for (_, link) in due.into_iter().take(PROBES_PER_ROUND) {
            let Some(context) = state.tables.services.get(&link.server().service) else { continue };
            probe::probe::<C>(state, &context, link).await;
            probed.insert(link.server().name.clone(), now);
        }
    }
}
