//! The command line.

use std::fmt;
use std::process::ExitCode;

use bpaf::{Args, Bpaf, ParseFailure};
use serde::Serialize;

use crate::check::{self, CheckArguments, SettingsArguments, check_arguments, settings_arguments};
use crate::demo::{self, DemoArguments, demo_arguments};
use crate::error::{CtlError, CtlExit};
use crate::load::{self, LoadArguments, load_arguments};
use crate::output::{self, OutputFormat};

/// Columns of help and error texts.
const TEXT_WIDTH: usize = 100;

/// Operates environments of agateroad gateways.
///
/// Exit codes: 0 success; 1 the operation was refused or failed; 2 wrong usage; 3 it is not known
/// whether the change was made; 4 the version is in force, but not every VM has confirmed it.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub enum CtlCommand {
    /// Run gateways, upstreams and load in this process and print what callers got
    #[bpaf(command("demo"))]
    Demo(#[bpaf(external(demo_arguments))] DemoArguments),
    /// Check an environment document
    #[bpaf(command("check"))]
    Check(#[bpaf(external(check_arguments))] CheckArguments),
    /// Check the settings of a gateway process
    #[bpaf(command("check-settings"))]
    CheckSettings(#[bpaf(external(settings_arguments))] SettingsArguments),
    /// Send load to gateways at a rate that does not depend on their answers
    #[bpaf(command("load"))]
    Load(#[bpaf(external(load_arguments))] LoadArguments),
}

/// Runs the command line of this process.
pub fn run() -> ExitCode {
    let exit = match ctl_command().run_inner(Args::current_args()) {
        Ok(command) => command.run(),
        Err(failure) => {
            failure.print_message(TEXT_WIDTH);
            match failure {
                ParseFailure::Stderr(_) => CtlExit::Usage,
                ParseFailure::Stdout(..) | ParseFailure::Completion(_) => CtlExit::Success,
            }
        }
    };
    ExitCode::from(exit as u8)
}

impl CtlCommand {
    fn run(&self) -> CtlExit {
        match self {
            Self::Demo(arguments) => {
                let format = arguments.output_arguments.format;
                finish(format, demo::run(arguments), |report| report.verify().map(done))
            }
            Self::Check(arguments) => {
                finish(arguments.output_arguments.format, check::check(arguments), succeed)
            }
            Self::CheckSettings(arguments) => {
                finish(arguments.output_arguments.format, check::check_settings(arguments), succeed)
            }
            Self::Load(arguments) => {
                let format = arguments.output_arguments.format;
                finish(format, load::run(arguments), |result| result.verify().map(done))
            }
        }
    }
}

fn done((): ()) -> CtlExit {
    CtlExit::Success
}

fn succeed<T>(_: &T) -> Result<CtlExit, CtlError> {
    Ok(CtlExit::Success)
}

/// Prints a report or an error and returns the exit code. A report can itself be a failure, which
/// is then printed after it.
fn finish<T: fmt::Display + Serialize>(
    format: OutputFormat,
    report: Result<T, CtlError>,
    judge: impl FnOnce(&T) -> Result<CtlExit, CtlError>,
) -> CtlExit {
    let printed = report.is_ok();
    let judged = report.and_then(|report| {
        output::print(format, &report);
        judge(&report)
    });
    judged.unwrap_or_else(|error| {
        output::progress(format_args!("agatectl: {error}"));
        if format == OutputFormat::Json && !printed {
            println!("{}", error.to_json());
        }
        error.to_exit()
    })
}
