//! The interface whose headers begin with `agateroad-`.

use base::prelude::*;
use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::request::Parts;
use http::{Response, StatusCode};
use route::prelude::*;
use serde::Deserialize;
use world::prelude::*;
use world::request::MAX_CALL_DEPTH;

use crate::call::{
    AnswerFacts, AnswerVerdict, AttemptFacts, CallCodec, CheckFacts, RequestFacts, UpstreamWish,
};
use crate::head::{self, HeadError, MAX_KEY_BYTES};
use crate::refusal::CallRefusal;

/// The time for which the caller still waits, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("agateroad-deadline-ms");
/// The number of the attempt, from 1.
pub const ATTEMPT: HeaderName = HeaderName::from_static("agateroad-attempt");
/// Call depth: the number of calls above this one in a chain of services.
pub const DEPTH: HeaderName = HeaderName::from_static("agateroad-depth");
/// The id of the call, by which it can be cancelled.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("agateroad-request-id");
/// Whether a failed call was run: `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("agateroad-outcome");
/// Load of the upstream in numbers of calls: `in_flight/slots/queued`.
pub const LOAD: HeaderName = HeaderName::from_static("agateroad-load");
/// Present while the upstream is draining.
pub const DRAIN: HeaderName = HeaderName::from_static("agateroad-drain");
/// Present with status 503 when the upstream did not run the call.
pub const SHED: HeaderName = HeaderName::from_static("agateroad-shed");
/// The name of the client account of the caller.
pub const ACCOUNT: HeaderName = HeaderName::from_static("agateroad-account");
/// The caller's key of a non-idempotent piece of work, equal in repeated requests for it.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Headers that only gateways and upstreams set. They are removed from a caller's request.
const GATEWAY_ONLY: [HeaderName; 7] = [ATTEMPT, REQUEST_ID, OUTCOME, LOAD, DRAIN, SHED, ACCOUNT];

/// The path at which an upstream reports its load; health checks are sent to it.
const LOAD_PATH: &str = "/agateroad/load";

/// The JSON body of an answer at [`LOAD_PATH`].
#[derive(Debug)]
#[derive(Deserialize)]
struct LoadBody {
    in_flight: u32,
    slots: u32,
    queued: u32,
    draining: bool,
}

/// Codec of the interface whose headers begin with `agateroad-`.
#[derive(Clone, Copy, Debug)]
pub struct NativeCodec;

impl CallCodec for NativeCodec {
    const CONFIRMS_CANCELS: bool = true;

    fn read_request(parts: &Parts) -> Result<RequestFacts, HeadError> {
        let (host, body) = head::check_framing(parts)?;
        let headers = &parts.headers;
        let deadline = head::number(headers, &DEADLINE, HeadError::Deadline)?;
        Ok(RequestFacts {
            host,
            id: None,
            deadline: deadline.map(ClockSpan::from_millis),
            depth: depth(headers)?,
            key: key(headers)?,
            account_key: None,
            body,
        })
    }

    fn clean_request(headers: &mut HeaderMap) {
        head::remove_hop_by_hop(headers);
        headers.remove(header::EXPECT);
        for name in &GATEWAY_ONLY {
            headers.remove(name);
        }
    }

    fn set_account(headers: &mut HeaderMap, account: Option<&str>) {
        head::set_or_remove(headers, &ACCOUNT, account);
    }

    fn set_attempt_headers(headers: &mut HeaderMap, facts: &AttemptFacts<'_>) {
        headers.insert(DEADLINE, HeaderValue::from(facts.remaining.as_millis()));
        headers.insert(ATTEMPT, HeaderValue::from(facts.attempt));
        headers.insert(DEPTH, HeaderValue::from(facts.depth + 1));
        headers.insert(REQUEST_ID, facts.id.clone());
    }

    fn read_answer(status: StatusCode, headers: &mut HeaderMap, _id: &HeaderValue) -> AnswerFacts {
        head::remove_hop_by_hop(headers);
        headers.remove(OUTCOME);
        let draining = headers.remove(DRAIN).is_some();
        let shed = headers.remove(SHED).is_some();
        let load = headers.remove(LOAD).and_then(|value| parse_load(value.to_str().ok()?));
        let load = match load {
            Some((in_flight, slots, queued)) => Some(report(in_flight, slots, queued, draining)),
            None if draining => Some(report(0, 0, 0, draining)),
            None => None,
        };
        let verdict = match status {
            StatusCode::SERVICE_UNAVAILABLE if shed => AnswerVerdict::NotRun,
            status if status.is_server_error() => AnswerVerdict::Failed,
            _ => AnswerVerdict::Accepted,
        };
        // The drain flag is repeated in each answer and so is no final drain.
        let wish = UpstreamWish { final_drain: false, pause: head::read_pause(status, headers) };
        AnswerFacts { load, verdict, can_forward: true, wish }
    }

