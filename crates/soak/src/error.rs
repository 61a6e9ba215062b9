//! Why a run could not be made.

use snafu::Snafu;
use stand::prelude::StandError;
use trial::prelude::TrialError;

/// Why a run could not be made. It says nothing of the gateway's promises.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SoakError {
    /// A stand-in did not start.
    #[snafu(display("a stand-in could not be started: {source}"), context(false))]
    Stand {
        /// The cause.
        source: StandError,
    },
    /// A gateway did not start.
    #[snafu(display("a gateway could not be started: {source}"), context(false))]
    Gate {
        /// The cause.
        source: TrialError,
    },
    /// A task of the run ended early.
    #[snafu(display("a task of the run failed: {source}"), context(false))]
    Task {
        /// The cause.
        source: tokio::task::JoinError,
    },
}
