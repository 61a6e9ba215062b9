//! Start-up of a VM: a random delay, joining the other VMs, and a warm-up during which it takes a
//! rising share of calls. Depends on [`crate::membership`] for the VMs that are reachable.

use base::prelude::*;

use crate::membership::MembershipTable;
use crate::tuning::StartTuning;

/// Where a VM is in its start-up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartStage {
    /// Delaying its first datagrams and store reads by a random time, so that VMs that start
    /// together do not send them together.
    Waiting,
    /// Exchanging datagrams with peers, not yet ready.
    Joining,
    /// Ready for calls.
    Ready,
}

/// The start-up of a VM.
#[derive(Clone, Debug)]
pub struct StartPlan {
    tuning: StartTuning,
    first_at: ClockTime,
    ready_at: Option<ClockTime>,
}

impl StartPlan {
    /// Creates the plan of a VM that starts now, with a random delay.
    pub fn new(tuning: StartTuning, now: ClockTime, random: &mut RandomSource) -> Self {
        let first_at = now + tuning.jitter.scaled(random.unit());
        Self { tuning, first_at, ready_at: None }
    }

    /// Returns when the first datagrams and the first reads of the store are due.
    pub fn first_at(&self) -> ClockTime {
        self.first_at
    }

    /// Advances the start-up. The VM becomes ready once a configuration is active (`configured`)
    /// and a peer is reachable, or the join limit has passed.
    pub fn advance(
        &mut self,
        membership: &MembershipTable,
        configured: bool,
        now: ClockTime,
    ) -> StartStage {
        if now < self.first_at {
            return StartStage::Waiting;
        }
        if self.ready_at.is_none() {
            let waited = now.since(self.first_at) >= self.tuning.join_limit;
            if configured && (waited || membership.counts().reachable > 1) {
                self.ready_at = Some(now);
            }
        }
        if self.ready_at.is_some() { StartStage::Ready } else { StartStage::Joining }
    }

    /// Returns the warm-up ramp, or `None` until the VM is ready.
    pub fn ramp(&self) -> Option<WarmupRamp> {
        self.ready_at.map(|start| WarmupRamp {
            start,
            length: self.tuning.warmup,
            first_share: self.tuning.first_share,
        })
    }
}

/// The share of calls that a VM takes during its warm-up, while its caches are empty, few
/// connections are open and little is known about the upstreams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupRamp {
    /// When the VM became ready.
    pub start: ClockTime,
    /// Time until the full share.
    pub length: ClockSpan,
    /// The share at the start, `0.0..1.0`.
    pub first_share: f64,
}

impl WarmupRamp {
    /// Returns the share at `now`, `0.0..=1.0`.
    pub fn share(&self, now: ClockTime) -> f64 {
        let length = self.length.as_millis_f64();
        if length <= 0.0 {
            return 1.0;
        }
        let passed = (now.since(self.start).as_millis_f64() / length).min(1.0);
        self.first_share + (1.0 - self.first_share) * passed
    }
}
