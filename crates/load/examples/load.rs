//! Runs one load plan as a separate process.
//!
//! The argument is a plan in JSON. The report is written as a table to standard error and as one
//! line of JSON to standard output.

use std::error::Error;

use load::prelude::*;

fn main() -> Result<(), Box<dyn Error>> {
    let argument = std::env::args().nth(1).ok_or("give the plan as a JSON argument")?;
    let plan: LoadPlan = serde_json::from_str(&argument)?;
    let report = run(&plan)?;
    eprint!("{report}");
    println!("{}", report.to_json());
    Ok(())
}
