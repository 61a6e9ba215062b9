//! Decoded rows of the store, and the trait that decodes them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use world::prelude::*;

/// Error: a row cannot be used.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("the row cannot be read ({detail}); check the program that wrote it"))]
pub struct EntryError {
    /// What is wrong with it.
    pub detail: String,
}

/// The most bytes of an error's detail. Decoders quote the values that they reject, which can be as
/// long as a row.
const MAX_DETAIL_BYTES: usize = 200;

impl EntryError {
    /// Returns an error that names what is wrong.
    pub fn new(detail: impl ToString) -> Self {
        let mut detail = detail.to_string();
        if detail.len() > MAX_DETAIL_BYTES {
            detail.truncate(detail.floor_char_boundary(MAX_DETAIL_BYTES));
            detail.push_str("...");
        }
        Self { detail }
    }
}

/// The row that an upstream writes about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// The server. `warm_up` is the rest of its warm-up from now on.
    pub server: UpstreamServer,
    /// Whether it is draining.
    pub draining: bool,
}

/// A service in the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceEntry {
    /// The name of the service.
    pub name: SharedName,
    /// The path of health checks.
    pub health_path: SharedName,
    /// Connections that each of its upstreams accepts from all VMs together.
    pub connections: u32,
}

/// A version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigEntry {
    /// The version. It increases, but not always by one.
    pub version: u64,
    /// The routes.
    pub routes: Vec<CallRoute>,
    /// The services.
    pub services: Vec<ServiceEntry>,
    /// Limits on the requests of callers.
    pub caller_limits: CallerLimits,
}

/// The rules of a configuration that only some deployments have. The default restricts nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigRules {
    /// Who may call, and where calls may run.
    pub access: Arc<AccessRules>,
    /// Calls per second that all VMs together may send to a cold upstream, by service. Upstreams of
    /// other services have no limit.
    pub cold_rates: HashMap<SharedName, f64>,
}

/// An evacuation of a data centre, as the operators requested it: nothing is sent to its upstreams
/// until they end it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EvacuationMark {
    /// The data centre.
    pub centre: SharedName,
    /// The version of the store at which the evacuation started or ended.
    pub version: u64,
    /// Whether it is in force.
    pub active: bool,
}

/// The row that a VM writes about itself.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct VmEntry {
    /// The VM and its incarnation.
    pub vm: VmIdentity,
    /// The address at which it receives datagrams of peers.
    pub exchange_address: SocketAddr,
    /// The address of its control listener.
    pub control_address: SocketAddr,
}

/// Decodes rows that the platform and the operators write, and names their tables.
pub trait EntryCodec: Copy + Send + Sync + 'static {
    /// The table of the upstreams; the key is the upstream's name.
    const UPSTREAM_TABLE: &'static str;
    /// The table of the configuration.
    const CONFIG_TABLE: &'static str;
    /// The key of the configuration in its table.
    const CONFIG_KEY: &'static str;

    /// Decodes the row of an upstream.
    ///
    /// # Errors
    ///
    /// Fails if the row names no upstream that can be used.
    fn decode_upstream(key: &str, value: &[u8]) -> Result<UpstreamEntry, EntryError>;

    /// Decodes the configuration.
    ///
    /// # Errors
    ///
    /// Fails if the row is not a complete configuration.
    fn decode_config(value: &[u8]) -> Result<ConfigEntry, EntryError>;

    /// Decodes the configuration and its rules. Without an own implementation there are no rules.
    ///
    /// # Errors
    ///
    /// Fails if the row is not a complete configuration, or if a rule cannot be read: the
    /// configuration must not take effect without its restrictions.
    fn decode_config_rules(value: &[u8]) -> Result<(ConfigEntry, ConfigRules), EntryError> {
        Ok((Self::decode_config(value)?, ConfigRules::default()))
    }

    /// Returns the data centre that a row of the configuration's table evacuates as long as it
    /// exists, or `None` if it is another row.
    fn evacuated_centre(_key: &str) -> Option<&str> {
        None
    }
}
