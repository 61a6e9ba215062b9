//! Answers of an upstream stand-in to requests and admin calls.

use std::fmt::Write;
use std::sync::Arc;

use base::prelude::*;
use http::header::HeaderValue;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use serde::Serialize;

use crate::body::StandBody;
use crate::hold::SlotHold;
use crate::plan::{UpstreamMode, UpstreamPlan};
use crate::scan::{CRASH_MARKER, MarkerScan};
use crate::state::{Admission, QueueFate, UpstreamCore, WorkLabel};
use crate::web::{self, ConnectionCut};

const CANCEL_PREFIX: &str = "/agateroad/cancel/";
const BYTES_PREFIX: &str = "/bytes/";
const NONCE: &str = "x-test-nonce";

/// Why a request was not run.
#[derive(Clone, Copy, Debug)]
enum NotRun {
    Shed,
    Expired,
    Cancelled,
}

impl NotRun {
    fn as_str(self) -> &'static str {
        match self {
            Self::Shed => "shed",
            Self::Expired => "deadline passed",
            Self::Cancelled => "cancelled",
        }
    }
}

/// The body of an answer of the load endpoint.
#[derive(Debug, Serialize)]
struct LoadBody {
    in_flight: u32,
    slots: u32,
    queued: u32,
    draining: bool,
}

/// The body of an answer to a cancellation.
#[derive(Debug, Serialize)]
struct CancelBody {
    confirmed: bool,
}

/// Answers a request on the service port.
pub(crate) async fn serve(
    core: Arc<UpstreamCore>,
    request: Request<Incoming>,
) -> Result<Response<StandBody>, ConnectionCut> {
    let plan = core.plan();
    if plan.mode == UpstreamMode::Freeze {
        core.count(|counts| counts.frozen += 1);
        return std::future::pending().await;
    }
    let path = request.uri().path();
    let mut answer = if path == "/agateroad/health" {
        health(&core, &plan).await
    } else if path == "/agateroad/load" {
        load(&core, &plan).await
    } else if let Some(id) = path.strip_prefix(CANCEL_PREFIX) {
        web::json(StatusCode::OK, &CancelBody { confirmed: core.cancel(id) })
    } else {
        work(&core, &plan, request).await
    };
    mark(&core, &plan, answer.headers_mut());
    Ok(answer)
}

/// Adds the headers that every answer of an upstream carries.
fn mark(core: &UpstreamCore, plan: &UpstreamPlan, headers: &mut HeaderMap) {
    if let Ok(name) = HeaderValue::from_str(plan.name.as_str()) {
        headers.insert("x-test-upstream", name);
    }
    if let Some(figures) = core.reported() {
        let mut text = String::with_capacity(16);
        let _ = write!(text, "{}/{}/{}", figures.in_flight, figures.slots, figures.queued);
        if let Ok(value) = HeaderValue::try_from(text) {
            headers.insert("agateroad-load", value);
        }
    }
    if plan.drain.is_some() {
        headers.insert("agateroad-drain", HeaderValue::from_static("1"));
    }
}

async fn health(core: &Arc<UpstreamCore>, plan: &UpstreamPlan) -> Response<StandBody> {
    if !probe(core, plan).await {
        return refuse(NotRun::Shed);
    }
    if core.drain_state().unhealthy {
        web::plain(StatusCode::SERVICE_UNAVAILABLE, "draining")
    } else {
        web::plain(StatusCode::OK, "ok")
    }
}

async fn load(core: &Arc<UpstreamCore>, plan: &UpstreamPlan) -> Response<StandBody> {
    if !probe(core, plan).await {
        return refuse(NotRun::Shed);
    }
    match core.reported() {
        Some(figures) => {
            let body = LoadBody {
                in_flight: figures.in_flight,
                slots: figures.slots,
                queued: figures.queued,
                draining: core.drain_state().draining,
            };
            web::json(StatusCode::OK, &body)
        }
        None => web::plain(StatusCode::NOT_FOUND, "no load report"),
    }
}

