//! Ids of health checks.

use std::sync::atomic::{AtomicU64, Ordering};

use http::HeaderValue;

/// Ids of the checks of one process. The random part keeps the late answer to a check of another
/// process, or of this one before a restart, from being taken for the answer to a new check.
#[derive(Debug)]
pub struct CheckIds {
    random: u32,
    next: AtomicU64,
}

impl CheckIds {
    /// Returns the ids of a process. `random` is drawn once at its start.
    pub const fn new(random: u32) -> Self {
        Self { random, next: AtomicU64::new(1) }
    }

    /// Returns an id that no other check has.
    pub fn next(&self) -> HeaderValue {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let text = format!("check-{:08x}-{number:x}", self.random);
        // Letters, digits and hyphens are always a valid value.
        HeaderValue::try_from(text).unwrap_or_else(|_| HeaderValue::from(number))
    }
}
