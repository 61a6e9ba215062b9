//! Measures the processor time of a gateway with the interface of the users' platform.

use std::error::Error;
use std::process::ExitCode;

use bench::figure::FigureSheet;

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let mut sheet = FigureSheet::open();
    bench::platform::run(&mut sheet)?;
    Ok(sheet.to_exit())
}
