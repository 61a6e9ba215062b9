//! Files that are named on the command line.

use std::path::Path;

use snafu::ResultExt;

use crate::error::{CtlError, ReadFileSnafu};

/// Reads a whole file.
///
/// # Errors
///
/// Fails if the file cannot be read.
pub fn read(path: &Path) -> Result<Vec<u8>, CtlError> {
    std::fs::read(path).context(ReadFileSnafu { path })
}
