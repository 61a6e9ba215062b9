//! The gateway VMs of a run and their processes.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use http::StatusCode;
use parking_lot::Mutex;
use serde_json::json;
use stand::prelude::*;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use trial::prelude::*;

use crate::disruption::DisruptedPart;
use crate::error::SoakError;
use crate::fault::LinkFault;
use crate::ledger::{Ledger, ProcessId};
use crate::setup::{CENTRE, set_link_faults};

/// The time for which connections are accepted after SIGTERM, in milliseconds. The users' load
/// balancer takes 2 s to react; runs have no load balancer, and a shorter time allows more stops.
const DRAIN_DELAY_MS: u64 = 1_000;
/// The time from SIGTERM to SIGKILL on the users' platform, in milliseconds.
const STOP_LIMIT_MS: u64 = 6_000;
/// The time after SIGTERM after which a process counts as hung. More than twice `STOP_LIMIT_MS`,
/// for a busy machine.
const EXIT_TIMEOUT: ClockSpan = ClockSpan::from_secs(15);
/// Retries for each call: the most that the settings allow. A process that has just started uses a
/// tenth of it, and most processes of a run have just started. With the 0.2 of the users' platform,
/// hardly any call is retried.
const RETRY_RATIO: f64 = 1.0;
/// The additional retries in each window, as on the users' platform.
const RETRY_SLACK: u64 = 58;
/// The length of the retry window in milliseconds, as on the users' platform.
const RETRY_WINDOW_MS: u64 = 10_000;
/// The health checks of each upstream in a second, as on the users' platform.
const PROBE_RATE: f64 = 60.0;
/// The drain limit in the settings in milliseconds, as on the users' platform.
const DRAIN_LIMIT_MS: u64 = 2_000;
/// The timeout of a call to the store in milliseconds. A third of the value in the template of the
/// settings, so that several calls fail within one fault.
const STORE_TIMEOUT_MS: u64 = 500;
/// The time between two requests for the readiness of a process.
const READY_POLL_PERIOD: Duration = Duration::from_millis(50);

/// A process that accepts calls, and its address.
#[derive(Clone, Copy, Debug)]
pub struct CallerTarget {
    /// The process.
    pub process: ProcessId,
    /// The address of the proxy in front of it.
    pub address: std::net::SocketAddr,
}

/// A gateway process, with a fault proxy between it and its callers and another one between it and
/// the store.
#[derive(Debug)]
struct ProxiedGateway {
    id: ProcessId,
    gate: GateProcess,
    caller_proxy: FaultProxy,
    store_proxy: FaultProxy,
}

#[derive(Debug)]
enum VmState {
    /// There is no process. The next one starts at `until`.
    Down { until: ClockTime },
    /// A process is being started.
    Starting { start_task: JoinHandle<Result<GateProcess, TrialError>>, store_proxy: FaultProxy },
    /// A process is running.
    Up(ProxiedGateway),
    /// A process got SIGTERM. The next one starts `restart_after` after its exit.
    Stopping { gateway: ProxiedGateway, signalled_at: ClockTime, restart_after: ClockSpan },
}

/// A VM that runs one gateway process at a time.
#[derive(Debug)]
pub struct SoakVm {
    index: usize,
    settings: GateSettings,
    state: VmState,
    start_count: u32,
    reload_count: u64,
    target: watch::Sender<Option<CallerTarget>>,
    ledger: Arc<Mutex<Ledger>>,
    clock: RealClock,
    /// Caller proxies of processes that have exited, which may still be delivering answers.
    ended_proxies: Vec<FaultProxy>,
}

impl SoakVm {
    /// Returns a VM whose process is started by the next poll.
    pub fn new(
        index: usize,
        store_address: std::net::SocketAddr,
        disabled: Option<&str>,
        ledger: Arc<Mutex<Ledger>>,
        clock: RealClock,
    ) -> Self {
        let arguments = disabled.iter().flat_map(|name| ["--without", name]).map(str::to_owned);
        let settings = GateSettings {
            vm_name: format!("vm-{index}"),
            interface: "platform",
            centre: CENTRE,
            platform_address: store_address,
            workers: 1,
            timeouts: json!({ "leave_ms": DRAIN_DELAY_MS, "platform_ms": STORE_TIMEOUT_MS }),
            fleet: fleet(RETRY_SLACK),
            arguments: arguments.collect(),
            ..GateSettings::default()
        };
        ledger.lock().disruptions.begin(DisruptedPart::Starting(index), clock.now());
        let state = VmState::Down { until: ClockTime::ZERO };
        let target = watch::Sender::new(None);
        let ended_proxies = Vec::new();
        Self {
            index,
            settings,
            state,
            start_count: 0,
            reload_count: 0,
            target,
            ledger,
            clock,
            ended_proxies,
        }
    }

