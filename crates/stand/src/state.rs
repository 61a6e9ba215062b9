//! The shared state of an upstream stand-in: plan, slots, counters, noise, drain and crashes.
//!
//! Messages to queued requests are sent after the lock is released.

use std::sync::Arc;

use base::prelude::*;
use parking_lot::Mutex;
use tokio::sync::{oneshot, watch};
use tokio::task::AbortHandle;

use crate::counts::UpstreamCounts;
use crate::dialect::LoadSample;
use crate::fault::{AnswerFault, FaultTarget};
use crate::guard::{ConnectionGuard, QueueEntry, RunningWork, SlotGuard};
use crate::noise::NoiseSchedule;
use crate::plan::{LoadAnswer, NoisePlan, UpstreamPlan};
use crate::port::PortControl;
use crate::signal::ChangeSignal;
use crate::slot::{LoadFigures, QueueExit, SlotTable};

/// The pace of an upstream whose plan sets none, in percent of the service time.
const DEFAULT_PACE_PERCENT: u32 = 100;

/// The facts of a request that its slot, its queue entry and the counters use.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkFacts {
    pub(crate) key: Option<SharedName>,
    pub(crate) nonce: Option<SharedName>,
    pub(crate) request: Option<SharedName>,
    pub(crate) deadline: Option<ClockTime>,
    pub(crate) probe: bool,
}

/// How the wait of a queued request ended.
#[derive(Debug)]
pub(crate) enum WaitOutcome {
    Started(SlotGuard),
    Expired,
    Cancelled,
}

/// A queued request and the channel to the task that handles it.
#[derive(Debug)]
struct SlotWaiter {
    sender: oneshot::Sender<WaitOutcome>,
    facts: WorkFacts,
}

/// Whether a request got a slot or a queue entry, or was shed.
#[derive(Debug)]
pub(crate) enum SlotAdmission {
    Started(SlotGuard),
    Queued(QueueEntry),
    Shed,
}

/// The stage of a drain.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct DrainState {
    pub(crate) draining: bool,
    pub(crate) unhealthy: bool,
    pub(crate) refusing: bool,
    /// Time since the drain began.
    pub(crate) age: Option<ClockSpan>,
}

#[derive(Debug)]
struct UpstreamState {
    plan: Arc<UpstreamPlan>,
    table: SlotTable<SlotWaiter>,
    counts: UpstreamCounts,
    random: RandomSource,
    started: ClockTime,
    drain_since: Option<ClockTime>,
    noise_factor: f64,
    noise_task: Option<AbortHandle>,
    /// The number of crashes. Slots of an earlier epoch were freed by the crash and are not
    /// released again.
    epoch: u64,
}

impl UpstreamState {
    /// Starts the work of a request that has a slot.
    fn begin(&mut self, facts: &WorkFacts, now: ClockTime) -> RunningWork {
        let (service_time, request) = (self.record_start(facts, now), facts.request.clone());
        RunningWork {
            epoch: self.epoch,
            service_time,
            probe: facts.probe,
            started_at: now,
            request,
        }
    }

    /// Counts the start of a request and draws its service time.
    fn record_start(&mut self, facts: &WorkFacts, now: ClockTime) -> ClockSpan {
        let in_flight = u64::from(self.table.figures().in_flight);
        self.counts.in_flight_peak = self.counts.in_flight_peak.max(in_flight);
        if facts.probe {
            return ClockSpan::from_millis(self.plan.probe_ms);
        }
        let (key, nonce) = (facts.key.as_deref(), facts.nonce.as_deref());
        self.counts.record_execution(key, nonce, self.plan.count_limit);
        if self.plan.record_requests {
            let request = facts.request.as_deref();
            self.counts.record_event(request, self.plan.count_limit, |record| record.runs += 1);
        }
        let cold = self.plan.cold.map_or(1.0, |cold| cold.factor_at(now.since(self.started)));
        self.plan.service.draw(&mut self.random).scaled(cold * self.pace())
    }

