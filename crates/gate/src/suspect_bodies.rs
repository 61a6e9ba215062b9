//! Bounds the memory for long bodies of requests that may crash upstreams.
//!
//! A long body is usually passed on while it arrives, so that the fingerprint of the request covers
//! only its head. If upstreams crashed during requests with the same head, the body is read first.
//!
//! Depends on no other module of this crate.

use codec::prelude::*;
use tokio::sync::{Semaphore, SemaphorePermit};

/// The longest body that is read. Longer than any of the users' workloads.
const MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;
/// The bytes that are read of all such bodies together, a tenth of the memory of the smallest VM.
const TOTAL_BYTES: u64 = 16 * 1024 * 1024;
/// The bytes of one permit.
const UNIT_BYTES: u64 = 4 * 1024;

/// The memory for long bodies of suspects.
#[derive(Debug)]
pub struct SuspectBodies {
    units: Semaphore,
}

impl Default for SuspectBodies {
    fn default() -> Self {
        Self { units: Semaphore::new(TOTAL_BYTES.div_ceil(UNIT_BYTES) as usize) }
    }
}

impl SuspectBodies {
    /// Reserves memory for a body. Returns how many bytes may be read, and a permit that is held as
    /// long as they are in memory, or `None` if the body is too long or other bodies take the memory.
    pub fn reserve(&self, length: BodyLength) -> Option<(usize, SemaphorePermit<'_>)> {
        let bytes = match length {
            BodyLength::Known(length) if length > MAX_BODY_BYTES => return None,
            BodyLength::Known(length) => length,
            BodyLength::Chunked => MAX_BODY_BYTES,
        };
        let units = u32::try_from(bytes.div_ceil(UNIT_BYTES)).ok()?;
        let permit = self.units.try_acquire_many(units).ok()?;
        Some((usize::try_from(bytes).ok()?, permit))
    }
}
