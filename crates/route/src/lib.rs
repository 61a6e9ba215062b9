//! Chooses an upstream for each call.
//!
//! The choice is based on evidence: what this VM knows about an upstream, with the age and the
//! source of each item. The crate performs no I/O and reads no clock. Evidence arrives through
//! [`UpstreamTable::finish`](table::UpstreamTable::finish),
//! [`UpstreamTable::observe`](table::UpstreamTable::observe),
//! [`UpstreamTable::merge`](table::UpstreamTable::merge),
//! [`UpstreamTable::record_result`](table::UpstreamTable::record_result) and
//! [`UpstreamTable::record_probe_timeout`](table::UpstreamTable::record_probe_timeout), each with
//! the current time.

mod choice;
pub mod cold;
pub mod cost;
pub mod estimate;
pub mod health;
pub mod notice;
pub mod outcome;
pub mod paced;
pub mod policy;
mod record;
pub mod refusal;
pub mod remote;
pub mod rendezvous;
mod service;
pub mod shortlist;
pub mod table;
pub mod tuning;
pub mod view;

pub mod prelude {
    //! The public types of the crate.

    pub use crate::cold::ColdUsers;
    pub use crate::cost::ExpectedCost;
    pub use crate::notice::{LoadNotice, UpstreamNotice};
    pub use crate::outcome::{CallOutcome, CallResult, LoadReport, LoadStatus, ReportSource};
    pub use crate::paced::PacedChoice;
    pub use crate::policy::{
        ChoicePolicy, LeastInFlight, PolicyKind, RandomChoice, TwoChoices, UnknownPolicy,
    };
    pub use crate::refusal::NoUpstream;
    pub use crate::remote::{RemoteLoad, RemoteReason, RemoteShare, RemoteTuning};
    pub use crate::shortlist::ShortlistEntry;
    pub use crate::table::{UpstreamReservation, UpstreamState, UpstreamTable};
    pub use crate::tuning::{CostTuning, PacedTuning, RouteTuning};
    pub use crate::view::{ChoiceEvidence, UpstreamView};
}
