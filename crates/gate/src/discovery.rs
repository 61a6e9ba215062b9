//! Follows the configuration and the upstreams through the tables of the platform's store.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Weak};

use base::prelude::*;
use bytes::Bytes;
use directory::prelude::*;
use peer::prelude::*;
use store::prelude::*;
use tokio::sync::Notify;
use tokio::task::JoinSet;

use crate::event;
use crate::exchange::{ExchangeOptions, VmExchange};
use crate::mechanism::Mechanism;
use crate::peers::PeerLink;
use crate::state::GateState;

/// The longest time for which the store holds back its answer to a question for changes of the
/// configuration. A connection that goes silent meanwhile is noticed by its keep-alive.
const CONFIG_HOLD: ClockSpan = ClockSpan::from_secs(10);
/// The longest time for which the store holds back its answer to the VM that reads the upstreams
/// for all. If that VM fails, another one reads 0.8 to 1.2 s after its last news, which is well
/// below the 2 s in which a leaving upstream must get no more calls.
pub(crate) const READ_HOLD: ClockSpan = ClockSpan::from_millis(600);
/// The shortest time between two such reads. A store whose rows change with every heartbeat would
/// otherwise answer each read at once.
const READ_PAUSE: ClockSpan = ClockSpan::from_millis(100);
/// The shortest time between two questions for changes of the configuration. Versions that follow
/// each other within it cost one call, and it is a fraction of the time in which one must be in
/// force.
const CONFIG_PAUSE: ClockSpan = ClockSpan::from_millis(200);
/// The pause after a failed call, before jitter.
const FAILURE_PAUSE: ClockSpan = ClockSpan::from_millis(400);

/// The name of the copy of the configuration that peers may ask for.
const CONFIG_COPY: &str = "configuration";
/// The name of the copy of the table of upstreams that peers may ask for.
const UPSTREAM_COPY: &str = "upstreams";

/// How a VM finds its configuration, its upstreams and its peers.
pub struct DiscoveryOptions {
    /// The platform's store.
    pub store: HttpSettings,
    /// What holds over all VMs.
    pub bounds: FleetBounds,
    /// How this VM speaks to its peers in datagrams.
    pub exchange: ExchangeOptions,
    /// Calls the control listeners of peers.
    pub client: PeerClient,
    /// Holds what peers may ask for.
    pub link: Arc<PeerLink>,
}

/// What this VM has learnt.
#[derive(Debug)]
struct DirectoryTables {
    upstreams: UpstreamDirectory,
    config: ConfigTracker,
    bounds: FleetBounds,
}

/// The tasks that follow the store. They end when this is dropped.
pub struct DiscoveryTasks<K> {
    core: Arc<DiscoveryCore<K>>,
    _tasks: JoinSet<()>,
}

