//! `stand`: runs stand-ins for the upstreams of a document and for a platform on this machine, for
//! tests.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use serde_json::json;
use snafu::{OptionExt, ResultExt};
use stand::prelude::*;
use tokio::signal::unix::{SignalKind, signal};

use crate::check;
use crate::error::{CtlError, CtlExit, NoStandSnafu, RuntimeSnafu};
use crate::operator;

const DEFAULT_SERVICE_MS: f64 = 10.0;

/// The arguments of `stand`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct StandArguments {
    /// Run a test platform at this address; port 0 selects a free port
    #[bpaf(long, argument("ADDRESS"), optional)]
    platform: Option<SocketAddr>,
    /// Mean service time of a request
    #[bpaf(long, argument("MS"), fallback(DEFAULT_SERVICE_MS), display_fallback)]
    service_ms: f64,
    /// Run the upstreams of this environment document at their addresses
    #[bpaf(positional("FILE"), optional)]
    file: Option<PathBuf>,
}

/// Runs the stand-ins until the process gets SIGTERM or SIGINT. When they are ready, prints one
/// line of JSON with the address of the platform and the number of upstreams.
///
/// # Errors
///
/// Fails if nothing is named to run, the document is invalid or an address is in use.
pub fn run(arguments: &StandArguments) -> Result<CtlExit, CtlError> {
    arguments.platform.map(drop).or(arguments.file.as_ref().map(drop)).context(NoStandSnafu)?;
    operator::runtime()?.block_on(async {
        let platform = match arguments.platform {
            Some(listen) => {
                let plan = PlatformPlan { listen, ..PlatformPlan::default() };
                Some(PlatformStand::start(plan).await?)
            }
            None => None,
        };
        let upstreams = start_upstreams(arguments).await?;
        println!(
            "{}",
            json!({
                "platform": platform.as_ref().map(PlatformStand::address),
                "upstreams": upstreams.len(),
            })
        );
        wait_for_signal().await
    })?;
    Ok(CtlExit::Success)
}

async fn start_upstreams(arguments: &StandArguments) -> Result<Vec<UpstreamStand>, CtlError> {
    let mut stands = Vec::new();
    let Some(file) = &arguments.file else { return Ok(stands) };
    let map = check::load_file(file)?;
    for server in map.upstreams.values().flatten() {
        let plan = UpstreamPlan {
            name: server.name.clone(),
            listen: server.address,
            seed: stands.len() as u64,
            slots: server.slots,
            queue_limit: server.slots,
            connections: server.connections,
            service: ServiceTime::Exponential { mean_ms: arguments.service_ms },
            ..UpstreamPlan::default()
        };
        stands.push(UpstreamStand::start(plan).await?);
    }
    Ok(stands)
}

async fn wait_for_signal() -> Result<(), CtlError> {
    let mut terminate = signal(SignalKind::terminate()).context(RuntimeSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(RuntimeSnafu)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
