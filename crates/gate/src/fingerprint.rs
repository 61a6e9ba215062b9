//! The fingerprint of a call, by which requests that crash upstreams are recognised.
//!
//! It covers everything of the request that an upstream may act on and that is the same when a
//! caller repeats the request: host, method, target, credentials and body. An idempotency key is
//! left out, because a caller may give each repeat another one.

use codec::prelude::*;
use http::header::{self, HeaderName};

use crate::body::CallBody;
use crate::plan::PlannedCall;
use crate::state::GateState;

/// Headers that identify the caller to an upstream. A request that crashes upstreams only for one
/// account is not the same as that of another account.
const CREDENTIALS: [HeaderName; 2] = [header::AUTHORIZATION, header::COOKIE];

/// Returns the fingerprint of a call. Without a body in memory, it is partial
/// ([`suspect::fingerprint::is_partial`]) and covers the length of the body, if that is announced.
pub fn of_call(
    state: &GateState,
    call: &PlannedCall,
    facts: &RequestFacts,
    body: &CallBody,
) -> u64 {
    let mut hasher = state.fingerprint_key.load().hasher();
    let target = call.uri.path_and_query().map_or("/", |target| target.as_str());
    for part in [&facts.host, call.method.as_str(), target] {
        hasher.add(part.as_bytes());
    }
    for name in CREDENTIALS {
        let values = call.headers.get_all(name);
        hasher.add(&(values.iter().count() as u64).to_le_bytes());
        values.iter().for_each(|value| hasher.add(value.as_bytes()));
    }
    // The key of an account is not among the headers that are passed on.
    if let Some(account) = &call.account {
        hasher.add(account.name.as_bytes());
    }
    match body {
        CallBody::Empty => {
            hasher.add(&[]);
            hasher.whole()
        }
        CallBody::Buffered(bytes) => {
            hasher.add(bytes);
            hasher.whole()
        }
        CallBody::Streamed(_) => {
            if let BodyLength::Known(length) = facts.body {
                hasher.add(&length.to_le_bytes());
            }
            hasher.partial()
        }
    }
}
