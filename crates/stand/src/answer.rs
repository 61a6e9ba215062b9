//! Request handling of an upstream stand-in: health checks, load probes, cancellations, work and
//! admin calls.
//!
//! The plan decides whether a request is run, and the fault rules how its answer is changed.

use std::sync::Arc;

use base::prelude::*;
use http::header::HeaderValue;
use http::request::Parts;
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use serde::Serialize;

use crate::body::StandBody;
use crate::counts::BodyRecord;
use crate::deliver::{deliver, planned_status};
use crate::dialect::{AnswerFate, AnswerFields, RequestFields, UpstreamCall, UpstreamDialect};
use crate::fault::{AnswerFault, FaultTarget};
use crate::guard::SlotGuard;
use crate::plan::{UpstreamMode, UpstreamPlan};
use crate::scan::{CRASH_MARKER, MarkerScan};
use crate::script::RawScript;
use crate::state::{SlotAdmission, UpstreamCore, WaitOutcome, WorkFacts};
use crate::web::{self, ConnectionCut};

const BYTES_PREFIX: &str = "/bytes/";
const NONCE_HEADER: &str = "x-test-nonce";
/// The request id of answers with [`AnswerFault::Foreign`].
const FOREIGN_REQUEST_ID: &str = "another-request";

/// Why a request was not run.
#[derive(Clone, Copy, Debug)]
enum RefusalReason {
    Shed,
    Expired,
    Cancelled,
}

impl RefusalReason {
    fn as_str(self) -> &'static str {
        match self {
            Self::Shed => "shed",
            Self::Expired => "deadline passed",
            Self::Cancelled => "cancelled",
        }
    }
}

/// The JSON body of the load endpoint.
#[derive(Debug, Serialize)]
struct LoadBody {
    in_flight: u32,
    slots: u32,
    queued: u32,
    draining: bool,
}

/// The JSON body of an answer to a cancellation.
#[derive(Debug, Serialize)]
struct CancelBody {
    confirmed: bool,
}

/// An answer before [`add_headers`], and the fate that its headers report.
type BareAnswer = (Response<StandBody>, AnswerFate);

/// Answers a request on the service port.
pub(crate) async fn serve<D: UpstreamDialect>(
    core: Arc<UpstreamCore>,
    request: Request<Incoming>,
) -> Result<Response<StandBody>, RawScript> {
    let plan = core.plan();
    if plan.mode == UpstreamMode::Freeze {
        core.count(|counts| counts.frozen += 1);
        return std::future::pending().await;
    }
    let fields = D::read(request.headers());
    let path = request.uri().path().to_owned();
    let health_path = plan.health_path.as_deref().unwrap_or(D::HEALTH_PATH);
    let (bare_answer, fault) = match D::call(request.method(), &path, health_path) {
        UpstreamCall::Health => {
            let fault = core.draw_fault(&path, FaultTarget::Checks);
            (apply_fault(answer_health(&core, &plan).await, fault), fault)
        }
        UpstreamCall::Load => (answer_load(&core, &plan).await, None),
        UpstreamCall::Cancel(id) => {
            let body = CancelBody { confirmed: core.cancel(id) };
            ((web::json(StatusCode::OK, &body), AnswerFate::Unknown), None)
        }
        UpstreamCall::Work => answer_work(&core, &plan, &fields, request).await,
    };
    let answer = add_headers::<D>(&core, &plan, &fields, bare_answer, fault);
    deliver(answer, fault).await
}

