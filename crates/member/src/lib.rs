//! Membership of the gateway VMs: which of them are known and live, how messages spread between
//! them, which one is the designated reader of the store, and how a VM starts and shuts down.
//!
//! The crate only decides. The caller does the I/O and passes the time to each method.

pub mod capacity;
pub mod membership;
pub mod overlay;
mod query;
mod read;
pub mod shutdown;
pub mod start;
pub mod tuning;
mod vm;

pub mod prelude {
    //! The types that the gate needs.

    pub use crate::capacity::CapacityPlan;
    pub use crate::membership::{
        AskReach, CentreView, FollowState, LostVm, MemberNotice, MembershipCounts, MembershipTable,
        SenderStatus,
    };
    pub use crate::overlay::BroadcastId;
    pub use crate::shutdown::{ShutdownAction, ShutdownEvent, ShutdownPlan, ShutdownStage};
    pub use crate::start::{StartPlan, StartStage, WarmupRamp};
    pub use crate::tuning::{MembershipTuning, ReadTuning, ShutdownTuning, StartTuning};
}
