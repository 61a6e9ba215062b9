//! The state of a row store stand-in, and how it answers calls under its faults.

use std::net::IpAddr;
use std::sync::Arc;

use base::prelude::*;
use http::{Request, Response};
use hyper::body::Incoming;
use parking_lot::Mutex;

use crate::body::StandBody;
use crate::rate::RateLimit;
use crate::row_dialect::{FeedCall, RowAnswer, RowCall, RowDialect};
use crate::row_plan::{AnswerLoss, RowCallCounts, RowCallKind, RowCounts, RowOutage, RowPlan};
use crate::rows::{RowPath, RowTables, RowTransaction};
use crate::script::{RawScript, ScriptEnd};
use crate::signal::ChangeSignal;
use crate::web;

#[derive(Debug)]
struct RowState {
    plan: RowPlan,
    tables: RowTables,
    counts: RowCounts,
    write_limit: RateLimit,
    read_limit: RateLimit,
}

/// The state of a row store stand-in, shared by its connections.
#[derive(Debug)]
pub(crate) struct RowCore {
    clock: RealClock,
    /// Signals changes of rows and of the plan.
    changed: ChangeSignal,
    /// Signals changes of the counters. They are too frequent to wake the tasks that wait for rows.
    counted: ChangeSignal,
    state: Mutex<RowState>,
}

/// How a call that no outage has stopped is executed and answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallHandling {
    /// Executed and answered.
    Answered,
    /// Executed, but not answered.
    Lost(AnswerLoss),
    /// Executed after this time, but not answered.
    Delayed(ClockSpan, AnswerLoss),
}

impl RowCore {
    pub(crate) fn new(plan: RowPlan) -> Arc<Self> {
        let clock = RealClock::new();
        let now = clock.now();
        let state = RowState {
            tables: RowTables::default(),
            counts: RowCounts::default(),
            write_limit: RateLimit::new(plan.writes_per_second, now),
            read_limit: RateLimit::new(plan.reads_per_second, now),
            plan,
        };
        let (changed, counted) = (ChangeSignal::default(), ChangeSignal::default());
        Arc::new(Self { clock, changed, counted, state: Mutex::new(state) })
    }

    pub(crate) fn plan(&self) -> RowPlan {
        self.state.lock().plan.clone()
    }

    pub(crate) fn update(&self, change: impl FnOnce(&mut RowPlan)) {
        {
            let mut guard = self.state.lock();
            let state = &mut *guard;
            let now = self.clock.now();
            let (writes, reads) = (state.plan.writes_per_second, state.plan.reads_per_second);
            change(&mut state.plan);
            if state.plan.writes_per_second != writes {
                state.write_limit = RateLimit::new(state.plan.writes_per_second, now);
            }
            if state.plan.reads_per_second != reads {
                state.read_limit = RateLimit::new(state.plan.reads_per_second, now);
            }
        }
        self.changed.announce();
    }

    pub(crate) fn counts(&self) -> RowCounts {
        self.state.lock().counts.clone()
    }

    pub(crate) async fn wait_for(&self, condition: impl Fn(&RowCounts) -> bool) {
        self.counted.wait_until(|| condition(&self.state.lock().counts)).await;
    }

    /// Waits until the condition on the value of a row holds. The value is `None` if there is no
    /// row.
    pub(crate) async fn wait_for_row(
        &self,
        path: &RowPath,
        condition: impl Fn(Option<&[u8]>) -> bool,
    ) {
        let check = || {
            let row = self.with_tables(|tables, _| tables.row(path));
            condition(row.and_then(|row| row.value).as_deref())
        };
        self.changed.wait_until(check).await;
    }

    /// Runs `action` on the tables and the current time. Prunes the history before and after.
    pub(crate) fn with_tables<T>(&self, action: impl FnOnce(&mut RowTables, ClockTime) -> T) -> T {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let keep = state.plan.history;
        state.tables.prune(keep, now);
        let outcome = action(&mut state.tables, now);
        state.tables.prune(keep, now);
        outcome
    }

    /// Executes a transaction and wakes the tasks that wait for changes.
    pub(crate) fn commit(&self, transaction: &RowTransaction) -> Option<u64> {
        let version = self.with_tables(|tables, now| tables.commit(transaction, now));
        self.changed.announce();
        version
    }

    fn count(&self, source: IpAddr, change: impl Fn(&mut RowCallCounts)) {
        self.state.lock().counts.count(source, change);
        self.counted.announce();
    }

