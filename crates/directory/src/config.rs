//! The configuration that this VM has, and whether another VM has a newer one.

use std::sync::Arc;

use bytes::Bytes;

use crate::entry::{ConfigEntry, ConfigRules, EntryCodec, EntryError};

/// The result of offering a configuration to a [`ConfigTracker`].
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigOffer {
    /// It is newer than the current one and has replaced it.
    Newer(Arc<ConfigEntry>),
    /// It is not newer than the current one.
    Known,
    /// It cannot be decoded. The current one stays.
    Unreadable(EntryError),
}

/// The newest configuration. Its version never decreases.
#[derive(Clone, Debug, Default)]
pub struct ConfigTracker {
    current: Option<Arc<ConfigEntry>>,
    /// The rules of the current configuration.
    rules: Arc<ConfigRules>,
    /// The current configuration in the encoding of the store.
    document: Option<Bytes>,
    /// The highest version that this VM or another one is known to have.
    highest_version: u64,
    /// Whether an older version may replace a newer one. Only tests set it.
    unordered: bool,
}

impl ConfigTracker {
    /// Creates a tracker without a configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a tracker that accepts older versions as well, for tests which show that a check
    /// detects this.
    pub fn unordered() -> Self {
        Self { unordered: true, ..Self::default() }
    }

    /// Returns the current configuration.
    pub fn current(&self) -> Option<&Arc<ConfigEntry>> {
        self.current.as_ref()
    }

    /// Returns the rules of the current configuration.
    pub fn rules(&self) -> &Arc<ConfigRules> {
        &self.rules
    }

    /// Returns the highest version that this VM or another one is known to have.
    pub fn highest_version(&self) -> u64 {
        self.highest_version
    }

    /// Returns the current configuration in the encoding of the store, for peers.
    pub fn document(&self) -> Option<&Bytes> {
        self.document.as_ref()
    }

    /// Applies a configuration from the store or a peer if its version is higher.
    pub fn offer<C: EntryCodec>(&mut self, value: &Bytes) -> ConfigOffer {
        // The same document arrives from the store and from peers; it need not be decoded again.
        if self.document.as_ref() == Some(value) {
            return ConfigOffer::Known;
        }
        let (config, rules) = match C::decode_config_rules(value) {
            Ok(decoded) => decoded,
            Err(error) => return ConfigOffer::Unreadable(error),
        };
        let is_newer = match &self.current {
            Some(current) => config.version > current.version || self.unordered,
            None => true,
        };
        if !is_newer {
            return ConfigOffer::Known;
        }
        let config = Arc::new(config);
        self.current = Some(Arc::clone(&config));
        self.rules = Arc::new(rules);
        self.document = Some(value.clone());
        ConfigOffer::Newer(config)
    }

    /// Records that some VM has `version`.
    pub fn observe_version(&mut self, version: u64) {
        self.highest_version = self.highest_version.max(version);
    }

    /// Returns whether another VM is known to have a newer configuration.
    pub fn misses_version(&self) -> bool {
        self.current.as_ref().map_or(0, |current| current.version) < self.highest_version
    }

    /// Returns whether another VM has a newer configuration, or this one has none. A call without
    /// a route may then be valid under the newer configuration.
    pub fn is_outdated(&self) -> bool {
        self.current.as_ref().is_none_or(|current| current.version < self.highest_version)
    }
}
