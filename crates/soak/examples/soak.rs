//! Runs schedules of consecutive seeds for a limited time and prints a verdict for each.

use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bpaf::Bpaf;
use soak::prelude::*;
use tokio::task::JoinSet;

/// Runs gateways under random faults, one run for each seed
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct SoakArguments {
    /// The most runs
    #[bpaf(argument("COUNT"), fallback(10), display_fallback)]
    seeds: u64,
    /// The time in seconds after which no further run is started
    #[bpaf(argument("SECONDS"), fallback(600), display_fallback)]
    seconds: u64,
    /// The first seed; the others are the numbers after it. Taken from the clock if absent
    #[bpaf(argument("SEED"), optional)]
    first: Option<u64>,
    /// The number of runs at the same time
    #[bpaf(argument("COUNT"), fallback(1), display_fallback)]
    parallel: usize,
    /// The name of a mechanism to disable in the gateways
    #[bpaf(argument("NAME"), optional)]
    without: Option<String>,
    /// Print every schedule, not only those of runs that broke a promise
    show: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = soak_arguments().run();
    let started = Instant::now();
    let limit = Duration::from_secs(arguments.seconds);
    let first = arguments.first.unwrap_or_else(|| {
        // A clock before 1970 gives the seed 0.
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
    });
    let mut seeds = (0..arguments.seeds).map(|index| first.wrapping_add(index));
    let mut runs = JoinSet::new();
    let (mut kept, mut broken, mut failed) = (0, 0, 0);
    loop {
        while runs.len() < arguments.parallel.max(1) && started.elapsed() < limit {
            let Some(seed) = seeds.next() else { break };
            let disabled = arguments.without.clone();
            let plan = RunPlan { schedule: FaultSchedule::draw(seed), disabled };
            runs.spawn(async move { run(&plan).await });
        }
        let Some(joined) = runs.join_next().await else { break };
        match joined {
            Ok(Ok(verdict)) => {
                println!("{verdict}");
                for promise in &verdict.broken {
                    println!("  {promise}");
                }
                if arguments.show || !verdict.is_kept() {
                    print!("{}", verdict.schedule);
                }
                kept += u32::from(verdict.is_kept());
                broken += u32::from(!verdict.is_kept());
            }
            Ok(Err(error)) => {
                println!("a run could not be completed: {error}");
                failed += 1;
            }
            Err(error) => {
                println!("a run panicked or was cancelled: {error}");
                failed += 1;
            }
        }
    }
    println!("{kept} kept, {broken} broken, {failed} not made");
    if broken + failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
