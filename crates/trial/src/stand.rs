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

/// Several upstream stand-ins in one process.
#[derive(Debug)]
pub struct UpstreamGroup {
    /// Where each accepts calls, in the order of the plans.
    pub addresses: Vec<SocketAddr>,
    /// Where the plan of each can be changed and its counts read.
    pub admin_addresses: Vec<SocketAddr>,
    /// The process.
    pub process: ChildProcess,
}

impl UpstreamGroup {
    /// Starts upstream stand-ins.
    ///
    /// # Errors
    ///
    /// Fails if the process does not start.
    pub fn start(plans: &[UpstreamPlan]) -> Result<Self, TrialError> {
        let argument = json!(plans).to_string();
        let path = process::example("stands");
        let (process, ready): (_, Vec<ReadyLine>) = ChildProcess::start(&path, &[argument])?;
        let addresses = ready.iter().map(|line| line.address).collect();
        let admin_addresses = ready.iter().map(|line| line.admin_address).collect();
        Ok(Self { addresses, admin_addresses, process })
    }
}
