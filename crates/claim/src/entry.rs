//! The claim of one key as this VM holds it in memory.

use std::sync::Arc;

use base::prelude::*;
use store::row::RowExpect;

use crate::answer::StoredAnswer;
use crate::event::PendingId;
use crate::row::ClaimState;

/// The phase of the claim of a key on this VM.
#[derive(Clone, Debug)]
pub(crate) enum ClaimPhase {
    /// The claim waits for its transaction, or the transaction is in flight.
    Writing { expect: RowExpect },
    /// The outcome of the claim's transaction is unknown and its row is being read.
    Reading { expect: RowExpect },
    /// The last waiting request ended with "not run" while the transaction was in flight.
    Abandoned { expect: RowExpect, pending: PendingId },
    /// Another VM holds the claim.
    HeldElsewhere,
    /// The holder of the claim is no longer on the membership list, and its row is being marked as
    /// unknown.
    MarkingUnknown,
    /// The work of the request `dispatched` was dispatched.
    Granted { version: u64, dispatched: PendingId },
    /// The outcome is being stored.
    Storing { expect: RowExpect, state: ClaimState, answer: Option<Arc<StoredAnswer>> },
    /// The outcome is stored and the answer stays in memory for repeats.
    Cached { answer: Arc<StoredAnswer> },
}

/// A request that waits for a decision.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRequest {
    pub(crate) pending: PendingId,
    pub(crate) deadline: ClockTime,
}

/// The claim of one key on this VM.
#[derive(Clone, Debug)]
pub(crate) struct LocalClaim {
    /// The attempt id.
    pub(crate) attempt: SharedName,
    /// The digest of the request: method, path and body.
    pub(crate) body: SharedName,
    /// The time of the claim, in milliseconds since the Unix epoch.
    pub(crate) at_ms: u64,
    pub(crate) phase: ClaimPhase,
    /// Requests that wait for a decision. The work of the first one is dispatched.
    pub(crate) waiting: Vec<PendingRequest>,
    /// Whether an earlier transaction with this claim may have been applied.
    pub(crate) maybe_stored: bool,
}

impl LocalClaim {
    /// Returns the answer that is in memory.
    pub(crate) fn answer(&self) -> Option<&Arc<StoredAnswer>> {
        match &self.phase {
            ClaimPhase::Storing { answer, .. } => answer.as_ref(),
            ClaimPhase::Cached { answer } => Some(answer),
            _ => None,
        }
    }

    pub(crate) fn is_cached(&self) -> bool {
        matches!(self.phase, ClaimPhase::Cached { .. })
    }

    /// Returns whether the work is running, or may have run, for another request.
    pub(crate) fn runs_elsewhere(&self) -> bool {
        matches!(
            self.phase,
            ClaimPhase::HeldElsewhere | ClaimPhase::MarkingUnknown | ClaimPhase::Granted { .. }
        )
    }
}
