//! Measures the added latency and the capacity of one gateway.

use std::error::Error;
use std::process::ExitCode;

use bench::figure::FigureSheet;

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let mut sheet = FigureSheet::open();
    bench::path::run(&mut sheet)?;
    Ok(sheet.to_exit())
}
