//! `load`: sends open-loop load to running gateways.

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

/// The arguments of `load`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct LoadArguments {
    #[bpaf(external)]
    pub(crate) output_arguments: OutputArguments,
    /// Caller address of a gateway; repeat it to spread the load evenly. Replaces those of the plan
    #[bpaf(long, argument("ADDRESS"), many)]
    target: Vec<SocketAddr>,
    #[bpaf(external)]
    load_source: LoadSource,
    /// Calls per second over all gateways. Replaces the rate of the plan
    #[bpaf(long, argument("CALLS"), optional)]
    rate: Option<f64>,
    /// Duration of the measurement. Replaces that of the plan
    #[bpaf(long, argument("SECONDS"), optional)]
    seconds: Option<f64>,
    /// Seed of arrival times, mix, paths and nonces. Replaces that of the plan
    #[bpaf(long, argument("NUMBER"), optional)]
    seed: Option<u64>,
}

/// The source of the requests: a mix or a plan.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
enum LoadSource {
    Mix {
        /// A predefined mix: almaty or viti
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
    named_mix(&name).ok_or_else(|| format!("unknown mix {name:?}; use almaty or viti"))
}

/// The report of a load run.
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
    /// Checks that no caller got an answer to another call or an answer of the wrong length.
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

/// Sends the calls and returns the report after the last call has ended.
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
            LoadSource::Mix { mix } => LoadPlan {
                mix: mix.clone(),
                key_prefix: unique_key_prefix(),
                ..LoadPlan::default()
            },
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

/// Returns a prefix of idempotency keys that no other run uses. With equal keys, gateways would
/// treat the calls of a later run as repeats of those of an earlier one.
fn unique_key_prefix() -> SharedName {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    SharedName::from(format!("{}-{:x}", std::process::id(), now.as_nanos()))
}