    /// Returns the pace as a factor on the service time of a warm upstream.
    fn pace(&self) -> f64 {
        f64::from(self.plan.pace_percent.unwrap_or(DEFAULT_PACE_PERCENT))
            / f64::from(DEFAULT_PACE_PERCENT)
            * self.noise_factor
    }
}

/// State and signals of an upstream stand-in, shared by its tasks.
#[derive(Debug)]
pub(crate) struct UpstreamCore {
    clock: RealClock,
    port: PortControl,
    changed: ChangeSignal,
    /// Grows when idle connections have to be closed.
    idle_epoch: watch::Sender<u64>,
    state: Mutex<UpstreamState>,
}

/// Messages to queued requests, sent after the lock is released.
type OutcomeMessages = Vec<(oneshot::Sender<WaitOutcome>, WaitOutcome)>;

impl UpstreamCore {
    pub(crate) fn new(plan: UpstreamPlan, port: PortControl) -> Arc<Self> {
        let clock = RealClock::new();
        let state = UpstreamState {
            table: SlotTable::new(plan.slots, plan.queue_limit),
            counts: UpstreamCounts::default(),
            random: RandomSource::from_seed(plan.seed),
            started: clock.now(),
            drain_since: None,
            noise_factor: 1.0,
            noise_task: None,
            epoch: 0,
            plan: Arc::new(UpstreamPlan::default()),
        };
        let core = Arc::new(Self {
            clock,
            port,
            changed: ChangeSignal::default(),
            idle_epoch: watch::Sender::new(0),
            state: Mutex::new(state),
        });
        core.update(|current| *current = plan);
        core
    }

    pub(crate) fn now(&self) -> ClockTime {
        self.clock.now()
    }

    pub(crate) fn plan(&self) -> Arc<UpstreamPlan> {
        self.state.lock().plan.clone()
    }

    pub(crate) fn counts(&self) -> UpstreamCounts {
        self.state.lock().counts.clone()
    }

    pub(crate) fn figures(&self) -> LoadFigures {
        self.state.lock().table.figures()
    }

    /// Changes counters and wakes the tasks that wait for them.
    pub(crate) fn count(&self, change: impl FnOnce(&mut UpstreamCounts)) {
        change(&mut self.state.lock().counts);
        self.changed.announce();
    }

    /// Waits until the counters and figures meet a condition.
    pub(crate) async fn wait_for(&self, condition: impl Fn(&UpstreamCounts, LoadFigures) -> bool) {
        let check = || {
            let state = self.state.lock();
            condition(&state.counts, state.table.figures())
        };
        self.changed.wait_until(check).await;
    }

    pub(crate) fn port(&self) -> &PortControl {
        &self.port
    }

    /// Changes the plan and applies it to the slots, the queue, the drain and the noise.
    pub(crate) fn update(self: &Arc<Self>, change: impl FnOnce(&mut UpstreamPlan)) {
        let messages = {
            let mut guard = self.state.lock();
            let state = &mut *guard;
            let now = self.clock.now();
            let noise = state.plan.noise;
            change(Arc::make_mut(&mut state.plan));
            let plan = state.plan.clone();
            let lag = match plan.load {
                LoadAnswer::Honest { lag_ms } => ClockSpan::from_millis(lag_ms),
                LoadAnswer::Fixed { .. } | LoadAnswer::Idle | LoadAnswer::Silent => ClockSpan::ZERO,
            };
            state.table.resize(plan.slots, plan.queue_limit, now);
            state.table.set_lag(lag, now);
            state.drain_since = plan.drain.and(state.drain_since.or(Some(now)));
            if plan.noise != noise {
                self.restart_noise(state, plan.noise, plan.seed);
            }
            self.dequeue_ready(state)
        };
        self.send_outcomes(messages);
    }

