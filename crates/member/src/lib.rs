//! Identity of VMs, what they report about one another, how news spreads between them, and how a
//! VM starts and stops. Decisions only: no I/O and no system clock.

pub mod budget;
pub mod capacity;
pub mod count;
pub mod drain;
pub mod gossip;
pub mod mesh;
pub mod message;
pub mod news;
pub mod peer;
mod reach;
mod read;
mod record;
pub mod start;
pub mod table;
pub mod tuning;

pub mod prelude {
    //! The types that the gate and the peer protocol need.

    pub use crate::capacity::CapacityPlan;
    pub use crate::drain::{DrainAction, DrainEvent, DrainPlan, DrainStage};
    pub use crate::gossip::{ByteUsage, ExchangePurpose, ExchangeTarget, GossipPlan};
    pub use crate::mesh::{HeardFrom, MeshCounts, MeshPlan, MeshScope};
    pub use crate::message::{ExchangeMessage, HeldCount, NewsEnvelope, PeerBeat, PeerNotice};
    pub use crate::news::{NewsItem, NewsPriority};
    pub use crate::peer::{ListedVm, MembershipList, PeerEvent, PeerState, PeerView, VmPhase};
    pub use crate::start::{StartPlan, StartStage, WarmupRamp};
    pub use crate::table::PeerTable;
    pub use crate::tuning::{
        DrainTuning, GossipTuning, MemberTuning, MeshTuning, PeerTuning, ReadTuning,
        ReconnectTuning, StartTuning,
    };
}
