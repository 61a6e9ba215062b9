//! Why a stand-in could not start or change its plan.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

/// A failure of a stand-in itself, as opposed to the faults that it simulates.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StandError {
    /// A listener could not be opened.
    #[snafu(display("cannot listen on {address}: {source}; choose a free loopback address"))]
    Listen {
        /// The address that was asked for.
        address: SocketAddr,
        /// The system's reason.
        source: io::Error,
    },
    /// A plan could not be read.
    #[snafu(display("cannot read the plan: {source}; compare it with the fields of the type"))]
    Plan {
        /// The parser's reason.
        source: serde_json::Error,
    },
}
