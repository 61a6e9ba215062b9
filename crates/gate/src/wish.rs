//! Applies what upstreams ask of their callers in answers: that they get no further requests
//! because they leave, or none for a while.
//!
//! A pause applies to this VM only. A final drain applies to all VMs: [`crate::drains`] passes it on
//! to the task that records it in the directory and sends it to the others.

use base::prelude::*;
use codec::prelude::*;
use directory::prelude::*;
use world::prelude::*;

use crate::event;
use crate::mechanism::Mechanism;
use crate::service::ServiceContext;
use crate::state::GateState;

/// How long nothing is sent to an upstream at whose address another server answers. The platform
/// removes an upstream after three heartbeats of 1.5 s without a sign of life.
const MOVED_PAUSE: ClockSpan = ClockSpan::from_secs(5);

/// Applies what `server` asked for in an answer that arrived `now`.
pub fn apply(
    state: &GateState,
    context: &ServiceContext,
    server: &UpstreamServer,
    wish: UpstreamWish,
    now: ClockTime,
) {
    let tuning = &state.options.tuning;
    if wish.final_drain && tuning.uses(Mechanism::FinalDrain) {
        record_final_drain(state, context, server);
    }
    if let Some(span) = wish.pause.filter(|_| tuning.uses(Mechanism::UpstreamPause)) {
        record_pause(state, context, server, span, now);
    }
}

/// Records that another server answers at the address of `server`. Nothing is sent there until the
/// platform has removed the upstream.
pub fn record_moved(
    state: &GateState,
    context: &ServiceContext,
    server: &UpstreamServer,
    now: ClockTime,
) {
    if state.upstreams.accepts_checks(&server.name, now) {
        tracing::info!(
            event = event::UPSTREAM_MOVED,
            service = %context.name,
            upstream = %server.name,
            "another server answers at the address of an upstream"
        );
    }
    state.upstreams.record_pause(&server.name, MOVED_PAUSE, now);
}

fn record_final_drain(state: &GateState, context: &ServiceContext, server: &UpstreamServer) {
    if !state.upstreams.record_final_drain(&server.name, server.incarnation) {
        return;
    }
    context.metrics.final_drains.inc();
    tracing::info!(
        event = event::UPSTREAM_LEAVES,
        service = %context.name,
        upstream = %server.name,
        "an upstream reported that it leaves"
    );
    let (upstream, incarnation) = (server.name.clone(), server.incarnation);
    state.drains.add(DrainMark { upstream, incarnation });
}

fn record_pause(
    state: &GateState,
    context: &ServiceContext,
    server: &UpstreamServer,
    span: ClockSpan,
    now: ClockTime,
) {
    let is_new = state.upstreams.accepts_checks(&server.name, now);
    state.upstreams.record_pause(&server.name, span, now);
    context.metrics.pauses.inc();
    if is_new {
        tracing::info!(
            event = event::UPSTREAM_PAUSED,
            service = %context.name,
            upstream = %server.name,
            pause_ms = span.as_millis(),
            "an upstream asked for a pause"
        );
    }
}
