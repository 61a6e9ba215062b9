//! The project's own stand-in of the platform's store, and a proxy in front of it that loses answers.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use directory::prelude::*;
use platform::PlatformCodec;
use platform::stand::{AccountPlan, StoreStand, config_value, config_value_with, upstream_value};
use stand::prelude::{RowHandle, RowPath, RowPlan};
use tokio::runtime::Runtime;

use crate::http::Connection;
use crate::record::Record;

/// Longer than any answer of the store takes, a long poll included.
const ANSWER_LIMIT: Duration = Duration::from_secs(40);

#[derive(Default)]
struct Loss {
    /// The table whose changes are not delivered: the answers that carry them are lost.
    table: Option<&'static str>,
    /// The number of answers since answers began to be lost, and of those that were lost.
    counts: (u32, u32),
}

pub struct Store {
    /// The address of the proxy, which is that of the store for the gateways.
    pub address: SocketAddr,
    rows: RowHandle,
    loss: Mutex<Loss>,
    record: Arc<Record>,
    _stand: StoreStand,
    _runtime: Runtime,
}

impl Store {
    pub fn start(record: &Arc<Record>) -> Result<Arc<Self>, String> {
        let text = |error: &dyn std::fmt::Display| format!("the store does not start: {error}");
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(2).enable_all().build();
        let runtime = runtime.map_err(|error| text(&error))?;
        let stand = runtime.block_on(StoreStand::start(RowPlan::default()));
        let stand = stand.map_err(|error| text(&error))?;
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| text(&error))?;
        let address = listener.local_addr().map_err(|error| text(&error))?;
        let (target, rows) = (stand.address(), stand.handle());
        let (loss, record) = (Mutex::default(), Arc::clone(record));
        let store =
            Arc::new(Self { address, rows, loss, record, _stand: stand, _runtime: runtime });
        let shared = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&shared);
                thread::spawn(move || {
                    // The end of a connection is the business of the gateway.
                    let _ = store.forward(Connection::new(stream), target);
                });
            }
        });
        Ok(store)
    }

    /// Writes the configuration, as the operator does.
    pub fn put_config(&self, entry: &ConfigEntry) {
        self.put(PlatformCodec::CONFIG_TABLE, PlatformCodec::CONFIG_KEY, config_value(entry));
    }

    /// Writes a configuration with tenants.
    pub fn put_config_with(&self, entry: &ConfigEntry, accounts: &[AccountPlan<'_>]) {
        let value = config_value_with(entry, accounts);
        self.put(PlatformCodec::CONFIG_TABLE, PlatformCodec::CONFIG_KEY, value);
    }

    /// Writes the row of an upstream.
    pub fn put_upstream(&self, entry: &UpstreamEntry, beat: u64) {
        self.put(PlatformCodec::UPSTREAM_TABLE, &entry.server.name, upstream_value(entry, beat));
    }

    fn put(&self, table: &str, key: &str, value: Vec<u8>) {
        self.rows.put(RowPath::new(table, key), value);
    }

    /// Loses the answers with changes of the configuration's table from now on, or none.
    pub fn lose_config(&self, loses: bool) {
        self.loss.lock().unwrap().table = loses.then_some(PlatformCodec::CONFIG_TABLE);
    }

    /// Returns the number of answers while answers were lost, and of those that were.
    pub fn counts(&self) -> (u32, u32) {
        self.loss.lock().unwrap().counts
    }

    /// Returns whether an answer with `body` to a call of `target` is lost. Only calls for changes
    /// name a version after which they want them.
    fn is_lost(&self, target: &str, body: &[u8]) -> bool {
        let mut loss = self.loss.lock().unwrap();
        let Some(table) = loss.table else { return false };
        let is_feed = target.contains(&format!("table={table}&")) && target.contains("after=");
        let has_rows = body.windows(5).any(|part| part == b"\"key\"");
        loss.counts.0 += 1;
        loss.counts.1 += u32::from(is_feed && has_rows);
        is_feed && has_rows
    }

    fn forward(&self, mut caller: Connection, target: SocketAddr) -> std::io::Result<()> {
        let mut store = Connection::open(target, ANSWER_LIMIT)?;
        while let Some(head) = caller.read_head()? {
            let body = caller.read_body(&head)?;
            store.write(&head.bytes(&body))?;
            let Some(answer) = store.read_head()? else { return Ok(()) };
            let answer_body = store.read_body(&answer)?;
            if self.is_lost(head.word(1), &answer_body) {
                self.record.write(&format!("the store loses its answer to {}", head.word(1)));
                // The connection delivers nothing further, until its other end closes it.
                while caller.skip() {}
                return Ok(());
            }
            caller.write(&answer.bytes(&answer_body))?;
        }
        Ok(())
    }
}
