//! Chooses the upstream of an attempt and gets a slot there.
//!
//! The choice itself is made by the policy in [`crate::slot`], on evidence that [`crate::survey`]
//! may renew before; a call that finds no free slot waits in [`crate::wait`].

use std::sync::Arc;
use std::sync::atomic::Ordering;

use base::prelude::*;
use codec::prelude::*;
use http::StatusCode;

use crate::attempt::{CallAttempt, FailedAttempt};
use crate::link::{LinkConnection, UpstreamLink};
use crate::running::RunningCall;
use crate::slot::{CallSlot, NoSlot};
use crate::survey::{self, UpstreamSurvey};
use crate::turn::WaitEnd;
use crate::wait;

/// An attempt that has a slot on an upstream.
pub struct PlacedAttempt {
    /// The connections to the upstream.
    pub(crate) link: Arc<UpstreamLink>,
    /// The call and its slot.
    pub(crate) running: RunningCall,
    /// A connection that answered a check just now.
    pub(crate) checked: Option<LinkConnection>,
}

impl<C: CallCodec> CallAttempt<'_, C> {
    /// Chooses an upstream other than those to avoid, and waits for a slot if necessary.
    ///
    /// # Errors
    ///
    /// Returns the failure if there is no slot for the call.
    pub async fn place(&self, avoid: &[SharedName]) -> Result<PlacedAttempt, Box<FailedAttempt>> {
        let Self { state, desk, call, .. } = *self;
        let survey = if state.options.tuning.survey {
            survey::survey::<C>(state, desk, avoid, call.request.idempotent).await
        } else {
            UpstreamSurvey::default()
        };
        let slot = match self.slot(avoid).await {
            Ok(slot) => slot,
            Err(failure) => {
                survey.put_back(state);
                return Err(failure);
            }
        };
        let Some(link) = slot.upstream().and_then(|name| state.links.link(name)) else {
            survey.put_back(state);
            let message = "the upstream was removed from the environment; repeat the request";
            return Err(FailedAttempt::ended(self.refuse(message)));
        };
        let checked = survey.take(state, &link.server().name);
        let running = RunningCall::new(state, slot, link.server().name.clone(), &call.request);
        Ok(PlacedAttempt { link, running, checked })
    }

    async fn slot(&self, avoid: &[SharedName]) -> Result<CallSlot, Box<FailedAttempt>> {
        let Self { state, desk, call, .. } = *self;
        let now = state.clock.now();
        if desk.waiting.load(Ordering::Relaxed) == 0 {
            match CallSlot::acquire(state, desk, avoid, now) {
                Ok(slot) => return Ok(slot),
                Err(NoSlot::Unavailable(error)) => {
                    return Err(FailedAttempt::ended(self.refuse(&error.to_string())));
                }
                Err(NoSlot::Limit | NoSlot::Full) => {}
            }
        }
        let end = match wait::wait_for_slot(state, desk, &call.request, avoid).await {
            Ok(slot) => return Ok(slot),
            Err(end) => end,
        };
        Err(FailedAttempt::ended(match end {
            WaitEnd::Unavailable(error) => self.refuse(&error.to_string()),
            WaitEnd::Refused(reason) => {
                desk.note_refusal(&reason, state.clock.now());
                self.refuse(&format!("no slot for the call: {reason}"))
                    .retry_after(reason.retry_after)
            }
            WaitEnd::Deadline => {
                let message = "the deadline passed before the call got a slot; allow more time";
                let refusal = CallRefusal::not_run(StatusCode::GATEWAY_TIMEOUT, message);
                refusal.retry_after(state.options.tuning.retry_after)
            }
        }))
    }
}
