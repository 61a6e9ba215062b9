//! Why a benchmark could not run.

use std::io;

use load::prelude::*;
use snafu::Snafu;
use stand::prelude::*;
use trial::prelude::*;

/// A fault of the benchmark or the machine, as opposed to a missed bound.
#[derive(Debug, Snafu)]
pub enum BenchError {
    /// A process did not start.
    #[snafu(context(false), display("{source}"))]
    Process {
        /// The reason.
        source: TrialError,
    },
    /// A stand-in did not start.
    #[snafu(context(false), display("{source}"))]
    Stand {
        /// The reason.
        source: StandError,
    },
    /// The load generator did not run.
    #[snafu(context(false), display("{source}"))]
    Load {
        /// The reason.
        source: LoadError,
    },
    /// The system refused something.
    #[snafu(context(false), display("{source}; check the limits on open files and processes"))]
    System {
        /// The system's error.
        source: io::Error,
    },
    /// A stand-in did not answer on its admin address.
    #[snafu(display("the stand-in gave no answer to {path}: {reason}"))]
    Admin {
        /// What was asked.
        path: &'static str,
        /// The reason.
        reason: String,
    },
}
