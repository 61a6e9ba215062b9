//! Errors of changes.

use base::prelude::*;
use snafu::Snafu;
use store::store::StoreError;

use crate::check::DocumentProblem;
use crate::row::VersionRow;

/// Why a change was not made.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfigError {
    /// The document is invalid.
    #[snafu(display("document is invalid: {}", joined(problems)))]
    Invalid {
        /// All problems that the check found.
        problems: Vec<DocumentProblem>,
    },
    /// The document was never in force in the trial environment.
    #[snafu(display("document {digest} was not tried in {trial}; try it there first"))]
    NotTried {
        /// The digest of the document.
        digest: SharedName,
        /// The trial environment.
        trial: SharedName,
    },
    /// Another change of the environment was made first.
    #[snafu(display(
        "version {} of {} by {} at {} ms came first with document {}; review it and repeat the change",
        winner.version, winner.environment, winner.author, winner.at_ms, winner.digest
    ))]
    LostRace {
        /// The version in force, made by the other change.
        winner: Box<VersionRow>,
    },
    /// A rollback, or a change that builds on a version, was requested for an environment without one.
    #[snafu(display("{environment} has no version yet; promote a document first"))]
    NoVersion {
        /// The environment.
        environment: SharedName,
    },
    /// The version to roll back to was never in force.
    #[snafu(display(
        "version {version} of {environment} was never in force; choose one from its history"
    ))]
    NeverInForce {
        /// The environment.
        environment: SharedName,
        /// The version.
        version: u64,
    },
    /// The store failed before the change was made.
    #[snafu(display("the change was not made: {source}"))]
    Store {
        /// The error of the store.
        source: StoreError,
    },
    /// It is not known whether the change was made.
    #[snafu(display(
        "it is not known whether the change was made; read the status before repeating it"
    ))]
    Unclear,
    /// A stored row could not be decoded as a version.
    #[snafu(display(
        "the stored version of {environment} is unreadable; restore its row from the history"
    ))]
    Unreadable {
        /// The environment.
        environment: SharedName,
    },
}

fn joined(problems: &[DocumentProblem]) -> String {
    problems.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
}
