//! The trait of an interface, and the values that it reads from heads and writes to them.

use base::prelude::*;
use bytes::Bytes;
use http::header::{HeaderMap, HeaderValue};
use http::request::Parts;
use http::{Response, StatusCode};
use route::prelude::*;
use world::prelude::*;

use crate::head::HeadError;
use crate::refusal::CallRefusal;

/// The length of a request body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyLength {
    /// Stated by `content-length` in bytes, or 0 without a body.
    Known(u64),
    /// Not known before the end, because the body is sent in chunks.
    Chunked,
}

/// The values that the gateway reads from the head of a caller's request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestFacts {
    /// The host without its port, in lower case.
    pub host: String,
    /// The caller's own id of this request, if the interface has one.
    pub id: Option<HeaderValue>,
    /// How long the caller waits for the answer, if the head states it.
    pub deadline: Option<ClockSpan>,
    /// Call depth: the number of calls above this one in a chain of services.
    pub depth: u32,
    /// The caller's idempotency key, if it sent one.
    pub key: Option<SharedName>,
    /// The digest of the key of the caller's account, if the request has exactly one.
    pub account_key: Option<KeyDigest>,
    /// The length of the body.
    pub body: BodyLength,
}

/// The values that the gateway sends to an upstream with each attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFacts<'a> {
    /// The time until the deadline of the call.
    pub remaining: ClockSpan,
    /// The number of the attempt, from 1.
    pub attempt: u32,
    /// Call depth: the number of calls above this one in a chain of services.
    pub depth: u32,
    /// The id of the call.
    pub id: &'a HeaderValue,
    /// The name of the upstream that is to run the call.
    pub upstream: &'a str,
}

/// What the head of an upstream's answer means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerVerdict {
    /// The answer to the call, which is not a server error.
    Accepted,
    /// The upstream reports a server error. It may have run the call.
    Failed,
    /// The upstream proves that it did not run the call.
    NotRun,
    /// Another server uses the upstream's address and proves that it did not run the call.
    Misdirected,
    /// The answer to another request, or bytes without proof that the upstream sent them. The
    /// connection must not be used again.
    Foreign,
}

/// The values that the gateway reads from the head of an upstream's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerFacts {
    /// The upstream's load, if the head reports it.
    pub load: Option<LoadReport>,
    /// What the answer means.
    pub verdict: AnswerVerdict,
    /// Whether a failed answer may be forwarded to the caller unchanged. A status that promises
    /// that the call was not run must not be forwarded without proof of that.
    pub can_forward: bool,
    /// What the upstream asks of its callers.
    pub wish: UpstreamWish,
}

/// What an upstream asks of its callers in the head of an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UpstreamWish {
    /// Whether it drains until it ends, so that it must get no further requests until a new
    /// incarnation has started.
    pub final_drain: bool,
    /// For how long it wants no requests from this VM.
    pub pause: Option<ClockSpan>,
}

/// The values that the gateway reads from the answer to a health check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CheckFacts {
    /// The upstream's load, if the answer reports it.
    pub load: Option<LoadReport>,
    /// Whether another server uses the upstream's address.
    pub misdirected: bool,
    /// Whether the answer belongs to another request, or has no proof that the upstream sent it. The
    /// connection must not be used again.
    pub foreign: bool,
    /// What the upstream asks of its callers.
    pub wish: UpstreamWish,
    /// The rest of the upstream's warm-up, if the answer reports it.
    pub warm_up: Option<ClockSpan>,
}

/// Encodes and decodes the heads of requests and answers for one interface.
pub trait CallCodec: Copy + Send + Sync + 'static {
    /// Whether upstreams accept cancellations on another connection and confirm them. If not, the
    /// gateway sends none.
    const CONFIRMS_CANCELS: bool;

    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns the error of the first rule that the head breaks.
    fn read_request(parts: &Parts) -> Result<RequestFacts, HeadError>;

    /// Removes the headers of a caller's request that must not reach an upstream.
    fn clean_request(headers: &mut HeaderMap);

    /// Replaces the key of the caller's account by the name of the account, or removes it if the
    /// caller has none. No value that the caller sent for the name remains. Only called if the
    /// environment has accounts.
    fn set_account(headers: &mut HeaderMap, account: Option<&str>);

    /// Sets the headers that an upstream gets with each attempt.
    fn set_attempt_headers(headers: &mut HeaderMap, facts: &AttemptFacts<'_>);

    /// Reads the head of an answer to the call `id` and removes the headers that must not reach the
    /// caller.
    fn read_answer(status: StatusCode, headers: &mut HeaderMap, id: &HeaderValue) -> AnswerFacts;

    /// Sets the headers of an answer that is forwarded to the caller of the call `id`.
    fn set_answer_headers(headers: &mut HeaderMap, verdict: AnswerVerdict, id: &HeaderValue);

    /// Returns the answer that reports a refusal to the caller of the call `id`.
    fn refuse(refusal: &CallRefusal, id: &HeaderValue) -> Response<Bytes>;

    /// Returns the path to which health checks of the service's upstreams are sent.
    fn check_path(contract: &ServiceContract) -> &str;

    /// Sets the headers of the health check `id`.
    fn set_check_headers(headers: &mut HeaderMap, id: &HeaderValue);

    /// Names the upstream that a request is for, if the interface has a header for that. Another
    /// server that uses the address of the upstream then does not run the request.
    fn set_upstream(headers: &mut HeaderMap, upstream: &str);

    /// Reads the answer to the health check `id` of `upstream`. An answer without an id is judged
    /// by its other headers, because not every upstream returns the ids of health checks.
    fn read_check(
        status: StatusCode,
        headers: &mut HeaderMap,
        body: &[u8],
        upstream: &str,
        id: &HeaderValue,
    ) -> CheckFacts;
}
