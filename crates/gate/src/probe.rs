//! Requests of the gateway's own to upstreams: probes and connection checks.

use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use http::header;
use http::{HeaderValue, Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Limited};
use route::prelude::*;
use serde::Deserialize;

use crate::crash;
use crate::desk::ServiceDesk;
use crate::head::{self, AnswerMarks};
use crate::link::{ConnectUse, LinkConnection, LinkError, UpstreamLink};
use crate::relay::RelayBody;
use crate::state::GateState;

/// Slot time that a probe is charged in advance. A probe that takes longer is charged the rest
/// afterwards.
pub const PROBE_COST: ClockSpan = ClockSpan::from_millis(1);
/// The longest time for a probe or check. Also the most that one can be charged.
pub const PROBE_TIMEOUT: ClockSpan = ClockSpan::from_millis(100);
/// The longest body of an answer to a probe or cancellation.
const MAX_CHECK_BYTES: usize = 4 * 1024;

/// The path of the load endpoint.
const LOAD_PATH: &str = "/agateroad/load";
/// The path of the health endpoint.
const HEALTH_PATH: &str = "/agateroad/health";

/// The answer to a request of the gateway's own.
#[derive(Debug)]
pub struct CheckAnswer {
    /// The status.
    pub status: StatusCode,
    /// What the head said of the upstream.
    pub marks: AnswerMarks,
    /// The body.
    pub body: Bytes,
}

/// The body of an answer of the load endpoint.
#[derive(Debug)]
#[derive(Deserialize)]
struct LoadBody {
    in_flight: u32,
    slots: u32,
    queued: u32,
    draining: bool,
}

/// Sends a request of the gateway's own and reads the answer. Returns `None` if there is no
/// complete answer in time.
pub async fn ask(
    state: &GateState,
    mut connection: LinkConnection,
    method: Method,
    path: &str,
    timeout: ClockSpan,
) -> Option<CheckAnswer> {
    let mut request = Request::new(RelayBody::Empty);
    *request.method_mut() = method;
    *request.uri_mut() = Uri::try_from(path).ok()?;
    let host = connection.link().server().address.to_string();
    request.headers_mut().insert(header::HOST, HeaderValue::try_from(host).ok()?);
    let exchange = async {
        let response = connection.send(request).await.ok()?;
        let (mut parts, body) = response.into_parts();
        let marks = head::clean_answer(&mut parts.headers);
        let body = Limited::new(body, MAX_CHECK_BYTES).collect().await.ok()?.to_bytes();
        Some(CheckAnswer { status: parts.status, marks, body })
    };
    let answer = tokio::time::timeout(timeout.to_duration(), exchange).await.ok()??;
    tokio::spawn(connection.put_back_after_check(state.clock.now()));
    Some(answer)
}

/// Opens a new connection to an upstream and checks that it answers. Returns when it was opened.
///
/// Returns `None` if the budget does not allow the check or there is no answer.
pub async fn check_fresh(
    state: &GateState,
    desk: &ServiceDesk,
    link: &Arc<UpstreamLink>,
) -> Option<ClockTime> {
    let started = state.clock.now();
    if !state.tables.probes.allow(&desk.name, PROBE_COST, started) {
        return None;
    }
    let connection = connect(state, link).await.ok();
    let opened = connection.as_ref().map(LinkConnection::opened);
    let answer = match connection {
        Some(connection) => ask(state, connection, Method::GET, HEALTH_PATH, PROBE_TIMEOUT).await,
        None => None,
    };
    settle(state, desk, started);
    answer.and(opened)
}

/// Asks an upstream for its load, if the budget allows it.
pub async fn probe(state: &GateState, desk: &ServiceDesk, link: &Arc<UpstreamLink>) {
    let started = state.clock.now();
    if !state.tables.probes.allow(&desk.name, PROBE_COST, started) {
        return;
    }
    let idle = link.take_idle(started - state.options.timeouts.connection_proof);
    let connection = match idle {
        Some(connection) => Ok(connection),
        None => connect(state, link).await,
    };
    match connection {
        Ok(connection) => {
            let answer = ask(state, connection, Method::GET, LOAD_PATH, PROBE_TIMEOUT).await;
            if let Some(answer) = answer {
                observe(state, link, &answer);
            }
        }
        Err(error) => crash::note_connect_failure(state, &link.server().name, &error),
    }
    settle(state, desk, started);
}

async fn connect(state: &GateState, link: &Arc<UpstreamLink>) -> Result<LinkConnection, LinkError> {
    let timeout = state.options.timeouts.connect.min(PROBE_TIMEOUT);
    match link.connect(ConnectUse::Check, timeout, state.clock).await {
        Err(LinkError::ShareUsed { .. }) if link.close_idle() => {
            link.connect(ConnectUse::Check, timeout, state.clock).await
        }
        result => result,
    }
}

/// Charges what a probe took beyond its cost, and counts it.
fn settle(state: &GateState, desk: &ServiceDesk, started: ClockTime) {
    let now = state.clock.now();
    let excess = now.since(started).min(PROBE_TIMEOUT).saturating_sub(PROBE_COST);
    state.tables.probes.charge_excess(&desk.name, excess, now);
    desk.meters.count_probe(PROBE_COST + excess);
}

fn observe(state: &GateState, link: &UpstreamLink, answer: &CheckAnswer) {
    let body = match answer.status {
        StatusCode::OK => serde_json::from_slice::<LoadBody>(&answer.body).ok(),
        _ => None,
    };
    let marked = answer.marks.load.is_some_and(|load| load.draining);
    let load = match (body, answer.marks.load) {
        (Some(body), _) => LoadReport {
            in_flight: body.in_flight,
            slots: body.slots,
            queued: body.queued,
            pace_percent: None,
            draining: body.draining || marked,
            age: ClockSpan::ZERO,
            source: ReportSource::Probe,
        },
        (None, Some(load)) => LoadReport { source: ReportSource::Probe, ..load },
        (None, None) => return,
    };
    state.upstreams.observe(&link.server().name, load, state.clock.now());
}
