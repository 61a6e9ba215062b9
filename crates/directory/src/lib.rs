//! The configuration and the upstreams as far as this VM knows them from rows of the platform's
//! store.
//!
//! The crate performs no I/O and reads no clock. Rows arrive from the store or from peers; the
//! result is an [`EnvironmentMap`](world::environment::EnvironmentMap).
//!
//! [`upstreams::UpstreamDirectory`] turns rows into usable upstreams, [`config::ConfigTracker`]
//! keeps the newest configuration, and [`environment::build_environment`] joins both.
//! [`detector::ChangeDetector`] tells when a change of the configuration may have been missed.
//! [`entry::EntryCodec`] decodes the rows; each platform has its own.

pub mod config;
pub mod detector;
mod draining;
pub mod entry;
pub mod environment;
pub mod evacuation;
mod health;
mod log;
mod record;
pub mod upstreams;

pub mod prelude {
    //! The types that the `gate` crate needs.

    pub use crate::config::{ConfigOffer, ConfigTracker};
    pub use crate::detector::ChangeDetector;
    pub use crate::draining::DrainMark;
    pub use crate::entry::{
        ConfigEntry, ConfigRules, EntryCodec, EntryError, EvacuationMark, ServiceEntry,
        UpstreamEntry, VmEntry,
    };
    pub use crate::environment::{FleetBounds, build_environment, restrict_environment};
    pub use crate::evacuation::EvacuationTable;
    pub use crate::upstreams::{
        DirectoryChange, DirectoryTuning, PositionGap, TransitionKind, UnreadableRow,
        UpstreamDirectory, UpstreamTransition,
    };
}
