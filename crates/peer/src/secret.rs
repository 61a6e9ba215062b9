//! The secrets that peers and operators present to the control listener.

use std::fmt;
use std::sync::Arc;

use arc_swap::ArcSwap;
use sha2::{Digest, Sha256};
use subtle::{Choice, ConstantTimeEq};

const SCHEME: &str = "Bearer ";

type SecretDigest = [u8; 32];

/// The role of the owner of a secret, which decides the methods that it may call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ControlRole {
    /// Another VM.
    Peer,
    /// An operator.
    Operator,
}

/// The secrets that are accepted. Only digests are kept, so that all comparisons take equally long.
#[derive(Clone)]
pub struct SecretTable {
    peers: Vec<SecretDigest>,
    operators: Vec<SecretDigest>,
}

impl fmt::Debug for SecretTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SecretTable(hidden)")
    }
}

impl SecretTable {
    /// Returns a table of the accepted secrets.
    pub fn new<'a>(
        peers: impl IntoIterator<Item = &'a str>,
        operators: impl IntoIterator<Item = &'a str>,
    ) -> Self {
        let digests = |secret: &str| SecretDigest::from(Sha256::digest(secret));
        let peers = peers.into_iter().map(digests).collect();
        Self { peers, operators: operators.into_iter().map(digests).collect() }
    }

    /// Returns the role of the secret in an `authorization` header, or `None` if it is not
    /// accepted.
    pub fn role(&self, authorization: &[u8]) -> Option<ControlRole> {
        let secret = authorization.strip_prefix(SCHEME.as_bytes())?;
        let digest = SecretDigest::from(Sha256::digest(secret));
        // Every secret is compared, so that the response time does not reveal which one matched.
        let matches = |list: &[SecretDigest]| -> bool {
            let found =
                list.iter().fold(Choice::from(0), |found, entry| found | entry.ct_eq(&digest));
            found.into()
        };
        match (matches(&self.peers), matches(&self.operators)) {
            (true, _) => Some(ControlRole::Peer),
            (false, true) => Some(ControlRole::Operator),
            (false, false) => None,
        }
    }
}

/// The secrets that a running control listener accepts. Clones share them.
#[derive(Clone, Debug)]
pub struct LiveSecrets(Arc<ArcSwap<SecretTable>>);

impl LiveSecrets {
    pub(crate) fn new(table: SecretTable) -> Self {
        Self(Arc::new(ArcSwap::from_pointee(table)))
    }

    /// Replaces the accepted secrets. Requests that were accepted before are still answered.
    pub fn set(&self, table: SecretTable) {
        self.0.store(Arc::new(table));
    }

    /// Returns the role of the secret in an `authorization` header, or `None` if it is not
    /// accepted.
    pub fn role(&self, authorization: &[u8]) -> Option<ControlRole> {
        self.0.load().role(authorization)
    }
}

/// Returns the value of the `authorization` header for a secret.
pub fn authorization(secret: &str) -> String {
    format!("{SCHEME}{secret}")
}
