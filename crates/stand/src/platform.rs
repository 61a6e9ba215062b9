//! The platform's services, in memory.

use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::task::JoinSet;

use crate::body::StandBody;
use crate::error::StandError;
use crate::member::MemberHistory;
use crate::plan::ANY_LOOPBACK;
use crate::port::{PortControl, StandPort};
use crate::rate::RateLimit;
use crate::service::ServiceTime;
use crate::table::{ObjectOutcome, PlatformTables};
use crate::web::{self, ConnectionCut};
use crate::wire::{
    PlatformMember, ReadAnswer, ReadCall, ScanAnswer, StoredRow, TransactAnswer, TransactCall,
};

/// The most rows of one scan.
const SCAN_LIMIT: usize = 1000;
const SCAN_PREFIX: &str = "/v1/scan/";
const OBJECT_PREFIX: &str = "/v1/objects/";

/// Everything that the platform stand-in can be told. Absent fields take their defaults.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformPlan {
    /// Where the services listen. Read at the start only.
    pub listen: SocketAddr,
    /// Where the admin interface listens. Read at the start only.
    pub admin_listen: SocketAddr,
    /// Seed of the delays and lost answers. Read at the start only.
    pub seed: u64,
    /// Present while the services are down.
    pub outage: Option<PlatformOutage>,
    /// Time before each call is carried out.
    pub delay: ServiceTime,
    /// The next transactions and stored objects whose answers are lost after the commit.
    pub lose_next: u64,
    /// The share of further answers to writes that is lost, `0.0..1.0`.
    pub lose_share: f64,
    /// Transactions and stored objects a second; further ones are refused with 429.
    pub writes_per_second: Option<u32>,
    /// Reads, scans and fetched objects a second; further ones are refused with 429.
    pub reads_per_second: Option<u32>,
    /// The age of the membership list.
    pub member_lag_ms: u64,
    /// The membership list at the start. Read at the start only.
    pub members: Vec<PlatformMember>,
}

impl Default for PlatformPlan {
    fn default() -> Self {
        Self {
            listen: ANY_LOOPBACK,
            admin_listen: ANY_LOOPBACK,
            seed: 0,
            outage: None,
            delay: ServiceTime::Fixed { ms: 0.0 },
            lose_next: 0,
            lose_share: 0.0,
            writes_per_second: None,
            reads_per_second: None,
            member_lag_ms: 0,
            members: Vec::new(),
        }
    }
}

/// How the services are down.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformOutage {
    /// Connections are cut and refused.
    Refuse,
    /// Calls are accepted, not carried out and never answered.
    Silent,
}

/// Counters since the start of the stand-in.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct PlatformCounts {
    /// Calls whose head was read, before any delay.
    pub arrived: u64,
    /// Transactions and stored objects, whether they succeeded or not.
    pub writes: u64,
    /// Reads, scans and fetched objects.
    pub reads: u64,
    /// Reads of the membership list.
    pub member_reads: u64,
    /// Transactions that were committed.
    pub committed: u64,
    /// Transactions whose attempt id had committed before.
    pub repeated: u64,
    /// Transactions that were rejected by an expectation.
    pub conflicts: u64,
    /// Rows written by committed transactions.
    pub rows_written: u64,
    /// Calls refused because of the limits.
    pub throttled: u64,
    /// Writes whose answer was lost after the commit.
    pub lost_answers: u64,
    /// Calls that are never answered.
    pub silenced: u64,
    /// Calls that were not understood.
    pub malformed: u64,
}

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

#[derive(Debug)]
struct PlatformCore {
    clock: RealClock,
    port: PortControl,
    changed: Notify,
    state: Mutex<PlatformState>,
}

/// A running platform stand-in. It stops when it is dropped.
#[derive(Debug)]
pub struct PlatformStand {
    core: Arc<PlatformCore>,
    address: SocketAddr,
    admin_address: SocketAddr,
    _tasks: JoinSet<()>,
}

