//! The cases.

use std::io;
use std::path::Path;

mod crashing_request;
mod quota_holders;

/// Runs a case. Returns whether the rule was broken.
pub async fn run(case: &str, folder: &Path, trouble: bool) -> io::Result<bool> {
    match case {
        "crashing-request" => crashing_request::run(folder, trouble).await,
        "quota-holders" => quota_holders::run(folder, trouble).await,
        _ => Err(io::Error::other("no such case")),
    }
}
