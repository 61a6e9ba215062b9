//! The platform stand-in's side of the platform protocol over HTTP, and its admin interface.

use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::de::DeserializeOwned;

use crate::body::StandBody;
use crate::member::MemberHistory;
use crate::platform::{PlatformCounts, PlatformOutage, PlatformPlan};
use crate::port::PortControl;
use crate::rate::RateLimit;
use crate::signal::ChangeSignal;
use crate::table::{ObjectOutcome, PlatformTables};
use crate::web::{self, ConnectionCut};
use crate::wire::{
    PlatformMember, ReadAnswer, ReadCall, ScanAnswer, StoredRow, TransactAnswer, TransactCall,
};

/// The largest number of rows in the answer to one scan.
const SCAN_LIMIT: usize = 1000;
const SCAN_PREFIX: &str = "/v1/scan/";
const OBJECT_PREFIX: &str = "/v1/objects/";

#[derive(Debug)]
struct PlatformState {
    plan: PlatformPlan,
    tables: PlatformTables,
    members: MemberHistory,
    counts: PlatformCounts,
    write_limit: RateLimit,
    read_limit: RateLimit,
    random: RandomSource,
}

/// The state of the platform stand-in, shared by its connections.
#[derive(Debug)]
pub(crate) struct PlatformCore {
    clock: RealClock,
    pub(crate) port: PortControl,
    pub(crate) changed: ChangeSignal,
    state: Mutex<PlatformState>,
}

/// Determines by which limit a call is checked and with which counter it is counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallKind {
    Write,
    Read,
    Members,
}

impl PlatformCore {
    pub(crate) fn new(plan: PlatformPlan, port: PortControl) -> Arc<Self> {
        let clock = RealClock::new();
        let now = clock.now();
        let lag = ClockSpan::from_millis(plan.member_lag_ms);
        let state = PlatformState {
            tables: PlatformTables::default(),
            members: MemberHistory::new(plan.members.clone(), lag),
            counts: PlatformCounts::default(),
            write_limit: RateLimit::new(plan.writes_per_second, now),
            read_limit: RateLimit::new(plan.reads_per_second, now),
            random: RandomSource::from_seed(plan.seed),
            plan: PlatformPlan::default(),
        };
        let core = Arc::new(Self {
            clock,
            port,
            changed: ChangeSignal::default(),
            state: Mutex::new(state),
        });
        core.update(|current| *current = plan);
        core
    }

    pub(crate) fn update(&self, change: impl FnOnce(&mut PlatformPlan)) {
        let is_refusing = {
            let mut guard = self.state.lock();
            let state = &mut *guard;
            let (writes, reads) = (state.plan.writes_per_second, state.plan.reads_per_second);
            change(&mut state.plan);
            let (plan, now) = (&state.plan, self.clock.now());
            state.members.set_lag(ClockSpan::from_millis(plan.member_lag_ms));
            if plan.writes_per_second != writes {
                state.write_limit = RateLimit::new(plan.writes_per_second, now);
            }
            if plan.reads_per_second != reads {
                state.read_limit = RateLimit::new(plan.reads_per_second, now);
            }
            plan.outage == Some(PlatformOutage::Refuse)
        };
        if is_refusing {
            self.port.close_and_cut();
        } else {
            self.port.open();
        }
    }

    pub(crate) fn change_members(&self, change: impl FnOnce(&mut Vec<PlatformMember>)) {
        let now = self.clock.now();
        self.state.lock().members.change(change, now);
    }

    pub(crate) fn plan(&self) -> PlatformPlan {
        self.state.lock().plan.clone()
    }

    pub(crate) fn counts(&self) -> PlatformCounts {
        self.state.lock().counts.clone()
    }

    pub(crate) fn row(&self, table: &str, key: &str) -> Option<StoredRow> {
        self.state.lock().tables.row(table, key).cloned()
    }

    /// Waits until the condition on the counters holds.
    pub(crate) async fn wait_for(&self, condition: impl Fn(&PlatformCounts) -> bool) {
        self.changed.wait_until(|| condition(&self.state.lock().counts)).await;
    }

