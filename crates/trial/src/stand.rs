//! Stand-ins as processes.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::json;
use stand::prelude::*;

use crate::error::TrialError;
use crate::process::{self, ChildProcess};

/// An upstream stand-in in a process of its own.
#[derive(Debug)]
pub struct UpstreamProcess {
    /// Where it accepts calls.
    pub address: SocketAddr,
    /// Where its plan can be changed and its counts read.
    pub admin_address: SocketAddr,
    /// The process.
    pub process: ChildProcess,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ReadyLine {
    address: SocketAddr,
    admin_address: SocketAddr,
}

impl UpstreamProcess {
    /// Starts an upstream stand-in.
    ///
    /// # Errors
    ///
    /// Fails if the process does not start.
    pub fn start(plan: &UpstreamPlan) -> Result<Self, TrialError> {
        let argument = json!({ "upstream": plan }).to_string();
        let path = process::example("stand");
        let (process, ready): (_, ReadyLine) = ChildProcess::start(&path, &[argument])?;
        Ok(Self { address: ready.address, admin_address: ready.admin_address, process })
    }
}
