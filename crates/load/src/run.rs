//! Runs a load plan on several threads and merges their results.

use std::cell::RefCell;
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

use base::prelude::*;
use snafu::ResultExt;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use crate::arrival::ArrivalSchedule;
use crate::call::PreparedKind;
use crate::error::{LoadError, ThreadSnafu};
use crate::plan::LoadPlan;
use crate::pool::{DueCall, PoolContext, WorkerPool};
use crate::report::LoadReport;
use crate::tally::{KindTally, merge_all};
use crate::timer::ArrivalTimer;

/// Time for starting the threads before the first call.
const SETUP_TIME: Duration = Duration::from_millis(20);
/// Bits of a nonce that count the calls of one thread.
const NONCE_BITS: u32 = 40;

/// Runs a plan and returns when every call has ended. Blocks the calling thread; the calls are made
/// by other threads.
///
/// # Errors
///
/// Fails if the plan is invalid or a thread cannot start. Failed calls are counted instead.
pub fn run(plan: &LoadPlan) -> Result<LoadReport, LoadError> {
    plan.validate()?;
    let kinds =
        plan.mix.iter().map(|kind| PreparedKind::new(plan, kind)).collect::<Result<Vec<_>, _>>()?;
    let start = Instant::now() + SETUP_TIME;
    let parts = thread::scope(|scope| {
        let handles: Vec<_> = (0..plan.threads)
            .map(|thread| {
                let kinds = kinds.clone();
                scope.spawn(move || generate(plan, kinds, thread, start))
            })
            .collect();
        handles
            .into_iter()
            .map(|handle| handle.join().unwrap_or(Err(LoadError::Panicked)))
            .collect::<Result<Vec<_>, _>>()
    })?;
    let mut total: Vec<_> = kinds.iter().map(|_| KindTally::new()).collect();
    for part in &parts {
        merge_all(&mut total, part);
    }
    Ok(LoadReport::new(plan, &total))
}

/// Makes the calls of one thread.
fn generate(
    plan: &LoadPlan,
    kinds: Vec<PreparedKind>,
    thread: usize,
    start: Instant,
) -> Result<Vec<KindTally>, LoadError> {
    let runtime = Builder::new_current_thread().enable_all().build().context(ThreadSnafu)?;
    let tallies = kinds.iter().map(|_| KindTally::new()).collect();
    let context = Rc::new(PoolContext {
        kinds,
        timeout: plan.timeout(),
        send_within: plan.send_within(),
        tallies: RefCell::new(tallies),
    });
    let local = LocalSet::new();
    local.block_on(&runtime, send_calls(plan, context.clone(), thread, start))?;
    Ok(context.tallies.take())
}

async fn send_calls(
    plan: &LoadPlan,
    context: Rc<PoolContext>,
    thread: usize,
    start: Instant,
) -> Result<(), LoadError> {
    let limit = share(plan.connections, plan.threads, thread);
    let mut pools: Vec<_> = plan
        .targets
        .iter()
        .map(|target| WorkerPool::new(*target, limit, context.clone()))
        .collect();
    let mut timer = ArrivalTimer::new().context(ThreadSnafu)?;
    let mut random = RandomSource::from_seed(plan.seed.wrapping_add(thread as u64));
    let weights = WeightTable::new(plan);
    let first_nonce = first_nonce(plan.seed, thread);
    let warm_up = Duration::from_millis(plan.warm_up_ms);
    for (index, time) in ArrivalSchedule::new(plan, thread).enumerate() {
        let intended = start + time;
        timer.wait_until(intended).await.context(ThreadSnafu)?;
        let kind = weights.choose(&mut random);
        let spread = context.kinds[kind].spread();
        // The first target differs between threads, so that the load of short runs is even too.
        pools[(index + thread) % plan.targets.len()].push(DueCall {
            intended,
            kind,
            nonce: first_nonce.wrapping_add(index as u64),
            number: if spread > 1 { random.next_u64() % spread } else { 0 },
            measured: time >= warm_up,
        });
    }
    for pool in pools {
        pool.finish().await;
    }
    Ok(())
}

/// Returns the first nonce of a thread. Threads count in separate ranges, and runs with different
/// seeds start at different numbers.
fn first_nonce(seed: u64, thread: usize) -> u64 {
    RandomSource::from_seed(seed).next_u64().wrapping_add((thread as u64) << NONCE_BITS)
}

/// Returns the part with this index of `total` divided evenly into `parts`, at least one.
fn share(total: usize, parts: usize, index: usize) -> usize {
    (total / parts + usize::from(index < total % parts)).max(1)
}

/// Chooses request kinds by their weights.
#[derive(Debug)]
struct WeightTable {
    sums: Vec<u64>,
}

impl WeightTable {
    fn new(plan: &LoadPlan) -> Self {
        let sums = plan.mix.iter().scan(0, |sum, kind| {
            *sum += u64::from(kind.weight);
            Some(*sum)
        });
        Self { sums: sums.collect() }
    }

    fn choose(&self, random: &mut RandomSource) -> usize {
        let total = self.sums.last().copied().unwrap_or(1);
        let drawn = random.next_u64() % total.max(1);
        self.sums.partition_point(|sum| *sum <= drawn)
    }
}
