//! The operators' command.

use std::process::ExitCode;

fn main() -> ExitCode {
    ctl::cmd::run()
}
