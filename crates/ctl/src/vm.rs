//! Questions to a VM's control listener.

use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use base::prelude::*;
use bpaf::Bpaf;
use http::{HeaderMap, HeaderValue, header};
use jsonrpsee::core::client::ClientT;
use jsonrpsee::http_client::HttpClientBuilder;
use jsonrpsee::rpc_params;
use serde::Deserialize;
use snafu::Snafu;

use crate::error::CtlError;
use crate::file;

/// The operators' method that returns what a VM has in force.
const STATUS_METHOD: &str = "status";
/// The longest that one question may take.
const QUERY_TIMEOUT: Duration = Duration::from_millis(1000);
/// Twice the 5 s within which a version is to be active on every VM.
const DEFAULT_WAIT_MS: u64 = 10_000;

/// How VMs are asked.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct VmArguments {
    /// File with the operators' secret of the gateways, to ask the VMs for their version
    #[bpaf(long, env("AGATECTL_SECRET_FILE"), argument("FILE"), optional)]
    secret_file: Option<PathBuf>,
    /// Longest time to wait until the VMs have the version in force; 0 does not ask them
    #[bpaf(long, argument("MS"), fallback(DEFAULT_WAIT_MS), display_fallback)]
    wait_ms: u64,
}

impl VmArguments {
    /// Returns how long to wait, or `None` if VMs are not to be asked.
    pub fn to_wait(&self) -> Option<Duration> {
        (self.wait_ms > 0).then(|| Duration::from_millis(self.wait_ms))
    }

    /// Returns the way to ask VMs.
    ///
    /// # Errors
    ///
    /// Fails if the file with the secret cannot be read.
    pub fn to_query(&self) -> Result<ControlQuery, CtlError> {
        let secret = self.secret_file.as_deref().map(file::read).transpose()?;
        let secret = secret.map(|bytes| String::from_utf8_lossy(&bytes).trim().to_owned());
        Ok(ControlQuery { secret: secret.map(SharedName::from) })
    }
}

/// What a VM says about itself.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
pub struct VmStatus {
    /// The version in force, or `None` if the VM has none yet.
    pub version: Option<u64>,
}

/// Why a VM gave no answer.
#[derive(Debug, Snafu)]
pub enum VmError {
    /// The VM is listed without an address that can be used.
    #[snafu(display("{address:?} is not an address; correct the VM's control_address"))]
    Address {
        /// What is listed.
        address: SharedName,
    },
    /// There is no secret to ask with.
    #[snafu(display("no operators' secret; name its file with --secret-file"))]
    NoSecret,
    /// The secret cannot be sent.
    #[snafu(display(
        "the operators' secret has bytes that are not visible ASCII; correct its file"
    ))]
    Secret,
    /// The VM could not be reached or refused to answer.
    #[snafu(display("{reason}; check that the VM runs and accepts the secret"))]
    NoAnswer {
        /// What was seen.
        reason: String,
    },
}

/// Asks a VM for its version.
pub trait VmQuery: Clone + Send + Sync + 'static {
    /// Returns what the VM with this control address says.
    fn status(&self, address: SocketAddr)
    -> impl Future<Output = Result<VmStatus, VmError>> + Send;
}

/// Asks over JSON-RPC on the control listener.
#[derive(Clone, Debug)]
pub struct ControlQuery {
    secret: Option<SharedName>,
}

impl VmQuery for ControlQuery {
    async fn status(&self, address: SocketAddr) -> Result<VmStatus, VmError> {
        let secret = self.secret.as_ref().ok_or(VmError::NoSecret)?;
        let mut value =
            HeaderValue::try_from(format!("Bearer {secret}")).map_err(|_| VmError::Secret)?;
        value.set_sensitive(true);
        let failed =
            |error: jsonrpsee::core::ClientError| VmError::NoAnswer { reason: error.to_string() };
        let client = HttpClientBuilder::default()
            .request_timeout(QUERY_TIMEOUT)
            .set_headers(HeaderMap::from_iter([(header::AUTHORIZATION, value)]))
            .build(format!("http://{address}"))
            .map_err(failed)?;
        client.request(STATUS_METHOD, rpc_params![]).await.map_err(failed)
    }
}
