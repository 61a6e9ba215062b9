//! Reports as text for people and JSON for programs.

use std::fmt;
use std::io::Write;

use bpaf::Bpaf;
use serde::Serialize;
use snafu::Snafu;

/// The form of a report.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum OutputFormat {
    /// For people.
    #[default]
    Text,
    /// One line of JSON for programs.
    Json,
}

/// A format that does not exist.
#[derive(Debug, Snafu)]
#[snafu(display("{name:?} is not a format; use text or json"))]
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

/// How the result is printed.
#[derive(Bpaf, Clone, Copy, Debug)]
pub struct OutputArguments {
    /// Form of the result on standard output: text or json
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
    // A reader that has closed the pipe needs no further output.
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end_matches('\n'));
}

/// Prints progress on standard error, so that standard output holds only the result.
pub fn progress(message: fmt::Arguments<'_>) {
    let _ = writeln!(std::io::stderr(), "{message}");
}
