//! Runs one stand-in as a separate process.
//!
//! The argument is a JSON object with one field that names the stand-in, such as
//! `{"upstream":{"slots":6}}`. The addresses are printed as one JSON line. The process ends when
//! its standard input is closed, so that it does not outlive the process that started it.

use std::error::Error;
use std::io::Write;

use stand::launch::{ReadyLine, StandChoice};
use stand::prelude::*;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let argument = std::env::args().nth(1).ok_or("give the plan as a JSON argument")?;
    match serde_json::from_str(&argument)? {
        StandChoice::Upstream(plan) => {
            let stand = UpstreamStand::start(*plan).await?;
            let (address, admin_address) = (stand.address(), stand.admin_address());
            announce(ReadyLine { address, admin_address })?;
            input_closed().await;
        }
        StandChoice::Platform(plan) => {
            let stand = PlatformStand::start(plan).await?;
            let (address, admin_address) = (stand.address(), stand.admin_address());
            announce(ReadyLine { address, admin_address })?;
            input_closed().await;
        }
        StandChoice::Proxy(plan) => {
            let stand = FaultProxy::start(plan).await?;
            let (address, admin_address) = (stand.address(), stand.admin_address());
            announce(ReadyLine { address, admin_address })?;
            input_closed().await;
        }
    }
    Ok(())
}

/// Prints the addresses as one line.
fn announce(line: ReadyLine) -> Result<(), Box<dyn Error>> {
    let mut output = std::io::stdout().lock();
    serde_json::to_writer(&mut output, &line)?;
    writeln!(output)?;
    Ok(output.flush()?)
}

/// Waits until standard input is closed.
async fn input_closed() {
    // An input that cannot be read counts as closed.
    let copy = || std::io::copy(&mut std::io::stdin().lock(), &mut std::io::sink());
    let _ = tokio::task::spawn_blocking(copy).await;
}
