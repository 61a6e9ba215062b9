//! Traces of calls: what the gateway records during a call, which traces it logs, and how log lines
//! are read back to explain a call.

pub mod call;
pub mod cause;
pub mod explain;
pub mod line;
pub mod sampling;

pub mod prelude {
    //! Types used by the gateway and the operators' command.

    pub use crate::call::{
        CallFacts, CallTrace, ChoiceFacts, ChosenStep, EndedStep, NextAction, StopReason, TraceStep,
    };
    pub use crate::cause::CallCause;
    pub use crate::explain::{CallExplanation, explain};
    pub use crate::line::{LogLine, LogSource};
    pub use crate::sampling::{CallSummary, LogLimiter, is_logged};
}
