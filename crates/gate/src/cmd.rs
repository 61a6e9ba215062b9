//! The command line of the gateway.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use base::prelude::*;
use border::{DocumentError, LogFormat, LogLevel, ProcessSettings, SettingsError, SharedSecret};
use bpaf::Bpaf;
use gate::access::{AccessOptions, PlatformAccess};
use gate::event;
use gate::leave;
use gate::observe::ObserveServer;
use gate::options::GateOptions;
use gate::process::RunningGate;
use gate::state::GateState;
use peer::prelude::*;
use route::prelude::*;
use snafu::{ResultExt, Snafu};
use store::prelude::HttpSettings;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tracing_subscriber::EnvFilter;
use world::prelude::*;

/// The version of a document that is read from a file and was never promoted.
const FILE_VERSION: u64 = 1;

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
    /// How upstreams are chosen: random, least-in-flight, two-choices or expected-cost
    #[bpaf(argument("NAME"), fallback(PolicyKind::default()), hide)]
    policy: PolicyKind,
}

/// Why the gateway did not start or stopped.
#[derive(Debug, Snafu)]
enum GateError {
    #[snafu(display("could not read {}; check the path: {source}", path.display()))]
    ReadFile { path: PathBuf, source: std::io::Error },
    #[snafu(display("could not load {}: {source}", path.display()))]
    Settings { path: PathBuf, source: SettingsError },
    #[snafu(display("could not load {}: {source}", path.display()))]
    Document { path: PathBuf, source: DocumentError },
    #[snafu(display(
        "could not start the listeners; check that their addresses are free: {source}"
    ))]
    Listen { source: std::io::Error },
    #[snafu(display("could not set up the process: {source}"))]
    Runtime { source: std::io::Error },
}

/// Runs the gateway until it is told to stop.
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
    let settings = read_settings(&arguments.settings)?;
    start_log(&settings);
    let options = GateOptions::from_settings(&settings, arguments.policy);
    let state = match &arguments.document {
        Some(path) => GateState::new(options, read_document(path)?),
        None => GateState::unconfigured(options),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    let followed = arguments.document.is_none().then(|| settings.environment.clone());
    runtime.block_on(serve(&settings, Arc::new(state), followed))
}

/// Serves until a signal and leaves. A second signal ends the process at once.
async fn serve(
    settings: &ProcessSettings,
    state: Arc<GateState>,
    followed: Option<SharedName>,
) -> Result<(), GateError> {
    let mut signals = StopSignals::listen().context(RuntimeSnafu)?;
    let observe = ObserveServer::start(Arc::clone(&state), settings.metrics_address);
    let observe = observe.await.context(ListenSnafu)?;
    let gate = RunningGate::start(Arc::clone(&state)).context(ListenSnafu)?;
    let counts = Arc::new(ControlCounts::default());
    let platform = PlatformAccess::start(&state, access_options(settings, followed, &counts));
    let control = platform.control(&state);
    let address = settings.control_address;
    let control = ControlServer::start(address, secret_table(settings), counts, control);
    let control = control.await.context(ListenSnafu)?;
    platform.announce(control.address);
    let address = gate.caller_address;
    tracing::info!(event = event::STARTED, vm = %settings.vm_name, %address, "started");
    let ready = serde_json::json!({
        "caller_address": address,
        "control_address": control.address,
        "metrics_address": observe.address,
    });
    println!("{ready}");
    signals.next().await;
    tokio::select! {
        () = leave::leave(&gate, platform, settings.timeouts.leave) => {}
        () = signals.next() => {
            tracing::warn!(event = event::DRAIN_ABANDONED, "a second signal ends the process");
        }
    }
    tracing::info!(event = event::STOPPED, vm = %settings.vm_name, "stopped");
    Ok(())
}

fn access_options(
    settings: &ProcessSettings,
    environment: Option<SharedName>,
    counts: &Arc<ControlCounts>,
) -> AccessOptions {
    let store = HttpSettings::new(settings.platform_address, rand::random());
    // The settings have at least one peer secret, and the first one signs.
    let secret = settings.peer_secrets.first().map_or("", SharedSecret::as_str);
    let client = PeerClient::new(secret, settings.timeouts.peer, Arc::clone(counts));
    AccessOptions { store, environment, client }
}

fn secret_table(settings: &ProcessSettings) -> SecretTable {
    let peers = settings.peer_secrets.iter().map(SharedSecret::as_str);
    SecretTable::new(peers, settings.operator_secrets.iter().map(SharedSecret::as_str))
}

fn read_settings(path: &PathBuf) -> Result<ProcessSettings, GateError> {
    let bytes = std::fs::read(path).context(ReadFileSnafu { path })?;
    border::load_settings(&bytes).context(SettingsSnafu { path })
}

fn read_document(path: &PathBuf) -> Result<EnvironmentMap, GateError> {
    let bytes = std::fs::read(path).context(ReadFileSnafu { path })?;
    border::load_document(&bytes, FILE_VERSION).context(DocumentSnafu { path })
}

fn start_log(settings: &ProcessSettings) {
    let level = match settings.log_level {
        LogLevel::Error => "error",
        LogLevel::Warn => "warn",
        LogLevel::Info => "info",
        LogLevel::Debug => "debug",
        LogLevel::Trace => "trace",
    };
    // The HTTP library logs each connection; its level stays fixed.
    let filter = EnvFilter::new(format!("{level},xitca_server=warn,xitca_http=error"));
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match settings.log_format {
        LogFormat::Json => log.json().init(),
        LogFormat::Text => log.init(),
    }
}

/// The signals that ask the process to stop.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn listen() -> std::io::Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        Ok(Self { terminate, interrupt: signal(SignalKind::interrupt())? })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