    fn set_answer_headers(headers: &mut HeaderMap, verdict: AnswerVerdict, id: &HeaderValue) {
        headers.insert(REQUEST_ID, id.clone());
        if verdict == AnswerVerdict::NotRun {
            headers.insert(OUTCOME, HeaderValue::from_static("not-run"));
            headers.entry(header::RETRY_AFTER).or_insert(HeaderValue::from_static("1"));
        }
    }

    fn refuse(refusal: &CallRefusal, id: &HeaderValue) -> Response<Bytes> {
        let body = serde_json::json!({
            "outcome": refusal.fate.as_str(),
            "error": refusal.message,
        });
        let mut answer = Response::new(Bytes::from(body.to_string()));
        *answer.status_mut() = refusal.status;
        let headers = answer.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(OUTCOME, HeaderValue::from_static(refusal.fate.as_str()));
        headers.insert(REQUEST_ID, id.clone());
        if let Some(span) = refusal.retry_after {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(to_whole_seconds(span)));
        }
        answer
    }

    fn check_path(_contract: &ServiceContract) -> &str {
        LOAD_PATH
    }

    fn set_check_headers(headers: &mut HeaderMap, id: &HeaderValue) {
        headers.insert(REQUEST_ID, id.clone());
    }

    fn set_upstream(_headers: &mut HeaderMap, _upstream: &str) {}

    fn read_check(
        status: StatusCode,
        headers: &mut HeaderMap,
        body: &[u8],
        _upstream: &str,
        id: &HeaderValue,
    ) -> CheckFacts {
        let foreign = headers.get(REQUEST_ID).is_some_and(|echo| echo != id);
        let facts = Self::read_answer(status, headers, &HeaderValue::from_static(""));
        let header_load = facts.load;
        let body = match status {
            StatusCode::OK => serde_json::from_slice::<LoadBody>(body).ok(),
            _ => None,
        };
        let load = match body {
            Some(LoadBody { in_flight, slots, queued, draining }) => {
                let draining = draining || header_load.is_some_and(|load| load.draining);
                Some(report(in_flight, slots, queued, draining))
            }
            None => header_load,
        };
        let load = load.map(|load| LoadReport { source: ReportSource::Probe, ..load });
        CheckFacts { load, misdirected: false, foreign, wish: facts.wish, warm_up: None }
    }
}

/// Rounds up to at least 1 s, so that callers do not retry too early.
fn to_whole_seconds(span: ClockSpan) -> u64 {
    span.as_millis().div_ceil(1000).max(1)
}

fn depth(headers: &HeaderMap) -> Result<u32, HeadError> {
    let depth = head::number(headers, &DEPTH, HeadError::Depth)?.unwrap_or(0);
    if depth > u64::from(MAX_CALL_DEPTH) {
        return Err(HeadError::TooDeep);
    }
    Ok(depth as u32)
}

fn key(headers: &HeaderMap) -> Result<Option<SharedName>, HeadError> {
    let mut values = headers.get_all(IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(HeadError::Key);
    }
    let text = value.to_str().map_err(|_| HeadError::Key)?;
    let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    if text.is_empty() || text.len() > MAX_KEY_BYTES || !visible {
        return Err(HeadError::Key);
    }
    Ok(Some(SharedName::from(text)))
}

fn report(in_flight: u32, slots: u32, queued: u32, draining: bool) -> LoadReport {
    let age = ClockSpan::ZERO;
    LoadReport {
        in_flight,
        slots,
        queued,
        pace_percent: None,
        draining,
        age,
        source: ReportSource::Response,
    }
}

fn parse_load(text: &str) -> Option<(u32, u32, u32)> {
    let mut fields = text.splitn(3, '/').map(|field| field.parse().ok());
    Some((fields.next()??, fields.next()??, fields.next()??))
}
