//! The machines, data centres, links and contracts on which the gateway's decisions are based.

pub mod access;
pub mod centre;
pub mod contract;
pub mod environment;
pub mod request;
pub mod route;
pub mod upstream;
pub mod vm;

pub mod prelude {
    //! The public types of the crate.

    pub use crate::access::{
        AccessRules, AccountQuota, AccountTable, ClientAccount, KeyDigest, KeyVerdict,
    };
    pub use crate::centre::{DataCentre, LinkLatency};
    pub use crate::contract::{
        RetryWindow, ServiceContract, ServiceObjective, WorkClass, WorkRule,
    };
    pub use crate::environment::{CallPlan, CallerLimits, EnvironmentMap};
    pub use crate::request::CallerRequest;
    pub use crate::route::{CallRoute, RouteTable, RouteTarget};
    pub use crate::upstream::UpstreamServer;
    pub use crate::vm::VmIdentity;
}
