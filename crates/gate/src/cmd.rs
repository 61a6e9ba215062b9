//! The command line of the gateway.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use base::prelude::*;
use border::{
    DocumentError, InterfaceKind, LogFormat, LogLevel, ProcessSettings, SettingsError, SharedSecret,
};
use bpaf::Bpaf;
use directory::prelude::*;
use gate::access::{AccessOptions, PlatformAccess};
use gate::control::GateControl;
use gate::discovery::{BoundsHandle, DiscoveryOptions, DiscoveryTasks};
use gate::event;
use gate::exchange::ExchangeOptions;
use gate::leave;
use gate::mechanism::Mechanism;
use gate::observe::ObserveServer;
use gate::options::{CallTuning, GateOptions};
use gate::peers::PeerLink;
use gate::probe::PROBE_COST;
use gate::process::RunningGate;
use gate::reload::{SettingsTarget, SettingsWatch};
use gate::state::GateState;
use peer::prelude::*;
use platform::PlatformCodec;
use route::prelude::*;
use snafu::{ResultExt, Snafu};
use store::prelude::HttpSettings;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::task::AbortOnDropHandle;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Registry, reload};
use world::prelude::*;

/// Gateway VMs that may run at once, until more are known. A quarter more than the largest
/// deployment of 15 VMs.
const VM_CEILING: u32 = 19;
/// The part of the allowed health checks that VMs make. The rest is for VMs that are not known yet.
const PROBE_MARGIN: f64 = 0.9;
/// Calls of a service that may wait on one VM: several times what one VM gets in a second.
const QUEUE_LIMIT: u32 = 200;
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
    /// How upstreams are chosen: random, least-in-flight, two-choices, expected-cost or paced
    #[bpaf(argument("NAME"), optional, hide)]
    policy: Option<PolicyKind>,
    /// Turns a mechanism off, for tests only: drain, at-most-once, foreign-answer, graceful-stop or
    /// version-order
    #[bpaf(argument("NAME"), optional, hide)]
    without: Option<Mechanism>,
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
    let log = start_log(&settings);
    let path = arguments.settings.clone();
    let options = gate_options(&settings, arguments);
    let state = match &arguments.document {
        Some(path) => GateState::new(options, read_document(path)?),
        None => GateState::unconfigured(options),
    };
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context(RuntimeSnafu)?;
    let state = Arc::new(state);
    let followed = arguments.document.is_none().then(|| settings.environment.clone());
    match settings.interface {
        InterfaceKind::Agateroad => {
            let reload = LiveSettings { log, bounds: None };
            runtime.block_on(serve_native(&settings, state, followed, path, reload))
        }
        InterfaceKind::Platform => runtime.block_on(serve_platform(&settings, state, path, log)),
    }
}

fn gate_options(settings: &ProcessSettings, arguments: &GateArguments) -> GateOptions {
    let native = settings.interface == InterfaceKind::Agateroad;
    let usual =
        if native { PolicyKind::default() } else { PolicyKind::Paced(PacedChoice::default()) };
    let tuning = if native { CallTuning::default() } else { CallTuning::shared_machines() };
    let options = GateOptions::from_settings(settings, arguments.policy.unwrap_or(usual));
    GateOptions { tuning: CallTuning { without: arguments.without, ..tuning }, ..options }
}

