//! The state of quotas on this VM: the parts that it owns, the credits that it holds, and its requests
//! to other VMs. [`crate::quota`] uses it.
//!
//! Depends on [`crate::exchange`] only.

use std::collections::HashMap;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, OnceLock};

use account::prelude::*;
use base::prelude::*;
use peer::prelude::*;
use tokio::sync::oneshot;
use world::prelude::*;

use crate::exchange::VmExchange;

/// The quotas of accounts: the parts that this VM owns, and the credits that it holds.
#[derive(Debug)]
pub struct QuotaTable {
    pub(crate) exchange: OnceLock<Arc<VmExchange>>,
    pub(crate) owner: RankedMutex<QuotaOwner>,
    pub(crate) credits: RankedMutex<CreditStore>,
    /// The requests that wait for an answer.
    pub(crate) pending: RankedMutex<HashMap<u64, oneshot::Sender<CreditAnswerMessage>>>,
    pub(crate) next_id: AtomicU64,
    /// When what depends on the membership was last updated.
    pub(crate) updated_at: RankedMutex<Option<ClockTime>>,
}

/// An entry of the pending requests, which is removed when the call no longer waits.
pub(crate) struct PendingRequest<'a> {
    pub(crate) table: &'a QuotaTable,
    pub(crate) id: u64,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        self.table.pending.lock().remove(&self.id);
    }
}

impl Default for QuotaTable {
    fn default() -> Self {
        Self {
            exchange: OnceLock::new(),
            owner: RankedMutex::new(LockRank::QuotaTable, QuotaOwner::new()),
            credits: RankedMutex::new(LockRank::PeerTable, CreditStore::default()),
            pending: RankedMutex::new(LockRank::PeerTable, HashMap::new()),
            next_id: AtomicU64::new(rand::random()),
            updated_at: RankedMutex::new(LockRank::PeerTable, None),
        }
    }
}

impl QuotaTable {
    /// Sets the exchange with other VMs.
    pub(crate) fn connect(&self, exchange: &Arc<VmExchange>) {
        // There is one exchange for the life of the process.
        let _ = self.exchange.set(Arc::clone(exchange));
    }

    /// Gives back the credit of a call that was not run.
    pub fn give_back(&self, account: &ClientAccount, now: ClockTime) {
        if account.quota.is_some() {
            self.credits.lock().add(&account.name, 1, now);
        }
    }

    /// Hands an answer to the call that waits for it.
    pub(crate) fn receive_answer(&self, answer: CreditAnswerMessage) {
        let waiting = self.pending.lock().remove(&answer.id);
        // A call that no longer waits leaves its credits unused; they count as spent.
        if let Some(sender) = waiting {
            let _ = sender.send(answer);
        }
    }
}