/// Adds the name of the upstream and the headers of the dialect to an answer.
fn add_headers<D: UpstreamDialect>(
    core: &UpstreamCore,
    plan: &UpstreamPlan,
    fields: &RequestFields,
    (mut answer, fate): BareAnswer,
    fault: Option<AnswerFault>,
) -> Response<StandBody> {
    let headers = answer.headers_mut();
    if let Ok(name) = HeaderValue::from_str(plan.name.as_str()) {
        headers.insert("x-test-upstream", name);
    }
    let not_run = matches!(fate, AnswerFate::NotRun | AnswerFate::Misdirected);
    let echo_id = fate != AnswerFate::Check || plan.echo_checks;
    let request = fields.request.as_deref().filter(|_| echo_id);
    let reported = AnswerFields {
        name: &plan.name,
        request: if fault == Some(AnswerFault::Foreign) {
            Some(FOREIGN_REQUEST_ID)
        } else {
            request
        },
        fate,
        load: core.reported_load(),
        draining: plan.drain.is_some(),
        final_drain: plan.final_drain,
        retry_after: plan.retry_after_ms.filter(|_| not_run).map(ClockSpan::from_millis),
    };
    D::set_answer_headers(headers, &reported);
    answer
}

/// Applies the faults that change the status of an answer or the fate that it reports.
fn apply_fault((mut answer, fate): BareAnswer, fault: Option<AnswerFault>) -> BareAnswer {
    match fault {
        Some(AnswerFault::Status { status }) => {
            *answer.status_mut() = planned_status(status);
            (answer, AnswerFate::Unknown)
        }
        Some(AnswerFault::Unsigned) => (answer, AnswerFate::Unknown),
        _ => (answer, fate),
    }
}

async fn answer_health(core: &Arc<UpstreamCore>, plan: &UpstreamPlan) -> BareAnswer {
    if !run_probe(core, plan).await {
        return refuse(RefusalReason::Shed);
    }
    let answer = if core.drain_state().unhealthy {
        web::plain(StatusCode::SERVICE_UNAVAILABLE, "draining")
    } else {
        web::plain(StatusCode::OK, "ok")
    };
    (answer, AnswerFate::Check)
}

async fn answer_load(core: &Arc<UpstreamCore>, plan: &UpstreamPlan) -> BareAnswer {
    if !run_probe(core, plan).await {
        return refuse(RefusalReason::Shed);
    }
    let answer = match core.reported_load() {
        Some(load) => {
            let body = LoadBody {
                in_flight: load.figures.in_flight,
                slots: load.figures.slots,
                queued: load.figures.queued,
                draining: core.drain_state().draining,
            };
            web::json(StatusCode::OK, &body)
        }
        None => web::plain(StatusCode::NOT_FOUND, "no load report"),
    };
    (answer, AnswerFate::Check)
}

/// Runs a health check or load probe, in a slot if the plan gives it a service time. Returns false
/// if it was shed.
async fn run_probe(core: &Arc<UpstreamCore>, plan: &UpstreamPlan) -> bool {
    core.count(|counts| counts.probes += 1);
    if plan.probe_ms == 0 {
        return true;
    }
    match acquire_slot(core, WorkFacts { probe: true, ..WorkFacts::default() }).await {
        Ok(guard) => {
            guard.run().await;
            true
        }
        Err(_) => false,
    }
}

/// Runs a request unless the plan or a fault rule answers it without a run.
async fn answer_work(
    core: &Arc<UpstreamCore>,
    plan: &UpstreamPlan,
    fields: &RequestFields,
    request: Request<Incoming>,
) -> (BareAnswer, Option<AnswerFault>) {
    if let Some(bare_answer) = record_arrival(core, plan, fields) {
        return (bare_answer, None);
    }
    let fault = core.draw_fault(request.uri().path(), FaultTarget::Work);
    let (head, body) = request.into_parts();
    match fault {
        Some(AnswerFault::Early { status }) => {
            return (answer_early(core, &head, fields, status), fault);
        }
        Some(AnswerFault::RefusedTwice) => return (refuse(RefusalReason::Shed), fault),
        _ => {}
    }
    (apply_fault(run_work(core, plan, fields, &head, body).await, fault), fault)
}

