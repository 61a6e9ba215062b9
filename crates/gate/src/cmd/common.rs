//! The parts of a process that both interfaces start first.

use std::path::PathBuf;
use std::sync::Arc;

use border::ProcessSettings;
use gate::metrics_server::MetricsServer;
use gate::reload::SettingsWatch;
use gate::state::GateState;
use snafu::ResultExt;

use super::error::{GateError, ListenSnafu, RuntimeSnafu};
use super::signals::StopSignals;

/// The parts of a process that do not depend on its interface.
pub(super) struct CommonParts {
    pub(super) watch: SettingsWatch,
    pub(super) signals: StopSignals,
    pub(super) metrics_server: MetricsServer,
}

impl CommonParts {
    /// Installs the signal handlers, starts the metrics listener, and watches the settings file at
    /// `path`.
    pub(super) async fn open(
        settings: &ProcessSettings,
        state: &Arc<GateState>,
        path: PathBuf,
    ) -> Result<Self, GateError> {
        let watch = SettingsWatch::new(path, settings.clone()).context(RuntimeSnafu)?;
        let signals = StopSignals::listen().context(RuntimeSnafu)?;
        let metrics_server = MetricsServer::start(Arc::clone(state), settings.metrics_address);
        Ok(Self { watch, signals, metrics_server: metrics_server.await.context(ListenSnafu)? })
    }
}
