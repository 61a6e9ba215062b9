//! The path of a call that runs at most once.

use std::pin::Pin;
use std::sync::Arc;

use base::prelude::*;
use bytes::{Bytes, BytesMut};
use claim::prelude::*;
use futures_util::future::poll_fn;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Response, StatusCode};
use store::prelude::*;
use tokio::time::timeout_at;
use world::prelude::*;
use xitca_web::body::{Body as _, Frame, RequestBody};

use crate::access::{GateClaims, GateStore};
use crate::answer::{AnswerBody, AnswerError, CallFate, CallRefusal};
use crate::attempt::PlannedCall;
use crate::call::{self, CallBody};
use crate::desk::ServiceDesk;
use crate::head::{self, HeadFacts};
use crate::relay::{self, RelayError};
use crate::state::GateState;

/// Present with the answer to an earlier request with the same key.
pub const REPEAT: HeaderName = HeaderName::from_static("agateroad-repeat");

/// The longest request body of claimed work. It is read before the claim, which holds its digest.
const REQUEST_LIMIT_BYTES: u64 = 1024 * 1024;
/// The longest answer of claimed work. The claims of a VM keep 4 MiB of answers in memory.
const ANSWER_LIMIT_BYTES: usize = 1024 * 1024;
/// When to repeat a request whose work is in progress or whose claim was not stored.
const RETRY_AFTER: ClockSpan = ClockSpan::from_secs(1);

/// Headers that describe one transfer and are not kept for repeats.
const NOT_KEPT: [HeaderName; 4] =
    [header::CONTENT_LENGTH, header::DATE, header::SERVER, head::REQUEST_ID];

type GateGrant = ClaimGrant<GateStore, RealClock>;

/// Returns whether a call needs a claim before it is dispatched. Work without a key cannot be
/// recognised when it is repeated.
pub fn is_needed(request: &CallerRequest) -> bool {
    !request.idempotent && request.key.is_some()
}

/// Claims the work of a call and runs it, or answers from an earlier claim.
///
/// # Errors
///
/// Returns why there is no answer, and whether the work may have run.
pub(crate) async fn run(
    state: &Arc<GateState>,
    desk: &Arc<ServiceDesk>,
    call: PlannedCall,
    avoid: Vec<SharedName>,
    facts: &HeadFacts,
    body: RequestBody,
) -> Result<Response<AnswerBody>, CallRefusal> {
    let Some(claims) = state.claims.get() else {
        let message = "this gateway has no platform for claims; repeat the request elsewhere";
        return Err(CallRefusal::not_run(StatusCode::SERVICE_UNAVAILABLE, message));
    };
    let body = read_body(state, facts, body, call.request.deadline).await?;
    match begin(claims, &call, &body).await {
        ClaimDecision::Dispatch(grant) => {
            let work = ClaimedWork { desk: Arc::clone(desk), call, avoid, body };
            dispatch(state, work, grant).await
        }
        ClaimDecision::Kept(answer) => Ok(repeated(&answer, &call.id)),
        ClaimDecision::Refused(reason) => Err(refused(reason)),
        ClaimDecision::Unknown => {
            let message = "an earlier request with this key may have run; it is not run again";
            Err(CallRefusal::unknown(StatusCode::CONFLICT, message))
        }
        ClaimDecision::InProgress => {
            let message = "an earlier request with this key is running; repeat the request later";
            Err(CallRefusal::unknown(StatusCode::CONFLICT, message).retry_after(RETRY_AFTER))
        }
    }
}

