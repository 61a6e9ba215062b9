//! Starts real processes for integration tests and benchmarks.
//!
//! Each process is killed when the value that represents it is dropped.

pub mod caller;
pub mod client;
pub mod document;
pub mod error;
pub mod gate;
pub mod process;
pub mod stand;

pub mod prelude {
    //! The types that most tests need.

    pub use rustix::process::Signal;

    pub use crate::caller::{CallerConnection, PartBody, PartSender};
    pub use crate::client::{CallAnswer, TestClient};
    pub use crate::document::{TrialDocument, TrialService};
    pub use crate::error::TrialError;
    pub use crate::gate::{GateProcess, GateSettings, OPERATOR_SECRET, PEER_SECRET};
    pub use crate::stand::{UpstreamGroup, UpstreamProcess};
}