/// Serves the product's own interface until a signal and leaves.
async fn serve_native(
    settings: &ProcessSettings,
    state: Arc<GateState>,
    followed: Option<SharedName>,
    path: PathBuf,
    reload: LiveSettings,
) -> Result<(), GateError> {
    let watch = SettingsWatch::new(path, settings.clone(), reload).context(RuntimeSnafu)?;
    let _watch = AbortOnDropHandle::new(tokio::spawn(watch.run()));
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
    announce(settings, &gate, &control, &observe);
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

/// Serves the interface of the users' platform until a signal and leaves.
async fn serve_platform(
    settings: &ProcessSettings,
    state: Arc<GateState>,
    path: PathBuf,
    log: LogHandle,
) -> Result<(), GateError> {
    let mut signals = StopSignals::listen().context(RuntimeSnafu)?;
    let observe = ObserveServer::start(Arc::clone(&state), settings.metrics_address);
    let observe = observe.await.context(ListenSnafu)?;
    let gate = RunningGate::start_with::<PlatformCodec>(Arc::clone(&state)).context(ListenSnafu)?;
    let link = Arc::new(PeerLink::new(settings.vm_name.clone()));
    let counts = Arc::new(ControlCounts::default());
    let control = GateControl {
        state: Arc::clone(&state),
        link: Arc::clone(&link),
        follower: Arc::default(),
    };
    let address = settings.control_address;
    let server_counts = Arc::clone(&counts);
    let control = ControlServer::start(address, secret_table(settings), server_counts, control);
    let control = control.await.context(ListenSnafu)?;
    let options = discovery_options(settings, &state, control.address, counts, link);
    let discovery = DiscoveryTasks::start(&state, options).await.context(ListenSnafu)?;
    let reload = LiveSettings { log, bounds: Some(discovery.bounds()) };
    let watch = SettingsWatch::new(path, settings.clone(), reload).context(RuntimeSnafu)?;
    let _watch = AbortOnDropHandle::new(tokio::spawn(watch.run()));
    announce(settings, &gate, &control, &observe);
    signals.next().await;
    tokio::select! {
        () = leave::leave_within(&gate, settings.timeouts.leave, settings.fleet.stop_limit) => {}
        () = signals.next() => {
            tracing::warn!(event = event::DRAIN_ABANDONED, "a second signal ends the process");
        }
    }
    drop(discovery);
    tracing::info!(event = event::STOPPED, vm = %settings.vm_name, "stopped");
    Ok(())
}

/// Tells where the process listens, in the log and as one line of JSON.
fn announce(
    settings: &ProcessSettings,
    gate: &RunningGate,
    control: &ControlServer,
    observe: &ObserveServer,
) {
    let address = gate.caller_address;
    tracing::info!(event = event::STARTED, vm = %settings.vm_name, %address, "started");
    let ready = serde_json::json!({
        "caller_address": address,
        "control_address": control.address,
        "metrics_address": observe.address,
    });
    println!("{ready}");
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

fn discovery_options(
    settings: &ProcessSettings,
    state: &GateState,
    control_address: SocketAddr,
    counts: Arc<ControlCounts>,
    link: Arc<PeerLink>,
) -> DiscoveryOptions {
    let AccessOptions { store, client, .. } = access_options(settings, None, &counts);
    let exchange_address = settings.exchange_address.unwrap_or(settings.control_address);
    let own = VmEntry { vm: state.options.vm.clone(), exchange_address, control_address };
    let secrets = settings.peer_secrets.iter().map(|own| SharedName::from(own.as_str()));
    DiscoveryOptions {
        store: HttpSettings { call_timeout: settings.timeouts.platform, ..store },
        bounds: fleet_bounds(settings),
        exchange: ExchangeOptions { own, secrets: secrets.collect() },
        client,
        link,
    }
}

fn fleet_bounds(settings: &ProcessSettings) -> FleetBounds {
    let fleet = &settings.fleet;
    FleetBounds {
        name: settings.environment.clone(),
        centres: settings.centres.clone(),
        links: centre_links(&settings.centres, settings.centre_latency),
        vm_ceiling: VM_CEILING,
        retry_window: fleet.retry,
        probe_rate: fleet.probe_rate * PROBE_MARGIN,
        probe_cost: PROBE_COST,
        queue_limit: QUEUE_LIMIT,
    }
}

/// Returns links between all data centres, with the same latency each.
fn centre_links(centres: &[DataCentre], one_way: ClockSpan) -> Vec<LinkCost> {
    let pairs = centres.iter().enumerate().flat_map(|(index, from)| {
        centres[index + 1..].iter().map(move |to| (from.name.clone(), to.name.clone()))
    });
    pairs.map(|(from, to)| LinkCost { from, to, one_way }).collect()
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

/// Changes the level of the log.
type LogHandle = reload::Handle<EnvFilter, Registry>;

fn start_log(settings: &ProcessSettings) -> LogHandle {
    let (filter, handle) = reload::Layer::new(log_filter(settings));
    let log = tracing_subscriber::fmt::layer().with_writer(std::io::stderr);
    let registry = tracing_subscriber::registry().with(filter);
    match settings.log_format {
        LogFormat::Json => registry.with(log.json()).init(),
        LogFormat::Text => registry.with(log).init(),
    }
    handle
}

fn log_filter(settings: &ProcessSettings) -> EnvFilter {
    let level = match settings.log_level {
        LogLevel::Error => "error",
        LogLevel::Warn => "warn",
        LogLevel::Info => "info",
        LogLevel::Debug => "debug",
        LogLevel::Trace => "trace",
    };
    // The HTTP library logs each connection; its level stays fixed.
    EnvFilter::new(format!("{level},hyper=error"))
}

/// What takes effect while the process runs.
struct LiveSettings {
    log: LogHandle,
    bounds: Option<BoundsHandle<PlatformCodec>>,
}

impl SettingsTarget for LiveSettings {
    fn apply(&mut self, settings: &ProcessSettings) {
        // The handle fails only after the log was dropped, which ends with the process.
        let _ = self.log.reload(log_filter(settings));
        if let Some(bounds) = &self.bounds {
            bounds.set(fleet_bounds(settings));
        }
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
