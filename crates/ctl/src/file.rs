//! Reads the files that the command line names.

use std::path::Path;

use snafu::ResultExt;

use crate::error::{CtlError, ReadFileSnafu};

/// Returns the content of a file.
///
/// # Errors
///
/// Fails if the file cannot be read.
pub fn read(path: &Path) -> Result<Vec<u8>, CtlError> {
    std::fs::read(path).context(ReadFileSnafu { path })
}
