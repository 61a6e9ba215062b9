//! Detects silent connections: old connections to an upstream that no longer respond while new ones
//! work.

use std::sync::Arc;

use base::prelude::*;
use codec::prelude::*;
use world::prelude::*;

use crate::link::{LinkConnection, UpstreamLink};
use crate::service::ServiceContext;
use crate::state::GateState;
use crate::{event, probe};

/// The connection of a call is checked once the call has had no answer for this multiple of the
/// mean latency.
const SILENCE_FACTOR: f64 = 8.0;
/// The shortest time without an answer after which a connection is checked, as the latency of short
/// calls varies by more than `SILENCE_FACTOR`.
const SILENCE_FLOOR: ClockSpan = ClockSpan::from_millis(100);
/// The floor is at most this fraction of the call's remaining time, so that there is time for a
/// retry.
const SILENCE_FRACTION: f64 = 0.25;
/// The factor by which the time until the next check grows.
const CHECK_GROWTH: f64 = 2.0;

/// Checks a connection on which a call waits for its answer and which was opened before that call.
pub struct SilenceWatch {
    link: Arc<UpstreamLink>,
    opened: ClockTime,
    sent: ClockTime,
    /// The time between the last check, or the start of the call, and the next check.
    interval: ClockSpan,
    next: ClockTime,
}

impl SilenceWatch {
    /// Returns a watch, or `None` if the connection is new or the mean latency is unknown.
    pub fn start(
        connection: &LinkConnection,
        request: &CallerRequest,
        sent: ClockTime,
    ) -> Option<Self> {
        let link = connection.link();
        let mean = link.mean_latency().filter(|_| connection.is_pooled())?;
        let floor = SILENCE_FLOOR.min(request.deadline.since(sent).scaled(SILENCE_FRACTION));
        let interval = mean.scaled(SILENCE_FACTOR).max(floor);
        let opened = connection.opened();
        Some(Self { link: Arc::clone(link), opened, sent, interval, next: sent + interval })
    }

    /// Returns the time of the next check.
    pub const fn next(&self) -> ClockTime {
        self.next
    }

    /// Checks the connection and sets the time of the next check. Returns whether the connection is
    /// silent while a new one works.
    pub async fn check<C: CallCodec>(
        &mut self,
        state: &GateState,
        context: &ServiceContext,
    ) -> bool {
        let silent = self.detect_silence::<C>(state, context).await;
        self.interval = self.interval.scaled(CHECK_GROWTH);
        self.next = state.clock.now() + self.interval;
        silent
    }

    /// Sends a health check on a new connection unless old ones have answered, and retires the old
    /// connections if only the new one works. Returns whether the connection is silent.
    async fn detect_silence<C: CallCodec>(
        &self,
        state: &GateState,
        context: &ServiceContext,
    ) -> bool {
        if self.link.is_retired(self.opened) {
            return true;
        }
        // If a connection of the same age has carried an answer since the call was sent, the
        // connections work and the call takes long.
        if self.link.has_answered(self.opened, self.sent) {
            return false;
        }
        let Some(_permit) = self.link.start_check() else { return false };
        let Some(new_opened) = probe::check_new_connection::<C>(state, context, &self.link).await
        else {
            return false;
        };
        if self.link.has_answered(self.opened, self.sent) {
            return false;
        }
        let idle = self.link.retire(new_opened);
        context.metrics.silent_connections.inc_by(idle as u64 + 1);
        tracing::warn!(
            event = event::SILENT_CONNECTIONS,
            upstream = %self.link.server().name,
            idle,
            "connections stopped responding while a new one works; they are closed"
        );
        true
    }
}
