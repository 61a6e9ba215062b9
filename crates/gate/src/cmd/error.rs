//! Errors of the start of the gateway.

use std::path::PathBuf;

use border::{DocumentError, SettingsError};
use snafu::Snafu;

/// Why the gateway did not start or stopped.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub(super) enum GateError {
    #[snafu(display("could not read {}; check the path: {source}", path.display()))]
    ReadFile { path: PathBuf, source: std::io::Error },
    #[snafu(display("could not load {}: {source}", path.display()))]
    Settings { path: PathBuf, source: SettingsError },
    #[snafu(display("could not load {}: {source}", path.display()))]
    Document { path: PathBuf, source: DocumentError },
    #[snafu(display(
        "could not start the listeners; check that their addresses are free: {source}"
    ))]
    Listen { source: std::io::Error },
    #[snafu(display("could not set up the process: {source}"))]
    Runtime { source: std::io::Error },
}
