//! Starts and stops the listeners of a gateway.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;

use xitca_server::ServerHandle;

use crate::front;
use crate::maintenance::{self, MaintenanceThread};
use crate::state::GateState;

/// A gateway that accepts callers. Stops when it is dropped.
pub struct RunningGate {
    /// The shared tables.
    pub state: Arc<GateState>,
    /// The address that callers connect to.
    pub caller_address: SocketAddr,
    handle: ServerHandle,
    thread: Option<JoinHandle<io::Result<()>>>,
    _maintenance: MaintenanceThread,
}

impl RunningGate {
    /// Starts the listeners and their workers.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or a thread cannot be started.
    pub fn start(state: Arc<GateState>) -> io::Result<Self> {
        let maintenance = maintenance::spawn(&state)?;
        let mut front = front::bind(Arc::clone(&state))?;
        let handle = front.future.handle()?;
        let caller_address = front.address;
        let thread = std::thread::Builder::new()
            .name("callers".to_owned())
            .spawn(move || front.future.wait())?;
        Ok(Self { state, caller_address, handle, thread: Some(thread), _maintenance: maintenance })
    }

    /// Accepts no further connections. Calls in flight go on.
    pub fn stop_accepting(&self) {
        self.handle.stop(true);
    }
}

impl Drop for RunningGate {
    fn drop(&mut self) {
        self.handle.stop(false);
        if let Some(thread) = self.thread.take() {
            // A panic of the listener's thread has already been printed.
            let _ = thread.join();
        }
    }
}
