//! Runs a plan.

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
use crate::lane::{CallLane, DueCall, LaneBook};
use crate::pace::PaceTimer;
use crate::plan::LoadPlan;
use crate::report::LoadReport;
use crate::tally::{KindTally, merge_all};

/// Time for the threads to set themselves up before the first call.
const SET_UP: Duration = Duration::from_millis(20);
/// Bits of a nonce that count the calls of one thread.
const NONCE_BITS: u32 = 40;

/// Runs a plan and returns when every call has ended. Blocks the calling thread; the calls are made
/// by threads of their own.
///
/// # Errors
///
/// Fails if the plan is invalid or a thread cannot start. Failed calls are counted instead.
pub fn run(plan: &LoadPlan) -> Result<LoadReport, LoadError> {
    plan.validate()?;
    let kinds =
        plan.mix.iter().map(|kind| PreparedKind::new(plan, kind)).collect::<Result<Vec<_>, _>>()?;
    let start = Instant::now() + SET_UP;
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
    let book = Rc::new(LaneBook {
        kinds,
        timeout: plan.timeout(),
        send_within: plan.send_within(),
        tallies: RefCell::new(tallies),
    });
    let local = LocalSet::new();
    local.block_on(&runtime, drive(plan, book.clone(), thread, start))?;
    Ok(book.tallies.take())
}

async fn drive(
    plan: &LoadPlan,
    book: Rc<LaneBook>,
    thread: usize,
    start: Instant,
) -> Result<(), LoadError> {
    let limit = share(plan.connections, plan.threads, thread);
    let mut lanes: Vec<_> =
        plan.targets.iter().map(|target| CallLane::new(*target, limit, book.clone())).collect();
    let mut timer = PaceTimer::new().context(ThreadSnafu)?;
    let mut random = RandomSource::from_seed(plan.seed.wrapping_add(thread as u64));
    let choice = WeightTable::new(plan);
    let salt = nonce_salt(plan.seed, thread);
    let warm_up = Duration::from_millis(plan.warm_up_ms);
    for (index, time) in ArrivalSchedule::new(plan, thread).enumerate() {
        let intended = start + time;
        timer.wait_until(intended).await.context(ThreadSnafu)?;
        let kind = choice.choose(&mut random);
        let spread = book.kinds[kind].spread();
        // The first target differs from thread to thread, so that short runs are even too.
        lanes[(index + thread) % plan.targets.len()].push(DueCall {
            intended,
            kind,
            nonce: salt.wrapping_add(index as u64),
            number: if spread > 1 { random.next_u64() % spread } else { 0 },
            measured: time >= warm_up,
        });
    }
    for lane in lanes {
        lane.finish().await;
    }
    Ok(())
}

/// Returns the first nonce of a thread. Threads count in ranges of their own, and runs with
/// different seeds start at different places.
fn nonce_salt(seed: u64, thread: usize) -> u64 {
    RandomSource::from_seed(seed).next_u64().wrapping_add((thread as u64) << NONCE_BITS)
}

/// Returns the part of `total` that falls to one of `parts`, at least one.
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
