//! Detects requests that crash upstreams and limits how many upstreams they crash.
//!
//! Requests are identified by their fingerprint. A fingerprint that was in flight when an upstream
//! crashed is a suspect: it may run only in isolation, one suspect at a time, until it is cleared
//! or a further crash confirms it. Requests with a confirmed fingerprint are refused.
//!
//! Nothing here performs I/O or reads a clock: every method takes the current time.

pub mod detector;
pub mod fingerprint;
mod in_flight;
mod isolation;
pub mod notice;
pub mod placement;
mod proven;
mod record;
pub mod table;
pub mod tuning;

pub mod prelude {
    //! Types used by the gateway.

    pub use crate::fingerprint::{FingerprintHasher, FingerprintKey};
    pub use crate::notice::{CrashIncident, SuspectNotice};
    pub use crate::placement::{owner, shard_upstreams};
    pub use crate::table::{
        GrantReport, SuspectDecision, SuspectEntry, SuspectStatus, SuspectTable,
    };
    pub use crate::tuning::SuspectTuning;
}
