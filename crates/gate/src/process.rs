//! Starts and stops the listener for callers.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use codec::prelude::*;

use crate::caller_server::CallerServer;
use crate::state::GateState;

/// A gateway that accepts callers. Stops when it is dropped.
pub struct RunningGate {
    /// The shared state of the gateway.
    pub state: Arc<GateState>,
    /// The address that callers connect to.
    pub caller_address: SocketAddr,
    server: CallerServer,
}

impl RunningGate {
    /// Starts the listener and its workers for agateroad's own protocol.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or a thread cannot be started.
    pub fn start(state: Arc<GateState>) -> io::Result<Self> {
        Self::start_with::<NativeCodec>(state)
    }

    /// As [`RunningGate::start`], for the protocol of codec `C`.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or a thread cannot be started.
    pub fn start_with<C: CallCodec>(state: Arc<GateState>) -> io::Result<Self> {
        let server = CallerServer::start::<C>(&state)?;
        Ok(Self { state, caller_address: server.address, server })
    }

    /// Accepts no further connections. Calls in flight go on.
    pub fn stop_accepting(&self) {
        self.server.stop_accepting();
    }

    /// Waits until every call has ended and its answer was sent, after
    /// [`RunningGate::stop_accepting`]. It is not enough that no call is in flight: a connection
    /// may accept a last call immediately before it starts to close.
    pub async fn wait_finished(&self) {
        self.server.wait_finished().await;
        self.state.calls.wait_idle().await;
    }
}
