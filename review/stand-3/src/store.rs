//! The project's own stand-in of the platform's store.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use directory::prelude::*;
use platform::PlatformCodec;
use platform::stand::{AccountPlan, StoreStand, config_value, config_value_with, upstream_value};
use stand::prelude::{RowHandle, RowPath, RowPlan};

/// The store. Clones are the same store.
#[derive(Clone)]
pub struct Store {
    stand: Arc<StoreStand>,
    rows: RowHandle,
}

impl Store {
    /// Starts an empty store.
    pub async fn start() -> io::Result<Self> {
        let stand = StoreStand::start(RowPlan::default()).await.map_err(io::Error::other)?;
        let rows = stand.handle();
        Ok(Self { stand: Arc::new(stand), rows })
    }

    /// Returns its address.
    pub fn address(&self) -> SocketAddr {
        self.stand.address()
    }

    /// Writes a configuration, as the operator does. Without tenants, requests need no key.
    pub fn put_config(&self, entry: &ConfigEntry, tenants: &[AccountPlan<'_>]) {
        let path = RowPath::new(PlatformCodec::CONFIG_TABLE, PlatformCodec::CONFIG_KEY);
        let value = match tenants {
            [] => config_value(entry),
            tenants => config_value_with(entry, tenants),
        };
        self.rows.put(path, value);
    }

    /// Writes the row of an upstream. It changes no more, as only its count would.
    pub fn put_upstream(&self, entry: &UpstreamEntry) {
        let path = RowPath::new(PlatformCodec::UPSTREAM_TABLE, &entry.server.name);
        self.rows.put(path, upstream_value(entry, 1));
    }

    /// Returns whether there is a row.
    pub fn has(&self, table: &str, key: &str) -> bool {
        self.rows.row(&RowPath::new(table, key)).is_some()
    }
}
