//! Client of the control listeners of VMs.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use base::prelude::*;
use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderValue};
use jsonrpsee::core::client::{ClientT, Error as RpcError};
use jsonrpsee::http_client::HttpClientBuilder;
use jsonrpsee::rpc_params;
use report::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use suspect::prelude::*;

use crate::copy::{CopyError, copy_of_text};
use crate::counts::ControlCounts;
use crate::message::{
    BURN, COPY, CopyName, DOCUMENT, EXCHANGE, ExchangeNotice, GRANT, GRANT_END, GrantRequest,
    GrantResult, RELEASE, STATUS, SUSPECTS, StatusReport,
};
use crate::secret;

/// Why a call to a peer failed.
#[derive(Debug, Snafu)]
pub enum PeerError {
    /// The peer did not answer, or answered with an error.
    #[snafu(display("no answer from {address}: {source}; check the address and the secrets"))]
    Call {
        /// The peer.
        address: SocketAddr,
        /// The error of jsonrpsee.
        source: RpcError,
    },
    /// The peer sent a copy that cannot be read.
    #[snafu(display("unreadable answer from {address}: {source}"))]
    Copy {
        /// The peer.
        address: SocketAddr,
        /// What is wrong with it.
        source: CopyError,
    },
}

/// The headers and the timeout of calls.
#[derive(Debug)]
struct CallSettings {
    headers: HeaderMap,
    timeout: ClockSpan,
}

impl CallSettings {
    fn new(secret: &str, timeout: ClockSpan) -> Self {
        let mut headers = HeaderMap::new();
        // The settings accept only secrets of visible ASCII, which are valid in a header.
        if let Ok(mut value) = HeaderValue::from_str(&secret::authorization(secret)) {
            value.set_sensitive(true);
            headers.insert(header::AUTHORIZATION, value);
        }
        Self { headers, timeout }
    }
}

/// Calls control listeners with one secret. Clones share the secret and the timeout.
#[derive(Clone, Debug)]
pub struct PeerClient {
    settings: Arc<ArcSwap<CallSettings>>,
    counts: Arc<ControlCounts>,
}

impl PeerClient {
    /// Returns a client that authenticates with `secret` and waits up to `timeout` for each answer.
    /// The bytes of its messages are added to `counts`.
    pub fn new(secret: &str, timeout: ClockSpan, counts: Arc<ControlCounts>) -> Self {
        let settings = Arc::new(ArcSwap::from_pointee(CallSettings::new(secret, timeout)));
        Self { settings, counts }
    }

    /// Changes the secret and the timeout for all clones, from the next call on. Calls in flight
    /// keep theirs.
    pub fn set_call_settings(&self, secret: &str, timeout: ClockSpan) {
        self.settings.store(Arc::new(CallSettings::new(secret, timeout)));
    }

    /// Sends this VM's state to a peer and returns the state of the peer.
    ///
    /// # Errors
    ///
    /// Fails if the peer does not answer, or answers with an error.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        notice: &ExchangeNotice,
    ) -> Result<ExchangeNotice, PeerError> {
        self.call(address, EXCHANGE, Some(notice)).await
    }

    /// Fetches the document with this digest.
    ///
    /// # Errors
    ///
    /// Fails if the peer does not answer, or does not have the document.
    pub async fn document(
        &self,
        address: SocketAddr,
        digest: &SharedName,
    ) -> Result<Bytes, PeerError> {
        let text: String = self.call(address, DOCUMENT, Some(digest)).await?;
        Ok(Bytes::from(text))
    }

    /// Fetches the copy with this name.
    ///
    /// # Errors
    ///
    /// Fails if the peer does not answer, or does not have the copy.
    pub async fn copy(&self, address: SocketAddr, name: CopyName) -> Result<Bytes, PeerError> {
        let text: String = self.call(address, COPY, Some(&name.to_string())).await?;
        copy_of_text(&text).context(CopySnafu { address })
    }

    /// Returns the state of a VM. Needs the secret of an operator.
    ///
    /// # Errors
    ///
    /// Fails if the VM does not answer, or answers with an error.
    pub async fn status(&self, address: SocketAddr) -> Result<StatusReport, PeerError> {
        self.call(address, STATUS, None::<&()>).await
    }

    /// Asks the owner of a suspect for an isolated run, and returns whether it is granted.
    ///
    /// # Errors
    ///
    /// Fails if the owner does not answer, or answers with an error.
    pub async fn grant(
        &self,
        address: SocketAddr,
        request: &GrantRequest,
    ) -> Result<bool, PeerError> {
        self.call(address, GRANT, Some(request)).await
    }

    /// Reports the end of an isolated run to the owner of the suspect.
    ///
    /// # Errors
    ///
    /// Fails if the owner does not answer, or answers with an error.
    pub async fn release_grant(
        &self,
        address: SocketAddr,
        result: &GrantResult,
    ) -> Result<(), PeerError> {
        self.call(address, GRANT_END, Some(result)).await
    }

    /// Returns the requests that are suspected of crashing upstreams. Needs the secret of an
    /// operator.
    ///
    /// # Errors
    ///
    /// Fails if the VM does not answer, or answers with an error.
    pub async fn suspects(&self, address: SocketAddr) -> Result<Vec<SuspectEntry>, PeerError> {
        self.call(address, SUSPECTS, None::<&()>).await
    }

    /// Releases a suspected request on every VM. Needs the secret of an operator.
    ///
    /// # Errors
    ///
    /// Fails if the VM does not answer, or answers with an error.
    pub async fn release(&self, address: SocketAddr, fingerprint: u64) -> Result<(), PeerError> {
        self.call(address, RELEASE, Some(&fingerprint)).await
    }

    /// Returns a VM's counts of calls that met or missed their objectives. Needs the secret of an
    /// operator.
    ///
    /// # Errors
    ///
    /// Fails if the VM does not answer, or answers with an error.
    pub async fn burn(&self, address: SocketAddr) -> Result<BurnExport, PeerError> {
        self.call(address, BURN, None::<&()>).await
    }

    async fn call<Q: Serialize + Sync, A: DeserializeOwned + Serialize>(
        &self,
        address: SocketAddr,
        method: &str,
        request: Option<&Q>,
    ) -> Result<A, PeerError> {
        let settings = self.settings.load_full();
        let client = HttpClientBuilder::default()
            .request_timeout(settings.timeout.to_duration())
            .set_headers(settings.headers.clone())
            .build(format!("http://{address}"))
            .context(CallSnafu { address })?;
        self.counts.add_sent(json_length(&request));
        let answer = match request {
            Some(request) => client.request(method, rpc_params![request]).await,
            None => client.request(method, rpc_params![]).await,
        };
        let answer: A = answer.context(CallSnafu { address })?;
        self.counts.add_received(json_length(&answer));
        Ok(answer)
    }
}

fn json_length<T: Serialize>(value: &T) -> u64 {
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len() as u64)
}
