//! Messages between VMs, and from operators to a VM.
//!
//! [`server::ControlServer`] answers JSON-RPC calls of both, and [`client::PeerClient`] makes them.
//! Short and frequent messages between VMs are sent as datagrams, which
//! [`datagram::DatagramCodec`] signs and encodes. This crate carries and authenticates messages;
//! their contents are processed by the crates that define them.

mod auth;
pub mod client;
pub mod copy;
pub mod counts;
pub mod datagram;
pub mod message;
pub mod secret;
pub mod server;

pub mod prelude {
    //! The types that the gate and other crates need.

    pub use crate::client::{PeerClient, PeerError};
    pub use crate::copy::{CopyError, copy_of_text, copy_text};
    pub use crate::counts::{ControlCounts, ControlUsage};
    pub use crate::datagram::{
        ConfigMessage, CreditAnswerMessage, CreditRequestMessage, DatagramCodec, DatagramError,
        DirectoryMessage, DrainMessage, EvacuationMessage, HelloMessage, LoadMessage, LoadSample,
        LossMessage, PeerEnvelope, PeerMessage, SuspectMessage,
    };
    pub use crate::message::{
        CopyName, ExchangeNotice, GrantRequest, GrantResult, MembersCopy, PeerContact, RowCopy,
        StatusReport, SuspectsCopy, TableCopy, UnknownCopy,
    };
    pub use crate::secret::{ControlRole, LiveSecrets, SecretTable};
    pub use crate::server::{ControlHandler, ControlServer};
}
