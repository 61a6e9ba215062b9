//! `explain`: why a call ended as it did, from the logs of the VMs.

use std::fmt;
use std::io::Read;
use std::path::{Path, PathBuf};

use bpaf::Bpaf;
use serde::Serialize;
use snafu::ResultExt;
use trace::prelude::*;

use crate::error::{CtlError, ReadFileSnafu, UnknownCallSnafu};
use crate::file;
use crate::output::OutputFormat;

/// The file name that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// The arguments of `explain`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct ExplainArguments {
    /// Print the result in JSON for programs
    #[bpaf(long)]
    json: bool,
    /// The request id, from the header agateroad-request-id of the answer
    #[bpaf(positional("REQUEST-ID"))]
    id: String,
    /// Logs in JSON or text format, each from one VM or from several VMs one after the other; standard input if none is named
    #[bpaf(positional("FILE"), many)]
    files: Vec<PathBuf>,
}

impl ExplainArguments {
    /// Returns the format for printing.
    pub const fn to_output(&self) -> OutputFormat {
        if self.json { OutputFormat::Json } else { OutputFormat::Text }
    }
}

/// The explanations of a call, one from each log that contains it.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct ExplainReport {
    calls: Vec<CallExplanation>,
}

impl fmt::Display for ExplainReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, explanation) in self.calls.iter().enumerate() {
            if index > 0 {
                writeln!(formatter)?;
            }
            write!(formatter, "{explanation}")?;
        }
        Ok(())
    }
}

/// Reads the logs and explains the call from each log that contains it.
///
/// # Errors
///
/// Fails if a log cannot be read, or if none contains the call.
pub fn run(arguments: &ExplainArguments) -> Result<ExplainReport, CtlError> {
    let mut sources = Vec::new();
    if arguments.files.is_empty() {
        sources.extend(read(Path::new(STANDARD_INPUT))?);
    }
    for path in &arguments.files {
        sources.extend(read(path)?);
    }
    let calls = explain(&arguments.id, &sources);
    if calls.is_empty() {
        return UnknownCallSnafu { id: &arguments.id }.fail();
    }
    Ok(ExplainReport { calls })
}

fn read(path: &Path) -> Result<Vec<LogSource>, CtlError> {
    let bytes = if path == Path::new(STANDARD_INPUT) {
        let mut bytes = Vec::new();
        std::io::stdin().read_to_end(&mut bytes).context(ReadFileSnafu { path })?;
        bytes
    } else {
        file::read(path)?
    };
    Ok(LogSource::read(&path.to_string_lossy(), &String::from_utf8_lossy(&bytes)))
}
