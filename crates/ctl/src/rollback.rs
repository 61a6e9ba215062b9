//! `rollback`: puts the document of an earlier version into force again.

use bpaf::Bpaf;

use crate::change::{ChangeReport, VersionLine};
use crate::error::CtlError;
use crate::operator::{self, ChangeArguments, change_arguments};
use crate::promote::{PromoteReport, confirm};
use crate::vm::{VmArguments, vm_arguments};

/// The arguments of `rollback`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct RollbackArguments {
    #[bpaf(external)]
    pub(crate) change_arguments: ChangeArguments,
    #[bpaf(external)]
    vm_arguments: VmArguments,
    /// The earlier version, as listed by history
    #[bpaf(positional("VERSION"))]
    version: u64,
}

/// Puts the document of the named version into force as a new, higher version, and waits until the
/// VMs have it.
///
/// # Errors
///
/// Fails if the secret cannot be read, or with the reason why the change was not made.
pub fn run(arguments: &RollbackArguments) -> Result<PromoteReport, CtlError> {
    let query = arguments.vm_arguments.to_query()?;
    let ChangeArguments { operator_arguments, base_arguments, .. } = &arguments.change_arguments;
    let client = operator_arguments.to_client();
    let environment = &operator_arguments.environment;
    let base = base_arguments.base;
    operator::runtime()?.block_on(async {
        let row = client.operator.rollback(environment, arguments.version, base).await?;
        let change = ChangeReport { in_force: VersionLine(row) };
        Ok(confirm(&client.store, &query, &arguments.vm_arguments, change).await)
    })
}
