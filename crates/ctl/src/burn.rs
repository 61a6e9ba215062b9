//! `burn`: how fast services use up their error budgets, from the merged counts of all VMs.

use std::fmt;

use base::prelude::*;
use bpaf::Bpaf;
use report::prelude::*;
use serde::Serialize;

use crate::error::CtlError;
use crate::output::OutputFormat;
use crate::poll::{self, PollArguments, poll_arguments};
use crate::vm::ControlQuery;

/// The format of the report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BurnFormat {
    /// A format that all commands have.
    Output(OutputFormat),
    /// An HTML page for a browser.
    Html,
}

impl std::str::FromStr for BurnFormat {
    type Err = &'static str;

    fn from_str(name: &str) -> Result<Self, &'static str> {
        if name == "html" {
            return Ok(Self::Html);
        }
        let format = name.parse().map(Self::Output);
        format.map_err(|_| "unknown format; use text, json or html")
    }
}

/// The arguments of `burn`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct BurnArguments {
    /// Format of the result on standard output: text, json or html
    #[bpaf(long, argument("FORMAT"), fallback(BurnFormat::Output(OutputFormat::Text)))]
    format: BurnFormat,
    #[bpaf(external)]
    poll_arguments: PollArguments,
}

impl BurnArguments {
    /// Returns the format for printing. The HTML page is printed as the text of the report.
    pub fn to_output(&self) -> OutputFormat {
        match self.format {
            BurnFormat::Output(format) => format,
            BurnFormat::Html => OutputFormat::Text,
        }
    }
}

/// The merged counts of all VMs.
#[derive(Clone, Debug)]
#[derive(Serialize)]
#[serde(transparent)]
pub struct BurnReport {
    summary: BurnSummary,
    #[serde(skip)]
    format: BurnFormat,
}

impl fmt::Display for BurnReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&match self.format {
            BurnFormat::Html => to_html(&self.summary),
            BurnFormat::Output(_) => to_text(&self.summary),
        })
    }
}

/// Queries every VM for its counts and merges them.
///
/// # Errors
///
/// Fails if there is no VM to query, or if the secret's file or the list of VMs cannot be read.
pub fn run(arguments: &BurnArguments) -> Result<BurnReport, CtlError> {
    let request = |query: ControlQuery, address| async move { query.burn(address).await };
    let answers = arguments.poll_arguments.query_all(request)?;
    let missing = poll::unanswered(&answers);
    poll::warn(&missing);
    let exports: Vec<BurnExport> =
        answers.into_iter().filter_map(|(_, answer)| answer.ok()).collect();
    let missing_vms: Vec<SharedName> = missing.into_keys().collect();
    let summary = BurnSummary::from_exports(&exports, &missing_vms);
    Ok(BurnReport { summary, format: arguments.format })
}
