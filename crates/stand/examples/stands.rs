//! Runs several upstream stand-ins in one process.
//!
//! The argument is a JSON list of upstream plans. The addresses are printed as one JSON list in the
//! same order. The process ends when its standard input is closed.

use std::error::Error;
use std::io::Write;

use stand::launch::ReadyLine;
use stand::prelude::*;

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn Error>> {
    let argument = std::env::args().nth(1).ok_or("give a list of plans as a JSON argument")?;
    let plans: Vec<UpstreamPlan> = serde_json::from_str(&argument)?;
    let mut stands = Vec::with_capacity(plans.len());
    for plan in plans {
        stands.push(UpstreamStand::start(plan).await?);
    }
    let line = |stand: &UpstreamStand| ReadyLine {
        address: stand.address(),
        admin_address: stand.admin_address(),
    };
    let lines: Vec<ReadyLine> = stands.iter().map(line).collect();
    println!("{}", serde_json::to_string(&lines)?);
    std::io::stdout().flush()?;
    let copy = || std::io::copy(&mut std::io::stdin().lock(), &mut std::io::sink());
    // An input that cannot be read counts as closed.
    let _ = tokio::task::spawn_blocking(copy).await;
    Ok(())
}
