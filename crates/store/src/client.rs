//! The client behind every protocol of the platform's services: idle connections, timeouts, circuit
//! breaker and budget.

use std::net::SocketAddr;

use ::http::StatusCode;
use base::prelude::*;

use crate::breaker::{BreakerPass, BreakerTuning, StoreBreaker};
use crate::budget::{BudgetTuning, CallCost, StoreBudget};
use crate::connection::{CallFailure, StoreAnswer, StoreCall, StoreConnection};
use crate::store::StoreError;

/// The most idle connections that are kept. One VM has few calls in flight, because claims are
/// written in groups.
const IDLE_CONNECTIONS: usize = 8;
/// Bytes of a rejection's body that are kept as its message.
const MESSAGE_BYTES: usize = 200;

/// Settings of the connections and calls to the platform.
#[derive(Clone, Copy, Debug)]
pub struct HttpSettings {
    /// The address at which the platform listens.
    pub address: SocketAddr,
    /// The longest time for opening a connection.
    pub connect_timeout: ClockSpan,
    /// The longest time for a call, from sending to the end of the answer.
    pub call_timeout: ClockSpan,
    /// A connection that was idle for longer is not used again, since it may no longer respond.
    pub idle_limit: ClockSpan,
    /// The largest body of an answer that is accepted, in bytes.
    pub answer_bytes: usize,
    /// Parameters of the circuit breaker, which refuses calls after failed ones.
    pub breaker: BreakerTuning,
    /// Parameters of the budget, this VM's share of the platform's capacity.
    pub budget: BudgetTuning,
    /// The seed of the breaker's jitter. Each VM needs a different one, so that the VMs do not make
    /// their trial calls at the same time.
    pub seed: u64,
}

impl HttpSettings {
    /// Returns the default settings for a platform at `address`.
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
    call_timeout: ClockSpan,
    /// Requests that timed out.
    timeout_count: u64,
}

#[derive(Debug)]
pub(crate) struct StoreClient<C> {
    settings: HttpSettings,
    clock: C,
    state: RankedMutex<StoreState>,
}

impl<C: ClockSource> StoreClient<C> {
    /// Returns a client that connects when it is first used.
    pub(crate) fn new(settings: HttpSettings, clock: C) -> Self {
        let state = StoreState {
            idle: Vec::new(),
            breaker: StoreBreaker::new(settings.breaker),
            budget: StoreBudget::new(settings.budget, clock.now()),
            random: RandomSource::from_seed(settings.seed),
            call_timeout: settings.call_timeout,
            timeout_count: 0,
        };
        let state = RankedMutex::new(LockRank::ConnectionPool, state);
        Self { settings, clock, state }
    }

    /// Returns whether the circuit breaker is open because recent calls failed.
    pub(crate) fn is_down(&self) -> bool {
        self.state.lock().breaker.is_open()
    }

    /// Returns how many requests timed out.
    pub(crate) fn timeout_count(&self) -> u64 {
        self.state.lock().timeout_count
    }

    /// Changes the timeout of calls. Calls that have been sent keep theirs.
    pub(crate) fn set_call_timeout(&self, timeout: ClockSpan) {
        self.state.lock().call_timeout = timeout;
    }

    /// Makes a call if the breaker and the budget allow it, after the wait that the budget
    /// requires.
    pub(crate) async fn call(
        &self,
        call: StoreCall,
        cost: CallCost,
    ) -> Result<StoreAnswer, CallFailure> {
        let (pass, wait) = self.admit(cost)?;
        if wait > ClockSpan::ZERO {
            tokio::time::sleep(wait.to_duration()).await;
        }
        let result = self.send_with_retry(call).await;
        self.record(pass, &result);
        result
    }

    fn admit(&self, cost: CallCost) -> Result<(BreakerPass, ClockSpan), CallFailure> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let pass = state.breaker.admit(now).map_err(|wait| {
            let reason = format!("recent calls failed, next trial call in {wait}");
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

    /// Sends a call on an idle connection if there is one. If that fails and the call may be sent
    /// again, or without an idle connection, sends it on a new one.
    async fn send_with_retry(&self, call: StoreCall) -> Result<StoreAnswer, CallFailure> {
        let mut after_timeout = false;
        if let Some(connection) = self.take_idle() {
            match self.send(connection, call.clone()).await {
                Err(failure) if !failure.sent || call.repeatable => {
                    after_timeout = failure.timed_out;
                    self.close_idle();
                }
                result => return result,
            }
        }
        let settings = &self.settings;
        let connection =
            StoreConnection::connect(settings.address, settings.connect_timeout).await?;
        let answer = self.send(connection, call).await?;
        Ok(StoreAnswer { after_timeout, ..answer })
    }

    async fn send(
        &self,
        mut connection: StoreConnection,
        call: StoreCall,
    ) -> Result<StoreAnswer, CallFailure> {
        let timeout = self.state.lock().call_timeout + call.poll_limit;
        let result = connection.send(call, timeout, self.settings.answer_bytes).await;
        match &result {
            Ok(_) => self.keep_idle(connection),
            Err(failure) => {
                self.state.lock().timeout_count += u64::from(failure.timed_out);
                self.close_idle();
            }
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

    /// Closes all idle connections. When one has stopped responding, the others may have as well.
    pub(crate) fn close_idle(&self) {
        let idle = std::mem::take(&mut self.state.lock().idle);
        drop(idle);
    }
}

/// Returns the error for an answer whose status does not report success.
pub(crate) fn status_error(answer: &StoreAnswer) -> StoreError {
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
