//! `promote`: puts a document that was tried into force and waits until the VMs have it.

use std::fmt;

use base::prelude::*;
use bpaf::Bpaf;
use serde::Serialize;
use store::prelude::*;

use crate::change::{ChangeReport, VersionLine};
use crate::error::{CtlError, CtlExit};
use crate::operator::{self, ChangeArguments, change_arguments};
use crate::output;
use crate::rollout::{self, RolloutTable};
use crate::vm::{VmArguments, VmQuery, vm_arguments};

/// The number of hexadecimal digits of a digest.
const DIGEST_DIGITS: usize = 64;

/// The arguments of `promote`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct PromoteArguments {
    #[bpaf(external)]
    pub(crate) change_arguments: ChangeArguments,
    #[bpaf(external)]
    vm_arguments: VmArguments,
    /// The digest of the document, as printed by try and check
    #[bpaf(positional::<String>("DIGEST"), parse(parse_digest))]
    digest: SharedName,
}

fn parse_digest(text: String) -> Result<SharedName, &'static str> {
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    if text.len() == DIGEST_DIGITS && text.bytes().all(is_digit) {
        Ok(SharedName::from(text))
    } else {
        Err(
            "a digest has 64 digits from 0 to 9 and a to f; copy it from the output of try or check",
        )
    }
}

/// The report of a change, with the version that each VM has in force.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct PromoteReport {
    #[serde(flatten)]
    change: ChangeReport,
    /// The state of the VMs, or `None` if they were not queried.
    vms: Option<RolloutTable>,
}

impl PromoteReport {
    /// Returns the exit code: success, or unconfirmed if a VM has not confirmed the version.
    pub fn to_exit(&self) -> CtlExit {
        match &self.vms {
            Some(table) if !table.is_complete() => CtlExit::Unconfirmed,
            _ => CtlExit::Success,
        }
    }
}

impl fmt::Display for PromoteReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.change)?;
        match &self.vms {
            Some(table) => write!(formatter, "{table}"),
            None => {
                writeln!(formatter, "the VMs were not queried; run status to see their versions")
            }
        }
    }
}

/// Puts the document into force and waits until the VMs have it.
///
/// # Errors
///
/// Fails if the secret cannot be read, or with the reason why the change was not made.
pub fn run(arguments: &PromoteArguments) -> Result<PromoteReport, CtlError> {
    let query = arguments.vm_arguments.to_query()?;
    let ChangeArguments { operator_arguments, base_arguments, .. } = &arguments.change_arguments;
    let client = operator_arguments.to_client();
    let environment = &operator_arguments.environment;
    let trial = operator_arguments.to_trial();
    let base = base_arguments.base;
    operator::runtime()?.block_on(async {
        let row = client.operator.promote(environment, &trial, &arguments.digest, base).await?;
        let change = ChangeReport { in_force: VersionLine(row) };
        Ok(confirm(&client.store, &query, &arguments.vm_arguments, change).await)
    })
}

/// Waits until the VMs have the version of a change. VMs that do not answer appear in the report
/// and are not an error, because the change has been made already.
pub async fn confirm<S: PlatformStore, Q: VmQuery>(
    store: &S,
    query: &Q,
    arguments: &VmArguments,
    change: ChangeReport,
) -> PromoteReport {
    let Some(wait) = arguments.to_wait() else { return PromoteReport { change, vms: None } };
    let version = change.in_force.0.version;
    output::progress(format_args!("waiting for the VMs to have version {version} in force"));
    let table = rollout::wait(store, query, version, wait).await;
    PromoteReport { change, vms: Some(table) }
}
