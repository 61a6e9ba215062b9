//! Runs real gateway processes under the faults of one schedule and returns the broken promises.

use std::fmt;
use std::sync::Arc;

use base::prelude::*;
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::caller::VmCallers;
use crate::disruption::DisruptedPart;
use crate::error::SoakError;
use crate::fault::*;
use crate::ledger::{BrokenPromise, Ledger, LedgerCounts};
use crate::schedule::{FaultSchedule, UPSTREAMS, VMS};
use crate::setup::{self, SoakStore};
use crate::upstream::SoakUpstream;
use crate::vm::SoakVm;

/// The time between two checks of the schedule and the processes: short compared with every fault.
const POLL_PERIOD: ClockSpan = ClockSpan::from_millis(20);
/// A longer time between two polls means that the machine stalled, which counts as a disruption.
const STALL_THRESHOLD: ClockSpan = ClockSpan::from_millis(300);
/// The time between two checks of the promises. Each check copies some thousand records from the
/// upstreams.
const CHECK_PERIOD: ClockSpan = ClockSpan::from_secs(2);
/// The time with calls but without faults before the first fault and after the last one, so that
/// every run serves some calls.
const FAULT_FREE_SPAN: ClockSpan = ClockSpan::from_millis(1_200);

/// The input of a run.
#[derive(Clone, Debug)]
pub struct RunPlan {
    /// The faults, and the seed of the calls.
    pub schedule: FaultSchedule,
    /// The name of a mechanism to disable in the gateways (their flag `--without`).
    pub disabled: Option<String>,
}

/// The result of a run.
#[derive(Clone, Debug)]
pub struct RunVerdict {
    /// The faults.
    pub schedule: FaultSchedule,
    /// Counts over all calls.
    pub counts: LedgerCounts,
    /// The promises that were broken.
    pub broken: Vec<BrokenPromise>,
}

impl RunVerdict {
    /// Returns whether every promise was kept and at least one call was served.
    pub fn is_kept(&self) -> bool {
        self.broken.is_empty() && self.counts.served > 0
    }
}

impl fmt::Display for RunVerdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LedgerCounts { calls, served, refused, lost } = self.counts;
        let seed = self.schedule.seed;
        let faults = self.schedule.faults.len();
        let verdict = if self.is_kept() { "kept" } else { "BROKEN" };
        write!(formatter, "seed {seed}: {verdict}, {faults} faults, {calls} calls, ")?;
        write!(formatter, "{served} served, {refused} refused, {lost} lost")?;
        match self.broken.first() {
            Some(first) => write!(formatter, "; {} broken, first {first}", self.broken.len()),
            None => Ok(()),
        }
    }
}

/// Runs the gateways under the faults of `plan` and returns the verdict.
///
/// # Errors
///
/// Fails if a stand-in or a gateway does not start, or a task of the run panics.
pub async fn run(plan: &RunPlan) -> Result<RunVerdict, SoakError> {
    let mut run = SoakRun::start(plan).await?;
    let (keep_calling, callers) = run.start_callers();
    run.inject().await?;
    keep_calling.send_replace(false);
    run.join_callers(callers).await?;
    run.stop_all().await?;
    run.collect_observations();
    let ledger = run.ledger.lock();
    let schedule = plan.schedule.clone();
    Ok(RunVerdict { schedule, counts: ledger.counts(), broken: ledger.broken_promises() })
}

/// The processes, stand-ins and state of a run.
struct SoakRun {
    schedule: FaultSchedule,
    clock: RealClock,
    ledger: Arc<Mutex<Ledger>>,
    store: SoakStore,
    upstreams: Vec<SoakUpstream>,
    vms: Vec<SoakVm>,
    /// The faults that are in force, in the order in which they started.
    active: Vec<ScheduledFault>,
    last_poll: ClockTime,
    last_check: ClockTime,
}

impl SoakRun {
    async fn start(plan: &RunPlan) -> Result<Self, SoakError> {
        let clock = RealClock::new();
        let ledger = Arc::new(Mutex::new(Ledger::default()));
        let store = SoakStore::start().await?;
        let mut upstreams = Vec::new();
        for index in 0..UPSTREAMS {
            upstreams.push(SoakUpstream::start(index, plan.schedule.seed, &store).await?);
        }
        let address = store.stand.address();
        let disabled = plan.disabled.as_deref();
        let vm = |index| SoakVm::new(index, address, disabled, Arc::clone(&ledger), clock);
        let vms = (0..VMS).map(vm).collect();
        let now = clock.now();
        Ok(Self {
            schedule: plan.schedule.clone(),
            clock,
            ledger,
            store,
            upstreams,
            vms,
            active: Vec::new(),
            last_poll: now,
            last_check: now,
        })
    }

