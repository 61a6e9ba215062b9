//! The types that users of the crate need.

pub use crate::answer::StoredAnswer;
pub use crate::deferred::{
    AcceptRefusal, DeferredOutcome, DeferredRequest, DeferredState, DeferredTuning,
};
pub use crate::event::{
    ClaimAction, ClaimEvent, ClaimRefusal, ClaimRequest, NotRunProof, StoreFailure, WorkOutcome,
};
pub use crate::machine::ClaimMachine;
pub use crate::queue::{DeferredLease, DeferredQueue, LeaseError};
pub use crate::runner::{ClaimDecision, ClaimDriver, ClaimGrant, ClaimRunner, claim_key};
pub use crate::table::ClaimTable;
pub use crate::tuning::{ClaimGuards, ClaimTuning};
