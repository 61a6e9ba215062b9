//! `try`: puts a document into force in the trial environment.

use std::path::PathBuf;

use bpaf::Bpaf;
use bytes::Bytes;

use crate::change::{ChangeReport, VersionLine};
use crate::check::{self, BorderCheck};
use crate::error::CtlError;
use crate::file;
use crate::operator::{self, ChangeArguments, change_arguments};

/// The arguments of `try`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct TryArguments {
    #[bpaf(external)]
    pub(crate) change_arguments: ChangeArguments,
    /// The environment document, a JSON file
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// Checks and stores a document, and puts it into force in the trial environment.
///
/// # Errors
///
/// Fails with all problems of the document, or with the reason why the change was not made.
pub fn run(arguments: &TryArguments) -> Result<ChangeReport, CtlError> {
    // The check in `try_document` joins the problems into one line. This one reports each on a line
    // of its own, as `check` does.
    check::load_file(&arguments.file)?;
    let document = Bytes::from(file::read(&arguments.file)?);
    let ChangeArguments { operator_arguments, base_arguments, .. } = &arguments.change_arguments;
    let client = operator_arguments.to_client();
    let trial = operator_arguments.to_trial();
    let base = base_arguments.base;
    let change = client.operator.try_document(&BorderCheck, &trial, document, base);
    let row = operator::runtime()?.block_on(change)?;
    Ok(ChangeReport { in_force: VersionLine(row) })
}
