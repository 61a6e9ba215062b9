//! Cancellation of calls at upstreams.

use std::marker::PhantomData;
use std::sync::Arc;

use base::prelude::*;
use codec::prelude::*;
use http::{HeaderMap, HeaderValue, Method, Uri};
use serde::Deserialize;

use crate::link::{ConnectUse, UpstreamLink};
use crate::probe;
use crate::state::GateState;

/// Timeout of a cancellation in the background, whose result is not used.
const BACKGROUND_TIMEOUT: ClockSpan = ClockSpan::from_millis(250);

/// The body of an answer to a cancellation.
#[derive(Debug)]
#[derive(Deserialize)]
struct CancelBody {
    confirmed: bool,
}

/// Asks an upstream, on another connection, to cancel a call. Returns whether the upstream
/// confirmed it, which proves that the call was not run.
pub async fn cancel<C: CallCodec>(
    state: &GateState,
    link: &Arc<UpstreamLink>,
    id: &HeaderValue,
    timeout: ClockSpan,
) -> bool {
    let Ok(id) = id.to_str() else { return false };
    let Ok(target) = Uri::try_from(format!("/agateroad/cancel/{id}")) else { return false };
    let now = state.clock.now();
    let connection = match link.take_idle(now - state.timeouts.load().verified_within, None) {
        Some(connection) => connection,
        None => match link.connect(ConnectUse::Check, timeout, state.clock).await {
            Ok(connection) => connection,
            Err(_) => return false,
        },
    };
    let result =
        probe::send_request::<C>(connection, Method::POST, target, HeaderMap::new(), timeout).await;
    let Some(answer) = result else { return false };
    probe::release(state, answer.connection);
    let body = serde_json::from_slice::<CancelBody>(&answer.body);
    answer.status.is_success() && body.is_ok_and(|body| body.confirmed)
}

/// Cancels a call at its upstream if the caller disconnects before the head of the answer.
pub struct CancelGuard<C: CallCodec> {
    target: Option<(Arc<GateState>, Arc<UpstreamLink>, HeaderValue)>,
    codec: PhantomData<C>,
}

impl<C: CallCodec> CancelGuard<C> {
    /// Returns a guard that cancels the call when it is dropped.
    pub fn new(state: &Arc<GateState>, link: &Arc<UpstreamLink>, id: &HeaderValue) -> Self {
        let target = (Arc::clone(state), Arc::clone(link), id.clone());
        Self { target: Some(target), codec: PhantomData }
    }

    /// Returns a guard that does nothing, for upstreams that abandon a call when its connection
    /// closes.
    pub const fn disarmed() -> Self {
        Self { target: None, codec: PhantomData }
    }

    /// Keeps the guard from cancelling.
    pub fn disarm(&mut self) {
        self.target = None;
    }
}

impl<C: CallCodec> Drop for CancelGuard<C> {
    fn drop(&mut self) {
        let Some((state, link, id)) = self.target.take() else { return };
        // Without a runtime the process is about to end.
        let Ok(runtime) = tokio::runtime::Handle::try_current() else { return };
        runtime.spawn(async move { cancel::<C>(&state, &link, &id, BACKGROUND_TIMEOUT).await });
    }
}
