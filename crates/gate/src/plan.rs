//! Matches a request to its service, its work rule and its deadline.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use base::prelude::*;
use codec::prelude::*;
use http::header::{HeaderMap, HeaderValue};
use http::request::Parts;
use http::{Method, StatusCode, Uri};
use trace::prelude::CallCause;
use world::prelude::*;

use crate::mechanism::Mechanism;
use crate::state::GateState;
use crate::worker;

/// A call that was matched to its service, by a route or a contract.
#[derive(Debug)]
pub struct PlannedCall {
    /// The properties of the call on which decisions depend.
    pub request: CallerRequest,
    /// The name of its route, or `None` if a contract covers it.
    pub route: Option<SharedName>,
    /// The digest of the key of the caller's account.
    pub account_key: Option<KeyDigest>,
    /// The account of the caller, if it has one.
    pub account: Option<Arc<ClientAccount>>,
    /// The version of the configuration.
    pub version: u64,
    /// The latency objective.
    pub objective: ClockSpan,
    /// The arrival of the call plus its latency objective.
    pub objective_deadline: ClockTime,
    /// The method.
    pub method: Method,
    /// The request target.
    pub uri: Uri,
    /// The caller's headers that are passed on to upstreams.
    pub headers: HeaderMap,
    /// The id of the call.
    pub id: HeaderValue,
}

/// Matches a request that arrived `now`.
///
/// # Errors
///
/// Returns the refusal if no service matches the request or its deadline has passed.
pub fn plan<C: CallCodec>(
    state: &GateState,
    parts: Parts,
    facts: &RequestFacts,
    id: &HeaderValue,
    now: ClockTime,
) -> Result<PlannedCall, CallRefusal> {
    if state.unconfigured.load(Ordering::Acquire) {
        let message = "the gateway has no configuration yet; repeat the request elsewhere";
        return Err(unavailable(state, message));
    }
    let environment = state.environment.load();
    let path = parts.uri.path();
    let random = worker::with_random(RandomSource::unit);
    let mut plan = environment.plan_call(&facts.host, parts.method.as_str(), path, random);
    if !state.options.tuning.uses(Mechanism::Split) {
        plan = plan.map(|plan| move_to_served_target(&environment, plan, &facts.host, path));
    }
    // Callers cannot use the path of health checks: the answer to such a call could be taken for
    // the answer to a health check.
    let plan = plan.filter(|plan| {
        let contract = environment.contract(&plan.service);
        contract.is_none_or(|contract| C::check_path(contract) != path)
    });
    let route = plan.as_ref().and_then(|plan| plan.route.clone());
    let verdict = environment.access.check_key(facts.account_key.as_ref(), route.as_deref());
    let account = match verdict {
        KeyVerdict::Unknown => return Err(unknown_key(state)),
        KeyVerdict::Account(account) => Some(account),
        KeyVerdict::NotNeeded | KeyVerdict::Public => None,
    };
    let Some(plan) = plan else { return Err(no_match(state, facts, &parts)) };
    check_regions(state, &environment, &plan, account.as_deref())?;
    let span = facts.deadline.map_or(plan.timeout, |own| own.min(plan.timeout));
    if span == ClockSpan::ZERO {
        let message = "the deadline has passed; allow more time";
        let refusal = CallRefusal::not_run(StatusCode::GATEWAY_TIMEOUT, message);
        return Err(refusal.with_cause(CallCause::Timeout));
    }
    let request = CallerRequest {
        service: plan.service,
        class: account.as_ref().and_then(|account| account.class).unwrap_or(plan.class),
        idempotent: plan.idempotent,
        deadline: now + span,
        attempt: 1,
        attempt_limit: plan.attempt_limit,
        depth: facts.depth,
        key: facts.key.clone(),
        // Known once the body has been received, see [`crate::suspect_check::identify`].
        fingerprint: 0,
    };
    let mut headers = parts.headers;
    C::clean_request(&mut headers);
    if environment.access.accounts.is_some() {
        C::set_account(&mut headers, account.as_ref().map(|account| account.name.as_str()));
    }
    let (method, uri, id) = (parts.method, parts.uri, id.clone());
    let (version, objective) = (environment.version, plan.objective);
    let objective_deadline = now + objective;
    Ok(PlannedCall {
        request,
        route,
        account_key: facts.account_key,
        account,
        version,
        objective,
        objective_deadline,
        method,
        uri,
        headers,
        id,
    })
}

