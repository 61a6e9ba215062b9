//! Errors of the test harness.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

/// A failure to start a process or to write one of its files.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TrialError {
    /// The program was not built.
    #[snafu(display(
        "{} does not exist; run cargo build --workspace --bins --examples", path.display()
    ))]
    Missing {
        /// The expected path of the program.
        path: PathBuf,
    },
    /// The program did not start.
    #[snafu(display("could not start {}: {source}", path.display()))]
    Start {
        /// The path of the program.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The program ended before its first line, or the line is not the expected JSON.
    #[snafu(display("{} did not report that it is ready; its first line was {line:?}", path.display()))]
    NotReady {
        /// The path of the program.
        path: PathBuf,
        /// The first line of its output; empty if there was none.
        line: String,
    },
    /// A file or folder could not be written.
    #[snafu(display("could not write {}: {source}", path.display()))]
    WriteFile {
        /// The path of the file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
}
