//! Applies the settings that can change while the process runs.

use std::sync::Arc;

use border::ProcessSettings;
use gate::log::LogLevelHandle;
use gate::options::{GateTimeouts, fingerprint_key};
use gate::reload::SettingsTarget;
use gate::state::GateState;
use peer::prelude::*;

use super::options::{secret_table, signing_secret};

/// The parts of the process to which changed settings are applied.
pub(super) struct LiveSettings<T> {
    /// Changes the level of the log.
    pub(super) log: LogLevelHandle,
    /// Holds the timeouts.
    pub(super) state: Arc<GateState>,
    /// The secrets that are accepted from peers and operators.
    pub(super) secrets: LiveSecrets,
    /// Sends a secret with its calls to peers.
    pub(super) client: PeerClient,
    /// The parts that differ between the interfaces.
    pub(super) target: T,
}

impl<T: SettingsTarget> SettingsTarget for LiveSettings<T> {
    fn apply(&self, settings: &ProcessSettings) {
        self.log.apply(settings);
        self.state.timeouts.store(Arc::new(GateTimeouts::from_settings(settings)));
        self.secrets.set(secret_table(settings));
        self.state.fingerprint_key.store(Arc::new(fingerprint_key(settings)));
        self.client.set_call_settings(signing_secret(settings), settings.timeouts.peer);
        self.target.apply(settings);
    }
}
