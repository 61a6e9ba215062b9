//! Stand-ins for tests and benchmarks: upstream, platform, row store and fault proxy.
//!
//! Each stand-in runs inside a tokio runtime as a value that stops it when dropped, or as a
//! separate process through the example `stand`. The row store is not part of the example, because
//! its protocol is an implementation of [`RowDialect`](row_dialect::RowDialect) outside this crate.
//! The state of a stand-in has one lock. It is not held across an await or while another lock is
//! taken, so the lock order has one level.

mod answer;
pub mod body;
pub mod counts;
mod deliver;
pub mod dialect;
pub mod error;
pub mod fault;
mod guard;
pub mod launch;
pub mod member;
pub mod native;
pub mod noise;
pub mod plan;
pub mod platform;
pub mod port;
#[cfg(feature = "property")]
pub mod property;
mod protocol;
pub mod proxy;
pub mod rate;
mod relay;
mod row_core;
pub mod row_dialect;
pub mod row_plan;
pub mod row_stand;
pub mod rows;
pub mod scan;
pub mod script;
pub mod service;
mod signal;
pub mod slot;
mod state;
pub mod table;
pub mod upstream;
pub mod web;
pub mod wire;

pub mod prelude {
    //! Types that most tests use.

    pub use crate::counts::{BodyRecord, RequestRecord, UpstreamCounts};
    pub use crate::dialect::UpstreamDialect;
    pub use crate::error::StandError;
    pub use crate::fault::{AnswerFault, EndlessPart, FaultRule, FaultTarget};
    pub use crate::native::NativeDialect;
    pub use crate::plan::{
        ColdStart, DrainPlan, LoadAnswer, NoisePlan, UpstreamMode, UpstreamPlan,
    };
    pub use crate::platform::{PlatformCounts, PlatformOutage, PlatformPlan, PlatformStand};
    pub use crate::proxy::{FaultProxy, ProxyCounts, ProxyDirection, ProxyPlan};
    pub use crate::row_dialect::RowDialect;
    pub use crate::row_plan::{
        AnswerLoss, RowCallCounts, RowCallKind, RowCounts, RowFault, RowOutage, RowPlan,
    };
    pub use crate::row_stand::{RowHandle, RowStand};
    pub use crate::rows::{HistoryRetention, RowPath};
    pub use crate::service::ServiceTime;
    pub use crate::upstream::UpstreamStand;
    pub use crate::wire::PlatformMember;
}
