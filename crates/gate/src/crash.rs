//! Detection of crashed upstreams, from lost connections and refused connects.

use std::io;

use base::prelude::*;
use suspect::prelude::*;

use crate::event;
use crate::link::{ConnectUse, LinkError};
use crate::state::GateState;

/// The number of connects after a lost connection. A lost connection and two refused connects are
/// evidence of a crash.
const CONNECTS_AFTER_LOSS: u32 = 2;
/// The longest time for one of these connects.
const CONNECT_TIMEOUT: ClockSpan = ClockSpan::from_millis(50);

/// Records a failed connect as evidence of a crash if it was refused.
pub fn record_connect_failure(state: &GateState, upstream: &SharedName, error: &LinkError) {
    let LinkError::Connect { source, .. } = error else { return };
    if source.kind() == io::ErrorKind::ConnectionRefused {
        let notices = state.tables.suspects.record_refusal(upstream, state.clock.now());
        publish_notices(state, upstream, notices);
    }
}

/// Tests, after a connection was lost, whether the upstream still accepts connections, so that a
/// crash is known before the request that caused it is sent again.
pub async fn test_connects_after_loss(state: &GateState, upstream: &SharedName) {
    let Some(link) = state.links.link(upstream) else { return };
    for _ in 0..CONNECTS_AFTER_LOSS {
        match link.connect(ConnectUse::Check, CONNECT_TIMEOUT, state.clock).await {
            Ok(connection) => {
                connection.into_idle();
                return;
            }
            Err(error) => record_connect_failure(state, upstream, &error),
        }
    }
}

/// Logs a crash and queues the notices of its suspects for the other VMs. Does nothing without
/// notices, which the suspect table returns only for a crash.
fn publish_notices(state: &GateState, upstream: &SharedName, notices: Vec<SuspectNotice>) {
    if notices.is_empty() {
        return;
    }
    tracing::warn!(
        event = event::UPSTREAM_CRASHED,
        %upstream,
        in_flight = notices.len(),
        "an upstream crashed"
    );
    let now = state.clock.now();
    for entry in state.tables.suspects.list(now) {
        let own = notices.iter().any(|notice| notice.fingerprint == entry.fingerprint);
        if own && entry.standing == SuspectStatus::Confirmed {
            tracing::error!(
                event = event::SUSPECT_CONFIRMED,
                fingerprint = format_args!("{:016x}", entry.fingerprint),
                "a request crashed several upstreams and is refused from now on"
            );
        }
    }
    state.tables.add_crash_notices(notices);
}