    fn restart_noise(
        self: &Arc<Self>,
        state: &mut UpstreamState,
        noise: Option<NoisePlan>,
        seed: u64,
    ) {
        if let Some(task) = state.noise_task.take() {
            task.abort();
        }
        state.table.set_noise_slots(0);
        state.noise_factor = 1.0;
        state.noise_task = noise.map(|noise| {
            let core = Arc::downgrade(self);
            let mut schedule = NoiseSchedule::new(noise, seed);
            let task = tokio::spawn(async move {
                loop {
                    let burst = schedule.next_burst();
                    tokio::time::sleep(burst.gap.to_duration()).await;
                    let Some(strong) = core.upgrade() else { return };
                    strong.set_noise(noise.slots, noise.factor, true);
                    drop(strong);
                    tokio::time::sleep(burst.duration.to_duration()).await;
                    let Some(strong) = core.upgrade() else { return };
                    strong.set_noise(0, 1.0, false);
                }
            });
            task.abort_handle()
        });
    }

    fn set_noise(self: &Arc<Self>, slots: u32, factor: f64, is_start: bool) {
        let messages = {
            let mut guard = self.state.lock();
            let state = &mut *guard;
            state.table.set_noise_slots(slots);
            state.noise_factor = factor;
            state.counts.bursts += u64::from(is_start);
            self.dequeue_ready(state)
        };
        self.send_outcomes(messages);
    }

    pub(crate) fn drain_state(&self) -> DrainState {
        let state = self.state.lock();
        let (Some(drain), Some(since)) = (state.plan.drain, state.drain_since) else {
            return DrainState::default();
        };
        let age = self.clock.now().since(since);
        DrainState {
            draining: true,
            unhealthy: age >= ClockSpan::from_millis(drain.health_fails_after_ms),
            refusing: age >= ClockSpan::from_millis(drain.grace_ms),
            age: Some(age),
        }
    }

    /// Returns the load that answers report, or `None` if the plan lets them report none.
    pub(crate) fn reported_load(&self) -> Option<LoadSample> {
        let mut state = self.state.lock();
        let pace_percent = state
            .plan
            .pace_percent
            .map(|_| (state.pace() * f64::from(DEFAULT_PACE_PERCENT)).round() as u32);
        match state.plan.load {
            LoadAnswer::Honest { .. } => {
                let figures = state.table.reported_load(self.clock.now());
                Some(LoadSample { figures, pace_percent })
            }
            LoadAnswer::Fixed { in_flight, queued, slots, pace_percent } => {
                let figures = LoadFigures { in_flight, slots, queued };
                Some(LoadSample { figures, pace_percent })
            }
            LoadAnswer::Idle => {
                let figures = LoadFigures { slots: state.plan.slots, ..Default::default() };
                Some(LoadSample { figures, pace_percent })
            }
            LoadAnswer::Silent => None,
        }
    }

    /// Returns the fault of an answer by the fault rules, and counts it.
    pub(crate) fn draw_fault(&self, path: &str, target: FaultTarget) -> Option<AnswerFault> {
        let mut guard = self.state.lock();
        let state = &mut *guard;
        let (rules, random) = (&state.plan.faults, &mut state.random);
        let index = rules.iter().position(|rule| {
            rule.applies(path, target) && (rule.share >= 1.0 || random.chance(rule.share))
        })?;
        let rule = &mut Arc::make_mut(&mut state.plan).faults[index];
        rule.next = rule.next.map(|remaining| remaining - 1);
        state.counts.faults += 1;
        Some(rule.fault)
    }

    /// Closes the connections that have no request in flight.
    pub(crate) fn close_idle(&self) {
        self.idle_epoch.send_modify(|epoch| *epoch += 1);
    }

    /// Returns the number of calls of [`UpstreamCore::close_idle`].
    pub(crate) fn idle_epoch(&self) -> u64 {
        *self.idle_epoch.borrow()
    }

