//! `try`: a document becomes the version in force of the trial environment.

use std::path::PathBuf;

use bpaf::Bpaf;
use bytes::Bytes;

use crate::change::{ChangeReport, VersionLine};
use crate::check::{self, BorderCheck};
use crate::error::CtlError;
use crate::file;
use crate::operator::{self, ChangeArguments, change_arguments};

/// Arguments of `try`.
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
/// Fails with every problem of the document, or with the reason why the change was not made.
pub fn run(arguments: &TryArguments) -> Result<ChangeReport, CtlError> {
    // The document is checked here, so that its problems are reported like those of `check`.
    check::load_file(&arguments.file)?;
    let document = Bytes::from(file::read(&arguments.file)?);
    let ChangeArguments { operator_arguments, base_arguments, .. } = &arguments.change_arguments;
    let link = operator_arguments.to_link();
    let trial = operator_arguments.to_trial();
    let base = base_arguments.base;
    let change = link.operator.try_document(&BorderCheck, &trial, document, base);
    let row = operator::runtime()?.block_on(change)?;
    Ok(ChangeReport { in_force: VersionLine(row) })
}