    fn start_callers(&self) -> (watch::Sender<bool>, JoinSet<()>) {
        let (sender, keep_calling) = watch::channel(true);
        let mut callers = JoinSet::new();
        for (vm, soak_vm) in self.vms.iter().enumerate() {
            let callers_of_vm = VmCallers {
                vm,
                target: soak_vm.target(),
                ledger: Arc::clone(&self.ledger),
                clock: self.clock,
                seed: self.schedule.seed.wrapping_add(vm as u64),
                keep_calling: keep_calling.clone(),
            };
            callers.spawn(callers_of_vm.run());
        }
        (sender, callers)
    }

    /// Injects the faults in their order. Ends `FAULT_FREE_SPAN` after the last one or when a check
    /// finds a broken promise.
    async fn inject(&mut self) -> Result<(), SoakError> {
        let start = self.clock.now() + FAULT_FREE_SPAN;
        let end = start + self.schedule.end() + FAULT_FREE_SPAN;
        let faults = self.schedule.faults.clone();
        let mut next_index = 0;
        while self.clock.now() < end {
            let now = self.clock.now();
            let is_over = |fault: &ScheduledFault| start + fault.end() <= now;
            while let Some(index) = self.active.iter().position(is_over) {
                let fault = self.active.remove(index);
                self.end_fault(fault).await;
            }
            while let Some(fault) = faults.get(next_index).filter(|fault| start + fault.at <= now) {
                next_index += 1;
                self.start_fault(*fault).await?;
            }
            self.poll().await?;
            if self.check_if_due() {
                break;
            }
        }
        // Ends the faults that are left when a run ends early, so that no process stays suspended.
        while let Some(fault) = self.active.pop() {
            self.end_fault(fault).await;
        }
        Ok(())
    }

    /// Waits for the callers, and keeps polling the processes meanwhile.
    async fn join_callers(&mut self, mut callers: JoinSet<()>) -> Result<(), SoakError> {
        while !callers.is_empty() {
            while let Some(joined) = callers.try_join_next() {
                joined?;
            }
            self.poll().await?;
        }
        Ok(())
    }

    /// Stops every process and waits until all have exited.
    async fn stop_all(&mut self) -> Result<(), SoakError> {
        while !self.vms.iter().all(SoakVm::is_down) {
            self.vms.iter_mut().for_each(SoakVm::stop_for_good);
            self.poll().await?;
        }
        Ok(())
    }

    async fn poll(&mut self) -> Result<(), SoakError> {
        tokio::time::sleep(POLL_PERIOD.to_duration()).await;
        let now = self.clock.now();
        if now.since(self.last_poll) > STALL_THRESHOLD {
            let mut ledger = self.ledger.lock();
            ledger.disruptions.add(DisruptedPart::Machine, self.last_poll, now);
        }
        for index in 0..self.vms.len() {
            let callers = self.link_faults(FaultLink::Callers(index));
            let store = self.link_faults(FaultLink::Store(index));
            self.vms[index].poll(&callers, &store).await?;
        }
        self.last_poll = self.clock.now();
        Ok(())
    }

    /// Checks the promises if `CHECK_PERIOD` has passed since the last check. Returns whether one
    /// was broken.
    fn check_if_due(&mut self) -> bool {
        if self.clock.now().since(self.last_check) < CHECK_PERIOD {
            return false;
        }
        self.collect_observations();
        self.last_check = self.clock.now();
        !self.ledger.lock().broken_promises().is_empty()
    }

    /// Records what the upstreams have observed so far.
    fn collect_observations(&self) {
        for (index, upstream) in self.upstreams.iter().enumerate() {
            let observations = upstream.observations();
            let mut ledger = self.ledger.lock();
            for (id, observation) in observations {
                ledger.record_observation(index, &id, observation);
            }
        }
    }

    async fn start_fault(&mut self, scheduled: ScheduledFault) -> Result<(), SoakError> {
        if let Some(part) = disrupted_part(scheduled.fault) {
            let mut ledger = self.ledger.lock();
            let now = self.clock.now();
            if is_instantaneous(scheduled.fault) {
                ledger.disruptions.add(part, now, now);
            } else {
                ledger.disruptions.begin(part, now);
            }
        }
        self.active.push(scheduled);
        let duration = scheduled.duration;
        match scheduled.fault {
            SoakFault::Link { link, fault } => {
                if let Some(proxy) = self.proxy(link) {
                    setup::start_link_fault(proxy, fault);
                }
            }
            SoakFault::Store(StoreFault::HistoryDropped) => self.store.stand.drop_history(),
            SoakFault::Upstream { upstream, fault: UpstreamFault::Crash } => {
                self.upstreams[upstream].crash();
            }
            SoakFault::Process { vm, fault } => match fault {
                ProcessFault::Stop => self.vms[vm].stop(duration),
                ProcessFault::Kill => self.vms[vm].kill(duration),
                ProcessFault::Pause => self.vms[vm].pause(true),
                ProcessFault::Hangup => self.vms[vm].reload_settings()?,
            },
            SoakFault::Config(fault) => {
                let version = self.store.write_version(fault);
                self.ledger.lock().record_version(version, self.clock.now());
            }
            SoakFault::Store(_) | SoakFault::Upstream { .. } => {}
        }
        self.apply_active(scheduled.fault).await;
        Ok(())
    }

