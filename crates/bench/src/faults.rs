//! Recovery of a whole deployment from faults.

use std::thread;
use std::time::{Duration, Instant};

use load::prelude::*;

use crate::error::BenchError;
use crate::figure::{FigureBound, FigureSheet, median};
use crate::fleet::{LOAD_SHARE, RunningFleet};
use crate::site::{SiteMap, VITI};

/// The deployment. Its low rate leaves room for the overload on one machine.
const SITE: SiteMap = VITI;
const POLICY: &str = "expected-cost";
const SEED: u64 = 7;
/// Seconds of ordinary load before a fault.
const BEFORE: usize = 4;
/// Seconds of ordinary load that are left out, because connections and evidence are new.
const SETTLING: usize = 1;
/// Seconds that are observed after a fault has ended.
const AFTER: usize = 8;
/// The overload is this many times the ordinary load.
const OVERLOAD: f64 = 3.0;
/// Length of the overload in seconds.
const OVERLOAD_SECONDS: usize = 10;
/// Time in which p99 is back after the overload (design page, 5.3), in seconds.
const RECOVERY_SECONDS: f64 = 5.0;
/// p99 is back when it is at most this many times its median before the fault. The p99 of one
/// second without a fault varies by less.
const BACK_MULTIPLE: f64 = 1.5;
/// Time after which a leaving upstream receives no new request (design page, 1.2), in seconds.
const DRAIN_SECONDS: usize = 3;
/// Seconds for which a data centre is gone.
const OUTAGE_SECONDS: usize = 4;
const WINDOW: Duration = Duration::from_secs(1);

/// The results of each second of a run.
type WindowReports = Vec<RowFigures>;

/// Runs and prints all faults.
///
/// # Errors
///
/// Fails if a process or the load generator does not run.
pub fn run(sheet: &mut FigureSheet) -> Result<(), BenchError> {
    fail_fast(sheet)?;
    drain(sheet)?;
    outage(sheet)?;
    overload(sheet)
}

