//! Errors of the subcommands and the exit codes.

use std::io;
use std::path::PathBuf;

use border::FieldProblem;
use config::prelude::*;
use load::prelude::LoadError;
use serde::Serialize;
use serde_json::{Value, json};
use snafu::Snafu;
use stand::prelude::StandError;
use store::prelude::StoreError;
use trace::sampling::SAMPLE_PERIOD;

use crate::change::VersionLine;

/// The reason why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CtlError {
    /// A file could not be read.
    #[snafu(display("cannot read {}: {source}; check the path", path.display()))]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// A document or a settings file is invalid.
    #[snafu(display("{} is rejected; correct these problems:{}", path.display(), lines(problems)))]
    Rejected {
        /// The file.
        path: PathBuf,
        /// All problems of the file.
        problems: Vec<FieldProblem>,
    },
    /// A load plan could not be read.
    #[snafu(display("{} is not a load plan: {source}; correct the field", path.display()))]
    ReadPlan {
        /// The file.
        path: PathBuf,
        /// The error of the parser.
        source: serde_json::Error,
    },
    /// A change was refused, or it is not known whether it was made.
    #[snafu(display("{source}{}", winner_line(source)), context(false))]
    Change {
        /// The reason.
        source: ConfigError,
    },
    /// The load could not be generated.
    #[snafu(display("cannot generate load: {source}"), context(false))]
    Load {
        /// The error of the load generator.
        source: LoadError,
    },
    /// A stand-in for an upstream or for the platform could not start.
    #[snafu(display("cannot start a test upstream or platform: {source}"), context(false))]
    Stand {
        /// The error of the stand-in.
        source: StandError,
    },
    /// Neither a document nor a platform was named.
    #[snafu(display("nothing to run; name a document, or a platform with --platform"))]
    NoStand,
    /// There is no VM to query.
    #[snafu(display("there is no VM to query; name VMs with --vm, or a platform that lists them"))]
    NoVms,
    /// The list of VMs could not be read.
    #[snafu(display("cannot read the list of VMs: {source}; name VMs with --vm"), context(false))]
    Members {
        /// The error of the platform.
        source: StoreError,
    },
    /// A gateway could not start.
    #[snafu(display("cannot start a gateway: {source}; check the limit on open files"))]
    Gate {
        /// The error of the system.
        source: io::Error,
    },
    /// The process could not be set up.
    #[snafu(display("cannot set up the process: {source}; check the limits on threads and files"))]
    Runtime {
        /// The error of the system.
        source: io::Error,
    },
    /// None of the logs contains the call.
    #[snafu(display(
        "none of the logs contains call {id}; name the logs of all VMs, and note that only one in \
         {SAMPLE_PERIOD} calls without problems is logged"
    ))]
    UnknownCall {
        /// The request id.
        id: String,
    },
    /// The demo stopped before it had a result.
    #[snafu(display("the demo stopped early: {reason}; please report this"))]
    DemoStopped {
        /// The reason why it stopped.
        reason: String,
    },
    /// Callers got wrong answers, or at-most-once calls ran twice or not at all.
    #[snafu(display("{faults}; see the log of the gateways for the reason"))]
    Faulty {
        /// A description of the faults with their counts.
        faults: String,
    },
}

/// The result of a command, with its exit code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CtlExit {
    /// The command succeeded.
    Success = 0,
    /// The operation was refused or failed, and changed nothing.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// It is not known whether the change was made.
    Unclear = 3,
    /// The change was made, but not every VM has confirmed it.
    Unconfirmed = 4,
}

impl CtlError {
    /// Returns the exit code.
    pub fn to_exit(&self) -> CtlExit {
        match self {
            Self::Change { source: ConfigError::Unclear } => CtlExit::Unclear,
            _ => CtlExit::Failed,
        }
    }

    /// Returns the error as JSON.
    pub fn to_json(&self) -> Value {
        let problems = match self {
            Self::Rejected { problems, .. } => problems.iter().map(ProblemLine::from).collect(),
            _ => Vec::new(),
        };
        let winner = match self {
            Self::Change { source: ConfigError::LostRace { winner } } => Some(winner),
            _ => None,
        };
        json!({ "error": { "message": self.to_string(), "problems": problems, "winner": winner } })
    }
}

/// A problem of a file, as printed in JSON.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct ProblemLine {
    path: String,
    reason: String,
    remedy: String,
}

impl From<&FieldProblem> for ProblemLine {
    fn from(problem: &FieldProblem) -> Self {
        let FieldProblem { path, reason, remedy } = problem.clone();
        Self { path, reason, remedy }
    }
}

/// Returns lines with the change that was made first, its time in RFC 3339 format and the option
/// that repeats the refused change on top of it.
fn winner_line(error: &ConfigError) -> String {
    let ConfigError::LostRace { winner } = error else { return String::new() };
    let line = VersionLine(winner.as_ref().clone());
    format!("\n  in force: {line}\n  to build on it, pass --base {}", winner.version)
}

fn lines(problems: &[FieldProblem]) -> String {
    problems.iter().map(|problem| format!("\n  {problem}")).collect()
}
