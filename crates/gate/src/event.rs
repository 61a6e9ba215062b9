//! Numbers of the gateway's log events. `docs/events.md` lists causes and remedies.

/// The gateway accepts callers.
pub const STARTED: u32 = 1001;
/// A call was refused before it reached an upstream.
pub const CALL_REFUSED: u32 = 1002;
/// An upstream did not answer a call completely.
pub const CALL_FAILED: u32 = 1003;
/// The gateway starts to leave.
pub const DRAIN_STARTED: u32 = 1004;
/// The gateway has stopped.
pub const STOPPED: u32 = 1005;
/// Calls were still in flight when the longest deadline had passed.
pub const DRAIN_CUT: u32 = 1010;
/// The membership list could not be read.
pub const MEMBERS_UNREAD: u32 = 1011;
/// A second signal ended the process while it was leaving.
pub const DRAIN_ABANDONED: u32 = 1012;
/// Outcomes of claims were not stored before the process ended.
pub const OUTCOMES_LEFT: u32 = 1013;
/// A peer did not answer an exchange.
pub const EXCHANGE_FAILED: u32 = 1014;