impl PlatformStand {
    /// Starts the platform in the current tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails if one of the two addresses cannot be bound.
    pub async fn start(plan: PlatformPlan) -> Result<Self, StandError> {
        let (port, control) = StandPort::open(plan.listen)?;
        let (admin_port, admin_control) = StandPort::open(plan.admin_listen)?;
        let (address, admin_address) = (port.address(), admin_port.address());
        let core = PlatformCore::new(plan, control);
        let mut tasks = JoinSet::new();
        let service_core = core.clone();
        tasks.spawn(port.run(move |stream, cut| {
            let core = service_core.clone();
            tokio::spawn(web::serve(stream, cut, move |request| serve(core.clone(), request)));
        }));
        let admin_core = core.clone();
        tasks.spawn(async move {
            admin_port
                .run(|stream, cut| {
                    let core = admin_core.clone();
                    tokio::spawn(web::serve(stream, cut, move |request| {
                        administer(core.clone(), request)
                    }));
                })
                .await;
            // The port closes with its control, which therefore lives as long.
            drop(admin_control);
        });
        Ok(Self { core, address, admin_address, _tasks: tasks })
    }

    /// Returns the address of the services.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the admin interface.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Returns the plan in force.
    pub fn plan(&self) -> PlatformPlan {
        self.core.state.lock().plan.clone()
    }

    /// Puts a plan into force.
    pub fn set_plan(&self, plan: PlatformPlan) {
        self.core.set_plan(plan);
    }

    /// Changes some fields of the plan in force.
    pub fn update(&self, change: impl FnOnce(&mut PlatformPlan)) {
        let mut plan = self.plan();
        change(&mut plan);
        self.core.set_plan(plan);
    }

    /// Changes the membership list. Callers see the change after the lag.
    pub fn change_members(&self, change: impl FnOnce(&mut Vec<PlatformMember>)) {
        self.core.change_members(change);
    }

    /// Returns the counters.
    pub fn counts(&self) -> PlatformCounts {
        self.core.state.lock().counts.clone()
    }

    /// Waits until the counters meet a condition.
    pub async fn wait_for(&self, met: impl Fn(&PlatformCounts) -> bool) {
        loop {
            let notified = self.core.changed.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            if met(&self.core.state.lock().counts) {
                return;
            }
            notified.await;
        }
    }

    /// Waits until the services accept connections, or until they refuse them.
    pub async fn wait_listening(&self, listening: bool) {
        self.core.port.wait_listening(listening).await;
    }

    /// Returns a row without a call, also during an outage.
    pub fn row(&self, table: &str, key: &str) -> Option<StoredRow> {
        self.core.state.lock().tables.row(table, key).cloned()
    }
}

impl Drop for PlatformStand {
    fn drop(&mut self) {
        self.core.port.close_and_cut();
    }
}

/// What a call wants of the limits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallKind {
    Write,
    Read,
    Members,
}

impl PlatformCore {
    fn new(plan: PlatformPlan, port: PortControl) -> Arc<Self> {
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
        let core = Arc::new(Self { clock, port, changed: Notify::new(), state: Mutex::new(state) });
        core.set_plan(plan);
        core
    }

    fn set_plan(&self, plan: PlatformPlan) {
        let refuses = plan.outage == Some(PlatformOutage::Refuse);
        {
            let mut state = self.state.lock();
            let now = self.clock.now();
            state.members.set_lag(ClockSpan::from_millis(plan.member_lag_ms));
            if plan.writes_per_second != state.plan.writes_per_second {
                state.write_limit = RateLimit::new(plan.writes_per_second, now);
            }
            if plan.reads_per_second != state.plan.reads_per_second {
                state.read_limit = RateLimit::new(plan.reads_per_second, now);
            }
            state.plan = plan;
        }
        if refuses {
            self.port.close_and_cut();
        } else {
            self.port.open();
        }
    }

    fn change_members(&self, change: impl FnOnce(&mut Vec<PlatformMember>)) {
        let now = self.clock.now();
        self.state.lock().members.change(change, now);
    }