/// One upstream answers every request with 500 at once.
fn fail_fast(sheet: &mut FigureSheet) -> Result<(), BenchError> {
    let fleet = RunningFleet::start(SITE, POLICY, SEED)?;
    let windows = timeline(&fleet, BEFORE + AFTER, |second| match second {
        BEFORE => fleet.change(0, r#"{"mode":"fail_fast"}"#),
        _ => Ok(()),
    })?;
    print_recovery("faults.fail-fast", &windows, BEFORE, FigureBound::None, sheet);
    Ok(())
}

/// One upstream leaves, and the document still lists it.
fn drain(sheet: &mut FigureSheet) -> Result<(), BenchError> {
    let fleet = RunningFleet::start(SITE, POLICY, SEED)?;
    let mut arrived = Vec::new();
    let windows = timeline(&fleet, BEFORE + AFTER, |second| {
        if second == BEFORE {
            fleet.change(0, r#"{"drain":{"health_fails_after_ms":1000,"grace_ms":60000}}"#)?;
        }
        if second == BEFORE + DRAIN_SECONDS || second == BEFORE + AFTER - 1 {
            arrived.push(fleet.counts()?[0].arrived_draining);
        }
        Ok(())
    })?;
    print_recovery("faults.drain", &windows, BEFORE, FigureBound::None, sheet);
    let late = arrived.last().unwrap_or(&0) - arrived.first().unwrap_or(&0);
    sheet.print("faults.drain.late-requests", late as f64, "calls", FigureBound::AtMost(0.0));
    Ok(())
}

/// All upstreams of one data centre crash and come back.
fn outage(sheet: &mut FigureSheet) -> Result<(), BenchError> {
    let fleet = RunningFleet::start(SITE, POLICY, SEED)?;
    let lost = || (0..SITE.upstreams()).filter(|index| SITE.centre(*index) == SITE.centres[0]);
    let patch = format!(r#"{{"restart_ms":{}}}"#, OUTAGE_SECONDS * 1000);
    let end = BEFORE + OUTAGE_SECONDS;
    let windows = timeline(&fleet, end + AFTER, |second| {
        if second == BEFORE {
            for upstream in lost() {
                fleet.change(upstream, &patch)?;
                fleet.crash(upstream)?;
            }
        }
        Ok(())
    })?;
    print_recovery("faults.outage", &windows, end, FigureBound::None, sheet);
    Ok(())
}

/// The load is threefold for 10 s.
fn overload(sheet: &mut FigureSheet) -> Result<(), BenchError> {
    let fleet = RunningFleet::start(SITE, POLICY, SEED)?;
    let end = BEFORE + OVERLOAD_SECONDS;
    let extra = RateShape::Constant { per_second: SITE.rate(LOAD_SHARE) * (OVERLOAD - 1.0) };
    let extra = LoadPlan {
        warm_up_ms: 0,
        ..fleet.load_plan(extra, OVERLOAD_SECONDS as u64 * 1000, SEED + 1)
    };
    let mut surge = None;
    let windows = timeline(&fleet, end + AFTER, |second| {
        if second == BEFORE {
            let plan = extra.clone();
            surge = Some(thread::spawn(move || load::run::run(&plan)));
        }
        Ok(())
    })?;
    let surge = surge.map(|surge| surge.join().unwrap_or(Err(LoadError::Panicked))).transpose()?;
    let bound = FigureBound::AtMost(RECOVERY_SECONDS);
    print_recovery("faults.overload", &windows, end, bound, sheet);
    let goodput = surge.map_or(0.0, |report| report.overall.goodput);
    sheet.print("faults.overload.extra-goodput", goodput, "calls/s", FigureBound::None);
    Ok(())
}

/// Loads the fleet for `seconds`, each of them as a run of its own that begins on time whether or
/// not the earlier ones have ended, and calls `event` at the start of each.
fn timeline(
    fleet: &RunningFleet,
    seconds: usize,
    mut event: impl FnMut(usize) -> Result<(), BenchError>,
) -> Result<WindowReports, BenchError> {
    let rate = RateShape::Constant { per_second: SITE.rate(LOAD_SHARE) };
    let start = Instant::now();
    let mut runs = Vec::with_capacity(seconds);
    for second in 0..seconds {
        let begin = start + WINDOW * second as u32;
        thread::sleep(begin.saturating_duration_since(Instant::now()));
        let length = WINDOW.as_millis() as u64;
        let plan = fleet.load_plan(rate.clone(), length, SEED + second as u64);
        let plan = LoadPlan { warm_up_ms: 0, ..plan };
        runs.push(thread::spawn(move || load::run::run(&plan)));
        event(second)?;
    }
    let join = |run: thread::JoinHandle<Result<LoadReport, LoadError>>| {
        run.join().unwrap_or(Err(LoadError::Panicked))
    };
    let reports = runs.into_iter().map(join).collect::<Result<Vec<_>, _>>()?;
    Ok(reports.into_iter().map(|report| report.overall).collect())
}

/// Prints the goodput before, during and after a fault, and the time from its end, in whole
/// seconds, until p99 stays as it was before.
fn print_recovery(
    name: &str,
    windows: &[RowFigures],
    end: usize,
    bound: FigureBound,
    sheet: &mut FigureSheet,
) {
    let goodput = |part: &[RowFigures]| median(part.iter().map(|window| window.goodput));
    let p99 = |part: &[RowFigures]| median(part.iter().map(|window| window.latency.p99_ms));
    let before = &windows[SETTLING..BEFORE];
    let base = p99(before);
    let limit = base * BACK_MULTIPLE;
    let slow = |window: &RowFigures| window.latency.p99_ms > limit || window.good == 0;
    let recovery = windows[end..].iter().rposition(slow).map_or(0, |last| last + 1);
    let failed: u64 = windows.iter().map(|window| window.errors.total()).sum();
    let wrong: u64 =
        windows.iter().map(|window| window.errors.wrong_nonce + window.errors.short_body).sum();
    let none = FigureBound::None;
    sheet.print(&format!("{name}.p99-before"), base, "ms", none);
    sheet.print(&format!("{name}.goodput-before"), goodput(before), "calls/s", none);
    if end > BEFORE {
        sheet.print(
            &format!("{name}.goodput-during"),
            goodput(&windows[BEFORE..end]),
            "calls/s",
            none,
        );
    }
    sheet.print(&format!("{name}.goodput-after"), goodput(&windows[end..]), "calls/s", none);
    sheet.print(&format!("{name}.recovery"), recovery as f64, "s", bound);
    sheet.print(&format!("{name}.failed"), failed as f64, "calls", none);
    sheet.print(&format!("{name}.wrong"), wrong as f64, "calls", FigureBound::AtMost(0.0));
}
