//! Settings that take effect while the process runs.

use std::sync::Arc;

use border::ProcessSettings;
use gate::log::LogLevelHandle;
use gate::options::GateTimeouts;
use gate::reload::SettingsTarget;
use gate::state::GateState;
use peer::prelude::*;

use super::options::{secret_table, signing_secret};

/// What takes effect while the process runs.
pub(super) struct LiveSettings<T> {
    /// The log.
    pub(super) log: LogLevelHandle,
    /// The tables.
    pub(super) state: Arc<GateState>,
    /// What peers and operators may show.
    pub(super) secrets: LiveSecrets,
    /// Shows a secret to peers.
    pub(super) client: PeerClient,
    /// What differs between the interfaces.
    pub(super) target: T,
}

impl<T: SettingsTarget> SettingsTarget for LiveSettings<T> {
    fn apply(&self, settings: &ProcessSettings) {
        self.log.apply(settings);
        self.state.timeouts.store(Arc::new(GateTimeouts::from_settings(settings)));
        self.secrets.set(secret_table(settings));
        self.client.set_access(signing_secret(settings), settings.timeouts.peer);
        self.target.apply(settings);
    }
}
