//! A call in flight on an upstream.

use std::fmt;
use std::future::poll_fn;
use std::sync::Arc;
use std::task::{Context, Poll};

use base::prelude::*;
use route::prelude::*;
use tokio::time::Sleep;
use world::prelude::*;

use crate::crash;
use crate::link::LinkConnection;
use crate::slot::CallSlot;
use crate::state::GateState;

/// A call that holds a slot of an upstream. Its outcome is reported once, on drop at the latest.
pub struct RunningCall {
    /// The shared state of the gateway.
    pub state: Arc<GateState>,
    /// The name of the upstream.
    pub upstream: SharedName,
    /// The connection that carries the call.
    pub connection: Option<LinkConnection>,
    /// The time from sending the request to the head of the answer.
    pub latency: ClockSpan,
    /// The result of the call, according to the head of its answer.
    pub result: CallResult,
    /// The load that the upstream reported with the answer.
    pub load: Option<LoadReport>,
    /// The slowdown: the expected latency divided by the typical one, if known.
    pub slowdown: Option<f64>,
    class: WorkClass,
    slot: Option<CallSlot>,
    deadline: ClockTime,
    fingerprint: u64,
    /// Whether sending the request has begun.
    started: bool,
}

impl fmt::Debug for RunningCall {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("RunningCall").field("result", &self.result).finish_non_exhaustive()
    }
}

impl RunningCall {
    /// Returns a call that holds `slot` and whose request was not sent yet.
    pub fn new(
        state: &Arc<GateState>,
        slot: CallSlot,
        upstream: SharedName,
        request: &CallerRequest,
    ) -> Self {
        Self {
            state: Arc::clone(state),
            upstream,
            connection: None,
            latency: ClockSpan::ZERO,
            result: CallResult::Cancelled,
            load: None,
            slowdown: None,
            class: request.class,
            slot: Some(slot),
            deadline: request.deadline,
            fingerprint: request.fingerprint,
            started: false,
        }
    }

    /// Records that the request is about to be sent.
    pub fn start(&mut self) {
        if !self.started {
            self.started = true;
            let now = self.state.clock.now();
            self.state.tables.suspects.start(self.fingerprint, &self.upstream, now);
        }
    }

    /// Returns a timer that ends at the deadline of the call.
    pub(crate) fn deadline_timer(&self) -> Sleep {
        tokio::time::sleep_until(self.state.clock.to_instant(self.deadline).into())
    }

    /// Ends the call after its answer was read to the end, and returns the connection to its link.
    /// `context` must belong to the task that read the answer.
    pub(crate) fn poll_complete(&mut self, context: &mut Context<'_>) {
        if let Some(connection) = self.connection.take() {
            connection.release(self.latency, self.state.clock.now(), context);
        }
        self.report(self.result);
    }

    /// As [`RunningCall::poll_complete`], in the current task.
    pub(crate) async fn complete(mut self) {
        poll_fn(|context| {
            self.poll_complete(context);
            Poll::Ready(())
        })
        .await;
    }

    /// Reports that the connection was lost while the answer arrived, and probes the upstream.
    pub(crate) fn report_connection_lost(&mut self) {
        self.report(CallResult::ConnectionLost);
        let (state, upstream) = (Arc::clone(&self.state), self.upstream.clone());
        tokio::spawn(async move { crash::test_connects_after_loss(&state, &upstream).await });
    }

    /// Reports the outcome and frees the slot, once.
    pub fn report(&mut self, result: CallResult) {
        let Some(slot) = self.slot.take() else { return };
        if self.started {
            let now = self.state.clock.now();
            let suspects = &self.state.tables.suspects;
            if result == CallResult::ConnectionLost {
                suspects.record_loss(&self.upstream, now);
            }
            suspects.finish(self.fingerprint, &self.upstream, now);
        }
        if let Some(slowdown) = self.slowdown.filter(|_| result == CallResult::Success) {
            let service = &slot.context().name;
            let now = self.state.clock.now();
            self.state.tables.admission.record(service, self.class, self.latency, slowdown, now);
        }
        slot.finish(CallOutcome { latency: self.latency, result, load: self.load });
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        match self.result {
            CallResult::Success => self.report(CallResult::Cancelled),
            result => self.report(result),
        }
    }
}
