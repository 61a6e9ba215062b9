//! How reports show a version of a document, as text and as JSON.

use std::fmt;
use std::time::{Duration, UNIX_EPOCH};

use config::prelude::*;
use serde::Serialize;

/// A version, printed as one line of text.
#[derive(Clone, Debug)]
#[derive(Serialize)]
#[serde(transparent)]
pub struct VersionLine(pub VersionRow);

impl fmt::Display for VersionLine {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let VersionRow { environment, version, digest, author, at_ms, cause, .. } = &self.0;
        let time = UNIX_EPOCH.checked_add(Duration::from_millis(*at_ms)).unwrap_or(UNIX_EPOCH);
        let time = humantime::format_rfc3339_seconds(time);
        write!(formatter, "{environment} version {version}, ")?;
        match cause {
            ChangeCause::Try => write!(formatter, "tried")?,
            ChangeCause::Promote => write!(formatter, "promoted")?,
            ChangeCause::Rollback { to } => write!(formatter, "rolled back to version {to}")?,
        }
        write!(formatter, " by {author} at {time}, document {digest}")
    }
}

/// The report of a change of the version in force.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct ChangeReport {
    /// The version that is now in force.
    pub in_force: VersionLine,
}

impl fmt::Display for ChangeReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "in force: {}", self.in_force)
    }
}
