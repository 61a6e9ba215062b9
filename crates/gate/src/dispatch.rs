//! Makes an attempt that has a slot: connects, sends the request and classifies the answer. Starts
//! over on a new connection if an idle one was closed.

use base::prelude::*;
use codec::prelude::*;
use route::prelude::*;

use crate::attempt::{AttemptResult, CallAttempt, SelectedAttempt};
use crate::body::SendBody;
use crate::link::LinkConnection;
use crate::probe;

impl<C: CallCodec> CallAttempt<'_, C> {
    /// Makes an attempt at the upstream that was selected for it.
    ///
    /// # Errors
    ///
    /// Returns the failure if there is no answer for the caller.
    pub async fn run(&self, selected: SelectedAttempt, mut body: SendBody) -> AttemptResult {
        let SelectedAttempt { link, mut running, mut checked, .. } = selected;
        let mut verified_since = self.verified_since();
        loop {
            let usable = checked.take().and_then(|connection| self.unless_carried(connection));
            let was_checked = usable.is_some();
            let connection = match usable {
                Some(connection) => connection,
                None => match self.connect(&link, verified_since).await {
                    Ok(connection) => connection,
                    Err(error) => return Err(self.connect_failure(running, body, &error)),
                },
            };
            let reused = was_checked || connection.is_pooled();
            running.start();
            match self.send(&link, body, connection, &mut running).await {
                Ok(response) => return self.classify(response, running).await,
                Err(mut failure) => match failure.unsent.take() {
                    // An idle connection may close at any time, so this is no failure of the
                    // upstream. The next one is new, because no idle one is verified since
                    // `ClockTime::MAX`.
                    Some(unsent) if reused => {
                        body = unsent;
                        verified_since = ClockTime::MAX;
                    }
                    unsent => {
                        // The upstream closed a new connection, or the outcome was reported before.
                        running.report(CallResult::ConnectFailed);
                        failure.unsent = unsent;
                        return Err(failure);
                    }
                },
            }
        }
    }

    /// Returns the connection of a health check, unless an earlier attempt of the call used it.
    fn unless_carried(&self, connection: LinkConnection) -> Option<LinkConnection> {
        if connection.has_carried(&self.call.id) {
            probe::release(self.state, connection);
            return None;
        }
        Some(connection)
    }
}
