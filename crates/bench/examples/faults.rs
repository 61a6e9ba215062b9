//! Measures the recovery of a deployment from faults.

use std::error::Error;
use std::process::ExitCode;

use bench::figure::FigureSheet;

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let mut sheet = FigureSheet::open();
    bench::faults::run(&mut sheet)?;
    Ok(sheet.to_exit())
}
