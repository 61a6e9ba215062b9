//! The metadata of a caller's request on which decisions are based.

use base::prelude::*;

use crate::contract::WorkClass;

/// The largest call depth. The depth of a call is the number of calls above it in a chain of
/// services that call each other through gateways.
pub const MAX_CALL_DEPTH: u32 = 8;

/// The metadata of a request, without its body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerRequest {
    /// The service that it is for.
    pub service: SharedName,
    /// Its class: how urgent it is.
    pub class: WorkClass,
    /// Whether it is idempotent, so that it may run more than once.
    pub idempotent: bool,
    /// The time at which the caller stops waiting.
    pub deadline: ClockTime,
    /// The number of this attempt, from 1.
    pub attempt: u32,
    /// The largest number of upstreams that the call may reach, or `None` for the default of the
    /// retry budget.
    pub attempt_limit: Option<u32>,
    /// Call depth: the number of calls above this one in a chain of services.
    pub depth: u32,
    /// The caller's idempotency key.
    pub key: Option<SharedName>,
    /// A keyed hash that is equal for repeats of the same request.
    pub fingerprint: u64,
}
