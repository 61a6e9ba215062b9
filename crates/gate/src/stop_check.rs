//! The check of a call against the end of the process.
//!
//! Once the process was asked to stop, a call is sent to an upstream only if its deadline is before
//! the end of the process, so that it ends by itself. Every other call that is not at an upstream is
//! refused at once, wherever it waits, while its caller has the time to repeat it at another VM. A
//! call that is at an upstream already may go on until the end.

use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::task::Poll;

use base::prelude::*;
use codec::prelude::*;
use http::StatusCode;
use tokio::time::timeout_at;
use trace::prelude::CallCause;

use crate::answer::CallResponse;
use crate::progress::CallProgress;
use crate::state::GateState;

/// Time after which the caller of a refused call may repeat it. Another VM can take it at once.
const STOP_RETRY_AFTER: ClockSpan = ClockSpan::ZERO;

/// Refuses a call that has not been sent and might not end before the process does.
///
/// # Errors
///
/// Returns the refusal.
pub fn require_time(state: &GateState, deadline: ClockTime) -> Result<(), CallRefusal> {
    match state.stop.end_before(deadline) {
        Some(_) => Err(refusal(CallFate::NotRun)),
        None => Ok(()),
    }
}

/// Runs a call. If the process is asked to stop meanwhile and might end before the call does, the
/// call is refused as soon as no attempt is at an upstream, or interrupted at the end of the process.
///
/// A refused call is dropped before this returns, so that it is in no queue when its caller gets the
/// refusal.
///
/// # Errors
///
/// Returns why there is no answer, and whether the call may have run.
pub async fn run_until_stop(
    state: &GateState,
    deadline: ClockTime,
    progress: &CallProgress,
    mut running: Pin<&mut impl Future<Output = CallResponse>>,
) -> CallResponse {
    tokio::select! {
        biased;
        response = &mut running => return response,
        () = state.stop.begun() => {}
    }
    let Some(end) = state.stop.end_before(deadline) else { return running.await };
    let unless_refused = poll_fn(|context| match running.as_mut().poll(context) {
        Poll::Ready(response) => Poll::Ready(response),
        Poll::Pending if progress.is_at_upstream() => Poll::Pending,
        Poll::Pending => Poll::Ready(Err(refusal(progress.fate()))),
    });
    let end = state.clock.to_instant(end).into();
    timeout_at(end, unless_refused).await.unwrap_or_else(|_| {
        let message = "the gateway stopped before the upstream answered";
        let refusal = CallRefusal::unknown(StatusCode::BAD_GATEWAY, message);
        Err(refusal.with_cause(CallCause::Shutdown))
    })
}

/// Returns the refusal of a call that is not at an upstream.
fn refusal(fate: CallFate) -> CallRefusal {
    let message = "the gateway shuts down before the deadline of the call; repeat it elsewhere";
    let refusal = CallRefusal::not_run(StatusCode::SERVICE_UNAVAILABLE, message);
    let refusal = refusal.with_cause(CallCause::Shutdown).retry_after(STOP_RETRY_AFTER);
    CallRefusal { fate, ..refusal }
}
