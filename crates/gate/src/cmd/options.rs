//! Reads the files of the process and turns settings and arguments into options.

use std::path::PathBuf;
use std::str::FromStr;
use std::sync::Arc;

use base::prelude::*;
use border::{InterfaceKind, ProcessSettings, SharedSecret};
use gate::mechanism::Mechanism;
use gate::options::{CallTuning, GateOptions};
use gate::platform_tasks::PlatformOptions;
use peer::prelude::*;
use route::prelude::*;
use snafu::{ResultExt, Snafu};
use store::prelude::HttpSettings;
use world::prelude::*;

use super::error::{DocumentSnafu, GateError, ReadFileSnafu, SettingsSnafu};

/// How the gateway decides whether calls leave its data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RemoteCalls {
    /// By the cost of each upstream.
    Cost,
    /// By a share of each service's calls, computed from the load at home and away.
    Share,
}

impl RemoteCalls {
    /// Returns the way that was asked for. Without one, a deployment that must bear the loss of data
    /// centres uses a share: after a loss, the upstreams of the others are too few at times.
    pub(super) fn chosen(asked: Option<Self>, centre_losses: u32) -> Self {
        asked.unwrap_or(if centre_losses > 0 { Self::Share } else { Self::Cost })
    }
}

/// Error: a text names no way to decide about remote calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("unknown decision about remote calls: use one of cost, share"))]
pub(super) struct UnknownRemoteCalls;

impl FromStr for RemoteCalls {
    type Err = UnknownRemoteCalls;

    fn from_str(name: &str) -> Result<Self, UnknownRemoteCalls> {
        match name {
            "cost" => Ok(Self::Cost),
            "share" => Ok(Self::Share),
            _ => Err(UnknownRemoteCalls),
        }
    }
}

/// The version of a document that is read from a file and so has not been promoted.
const FILE_VERSION: u64 = 1;

pub(super) fn read_settings(path: &PathBuf) -> Result<ProcessSettings, GateError> {
    let bytes = std::fs::read(path).context(ReadFileSnafu { path })?;
    border::load_settings(&bytes).context(SettingsSnafu { path })
}

pub(super) fn read_document(path: &PathBuf) -> Result<EnvironmentMap, GateError> {
    let bytes = std::fs::read(path).context(ReadFileSnafu { path })?;
    border::load_document(&bytes, FILE_VERSION).context(DocumentSnafu { path })
}

pub(super) fn gate_options(
    settings: &ProcessSettings,
    policy: Option<PolicyKind>,
    remote: RemoteCalls,
    disabled: Vec<Mechanism>,
) -> GateOptions {
    let native = settings.interface == InterfaceKind::Agateroad;
    let default_policy =
        if native { PolicyKind::default() } else { PolicyKind::Paced(PacedChoice::default()) };
    let tuning = if native { CallTuning::default() } else { CallTuning::shared_machines() };
    let options = GateOptions::from_settings(settings, policy.unwrap_or(default_policy));
    let remote = (remote == RemoteCalls::Share).then(RemoteTuning::default);
    GateOptions { remote, tuning: CallTuning { disabled, ..tuning }, ..options }
}

pub(super) fn platform_options(
    settings: &ProcessSettings,
    environment: Option<SharedName>,
    counts: &Arc<ControlCounts>,
) -> PlatformOptions {
    let store = HttpSettings::new(settings.platform_address, rand::random());
    let store = HttpSettings { call_timeout: settings.timeouts.platform, ..store };
    let client =
        PeerClient::new(signing_secret(settings), settings.timeouts.peer, Arc::clone(counts));
    PlatformOptions { store, environment, client }
}

/// Returns the secret that this VM sends to peers. The settings have at least one.
pub(super) fn signing_secret(settings: &ProcessSettings) -> &str {
    settings.peer_secrets.first().map_or("", SharedSecret::as_str)
}

pub(super) fn peer_secrets(settings: &ProcessSettings) -> Vec<SharedName> {
    settings.peer_secrets.iter().map(|secret| SharedName::from(secret.as_str())).collect()
}

pub(super) fn secret_table(settings: &ProcessSettings) -> SecretTable {
    let peers = settings.peer_secrets.iter().map(SharedSecret::as_str);
    SecretTable::new(peers, settings.operator_secrets.iter().map(SharedSecret::as_str))
}
