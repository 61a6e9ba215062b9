//! Requests of the gateway's own to upstreams.
//!
//! A probe asks an upstream for its load and is paid from the probe budget. A health check is such a
//! request before a call, which also verifies its connection.

use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use codec::prelude::*;
use http::header::HeaderMap;
use http::{Method, Request, StatusCode, Uri, header};
use http_body_util::{BodyExt, Limited};

use crate::body::SendBody;
use crate::crash;
use crate::link::{ConnectUse, LinkConnection, LinkError, UpstreamLink};
use crate::options::ProbeCharge;
use crate::service::ServiceContext;
use crate::state::GateState;
use crate::wish;

/// Slot time that a probe is charged in advance. A probe that takes longer is charged the rest
/// afterwards.
pub const PROBE_COST: ClockSpan = ClockSpan::from_millis(1);
/// The longest time for a probe or health check. Also the most slot time that one is charged.
pub const PROBE_TIMEOUT: ClockSpan = ClockSpan::from_millis(100);
/// The longest body of an answer to a request of the gateway's own, in bytes.
const MAX_CHECK_BYTES: usize = 4 * 1024;
/// Headers of a health check: its id, its host and its upstream.
const CHECK_HEADERS: usize = 3;

/// The answer to a request of the gateway's own.
#[derive(Debug)]
pub struct CheckAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The connection on which the answer was read to its end.
    pub connection: LinkConnection,
}

/// How a health check ended.
#[derive(Debug)]
pub enum CheckOutcome {
    /// The upstream answered, on this connection.
    Answered(LinkConnection),
    /// Another server answered at the upstream's address.
    Misdirected,
    /// The upstream does not accept connections.
    Refused,
    /// There was no answer in time on a new connection.
    NoAnswer,
    /// There was no answer in time on a connection that was opened before, which may be the fault
    /// of the connection; or there was an answer that does not belong to the health check.
    Unverified,
    /// No check was made, because this VM's share of connections or the probe budget is used up, or
    /// the upstream wants no requests.
    Skipped,
}

/// Sends a request of the gateway's own, without a body, that names its upstream, and reads the answer. Returns `None` if
/// there is no complete answer within `timeout` or its body is too long.
pub async fn send_request<C: CallCodec>(
    mut connection: LinkConnection,
    method: Method,
    target: Uri,
    headers: HeaderMap,
    timeout: ClockSpan,
) -> Option<CheckAnswer> {
    let mut request = Request::new(SendBody::Empty);
    *request.method_mut() = method;
    *request.uri_mut() = target;
    *request.headers_mut() = headers;
    request.headers_mut().insert(header::HOST, connection.link().host().clone());
    C::set_upstream(request.headers_mut(), &connection.link().server().name);
    let exchange = async {
        let response = connection.send(request).await.ok()?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_CHECK_BYTES).collect().await.ok()?.to_bytes();
        Some((parts, body))
    };
    let (parts, body) = tokio::time::timeout(timeout.to_duration(), exchange).await.ok()??;
    Some(CheckAnswer { status: parts.status, headers: parts.headers, body, connection })
}

/// Sends a health check and reads the answer. Returns `None` if there is no complete answer in
/// time.
async fn send_check<C: CallCodec>(
    state: &GateState,
    context: &ServiceContext,
    connection: LinkConnection,
    timeout: ClockSpan,
) -> Option<(CheckAnswer, CheckFacts)> {
    let upstream = connection.link().server().name.clone();
    let target = check_target::<C>(state, &context.name)?;
    let id = state.check_ids.next();
    let mut headers = HeaderMap::with_capacity(CHECK_HEADERS);
    C::set_check_headers(&mut headers, &id);
    let mut answer = send_request::<C>(connection, Method::GET, target, headers, timeout).await?;
    let facts = C::read_check(answer.status, &mut answer.headers, &answer.body, &upstream, &id);
    Some((answer, facts))
}

/// Opens a new connection to an upstream and checks that it answers. Returns when it was opened.
///
/// Returns `None` if the budget does not allow the check, no connection can be opened or the
/// upstream does not answer.
pub async fn check_new_connection<C: CallCodec>(
    state: &GateState,
    context: &ServiceContext,
    link: &Arc<UpstreamLink>,
) -> Option<ClockTime> {
    let started = state.clock.now();
    if !state.upstreams.accepts_checks(&link.server().name, started)
        || !state.tables.probes.allow(&context.name, PROBE_COST, started)
    {
        return None;
    }
    let connection = connect(state, link, PROBE_TIMEOUT).await.ok();
    let opened = connection.as_ref().map(LinkConnection::opened);
    let answer = match connection {
        Some(connection) => send_check::<C>(state, context, connection, PROBE_TIMEOUT).await,
        None => None,
    };
    charge_rest(state, context, started);
    let (answer, facts) = answer.filter(|(_, facts)| !facts.foreign)?;
    if facts.misdirected {
        wish::record_moved(state, context, link.server(), state.clock.now());
        return None;
    }
    wish::apply(state, context, link.server(), facts.wish, state.clock.now());
    release(state, answer.connection);
    opened
}

