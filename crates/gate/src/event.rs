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
