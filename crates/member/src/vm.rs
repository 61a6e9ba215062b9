//! State of the contact with another VM: when the last one was, how many hellos the VM has not
//! answered, and whether it is lost or given up. The thresholds are in [`MembershipTuning`].

use base::prelude::*;
use directory::entry::VmEntry;

use crate::tuning::MembershipTuning;

/// Past this exponent the time between two hellos is at its cap.
const MAX_DOUBLINGS: u32 = 16;

/// What is known about another VM.
#[derive(Clone, Debug)]
pub(crate) struct MemberState {
    pub(crate) entry: VmEntry,
    /// Whether it reported that it is shutting down.
    pub(crate) shutting_down: bool,
    /// When this incarnation became known.
    pub(crate) added_at: ClockTime,
    /// When the last datagram or broadcast of this incarnation arrived.
    pub(crate) last_contact: Option<ClockTime>,
    /// Whether it did not answer hellos of this VM or of a peer, and there was no contact since.
    pub(crate) lost: bool,
    /// When the first unanswered hello was sent, or the hellos were restarted. The VM is given up
    /// when the give-up time has passed since.
    pub(crate) unanswered_since: ClockTime,
    /// Hellos sent since the last contact with the VM or since the hellos were restarted.
    pub(crate) unanswered: u32,
    /// Whether its loss is to be broadcast although it is no neighbour, because it is checked after
    /// a loss in its data centre.
    pub(crate) checked: bool,
    /// Remaining hellos that are sent even after contact with the VM.
    pub(crate) initial_hellos: u32,
    /// When the next hello is due.
    pub(crate) due_at: ClockTime,
}

impl MemberState {
    pub(crate) fn new(entry: VmEntry, initial_hellos: u32, now: ClockTime) -> Self {
        Self {
            entry,
            shutting_down: false,
            added_at: now,
            last_contact: None,
            lost: false,
            unanswered_since: now,
            unanswered: 0,
            checked: false,
            initial_hellos,
            due_at: now,
        }
    }

    /// Returns the time since the last contact with the VM, or since it became known.
    pub(crate) fn silence(&self, now: ClockTime) -> ClockSpan {
        now.since(self.last_contact.unwrap_or(self.added_at))
    }

    /// Returns whether the VM was heard of, is not lost and is not shutting down.
    pub(crate) fn is_in_service(&self) -> bool {
        !self.lost && !self.shutting_down && self.last_contact.is_some()
    }

    /// Returns whether the VM is shutting down and not lost.
    pub(crate) fn is_leaving(&self) -> bool {
        self.shutting_down && !self.lost && self.last_contact.is_some()
    }

    pub(crate) fn is_given_up(&self, tuning: &MembershipTuning, now: ClockTime) -> bool {
        !self.shutting_down
            && self.unanswered > 0
            && now.since(self.unanswered_since) >= tuning.give_up_after
    }

    /// Returns whether the VM is lost from now on. A VM that is shutting down gets no hellos, so
    /// that only the time since the last contact counts.
    pub(crate) fn becomes_lost(&self, tuning: &MembershipTuning, now: ClockTime) -> bool {
        let silence = self.silence(now);
        let unanswered = self.unanswered >= tuning.lost_tries && silence >= tuning.lost_after;
        !self.lost && if self.shutting_down { silence >= tuning.give_up_after } else { unanswered }
    }

    pub(crate) fn is_due(&self, now: ClockTime) -> bool {
        !self.shutting_down && self.due_at <= now
    }

    /// Returns the time until the next hello, for a VM that is not given up.
    pub(crate) fn retry_wait(&self, tuning: &MembershipTuning) -> ClockSpan {
        if self.unanswered.saturating_add(1) >= tuning.fast_tries {
            return tuning.hello_period;
        }
        let factor = f64::from(1_u32 << self.unanswered.min(MAX_DOUBLINGS));
        tuning.first_retry.scaled(factor).min(tuning.retry_cap)
    }

    /// Records that a datagram or broadcast arrived. No hello is needed for `wait`.
    pub(crate) fn record_contact(&mut self, wait: ClockSpan, now: ClockTime) {
        self.last_contact = Some(now);
        (self.lost, self.checked) = (false, false);
        self.unanswered_since = now;
        if self.initial_hellos == 0 {
            self.unanswered = 0;
            self.due_at = now + wait;
        }
    }

    /// Makes a hello due now and restarts the time after which the VM is given up.
    pub(crate) fn restart_hellos(&mut self, initial_hellos: u32, now: ClockTime) {
        self.unanswered_since = now;
        self.unanswered = 0;
        self.initial_hellos = initial_hellos;
        self.due_at = now;
    }

    /// Counts a hello that is sent now. The next one is due after `wait`.
    pub(crate) fn count_hello(&mut self, wait: ClockSpan, now: ClockTime) {
        if self.unanswered == 0 {
            self.unanswered_since = now;
        }
        self.unanswered = self.unanswered.saturating_add(1);
        self.initial_hellos = self.initial_hellos.saturating_sub(1);
        self.due_at = now + wait;
    }
}
