//! The platform over HTTP/1.1 and JSON.

use std::net::SocketAddr;
use std::sync::Arc;

use ::http::{Method, StatusCode};
use base::prelude::*;
use bytes::Bytes;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde::de::DeserializeOwned;

use crate::breaker::{BreakerPass, BreakerTuning, StoreBreaker};
use crate::budget::{BudgetTuning, CallCost, StoreBudget};
use crate::connection::{CallFailure, StoreAnswer, StoreCall, StoreConnection};
use crate::digest::content_digest;
use crate::row::{RowEntry, RowKey, RowWrite, ScanRow};
use crate::store::{MemberList, PlatformStore, StoreError, TransactOutcome};
use crate::wire::{
    MembersResponse, ReadRequest, ReadResponse, ScanResponse, TransactRequest, TransactResponse,
};

/// Calls made to learn the outcome of a transaction whose answer was lost.
const RESOLVE_ATTEMPTS: u32 = 2;
/// Idle connections that are kept. One VM has few calls in flight, because claims are grouped.
const IDLE_CONNECTIONS: usize = 8;
/// Bytes of a refusal that are kept for its message.
const MESSAGE_BYTES: usize = 200;

/// How this VM reaches the platform.
#[derive(Clone, Copy, Debug)]
pub struct HttpSettings {
    /// Where the platform listens.
    pub address: SocketAddr,
    /// The longest that opening a connection may take.
    pub connect_timeout: ClockSpan,
    /// The longest that a call may take, from sending to the end of the answer.
    pub call_timeout: ClockSpan,
    /// A connection that was silent for longer is not used again, since it may no longer respond.
    pub idle_limit: ClockSpan,
    /// The largest answer that is accepted.
    pub answer_bytes: usize,
    /// When calls fail at once.
    pub breaker: BreakerTuning,
    /// This VM's share of the platform's capacity.
    pub budget: BudgetTuning,
    /// The seed of the jitter. VMs need different seeds.
    pub seed: u64,
}

impl HttpSettings {
    /// Returns the usual settings for a platform at `address`.
    pub fn new(address: SocketAddr, seed: u64) -> Self {
        Self {
            address,
            connect_timeout: ClockSpan::from_millis(250),
            call_timeout: ClockSpan::from_millis(1000),
            idle_limit: ClockSpan::from_millis(1000),
            answer_bytes: 16 * 1024 * 1024,
            breaker: BreakerTuning::default(),
            budget: BudgetTuning::default(),
            seed,
        }
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: StoreConnection,
    since: ClockTime,
}

#[derive(Debug)]
struct StoreState {
    idle: Vec<IdleConnection>,
    breaker: StoreBreaker,
    budget: StoreBudget,
    random: RandomSource,
}

#[derive(Debug)]
struct StoreClient<C> {
    settings: HttpSettings,
    clock: C,
    state: RankedMutex<StoreState>,
}

/// The platform over HTTP. Clones share connections, breaker and budget.
#[derive(Clone, Debug)]
pub struct HttpStore<C> {
    client: Arc<StoreClient<C>>,
}

impl<C: ClockSource> HttpStore<C> {
    /// Returns a store that connects when it is first used.
    pub fn new(settings: HttpSettings, clock: C) -> Self {
        let state = StoreState {
            idle: Vec::new(),
            breaker: StoreBreaker::new(settings.breaker),
            budget: StoreBudget::new(settings.budget, clock.now()),
            random: RandomSource::from_seed(settings.seed),
        };
        let state = RankedMutex::new(LockRank::ConnectionPool, state);
        Self { client: Arc::new(StoreClient { settings, clock, state }) }
    }

    /// Returns whether the platform is known to be down.
    pub fn is_down(&self) -> bool {
        self.client.state.lock().breaker.is_open()
    }

    async fn transact_once(
        &self,
        body: Bytes,
        count: usize,
    ) -> Result<TransactOutcome, CallFailure> {
        let call = transact_call(body);
        let answer = self.client.call(call, CallCost::Write).await?;
        transact_outcome(&answer, count).map_err(CallFailure::sent)
    }

    /// Repeats the attempt without writes. If the attempt committed, the answer repeats its
    /// versions; if not, the empty transaction takes the attempt's place and the first one can no
    /// longer commit.
    async fn resolve(
        &self,
        attempt: &SharedName,
        count: usize,
        error: StoreError,
    ) -> TransactOutcome {
        let body = transact_body(attempt, Vec::new());
        for _ in 0..RESOLVE_ATTEMPTS {
            self.client.close_idle();
            match self.resolve_once(body.clone(), count).await {
                Ok(Some(versions)) => {
                    tracing::info!(event = 1803, %attempt, "lost answer resolved as committed");
                    return TransactOutcome::Done { versions };
                }
                Ok(None) => {
                    tracing::info!(event = 1804, %attempt, "lost answer resolved as not committed");
                    return TransactOutcome::NotDone { error };
                }
                Err(failure) if failure.refused => break,
                Err(_) => {}
            }
        }
        tracing::warn!(event = 1805, %attempt, %error, "transaction outcome is unknown");
        TransactOutcome::Unknown { error }
    }

