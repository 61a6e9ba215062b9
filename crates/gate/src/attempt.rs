//! One attempt of a call at one upstream, and how it failed.
//!
//! Each step of an attempt is a separate module that depends on this one: [`crate::select`] chooses
//! the upstream, [`crate::connect`] gets a connection, [`crate::send`] sends the request,
//! [`crate::verdict`] classifies the answer, and [`crate::dispatch`] runs these steps in order.

use std::marker::PhantomData;
use std::sync::Arc;

use base::prelude::*;
use codec::prelude::*;
use http::{Response, StatusCode};
use trace::prelude::CallCause;

use crate::answer::AnswerBody;
use crate::body::SendBody;
use crate::call_trace::{FailureFacts, UpstreamChoice};
use crate::link::{LinkConnection, UpstreamLink};
use crate::plan::PlannedCall;
use crate::progress::CallProgress;
use crate::retry::NextStep;
use crate::running::RunningCall;
use crate::service::ServiceContext;
use crate::state::GateState;

/// An attempt that has a slot on an upstream.
pub struct SelectedAttempt {
    /// The link to the upstream.
    pub link: Arc<UpstreamLink>,
    /// The call and its slot.
    pub running: RunningCall,
    /// The connection on which the upstream answered the precheck.
    pub checked: Option<LinkConnection>,
    /// The upstream and the evidence on which it was chosen, for the trace.
    pub choice: UpstreamChoice,
}

/// An attempt that failed. Its upstream may have sent an error answer.
pub struct FailedAttempt {
    /// The upstream that failed, or `None` if none was selected.
    pub upstream: Option<SharedName>,
    /// Whether the upstream may have run the attempt.
    pub fate: CallFate,
    /// The refusal that the caller gets if there is no further attempt.
    pub refusal: CallRefusal,
    /// The upstream's own answer, which the caller may get if there is no further attempt.
    pub answer: Option<Response<AnswerBody>>,
    /// The body, if no part of it was sent.
    pub unsent: Option<SendBody>,
    /// What may follow the attempt.
    pub next: NextStep,
    /// The next attempt, if it was selected before this one was ended.
    pub replacement: Option<Box<SelectedAttempt>>,
}

impl FailedAttempt {
    /// Returns a failure without an upstream, after which no further attempt is made.
    pub(crate) fn without_retry(refusal: CallRefusal) -> Box<Self> {
        let fate = refusal.fate;
        let next = NextStep::End;
        let (answer, unsent, replacement) = (None, None, None);
        Box::new(Self { upstream: None, fate, refusal, answer, unsent, next, replacement })
    }

    /// Returns what the trace of the call records.
    pub(crate) fn facts(&self) -> FailureFacts {
        FailureFacts {
            upstream: self.upstream.clone(),
            cause: self.refusal.cause,
            fate: self.fate,
            next: self.next,
        }
    }

    /// Returns the failure of an attempt at `upstream`.
    pub(crate) fn at(upstream: SharedName, refusal: CallRefusal, next: NextStep) -> Box<Self> {
        Box::new(Self { upstream: Some(upstream), next, ..*Self::without_retry(refusal) })
    }
}

/// The answer of an attempt, or why there is none.
pub type AttemptResult = Result<Response<AnswerBody>, Box<FailedAttempt>>;

/// One attempt of a call, with everything that it uses.
pub struct CallAttempt<'a, C> {
    /// The state of the gateway.
    pub state: &'a Arc<GateState>,
    /// The context of the service.
    pub context: &'a Arc<ServiceContext>,
    /// The call.
    pub call: &'a PlannedCall,
    /// Upstreams that the call must not use.
    pub excluded: &'a [SharedName],
    /// Whether the attempt may be ended for another one if it was lost at its upstream.
    pub replaceable: bool,
    /// Records how far the call has come.
    pub progress: &'a CallProgress,
    /// The protocol of callers and upstreams.
    pub codec: PhantomData<C>,
}

impl<C: CallCodec> CallAttempt<'_, C> {
    /// Returns the refusal, with status 503, of a call that no upstream ran.
    pub(crate) fn refuse(&self, message: &str) -> CallRefusal {
        let refusal = CallRefusal::not_run(StatusCode::SERVICE_UNAVAILABLE, message);
        refusal.retry_after(self.state.options.tuning.retry_after)
    }

    /// Returns the refusal, with status 502, of a call that was not sent because its connection
    /// failed.
    pub(crate) fn unsent_refusal(&self, message: &str) -> CallRefusal {
        let refusal = CallRefusal::not_run(StatusCode::BAD_GATEWAY, message);
        let refusal = refusal.with_cause(CallCause::ConnectFailed);
        refusal.retry_after(self.state.options.tuning.retry_after)
    }

    /// Returns the refusal of a call whose deadline passed before the attempt was sent.
    pub(crate) fn expired_refusal(&self) -> CallRefusal {
        let message = "the deadline passed before the call was sent; allow more time";
        let refusal = CallRefusal::not_run(StatusCode::GATEWAY_TIMEOUT, message);
        refusal.with_cause(CallCause::Timeout).retry_after(self.state.options.tuning.retry_after)
    }

    /// Returns the refusal of a call whose deadline has passed. `cancelled` is whether the
    /// upstream confirmed that it cancelled the call, which proves that it was not run.
    pub(crate) fn timeout_refusal(&self, cancelled: bool) -> CallRefusal {
        let status = StatusCode::GATEWAY_TIMEOUT;
        if cancelled {
            let message = "the call waited at the upstream until its deadline and was cancelled";
            let refusal = CallRefusal::not_run(status, message).with_cause(CallCause::Timeout);
            refusal.retry_after(self.state.options.tuning.retry_after)
        } else {
            let message = "the upstream did not answer within the deadline";
            CallRefusal::unknown(status, message).with_cause(CallCause::Timeout)
        }
    }
}