impl<K: EntryCodec + RowCodec> DiscoveryTasks<K> {
    /// Starts to follow the store and to exchange news with peers.
    ///
    /// # Errors
    ///
    /// Fails if the address for datagrams of peers cannot be bound.
    pub async fn start(state: &Arc<GateState>, options: DiscoveryOptions) -> std::io::Result<Self> {
        let DiscoveryOptions { store, bounds, exchange, client, link } = options;
        let tuning = &state.options.tuning;
        let directory =
            DirectoryTuning { drains: tuning.uses(Mechanism::Drain), ..DirectoryTuning::default() };
        let ordered = tuning.uses(Mechanism::VersionOrder);
        let tables = DirectoryTables {
            upstreams: UpstreamDirectory::new(directory),
            config: if ordered { ConfigTracker::new() } else { ConfigTracker::unordered() },
            bounds,
        };
        let rows = RowStore::<_, K>::new(store, state.clock);
        let core = Arc::new(DiscoveryCore {
            state: Arc::clone(state),
            rows,
            tables: RankedMutex::new(LockRank::PeerTable, tables),
            exchange: VmExchange::bind(exchange, state.clock).await?,
            client,
            link,
            config_wanted: Notify::new(),
            upstreams_wanted: Notify::new(),
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(Arc::clone(&core).follow_config());
        tasks.spawn(Arc::clone(&core).follow_upstreams());
        tasks.spawn(Arc::clone(&core).announce());
        tasks.spawn(Arc::clone(&core).greet());
        tasks.spawn(Arc::clone(&core).receive());
        Ok(Self { core, _tasks: tasks })
    }

    /// Returns what changes the bounds that hold over all VMs.
    pub fn bounds(&self) -> BoundsHandle<K> {
        BoundsHandle { core: Arc::downgrade(&self.core) }
    }
}

/// Changes the bounds that hold over all VMs.
pub struct BoundsHandle<K> {
    core: Weak<DiscoveryCore<K>>,
}

impl<K: EntryCodec + RowCodec> BoundsHandle<K> {
    /// Puts other bounds into force.
    pub fn set(&self, bounds: FleetBounds) {
        let Some(core) = self.core.upgrade() else { return };
        core.tables.lock().bounds = bounds;
        core.apply();
    }
}

/// What the tasks share.
pub(crate) struct DiscoveryCore<K> {
    pub(crate) state: Arc<GateState>,
    pub(crate) rows: RowStore<RealClock, K>,
    tables: RankedMutex<DirectoryTables>,
    pub(crate) exchange: VmExchange,
    client: PeerClient,
    link: Arc<PeerLink>,
    /// Wakes the task that follows the configuration, because a peer has a newer one.
    config_wanted: Notify,
    /// Wakes the task that follows the upstreams, because changes are missing.
    upstreams_wanted: Notify,
}

impl<K: EntryCodec + RowCodec> DiscoveryCore<K> {
    async fn follow_config(self: Arc<Self>) {
        let mut position = None;
        loop {
            let read = match position {
                None => self.rows.read_table(K::CONFIG_TABLE).await,
                Some(position) => tokio::select! {
                    read = self.rows.changes(K::CONFIG_TABLE, position, CONFIG_HOLD) => read,
                    () = self.config_wanted.notified() => {
                        self.rows.read_table(K::CONFIG_TABLE).await
                    }
                },
            };
            match read {
                Ok(page) => {
                    position = Some(page.position);
                    log_read(K::CONFIG_TABLE, &page);
                    self.take_config(&page);
                    tokio::time::sleep(CONFIG_PAUSE.to_duration()).await;
                }
                Err(StoreError::HistoryLost) => position = None,
                Err(error) => {
                    tracing::debug!(event = event::STORE_UNREAD, %error);
                    self.copy_config().await;
                    let pause = FAILURE_PAUSE.scaled(0.5 + rand::random::<f64>());
                    tokio::time::sleep(pause.to_duration()).await;
                }
            }
        }
    }

    fn take_config(&self, page: &RowPage) {
        for row in page.rows.iter().filter(|row| row.key == *K::CONFIG_KEY) {
            let Some(value) = &row.value else { continue };
            let offer = self.tables.lock().config.offer::<K>(value);
            match offer {
                ConfigOffer::Newer(config) => {
                    let version = config.version;
                    tracing::info!(
                        event = event::CONFIG_APPLIED,
                        version,
                        "configuration in force"
                    );
                    self.exchange.set_config(version);
                    self.link.set_copy(CONFIG_COPY, value.clone());
                    self.apply();
                }
                ConfigOffer::Known => {}
                ConfigOffer::Unreadable(error) => {
                    tracing::error!(event = event::CONFIG_UNREADABLE, %error);
                }
            }
        }
    }

    /// Reads everything again, because what is known may be old.
    pub(crate) fn refresh(&self) {
        self.config_wanted.notify_one();
        self.upstreams_wanted.notify_one();
    }

    /// Learns that a peer has a version of the configuration.
    pub(crate) fn hear_config(&self, version: u64) {
        let behind = {
            let mut tables = self.tables.lock();
            tables.config.hear(version);
            tables.config.is_behind()
        };
        self.state.behind.store(behind, Ordering::Release);
        if behind {
            self.config_wanted.notify_one();
        }
    }

    async fn follow_upstreams(self: Arc<Self>) {
        loop {
            self.wait_for_turn().await;
            if self.settle() {
                self.apply();
            }
            if self.exchange.read_due() {
                self.read_for_all().await;
            }
        }
    }

    /// Reads the upstreams and tells the peers, over and over, until a read fails or a peer that
    /// comes first in the order of names reads as well. The store holds its answers back until
    /// there is a change, so that every VM hears of a change within milliseconds.
    async fn read_for_all(&self) {
        let mut hold = ClockSpan::ZERO;
        loop {
            if let Err(error) = self.read_upstreams(hold).await {
                self.note_failed_read(&error);
                return;
            }
            if self.settle() {
                self.apply();
            }
            if self.exchange.has_earlier_reader() {
                return;
            }
            hold = READ_HOLD;
            tokio::time::sleep(READ_PAUSE.to_duration()).await;
        }
    }

    /// Waits until the upstreams are to be read or a removal is due.
    async fn wait_for_turn(&self) {
        let due = self.tables.lock().upstreams.next_due();
        let next = self.exchange.next_read();
        let next = due.map_or(next, |due| due.min(next));
        let until = self.state.clock.to_instant(next).into();
        tokio::select! {
            () = tokio::time::sleep_until(until) => {}
            () = self.upstreams_wanted.notified() => {
                if let Err(error) = self.read_upstreams(ClockSpan::ZERO).await {
                    self.note_failed_read(&error);
                    self.copy_upstreams().await;
                }
            }
        }
    }

    async fn read_upstreams(&self, hold: ClockSpan) -> Result<(), StoreError> {
        let asked = self.state.clock.now();
        let known = self.tables.lock().upstreams.position();
        let read = match known {
            Some(position) => self.rows.changes(K::UPSTREAM_TABLE, position, hold).await,
            None => Err(StoreError::HistoryLost),
        };
        let (page, whole) = match read {
            Err(StoreError::HistoryLost) => (self.rows.read_table(K::UPSTREAM_TABLE).await?, true),
            read => (read?, false),
        };
        log_read(K::UPSTREAM_TABLE, &page);
        let now = self.state.clock.now();
        let change = {
            let upstreams = &mut self.tables.lock().upstreams;
            upstreams.note_answer(now);
            match known.filter(|_| !whole) {
                Some(from) => upstreams.follow::<K>(from, &page, now).unwrap_or_default(),
                None => upstreams.replace::<K>(&page, now),
            }
        };
        self.report(&change);
        // An answer that was held back tells the state at its end.
        let made_at = if hold == ClockSpan::ZERO { asked } else { now };
        self.exchange.note_read(page.position, made_at);
        if change.upstreams_changed || known.is_none() {
            self.apply();
        }
        let since = change.since.unwrap_or(page.position);
        let news = RowPage { rows: change.news, ..page };
        self.exchange.send_directory(since, &news, made_at).await;
        Ok(())
    }

    /// Takes over changes that a peer has read. Asks for a read if some are missing.
    pub(crate) fn take_peer_rows(&self, from: u64, page: &RowPage, complete: bool, age: ClockSpan) {
        let now = self.state.clock.now();
        let followed = {
            let upstreams = &mut self.tables.lock().upstreams;
            // The store answered the peer, whatever it answers to this VM.
            upstreams.note_answer(now);
            if upstreams.position().is_some_and(|known| known >= page.position) {
                Ok(DirectoryChange::default())
            } else if complete {
                upstreams.follow::<K>(from, page, now).map_err(|_| ())
            } else {
                Err(())
            }
        };
        let Ok(change) = followed else {
            self.upstreams_wanted.notify_one();
            return;
        };
        self.report(&change);
        self.exchange.note_read(page.position, now - age);
        if change.upstreams_changed {
            self.apply();
        }
    }

    fn report(&self, change: &DirectoryChange) {
        for row in &change.unreadable {
            let (upstream, error) = (&row.key, &row.error);
            tracing::warn!(event = event::UPSTREAM_UNREADABLE, %upstream, %error);
        }
    }

    fn settle(&self) -> bool {
        self.tables.lock().upstreams.settle(self.state.clock.now())
    }

    fn note_failed_read(&self, error: &StoreError) {
        tracing::debug!(event = event::STORE_UNREAD, %error);
        let now = self.state.clock.now();
        if self.tables.lock().upstreams.note_failure(now) {
            self.apply();
        }
        self.exchange.note_failed_read();
    }

    /// Takes the configuration from a peer if one has a newer version.
    async fn copy_config(&self) {
        if !self.tables.lock().config.is_behind() {
            return;
        }
        let Some(value) = self.fetch_copy(CONFIG_COPY).await else { return };
        let row = TableRow { key: K::CONFIG_KEY.into(), version: 0, value: Some(value) };
        self.take_config(&RowPage { rows: vec![row], ..RowPage::default() });
    }

    /// Takes the table of upstreams from a peer if this VM has none or misses changes.
    async fn copy_upstreams(&self) {
        let Some(bytes) = self.fetch_copy(UPSTREAM_COPY).await else { return };
        let Ok(copy) = serde_json::from_slice::<TableCopy>(&bytes) else { return };
        let page = copy.into_page();
        let now = self.state.clock.now();
        let change = {
            let upstreams = &mut self.tables.lock().upstreams;
            if upstreams.position() >= Some(page.position) {
                return;
            }
            upstreams.replace::<K>(&page, now)
        };
        self.report(&change);
        self.apply();
    }

    /// Asks a random peer for a copy of what it has.
    async fn fetch_copy(&self, name: &str) -> Option<Bytes> {
        let peers = self.exchange.control_addresses();
        let address = *peers.get(rand::random_range(0..peers.len().max(1)))?;
        match self.client.document(address, &SharedName::from(name)).await {
            Ok(copy) => Some(copy),
            Err(error) => {
                tracing::debug!(event = event::EXCHANGE_FAILED, %error);
                None
            }
        }
    }

    /// Keeps the table of upstreams for peers that the store refuses.
    fn publish_upstreams(&self) {
        let copy = self.tables.lock().upstreams.table().map(TableCopy::from_page);
        if let Some(bytes) = copy.and_then(|copy| serde_json::to_vec(&copy).ok()) {
            self.link.set_copy(UPSTREAM_COPY, Bytes::from(bytes));
        }
    }

    /// Puts what is known into force, once both the configuration and the upstreams are known.
    fn apply(&self) {
        let environment = {
            let tables = self.tables.lock();
            let Some(config) = tables.config.current() else { return };
            if tables.upstreams.position().is_none() {
                return;
            }
            let previous = self.state.environment.load();
            let previous = Some(&**previous);
            build_environment(config, &tables.upstreams, &tables.bounds, previous)
        };
        let behind = self.tables.lock().config.is_behind();
        self.state.behind.store(behind, Ordering::Release);
        self.state.apply(environment);
        self.publish_upstreams();
    }
}

fn log_read(table: &str, page: &RowPage) {
    let (rows, position) = (page.rows.len(), page.position);
    tracing::debug!(event = event::TABLE_READ, table, rows, position);
}
