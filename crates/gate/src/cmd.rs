//! The command line and the start of the gateway process.
//!
//! Each step of the start is a module of the folder. None of them depends on this module.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use border::InterfaceKind;
use bpaf::Bpaf;
use gate::log::ProcessLog;
use gate::mechanism::Mechanism;
use gate::state::GateState;
use route::prelude::*;
use snafu::ResultExt;

use self::error::{GateError, RuntimeSnafu};
use self::options::RemoteCalls;

mod common;
mod error;
mod live;
mod native;
mod options;
mod platform;
mod ready;
mod signals;

/// Runs one gateway process.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct GateArguments {
    /// The settings of the process, a JSON file
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// An environment document to serve without a promotion, for trials on one machine
    #[bpaf(argument("FILE"), optional)]
    document: Option<PathBuf>,
    /// How upstreams are chosen: random, least-in-flight, two-choices, expected-cost or paced
    #[bpaf(argument("NAME"), optional, hide)]
    policy: Option<PolicyKind>,
    /// How many data centres the deployment must be able to lose at once
    #[bpaf(argument("COUNT"), fallback(0))]
    centre_losses: u32,
    /// Whether calls leave the data centre by the cost of each upstream (cost), or by a share of the
    /// calls that is computed from the load in and outside of it (share, the default if a data
    /// centre may be lost)
    #[bpaf(argument("NAME"), optional)]
    remote_calls: Option<RemoteCalls>,
    /// Turns a mechanism off, for tests only; may be given several times
    #[bpaf(argument("NAME"), many, hide)]
    without: Vec<Mechanism>,
}

/// Runs the gateway until a signal stops it.
pub fn run() -> ExitCode {
    let arguments = gate_arguments().run();
    match start(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("agateroad: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start(arguments: &GateArguments) -> Result<(), GateError> {
    let settings = options::read_settings(&arguments.settings)?;
    let mut log = ProcessLog::start(&settings);
    let path = arguments.settings.clone();
    let gate_options = options::gate_options(
        &settings,
        arguments.policy,
        RemoteCalls::chosen(arguments.remote_calls, arguments.centre_losses),
        arguments.without.clone(),
    );
    let state = match &arguments.document {
        Some(path) => GateState::new(gate_options, options::read_document(path)?),
        None => GateState::unconfigured(gate_options),
    };
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context(RuntimeSnafu)?;
    let state = Arc::new(state);
    let followed = arguments.document.is_none().then(|| settings.environment.clone());
    match settings.interface {
        InterfaceKind::Agateroad => {
            runtime.block_on(native::serve_native(&settings, state, followed, path, &mut log))
        }
        InterfaceKind::Platform => {
            runtime.block_on(platform::serve_platform(&settings, state, path, &mut log))
        }
    }
}
