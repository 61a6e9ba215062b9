//! Why a change was not made.

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
        /// Everything that is wrong.
        problems: Vec<DocumentProblem>,
    },
    /// The digest was not tried.
    #[snafu(display("document {digest} was not tried in {trial}; try it there first"))]
    NotTried {
        /// The digest.
        digest: SharedName,
        /// The trial environment.
        trial: SharedName,
    },
    /// Another change came first.
    #[snafu(display(
        "version {} of {} by {} at {} ms came first with document {}; review it and repeat the change",
        winner.version, winner.environment, winner.author, winner.at_ms, winner.digest
    ))]
    LostRace {
        /// The change that is in force.
        winner: Box<VersionRow>,
    },
    /// The environment has no version to build on.
    #[snafu(display("{environment} has no version yet; promote a document first"))]
    NoVersion {
        /// The environment.
        environment: SharedName,
    },
    /// The version to go back to was never in force.
    #[snafu(display(
        "version {version} of {environment} was never in force; choose one from its history"
    ))]
    NeverInForce {
        /// The environment.
        environment: SharedName,
        /// The version.
        version: u64,
    },
    /// The store did not take the change, which was not made.
    #[snafu(display("the change was not made: {source}"))]
    Store {
        /// What the store said.
        source: StoreError,
    },
    /// It is not known whether the change was made.
    #[snafu(display(
        "it is not known whether the change was made; read the status before repeating it"
    ))]
    Unclear,
    /// A row is not a version.
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
