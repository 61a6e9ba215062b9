//! Errors of the test harness.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

/// Why a process could not be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TrialError {
    /// The program was not built.
    #[snafu(display(
        "{} does not exist; run cargo build --workspace --bins --examples", path.display()
    ))]
    Missing {
        /// Where it should be.
        path: PathBuf,
    },
    /// The program did not start.
    #[snafu(display("could not start {}: {source}", path.display()))]
    Start {
        /// The program.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The program ended or printed something else before it was ready.
    #[snafu(display("{} is not ready; it printed {line:?}", path.display()))]
    NotReady {
        /// The program.
        path: PathBuf,
        /// What it printed.
        line: String,
    },
    /// A file could not be written.
    #[snafu(display("could not write {}: {source}", path.display()))]
    WriteFile {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
}
