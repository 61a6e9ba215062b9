//! Open-loop load generation and result tables.
//!
//! Requests are sent at intended times that do not depend on the answers. Latency counts from the
//! intended time, so that it includes the time for which a stalled server delays the calls after it
//! (no coordinated omission).

pub mod arrival;
pub mod call;
pub mod error;
pub mod mix;
pub mod plan;
mod pool;
pub mod report;
pub mod run;
pub mod tally;
mod timer;

pub mod prelude {
    //! The types that most users need.

    pub use crate::error::LoadError;
    pub use crate::mix::{almaty_mix, named_mix, viti_mix};
    pub use crate::plan::{ArrivalKind, LoadPlan, RateShape, RateStep, RequestKind};
    pub use crate::report::{ErrorCounts, LatencyFigures, LoadReport, RowFigures};
    pub use crate::run::run;
}
