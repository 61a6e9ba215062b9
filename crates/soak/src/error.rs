//! Errors of a run.

use snafu::Snafu;
use stand::prelude::StandError;
use trial::prelude::TrialError;

/// Why a run could not be completed. Such a run has no verdict on the promises.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SoakError {
    /// A stand-in or a proxy did not start.
    #[snafu(display("a stand-in could not be started: {source}"), context(false))]
    Stand {
        /// The cause.
        source: StandError,
    },
    /// A gateway process did not start or its settings could not be written.
    #[snafu(display("a gateway could not be started or configured: {source}"), context(false))]
    Gate {
        /// The cause.
        source: TrialError,
    },
    /// A task of the run panicked or was cancelled.
    #[snafu(display("a task of the run failed: {source}"), context(false))]
    Task {
        /// The cause.
        source: tokio::task::JoinError,
    },
}
