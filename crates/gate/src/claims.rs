//! The request path of a call that must run at most once.
//!
//! Before the call is sent, its idempotency key is claimed in the platform's store. The answer is
//! stored under the claim, and a repeat of the request gets the stored answer.

use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use claim::prelude::*;
use codec::native;
use codec::prelude::*;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::{BodyExt as _, Limited};
use hyper::body::Incoming;
use store::prelude::*;
use tokio::time::timeout_at;
use trace::prelude::CallCause;
use world::prelude::*;

use crate::answer::{self, AnswerBody, CallResponse, TracedResponse};
use crate::body::{self, BodyError, CallBody};
use crate::call_trace::TracedCall;
use crate::plan::PlannedCall;
use crate::progress::CallProgress;
use crate::service::ServiceContext;
use crate::state::{GateClaims, GateState, GateStore};
use crate::{fingerprint, stop_check, suspect_check};

/// Header that marks the stored answer to an earlier request with the same key.
pub const REPEAT: HeaderName = HeaderName::from_static("agateroad-repeat");

/// The longest request body of a call with a claim. It is read before the claim is made, because
/// the claim contains its digest.
const REQUEST_LIMIT_BYTES: usize = 1024 * 1024;
/// The longest answer body of a call with a claim. The claims of a VM buffer 4 MiB of answers in
/// memory.
const ANSWER_LIMIT_BYTES: usize = 1024 * 1024;
/// Time after which a caller may repeat a request whose key is claimed by a running call or whose
/// claim was not stored.
const RETRY_AFTER: ClockSpan = ClockSpan::from_secs(1);

/// Headers that describe one transfer and are not stored for repeats.
const UNSTORED_HEADERS: [HeaderName; 4] =
    [header::CONTENT_LENGTH, header::DATE, header::SERVER, native::REQUEST_ID];

type GateGrant = ClaimGrant<GateStore, RealClock>;

/// Returns whether a call needs a claim before it is sent. A call without a key needs none, because
/// its repeats cannot be recognised.
pub fn is_needed(request: &CallerRequest) -> bool {
    !request.idempotent && request.key.is_some()
}

/// Claims the key of a call and runs it, or returns the stored answer of an earlier claim.
///
/// # Errors
///
/// Returns why there is no answer, and whether the call may have run.
pub(crate) async fn run<C: CallCodec>(
    state: &Arc<GateState>,
    context: &Arc<ServiceContext>,
    mut call: PlannedCall,
    mut traced: TracedCall,
    facts: &RequestFacts,
    body: Incoming,
) -> TracedResponse {
    let (grant, body) = match acquire_claim(state, &call, facts, body).await {
        Ok(acquired) => acquired,
        Err(response) => return (response, Some(traced)),
    };
    let body = if body.is_empty() { CallBody::Empty } else { CallBody::Buffered(body) };
    call.request.fingerprint = fingerprint::of_call(state, &call, facts, &body);
    traced.record_fingerprint(call.request.fingerprint);
    let claimed = ClaimedCall { context: Arc::clone(context), call, traced, body };
    dispatch::<C>(state, claimed, grant).await
}

/// Reads the body of a call and claims its key.
///
/// # Errors
///
/// Returns the result of a call that gets no claim and is therefore not run: the stored answer to
/// an earlier request or a refusal.
async fn acquire_claim(
    state: &Arc<GateState>,
    call: &PlannedCall,
    facts: &RequestFacts,
    body: Incoming,
) -> Result<(GateGrant, Bytes), CallResponse> {
    let Some(claims) = state.claims.get() else {
        let message =
            "this gateway has no platform for claims; send the request to another gateway";
        return Err(Err(CallRefusal::not_run(StatusCode::SERVICE_UNAVAILABLE, message)));
    };
    let body = read_body(state, facts, body, call.request.deadline).await.map_err(Err)?;
    stop_check::require_time(state, call.request.deadline).map_err(Err)?;
    match begin(claims, call, &body).await {
        ClaimDecision::Dispatch(grant) => Ok((grant, body)),
        ClaimDecision::Replay(answer) => Err(Ok(stored_answer(&answer, &call.id))),
        ClaimDecision::Refused(reason) => {
            if let ClaimRefusal::StoreDown | ClaimRefusal::StoreSlow = reason {
                state.store.failed(reason, state.clock.now());
            }
            Err(Err(refusal_for(reason)))
        }
        ClaimDecision::Unknown => {
            let message = "an earlier request with this key may have run; it is not run again";
            let refusal = CallRefusal::unknown(StatusCode::CONFLICT, message);
            Err(Err(refusal.with_cause(CallCause::BadRequest)))
        }
        ClaimDecision::InProgress => {
            let message = "an earlier request with this key is running; repeat the request later";
            let refusal = CallRefusal::unknown(StatusCode::CONFLICT, message);
            Err(Err(refusal.with_cause(CallCause::BadRequest).retry_after(RETRY_AFTER)))
        }
    }
}

async fn read_body(
    state: &GateState,
    facts: &RequestFacts,
    body: Incoming,
    deadline: ClockTime,
) -> Result<Bytes, CallRefusal> {
    let idle_timeout = state.timeouts.load().request_body;
    let whole = match facts.body {
        BodyLength::Known(0) => return Ok(Bytes::new()),
        BodyLength::Known(length) if length > REQUEST_LIMIT_BYTES as u64 => Err(BodyError::TooLong),
        _ => {
            let whole = body::read_whole(body, REQUEST_LIMIT_BYTES, idle_timeout);
            let deadline = state.clock.to_instant(deadline).into();
            timeout_at(deadline, whole).await.unwrap_or(Err(BodyError::TooSlow))
        }
    };
    whole.map_err(|error| match error {
        BodyError::TooLong => {
            let message = format!(
                "the body of a request with an idempotency-key has at most {REQUEST_LIMIT_BYTES} bytes; send a shorter one"
            );
            let refusal = CallRefusal::not_run(StatusCode::PAYLOAD_TOO_LARGE, message);
            refusal.with_cause(CallCause::BadRequest).closing()
        }
        error => error.into_refusal(),
    })
}