    fn count(&self, change: impl FnOnce(&mut PlatformCounts)) {
        change(&mut self.state.lock().counts);
        self.changed.notify_waiters();
    }

    /// Returns whether a call is within the limits, and counts it.
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
        self.changed.notify_waiters();
        allowed
    }

    /// Returns whether the answer to a write that has been carried out is lost.
    fn loses_answer(&self) -> bool {
        let loses = {
            let mut guard = self.state.lock();
            let state = &mut *guard;
            let loses = if state.plan.lose_next > 0 {
                state.plan.lose_next -= 1;
                true
            } else {
                let share = state.plan.lose_share;
                share > 0.0 && state.random.chance(share)
            };
            state.counts.lost_answers += u64::from(loses);
            loses
        };
        self.changed.notify_waiters();
        loses
    }

    fn transact(&self, call: &TransactCall) -> Response<StandBody> {
        let answer = {
            let mut guard = self.state.lock();
            let state = &mut *guard;
            let now = self.clock.now();
            let repeated = state.tables.has_committed(&call.attempt);
            let answer = state.tables.commit(&call.attempt, &call.writes, now);
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
        self.changed.notify_waiters();
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
        let after = web::query_value(query, "after").filter(|after| !after.is_empty());
        let limit = web::query_value(query, "limit").and_then(|text| text.parse().ok());
        let limit = limit.unwrap_or(SCAN_LIMIT).min(SCAN_LIMIT);
        let rows = self.state.lock().tables.scan(table, after.as_deref(), limit);
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
        let listed = self.state.lock().members.listed(self.clock.now());
        web::json(StatusCode::OK, &listed)
    }
}

/// Answers a call of the platform protocol.
async fn serve(
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
    core.changed.notify_waiters();
    if silent {
        return std::future::pending().await;
    }
    // A call whose body is cut short is not carried out.
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
        return Ok(web::plain(StatusCode::TOO_MANY_REQUESTS, "over the limit, not done"));
    }
    let answer = match (&head.method, path) {
        (&Method::POST, "/v1/transact") => parsed(&core, &body, |call| core.transact(call)),
        (&Method::POST, "/v1/read") => parsed(&core, &body, |call| core.read(call)),
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
    if kind == CallKind::Write && answer.status().is_success() && core.loses_answer() {
        return Err(ConnectionCut);
    }
    Ok(answer)
}

fn parsed<T: DeserializeOwned>(
    core: &PlatformCore,
    body: &[u8],
    carry_out: impl FnOnce(&T) -> Response<StandBody>,
) -> Response<StandBody> {
    match serde_json::from_slice(body) {
        Ok(call) => carry_out(&call),
        Err(_) => malformed(core),
    }
}

fn malformed(core: &PlatformCore) -> Response<StandBody> {
    core.count(|counts| counts.malformed += 1);
    web::plain(StatusCode::BAD_REQUEST, "not a call of the platform protocol")
}

/// Answers a call on the admin port.
async fn administer(
    core: Arc<PlatformCore>,
    request: Request<Incoming>,
) -> Result<Response<StandBody>, ConnectionCut> {
    let (head, body) = request.into_parts();
    let Some(body) = web::read_all(body).await else { return Err(ConnectionCut) };
    Ok(match (&head.method, head.uri.path()) {
        (&Method::GET, "/admin/plan") => web::json(StatusCode::OK, &core.state.lock().plan),
        (&Method::GET, "/admin/counts") => web::json(StatusCode::OK, &core.state.lock().counts),
        (&Method::POST, "/admin/plan") => {
            let plan = core.state.lock().plan.clone();
            web::changed(web::merge(&plan, &body), |plan| core.set_plan(plan))
        }
        (&Method::POST, "/admin/members") => {
            web::changed(web::parse(&body), |members: Vec<PlatformMember>| {
                core.change_members(|list| *list = members);
            })
        }
        _ => web::plain(StatusCode::NOT_FOUND, "no such admin call"),
    })
}