    fn count_arrival(&self, source: IpAddr, call: &RowCall) {
        self.state.lock().counts.count_arrival(source, call);
        self.counted.announce();
    }

    fn outage(&self, source: IpAddr, kind: RowCallKind) -> Option<RowOutage> {
        self.state.lock().plan.fault(source, kind)?.down
    }

    fn delay(&self, source: IpAddr, kind: RowCallKind) -> ClockSpan {
        let mut state = self.state.lock();
        let slow_ms = state.plan.fault(source, kind).map_or(0, |fault| fault.slow_ms);
        ClockSpan::from_millis(slow_ms)
    }

    /// Decides how a call is handled. A lost answer counts against the number left in the fault.
    fn handling(&self, source: IpAddr, kind: RowCallKind) -> CallHandling {
        let mut state = self.state.lock();
        let Some(fault) = state.plan.fault(source, kind) else { return CallHandling::Answered };
        if let Some(late_ms) = fault.late_ms {
            return CallHandling::Delayed(ClockSpan::from_millis(late_ms), fault.loss);
        }
        if fault.lost_answers == 0 {
            return CallHandling::Answered;
        }
        fault.lost_answers -= 1;
        CallHandling::Lost(fault.loss)
    }

    /// Returns whether a call is within the limits, and takes its token if so.
    fn allow(&self, kind: RowCallKind) -> bool {
        let now = self.clock.now();
        let mut state = self.state.lock();
        match kind {
            RowCallKind::Transact => state.write_limit.allow(now),
            RowCallKind::Read | RowCallKind::Feed => state.read_limit.allow(now),
        }
    }

    /// Executes a call and returns its answer.
    async fn execute(&self, source: IpAddr, call: RowCall) -> RowAnswer {
        match call {
            RowCall::Read(mut range) => {
                range.limit = range.limit.min(self.state.lock().plan.page_rows);
                RowAnswer::Range(self.with_tables(|tables, _| tables.read(&range)))
            }
            RowCall::Feed(feed) => {
                let answer = self.wait_for_changes(source, &feed).await;
                let lost = u64::from(answer == RowAnswer::HistoryLost);
                self.count(source, |counts| counts.history_lost += lost);
                answer
            }
            RowCall::Transact(transaction) => self.transact(source, &transaction),
        }
    }

    fn transact(&self, source: IpAddr, transaction: &RowTransaction) -> RowAnswer {
        if !self.is_within_lengths(transaction) {
            self.count(source, |counts| counts.malformed += 1);
            return RowAnswer::Malformed;
        }
        let version = self.commit(transaction);
        self.count(source, |counts| match version {
            Some(_) => counts.committed += 1,
            None => counts.conflicts += 1,
        });
        version.map_or(RowAnswer::Conflict, |version| RowAnswer::Committed { version })
    }

    fn is_within_lengths(&self, transaction: &RowTransaction) -> bool {
        let state = self.state.lock();
        let plan = &state.plan;
        transaction.writes.iter().all(|(path, value)| {
            path.key.len() <= plan.key_bytes && value.len() <= plan.value_bytes
        })
    }

    /// Returns the changes that a call asks for. Waits until there is one, the wait is over, the
    /// history is lost or an outage begins.
    async fn wait_for_changes(&self, source: IpAddr, feed: &FeedCall) -> RowAnswer {
        let limit = ClockSpan::from_millis(self.state.lock().plan.hold_ms);
        let can_answer = || {
            let changes = self.with_tables(|tables, _| tables.changes(&feed.table, feed.after));
            changes.is_none_or(|changes| !changes.is_empty())
                || self.outage(source, RowCallKind::Feed).is_some()
        };
        // A wait that ends without a change is answered with an empty list.
        let long_poll = feed.long_poll.min(limit).to_duration();
        let _ = tokio::time::timeout(long_poll, self.changed.wait_until(can_answer)).await;
        self.with_tables(|tables, _| match tables.changes(&feed.table, feed.after) {
            Some(changes) => RowAnswer::Changes { changes, version: tables.version() },
            None => RowAnswer::HistoryLost,
        })
    }

    /// Returns whether the changes of a table in an answer are lost, and how.
    fn change_loss(
        &self,
        source: IpAddr,
        table: Option<SharedName>,
        answer: &RowAnswer,
    ) -> Option<AnswerLoss> {
        let RowAnswer::Changes { changes, .. } = answer else { return None };
        let mut state = self.state.lock();
        let fault = state.plan.fault(source, RowCallKind::Feed)?;
        (!changes.is_empty() && table.is_some() && fault.lost_changes == table)
            .then_some(fault.loss)
    }