    /// Returns the process that accepts calls, or `None` while there is none.
    pub fn target(&self) -> watch::Receiver<Option<CallerTarget>> {
        self.target.subscribe()
    }

    /// Returns whether there is no process.
    pub fn is_down(&self) -> bool {
        matches!(self.state, VmState::Down { .. })
    }

    /// Returns the caller proxy and the store proxy of the present process.
    pub fn proxies(&self) -> Option<(&FaultProxy, &FaultProxy)> {
        match &self.state {
            VmState::Up(gateway) | VmState::Stopping { gateway, .. } => {
                Some((&gateway.caller_proxy, &gateway.store_proxy))
            }
            _ => None,
        }
    }

    /// Records the exit of the process, and starts a new one if it is time. `caller_faults` and
    /// `store_faults` are applied to the links of a new process.
    ///
    /// # Errors
    ///
    /// Fails if a process or a proxy does not start.
    pub async fn poll(
        &mut self,
        caller_faults: &[LinkFault],
        store_faults: &[LinkFault],
    ) -> Result<(), SoakError> {
        let now = self.clock.now();
        match &mut self.state {
            VmState::Down { until } if now >= *until => self.start(store_faults).await,
            VmState::Starting { start_task, .. } if start_task.is_finished() => {
                self.finish_start(caller_faults).await
            }
            VmState::Up(gateway) => {
                if let Some(success) = gateway.gate.process.exit_success() {
                    self.ledger.lock().record_exit(gateway.id, success);
                    self.set_down(ClockSpan::ZERO);
                }
                Ok(())
            }
            VmState::Stopping { gateway, signalled_at, restart_after } => {
                let restart_after = *restart_after;
                if let Some(success) = gateway.gate.process.exit_success() {
                    self.ledger.lock().record_exit(gateway.id, success);
                    self.set_down(restart_after);
                } else if now.since(*signalled_at) > EXIT_TIMEOUT {
                    self.ledger.lock().record_no_exit(gateway.id);
                    self.kill(restart_after);
                }
                Ok(())
            }
            _ => Ok(()),
        }
    }

    async fn start(&mut self, faults: &[LinkFault]) -> Result<(), SoakError> {
        let plan = ProxyPlan { target: self.settings.platform_address, ..ProxyPlan::default() };
        let store_proxy = FaultProxy::start(plan).await?;
        set_link_faults(&store_proxy, faults);
        let settings =
            GateSettings { platform_address: store_proxy.address(), ..self.settings.clone() };
        let start_task =
            tokio::task::spawn_blocking(move || GateProcess::start_from_platform(&settings));
        self.state = VmState::Starting { start_task, store_proxy };
        Ok(())
    }

    async fn finish_start(&mut self, faults: &[LinkFault]) -> Result<(), SoakError> {
        let placeholder = VmState::Down { until: ClockTime::MAX };
        let VmState::Starting { start_task, store_proxy } =
            std::mem::replace(&mut self.state, placeholder)
        else {
            return Ok(());
        };
        let gate = start_task.await??;
        let plan = ProxyPlan { target: gate.caller_address, ..ProxyPlan::default() };
        let caller_proxy = FaultProxy::start(plan).await?;
        set_link_faults(&caller_proxy, faults);
        self.start_count += 1;
        let id = ProcessId { vm: self.index, incarnation: self.start_count };
        let target = CallerTarget { process: id, address: caller_proxy.address() };
        self.target.send_replace(Some(target));
        tokio::spawn(record_ready(
            gate.metrics_address,
            target,
            self.target.subscribe(),
            Arc::clone(&self.ledger),
            self.clock,
        ));
        self.state = VmState::Up(ProxiedGateway { id, gate, caller_proxy, store_proxy });
        Ok(())
    }

