//! Fingerprints: numbers that are equal for repeats of the same request.
//!
//! They are keyed, so that a caller cannot construct a request that has the fingerprint of another
//! one, and either gets that one refused or passes for it.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Separates fingerprints from other uses of the secret.
const DOMAIN: &[u8] = b"agateroad request fingerprint";
/// Set in the fingerprint of a request of which only a part is known.
const PARTIAL: u64 = 1 << 63;

/// Returns whether a fingerprint was computed without the content of the request's body. Requests
/// with different bodies can share it, so that neither their successes nor their crashes say much
/// about one of them.
pub const fn is_partial(fingerprint: u64) -> bool {
    fingerprint & PARTIAL != 0
}

/// The key of the fingerprints of all VMs.
#[derive(Clone)]
pub struct FingerprintKey(Hmac<Sha256>);

impl FingerprintKey {
    /// Returns the key that is derived from a secret of the VMs.
    pub fn new(secret: &str) -> Self {
        Self(hmac_key(secret).chain_update(DOMAIN))
    }

    /// Returns a hasher for the parts of one request.
    pub fn hasher(&self) -> FingerprintHasher {
        FingerprintHasher(self.0.clone())
    }
}

impl fmt::Debug for FingerprintKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("FingerprintKey")
    }
}

fn hmac_key(secret: &str) -> Hmac<Sha256> {
    Hmac::new_from_slice(secret.as_bytes()).expect("HMAC accepts keys of any length")
}

/// Computes the fingerprint of one request from its parts.
pub struct FingerprintHasher(Hmac<Sha256>);

impl FingerprintHasher {
    /// Adds a part. Its length is included, so that no other division into parts gives the same
    /// fingerprint.
    pub fn add(&mut self, part: &[u8]) {
        self.0.update(&(part.len() as u64).to_le_bytes());
        self.0.update(part);
    }

    /// Returns the fingerprint of a request whose parts, including its body, were all added.
    pub fn whole(self) -> u64 {
        self.number() & !PARTIAL
    }

    /// Returns the fingerprint of a request whose body is not known.
    pub fn partial(self) -> u64 {
        self.number() | PARTIAL
    }

    fn number(self) -> u64 {
        let digest = self.0.finalize().into_bytes();
        digest.iter().take(8).fold(0, |number, byte| number << 8 | u64::from(*byte))
    }
}