    async fn end_fault(&mut self, scheduled: ScheduledFault) {
        match scheduled.fault {
            SoakFault::Link { link, fault } => {
                if let Some(proxy) = self.proxy(link) {
                    setup::end_link_fault(proxy, fault);
                }
            }
            SoakFault::Process { vm, fault: ProcessFault::Pause } => {
                let is_same = |fault: &ScheduledFault| fault.fault == scheduled.fault;
                if !self.active.iter().any(is_same) {
                    self.vms[vm].pause(false);
                }
            }
            _ => {}
        }
        self.apply_active(scheduled.fault).await;
        if let Some(part) =
            disrupted_part(scheduled.fault).filter(|_| !is_instantaneous(scheduled.fault))
        {
            self.ledger.lock().disruptions.end(part, self.clock.now());
        }
    }

    /// Applies the faults in force to the part of the system in which the fault `changed` has
    /// started or ended.
    async fn apply_active(&mut self, changed: SoakFault) {
        match changed {
            SoakFault::Link { link, .. } => {
                if let Some(proxy) = self.proxy(link) {
                    setup::set_link_faults(proxy, &self.link_faults(link));
                }
            }
            SoakFault::Store(_) => {
                let faults: Vec<StoreFault> = self.active_faults(|fault| match fault {
                    SoakFault::Store(fault) => Some(fault),
                    _ => None,
                });
                self.store.set_faults(&faults).await;
            }
            SoakFault::Upstream { upstream, .. } => {
                let faults: Vec<UpstreamFault> = self.active_faults(|fault| match fault {
                    SoakFault::Upstream { upstream: target, fault } if target == upstream => {
                        Some(fault)
                    }
                    _ => None,
                });
                let drain = self.upstreams[upstream].set_faults(&faults, &self.clock);
                if let Some((started_at, acknowledged_at)) = drain {
                    self.ledger.lock().record_drain(upstream, started_at, acknowledged_at);
                }
            }
            SoakFault::Process { .. } | SoakFault::Config(_) => {}
        }
    }

    fn link_faults(&self, link: FaultLink) -> Vec<LinkFault> {
        self.active_faults(|fault| match fault {
            SoakFault::Link { link: target, fault } if target == link => Some(fault),
            _ => None,
        })
    }

    fn active_faults<T>(&self, select: impl Fn(SoakFault) -> Option<T>) -> Vec<T> {
        self.active.iter().filter_map(|scheduled| select(scheduled.fault)).collect()
    }

    fn proxy(&self, link: FaultLink) -> Option<&stand::prelude::FaultProxy> {
        match link {
            FaultLink::Callers(vm) => self.vms[vm].proxies().map(|(caller_proxy, _)| caller_proxy),
            FaultLink::Store(vm) => self.vms[vm].proxies().map(|(_, store_proxy)| store_proxy),
            FaultLink::Upstream(upstream) => Some(&self.upstreams[upstream].proxy),
        }
    }
}

/// Returns the part that a fault disrupts, or `None` if it exempts no outcome from the promises.
fn disrupted_part(fault: SoakFault) -> Option<DisruptedPart> {
    match fault {
        SoakFault::Link { link, fault } => {
            let slow = matches!(fault, LinkFault::Delay { .. } | LinkFault::Narrow { .. });
            match link {
                // No promise makes an exception for slow connections of callers.
                FaultLink::Callers(vm) => (!slow).then_some(DisruptedPart::CallerLink(vm)),
                FaultLink::Store(vm) => Some(DisruptedPart::StoreLink(vm)),
                FaultLink::Upstream(upstream) if slow => Some(DisruptedPart::SlowLink(upstream)),
                FaultLink::Upstream(upstream) => Some(DisruptedPart::UpstreamLink(upstream)),
            }
        }
        SoakFault::Store(_) => Some(DisruptedPart::Store),
        SoakFault::Upstream {
            fault: UpstreamFault::Drain | UpstreamFault::Slow { .. }, ..
        } => None,
        SoakFault::Upstream { upstream, .. } => Some(DisruptedPart::Upstream(upstream)),
        SoakFault::Process { vm, fault: ProcessFault::Pause } => Some(DisruptedPart::Paused(vm)),
        SoakFault::Process { .. } | SoakFault::Config(_) => None,
    }
}

/// Returns whether a fault has only an instantaneous effect, whatever its scheduled duration.
fn is_instantaneous(fault: SoakFault) -> bool {
    matches!(
        fault,
        SoakFault::Link { fault: LinkFault::Reset | LinkFault::Silence, .. }
            | SoakFault::Store(StoreFault::HistoryDropped)
    )
}
