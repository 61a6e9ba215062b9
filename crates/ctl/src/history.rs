//! `history`: lists the versions of an environment.

use std::fmt;

use bpaf::Bpaf;
use serde::Serialize;

use crate::change::VersionLine;
use crate::error::CtlError;
use crate::operator::{self, OperatorArguments, operator_arguments};
use crate::output::{OutputArguments, output_arguments};

const DEFAULT_LIMIT: usize = 20;
/// The maximum number of versions; the platform returns no more rows at a time.
const MAX_LIMIT: usize = 1000;

/// The arguments of `history`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct HistoryArguments {
    #[bpaf(external)]
    pub(crate) output_arguments: OutputArguments,
    #[bpaf(external)]
    operator_arguments: OperatorArguments,
    /// List the versions of the trial environment
    #[bpaf(long)]
    of_trial: bool,
    /// List only versions lower than this one
    #[bpaf(long, argument("VERSION"), optional)]
    before: Option<u64>,
    /// Maximum number of versions to list, from 1 to 1000
    #[bpaf(
        long,
        argument("COUNT"),
        fallback(DEFAULT_LIMIT),
        display_fallback,
        guard(is_limit, "the limit must be from 1 to 1000")
    )]
    limit: usize,
}

fn is_limit(limit: &usize) -> bool {
    (1..=MAX_LIMIT).contains(limit)
}

/// The versions, newest first.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct HistoryReport {
    versions: Vec<VersionLine>,
}

impl fmt::Display for HistoryReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.versions.is_empty() {
            writeln!(formatter, "no versions")?;
        }
        self.versions.iter().try_for_each(|version| writeln!(formatter, "{version}"))
    }
}

/// Reads the history of the environment from the platform.
///
/// # Errors
///
/// Fails if the platform does not answer or a row cannot be decoded.
pub fn run(arguments: &HistoryArguments) -> Result<HistoryReport, CtlError> {
    let operator_arguments = &arguments.operator_arguments;
    let environment = if arguments.of_trial {
        operator_arguments.to_trial()
    } else {
        operator_arguments.environment.clone()
    };
    let client = operator_arguments.to_client();
    let rows = client.operator.history(&environment, arguments.before, arguments.limit);
    let rows = operator::runtime()?.block_on(rows)?;
    Ok(HistoryReport { versions: rows.into_iter().map(VersionLine).collect() })
}
