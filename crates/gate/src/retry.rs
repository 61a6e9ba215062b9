//! The decision whether a call may be sent again.

use base::prelude::*;
use codec::prelude::*;
use http::StatusCode;
use limit::prelude::RetryDenial;
use suspect::prelude::*;
use trace::prelude::StopReason;
use world::prelude::*;

use crate::mechanism::Mechanism;
use crate::options::CallTuning;
use crate::tables::CallTables;

/// What may follow a failed attempt. The state of the call limits it further.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// No further attempt.
    End,
    /// Another upstream, within the retry budget.
    Retry,
    /// As `Retry`, unless the call is suspected of having crashed the upstream.
    RetryAfterLoss,
    /// Another upstream. The retry was taken from the budget before the attempt was ended.
    PaidRetry,
    /// The same upstream on a new connection. It costs no retry token, because the upstream has not
    /// answered the first attempt and probably never received it.
    Resend,
}

/// What a call may still do after failed attempts.
#[derive(Debug, Default)]
pub struct RetryState {
    /// Whether the call is a suspect, which gets a single attempt.
    isolated: bool,
    /// Whether the call was already sent again because its connection no longer responded.
    resent: bool,
    /// Whether a connection was lost. A second one could mean that the call crashes upstreams.
    lost: bool,
    /// Whether any attempt may have been run.
    may_have_run: bool,
    /// Whether calls that must not run twice may do so. Only for tests.
    unguarded: bool,
    /// Whether retries are not limited by the budget. Only for tests.
    unbudgeted: bool,
}

impl RetryState {
    /// Returns the state of a call without attempts. `isolated` is whether it is a suspect.
    pub fn new(isolated: bool, tuning: &CallTuning) -> Self {
        let unguarded = !tuning.uses(Mechanism::AtMostOnce);
        let unbudgeted = !tuning.uses(Mechanism::RetryBudget);
        Self { isolated, unguarded, unbudgeted, ..Self::default() }
    }

    /// Returns whether the call is a suspect, which gets a single attempt.
    pub const fn is_isolated(&self) -> bool {
        self.isolated
    }

    /// Records whether an attempt may have been run.
    pub fn record_attempt(&mut self, fate: CallFate) {
        self.may_have_run |= fate == CallFate::Unknown;
    }

    /// Allows another attempt after one that ended with `fate`, and takes its cost from the retry
    /// budget.
    ///
    /// # Errors
    ///
    /// Returns why no further attempt may follow.
    pub fn try_retry(
        &mut self,
        tables: &CallTables,
        request: &CallerRequest,
        fate: CallFate,
        next: NextStep,
        now: ClockTime,
    ) -> Result<(), StopReason> {
        if self.isolated {
            return Err(StopReason::Suspect);
        }
        let may_run_again = fate == CallFate::NotRun || may_run_twice(request) || self.unguarded;
        if !may_run_again {
            return Err(StopReason::NotIdempotent);
        }
        let unbudgeted = self.unbudgeted;
        let allow = || match tables.retries.try_retry(request, now) {
            Err(RetryDenial::Budget) if unbudgeted => Ok(()),
            result => result.map_err(stop_reason),
        };
        match next {
            // The deadline of the call passed during the attempt.
            NextStep::End => Err(StopReason::Deadline),
            NextStep::Retry => allow(),
            NextStep::RetryAfterLoss => {
                let first = !std::mem::replace(&mut self.lost, true);
                if first && is_clear(&tables.suspects, request.fingerprint, now) {
                    allow()
                } else {
                    Err(StopReason::Suspect)
                }
            }
            NextStep::PaidRetry => Ok(()),
            NextStep::Resend if std::mem::replace(&mut self.resent, true) => {
                Err(StopReason::Attempts)
            }
            NextStep::Resend => Ok(()),
        }
    }

    /// Returns whether any attempt of the call may have been run.
    pub const fn fate(&self) -> CallFate {
        if self.may_have_run { CallFate::Unknown } else { CallFate::NotRun }
    }

    /// Returns the refusal of a call whose body cannot be sent again.
    pub fn refuse(&self, message: &str) -> CallRefusal {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        CallRefusal { fate: self.fate(), ..CallRefusal::not_run(status, message) }
    }
}

const fn stop_reason(denial: RetryDenial) -> StopReason {
    match denial {
        RetryDenial::Attempts => StopReason::Attempts,
        RetryDenial::Deadline => StopReason::Deadline,
        RetryDenial::Budget => StopReason::Budget,
    }
}

/// Returns whether two runs of a call have the effect of one. A call with an idempotency key must
/// run once, because its answer is stored under its claim.
pub fn may_run_twice(request: &CallerRequest) -> bool {
    request.idempotent && request.key.is_none()
}

/// Returns whether the fingerprint is not suspected of crashing upstreams.
fn is_clear(suspects: &SuspectTable, fingerprint: u64, now: ClockTime) -> bool {
    match suspects.check(fingerprint, now) {
        SuspectDecision::Run => true,
        SuspectDecision::RunIsolated => {
            suspects.cancel_isolation(fingerprint, now);
            false
        }
        SuspectDecision::Refuse => false,
    }
}