async fn begin(
    claims: &GateClaims,
    call: &PlannedCall,
    body: &[u8],
) -> ClaimDecision<GateStore, RealClock> {
    let request = &call.request;
    let key = claim_key(&request.service, request.key.as_deref().unwrap_or_default());
    claims.begin(key, request_digest(call, body), request).await
}

/// Returns the digest of everything that a repeat must have in common with the first request:
/// method, path with query, and body.
fn request_digest(call: &PlannedCall, body: &[u8]) -> SharedName {
    let target = call.uri.path_and_query().map_or("/", |target| target.as_str());
    let mut bytes = Vec::with_capacity(target.len() + body.len() + 16);
    for part in [call.method.as_str().as_bytes(), target.as_bytes()] {
        bytes.extend_from_slice(part);
        bytes.push(0);
    }
    bytes.extend_from_slice(body);
    content_digest(&bytes)
}

/// A call that its claim allows to run.
struct ClaimedCall {
    context: Arc<ServiceContext>,
    call: PlannedCall,
    traced: TracedCall,
    body: CallBody,
}

/// Runs the call in a separate task, so that its outcome is stored even if the caller disconnects.
async fn dispatch<C: CallCodec>(
    state: &Arc<GateState>,
    claimed: ClaimedCall,
    grant: GateGrant,
) -> TracedResponse {
    let state = Arc::clone(state);
    let task = tokio::spawn(async move {
        let _running = state.calls.enter();
        run_granted::<C>(&state, claimed, grant).await
    });
    task.await.unwrap_or_else(|_| {
        let message = "the gateway stopped while the call ran; repeat the request with its key";
        (Err(CallRefusal::unknown(StatusCode::BAD_GATEWAY, message)), None)
    })
}

async fn run_granted<C: CallCodec>(
    state: &Arc<GateState>,
    claimed: ClaimedCall,
    grant: GateGrant,
) -> TracedResponse {
    let ClaimedCall { context, mut call, mut traced, body } = claimed;
    let progress = CallProgress::default();
    let running =
        suspect_check::run_checked::<C>(state, &context, &mut call, &mut traced, body, &progress);
    let result = running.await;
    let result = match result {
        Ok(answer) if answer::is_not_run(&answer) => {
            grant.release(NotRunProof::Shed);
            Ok(answer)
        }
        Ok(answer) => store_answer(grant, answer).await,
        Err(refusal) => {
            match refusal.fate {
                CallFate::NotRun => grant.release(NotRunProof::NeverSent),
                CallFate::Unknown => grant.unknown(),
            }
            Err(refusal)
        }
    };
    (result, Some(traced))
}

/// Reads the whole answer and stores it for repeats. The caller gets it afterwards, so that the
/// stored answer is the one that the caller got.
async fn store_answer(grant: GateGrant, answer: Response<AnswerBody>) -> CallResponse {
    let (parts, body) = answer.into_parts();
    let message = match Limited::new(body, ANSWER_LIMIT_BYTES).collect().await {
        Ok(body) => {
            let body = body.to_bytes();
            let headers = stored_headers(&parts.headers);
            let status = parts.status.as_u16();
            grant.finish(StoredAnswer { status, headers, body: body.clone() });
            return Ok(Response::from_parts(parts, AnswerBody::full(body)));
        }
        Err(error) => format!("the call ran, but its answer cannot be stored: {error}"),
    };
    grant.unknown();
    let refusal = CallRefusal::unknown(StatusCode::BAD_GATEWAY, message);
    Err(refusal.with_cause(CallCause::Truncated))
}

fn stored_headers(headers: &HeaderMap) -> Vec<(SharedName, String)> {
    let stored = headers.iter().filter(|(name, _)| !UNSTORED_HEADERS.contains(name));
    stored
        .filter_map(|(name, value)| {
            Some((SharedName::from(name.as_str()), value.to_str().ok()?.to_owned()))
        })
        .collect()
}

fn stored_answer(stored: &StoredAnswer, id: &HeaderValue) -> Response<AnswerBody> {
    let mut answer = Response::new(AnswerBody::full(stored.body.clone()));
    *answer.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    let headers = answer.headers_mut();
    for (name, value) in &stored.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            headers.append(name, value);
        }
    }
    headers.insert(REPEAT, HeaderValue::from_static("1"));
    headers.insert(native::REQUEST_ID, id.clone());
    answer
}

fn refusal_for(reason: ClaimRefusal) -> CallRefusal {
    match reason {
        ClaimRefusal::OtherBody => {
            let refusal = CallRefusal::not_run(StatusCode::UNPROCESSABLE_ENTITY, reason);
            refusal.with_cause(CallCause::BadRequest)
        }
        ClaimRefusal::Unreadable => CallRefusal::not_run(StatusCode::INTERNAL_SERVER_ERROR, reason),
        ClaimRefusal::StoreDown
        | ClaimRefusal::StoreSlow
        | ClaimRefusal::Full
        | ClaimRefusal::Stopping => {
            CallRefusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason).retry_after(RETRY_AFTER)
        }
    }
}
