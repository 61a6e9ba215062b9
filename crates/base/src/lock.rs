//! Locks that check the lock order in debug builds.

use std::ops::{Deref, DerefMut};

use parking_lot::{Mutex, MutexGuard, RwLock, RwLockReadGuard, RwLockWriteGuard};

/// The position of a lock in the lock order. A thread may take a lock only if its rank is higher
/// than every rank that the thread already holds.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[repr(u8)]
pub enum LockRank {
    /// Calls that wait for a slot, and limits for their admission.
    WaitQueue = 10,
    /// Evidence on the upstreams of a service, and reservations of their slots.
    UpstreamTable = 20,
    /// Retry tokens of services.
    RetryBudget = 30,
    /// Probe tokens of services.
    ProbeBudget = 40,
    /// Requests suspected of crashing upstreams.
    SuspectTable = 50,
    /// Claims on idempotency keys that are in progress.
    ClaimTable = 60,
    /// Peers, and what they and the store report.
    PeerTable = 70,
    /// The parts of quotas that this VM owns.
    QuotaTable = 75,
    /// Open connections.
    ConnectionPool = 80,
    /// Latency histograms and error budgets of services.
    BurnTable = 90,
    /// Counts for log limits, and whether dependencies respond.
    TraceTable = 100,
}

#[cfg(debug_assertions)]
mod held {
    use std::cell::RefCell;

    use super::LockRank;

    thread_local! {
        static HELD: RefCell<Vec<LockRank>> = const { RefCell::new(Vec::new()) };
    }

    pub fn acquire(rank: LockRank) {
        HELD.with_borrow_mut(|held| {
            if let Some(top) = held.iter().max() {
                assert!(rank > *top, "lock order violated: {rank:?} taken while {top:?} is held");
            }
            held.push(rank);
        });
    }

    pub fn release(rank: LockRank) {
        HELD.with_borrow_mut(|held| {
            if let Some(index) = held.iter().rposition(|entry| *entry == rank) {
                held.remove(index);
            }
        });
    }
}

#[cfg(not(debug_assertions))]
mod held {
    use super::LockRank;

    #[inline(always)]
    pub fn acquire(_rank: LockRank) {}

    #[inline(always)]
    pub fn release(_rank: LockRank) {}
}

/// Registers the rank of a held lock with its thread until it is dropped.
#[derive(Debug)]
struct HeldRank(LockRank);

impl HeldRank {
    fn new(rank: LockRank) -> Self {
        held::acquire(rank);
        Self(rank)
    }
}

impl Drop for HeldRank {
    fn drop(&mut self) {
        held::release(self.0);
    }
}

/// The guard of a held lock. The lock is released before its rank.
#[derive(Debug)]
pub struct RankedGuard<G> {
    guard: G,
    _held_rank: HeldRank,
}

impl<G: Deref> Deref for RankedGuard<G> {
    type Target = G::Target;

    fn deref(&self) -> &G::Target {
        &self.guard
    }
}

impl<G: DerefMut> DerefMut for RankedGuard<G> {
    fn deref_mut(&mut self) -> &mut G::Target {
        &mut self.guard
    }
}

/// A mutex with a rank.
#[derive(Debug)]
pub struct RankedMutex<T> {
    rank: LockRank,
    inner: Mutex<T>,
}

impl<T> RankedMutex<T> {
    /// Returns an unlocked mutex.
    pub const fn new(rank: LockRank, value: T) -> Self {
        Self { rank, inner: Mutex::new(value) }
    }

    /// Locks the mutex.
    ///
    /// # Panics
    ///
    /// Panics in debug builds if the thread holds a lock of the same or a higher rank.
    pub fn lock(&self) -> RankedGuard<MutexGuard<'_, T>> {
        let held_rank = HeldRank::new(self.rank);
        RankedGuard { guard: self.inner.lock(), _held_rank: held_rank }
    }
}

/// A reader-writer lock with a rank.
#[derive(Debug)]
pub struct RankedRwLock<T> {
    rank: LockRank,
    inner: RwLock<T>,
}

impl<T> RankedRwLock<T> {
    /// Returns an unlocked lock.
    pub const fn new(rank: LockRank, value: T) -> Self {
        Self { rank, inner: RwLock::new(value) }
    }

    /// Locks for reading.
    ///
    /// # Panics
    ///
    /// Panics in debug builds if the thread holds a lock of the same or a higher rank.
    pub fn read(&self) -> RankedGuard<RwLockReadGuard<'_, T>> {
        let held_rank = HeldRank::new(self.rank);
        RankedGuard { guard: self.inner.read(), _held_rank: held_rank }
    }

    /// Locks for writing.
    ///
    /// # Panics
    ///
    /// Panics in debug builds if the thread holds a lock of the same or a higher rank.
    pub fn write(&self) -> RankedGuard<RwLockWriteGuard<'_, T>> {
        let held_rank = HeldRank::new(self.rank);
        RankedGuard { guard: self.inner.write(), _held_rank: held_rank }
    }
}
