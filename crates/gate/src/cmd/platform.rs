//! A process with the interface of the users' platform (crate `platform`).

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use arc_swap::ArcSwap;
use base::prelude::*;
use border::ProcessSettings;
use directory::prelude::*;
use gate::control::GateControl;
use gate::discovery::{DiscoveryHandle, DiscoveryOptions, DiscoveryTasks};
use gate::exchange::ExchangeOptions;
use gate::log::ProcessLog;
use gate::peers::PeerTable;
use gate::platform_tasks::PlatformOptions;
use gate::probe::PROBE_COST;
use gate::process::RunningGate;
use gate::reload::SettingsTarget;
use gate::state::GateState;
use gate::{event, shutdown};
use peer::prelude::*;
use platform::PlatformCodec;
use snafu::ResultExt;
use tokio_util::task::AbortOnDropHandle;
use world::prelude::*;

use super::common::CommonParts;
use super::error::{GateError, ListenSnafu};
use super::live::LiveSettings;
use super::options::{peer_secrets, platform_options, secret_table};
use super::ready::announce_ready;

/// The number of gateway VMs that may run at the same time, until more are known. A quarter more
/// than the largest deployment of 15 VMs.
const VM_CEILING: u32 = 19;
/// The fraction of the allowed health checks that known VMs share. The rest is reserved for VMs
/// that are not known yet.
const KNOWN_VMS_PROBE_FRACTION: f64 = 0.9;
/// The most calls of a service that may wait on one VM: several times the calls that one VM gets in
/// a second.
const QUEUE_LIMIT: u32 = 200;

/// Serves the interface of the users' platform until a signal arrives, and then shuts down
/// gracefully.
pub(super) async fn serve_platform(
    settings: &ProcessSettings,
    state: Arc<GateState>,
    path: PathBuf,
    log: &mut ProcessLog,
) -> Result<(), GateError> {
    let CommonParts { watch, mut signals, metrics_server } =
        CommonParts::open(settings, &state, path).await?;
    let gate = RunningGate::start_with::<PlatformCodec>(Arc::clone(&state)).context(ListenSnafu)?;
    let stop_limit = Arc::new(ArcSwap::from_pointee(settings.fleet.stop_limit));
    let peers = Arc::new(PeerTable::new(settings.vm_name.clone()));
    let counts = Arc::new(ControlCounts::default());
    let control = GateControl {
        state: Arc::clone(&state),
        peers: Arc::clone(&peers),
        follower: Arc::default(),
    };
    let address = settings.control_address;
    let server_counts = Arc::clone(&counts);
    let control = ControlServer::start(address, secret_table(settings), server_counts, control);
    let control = control.await.context(ListenSnafu)?;
    let options = discovery_options(settings, &state, control.address, counts, peers);
    let client = options.client.clone();
    let discovery = DiscoveryTasks::start(&state, options).await.context(ListenSnafu)?;
    let target =
        PlatformTarget { discovery: discovery.handle(), stop_limit: Arc::clone(&stop_limit) };
    let live = LiveSettings { log: log.level(), state, secrets: control.secrets(), client, target };
    let _watch = AbortOnDropHandle::new(tokio::spawn(watch.run(live)));
    let _drops = announce_ready(settings, &gate, &control, &metrics_server, log);
    signals.next().await;
    let limit = **stop_limit.load();
    signals.run_shutdown(shutdown::shut_down_within(&gate, limit)).await;
    drop(discovery);
    tracing::info!(event = event::STOPPED, vm = %settings.vm_name, "stopped");
    Ok(())
}

fn discovery_options(
    settings: &ProcessSettings,
    state: &GateState,
    control_address: SocketAddr,
    counts: Arc<ControlCounts>,
    peers: Arc<PeerTable>,
) -> DiscoveryOptions {
    let PlatformOptions { store, client, .. } = platform_options(settings, None, &counts);
    let exchange_address = settings.exchange_address.unwrap_or(settings.control_address);
    let own = VmEntry { vm: state.options.vm.clone(), exchange_address, control_address };
    DiscoveryOptions {
        store,
        bounds: fleet_bounds(settings),
        exchange: ExchangeOptions {
            own,
            secrets: peer_secrets(settings),
            seeds: settings.peer_seeds.clone(),
        },
        client,
        peers,
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
        probe_rate: fleet.probe_rate * KNOWN_VMS_PROBE_FRACTION,
        probe_cost: PROBE_COST,
        queue_limit: QUEUE_LIMIT,
    }
}

/// Returns links between all data centres, with the same latency each.
fn centre_links(centres: &[DataCentre], one_way: ClockSpan) -> Vec<LinkLatency> {
    let pairs = centres.iter().enumerate().flat_map(|(index, from)| {
        centres[index + 1..].iter().map(move |to| (from.name.clone(), to.name.clone()))
    });
    pairs.map(|(from, to)| LinkLatency { from, to, one_way }).collect()
}

/// The settings that can change with the interface of the users' platform.
struct PlatformTarget {
    discovery: DiscoveryHandle<PlatformCodec>,
    stop_limit: Arc<ArcSwap<ClockSpan>>,
}

impl SettingsTarget for PlatformTarget {
    fn apply(&self, settings: &ProcessSettings) {
        self.stop_limit.store(Arc::new(settings.fleet.stop_limit));
        self.discovery.set_secrets(&peer_secrets(settings));
        self.discovery.set_seeds(&settings.peer_seeds);
        self.discovery.set_store_timeout(settings.timeouts.platform);
        self.discovery.set_bounds(fleet_bounds(settings));
    }
}
