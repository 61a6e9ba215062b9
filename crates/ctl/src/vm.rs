//! Queries to the control listener of one VM.

use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use bpaf::Bpaf;
use peer::prelude::*;
use report::prelude::*;
use snafu::Snafu;
use suspect::prelude::*;

use crate::error::CtlError;
use crate::file;

/// The time limit of one query.
const QUERY_TIMEOUT: ClockSpan = ClockSpan::from_millis(1000);
/// Twice the 5 s within which every VM must put a new version into force.
const DEFAULT_WAIT_MS: u64 = 10_000;

/// The options for commands that wait until VMs have a version in force.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct VmArguments {
    /// File with the operators' secret of the gateways, to query the VMs for their version
    #[bpaf(long, env("AGATECTL_SECRET_FILE"), argument("FILE"), optional)]
    secret_file: Option<PathBuf>,
    /// Longest time to wait until the VMs have the version in force; 0 does not query them
    #[bpaf(long, argument("MS"), fallback(DEFAULT_WAIT_MS), display_fallback)]
    wait_ms: u64,
}

impl VmArguments {
    /// Returns the time to wait for the VMs, or `None` if the VMs are not queried.
    pub fn to_wait(&self) -> Option<Duration> {
        (self.wait_ms > 0).then(|| Duration::from_millis(self.wait_ms))
    }

    /// Returns a query with the secret of these options.
    ///
    /// # Errors
    ///
    /// Fails if the file with the secret cannot be read.
    pub fn to_query(&self) -> Result<ControlQuery, CtlError> {
        ControlQuery::from_file(self.secret_file.as_deref())
    }
}

/// The status that a VM reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmStatus {
    /// The version in force, or `None` if the VM has none yet.
    pub version: Option<u64>,
    /// Whether the VM accepts new calls.
    pub ready: bool,
    /// The number of calls in flight.
    pub calls: u64,
}

impl From<StatusReport> for VmStatus {
    fn from(report: StatusReport) -> Self {
        let StatusReport { version, ready, calls, .. } = report;
        Self { version: version.map(|id| id.version), ready, calls }
    }
}

/// The reason why a query to a VM failed.
#[derive(Debug, Snafu)]
pub enum VmError {
    /// The list of VMs has an invalid address for the VM.
    #[snafu(display("{address:?} is not an address; correct the VM's control_address"))]
    Address {
        /// The listed address.
        address: SharedName,
    },
    /// No file with the operators' secret was named.
    #[snafu(display("no operators' secret; name its file with --secret-file"))]
    NoSecret,
    /// The secret contains bytes other than visible ASCII.
    #[snafu(display(
        "the operators' secret has bytes that are not visible ASCII; correct its file"
    ))]
    Secret,
    /// The VM could not be reached or rejected the query.
    #[snafu(display("{reason}; check that the VM runs and accepts the secret"))]
    NoAnswer {
        /// The error of the request.
        reason: String,
    },
}

/// Queries a VM for its status.
pub trait VmQuery: Clone + Send + Sync + 'static {
    /// Returns the status of the VM with this control address.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the VM does not answer.
    fn status(&self, address: SocketAddr)
    -> impl Future<Output = Result<VmStatus, VmError>> + Send;
}

/// Queries a VM over JSON-RPC on its control listener.
#[derive(Clone, Debug)]
pub struct ControlQuery {
    secret: Option<SharedName>,
}

impl ControlQuery {
    /// Returns a query with the secret in a file. Without a file, every request of the query fails.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read.
    pub fn from_file(path: Option<&Path>) -> Result<Self, CtlError> {
        let secret = path.map(file::read).transpose()?;
        let secret = secret.map(|bytes| String::from_utf8_lossy(&bytes).trim().to_owned());
        Ok(Self { secret: secret.map(SharedName::from) })
    }

    /// Returns the requests that a VM suspects of crashing upstreams.
    ///
    /// # Errors
    ///
    /// Fails if the VM does not answer.
    pub async fn suspects(&self, address: SocketAddr) -> Result<Vec<SuspectEntry>, VmError> {
        self.to_client()?.suspects(address).await.map_err(VmError::from)
    }

    /// Releases a suspect on a VM.
    ///
    /// # Errors
    ///
    /// Fails if the VM does not confirm the release.
    pub async fn release(&self, address: SocketAddr, fingerprint: u64) -> Result<(), VmError> {
        self.to_client()?.release(address, fingerprint).await.map_err(VmError::from)
    }

    /// Returns how many calls of a VM met and missed the objectives.
    ///
    /// # Errors
    ///
    /// Fails if the VM does not answer.
    pub async fn burn(&self, address: SocketAddr) -> Result<BurnExport, VmError> {
        self.to_client()?.burn(address).await.map_err(VmError::from)
    }

    fn to_client(&self) -> Result<PeerClient, VmError> {
        let secret = self.secret.as_ref().ok_or(VmError::NoSecret)?;
        if !secret.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(VmError::Secret);
        }
        Ok(PeerClient::new(secret, QUERY_TIMEOUT, Arc::default()))
    }
}

impl From<PeerError> for VmError {
    fn from(error: PeerError) -> Self {
        let reason = match error {
            PeerError::Call { source, .. } => source.to_string(),
            PeerError::Copy { source, .. } => source.to_string(),
        };
        Self::NoAnswer { reason }
    }
}

impl VmQuery for ControlQuery {
    async fn status(&self, address: SocketAddr) -> Result<VmStatus, VmError> {
        Ok(self.to_client()?.status(address).await?.into())
    }
}
