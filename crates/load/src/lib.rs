//! Open-loop load generation and result tables.
//!
//! Requests are sent at times that are drawn in advance and do not depend on the answers. Latency
//! counts from the intended time, so that a stalled server is charged for the calls that it held
//! up (no coordinated omission).

pub mod arrival;
pub mod call;
pub mod error;
mod lane;
pub mod mix;
mod pace;
pub mod plan;
pub mod report;
pub mod run;
pub mod tally;

pub mod prelude {
    //! The types that most users need.

    pub use crate::error::LoadError;
    pub use crate::mix::{almaty_mix, named_mix, viti_mix};
    pub use crate::plan::{ArrivalKind, LoadPlan, RateShape, RateStep, RequestKind};
    pub use crate::report::{ErrorCounts, LatencyFigures, LoadReport, RowFigures};
    pub use crate::run::run;
}
