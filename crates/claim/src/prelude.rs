//! The types that users of claims need.

pub use crate::answer::KeptAnswer;
pub use crate::deferred::{
    AcceptRefusal, DeferredRequest, DeferredState, DeferredTuning, DeferredVerdict,
};
pub use crate::event::{
    ClaimAction, ClaimEvent, ClaimRequest, NotRunProof, RefusalReason, StoreTrouble, WorkVerdict,
};
pub use crate::machine::ClaimMachine;
pub use crate::queue::{DeferredLease, DeferredQueue, LeaseError};
pub use crate::runner::{ClaimDecision, ClaimDriver, ClaimGrant, ClaimRunner, claim_key};
pub use crate::table::ClaimTable;
pub use crate::tuning::{ClaimGuards, ClaimTuning};
