//! The decision whether a call may be sent again.

use base::prelude::*;
use codec::prelude::*;
use http::StatusCode;
use suspect::prelude::*;
use world::prelude::*;

use crate::mechanism::Mechanism;
use crate::options::CallTuning;
use crate::tables::CallTables;

/// What may follow a failed attempt. The outcome of the call limits it further.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// No further attempt.
    End,
    /// Another upstream, within the retry budget.
    Retry,
    /// As `Retry`, unless the call is suspected of having crashed the upstream.
    RetryAfterLoss,
    /// The same upstream on a fresh connection. It costs no retry token, because the upstream has
    /// not answered the first attempt and probably never saw it.
    Repeat,
}

/// What a call may still do after failed attempts.
#[derive(Debug, Default)]
pub struct RetryRecord {
    /// A suspect runs once only.
    isolated: bool,
    /// Whether a silent connection was replaced.
    repeated: bool,
    /// Whether a connection was lost. A second one could mean that the call crashes upstreams.
    lost: bool,
    /// Whether any attempt may have been run.
    may_have_run: bool,
    /// Whether calls that must not run twice may do so, as only tests allow.
    unguarded: bool,
}

impl RetryRecord {
    /// Returns the record of a call without attempts.
    pub fn new(isolated: bool, tuning: &CallTuning) -> Self {
        let unguarded = !tuning.uses(Mechanism::AtMostOnce);
        Self { isolated, unguarded, ..Self::default() }
    }

    /// Notes how an attempt ended.
    pub fn note(&mut self, fate: CallFate) {
        self.may_have_run |= fate == CallFate::Unknown;
    }

    /// Returns whether another attempt may follow one that ended with `fate`, and takes what it
    /// costs.
    pub fn allows(
        &mut self,
        tables: &CallTables,
        request: &CallerRequest,
        fate: CallFate,
        next: NextStep,
        now: ClockTime,
    ) -> bool {
        let repeatable = fate == CallFate::NotRun || may_run_twice(request) || self.unguarded;
        if self.isolated || !repeatable {
            return false;
        }
        let allow = || tables.retries.allow_retry(request, now);
        match next {
            NextStep::End => false,
            NextStep::Retry => allow(),
            NextStep::RetryAfterLoss => {
                let first = !std::mem::replace(&mut self.lost, true);
                first && is_clear(&tables.suspects, request.fingerprint, now) && allow()
            }
            NextStep::Repeat => !std::mem::replace(&mut self.repeated, true),
        }
    }

    /// Returns what is known of the call as a whole.
    pub const fn fate(&self) -> CallFate {
        if self.may_have_run { CallFate::Unknown } else { CallFate::NotRun }
    }

    /// Returns the refusal of a call whose body cannot be sent again.
    pub fn refuse(&self, message: &str) -> CallRefusal {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        CallRefusal { fate: self.fate(), ..CallRefusal::not_run(status, message) }
    }
}

/// Returns whether two runs of a call have the effect of one. Work with a key is kept under its
/// claim and runs once.
pub fn may_run_twice(request: &CallerRequest) -> bool {
    request.idempotent && request.key.is_none()
}

fn is_clear(suspects: &SuspectTable, fingerprint: u64, now: ClockTime) -> bool {
    match suspects.review(fingerprint, now) {
        SuspectVerdict::Clear => true,
        SuspectVerdict::Isolated => {
            suspects.abandon(fingerprint, now);
            false
        }
        SuspectVerdict::Refused => false,
    }
}
