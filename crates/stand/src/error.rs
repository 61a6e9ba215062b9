//! Errors of starting a stand-in and of changing its plan.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

/// A failure of a stand-in itself. Simulated faults are not errors.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StandError {
    /// A listener could not be opened.
    #[snafu(display("cannot listen on {address}: {source}; choose a free loopback address"))]
    Listen {
        /// The requested address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A plan could not be read.
    #[snafu(display(
        "cannot read the plan: {source}; compare its JSON with the fields of the plan type"
    ))]
    Plan {
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
}
