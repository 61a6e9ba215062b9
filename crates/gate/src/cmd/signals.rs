//! The signals that stop the process.

use gate::event;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that ask the process to stop.
pub(super) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs the handlers of SIGTERM and SIGINT.
    pub(super) fn listen() -> std::io::Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        Ok(Self { terminate, interrupt: signal(SignalKind::interrupt())? })
    }

    /// Waits for the next of the signals.
    pub(super) async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }

    /// Runs the graceful shutdown. SIGINT, which a person at a terminal sends, abandons it. A further
    /// SIGTERM does not, because a platform may repeat it.
    pub(super) async fn run_shutdown(&mut self, shutdown: impl Future<Output = ()>) {
        tokio::select! {
            () = shutdown => {}
            _ = self.interrupt.recv() => {
                tracing::warn!(
                    event = event::DRAIN_ABANDONED,
                    "SIGINT ends the graceful shutdown"
                );
            }
        }
    }
}