/// Asks an upstream for its load, if the budget allows it, records the reported load and releases
/// the connection.
pub async fn probe<C: CallCodec>(
    state: &GateState,
    context: &ServiceContext,
    link: &Arc<UpstreamLink>,
) {
    if let CheckOutcome::Answered(connection) =
        check::<C>(state, context, link, PROBE_TIMEOUT).await
    {
        release(state, connection);
    }
}

/// Sends a health check, which also asks for the load, if the budget allows it. Records the
/// reported load and returns how the check ended, with the connection if the upstream answered.
pub async fn check<C: CallCodec>(
    state: &GateState,
    context: &ServiceContext,
    link: &Arc<UpstreamLink>,
    timeout: ClockSpan,
) -> CheckOutcome {
    let started = state.clock.now();
    if !state.upstreams.accepts_checks(&link.server().name, started)
        || !state.tables.probes.allow(&context.name, PROBE_COST, started)
    {
        return CheckOutcome::Skipped;
    }
    let outcome = check_once::<C>(state, context, link, timeout).await;
    charge_rest(state, context, started);
    outcome
}

async fn check_once<C: CallCodec>(
    state: &GateState,
    context: &ServiceContext,
    link: &Arc<UpstreamLink>,
    timeout: ClockSpan,
) -> CheckOutcome {
    let name = &link.server().name;
    // The answer verifies the connection, so any idle one can be used.
    let connection = match link.take_idle(ClockTime::ZERO, None) {
        Some(connection) => connection,
        None => match connect(state, link, timeout).await {
            Ok(connection) => connection,
            Err(LinkError::ShareExhausted { .. }) => return CheckOutcome::Skipped,
            Err(LinkError::ConnectTimeout { .. }) => return CheckOutcome::NoAnswer,
            Err(error) => {
                crash::record_connect_failure(state, name, &error);
                return CheckOutcome::Refused;
            }
        },
    };
    let reused = connection.is_pooled();
    let Some((mut answer, facts)) = send_check::<C>(state, context, connection, timeout).await
    else {
        return if reused { CheckOutcome::Unverified } else { CheckOutcome::NoAnswer };
    };
    if facts.foreign {
        return CheckOutcome::Unverified;
    }
    if facts.misdirected {
        wish::record_moved(state, context, link.server(), state.clock.now());
        return CheckOutcome::Misdirected;
    }
    let now = state.clock.now();
    if let Some(load) = facts.load {
        state.upstreams.observe(name, load, now);
    }
    if let Some(rest) = facts.warm_up {
        state.upstreams.record_warm_up(name, rest, now);
    }
    wish::apply(state, context, link.server(), facts.wish, now);
    answer.connection.record_check(now);
    CheckOutcome::Answered(answer.connection)
}

/// Gives a connection back to its link once it can take another request.
pub fn release(state: &GateState, connection: LinkConnection) {
    tokio::spawn(connection.release_after_check(state.clock.now()));
}

fn check_target<C: CallCodec>(state: &GateState, service: &str) -> Option<Uri> {
    let environment = state.environment.load();
    Uri::try_from(C::check_path(environment.contract(service)?)).ok()
}

async fn connect(
    state: &GateState,
    link: &Arc<UpstreamLink>,
    timeout: ClockSpan,
) -> Result<LinkConnection, LinkError> {
    let timeout = state.timeouts.load().connect.min(timeout);
    match link.connect(ConnectUse::Check, timeout, state.clock).await {
        Err(LinkError::ShareExhausted { .. }) if link.close_idle() => {
            link.connect(ConnectUse::Check, timeout, state.clock).await
        }
        result => result,
    }
}

/// Charges the time that a probe took beyond [`PROBE_COST`], and counts the probe.
fn charge_rest(state: &GateState, context: &ServiceContext, started: ClockTime) {
    let now = state.clock.now();
    let excess = now.since(started).min(PROBE_TIMEOUT).saturating_sub(PROBE_COST);
    if state.options.tuning.probe_charge == ProbeCharge::SlotTime {
        state.tables.probes.charge_excess(&context.name, excess, now);
    }
    context.metrics.count_probe(PROBE_COST + excess);
}
