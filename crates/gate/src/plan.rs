//! Matches a request to its service, its work rule and its deadline.

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
    let Some(plan) = plan else { return Err(no_match(state, facts, &parts)) };
    let span = facts.deadline.map_or(plan.timeout, |own| own.min(plan.timeout));
    if span == ClockSpan::ZERO {
        let message = "the deadline has passed; allow more time";
        let refusal = CallRefusal::not_run(StatusCode::GATEWAY_TIMEOUT, message);
        return Err(refusal.with_cause(CallCause::Timeout));
    }
    let request = CallerRequest {
        service: plan.service,
        class: plan.class,
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
    let (method, uri, id) = (parts.method, parts.uri, id.clone());
    let (version, objective) = (environment.version, plan.objective);
    let objective_deadline = now + objective;
    Ok(PlannedCall { request, version, objective, objective_deadline, method, uri, headers, id })
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
