//! Follows the upstreams: as the designated reader in the store, else through the rows that the
//! designated reader sends. The designated reader is the one VM that reads the store and sends the
//! rows to its peers.
//!
//! Depends on [`super::core`].

use std::sync::Arc;
use std::sync::atomic::Ordering;

use base::prelude::*;
use directory::prelude::*;
use member::prelude::*;
use peer::prelude::*;
use store::prelude::*;

use super::core::{DiscoveryCore, PEER_READ_VALIDITY, log_read, pause_at_start};
use crate::event;
use crate::exchange::READ_POLL_LIMIT;
use crate::mechanism::Mechanism;

/// The shortest time between two reads of the designated reader. A store whose rows change with
/// every heartbeat would otherwise answer each long poll immediately.
const READ_PAUSE: ClockSpan = ClockSpan::from_millis(100);
/// The mean time between two reads that are caused by missing changes. The rows that other VMs send
/// may close the gap meanwhile. The pause is short, because a draining upstream must get no more
/// calls after 2 s.
const GAP_PAUSE: ClockSpan = ClockSpan::from_millis(300);

/// The time for which peers are asked for missing changes before they are read from the store.
/// Changes that do not fit into broadcasts spread from the designated reader, and with each round
/// about three times as many VMs have them.
const GAP_LIMIT: ClockSpan = ClockSpan::from_millis(400);
/// The mean time between two of these requests.
const GAP_RETRY_PAUSE: ClockSpan = ClockSpan::from_millis(40);
/// The mean time for which a VM that misses changes waits for datagrams that are on their way.
const REORDER_PAUSE: ClockSpan = ClockSpan::from_millis(10);

/// The VMs for which the upstreams are read.
#[derive(Clone, Copy, Debug)]
enum ReadPurpose {
    /// This VM, which has just started or misses changes. Only changes that no peer has reported
    /// yet are sent to the peers. If reported ones were sent again, the peers that miss earlier
    /// changes would notice, and each would read and send rows in turn.
    Own,
    /// All VMs. The read is a long poll of up to `poll_limit`.
    Peers { poll_limit: ClockSpan },
}

impl<K: EntryCodec + RowCodec> DiscoveryCore<K> {
    /// Keeps the table of upstreams up to date until it is dropped.
    pub(super) async fn follow_upstreams(self: Arc<Self>) {
        if let Some(wait) = self.wait_for_peers().await {
            while let Some(reach) = self.start_reach(wait) {
                if self.has_started_peer() && self.fetch_upstreams(reach, true).await {
                    break;
                }
                pause_at_start().await;
            }
        }
        loop {
            self.wait_for_read().await;
            if self.expire_missing() {
                self.apply();
            }
            if self.exchange.start_due_read() {
                self.read_as_designated().await;
                self.is_designated_reader.store(false, Ordering::Relaxed);
            }
        }
    }

    /// Reads the upstreams and sends the changes to the peers, repeatedly, until a read fails or a
    /// peer that precedes this VM in the order of names reads as well. Returns after the first read
    /// of the process, so that of many VMs that start together only those with the shortest random
    /// delays go on: 98 VMs made 3,787 calls to the store within 20 s when all of them went on.
    /// Reads are long polls, so that every VM receives a change within milliseconds.
    async fn read_as_designated(&self) {
        let mut poll_limit = ClockSpan::ZERO;
        let first = self.tables.lock().upstreams.position().is_none();
        loop {
            let purpose = if first { ReadPurpose::Own } else { ReadPurpose::Peers { poll_limit } };
            if let Err(error) = self.read_upstreams(purpose).await {
                self.record_designated_failure(&error);
                return;
            }
            if self.expire_missing() {
                self.apply();
            }
            if first || self.exchange.has_preferred_reader() {
                return;
            }
            self.is_designated_reader.store(true, Ordering::Relaxed);
            if self.tables.lock().detector.is_pending() {
                self.check_wanted.notify_one();
            }
            poll_limit = READ_POLL_LIMIT;
            tokio::time::sleep(READ_PAUSE.to_duration()).await;
        }
    }

