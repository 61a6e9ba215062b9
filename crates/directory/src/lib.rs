//! What this VM knows of the configuration, the upstreams and the other VMs from the rows of the
//! platform's store.
//!
//! The crate performs no I/O and reads no clock. Rows arrive from the store or from peers; what
//! follows from them is an [`EnvironmentMap`](world::environment::EnvironmentMap).

pub mod entry;

pub mod prelude {
    //! The types that the gate needs.

    pub use crate::entry::{
        ConfigEntry, EntryCodec, EntryError, ServiceEntry, UpstreamEntry, VmEntry,
    };
}
