//! A process with agateroad's own interface.

use std::path::PathBuf;
use std::sync::Arc;

use base::prelude::*;
use border::ProcessSettings;
use gate::log::ProcessLog;
use gate::platform_tasks::PlatformTasks;
use gate::process::RunningGate;
use gate::reload::SettingsTarget;
use gate::state::{GateState, GateStore};
use gate::{event, shutdown};
use peer::prelude::*;
use snafu::ResultExt;
use tokio_util::task::AbortOnDropHandle;

use super::common::CommonParts;
use super::error::{GateError, ListenSnafu};
use super::live::LiveSettings;
use super::options::{platform_options, secret_table};
use super::ready::announce_ready;

/// Serves agateroad's own interface until a signal arrives, and then shuts down gracefully.
/// `followed` is the environment whose promoted versions are applied, or `None` if a file holds the
/// document.
pub(super) async fn serve_native(
    settings: &ProcessSettings,
    state: Arc<GateState>,
    followed: Option<SharedName>,
    path: PathBuf,
    log: &mut ProcessLog,
) -> Result<(), GateError> {
    let CommonParts { watch, mut signals, metrics_server } =
        CommonParts::open(settings, &state, path).await?;
    let gate = RunningGate::start(Arc::clone(&state)).context(ListenSnafu)?;
    let counts = Arc::new(ControlCounts::default());
    let options = platform_options(settings, followed, &counts);
    let client = options.client.clone();
    let platform = PlatformTasks::start(&state, options);
    let control = platform.control(&state);
    let address = settings.control_address;
    let control = ControlServer::start(address, secret_table(settings), counts, control);
    let control = control.await.context(ListenSnafu)?;
    platform.set_peer_address(control.address);
    let target = NativeTarget { store: platform.store() };
    let live = LiveSettings { log: log.level(), state, secrets: control.secrets(), client, target };
    let _watch = AbortOnDropHandle::new(tokio::spawn(watch.run(live)));
    let _drops = announce_ready(settings, &gate, &control, &metrics_server, log);
    signals.next().await;
    signals.run_shutdown(shutdown::shut_down(&gate, platform)).await;
    tracing::info!(event = event::STOPPED, vm = %settings.vm_name, "stopped");
    Ok(())
}

/// The settings that can change with agateroad's own interface.
struct NativeTarget {
    store: GateStore,
}

impl SettingsTarget for NativeTarget {
    fn apply(&self, settings: &ProcessSettings) {
        self.store.set_call_timeout(settings.timeouts.platform);
    }
}
