//! Counters of control traffic.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counts the bytes of messages in both directions, without HTTP headers, and rejected requests.
#[derive(Debug, Default)]
pub struct ControlCounts {
    sent: AtomicU64,
    received: AtomicU64,
    refused: AtomicU64,
}

/// The values of the counters.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ControlUsage {
    /// Bytes of requests and answers that were sent.
    pub sent_bytes: u64,
    /// Bytes of requests and answers that were received.
    pub received_bytes: u64,
    /// Requests without an accepted secret.
    pub refused: u64,
}

impl ControlCounts {
    /// Returns the values of the counters.
    pub fn usage(&self) -> ControlUsage {
        ControlUsage {
            sent_bytes: self.sent.load(Ordering::Relaxed),
            received_bytes: self.received.load(Ordering::Relaxed),
            refused: self.refused.load(Ordering::Relaxed),
        }
    }

    pub(crate) fn add_sent(&self, bytes: u64) {
        self.sent.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn add_received(&self, bytes: u64) {
        self.received.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn add_refused(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }
}