/// Counts an arrival. Returns an answer if the request is not run because it names another
/// instance, the upstream fails fast, or the grace time of its drain is over.
fn record_arrival(
    core: &UpstreamCore,
    plan: &UpstreamPlan,
    fields: &RequestFields,
) -> Option<BareAnswer> {
    let drain = core.drain_state();
    let misdirected = fields.expected.as_ref().is_some_and(|expected| *expected != plan.name);
    let fails_fast = plan.mode == UpstreamMode::FailFast && !misdirected;
    let refuses = drain.refusing && !fails_fast && !misdirected;
    core.count(|counts| {
        counts.arrived += 1;
        counts.arrived_draining += u64::from(drain.draining && !misdirected);
        counts.misdirected += u64::from(misdirected);
        counts.failed_fast += u64::from(fails_fast);
        counts.shed += u64::from(refuses);
        if plan.record_requests {
            counts.record_event(fields.request.as_deref(), plan.count_limit, |record| {
                record.arrived += 1;
                record.remaining_ms.extend(fields.remaining.map(ClockSpan::as_millis));
                let drain_age = drain.age.filter(|_| !misdirected);
                record.draining_ms.extend(drain_age.map(ClockSpan::as_millis));
            });
        }
    });
    if misdirected {
        let answer = web::plain(StatusCode::MISDIRECTED_REQUEST, "another instance");
        return Some((answer, AnswerFate::Misdirected));
    }
    if fails_fast {
        let answer = web::plain(StatusCode::INTERNAL_SERVER_ERROR, "failed");
        return Some((answer, AnswerFate::Unknown));
    }
    refuses.then(|| refuse(RefusalReason::Shed))
}

/// Answers before the body is read. A success counts as a run that takes no slot.
fn answer_early(
    core: &UpstreamCore,
    head: &Parts,
    fields: &RequestFields,
    status: u16,
) -> BareAnswer {
    let mut answer = web::plain(planned_status(status), "early");
    copy_nonce(head, &mut answer);
    if !answer.status().is_success() {
        return (answer, AnswerFate::NotRun);
    }
    core.record_run(&work_facts(head, fields, core.now()));
    (answer, AnswerFate::Run)
}

async fn run_work(
    core: &Arc<UpstreamCore>,
    plan: &UpstreamPlan,
    fields: &RequestFields,
    head: &Parts,
    body: Incoming,
) -> BareAnswer {
    let facts = work_facts(head, fields, core.now());
    let path = head.uri.path();
    let head_marked = head.uri.query().is_some_and(|query| query.contains(CRASH_MARKER))
        || web::header(&head.headers, "x-test-crash") == Some("1")
        || plan.crash_paths.iter().any(|crashing| *crashing == *path);
    let echo_body = head.method == Method::POST && path == "/echo";
    let Some((echo, body_marked)) = receive_body(core, plan, &facts, body, echo_body).await else {
        core.count(|counts| counts.broken_bodies += 1);
        return (web::plain(StatusCode::BAD_REQUEST, "broken body"), AnswerFate::Unknown);
    };
    let guard = match acquire_slot(core, facts).await {
        Ok(guard) => guard,
        Err(reason) => return refuse(reason),
    };
    if head_marked || body_marked {
        // The crash comes before the drop, so that the request does not count as abandoned.
        core.crash();
        drop(guard);
        return std::future::pending().await;
    }
    guard.run().await;
    let mut answer = Response::new(match echo {
        Some(body) => body,
        None => StandBody::Generated(body_bytes(plan, path)),
    });
    copy_nonce(head, &mut answer);
    (answer, AnswerFate::Run)
}

fn copy_nonce(head: &Parts, answer: &mut Response<StandBody>) {
    if let Some(nonce) = head.headers.get(NONCE_HEADER) {
        answer.headers_mut().insert(NONCE_HEADER, nonce.clone());
    }
}