    /// Waits until a read of the upstreams or the removal of a missing one is due. Reads them when
    /// changes are missing.
    async fn wait_for_read(&self) {
        let due = self.tables.lock().upstreams.next_expiry();
        let next = self.exchange.next_read();
        let next = due.map_or(next, |due| due.min(next));
        let until = self.state.clock.to_instant(next).into();
        tokio::select! {
            () = tokio::time::sleep_until(until) => {}
            () = self.upstreams_wanted.notified() => {
                self.close_gap().await;
                // VMs that start together send many datagrams that reveal the same gap.
                let pause = GAP_PAUSE.scaled(0.5 + rand::random::<f64>());
                tokio::time::sleep(pause.to_duration()).await;
            }
        }
    }

    /// Gets the changes that this VM misses: from a peer, or else from the store. Reads the store if
    /// no peer has reported changes, because this VM was paused.
    async fn close_gap(&self) {
        let misses_changes = || self.tables.lock().misses_changes();
        let refresh = self.upstreams_refresh.swap(false, Ordering::Relaxed);
        if self.state.options.tuning.uses(Mechanism::PeerConfig) && !refresh {
            // Datagrams that arrive out of order close the gap by themselves.
            let pause = REORDER_PAUSE.scaled(0.5 + rand::random::<f64>());
            tokio::time::sleep(pause.to_duration()).await;
            let since = self.state.clock.now();
            while self.state.clock.now().since(since) < GAP_LIMIT {
                if !misses_changes() || self.fetch_changes().await {
                    return;
                }
                let pause = GAP_RETRY_PAUSE.scaled(0.5 + rand::random::<f64>());
                tokio::time::sleep(pause.to_duration()).await;
            }
        }
        if let Err(error) = self.read_upstreams(ReadPurpose::Own).await {
            self.record_gap_failure(&error);
            if !self.fetch_changes().await {
                self.fetch_upstreams(AskReach::Any, false).await;
            }
        }
    }

    /// Reads the upstreams from the store and applies the changes. Depending on `purpose`, sends
    /// them to the peers as well.
    async fn read_upstreams(&self, purpose: ReadPurpose) -> Result<(), StoreError> {
        let poll_limit = match purpose {
            ReadPurpose::Own => ClockSpan::ZERO,
            ReadPurpose::Peers { poll_limit } => poll_limit,
        };
        let asked = self.state.clock.now();
        let known = self.tables.lock().upstreams.position();
        let read = match known {
            Some(position) => self.rows.changes(K::UPSTREAM_TABLE, position, poll_limit).await,
            None => Err(StoreError::HistoryLost),
        };
        let (page, whole) = match read {
            Err(StoreError::HistoryLost) => (self.rows.read_table(K::UPSTREAM_TABLE).await?, true),
            read => (read?, false),
        };
        log_read(K::UPSTREAM_TABLE, &page);
        let now = self.state.clock.now();
        self.state.store.answered(now);
        let timeout_count = self.rows.timeout_count();
        let peer_reads = self.has_recent_peer_read(now);
        let change = {
            let mut guard = self.tables.lock();
            let tables = &mut *guard;
            // Another call may have met an outage that ended before this read began. While peers
            // report reads, only this VM's path to the store failed.
            let unanswered = std::mem::replace(&mut tables.timeout_count, timeout_count)
                != timeout_count
                && !peer_reads;
            let upstreams = &mut tables.upstreams;
            // The failure counts as ended with this answer.
            let failure_recorded =
                (page.after_timeout || unanswered) && upstreams.record_failure(now);
            upstreams.record_success(now);
            let change = match known.filter(|_| !whole) {
                Some(from) => {
                    tables.detector.record_changes(from, &page, now);
                    upstreams.apply_changes::<K>(from, &page, now).unwrap_or_default()
                }
                None => {
                    tables.detector.record_table(page.position, now);
                    upstreams.replace::<K>(&page, now)
                }
            };
            let upstreams_changed = change.upstreams_changed || failure_recorded;
            DirectoryChange { upstreams_changed, ..change }
        };
        // The answer of a long poll shows the state at the end of the poll.
        let made_at = if poll_limit == ClockSpan::ZERO { asked } else { now };
        self.log_changes(&change, "store", now.since(made_at), page.position);
        self.exchange.record_read(page.position, made_at);
        self.tables.lock().read_at = Some(made_at);
        if change.upstreams_changed || known.is_none() {
            self.apply();
        }
        let sends = match purpose {
            // The first read of many VMs that start together keeps the others from reading.
            ReadPurpose::Own if known.is_none() => !peer_reads,
            ReadPurpose::Own => self.exchange.is_unreported(page.position),
            ReadPurpose::Peers { .. } => true,
        };
        if sends {
            let since = change.since.unwrap_or(page.position);
            let update = RowPage { rows: change.changed_rows, ..page };
            self.exchange.send_directory(since, &update, made_at).await;
        }
        Ok(())
    }

