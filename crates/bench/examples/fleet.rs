//! Compares the selection policies on both users' deployments.

use std::error::Error;
use std::process::ExitCode;

use bench::figure::FigureSheet;

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let mut sheet = FigureSheet::open();
    bench::fleet::run(&mut sheet)?;
    Ok(sheet.to_exit())
}
