//! Measures the memory and idle processor use of one gateway.

use std::error::Error;
use std::process::ExitCode;

use bench::figure::FigureSheet;

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let mut sheet = FigureSheet::open();
    bench::memory::run(&mut sheet)?;
    Ok(sheet.to_exit())
}
