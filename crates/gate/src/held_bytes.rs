//! Bounds the memory for answers that are held until they are whole.
//!
//! Depends on no other module of this crate.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The bytes that all calls of a process may hold together, a twentieth of the memory of the smallest
/// VM. Buffers that grow take up to twice as much for a moment.
const TOTAL_BYTES: usize = 8 * 1024 * 1024;
/// The bytes of one permit.
const UNIT_BYTES: usize = 1024;
/// The longest part that is handed to the caller's connection at once. What the connection has not
/// taken yet stays counted.
const PART_BYTES: usize = 16 * 1024;

/// The memory for answers that are held until they are whole.
#[derive(Clone, Debug)]
pub struct HeldMemory {
    units: Arc<Semaphore>,
}

impl Default for HeldMemory {
    fn default() -> Self {
        Self { units: Arc::new(Semaphore::new(TOTAL_BYTES / UNIT_BYTES)) }
    }
}

impl HeldMemory {
    /// Reserves memory for an answer of at most `bytes`, until the permit is dropped. Returns `None`
    /// if the answers of other calls take it.
    pub fn reserve(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let units = u32::try_from(bytes.div_ceil(UNIT_BYTES)).ok()?;
        Arc::clone(&self.units).try_acquire_many_owned(units).ok()
    }
}

/// The body of an answer in memory.
#[derive(Debug)]
pub struct HeldBody {
    bytes: Bytes,
    _permit: Option<OwnedSemaphorePermit>,
}

impl HeldBody {
    /// Returns a body for which `permit` was reserved, unless it is one of the gateway's own.
    pub fn new(bytes: Bytes, permit: Option<OwnedSemaphorePermit>) -> Self {
        Self { bytes, _permit: permit }
    }

    /// Returns the length of the rest in bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether nothing is left.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Removes the next part.
    pub fn next_part(&mut self) -> Bytes {
        self.bytes.split_to(PART_BYTES.min(self.bytes.len()))
    }
}