    /// Applies changes that a peer has read. Requests a read if earlier changes are missing.
    pub(super) fn apply_peer_rows(
        &self,
        from: u64,
        page: &RowPage,
        complete: bool,
        age: ClockSpan,
    ) {
        let now = self.state.clock.now();
        let applied = {
            let mut tables = self.tables.lock();
            tables.peer_read_at = Some(now);
            tables.read_at = tables.read_at.max(Some(now - age));
            tables.reported_position = tables.reported_position.max(page.position);
            tables.upstreams.apply_peer_changes::<K>(from, page, complete, now)
        };
        let Ok(change) = applied else {
            self.upstreams_wanted.notify_one();
            return;
        };
        self.log_changes(&change, "peer", age, page.position);
        self.exchange.record_read(page.position, now - age);
        if change.upstreams_changed {
            self.apply();
        }
    }

    /// Logs changes of upstreams. `age` is the age of the information from `source`.
    fn log_changes(&self, change: &DirectoryChange, source: &str, age: ClockSpan, position: u64) {
        for row in &change.unreadable {
            let (upstream, error) = (&row.key, &row.error);
            tracing::warn!(event = event::UPSTREAM_UNREADABLE, %upstream, %error);
        }
        for UpstreamTransition { upstream, kind } in &change.transitions {
            log_transition(upstream, *kind, source, age, position);
        }
    }

    /// Records upstreams that reported that they leave. `source` is who told this VM.
    pub(super) fn record_drains(&self, marks: &[DrainMark], source: &str) {
        let now = self.state.clock.now();
        let mut leaving = Vec::new();
        let mut tables = self.tables.lock();
        for mark in marks {
            if tables.upstreams.record_draining(&mark.upstream, mark.incarnation, now) {
                leaving.push(&mark.upstream);
            }
        }
        let position = tables.upstreams.position().unwrap_or(0);
        drop(tables);
        if leaving.is_empty() {
            return;
        }
        for upstream in leaving {
            log_transition(upstream, TransitionKind::Leaving, source, ClockSpan::ZERO, position);
        }
        self.apply();
    }

    /// Removes upstreams that are still missing after an outage of the store. Returns whether the
    /// usable upstreams changed.
    fn expire_missing(&self) -> bool {
        self.tables.lock().upstreams.expire_missing(self.state.clock.now())
    }

    /// Records that a read as designated reader failed.
    fn record_designated_failure(&self, error: &StoreError) {
        tracing::debug!(event = event::STORE_READ_FAILED, %error);
        self.record_store_failure(error);
        self.exchange.record_read_failure();
    }

    /// Records that a read of missing changes failed: a peer has reported them, but this VM has not
    /// received them.
    fn record_gap_failure(&self, error: &StoreError) {
        tracing::debug!(event = event::STORE_READ_FAILED, %error);
        self.record_own_failure(error);
        self.exchange.record_read_failure();
    }