    /// Sends SIGTERM to the process, unless it is stopping already. The next one starts
    /// `restart_after` after its exit.
    pub fn stop(&mut self, restart_after: ClockSpan) {
        let placeholder = VmState::Down { until: ClockTime::MAX };
        self.state = match std::mem::replace(&mut self.state, placeholder) {
            VmState::Up(gateway) => {
                let signalled_at = self.clock.now();
                self.ledger.lock().record_stop(gateway.id, signalled_at);
                gateway.gate.process.signal(Signal::TERM);
                VmState::Stopping { gateway, signalled_at, restart_after }
            }
            other => other,
        };
    }

    /// Stops the process and starts no further ones.
    pub fn stop_for_good(&mut self) {
        self.stop(ClockSpan::MAX);
        match &mut self.state {
            VmState::Stopping { restart_after, .. } => *restart_after = ClockSpan::MAX,
            VmState::Down { until } => *until = ClockTime::MAX,
            _ => {}
        }
    }

    /// Kills the process. The next one starts `restart_after` later.
    pub fn kill(&mut self, restart_after: ClockSpan) {
        if let VmState::Up(gateway) | VmState::Stopping { gateway, .. } = &mut self.state {
            self.ledger.lock().record_kill(gateway.id);
            gateway.gate.process.kill();
            self.set_down(restart_after);
        }
    }

    /// Suspends the process, or continues it.
    pub fn pause(&self, paused: bool) {
        self.signal(if paused { Signal::STOP } else { Signal::CONT });
    }

    /// Changes the settings and sends SIGHUP, so that the process reads them.
    ///
    /// # Errors
    ///
    /// Fails if the settings cannot be written.
    pub fn reload_settings(&mut self) -> Result<(), SoakError> {
        self.reload_count += 1;
        if let VmState::Up(gateway) = &self.state {
            let fleet = fleet(RETRY_SLACK - self.reload_count % 2);
            let platform_address = gateway.store_proxy.address();
            gateway.gate.change_settings(&GateSettings {
                fleet,
                platform_address,
                ..self.settings.clone()
            })?;
            self.signal(Signal::HUP);
        }
        Ok(())
    }

    fn signal(&self, signal: Signal) {
        if let VmState::Up(gateway) | VmState::Stopping { gateway, .. } = &self.state {
            gateway.gate.process.signal(signal);
        }
    }

    fn set_down(&mut self, restart_after: ClockSpan) {
        let now = self.clock.now();
        let until =
            if restart_after == ClockSpan::MAX { ClockTime::MAX } else { now + restart_after };
        let state = VmState::Down { until };
        if let VmState::Up(gateway) | VmState::Stopping { gateway, .. } =
            std::mem::replace(&mut self.state, state)
        {
            self.ended_proxies.push(gateway.caller_proxy);
        }
        self.target.send_replace(None);
        self.ledger.lock().disruptions.begin(DisruptedPart::Starting(self.index), now);
    }
}

fn fleet(slack: u64) -> serde_json::Value {
    json!({
        "retry_ratio": RETRY_RATIO,
        "retry_slack": slack,
        "retry_window_ms": RETRY_WINDOW_MS,
        "probe_rate": PROBE_RATE,
        "drain_ms": DRAIN_LIMIT_MS,
        "stop_limit_ms": STOP_LIMIT_MS,
    })
}

/// Polls the readiness of a process and records the end of its start once it is ready or has
/// exited.
async fn record_ready(
    address: std::net::SocketAddr,
    watched_target: CallerTarget,
    target: watch::Receiver<Option<CallerTarget>>,
    ledger: Arc<Mutex<Ledger>>,
    clock: RealClock,
) {
    let client = TestClient::default();
    let part = DisruptedPart::Starting(watched_target.process.vm);
    while target.borrow().is_some_and(|now| now.process == watched_target.process) {
        let answer = client.get(address, "metrics", "/ready").await;
        if answer.is_ok_and(|answer| answer.status == StatusCode::OK) {
            ledger.lock().disruptions.end(part, clock.now());
            return;
        }
        tokio::time::sleep(READY_POLL_PERIOD).await;
    }
    // The process exited before it was ready; the start of the next one is recorded separately.
    ledger.lock().disruptions.end(part, clock.now());
}
