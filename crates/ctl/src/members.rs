//! `members`: lists the VMs with the status that each reports.

use std::fmt;

use base::prelude::*;
use bpaf::Bpaf;
use serde::Serialize;

use crate::error::CtlError;
use crate::output::{OutputArguments, output_arguments};
use crate::poll::{PollArguments, poll_arguments};
use crate::vm::{ControlQuery, VmQuery};

/// The arguments of `members`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct MembersArguments {
    #[bpaf(external)]
    pub(crate) output_arguments: OutputArguments,
    #[bpaf(external)]
    poll_arguments: PollArguments,
}

/// The answer of a VM, or why it is missing.
#[derive(Clone, Debug)]
#[derive(Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
enum MemberAnswer {
    Answered { version: Option<u64>, ready: bool, calls: u64 },
    Silent { reason: String },
}

/// A VM with its status, printed as one line of text.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct MemberLine {
    name: SharedName,
    address: SharedName,
    leaving: bool,
    #[serde(flatten)]
    state: MemberAnswer,
}

impl fmt::Display for MemberLine {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { name, address, leaving, state } = self;
        let leaving = if *leaving { " (shutting down)" } else { "" };
        write!(formatter, "{name} {address}{leaving}: ")?;
        match state {
            MemberAnswer::Answered { version, ready, calls } => {
                let ready = if *ready { "ready" } else { "not ready" };
                match version {
                    Some(version) => write!(formatter, "version {version}")?,
                    None => write!(formatter, "no version yet")?,
                }
                write!(formatter, ", {ready}, {calls} calls in flight")
            }
            MemberAnswer::Silent { reason } => write!(formatter, "did not answer: {reason}"),
        }
    }
}

/// All VMs, in order of their names.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct MembersReport {
    members: Vec<MemberLine>,
}

impl fmt::Display for MembersReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.members.iter().try_for_each(|member| writeln!(formatter, "{member}"))
    }
}

/// Queries every VM for its status.
///
/// # Errors
///
/// Fails if there is no VM to query, or if the secret's file or the list of VMs cannot be read.
pub fn run(arguments: &MembersArguments) -> Result<MembersReport, CtlError> {
    let request = |query: ControlQuery, address| async move { query.status(address).await };
    let answers = arguments.poll_arguments.query_all(request)?;
    let members = answers.into_iter().map(|(target, answer)| {
        let state = match answer {
            Ok(status) => MemberAnswer::Answered {
                version: status.version,
                ready: status.ready,
                calls: status.calls,
            },
            Err(error) => MemberAnswer::Silent { reason: error.to_string() },
        };
        MemberLine { name: target.name, address: target.address, leaving: target.leaving, state }
    });
    Ok(MembersReport { members: members.collect() })
}
