//! `demo`: runs the deployments of both users in this process, under load.

mod cluster;
mod deployment;
mod report;

use bpaf::Bpaf;
use load::prelude::*;
use snafu::ResultExt;

use crate::demo::cluster::DemoCluster;
use crate::demo::deployment::DemoDeployment;
pub use crate::demo::report::{DemoReport, DeploymentReport, FaultCounts, ProbeCost};
use crate::error::{CtlError, RuntimeSnafu};
use crate::output::{self, OutputArguments, output_arguments};

/// Measured seconds of each deployment. With warm-up and timeouts, both together take less than
/// 30 s.
const DEFAULT_SECONDS: f64 = 8.0;
/// Maximum of the measured seconds of each deployment, with which both still take less than 30 s.
const MAX_SECONDS: f64 = 10.0;
/// Time for connections to be opened and for estimates to converge.
const WARM_UP_MS: u64 = 500;
/// Timeout of a call, longer than a call can wait in the queues of the demo.
const CALL_TIMEOUT_MS: u64 = 3000;
/// Threads of the event loop that runs the upstreams and the platform.
const STAND_THREADS: usize = 3;
const SEED: u64 = 1;

/// The arguments of `demo`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct DemoArguments {
    #[bpaf(external)]
    pub(crate) output_arguments: OutputArguments,
    /// Measured seconds of each deployment
    #[bpaf(
        long,
        argument("SECONDS"),
        fallback(DEFAULT_SECONDS),
        guard(is_valid_duration, "the duration must be above 0 and at most 10 seconds"),
        hide
    )]
    seconds: f64,
}

fn is_valid_duration(seconds: &f64) -> bool {
    *seconds > 0.0 && *seconds <= MAX_SECONDS
}

/// Runs one deployment after the other.
///
/// # Errors
///
/// Fails if the system cannot create the event loop, or if a part of the demo does not start or
/// stops early.
pub fn run(arguments: &DemoArguments) -> Result<DemoReport, CtlError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(STAND_THREADS)
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    let deployments = DemoDeployment::all()
        .iter()
        .map(|deployment| runtime.block_on(measure(deployment, arguments.seconds)))
        .collect::<Result<_, _>>()?;
    Ok(DemoReport { deployments })
}

async fn measure(deployment: &DemoDeployment, seconds: f64) -> Result<DeploymentReport, CtlError> {
    let cluster = DemoCluster::start(deployment).await?;
    let (gates, upstreams) = (cluster.gates.len(), cluster.upstreams.len());
    output::progress(format_args!(
        "{}: {gates} gateways, {upstreams} upstreams with noisy neighbours, {} calls/s for {seconds} s",
        deployment.name, deployment.rate
    ));
    let plan = LoadPlan {
        targets: cluster.gates.iter().map(|gate| gate.caller_address).collect(),
        rate: RateShape::Constant { per_second: deployment.rate },
        seed: SEED,
        connections: 128,
        warm_up_ms: WARM_UP_MS,
        duration_ms: (seconds * 1000.0) as u64,
        timeout_ms: CALL_TIMEOUT_MS,
        mix: deployment.mix.clone(),
        ..LoadPlan::default()
    };
    // The load generator blocks its thread, and the upstreams need the threads of the event loop.
    let load = tokio::task::spawn_blocking(move || load::run::run(&plan)).await;
    let load = load.map_err(|error| CtlError::DemoStopped { reason: error.to_string() })??;
    Ok(DeploymentReport::new(deployment, &cluster, load))
}
