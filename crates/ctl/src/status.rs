//! `status`: shows the versions in force and the version of each VM.

use std::fmt;
use std::time::Duration;

use base::prelude::*;
use bpaf::Bpaf;
use serde::Serialize;

use crate::change::VersionLine;
use crate::error::CtlError;
use crate::operator::{self, OperatorArguments, operator_arguments};
use crate::output::{OutputArguments, output_arguments};
use crate::rollout::{self, RolloutTable};
use crate::vm::{VmArguments, vm_arguments};

/// The arguments of `status`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct StatusArguments {
    #[bpaf(external)]
    pub(crate) output_arguments: OutputArguments,
    #[bpaf(external)]
    operator_arguments: OperatorArguments,
    #[bpaf(external)]
    vm_arguments: VmArguments,
}

/// The versions in force, and the version of each VM.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct StatusReport {
    environment: SharedName,
    in_force: Option<VersionLine>,
    trial: SharedName,
    in_trial: Option<VersionLine>,
    /// The state of the VMs, or `None` if they were not queried.
    vms: Option<RolloutTable>,
}

impl fmt::Display for StatusReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines = [(&self.environment, &self.in_force), (&self.trial, &self.in_trial)];
        for (environment, line) in lines {
            match line {
                Some(line) => writeln!(formatter, "{line}")?,
                None => writeln!(formatter, "{environment} has no version yet")?,
            }
        }
        self.vms.as_ref().map_or(Ok(()), |table| write!(formatter, "{table}"))
    }
}

/// Reads the versions in force and queries every VM once.
///
/// # Errors
///
/// Fails if the secret cannot be read or the platform does not answer.
pub fn run(arguments: &StatusArguments) -> Result<StatusReport, CtlError> {
    let query = arguments.vm_arguments.to_query()?;
    let operator_arguments = &arguments.operator_arguments;
    let client = operator_arguments.to_client();
    operator::runtime()?.block_on(async {
        let in_force = client.operator.status(&operator_arguments.environment).await?;
        let in_trial = client.operator.status(&operator_arguments.to_trial()).await?;
        let vms = match (&in_force, arguments.vm_arguments.to_wait()) {
            (Some(row), Some(_)) => {
                Some(rollout::wait(&client.store, &query, row.version, Duration::ZERO).await)
            }
            _ => None,
        };
        Ok(StatusReport {
            environment: operator_arguments.environment.clone(),
            in_force: in_force.map(VersionLine),
            trial: operator_arguments.to_trial(),
            in_trial: in_trial.map(VersionLine),
            vms,
        })
    })
}
