//! Prints reports on standard output, as text or JSON, and progress on standard error.

use std::fmt;
use std::io::Write;

use bpaf::Bpaf;
use serde::Serialize;
use snafu::Snafu;

/// The format of a report.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum OutputFormat {
    /// Text for people.
    #[default]
    Text,
    /// One line of JSON for programs.
    Json,
}

/// The error for an unknown format.
#[derive(Debug, Snafu)]
#[snafu(display("unknown format {name:?}; use text or json"))]
pub struct UnknownFormat {
    name: String,
}

impl std::str::FromStr for OutputFormat {
    type Err = UnknownFormat;

    fn from_str(name: &str) -> Result<Self, UnknownFormat> {
        match name {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(UnknownFormat { name: name.to_owned() }),
        }
    }
}

/// The options for the output of a command.
#[derive(Bpaf, Clone, Copy, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct OutputArguments {
    /// Format of the result on standard output: text or json
    #[bpaf(long, argument("FORMAT"), fallback(OutputFormat::Text), complete(complete_format))]
    pub format: OutputFormat,
}

fn complete_format(_: &OutputFormat) -> Vec<(&'static str, Option<&'static str>)> {
    vec![("text", Some("for people")), ("json", Some("for programs"))]
}

/// Prints a report on standard output.
pub fn print<T: fmt::Display + Serialize>(format: OutputFormat, report: &T) {
    let text = match format {
        OutputFormat::Text => report.to_string(),
        OutputFormat::Json => serde_json::to_string(report).unwrap_or_default(),
    };
    // The write fails if the reader has closed the pipe. The reader then needs no further output.
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end_matches('\n'));
}

/// Prints progress or an error on standard error, so that standard output contains only the
/// result.
pub fn progress(message: fmt::Arguments<'_>) {
    let _ = writeln!(std::io::stderr(), "{message}");
}
