//! When a VM asks a peer for the VMs that it knows, and which one.

use base::prelude::*;

use crate::tuning::MembershipTuning;

/// The next request, and how many have been made since the first contact.
#[derive(Clone, Debug, Default)]
pub(crate) struct QuerySchedule {
    /// When the next request is due, or `None` before the first contact.
    due_at: Option<ClockTime>,
    rounds: u32,
    /// The VM to ask, or `None` for any.
    peer: Option<SharedName>,
}

impl QuerySchedule {
    /// Schedules the first request, unless there was one.
    pub(crate) fn start(
        &mut self,
        tuning: &MembershipTuning,
        random: &mut RandomSource,
        now: ClockTime,
    ) {
        if self.due_at.is_none() {
            self.due_at = Some(now + tuning.query_spacing.scaled(random.unit()));
        }
    }

    /// Schedules requests, the first one to `peer`. It is delayed at random, because many VMs may hear of that
    /// peer at once.
    pub(crate) fn ask(
        &mut self,
        peer: SharedName,
        tuning: &MembershipTuning,
        random: &mut RandomSource,
        now: ClockTime,
    ) {
        (self.peer, self.rounds) = (Some(peer), 0);
        self.due_at = Some(now + tuning.query_spacing.scaled(random.unit()));
    }

    /// Returns whether a request is due, and if so whom to ask, and schedules the next one.
    pub(crate) fn start_due(
        &mut self,
        tuning: &MembershipTuning,
        random: &mut RandomSource,
        now: ClockTime,
    ) -> Option<Option<SharedName>> {
        if self.due_at.is_none_or(|due_at| now < due_at) {
            return None;
        }
        self.rounds = self.rounds.saturating_add(1);
        let is_early = self.rounds < tuning.query_rounds;
        let mean = if is_early { tuning.query_spacing } else { tuning.query_period };
        self.due_at = Some(now + mean.scaled(0.5 + random.unit()));
        Some(self.peer.take())
    }
}