/// Checks before a call is sent that its key is still known. A call may wait while a new version of
/// the configuration takes the key away.
///
/// # Errors
///
/// Returns the refusal if no account has the key any more.
pub fn recheck_key(state: &GateState, call: &PlannedCall) -> Result<(), CallRefusal> {
    let environment = state.environment.load();
    if environment.version == call.version || call.account.is_none() {
        return Ok(());
    }
    let key = call.account_key.as_ref();
    match environment.access.check_key(key, call.route.as_deref()) {
        KeyVerdict::Unknown => Err(unknown_key(state)),
        _ => Ok(()),
    }
}

/// Returns the refusal of a request without a known key. A VM that knows that its configuration is
/// outdated cannot conclude that no account has the key.
fn unknown_key(state: &GateState) -> CallRefusal {
    if state.config_outdated.load(Ordering::Acquire) {
        return unavailable(
            state,
            "the gateway waits for a newer configuration; repeat the request",
        );
    }
    let message = "no account has the key of the request; send a valid key";
    CallRefusal::not_run(StatusCode::UNAUTHORIZED, message).with_cause(CallCause::UnknownKey)
}

/// Checks that every upstream that could run a call is in a region that may run it.
///
/// # Errors
///
/// Returns the refusal if an upstream is in another region. The choice of an upstream knows no
/// regions, so that the call is refused rather than run in the wrong one.
fn check_regions(
    state: &GateState,
    environment: &EnvironmentMap,
    plan: &CallPlan,
    account: Option<&ClientAccount>,
) -> Result<(), CallRefusal> {
    let access = &environment.access;
    let route = plan.route.as_deref();
    let has_homes = account.is_some_and(|account| !account.homes.is_empty())
        || route.is_some_and(|route| access.route_homes.contains_key(route));
    if !has_homes {
        return Ok(());
    }
    let region = |centre: &SharedName| {
        let known = environment.centres.iter().find(|known| known.name == *centre);
        known.map_or("", |known| known.region.as_str())
    };
    let mut upstreams = environment.upstreams_of(&plan.service).iter();
    if upstreams.all(|server| access.allows_region(route, account, region(&server.centre))) {
        return Ok(());
    }
    let message = "an upstream of the service is in a region that may not run the call";
    Err(unavailable(state, message))
}

/// Moves a call to another target of its traffic split if the chosen target has no upstreams. Only
/// done in tests, which turn off [`Mechanism::Split`].
fn move_to_served_target(
    environment: &EnvironmentMap,
    plan: CallPlan,
    host: &str,
    path: &str,
) -> CallPlan {
    let has_upstreams = |service: &SharedName| !environment.upstreams_of(service).is_empty();
    let route = environment.routes.find(host, path);
    let mut services = route.iter().flat_map(|route| &route.targets).map(|target| &target.service);
    match services.find(|service| has_upstreams(service)) {
        Some(other) if !has_upstreams(&plan.service) => CallPlan { service: other.clone(), ..plan },
        _ => plan,
    }
}

/// Returns the refusal of a request that no service matches. A VM that knows that its configuration
/// is outdated cannot conclude that the route does not exist.
fn no_match(state: &GateState, facts: &RequestFacts, parts: &Parts) -> CallRefusal {
    if state.config_outdated.load(Ordering::Acquire) {
        return unavailable(
            state,
            "the gateway waits for a newer configuration; repeat the request",
        );
    }
    let (host, method, path) = (&facts.host, &parts.method, parts.uri.path());
    let message = format!("no service takes {method} {path:?} for host {host:?}");
    CallRefusal::not_run(StatusCode::NOT_FOUND, message).with_cause(CallCause::NoRoute)
}

/// Returns the refusal of a call that this VM cannot match with its present configuration.
fn unavailable(state: &GateState, message: &str) -> CallRefusal {
    let refusal = CallRefusal::not_run(StatusCode::SERVICE_UNAVAILABLE, message);
    let refusal = refusal.with_cause(CallCause::NoConfiguration);
    refusal.retry_after(state.options.tuning.retry_after)
}
