//! The check of a request against the table of suspects, before its first attempt.
//!
//! A suspect is a request during which upstreams crashed. It is refused, or gets an isolated run,
//! of which there is only one at a time, so that a crash shows which request causes it.

use std::pin::pin;
use std::sync::Arc;

use base::prelude::*;
use codec::prelude::*;
use http::StatusCode;
use suspect::prelude::*;
use trace::prelude::CallCause;
use world::prelude::*;

use crate::answer::CallResponse;
use crate::body::CallBody;
use crate::call_trace::TracedCall;
use crate::plan::PlannedCall;
use crate::progress::CallProgress;
use crate::sequence::AttemptSequence;
use crate::service::ServiceContext;
use crate::state::GateState;
use crate::stop_check;

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
        SuspectDecision::Refuse => {
            context.metrics.count_suspect();
            let message = "upstreams crashed while they ran this request; repeat it later, or have \
                           an operator release it";
            // An unrelated request is cleared after a while, so the status must not say that a
            // retry is useless.
            let refusal = CallRefusal::not_run(StatusCode::SERVICE_UNAVAILABLE, message);
            return Err(refusal.with_cause(CallCause::Suspect).retry_after(SUSPECT_RETRY_AFTER));
        }
    };
    let sequence =
        AttemptSequence::<C>::new(state, context, call, traced, guard.is_some(), progress);
    // Pinned, because awaiting the value itself copies the future of 8.8 KB twice.
    let running = pin!(sequence.run(body));
    stop_check::run_until_stop(state, deadline, progress, running).await
}