    async fn resolve_once(
        &self,
        body: Bytes,
        count: usize,
    ) -> Result<Option<Vec<u64>>, CallFailure> {
        let call = transact_call(body);
        let answer = self.client.call(call, CallCost::Write).await?;
        let response: TransactResponse = parse(&answer).map_err(CallFailure::sent)?;
        match response.versions.len() {
            _ if !response.committed => {
                Err(CallFailure::sent(malformed("no conflict is possible")))
            }
            0 => Ok(None),
            length if length == count => Ok(Some(response.versions)),
            _ => Err(CallFailure::sent(malformed("wrong number of versions"))),
        }
    }

    async fn fetch(
        &self,
        method: Method,
        path: String,
        body: Bytes,
    ) -> Result<StoreAnswer, StoreError> {
        let call = StoreCall { method, path, body, repeatable: true };
        self.client.call(call, CallCost::Read).await.map_err(|failure| failure.error)
    }
}

impl<C: ClockSource> StoreClient<C> {
    async fn call(&self, call: StoreCall, cost: CallCost) -> Result<StoreAnswer, CallFailure> {
        let (pass, wait) = self.admit(cost)?;
        if wait > ClockSpan::ZERO {
            tokio::time::sleep(wait.to_duration()).await;
        }
        let result = self.exchange(call).await;
        self.record(pass, &result);
        result
    }

    fn admit(&self, cost: CallCost) -> Result<(BreakerPass, ClockSpan), CallFailure> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let pass = state.breaker.admit(now).map_err(|wait| {
            let reason = format!("no answers lately, next trial in {wait}");
            CallFailure::refused(StoreError::Unavailable { reason })
        })?;
        let wait = state
            .budget
            .reserve(cost, now)
            .map_err(|wait| CallFailure::refused(StoreError::Throttled { wait }))?;
        Ok((pass, wait))
    }

    fn record(&self, pass: BreakerPass, result: &Result<StoreAnswer, CallFailure>) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let StoreState { breaker, random, .. } = &mut *state;
        match result {
            Ok(answer) if !answer.status.is_server_error() => {
                if breaker.record_success() {
                    tracing::info!(event = 1802, "platform answers again");
                }
            }
            _ => {
                if breaker.record_failure(pass, now, random) {
                    tracing::warn!(event = 1801, "platform is down, calls fail at once");
                }
            }
        }
    }

    async fn exchange(&self, call: StoreCall) -> Result<StoreAnswer, CallFailure> {
        if let Some(connection) = self.take_idle() {
            match self.send(connection, call.clone()).await {
                Err(failure) if !failure.sent || call.repeatable => self.close_idle(),
                result => return result,
            }
        }
        let settings = &self.settings;
        let connection =
            StoreConnection::connect(settings.address, settings.connect_timeout).await?;
        self.send(connection, call).await
    }

    async fn send(
        &self,
        mut connection: StoreConnection,
        call: StoreCall,
    ) -> Result<StoreAnswer, CallFailure> {
        let settings = &self.settings;
        let result = connection.send(call, settings.call_timeout, settings.answer_bytes).await;
        match &result {
            Ok(_) => self.keep_idle(connection),
            Err(_) => self.close_idle(),
        }
        result
    }

    fn take_idle(&self) -> Option<StoreConnection> {
        let now = self.clock.now();
        let limit = self.settings.idle_limit;
        let mut state = self.state.lock();
        state.idle.retain(|entry| now.since(entry.since) <= limit && entry.connection.is_open());
        state.idle.pop().map(|entry| entry.connection)
    }

    fn keep_idle(&self, connection: StoreConnection) {
        let since = self.clock.now();
        let mut state = self.state.lock();
        if state.idle.len() < IDLE_CONNECTIONS {
            state.idle.push(IdleConnection { connection, since });
        }
    }

    /// Closes all idle connections: when one stops responding, the others may have as well.
    fn close_idle(&self) {
        let idle = std::mem::take(&mut self.state.lock().idle);
        drop(idle);
    }
}

fn transact_call(body: Bytes) -> StoreCall {
    let path = "/v1/transact".to_owned();
    StoreCall { method: Method::POST, path, body, repeatable: false }
}

fn transact_body(attempt: &SharedName, writes: Vec<RowWrite>) -> Bytes {
    encode(&TransactRequest { attempt: attempt.clone(), writes })
}

fn encode<T: serde::Serialize>(value: &T) -> Bytes {
    // The wire types hold strings, numbers and JSON values, which always have a JSON form.
    Bytes::from(serde_json::to_vec(value).unwrap_or_default())
}

fn malformed(detail: &str) -> StoreError {
    StoreError::Malformed { detail: detail.to_owned() }
}

