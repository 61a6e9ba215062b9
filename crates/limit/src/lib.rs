//! Admission, wait queues, retry budgets and probe budgets.
//!
//! Nothing here performs I/O or reads a clock: every method takes the present moment.

pub mod adaptive;
mod average;
mod lane;
pub mod probe;
pub mod queue;
pub mod refusal;
pub mod retry;
pub mod share;
pub mod timely;
mod window;

pub mod prelude {
    //! The types that the gate needs.

    pub use crate::adaptive::{AdaptiveLimit, AdaptiveTuning, LimitSignal};
    pub use crate::probe::{ProbeBudget, ProbeTuning, VmCounts};
    pub use crate::queue::{DroppedWaiter, QueueOrder, QueueTuning, WaitQueue, WaiterId};
    pub use crate::refusal::{RefusalKind, RefusalReason};
    pub use crate::retry::{RetryBudget, RetryDenial, RetryTuning};
    pub use crate::share::ConnectionShare;
    pub use crate::timely::{CallOutlook, CallPlacement, TimelyLimit, TimelyTuning};
}
