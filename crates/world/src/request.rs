//! What decisions need to know about a caller's request.

use base::prelude::*;

use crate::contract::WorkClass;

/// The most calls that may stand above a call.
pub const MAX_CALL_DEPTH: u32 = 8;

/// The metadata of a request, without its bytes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerRequest {
    /// The service that it is for.
    pub service: SharedName,
    /// How urgent it is.
    pub class: WorkClass,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// When the caller stops waiting.
    pub deadline: ClockTime,
    /// The number of this attempt, from 1.
    pub attempt: u32,
    /// The most upstreams that the call may reach, or `None` for the default of the retry budget.
    pub attempt_limit: Option<u32>,
    /// How many calls stand above this one.
    pub depth: u32,
    /// The caller's idempotency key.
    pub key: Option<SharedName>,
    /// Equal for requests with the same method, path and key or body digest.
    pub fingerprint: u64,
}
