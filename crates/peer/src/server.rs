//! The control listener: the JSON-RPC server for peers and operators.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use jsonrpsee::core::RegisterMethodError;
use jsonrpsee::server::{BatchRequestConfig, RpcModule, Server, ServerConfig, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::{Extensions, types::Params};
use report::prelude::*;
use suspect::prelude::*;

use crate::auth::AuthLayer;
use crate::copy::copy_text;
use crate::counts::ControlCounts;
use crate::message::{
    BURN, COPY, CopyName, DOCUMENT, EXCHANGE, ExchangeNotice, GRANT, GRANT_END, GrantRequest,
    GrantResult, RELEASE, STATUS, SUSPECTS, StatusReport,
};
use crate::secret::{ControlRole, LiveSecrets, SecretTable};

/// The most bytes in a request. An exchange has less than 4 KiB.
const REQUEST_LIMIT_BYTES: u32 = 64 * 1024;
/// The most bytes in an answer. Documents are the longest answers.
const ANSWER_LIMIT_BYTES: u32 = 4 * 1024 * 1024;
/// The most connections at once, which suffices for more than 170 VMs and their operators.
const MAX_CONNECTIONS: u32 = 256;

/// The JSON-RPC error code for a secret whose role does not permit the method.
const NOT_PERMITTED: i32 = -32001;
/// The JSON-RPC error code for a document that this VM does not have.
const NOT_FOUND: i32 = -32004;

/// Implements the methods of the control listener.
pub trait ControlHandler: Send + Sync + 'static {
    /// Applies the state of a peer and returns the state of this VM.
    fn exchange(&self, notice: ExchangeNotice) -> ExchangeNotice;

    /// Returns the document in force at this VM if it has this digest.
    fn document(&self, digest: &SharedName) -> Option<Bytes>;

    /// Returns the copy with the given name, if this VM has it.
    fn copy(&self, name: CopyName) -> Option<Bytes>;

    /// Returns whether a VM may perform an isolated run of a suspect now.
    fn grant(&self, request: &GrantRequest) -> bool;

    /// Records how an isolated run ended.
    fn release_grant(&self, result: &GrantResult);

    /// Returns the state of this VM.
    fn status(&self) -> StatusReport;

    /// Returns the requests that are suspected of crashing upstreams.
    fn suspects(&self) -> Vec<SuspectEntry>;

    /// Releases a suspected request on every VM.
    fn release(&self, fingerprint: u64);

    /// Returns this VM's counts of calls that met or missed their objectives.
    fn burn(&self) -> BurnExport;
}

/// A running control listener. It stops when it is dropped.
#[derive(Debug)]
pub struct ControlServer {
    /// The address at which it listens.
    pub address: SocketAddr,
    secrets: LiveSecrets,
    _handle: ServerHandle,
}

impl ControlServer {
    /// Starts the listener.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start<H: ControlHandler>(
        address: SocketAddr,
        secrets: SecretTable,
        counts: Arc<ControlCounts>,
        handler: H,
    ) -> io::Result<Self> {
        let config = ServerConfig::builder()
            .http_only()
            .max_connections(MAX_CONNECTIONS)
            .max_request_body_size(REQUEST_LIMIT_BYTES)
            .max_response_body_size(ANSWER_LIMIT_BYTES)
            .set_batch_request_config(BatchRequestConfig::Disabled)
            .build();
        let secrets = LiveSecrets::new(secrets);
        let auth = AuthLayer { secrets: secrets.clone(), counts };
        let server = Server::builder()
            .set_config(config)
            .set_http_middleware(tower::ServiceBuilder::new().layer(auth))
            .build(address)
            .await?;
        let address = server.local_addr()?;
        let methods = methods(handler).map_err(io::Error::other)?;
        Ok(Self { address, secrets, _handle: server.start(methods) })
    }

    /// Returns a handle for changing the accepted secrets.
    pub fn secrets(&self) -> LiveSecrets {
        self.secrets.clone()
    }
}

fn methods<H: ControlHandler>(handler: H) -> Result<RpcModule<H>, RegisterMethodError> {
    let mut module = RpcModule::new(handler);
    module.register_method(EXCHANGE, |params, handler, extensions| {
        require_role(extensions, ControlRole::Peer)?;
        let notice: ExchangeNotice = parse_param(&params)?;
        Ok::<_, ErrorObjectOwned>(handler.exchange(notice))
    })?;
    module.register_method(DOCUMENT, |params, handler, extensions| {
        require_role(extensions, ControlRole::Peer)?;
        let digest: SharedName = parse_param(&params)?;
        let document = handler.document(&digest);
        // Documents are JSON and therefore text.
        let text = document.and_then(|bytes| String::from_utf8(bytes.to_vec()).ok());
        text.ok_or_else(|| {
            error(NOT_FOUND, "the document is not in force at this VM; ask another VM")
        })
    })?;
    module.register_method(COPY, |params, handler, extensions| {
        require_role(extensions, ControlRole::Peer)?;
        let name: SharedName = parse_param(&params)?;
        let copy = name.parse().ok().and_then(|name| handler.copy(name));
        let text = copy.map(|copy| copy_text(&copy));
        text.ok_or_else(|| error(NOT_FOUND, "this VM does not have the copy; ask another VM"))
    })?;
    module.register_method(GRANT, |params, handler, extensions| {
        require_role(extensions, ControlRole::Peer)?;
        let request: GrantRequest = parse_param(&params)?;
        Ok::<_, ErrorObjectOwned>(handler.grant(&request))
    })?;
    module.register_method(GRANT_END, |params, handler, extensions| {
        require_role(extensions, ControlRole::Peer)?;
        let result: GrantResult = parse_param(&params)?;
        handler.release_grant(&result);
        Ok::<_, ErrorObjectOwned>(())
    })?;
    module.register_method(STATUS, |_params, handler, extensions| {
        require_role(extensions, ControlRole::Operator)?;
        Ok::<_, ErrorObjectOwned>(handler.status())
    })?;
    module.register_method(SUSPECTS, |_params, handler, extensions| {
        require_role(extensions, ControlRole::Operator)?;
        Ok::<_, ErrorObjectOwned>(handler.suspects())
    })?;
    module.register_method(RELEASE, |params, handler, extensions| {
        require_role(extensions, ControlRole::Operator)?;
        let fingerprint: u64 = parse_param(&params)?;
        handler.release(fingerprint);
        Ok::<_, ErrorObjectOwned>(())
    })?;
    module.register_method(BURN, |_params, handler, extensions| {
        require_role(extensions, ControlRole::Operator)?;
        Ok::<_, ErrorObjectOwned>(handler.burn())
    })?;
    Ok(module)
}

fn require_role(extensions: &Extensions, role: ControlRole) -> Result<(), ErrorObjectOwned> {
    if extensions.get::<ControlRole>() == Some(&role) {
        return Ok(());
    }
    Err(error(
        NOT_PERMITTED,
        "the secret does not permit this method; use a peer secret for peer_ methods and an \
         operator secret for operator_ methods",
    ))
}

fn parse_param<T: serde::de::DeserializeOwned>(params: &Params<'_>) -> Result<T, ErrorObjectOwned> {
    params.one()
}

fn error(code: i32, message: &'static str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(code, message, None::<()>)
}