    fn count(&self, change: impl FnOnce(&mut PlatformCounts)) {
        change(&mut self.state.lock().counts);
        self.changed.announce();
    }

    /// Counts a call and returns whether it is within the limits.
    fn allow(&self, kind: CallKind) -> bool {
        let now = self.clock.now();
        let allowed = {
            let mut guard = self.state.lock();
            let state = &mut *guard;
            let allowed = match kind {
                CallKind::Write => {
                    state.counts.writes += 1;
                    state.write_limit.allow(now)
                }
                CallKind::Read => {
                    state.counts.reads += 1;
                    state.read_limit.allow(now)
                }
                CallKind::Members => {
                    state.counts.member_reads += 1;
                    true
                }
            };
            state.counts.throttled += u64::from(!allowed);
            allowed
        };
        self.changed.announce();
        allowed
    }

    /// Decides whether the answer to a write that was executed is lost, and counts a lost one.
    fn draw_answer_loss(&self) -> bool {
        let is_lost = {
            let mut guard = self.state.lock();
            let state = &mut *guard;
            let is_lost = if state.plan.lose_next > 0 {
                state.plan.lose_next -= 1;
                true
            } else {
                let share = state.plan.lose_share;
                share > 0.0 && state.random.chance(share)
            };
            state.counts.lost_answers += u64::from(is_lost);
            is_lost
        };
        self.changed.announce();
        is_lost
    }

    fn transact(&self, call: &TransactCall) -> Response<StandBody> {
        let answer = {
            let mut guard = self.state.lock();
            let state = &mut *guard;
            let repeated = state.tables.has_committed(&call.attempt);
            let answer = state.tables.commit(&call.attempt, &call.writes, self.clock.now());
            match &answer {
                TransactAnswer::Committed { .. } if repeated => state.counts.repeated += 1,
                TransactAnswer::Committed { versions, .. } => {
                    state.counts.committed += 1;
                    state.counts.rows_written += versions.len() as u64;
                }
                TransactAnswer::Rejected { .. } => state.counts.conflicts += 1,
            }
            answer
        };
        self.changed.announce();
        let status = match answer {
            TransactAnswer::Committed { .. } => StatusCode::OK,
            TransactAnswer::Rejected { .. } => StatusCode::CONFLICT,
        };
        web::json(status, &answer)
    }

    fn read(&self, call: &ReadCall) -> Response<StandBody> {
        let rows = self.state.lock().tables.read(&call.rows);
        web::json(StatusCode::OK, &ReadAnswer { rows })
    }

    fn scan(&self, table: &str, query: &str) -> Response<StandBody> {
        let Ok(table) = percent_encoding::percent_decode_str(table).decode_utf8() else {
            return malformed(self);
        };
        let after = web::query_value(query, "after").filter(|after| !after.is_empty());
        let limit = web::query_value(query, "limit").and_then(|text| text.parse().ok());
        let limit = limit.unwrap_or(SCAN_LIMIT).min(SCAN_LIMIT);
        let rows = self.state.lock().tables.scan(&table, after.as_deref(), limit);
        web::json(StatusCode::OK, &ScanAnswer { rows })
    }

    fn put_object(&self, digest: &str, bytes: Bytes) -> Response<StandBody> {
        match self.state.lock().tables.put_object(digest, bytes) {
            ObjectOutcome::Stored => web::plain(StatusCode::CREATED, ""),
            ObjectOutcome::Differs => web::plain(StatusCode::CONFLICT, "the digest is taken"),
        }
    }

    fn object(&self, digest: &str) -> Response<StandBody> {
        match self.state.lock().tables.object(digest) {
            Some(bytes) => Response::new(StandBody::from(bytes)),
            None => web::plain(StatusCode::NOT_FOUND, "no such object"),
        }
    }

    fn members(&self) -> Response<StandBody> {
        let listed = self.state.lock().members.list_at(self.clock.now());
        web::json(StatusCode::OK, &listed)
    }
}

