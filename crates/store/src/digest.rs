//! Content digests, under which documents and answers are kept in the object store.

use base::prelude::*;
use sha2::{Digest, Sha256};

/// Returns the SHA-256 digest of `bytes` as 64 lower-case hexadecimal digits.
pub fn content_digest(bytes: &[u8]) -> SharedName {
    SharedName::from(format!("{:x}", Sha256::digest(bytes)))
}
