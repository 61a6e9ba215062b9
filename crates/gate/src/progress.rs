//! How far one call has come: whether an attempt is at an upstream, and the time spent there.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use base::prelude::*;
use codec::prelude::*;

/// The progress of a call over all its attempts.
#[derive(Debug, Default)]
pub struct CallProgress {
    upstream_time: AtomicU64,
    at_upstream: AtomicBool,
    may_have_run: AtomicBool,
}

impl CallProgress {
    /// Adds the time that an attempt spent at its upstream.
    pub fn add_upstream_time(&self, span: ClockSpan) {
        self.upstream_time.fetch_add(span.as_hundredths(), Ordering::Relaxed);
    }

    /// Returns the time that all attempts spent at their upstreams.
    pub fn upstream_time(&self) -> ClockSpan {
        ClockSpan::from_hundredths(self.upstream_time.load(Ordering::Relaxed))
    }

    /// Records that an attempt is sent to its upstream.
    pub fn start_attempt(&self) {
        self.at_upstream.store(true, Ordering::Relaxed);
    }

    /// Records that an attempt failed, and whether it may have been run.
    pub fn end_attempt(&self, fate: CallFate) {
        self.at_upstream.store(false, Ordering::Relaxed);
        if fate == CallFate::Unknown {
            self.may_have_run.store(true, Ordering::Relaxed);
        }
    }

    /// Returns whether an attempt was sent to an upstream and has not failed.
    pub fn is_at_upstream(&self) -> bool {
        self.at_upstream.load(Ordering::Relaxed)
    }

    /// Returns whether an upstream may have run the call, if no attempt is at an upstream.
    pub fn fate(&self) -> CallFate {
        if self.may_have_run.load(Ordering::Relaxed) { CallFate::Unknown } else { CallFate::NotRun }
    }
}
