//! What the request path needs of an interface.

use base::prelude::*;
use bytes::Bytes;
use http::header::{HeaderMap, HeaderValue};
use http::request::Parts;
use http::{Response, StatusCode};
use route::prelude::*;
use world::prelude::*;

use crate::head::HeadError;
use crate::refusal::CallRefusal;

/// How long the body of a request is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyLength {
    /// Announced, in bytes.
    Known(u64),
    /// Sent in chunks.
    Chunked,
}

/// What the head of a request says to the gateway.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestFacts {
    /// The host without its port, in lower case.
    pub host: String,
    /// The caller's own id of this request, if the interface has one.
    pub id: Option<HeaderValue>,
    /// How long the caller waits.
    pub deadline: Option<ClockSpan>,
    /// The number of calls above this one.
    pub depth: u32,
    /// The caller's idempotency key.
    pub key: Option<SharedName>,
    /// The length of the body.
    pub body: BodyLength,
}

/// What an upstream is told with each attempt.
#[derive(Clone, Copy, Debug)]
pub struct RequestMark<'a> {
    /// The time that the call has left.
    pub remaining: ClockSpan,
    /// The number of the attempt, from 1.
    pub attempt: u32,
    /// The number of calls above this one.
    pub depth: u32,
    /// The id of the call.
    pub id: &'a HeaderValue,
    /// The upstream that is meant to run it.
    pub upstream: &'a str,
}

/// What the head of an upstream's answer means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerVerdict {
    /// The answer to the call, without an error of the server.
    Accepted,
    /// The upstream reports an error. It may have run the call.
    Failed,
    /// The upstream proves that it did not run the call.
    NotRun,
    /// Another server has the address and proves that it did not run the call.
    Misdirected,
    /// Not the answer to this call, or bytes that are no answer. The connection is unusable.
    Foreign,
}

/// What an upstream tells the gateway in the head of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerMarks {
    /// The upstream's load.
    pub load: Option<LoadReport>,
    /// What the answer means.
    pub verdict: AnswerVerdict,
    /// Whether the caller may get a failure as it is. A status that promises that the call was not
    /// run must not be passed on without that proof.
    pub passable: bool,
}

/// What a health check says about an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CheckFacts {
    /// Its load.
    pub load: Option<LoadReport>,
    /// Whether another server has its address.
    pub misdirected: bool,
    /// Whether it is the answer to something else, or none at all. The connection is unusable.
    pub foreign: bool,
}

/// Encodes and decodes the heads of calls.
pub trait CallCodec: Copy + Send + Sync + 'static {
    /// Whether upstreams confirm cancellations that are sent on another connection.
    const CONFIRMS_CANCELS: bool;

    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns the first rule that the head breaks.
    fn read_request(parts: &Parts) -> Result<RequestFacts, HeadError>;

    /// Removes from a caller's request what must not reach an upstream.
    fn clean_request(headers: &mut HeaderMap);

    /// Sets the headers that an upstream gets with each attempt.
    fn mark_request(headers: &mut HeaderMap, mark: &RequestMark<'_>);

    /// Judges the head of an answer to the call `id` and removes what must not reach the caller.
    fn read_answer(status: StatusCode, headers: &mut HeaderMap, id: &HeaderValue) -> AnswerMarks;

    /// Marks an answer that is passed on to the caller of the call `id`.
    fn mark_answer(headers: &mut HeaderMap, verdict: AnswerVerdict, id: &HeaderValue);

    /// Returns the answer that tells a caller of a refusal.
    fn refuse(refusal: &CallRefusal, id: &HeaderValue) -> Response<Bytes>;

    /// Returns the path of the health check of a service.
    fn check_path(contract: &ServiceContract) -> &str;

    /// Sets the headers of a health check with the gateway's own id of it.
    fn mark_check(headers: &mut HeaderMap, id: &HeaderValue);

    /// Reads the answer to the health check `id` of `upstream`. An answer that echoes no id is
    /// judged by its other headers, because not every upstream echoes the ids of checks.
    fn read_check(
        status: StatusCode,
        headers: &mut HeaderMap,
        body: &[u8],
        upstream: &str,
        id: &HeaderValue,
    ) -> CheckFacts;
}