    /// Waits until a connection has been idle for the limit of the plan, or idle connections have
    /// to be closed. `idle_since` has the idle epoch in which the connection became idle, or `None`
    /// while it has a request.
    pub(crate) async fn wait_idle(&self, mut idle_since: watch::Receiver<Option<u64>>) {
        let mut current_epoch = self.idle_epoch.subscribe();
        // An error means that the connection has ended.
        while idle_since.wait_for(Option::is_some).await.is_ok() {
            let Some(epoch) = *idle_since.borrow_and_update() else { continue };
            let limit = self.plan().idle_ms.map(ClockSpan::from_millis);
            let limit_passed = async {
                match limit {
                    Some(limit) => tokio::time::sleep(limit.to_duration()).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                _ = idle_since.changed() => continue,
                _ = current_epoch.wait_for(|current| *current > epoch) => {}
                () = limit_passed => {}
            }
            return self.count(|counts| counts.idle_closed += 1);
        }
    }

    /// Takes a slot or adds the request to the queue.
    pub(crate) fn admit(self: &Arc<Self>, facts: WorkFacts) -> SlotAdmission {
        let admission = {
            let mut guard = self.state.lock();
            let state = &mut *guard;
            let now = self.clock.now();
            if state.table.try_start(now) {
                SlotAdmission::Started(SlotGuard::new(self.clone(), state.begin(&facts, now)))
            } else {
                let (sender, receiver) = oneshot::channel();
                let (request, deadline) = (facts.request.clone(), facts.deadline);
                let waiter = SlotWaiter { sender, facts };
                match state.table.enqueue(request, deadline, waiter, now) {
                    Some(entry_id) => {
                        SlotAdmission::Queued(QueueEntry::new(self.clone(), entry_id, receiver))
                    }
                    None => {
                        state.counts.shed += 1;
                        SlotAdmission::Shed
                    }
                }
            }
        };
        self.changed.announce();
        admission
    }

    /// Counts the run of a request that takes no slot.
    pub(crate) fn record_run(&self, facts: &WorkFacts) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.record_start(facts, now);
        state.counts.completed += 1;
        drop(state);
        self.changed.announce();
    }

    /// Cancels a queued request. Returns whether the cancellation is confirmed.
    pub(crate) fn cancel(&self, request: &str) -> bool {
        let waiter = {
            let mut state = self.state.lock();
            let now = self.clock.now();
            let waiter =
                if state.plan.confirm_cancel { state.table.cancel(request, now) } else { None };
            match waiter {
                Some(_) => state.counts.cancelled += 1,
                None => state.counts.cancel_denied += 1,
            }
            waiter
        };
        self.changed.announce();
        match waiter {
            Some(waiter) => {
                let _ = waiter.sender.send(WaitOutcome::Cancelled);
                true
            }
            None => false,
        }
    }

    /// Simulates a crash: closes every connection, drops every request and refuses connections
    /// until the restart.
    pub(crate) fn crash(self: &Arc<Self>) {
        let (waiters, epoch, restart) = {
            let mut state = self.state.lock();
            let waiters = state.table.reset(self.clock.now());
            state.epoch += 1;
            state.counts.crashes += 1;
            (waiters, state.epoch, state.plan.restart_ms)
        };
        drop(waiters);
        self.port.close_and_cut();
        self.changed.announce();
        if let Some(restart_ms) = restart {
            let core = Arc::downgrade(self);
            tokio::spawn(async move {
                tokio::time::sleep(ClockSpan::from_millis(restart_ms).to_duration()).await;
                if let Some(core) = core.upgrade() {
                    core.restart(Some(epoch));
                }
            });
        }
    }

    /// Accepts connections again, as a cold upstream. With `epoch`, does nothing if the upstream
    /// crashed again after the crash that set it.
    pub(crate) fn restart(&self, epoch: Option<u64>) {
        {
            let mut state = self.state.lock();
            if epoch.is_some_and(|epoch| epoch != state.epoch) {
                return;
            }
            state.started = self.clock.now();
            state.counts.restarts += 1;
        }
        self.port.open();
        self.changed.announce();
    }

    /// Closes the port and every connection.
    pub(crate) fn stop(&self) {
        if let Some(task) = self.state.lock().noise_task.take() {
            task.abort();
        }
        self.port.close_and_cut();
    }

