//! The executable of the gateway.

use std::process::ExitCode;

mod cmd;

fn main() -> ExitCode {
    cmd::run()
}