async fn read_body(
    state: &GateState,
    facts: &HeadFacts,
    body: RequestBody,
    deadline: ClockTime,
) -> Result<Bytes, CallRefusal> {
    if facts.body_length > REQUEST_LIMIT_BYTES {
        let message = format!(
            "the body of a request with an idempotency-key has at most {REQUEST_LIMIT_BYTES} bytes; send a shorter one"
        );
        return Err(CallRefusal::not_run(StatusCode::PAYLOAD_TOO_LARGE, message).closing());
    }
    if facts.body_length == 0 {
        return Ok(Bytes::new());
    }
    let pause = state.options.timeouts.request_body;
    let whole = relay::read_whole(body, facts.body_length as usize, pause);
    let deadline = state.clock.to_instant(deadline).into();
    let bytes = timeout_at(deadline, whole).await.unwrap_or(Err(RelayError::TooSlow));
    bytes.map_err(call::refuse_body)
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

/// Returns the digest of everything that a repeat must have in common with the first request.
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

/// Work that a claim allows to run.
struct ClaimedWork {
    desk: Arc<ServiceDesk>,
    call: PlannedCall,
    avoid: Vec<SharedName>,
    body: Bytes,
}

/// Runs the work in a task of its own, so that its outcome is kept even if the caller leaves.
async fn dispatch(
    state: &Arc<GateState>,
    work: ClaimedWork,
    grant: GateGrant,
) -> Result<Response<AnswerBody>, CallRefusal> {
    let state = Arc::clone(state);
    let task = tokio::task::spawn_local(async move {
        let _running = state.calls.enter();
        run_granted(&state, work, grant).await
    });
    task.await.unwrap_or_else(|_| {
        let message = "the gateway stopped while the work ran; repeat the request with its key";
        Err(CallRefusal::unknown(StatusCode::BAD_GATEWAY, message))
    })
}

async fn run_granted(
    state: &Arc<GateState>,
    work: ClaimedWork,
    grant: GateGrant,
) -> Result<Response<AnswerBody>, CallRefusal> {
    let ClaimedWork { desk, mut call, avoid, body } = work;
    let body = if body.is_empty() { CallBody::Empty } else { CallBody::Held(body) };
    let mut upstream_time = ClockSpan::ZERO;
    match call::run_reviewed(state, &desk, &mut call, avoid, body, &mut upstream_time).await {
        Ok(answer) if answer.headers().contains_key(head::OUTCOME) => {
            grant.release(NotRunProof::Shed);
            Ok(answer)
        }
        Ok(answer) => keep(grant, answer).await,
        Err(refusal) => {
            match refusal.fate {
                CallFate::NotRun => grant.release(NotRunProof::NeverSent),
                CallFate::Unknown => grant.unknown(),
            }
            Err(refusal)
        }
    }
}

/// Reads the whole answer and keeps it for repeats. The caller gets it afterwards, so that what is
/// kept is what the caller got.
async fn keep(
    grant: GateGrant,
    answer: Response<AnswerBody>,
) -> Result<Response<AnswerBody>, CallRefusal> {
    let (parts, body) = answer.into_parts();
    let message = match read_answer(body).await {
        Ok(Some(body)) => {
            let headers = kept_headers(&parts.headers);
            let status = parts.status.as_u16();
            grant.finish(KeptAnswer { status, headers, body: body.clone() });
            return Ok(Response::from_parts(parts, AnswerBody::full(body)));
        }
        Ok(None) => {
            format!("the work ran, but its answer has more than {ANSWER_LIMIT_BYTES} bytes")
        }
        Err(error) => error.to_string(),
    };
    grant.unknown();
    Err(CallRefusal::unknown(StatusCode::BAD_GATEWAY, message))
}

async fn read_answer(mut body: AnswerBody) -> Result<Option<Bytes>, AnswerError> {
    let mut whole = BytesMut::new();
    while let Some(frame) = poll_fn(|context| Pin::new(&mut body).poll_frame(context)).await {
        if let Frame::Data(bytes) = frame? {
            if whole.len() + bytes.len() > ANSWER_LIMIT_BYTES {
                return Ok(None);
            }
            whole.extend_from_slice(&bytes);
        }
    }
    Ok(Some(whole.freeze()))
}

fn kept_headers(headers: &HeaderMap) -> Vec<(SharedName, String)> {
    let kept = headers.iter().filter(|(name, _)| !NOT_KEPT.contains(name));
    kept.filter_map(|(name, value)| {
        Some((SharedName::from(name.as_str()), value.to_str().ok()?.to_owned()))
    })
    .collect()
}

fn repeated(kept: &KeptAnswer, id: &HeaderValue) -> Response<AnswerBody> {
    let mut answer = Response::new(AnswerBody::full(kept.body.clone()));
    *answer.status_mut() = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK);
    let headers = answer.headers_mut();
    for (name, value) in &kept.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            headers.append(name, value);
        }
    }
    headers.insert(REPEAT, HeaderValue::from_static("1"));
    headers.insert(head::REQUEST_ID, id.clone());
    answer
}

fn refused(reason: RefusalReason) -> CallRefusal {
    match reason {
        RefusalReason::OtherBody => CallRefusal::not_run(StatusCode::UNPROCESSABLE_ENTITY, reason),
        RefusalReason::Unreadable => {
            CallRefusal::not_run(StatusCode::INTERNAL_SERVER_ERROR, reason)
        }
        RefusalReason::StoreDown
        | RefusalReason::StoreSlow
        | RefusalReason::Full
        | RefusalReason::Stopping => {
            CallRefusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason).retry_after(RETRY_AFTER)
        }
    }
}