    /// Counts a connection as open, or returns `None` if the limit of the plan is reached.
    pub(crate) fn register_connection(self: &Arc<Self>) -> Option<ConnectionGuard> {
        let accepted = {
            let mut guard = self.state.lock();
            let state = &mut *guard;
            let accepted = state.counts.connections < u64::from(state.plan.connections);
            if accepted {
                state.counts.connections += 1;
                state.counts.connections_served += 1;
                let connection_count = state.counts.connections;
                state.counts.connections_peak = state.counts.connections_peak.max(connection_count);
            } else {
                state.counts.connections_refused += 1;
            }
            accepted
        };
        self.changed.announce();
        accepted.then(|| ConnectionGuard::new(self.clone()))
    }

    /// Removes the queued requests that can start or have expired, and returns the messages to
    /// them.
    fn dequeue_ready(self: &Arc<Self>, state: &mut UpstreamState) -> OutcomeMessages {
        let now = self.clock.now();
        let mut messages = OutcomeMessages::new();
        while let Some(exit) = state.table.next_exit(now) {
            match exit {
                QueueExit::Started(waiter) => {
                    let guard = SlotGuard::new(self.clone(), state.begin(&waiter.facts, now));
                    messages.push((waiter.sender, WaitOutcome::Started(guard)));
                }
                QueueExit::Expired(waiter) => {
                    state.counts.expired += 1;
                    messages.push((waiter.sender, WaitOutcome::Expired));
                }
            }
        }
        messages
    }

    /// Sends queued requests the outcome of their wait. If the caller of a started request has
    /// disconnected, its guard is dropped here and keeps the slot to the end of the service time,
    /// unless the plan sets `ends_with_caller`.
    fn send_outcomes(&self, messages: OutcomeMessages) {
        for (sender, outcome) in messages {
            let _ = sender.send(outcome);
        }
        self.changed.announce();
    }

    /// Releases the slot of completed work and counts it.
    pub(crate) fn release(self: &Arc<Self>, work: &RunningWork) {
        let messages = {
            let mut guard = self.state.lock();
            let state = &mut *guard;
            if state.epoch != work.epoch {
                return;
            }
            state.table.finish(self.clock.now());
            let millis = work.service_time.as_millis_f64();
            if work.probe {
                state.counts.probe_slot_ms += millis;
            } else {
                state.counts.completed += 1;
                state.counts.slot_ms += millis;
            }
            self.dequeue_ready(state)
        };
        self.send_outcomes(messages);
    }

    /// Counts work whose caller closed the connection. Returns whether the work has ended.
    pub(crate) fn abandon(self: &Arc<Self>, work: &RunningWork) -> bool {
        let (ends, messages) = {
            let mut guard = self.state.lock();
            let state = &mut *guard;
            if state.epoch != work.epoch {
                return true;
            }
            let now = self.clock.now();
            let (ran, limit) = (now.since(work.started_at).as_millis_f64(), state.plan.count_limit);
            if !work.probe {
                state.counts.abandoned += 1;
            }
            if state.plan.record_requests {
                let request = work.request.as_deref();
                state.counts.record_event(request, limit, |record| record.abandoned_ms.push(ran));
            }
            if state.plan.ends_with_caller {
                state.table.finish(now);
                state.counts.slot_ms += ran;
                (true, self.dequeue_ready(state))
            } else {
                (false, OutcomeMessages::new())
            }
        };
        self.send_outcomes(messages);
        ends
    }

    /// Removes a request from the queue and counts it as expired or withdrawn. Returns whether it
    /// was still queued.
    pub(crate) fn withdraw(&self, entry_id: u64, expired: bool) -> bool {
        let removed = {
            let mut state = self.state.lock();
            let removed = state.table.withdraw(entry_id, self.clock.now()).is_some();
            if removed && expired {
                state.counts.expired += 1;
            } else if removed {
                state.counts.withdrawn += 1;
            }
            removed
        };
        self.changed.announce();
        removed
    }
}
