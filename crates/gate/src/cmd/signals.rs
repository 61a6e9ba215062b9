//! The signals that stop the process.

use gate::event;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that ask the process to stop.
pub(super) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    pub(super) fn listen() -> std::io::Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        Ok(Self { terminate, interrupt: signal(SignalKind::interrupt())? })
    }

    pub(super) async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }

    /// Leaves, or gives that up at the next signal.
    pub(super) async fn leave(&mut self, leaving: impl Future<Output = ()>) {
        tokio::select! {
            () = leaving => {}
            () = self.next() => {
                tracing::warn!(event = event::DRAIN_ABANDONED, "a second signal ends the process");
            }
        }
    }
}
