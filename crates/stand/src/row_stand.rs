//! The row store stand-in: an in-memory store over HTTP, whose faults are switched at run time.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use tokio::task::JoinSet;

use crate::error::StandError;
use crate::port::{PortControl, StandPort};
use crate::row_core::{self, RowCore};
use crate::row_dialect::RowDialect;
use crate::row_plan::{RowCounts, RowPlan};
use crate::rows::{RowChange, RowPath, RowTransaction};
use crate::web;

/// Direct access to the rows of a store. It needs no call, so it works during an outage. Clones use
/// the same store.
#[derive(Clone, Debug)]
pub struct RowHandle {
    core: Arc<RowCore>,
}

impl RowHandle {
    /// Writes a row and returns the version of the store.
    pub fn put(&self, path: RowPath, value: impl Into<Bytes>) -> u64 {
        let writes = vec![(path, value.into())];
        self.commit(&RowTransaction { writes, ..RowTransaction::default() })
            .unwrap_or_else(|| self.version())
    }

    /// Removes a row and returns the version of the store.
    pub fn remove(&self, path: RowPath) -> u64 {
        let deletes = vec![path];
        self.commit(&RowTransaction { deletes, ..RowTransaction::default() })
            .unwrap_or_else(|| self.version())
    }

    /// Executes a transaction and returns the version of the store, or `None` if a condition is not
    /// met.
    pub fn commit(&self, transaction: &RowTransaction) -> Option<u64> {
        self.core.commit(transaction)
    }

    /// Returns a row, or `None` if it does not exist.
    pub fn row(&self, path: &RowPath) -> Option<RowChange> {
        self.core.with_tables(|tables, _| tables.row(path))
    }

    /// Returns the version of the store.
    pub fn version(&self) -> u64 {
        self.core.with_tables(|tables, _| tables.version())
    }

    /// Waits until the condition on the value of a row holds. The value is `None` if there is no
    /// row.
    pub async fn wait_for_row(&self, path: &RowPath, condition: impl Fn(Option<&[u8]>) -> bool) {
        self.core.wait_for_row(path, condition).await;
    }
}

/// A running row store stand-in. It stops when it is dropped.
#[derive(Debug)]
pub struct RowStand<D> {
    core: Arc<RowCore>,
    control: PortControl,
    address: SocketAddr,
    tasks: JoinSet<()>,
    dialect: PhantomData<D>,
}

impl<D: RowDialect> RowStand<D> {
    /// Starts an empty store in the current tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(plan: RowPlan) -> Result<Self, StandError> {
        let (port, control) = StandPort::open(plan.listen)?;
        let address = port.address();
        let core = RowCore::new(plan);
        let mut tasks = JoinSet::new();
        tasks.spawn(accept::<D>(core.clone(), port));
        Ok(Self { core, control, address, tasks, dialect: PhantomData })
    }

    /// Returns the address on which the store listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the current plan. `lost_answers` of a fault is the number of answers still to be
    /// lost.
    pub fn plan(&self) -> RowPlan {
        self.core.plan()
    }

    /// Replaces the current plan. `listen` has no effect.
    pub fn set_plan(&self, plan: RowPlan) {
        self.core.update(|current| *current = plan);
    }

    /// Changes fields of the current plan.
    pub fn update(&self, change: impl FnOnce(&mut RowPlan)) {
        self.core.update(change);
    }

    /// Drops the history of all changes so far. Later changes are kept according to the plan.
    pub fn drop_history(&self) {
        self.core.with_tables(|tables, _| tables.drop_history());
        // Wakes the calls that wait for a change after an older version, whose history is lost.
        self.core.update(|_| {});
    }

    /// Returns the current counters.
    pub fn counts(&self) -> RowCounts {
        self.core.counts()
    }

    /// Waits until the condition on the counters holds.
    pub async fn wait_for(&self, condition: impl Fn(&RowCounts) -> bool) {
        self.core.wait_for(condition).await;
    }

    /// Returns a handle for direct access to the rows.
    pub fn handle(&self) -> RowHandle {
        RowHandle { core: self.core.clone() }
    }

    /// Closes every open connection. New ones are accepted.
    pub fn cut(&self) {
        self.control.cut();
    }

    /// Accepts connections (`listening`), or closes the open ones and refuses new ones
    /// (`!listening`).
    /// Returns when the change has taken effect.
    pub async fn listen(&self, listening: bool) {
        if listening {
            self.control.open();
        } else {
            self.control.close_and_cut();
        }
        self.control.wait_listening(listening).await;
    }

    /// Stops and waits until the address is free for another listener.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
    }
}

impl<D> Drop for RowStand<D> {
    fn drop(&mut self) {
        self.control.close_and_cut();
    }
}

async fn accept<D: RowDialect>(core: Arc<RowCore>, port: StandPort) {
    port.run(|stream, cut| {
        // A connection that has already ended has no source address.
        let Ok(source) = stream.peer_addr().map(|address| address.ip()) else { return };
        let core = core.clone();
        let handler = move |request| row_core::serve::<D>(core.clone(), source, request);
        tokio::spawn(web::serve_scripted(stream, cut, std::future::pending(), handler));
    })
    .await;
}