fn transact_outcome(answer: &StoreAnswer, count: usize) -> Result<TransactOutcome, StoreError> {
    match answer.status {
        StatusCode::OK => {
            let TransactResponse { committed, versions, .. } = parse_body(answer)?;
            if !committed || versions.len() != count {
                return Err(malformed("commit does not match the transaction"));
            }
            Ok(TransactOutcome::Done { versions })
        }
        StatusCode::CONFLICT => {
            let TransactResponse { committed, conflicts, .. } = parse_body(answer)?;
            let fits = conflicts.iter().all(|conflict| conflict.index < count);
            if committed || conflicts.is_empty() || !fits {
                return Err(malformed("conflict does not match the transaction"));
            }
            Ok(TransactOutcome::Conflict { conflicts })
        }
        status if status.is_client_error() => {
            Ok(TransactOutcome::NotDone { error: status_error(answer) })
        }
        _ => Err(status_error(answer)),
    }
}

fn parse<T: DeserializeOwned>(answer: &StoreAnswer) -> Result<T, StoreError> {
    if answer.status != StatusCode::OK {
        return Err(status_error(answer));
    }
    parse_body(answer)
}

fn parse_body<T: DeserializeOwned>(answer: &StoreAnswer) -> Result<T, StoreError> {
    serde_json::from_slice(&answer.body)
        .map_err(|error| StoreError::Malformed { detail: error.to_string() })
}

fn status_error(answer: &StoreAnswer) -> StoreError {
    let status = answer.status;
    if status == StatusCode::TOO_MANY_REQUESTS {
        return StoreError::Throttled { wait: ClockSpan::from_secs(1) };
    }
    if status.is_server_error() {
        return StoreError::Unavailable { reason: format!("status {}", status.as_u16()) };
    }
    let start = &answer.body[..answer.body.len().min(MESSAGE_BYTES)];
    let message = String::from_utf8_lossy(start).into_owned();
    StoreError::Rejected { status: status.as_u16(), message }
}

impl<C: ClockSource> PlatformStore for HttpStore<C> {
    async fn transact(&self, attempt: &SharedName, writes: Vec<RowWrite>) -> TransactOutcome {
        let count = writes.len();
        if count == 0 {
            return TransactOutcome::Done { versions: Vec::new() };
        }
        match self.transact_once(transact_body(attempt, writes), count).await {
            Ok(outcome) => outcome,
            Err(failure) if failure.sent => self.resolve(attempt, count, failure.error).await,
            Err(failure) => TransactOutcome::NotDone { error: failure.error },
        }
    }

    async fn read(&self, rows: Vec<RowKey>) -> Result<Vec<Option<RowEntry>>, StoreError> {
        let count = rows.len();
        let body = encode(&ReadRequest { rows });
        let answer = self.fetch(Method::POST, "/v1/read".to_owned(), body).await?;
        let ReadResponse { rows } = parse(&answer)?;
        if rows.len() != count {
            return Err(malformed("wrong number of rows"));
        }
        Ok(rows)
    }

    async fn scan(
        &self,
        table: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<ScanRow>, StoreError> {
        let table_part = utf8_percent_encode(table, NON_ALPHANUMERIC);
        let after_part = utf8_percent_encode(after, NON_ALPHANUMERIC);
        let path = format!("/v1/scan/{table_part}?after={after_part}&limit={limit}");
        let answer = self.fetch(Method::GET, path, Bytes::new()).await?;
        let ScanResponse { rows } = parse(&answer)?;
        let ordered = rows.windows(2).all(|pair| pair[0].key < pair[1].key);
        let starts = rows.first().is_none_or(|row| after.is_empty() || *row.key > *after);
        if rows.len() > limit || !ordered || !starts {
            return Err(malformed("rows are not the ones that follow the given key"));
        }
        Ok(rows)
    }

    async fn put_object(&self, digest: &SharedName, bytes: Bytes) -> Result<(), StoreError> {
        let path = format!("/v1/objects/{digest}");
        // Objects are named by their digest, so that storing one twice is harmless.
        let call = StoreCall { method: Method::PUT, path, body: bytes, repeatable: true };
        let answer = self.client.call(call, CallCost::Write).await.map_err(|f| f.error)?;
        match answer.status {
            StatusCode::OK | StatusCode::CREATED => Ok(()),
            _ => Err(status_error(&answer)),
        }
    }

    async fn load_object(&self, digest: &SharedName) -> Result<Option<Bytes>, StoreError> {
        let path = format!("/v1/objects/{digest}");
        let answer = self.fetch(Method::GET, path, Bytes::new()).await?;
        match answer.status {
            StatusCode::OK if content_digest(&answer.body) == *digest => Ok(Some(answer.body)),
            StatusCode::OK => Err(malformed("object does not match its digest")),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(status_error(&answer)),
        }
    }

    async fn members(&self) -> Result<MemberList, StoreError> {
        let answer = self.fetch(Method::GET, "/v1/members".to_owned(), Bytes::new()).await?;
        let MembersResponse { members, age_ms } = parse(&answer)?;
        Ok(MemberList { members, age: ClockSpan::from_millis(age_ms) })
    }
}
