//! Thread-local state of the worker that runs the current task.

use std::cell::RefCell;
use std::sync::atomic::{AtomicU32, Ordering};

use base::prelude::*;

/// The number of the next worker.
static NEXT_INDEX: AtomicU32 = AtomicU32::new(0);

struct WorkerLocal {
    index: u32,
    random: RandomSource,
}

thread_local! {
    static LOCAL: RefCell<WorkerLocal> = RefCell::new(WorkerLocal::new());
}

impl WorkerLocal {
    fn new() -> Self {
        let index = NEXT_INDEX.fetch_add(1, Ordering::Relaxed);
        Self { index, random: RandomSource::from_seed(rand::random()) }
    }
}

/// Returns the number of the current worker. Threads are numbered in the order in which they first
/// use this module, so the number can differ from the one in the name of the thread.
pub fn index() -> u32 {
    LOCAL.with_borrow(|local| local.index)
}

/// Calls `action` with the random source of the current worker.
pub fn with_random<T>(action: impl FnOnce(&mut RandomSource) -> T) -> T {
    LOCAL.with_borrow_mut(|local| action(&mut local.random))
}
