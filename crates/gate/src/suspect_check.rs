//! The check of a request against the table of suspects, before its first attempt.
//!
//! A suspect is a request during which upstreams crashed. It is refused, or gets an isolated run,
//! of which there is only one at a time, so that a crash shows which request causes it.

use std::pin::pin;
use std::sync::Arc;

use base::prelude::*;
use codec::prelude::*;
use http::StatusCode;
use suspect::fingerprint::is_partial;
use suspect::prelude::*;
use tokio::sync::SemaphorePermit;
use tokio::time::timeout_at;
use trace::prelude::CallCause;
use world::prelude::*;

use crate::answer::CallResponse;
use crate::body::{BodyError, CallBody};
use crate::call_trace::TracedCall;
use crate::plan::PlannedCall;
use crate::progress::CallProgress;
use crate::sequence::AttemptSequence;
use crate::service::ServiceContext;
use crate::state::GateState;
use crate::{fingerprint, stop_check};

/// Time after which the caller of a refused suspect may retry. By then another isolated run may be
/// possible.
const SUSPECT_RETRY_AFTER: ClockSpan = ClockSpan::from_secs(1);

/// Cancels a reserved isolated run when it is dropped, if the run did not start.
struct IsolationGuard<'a> {
    state: &'a GateState,
    fingerprint: u64,
}

impl Drop for IsolationGuard<'_> {
    fn drop(&mut self) {
        self.state.tables.suspects.cancel_isolation(self.fingerprint, self.state.clock.now());
    }
}

/// Computes the fingerprint of a call whose body has been received. If upstreams crashed during
/// requests with the same head and a long body, the body is read to its end, so that only the same
/// content counts as the same request.
///
/// # Errors
///
/// Fails if the rest of the body does not arrive, or if it is too long to be read.
pub async fn identify<'a>(
    state: &'a GateState,
    context: &ServiceContext,
    call: &mut PlannedCall,
    traced: &mut TracedCall,
    facts: &RequestFacts,
    mut body: CallBody,
) -> Result<(CallBody, Option<SemaphorePermit<'a>>), CallRefusal> {
    let mut fingerprint = fingerprint::of_call(state, call, facts, &body);
    let mut permit = None;
    let suspects = &state.tables.suspects;
    if is_partial(fingerprint) && suspects.is_suspect(fingerprint, state.clock.now()) {
        let Some((limit_bytes, reserved)) = state.suspect_bodies.reserve(facts.body) else {
            return Err(refuse(context).closing());
        };
        let deadline = state.clock.to_instant(call.request.deadline).into();
        let reading = timeout_at(deadline, body.read_to_end(limit_bytes)).await;
        let read = reading.unwrap_or(Err(BodyError::TooSlow)).map_err(BodyError::into_refusal)?;
        body = read.ok_or_else(|| refuse(context).closing())?;
        permit = Some(reserved);
        fingerprint = fingerprint::of_call(state, call, facts, &body);
    }
    call.request.fingerprint = fingerprint;
    traced.record_fingerprint(fingerprint);
    Ok((body, permit))
}

/// Counts and returns the refusal of a suspect.
fn refuse(context: &ServiceContext) -> CallRefusal {
    context.metrics.count_suspect();
    let message = "upstreams crashed while they ran this request; repeat it later, or have an \
                   operator release it";
    // An unrelated request is cleared after a while, so the status must not say that a retry is
    // useless.
    let refusal = CallRefusal::not_run(StatusCode::SERVICE_UNAVAILABLE, message);
    refusal.with_cause(CallCause::Suspect).retry_after(SUSPECT_RETRY_AFTER)
}

/// Decides whether a request may run. If it is a suspect, its owner VM is asked for an isolated
/// run.
async fn check(state: &GateState, fingerprint: u64) -> SuspectDecision {
    let suspects = &state.tables.suspects;
    let now = state.clock.now();
    let decision = suspects.check(fingerprint, now);
    match state.grants.get() {
        Some(grants) if decision == SuspectDecision::Refuse => {
            if grants.ask(suspects, fingerprint, now).await {
                return suspects.check(fingerprint, state.clock.now());
            }
            decision
        }
        _ => decision,
    }
}

/// Runs a call unless its request is suspected of crashing upstreams. A suspect runs only in
/// isolation.
///
/// # Errors
///
/// Returns why there is no answer, and whether the call may have run.
pub async fn run_checked<C: CallCodec>(
    state: &Arc<GateState>,
    context: &Arc<ServiceContext>,
    call: &mut PlannedCall,
    traced: &mut TracedCall,
    body: CallBody,
    progress: &CallProgress,
) -> CallResponse {
    let CallerRequest { fingerprint, deadline, .. } = call.request;
    stop_check::require_time(state, deadline)?;
    let guard = match check(state, fingerprint).await {
        SuspectDecision::Run => None,
        SuspectDecision::RunIsolated => Some(IsolationGuard { state, fingerprint }),
        SuspectDecision::Refuse => return Err(refuse(context)),
    };
    let sequence =
        AttemptSequence::<C>::new(state, context, call, traced, guard.is_some(), progress);
    // Pinned, because awaiting the value itself copies the future of 8.8 KB twice.
    let running = pin!(sequence.run(body));
    stop_check::run_until_stop(state, deadline, progress, running).await
}
