//! Parses the command line, runs the subcommand and returns its exit code.

use std::fmt;
use std::process::ExitCode;

use bpaf::{Args, Bpaf, ParseFailure};
use serde::Serialize;

use crate::burn::{self, BurnArguments, burn_arguments};
use crate::check::{self, CheckArguments, SettingsArguments, check_arguments, settings_arguments};
use crate::demo::{self, DemoArguments, demo_arguments};
use crate::error::{CtlError, CtlExit};
use crate::explain::{self, ExplainArguments, explain_arguments};
use crate::history::{self, HistoryArguments, history_arguments};
use crate::load::{self, LoadArguments, load_arguments};
use crate::members::{self, MembersArguments, members_arguments};
use crate::output::{self, OutputFormat};
use crate::promote::{self, PromoteArguments, promote_arguments};
use crate::release;
use crate::rollback::{self, RollbackArguments, rollback_arguments};
use crate::stand::{self, StandArguments, stand_arguments};
use crate::status::{self, StatusArguments, status_arguments};
use crate::suspects::{self, SuspectsArguments, suspects_arguments};
use crate::trial::{self, TryArguments, try_arguments};

/// Width of help and usage errors, in columns.
const TEXT_WIDTH: usize = 100;
const EXIT_CODES: &str = "Exit codes: 0 success; 1 the operation was refused or failed; \
    2 wrong usage; 3 it is not known whether the change was made; \
    4 the change was made, but not every VM has confirmed it.";

/// Operates environments of agateroad gateways.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version, footer(EXIT_CODES))]
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
    /// Check a document and put it into force in the trial environment
    #[bpaf(command("try"))]
    Try(#[bpaf(external(try_arguments))] TryArguments),
    /// Put a document that was tried into force, and wait until the VMs have it
    #[bpaf(command("promote"))]
    Promote(#[bpaf(external(promote_arguments))] PromoteArguments),
    /// Put the document of an earlier version into force again, and wait until the VMs have it
    #[bpaf(command("rollback"))]
    Rollback(#[bpaf(external(rollback_arguments))] RollbackArguments),
    /// Show the versions in force, and query each VM for its version
    #[bpaf(command("status"))]
    Status(#[bpaf(external(status_arguments))] StatusArguments),
    /// List the versions of an environment, newest first
    #[bpaf(command("history"))]
    History(#[bpaf(external(history_arguments))] HistoryArguments),
    /// List the VMs, and query each for its version and calls in flight
    #[bpaf(command("members"))]
    Members(#[bpaf(external(members_arguments))] MembersArguments),
    /// Show how fast services use up their error budgets, over all VMs
    #[bpaf(command("burn"))]
    Burn(#[bpaf(external(burn_arguments))] BurnArguments),
    /// List the requests that are suspected of crashing upstreams, or release one
    #[bpaf(command("suspects"))]
    Suspects(#[bpaf(external(suspects_arguments))] SuspectsArguments),
    /// Show why a call ended as it did, from the logs of the VMs
    #[bpaf(command("explain"))]
    Explain(#[bpaf(external(explain_arguments))] ExplainArguments),
    /// Send load to gateways at a rate that does not depend on their answers
    #[bpaf(command("load"))]
    Load(#[bpaf(external(load_arguments))] LoadArguments),
    /// Run test upstreams and a test platform on this machine
    #[bpaf(command("stand"))]
    Stand(#[bpaf(external(stand_arguments))] StandArguments),
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
            Self::Try(arguments) => finish(
                arguments.change_arguments.output_arguments.format,
                trial::run(arguments),
                succeed,
            ),
            Self::Promote(arguments) => {
                let format = arguments.change_arguments.output_arguments.format;
                finish(format, promote::run(arguments), |report| Ok(report.to_exit()))
            }
            Self::Rollback(arguments) => {
                let format = arguments.change_arguments.output_arguments.format;
                finish(format, rollback::run(arguments), |report| Ok(report.to_exit()))
            }
            Self::Status(arguments) => {
                finish(arguments.output_arguments.format, status::run(arguments), succeed)
            }
            Self::History(arguments) => {
                finish(arguments.output_arguments.format, history::run(arguments), succeed)
            }
            Self::Members(arguments) => {
                finish(arguments.output_arguments.format, members::run(arguments), succeed)
            }
            Self::Burn(arguments) => finish(arguments.to_output(), burn::run(arguments), succeed),
            Self::Suspects(SuspectsArguments::List(arguments)) => {
                finish(arguments.output_arguments.format, suspects::run(arguments), succeed)
            }
            Self::Suspects(SuspectsArguments::Release(arguments)) => {
                let format = arguments.output_arguments.format;
                finish(format, release::run(arguments), |report| Ok(report.to_exit()))
            }
            Self::Explain(arguments) => {
                finish(arguments.to_output(), explain::run(arguments), succeed)
            }
            Self::Load(arguments) => {
                let format = arguments.output_arguments.format;
                finish(format, load::run(arguments), |result| result.verify().map(done))
            }
            Self::Stand(arguments) => stand::run(arguments).unwrap_or_else(|error| {
                output::progress(format_args!("agatectl: {error}"));
                error.to_exit()
            }),
        }
    }
}

fn done((): ()) -> CtlExit {
    CtlExit::Success
}

fn succeed<T>(_: &T) -> Result<CtlExit, CtlError> {
    Ok(CtlExit::Success)
}

/// Prints a report or an error and returns the exit code. If `evaluate` finds a failure in a
/// report, its error is printed after the report.
fn finish<T: fmt::Display + Serialize>(
    format: OutputFormat,
    report: Result<T, CtlError>,
    evaluate: impl FnOnce(&T) -> Result<CtlExit, CtlError>,
) -> CtlExit {
    let printed = report.is_ok();
    let result = report.and_then(|report| {
        output::print(format, &report);
        evaluate(&report)
    });
    result.unwrap_or_else(|error| {
        output::progress(format_args!("agatectl: {error}"));
        if format == OutputFormat::Json && !printed {
            println!("{}", error.to_json());
        }
        error.to_exit()
    })
}
