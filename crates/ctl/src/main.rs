//! The command `agatectl` for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    ctl::cmd::run()
}
