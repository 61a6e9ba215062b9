//! Concurrency limits, admission, wait queues, retry budgets and probe budgets.
//!
//! Nothing here performs I/O or reads a clock: every method takes the current time.

pub mod adaptive;
pub mod admission;
mod average;
mod class_queue;
pub mod probe;
pub mod queue;
pub mod refusal;
pub mod retry;
pub mod share;
pub mod stall;
mod window;

pub mod prelude {
    //! Types used by the gateway.

    pub use crate::adaptive::{AdaptiveLimit, AdaptiveTuning, LimitSignal};
    pub use crate::admission::{
        AdmissionDecision, AdmissionPolicy, AdmissionTuning, LatencyForecast,
    };
    pub use crate::probe::{ProbeBudget, ProbeTuning, VmCounts};
    pub use crate::queue::{DroppedWaiter, QueueOrder, QueueTuning, WaitQueue, WaiterId};
    pub use crate::refusal::{RefusalKind, RefusalReason};
    pub use crate::retry::{RetryBudget, RetryDenial, RetryTuning};
    pub use crate::share::ConnectionShare;
    pub use crate::stall::{StallDecision, StallFacts, StallTuning};
}