/// Answers a call of the platform protocol, or closes its connection if the answer is lost.
pub(crate) async fn serve(
    core: Arc<PlatformCore>,
    request: Request<Incoming>,
) -> Result<Response<StandBody>, ConnectionCut> {
    let (head, body) = request.into_parts();
    let (silent, delay) = {
        let mut guard = core.state.lock();
        let state = &mut *guard;
        let delay = state.plan.delay.draw(&mut state.random);
        let silent = state.plan.outage == Some(PlatformOutage::Silent);
        state.counts.arrived += 1;
        state.counts.silenced += u64::from(silent);
        (silent, delay)
    };
    core.changed.announce();
    if silent {
        return std::future::pending().await;
    }
    // A call whose body is incomplete is not executed.
    let Some(body) = web::read_all(body).await else { return Err(ConnectionCut) };
    if delay > ClockSpan::ZERO {
        tokio::time::sleep(delay.to_duration()).await;
    }
    let path = head.uri.path();
    let kind = match (&head.method, path) {
        (&Method::POST, "/v1/transact") | (&Method::PUT, _) => CallKind::Write,
        (&Method::GET, "/v1/members") => CallKind::Members,
        _ => CallKind::Read,
    };
    if !core.allow(kind) {
        return Ok(web::plain(
            StatusCode::TOO_MANY_REQUESTS,
            "over the limit; the call was not executed",
        ));
    }
    let answer = match (&head.method, path) {
        (&Method::POST, "/v1/transact") => execute_parsed(&core, &body, |call| core.transact(call)),
        (&Method::POST, "/v1/read") => execute_parsed(&core, &body, |call| core.read(call)),
        (&Method::GET, "/v1/members") => core.members(),
        (method, path) => {
            let scanned = path.strip_prefix(SCAN_PREFIX);
            let digest = path.strip_prefix(OBJECT_PREFIX);
            match (method, scanned, digest) {
                (&Method::GET, Some(table), _) => {
                    core.scan(table, head.uri.query().unwrap_or_default())
                }
                (&Method::PUT, _, Some(digest)) => core.put_object(digest, body),
                (&Method::GET, _, Some(digest)) => core.object(digest),
                _ => malformed(&core),
            }
        }
    };
    if kind == CallKind::Write && answer.status().is_success() && core.draw_answer_loss() {
        return Err(ConnectionCut);
    }
    Ok(answer)
}

fn execute_parsed<T: DeserializeOwned>(
    core: &PlatformCore,
    body: &[u8],
    execute: impl FnOnce(&T) -> Response<StandBody>,
) -> Response<StandBody> {
    match serde_json::from_slice(body) {
        Ok(call) => execute(&call),
        Err(_) => malformed(core),
    }
}

fn malformed(core: &PlatformCore) -> Response<StandBody> {
    core.count(|counts| counts.malformed += 1);
    web::plain(StatusCode::BAD_REQUEST, "not a call of the platform protocol")
}

/// Answers a call to the admin interface.
pub(crate) async fn administer(
    core: Arc<PlatformCore>,
    request: Request<Incoming>,
) -> Result<Response<StandBody>, ConnectionCut> {
    let (head, body) = request.into_parts();
    let Some(body) = web::read_all(body).await else { return Err(ConnectionCut) };
    Ok(match (&head.method, head.uri.path()) {
        (&Method::GET, "/admin/plan") => web::json(StatusCode::OK, &core.plan()),
        (&Method::GET, "/admin/counts") => web::json(StatusCode::OK, &core.counts()),
        (&Method::POST, "/admin/plan") => {
            let mut outcome = Ok(());
            core.update(|plan| outcome = web::merge(plan, &body));
            web::changed(outcome)
        }
        (&Method::POST, "/admin/members") => {
            let members = web::parse::<Vec<PlatformMember>>(&body);
            web::changed(members.map(|members| core.change_members(|list| *list = members)))
        }
        _ => web::plain(StatusCode::NOT_FOUND, "no such admin call"),
    })
}
