//! Messages between VMs and from operators, over JSON-RPC.
//!
//! [`server::ControlServer`] answers both, [`client::PeerClient`] calls a peer. What VMs tell one
//! another often and in few bytes goes into datagrams, which [`datagram::DatagramCodec`] encodes.
//! The crate carries messages; what follows from them is decided by the crates that own them.

mod auth;
pub mod client;
pub mod counts;
pub mod datagram;
pub mod message;
pub mod secret;
pub mod server;

pub mod prelude {
    //! The types that the gate needs.

    pub use crate::client::{PeerClient, PeerError};
    pub use crate::counts::{ControlCounts, ControlUsage};
    pub use crate::datagram::{
        ConfigMessage, DatagramCodec, DatagramError, DirectoryMessage, HelloMessage, LoadMessage,
        LoadSample, LossMessage, PeerEnvelope, PeerMessage, SuspectMessage,
    };
    pub use crate::message::{
        ExchangeNotice, GrantEnd, GrantQuestion, PeerContact, RowCopy, StatusReport, TableCopy,
    };
    pub use crate::secret::{ControlRole, LiveSecrets, SecretTable};
    pub use crate::server::{ControlHandler, ControlServer};
}