/// Receives the body of a request. Returns the body to echo, if any, and whether a body that is not
/// echoed contains the crash marker, or `None` if the body did not arrive whole.
async fn receive_body(
    core: &UpstreamCore,
    plan: &UpstreamPlan,
    facts: &WorkFacts,
    body: Incoming,
    echo_body: bool,
) -> Option<(Option<StandBody>, bool)> {
    if !plan.record_requests {
        return if echo_body {
            Some((Some(StandBody::Echo(body)), false))
        } else {
            scan_body(body).await.map(|found| (None, found))
        };
    }
    let whole = web::read_all(body).await?;
    let record = BodyRecord::of(&whole);
    core.count(|counts| {
        let request = facts.request.as_deref();
        counts.record_event(request, plan.count_limit, |entry| entry.bodies.push(record));
    });
    if echo_body {
        return Some((Some(StandBody::from(whole)), false));
    }
    let mut scan = MarkerScan::default();
    scan.push(&whole);
    Some((None, scan.found()))
}

/// Waits for a slot until the deadline or a cancellation.
async fn acquire_slot(
    core: &Arc<UpstreamCore>,
    facts: WorkFacts,
) -> Result<SlotGuard, RefusalReason> {
    let deadline = facts.deadline;
    match core.admit(facts) {
        SlotAdmission::Started(guard) => Ok(guard),
        SlotAdmission::Shed if core.plan().silent_when_full => std::future::pending().await,
        SlotAdmission::Shed => Err(RefusalReason::Shed),
        SlotAdmission::Queued(entry) => match entry.wait(deadline).await {
            Some(WaitOutcome::Started(guard)) => Ok(guard),
            Some(WaitOutcome::Expired) => Err(RefusalReason::Expired),
            Some(WaitOutcome::Cancelled) => Err(RefusalReason::Cancelled),
            // The stand-in has crashed; its connections are closed next.
            None => std::future::pending().await,
        },
    }
}

/// Reads a body and returns whether it contains the crash marker, or `None` if the body did not
/// arrive whole.
async fn scan_body(mut body: Incoming) -> Option<bool> {
    let mut scan = MarkerScan::default();
    if body.is_end_stream() {
        return Some(false);
    }
    while let Some(frame) = body.frame().await {
        if let Some(chunk) = frame.ok()?.data_ref() {
            scan.push(chunk);
        }
    }
    Some(scan.found())
}

fn work_facts(head: &Parts, fields: &RequestFields, now: ClockTime) -> WorkFacts {
    WorkFacts {
        key: fields.key.clone(),
        nonce: web::header(&head.headers, NONCE_HEADER).map(SharedName::from),
        request: fields.request.clone(),
        deadline: fields.remaining.map(|remaining| now + remaining),
        probe: false,
    }
}

/// Returns the length of an answer's body in bytes, which a path below `/bytes/` can set.
fn body_bytes(plan: &UpstreamPlan, path: &str) -> u64 {
    path.strip_prefix(BYTES_PREFIX).and_then(|text| text.parse().ok()).unwrap_or(plan.answer_bytes)
}

/// Returns the answer to a request that is not run.
fn refuse(reason: RefusalReason) -> BareAnswer {
    let answer = web::plain(StatusCode::SERVICE_UNAVAILABLE, reason.as_str());
    (answer, AnswerFate::NotRun)
}

/// Answers a call on the admin port.
pub(crate) async fn administer(
    core: Arc<UpstreamCore>,
    request: Request<Incoming>,
) -> Result<Response<StandBody>, ConnectionCut> {
    let (head, body) = request.into_parts();
    Ok(match (&head.method, head.uri.path()) {
        (&Method::GET, "/admin/plan") => web::json(StatusCode::OK, &*core.plan()),
        (&Method::GET, "/admin/counts") => web::json(StatusCode::OK, &core.counts()),
        (&Method::POST, "/admin/crash") => {
            core.crash();
            web::plain(StatusCode::OK, "crashed")
        }
        (&Method::POST, "/admin/restart") => {
            core.restart(None);
            web::plain(StatusCode::OK, "restarted")
        }
        (&Method::POST, "/admin/plan") => {
            let Some(patch) = web::read_all(body).await else { return Err(ConnectionCut) };
            let mut outcome = Ok(());
            core.update(|plan| outcome = web::merge(plan, &patch));
            web::changed(outcome)
        }
        _ => web::plain(StatusCode::NOT_FOUND, "no such admin call"),
    })
}
