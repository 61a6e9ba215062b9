//! `load`: open-loop load on running gateways.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

use base::prelude::*;
use bpaf::Bpaf;
use load::prelude::*;
use serde::Serialize;
use snafu::{ResultExt, ensure};

use crate::error::{CtlError, FaultySnafu, ReadPlanSnafu};
use crate::file;
use crate::output::{self, OutputArguments, output_arguments};

const MILLIS_PER_SECOND: f64 = 1000.0;

/// Arguments of `load`.
#[derive(Bpaf, Clone, Debug)]
pub struct LoadArguments {
    #[bpaf(external)]
    pub(crate) output_arguments: OutputArguments,
    /// Caller address of a gateway; repeat it to share the load evenly. Replaces those of the plan
    #[bpaf(long, argument("ADDRESS"), many)]
    target: Vec<SocketAddr>,
    #[bpaf(external)]
    load_source: LoadSource,
    /// Calls a second over all gateways. Replaces the rate of the plan
    #[bpaf(long, argument("CALLS"), optional)]
    rate: Option<f64>,
    /// Length of the measurement. Replaces that of the plan
    #[bpaf(long, argument("SECONDS"), optional)]
    seconds: Option<f64>,
    /// Seed of arrival times, mix, paths and nonces. Replaces that of the plan
    #[bpaf(long, argument("NUMBER"), optional)]
    seed: Option<u64>,
}

/// Where the kinds of requests come from.
#[derive(Bpaf, Clone, Debug)]
enum LoadSource {
    Mix {
        /// A ready-made mix: almaty or viti
        #[bpaf(long("mix"), argument::<String>("NAME"), complete(complete_mix), parse(parse_mix))]
        mix: Vec<RequestKind>,
    },
    Plan {
        /// A load plan, a JSON file
        #[bpaf(long("plan"), argument("FILE"))]
        plan: PathBuf,
    },
}

fn complete_mix(_: &String) -> Vec<(&'static str, Option<&'static str>)> {
    vec![("almaty", Some("phase lookups and bookings")), ("viti", Some("tree counts and pledges"))]
}

fn parse_mix(name: String) -> Result<Vec<RequestKind>, String> {
    named_mix(&name).ok_or_else(|| format!("{name:?} is not a mix; use almaty or viti"))
}

/// The result of a run.
#[derive(Clone, Debug)]
#[derive(Serialize)]
#[serde(transparent)]
pub struct LoadResult {
    report: LoadReport,
}

impl fmt::Display for LoadResult {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.report.fmt(formatter)
    }
}

impl LoadResult {
    /// Returns an error if a caller got an answer that was not for it, or a part of one.
    ///
    /// # Errors
    ///
    /// Fails with the number of wrong answers.
    pub fn verify(&self) -> Result<(), CtlError> {
        let errors = &self.report.overall.errors;
        let wrong = errors.wrong_nonce + errors.short_body;
        ensure!(wrong == 0, FaultySnafu { faults: format!("callers got {wrong} wrong answers") });
        Ok(())
    }
}

/// Makes the calls and returns when all of them have ended.
///
/// # Errors
///
/// Fails if the plan cannot be read or run.
pub fn run(arguments: &LoadArguments) -> Result<LoadResult, CtlError> {
    let plan = arguments.to_plan()?;
    let seconds = plan.duration_ms as f64 / MILLIS_PER_SECOND;
    output::progress(format_args!("sending load for {seconds} s"));
    Ok(LoadResult { report: load::run::run(&plan)? })
}

impl LoadArguments {
    fn to_plan(&self) -> Result<LoadPlan, CtlError> {
        let mut plan = match &self.load_source {
            LoadSource::Mix { mix } => {
                LoadPlan { mix: mix.clone(), key_prefix: run_prefix(), ..LoadPlan::default() }
            }
            LoadSource::Plan { plan: path } => {
                serde_json::from_slice(&file::read(path)?).context(ReadPlanSnafu { path })?
            }
        };
        if !self.target.is_empty() {
            plan.targets.clone_from(&self.target);
        }
        if let Some(per_second) = self.rate {
            plan.rate = RateShape::Constant { per_second };
        }
        if let Some(seconds) = self.seconds {
            plan.duration_ms = (seconds * MILLIS_PER_SECOND) as u64;
        }
        plan.seed = self.seed.unwrap_or(plan.seed);
        Ok(plan)
    }
}

/// Returns a start of keys that no other run uses, so that no run repeats the work of another.
fn run_prefix() -> SharedName {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    SharedName::from(format!("{}-{:x}", std::process::id(), now.as_nanos()))
}
