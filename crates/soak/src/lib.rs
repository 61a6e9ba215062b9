//! A soak test: runs real gateway processes under random faults and checks the promises to callers
//! and upstreams.
//!
//! A [`schedule`] of faults is drawn from a seed by a pure function. A [`run`] starts a store,
//! upstreams and gateways ([`setup`]), injects the faults and sends calls ([`caller`]). The
//! [`ledger`], which performs no I/O, records what callers and upstreams observed and finds the
//! promises that were broken.

pub mod caller;
pub mod disruption;
pub mod error;
pub mod fault;
pub mod ledger;
pub mod run;
pub mod schedule;
pub mod setup;
pub mod upstream;
pub mod vm;

pub mod prelude {
    //! The types that most users need.

    pub use crate::disruption::{DisruptedPart, DisruptionLog};
    pub use crate::error::SoakError;
    pub use crate::fault::{
        ConfigFault, FaultLink, LinkFault, ProcessFault, ScheduledFault, SoakFault, StoreFault,
        UpstreamFault,
    };
    pub use crate::ledger::{
        BrokenPromise, CallKind, CallerOutcome, Ledger, ProcessId, Promise, RequestObservation,
        SeenAnswer, SentCall,
    };
    pub use crate::run::{RunPlan, RunVerdict, run};
    pub use crate::schedule::FaultSchedule;
}