    /// Records that a call to the store for the configuration or for missing changes failed. A VM
    /// that is not the designated reader detects an outage only by such calls. While peers report
    /// reads, the store works and only this VM's path to it does not: an upstream that is removed
    /// meanwhile must not stay in use until this VM reaches the store again.
    pub(super) fn record_own_failure(&self, error: &StoreError) {
        let now = self.state.clock.now();
        if self.state.options.tuning.uses(Mechanism::PeerRemoval) && self.has_recent_peer_read(now)
        {
            self.state.store.failed(error, now);
        } else {
            self.record_store_failure(error);
        }
    }

    /// Records that the store failed a call. Upstreams whose rows are removed from then on stay
    /// usable.
    fn record_store_failure(&self, error: &StoreError) {
        let now = self.state.clock.now();
        self.state.store.failed(error, now);
        if self.tables.lock().upstreams.record_failure(now) {
            self.apply();
        }
    }

    /// Fetches the changes that this VM misses from a peer. Returns whether this VM then has all
    /// changes that it knows of.
    async fn fetch_changes(&self) -> bool {
        let (known, at_least) = {
            let tables = self.tables.lock();
            (tables.upstreams.position(), tables.reported_position)
        };
        let Some(after) = known else { return false };
        self.fetch_table(CopyName::Changes { after, at_least }, AskReach::Any, true).await
    }

    /// Fetches the table of upstreams from a peer. With `recent`, the peer must know of a recent
    /// read of the store. Returns whether this VM then has all changes that it knows of.
    async fn fetch_upstreams(&self, reach: AskReach, recent: bool) -> bool {
        let at_least = self.tables.lock().reported_position;
        self.fetch_table(CopyName::Upstreams { at_least }, reach, recent).await
    }

    async fn fetch_table(&self, name: CopyName, reach: AskReach, recent: bool) -> bool {
        let Some(copy) = self.fetch_copy(name, reach).await else { return false };
        let copy = match serde_json::from_slice::<TableCopy>(&copy) {
            Ok(copy) => copy,
            Err(error) => {
                tracing::debug!(event = event::EXCHANGE_FAILED, %error);
                return false;
            }
        };
        let age = ClockSpan::from_millis(copy.read_age_ms);
        if recent && age > PEER_READ_VALIDITY {
            return false;
        }
        self.apply_copy(copy, age);
        !self.tables.lock().misses_changes()
    }

    /// Applies what a peer has read `age` ago.
    fn apply_copy(&self, mut copy: TableCopy, age: ClockSpan) {
        let now = self.state.clock.now();
        let (since, drains) = (copy.since, std::mem::take(&mut copy.drains));
        let page = copy.into_page();
        self.record_drains(&drains, "peer");
        let (change, is_first) = {
            let mut tables = self.tables.lock();
            let upstreams = &mut tables.upstreams;
            let known = upstreams.position();
            if known >= Some(page.position) {
                return;
            }
            let change = match since {
                Some(since) => upstreams.apply_changes::<K>(since, &page, now).unwrap_or_default(),
                None => upstreams.replace::<K>(&page, now),
            };
            tables.read_at = tables.read_at.max(Some(now - age));
            (change, known.is_none())
        };
        self.log_changes(&change, "peer", age, page.position);
        self.exchange.record_read(page.position, now - age);
        if change.upstreams_changed || is_first {
            self.apply();
        }
    }
}

/// Logs that an upstream became usable, or no longer is.
fn log_transition(
    upstream: &SharedName,
    kind: TransitionKind,
    source: &str,
    age: ClockSpan,
    position: u64,
) {
    tracing::info!(
        event = event::UPSTREAM_CHANGED,
        upstream = upstream.as_str(),
        change = kind.as_str(),
        source,
        age_ms = age.as_millis(),
        position,
        "the state of an upstream changed"
    );
}