    /// Returns whether a call for changes is neither executed nor answered.
    fn is_poll_lost(&self, source: IpAddr, call: &RowCall) -> bool {
        let RowCall::Feed(feed) = call else { return false };
        let mut state = self.state.lock();
        let fault = state.plan.fault(source, RowCallKind::Feed);
        fault.is_some_and(|fault| fault.lost_polls.as_ref() == Some(&feed.table))
    }

    /// Answers a call during an outage, leaves it without an answer, or resets its connection.
    async fn apply_outage<D: RowDialect>(
        &self,
        source: IpAddr,
        outage: RowOutage,
    ) -> Result<Response<StandBody>, RawScript> {
        match outage {
            RowOutage::Silent => {
                self.count(source, |counts| counts.silenced += 1);
                std::future::pending().await
            }
            RowOutage::Refused { status } => {
                self.count(source, |counts| counts.refused += 1);
                Ok(D::encode(&RowAnswer::Refused { status }))
            }
            RowOutage::Reset => {
                self.count(source, |counts| counts.reset += 1);
                Err(RawScript::ending(ScriptEnd::Reset))
            }
        }
    }
}

/// Leaves a call without an answer, on an open connection or by a reset.
async fn leave_unanswered(loss: AnswerLoss) -> Result<Response<StandBody>, RawScript> {
    match loss {
        AnswerLoss::Silent => std::future::pending().await,
        AnswerLoss::Reset => Err(RawScript::ending(ScriptEnd::Reset)),
    }
}

/// Answers a call from `source`, or takes over its connection with a script if it must fail.
pub(crate) async fn serve<D: RowDialect>(
    core: Arc<RowCore>,
    source: IpAddr,
    request: Request<Incoming>,
) -> Result<Response<StandBody>, RawScript> {
    let (head, body) = request.into_parts();
    // A call whose body is incomplete is not executed.
    let Some(body) = web::read_all(body).await else {
        return Err(RawScript::ending(ScriptEnd::Close));
    };
    let Some(call) = D::decode(&head, &body) else {
        core.count(source, |counts| counts.malformed += 1);
        return Ok(D::encode(&RowAnswer::Malformed));
    };
    let kind = call.kind();
    core.count_arrival(source, &call);
    if let Some(outage) = core.outage(source, kind) {
        return core.apply_outage::<D>(source, outage).await;
    }
    if core.is_poll_lost(source, &call) {
        return core.apply_outage::<D>(source, RowOutage::Silent).await;
    }
    let delay = core.delay(source, kind);
    if delay > ClockSpan::ZERO {
        tokio::time::sleep(delay.to_duration()).await;
    }
    if !core.allow(kind) {
        core.count(source, |counts| counts.throttled += 1);
        return Ok(D::encode(&RowAnswer::Throttled));
    }
    match core.handling(source, kind) {
        CallHandling::Answered => {}
        CallHandling::Lost(loss) => {
            core.execute(source, call).await;
            core.count(source, |counts| counts.lost_answers += 1);
            return leave_unanswered(loss).await;
        }
        CallHandling::Delayed(span, loss) => {
            core.count(source, |counts| counts.late += 1);
            execute_later(&core, source, call, span);
            return leave_unanswered(loss).await;
        }
    }
    let feed_table = match &call {
        RowCall::Feed(feed) => Some(feed.table.clone()),
        RowCall::Read(_) | RowCall::Transact(_) => None,
    };
    let answer = core.execute(source, call).await;
    if let Some(loss) = core.change_loss(source, feed_table, &answer) {
        core.count(source, |counts| counts.lost_answers += 1);
        return leave_unanswered(loss).await;
    }
    // An outage may have begun while the call waited for changes.
    if kind == RowCallKind::Feed
        && let Some(outage) = core.outage(source, kind)
    {
        return core.apply_outage::<D>(source, outage).await;
    }
    core.count(source, |counts| counts.answered += 1);
    Ok(D::encode(&answer))
}

/// Executes a call after `span`, even if its caller has disconnected by then.
fn execute_later(core: &Arc<RowCore>, source: IpAddr, call: RowCall, span: ClockSpan) {
    let core = Arc::downgrade(core);
    tokio::spawn(async move {
        tokio::time::sleep(span.to_duration()).await;
        if let Some(core) = core.upgrade() {
            core.execute(source, call).await;
        }
    });
}