/// Runs a probe in a slot if the plan says so. Returns false if it was shed.
async fn probe(core: &Arc<UpstreamCore>, plan: &UpstreamPlan) -> bool {
    core.count(|counts| counts.probes += 1);
    if plan.probe_ms == 0 {
        return true;
    }
    match slot(core, WorkLabel { probe: true, ..WorkLabel::default() }).await {
        Ok(hold) => {
            hold.run().await;
            true
        }
        Err(_) => false,
    }
}

async fn work(
    core: &Arc<UpstreamCore>,
    plan: &UpstreamPlan,
    request: Request<Incoming>,
) -> Response<StandBody> {
    let drain = core.drain_state();
    let fails = plan.mode == UpstreamMode::FailFast;
    core.count(|counts| {
        counts.arrived += 1;
        counts.arrived_draining += u64::from(drain.draining);
        counts.failed_fast += u64::from(fails);
        counts.shed += u64::from(drain.refusing && !fails);
    });
    if fails {
        return web::plain(StatusCode::INTERNAL_SERVER_ERROR, "failed");
    }
    if drain.refusing {
        return refuse(NotRun::Shed);
    }
    let (head, body) = request.into_parts();
    let label = label_of(&head.headers, core.now());
    let marked = head.uri.query().is_some_and(|query| query.contains(CRASH_MARKER))
        || web::header(&head.headers, "x-test-crash") == Some("1");
    let echoes = head.method == Method::POST && head.uri.path() == "/echo";
    let (echo, marked) = if echoes {
        (Some(body), marked)
    } else {
        match read_body(body).await {
            Some(found) => (None, marked || found),
            None => {
                core.count(|counts| counts.broken_bodies += 1);
                return web::plain(StatusCode::BAD_REQUEST, "broken body");
            }
        }
    };
    let hold = match slot(core, label).await {
        Ok(hold) => hold,
        Err(reason) => return refuse(reason),
    };
    if marked {
        drop(hold);
        core.crash();
        return std::future::pending().await;
    }
    hold.run().await;
    let mut answer = Response::new(match echo {
        Some(body) => StandBody::Echo(body),
        None => StandBody::Fill(answer_length(plan, head.uri.path())),
    });
    if let Some(nonce) = head.headers.get(NONCE) {
        answer.headers_mut().insert(NONCE, nonce.clone());
    }
    answer
}

/// Waits for a slot.
async fn slot(core: &Arc<UpstreamCore>, label: WorkLabel) -> Result<SlotHold, NotRun> {
    let deadline = label.deadline;
    match core.admit(label) {
        Admission::Started(hold) => Ok(hold),
        Admission::Shed => Err(NotRun::Shed),
        Admission::Queued(seat) => match seat.wait(deadline).await {
            Some(QueueFate::Started(hold)) => Ok(hold),
            Some(QueueFate::Expired) => Err(NotRun::Expired),
            Some(QueueFate::Cancelled) => Err(NotRun::Cancelled),
            // The stand-in has crashed; its connections are about to be cut.
            None => std::future::pending().await,
        },
    }
}

/// Reads a body to its end and returns whether it contains the crash marker, or `None` if it broke.
async fn read_body(mut body: Incoming) -> Option<bool> {
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

fn label_of(headers: &HeaderMap, now: ClockTime) -> WorkLabel {
    let name = |header: &str| web::header(headers, header).map(SharedName::from);
    let deadline = web::header(headers, "agateroad-deadline-ms")
        .and_then(|text| text.parse().ok())
        .map(|millis| now + ClockSpan::from_millis(millis));
    WorkLabel {
        key: name("idempotency-key"),
        nonce: name(NONCE),
        request: name("agateroad-request-id"),
        deadline,
        probe: false,
    }
}

fn answer_length(plan: &UpstreamPlan, path: &str) -> u64 {
    path.strip_prefix(BYTES_PREFIX).and_then(|text| text.parse().ok()).unwrap_or(plan.answer_bytes)
}

/// Returns the answer to a request that was not run.
fn refuse(reason: NotRun) -> Response<StandBody> {
    let mut answer = web::plain(StatusCode::SERVICE_UNAVAILABLE, reason.as_str());
    answer.headers_mut().insert("agateroad-shed", HeaderValue::from_static("1"));
    answer
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
