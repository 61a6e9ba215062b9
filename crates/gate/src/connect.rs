//! Gets a connection for an attempt.

use std::sync::Arc;

use base::prelude::*;
use codec::prelude::*;
use route::prelude::*;

use crate::attempt::{CallAttempt, FailedAttempt};
use crate::body::SendBody;
use crate::crash;
use crate::link::{ConnectUse, LinkConnection, LinkError, UpstreamLink};
use crate::retry::{self, NextStep};
use crate::running::RunningCall;

impl<C: CallCodec> CallAttempt<'_, C> {
    /// Returns the time since which an idle connection must have carried an answer or been opened.
    /// A call that may run twice can use any connection.
    pub(crate) fn verified_since(&self) -> ClockTime {
        if retry::may_run_twice(&self.call.request) {
            return ClockTime::ZERO;
        }
        self.state.clock.now() - self.state.timeouts.load().verified_within
    }

    /// Takes an idle connection that is verified since `verified_since`, or opens one. An earlier
    /// attempt of the call used another connection: the id is the same, so that a late copy of its
    /// answer would count as the answer to this attempt.
    pub(crate) async fn connect(
        &self,
        link: &Arc<UpstreamLink>,
        verified_since: ClockTime,
    ) -> Result<LinkConnection, LinkError> {
        let state = self.state;
        let connect_timeout = state.timeouts.load().connect;
        if let Some(connection) = link.take_idle(verified_since, Some(&self.call.id)) {
            link.open_spare(connect_timeout, state.clock);
            return Ok(connection);
        }
        let timeout = connect_timeout.min(self.call.request.deadline.since(state.clock.now()));
        match link.connect(ConnectUse::Call, timeout, state.clock).await {
            Err(LinkError::ShareExhausted { .. }) if link.close_idle() => {
                link.connect(ConnectUse::Call, timeout, state.clock).await
            }
            result => result,
        }
    }

    /// Reports an attempt that got no connection, and returns its failure.
    pub(crate) fn connect_failure(
        &self,
        mut running: RunningCall,
        body: SendBody,
        error: &LinkError,
    ) -> Box<FailedAttempt> {
        let upstream = running.upstream.clone();
        crash::record_connect_failure(self.state, &upstream, error);
        let result = match error {
            LinkError::ShareExhausted { .. } => CallResult::Cancelled,
            _ => CallResult::ConnectFailed,
        };
        running.report(result);
        let refusal = self.unsent_refusal(&error.to_string());
        let failure = FailedAttempt::at(upstream, refusal, NextStep::Retry);
        Box::new(FailedAttempt { unsent: Some(body), ..*failure })
    }
}
