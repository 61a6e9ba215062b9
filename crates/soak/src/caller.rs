//! Callers that send calls at random times, whether or not the earlier calls have ended (an open
//! workload).

use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use http::{Method, Request};
use parking_lot::Mutex;
use platform::stand::{answered_id, is_signed, set_call_headers};
use tokio::sync::watch;
use tokio::task::JoinSet;
use trial::prelude::*;

use crate::ledger::{CallKind, CallerOutcome, Ledger, ProcessId, SeenAnswer, SentCall};
use crate::setup::{ANSWER_BYTES, BOOK_PATH, BULK_BYTES, BULK_PATH, HOST, LOOK_PATH, MARK_PATH};
use crate::vm::CallerTarget;

/// The mean time between two calls to a VM, in milliseconds. About 120 calls a second over three
/// VMs keep every upstream busy and the machine mostly idle.
const MEAN_INTERVAL_MS: f64 = 25.0;
/// The time after which a caller gives up: longer than the timeout of a route and the longest pause
/// of a process together.
pub const CALLER_TIMEOUT: ClockSpan = ClockSpan::from_millis(3_500);
/// The share of calls on new connections. The others reuse an open one, as most callers do.
const NEW_CONNECTION_SHARE: f64 = 0.3;
/// The most idle connections that the callers of a VM keep open for later calls.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// The body of non-idempotent calls.
const BOOK_BODY: &[u8] = b"festival square";
/// A header of the request that the upstream copies to its answer.
const NONCE_HEADER: &str = "x-test-nonce";

/// An open connection and the gateway process that accepted it.
struct OpenConnection {
    process: ProcessId,
    connection: CallerConnection,
}

/// State that all calls to one VM share.
struct CallerShared {
    ledger: Arc<Mutex<Ledger>>,
    clock: RealClock,
    idle_connections: Mutex<Vec<OpenConnection>>,
}

/// Callers that send calls to one VM at random times.
pub struct VmCallers {
    /// The index of the VM.
    pub vm: usize,
    /// The present process of the VM and its address; `None` while no process accepts calls.
    pub target: watch::Receiver<Option<CallerTarget>>,
    /// Where calls and their outcomes are recorded.
    pub ledger: Arc<Mutex<Ledger>>,
    /// The clock of the run.
    pub clock: RealClock,
    /// The seed for the times and kinds of calls.
    pub seed: u64,
    /// Whether calls are still sent.
    pub keep_calling: watch::Receiver<bool>,
}

impl VmCallers {
    /// Sends calls until `keep_calling` is false, and then waits for the outstanding ones.
    pub async fn run(mut self) {
        let mut random = RandomSource::from_seed(self.seed);
        let shared = Arc::new(CallerShared {
            ledger: Arc::clone(&self.ledger),
            clock: self.clock,
            idle_connections: Mutex::new(Vec::new()),
        });
        let mut calls = JoinSet::new();
        let mut number = 0;
        let mut due = tokio::time::Instant::now();
        loop {
            due += ClockSpan::from_millis_f64(random.exponential(MEAN_INTERVAL_MS)).to_duration();
            tokio::select! {
                () = tokio::time::sleep_until(due) => {}
                _ = self.keep_calling.wait_for(|keep_calling| !keep_calling) => break,
            }
            number += 1;
            let id = SharedName::from(format!("call-{}-{number}", self.vm).as_str());
            let kind = draw_kind(&mut random);
            let new_connection = random.chance(NEW_CONNECTION_SHARE);
            let target = *self.target.borrow();
            calls.spawn(send_call(Arc::clone(&shared), target, id, kind, new_connection));
            while calls.try_join_next().is_some() {}
        }
        while calls.join_next().await.is_some() {}
    }
}

fn draw_kind(random: &mut RandomSource) -> CallKind {
    match random.below(20) {
        0..=7 => CallKind::Look,
        8..=14 => CallKind::Book,
        15..=17 => CallKind::Mark,
        _ => CallKind::Bulk,
    }
}

async fn send_call(
    shared: Arc<CallerShared>,
    target: Option<CallerTarget>,
    id: SharedName,
    kind: CallKind,
    new_connection: bool,
) {
    let reused = if new_connection { None } else { shared.idle_connections.lock().pop() };
    let (process, new_connection) = match (&reused, target) {
        (Some(open), _) => (open.process, false),
        (None, Some(target)) => (target.process, true),
        (None, None) => return,
    };
    let call = SentCall { process, kind, new_connection };
    shared.ledger.lock().record_sent(id.clone(), call, shared.clock.now());
    let call_future = async {
        let mut open = match (reused, target) {
            (Some(open), _) => open,
            (None, Some(target)) => match CallerConnection::open(target.address).await {
                Ok(connection) => OpenConnection { process: target.process, connection },
                Err(_) => return CallerOutcome::Unsent,
            },
            (None, None) => return CallerOutcome::Unsent,
        };
        match open.connection.call(request(kind, &id)).await {
            Ok(answer) => {
                let mut idle_connections = shared.idle_connections.lock();
                if idle_connections.len() < MAX_IDLE_CONNECTIONS {
                    // The connection that was used last is reused last.
                    idle_connections.insert(0, open);
                }
                CallerOutcome::Answered(to_seen_answer(kind, &id, &answer))
            }
            Err(_) => CallerOutcome::Lost,
        }
    };
    let outcome = tokio::time::timeout(CALLER_TIMEOUT.to_duration(), call_future).await;
    shared.ledger.lock().record_outcome(
        &id,
        outcome.unwrap_or(CallerOutcome::TimedOut),
        shared.clock.now(),
    );
}

fn path(kind: CallKind) -> &'static str {
    match kind {
        CallKind::Look => LOOK_PATH,
        CallKind::Book => BOOK_PATH,
        CallKind::Mark => MARK_PATH,
        CallKind::Bulk => BULK_PATH,
    }
}

fn request(kind: CallKind, id: &str) -> Request<PartBody> {
    let body = if kind == CallKind::Book {
        let (sender, body) = PartBody::announced(BOOK_BODY.len() as u64);
        // The receiver is alive, since it is returned with the request.
        let _ = sender.send(Bytes::from_static(BOOK_BODY));
        body
    } else {
        PartBody::none()
    };
    let mut request = Request::new(body);
    *request.method_mut() = if kind == CallKind::Book { Method::POST } else { Method::GET };
    *request.uri_mut() = http::Uri::from_static(path(kind));
    let headers = request.headers_mut();
    headers.insert(http::header::HOST, http::HeaderValue::from_static(HOST));
    if let Ok(nonce) = http::HeaderValue::from_str(id) {
        headers.insert(NONCE_HEADER, nonce);
    }
    set_call_headers(headers, id, None);
    request
}

fn to_seen_answer(kind: CallKind, id: &str, answer: &CallAnswer) -> SeenAnswer {
    let length = if kind == CallKind::Bulk { BULK_BYTES } else { ANSWER_BYTES };
    let success = answer.status.is_success();
    SeenAnswer {
        status: answer.status.as_u16(),
        own: answered_id(&answer.headers) == Some(id)
            && (!success || answer.header(NONCE_HEADER) == id),
        signed: is_signed(&answer.headers),
        whole: answer.body.len() as u64 == length && answer.body.iter().all(|byte| *byte == b'a'),
    }
}
