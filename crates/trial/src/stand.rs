//! Processes that run upstream stand-ins.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::json;
use stand::prelude::*;

use crate::error::TrialError;
use crate::process::{self, ChildProcess};

/// A process that runs one upstream stand-in.
#[derive(Debug)]
pub struct UpstreamProcess {
    /// The address for calls.
    pub address: SocketAddr,
    /// The address of the admin interface, which changes the plan and returns the counts.
    pub admin_address: SocketAddr,
    /// The child process.
    pub process: ChildProcess,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ReadyLine {
    address: SocketAddr,
    admin_address: SocketAddr,
}

impl UpstreamProcess {
    /// Starts an upstream stand-in with this plan.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not start.
    pub fn start(plan: &UpstreamPlan) -> Result<Self, TrialError> {
        let argument = json!({ "upstream": plan }).to_string();
        let path = process::example("stand");
        let (process, ready): (_, ReadyLine) = ChildProcess::start(&path, &[argument])?;
        Ok(Self { address: ready.address, admin_address: ready.admin_address, process })
    }
}

/// A process that runs several upstream stand-ins.
#[derive(Debug)]
pub struct UpstreamGroup {
    /// The addresses for calls, in the order of the plans.
    pub addresses: Vec<SocketAddr>,
    /// The addresses of the admin interfaces, in the order of the plans.
    pub admin_addresses: Vec<SocketAddr>,
    /// The child process.
    pub process: ChildProcess,
}

impl UpstreamGroup {
    /// Starts one upstream stand-in for each plan.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not start.
    pub fn start(plans: &[UpstreamPlan]) -> Result<Self, TrialError> {
        let argument = json!(plans).to_string();
        let path = process::example("stands");
        let (process, ready): (_, Vec<ReadyLine>) = ChildProcess::start(&path, &[argument])?;
        let addresses = ready.iter().map(|line| line.address).collect();
        let admin_addresses = ready.iter().map(|line| line.admin_address).collect();
        Ok(Self { addresses, admin_addresses, process })
    }
}
