//! A TCP proxy that delays, cuts, silences or refuses connections by a [`ProxyPlan`], which can be
//! changed while it runs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::body::StandBody;
use crate::error::StandError;
use crate::plan::ANY_LOOPBACK;
use crate::port::{CutSignal, PortControl, StandPort};
use crate::relay::{Relay, RelayEnd};
use crate::signal::ChangeSignal;
use crate::web::{self, ConnectionCut};

/// The settings of a fault proxy. Absent fields take their defaults.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProxyPlan {
    /// The address for connections. Read at the start only.
    pub listen: SocketAddr,
    /// The address of the admin interface. Read at the start only.
    pub admin_listen: SocketAddr,
    /// The address to which new connections are relayed.
    pub target: SocketAddr,
    /// Seed of the jitter of new connections.
    pub seed: u64,
    /// Delay in each direction, in milliseconds.
    pub delay_ms: f64,
    /// The largest jitter in milliseconds. It is added to the delay, drawn for each chunk from a
    /// uniform distribution, and does not reorder chunks.
    pub jitter_ms: f64,
    /// The most bytes per second in each direction of each connection.
    pub bytes_per_second: Option<u64>,
    /// Resets a connection when it has relayed this many bytes in both directions together.
    pub cut_after_bytes: Option<u64>,
    /// Closes a connection, without a reset, when it has relayed this many bytes of answers.
    pub truncate_after_bytes: Option<u64>,
    /// The number of the next answers that are lost. The connection is reset when the first bytes
    /// of the answer arrive, so the request has been delivered.
    pub lose_next: u64,
    /// Refuses new connections. Open ones stay open.
    pub refuse: bool,
    /// Holds bytes back in one direction, on all connections, until the plan is changed.
    pub hold: Option<ProxyDirection>,
}

/// A direction of a proxied connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ProxyDirection {
    /// From callers to the target.
    ToTarget,
    /// From the target to callers.
    ToCaller,
}

impl Default for ProxyPlan {
    fn default() -> Self {
        Self {
            listen: ANY_LOOPBACK,
            admin_listen: ANY_LOOPBACK,
            target: ANY_LOOPBACK,
            seed: 0,
            delay_ms: 0.0,
            jitter_ms: 0.0,
            bytes_per_second: None,
            cut_after_bytes: None,
            truncate_after_bytes: None,
            lose_next: 0,
            refuse: false,
            hold: None,
        }
    }
}

/// Counters since the start of the proxy.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct ProxyCounts {
    /// Open connections, silent ones included.
    pub connections: u64,
    /// Connections relayed to the target.
    pub accepted: u64,
    /// Connections closed because the target could not be reached.
    pub unreachable: u64,
    /// Connections that the proxy reset as a fault, lost answers included.
    pub cut: u64,
    /// Connections that became silent.
    pub silenced: u64,
    /// Answers that were lost.
    pub lost_answers: u64,
    /// Connections closed by a truncation.
    pub truncated: u64,
    /// Bytes relayed to the target.
    pub bytes_to_target: u64,
    /// Bytes relayed to callers.
    pub bytes_to_caller: u64,
}

#[derive(Debug)]
struct ProxyState {
    plan: Arc<ProxyPlan>,
    counts: ProxyCounts,
    next_connection: u64,
}

/// The connections that become silent.
#[derive(Clone, Copy, Debug, Default)]
struct SilenceRule {
    /// Only connections with a lower number.
    below: u64,
    /// Only connections that have not relayed bytes for this time.
    idle: Duration,
}

/// Plan, counters and signals of a proxy, shared by its connections.
#[derive(Debug)]
pub(crate) struct ProxyCore {
    port: PortControl,
    changed: ChangeSignal,
    /// Which connections are silent.
    silence: watch::Sender<SilenceRule>,
    /// The direction in which bytes are held back.
    held: watch::Sender<Option<ProxyDirection>>,
    state: Mutex<ProxyState>,
}

impl ProxyCore {
    fn new(plan: ProxyPlan, port: PortControl) -> Arc<Self> {
        let state = ProxyState {
            plan: Arc::new(ProxyPlan::default()),
            counts: ProxyCounts::default(),
            next_connection: 0,
        };
        let core = Arc::new(Self {
            port,
            changed: ChangeSignal::default(),
            silence: watch::Sender::new(SilenceRule::default()),
            held: watch::Sender::new(None),
            state: Mutex::new(state),
        });
        core.update(|current| *current = plan);
        core
    }

    pub(crate) fn plan(&self) -> Arc<ProxyPlan> {
        self.state.lock().plan.clone()
    }

    pub(crate) fn count(&self, change: impl FnOnce(&mut ProxyCounts)) {
        change(&mut self.state.lock().counts);
        self.changed.announce();
    }

    /// Returns whether the answer whose first bytes arrived is lost, and counts it if so.
    pub(crate) fn loses_answer(&self) -> bool {
        {
            let mut guard = self.state.lock();
            let state = &mut *guard;
            if state.plan.lose_next == 0 {
                return false;
            }
            Arc::make_mut(&mut state.plan).lose_next -= 1;
            state.counts.lost_answers += 1;
        }
        self.changed.announce();
        true
    }

    fn update(&self, change: impl FnOnce(&mut ProxyPlan)) {
        let refuses = {
            let mut state = self.state.lock();
            let plan = Arc::make_mut(&mut state.plan);
            change(plan);
            self.held.send_replace(plan.hold);
            plan.refuse
        };
        if refuses {
            self.port.close();
        } else {
            self.port.open();
        }
    }

    /// Waits until the plan does not hold bytes back in a direction.
    pub(crate) async fn wait_until_released(&self, direction: ProxyDirection) {
        // An error means that the proxy has stopped, which closes its connections too.
        let _ = self.held.subscribe().wait_for(|held| *held != Some(direction)).await;
    }

    fn silence(&self, idle: Duration) {
        let below = self.state.lock().next_connection;
        self.silence.send_replace(SilenceRule { below, idle });
    }

    /// Returns the number of a new connection and the address of its target.
    fn register_connection(&self) -> (u64, SocketAddr) {
        let mut state = self.state.lock();
        let number = state.next_connection;
        state.next_connection += 1;
        (number, state.plan.target)
    }
}

/// A running fault proxy. It stops when it is dropped.
#[derive(Debug)]
pub struct FaultProxy {
    core: Arc<ProxyCore>,
    address: SocketAddr,
    admin_address: SocketAddr,
    tasks: JoinSet<()>,
}

impl FaultProxy {
    /// Starts a proxy in the current tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails if one of the two addresses cannot be bound.
    pub async fn start(plan: ProxyPlan) -> Result<Self, StandError> {
        let (port, control) = StandPort::open(plan.listen)?;
        let (admin_port, admin_control) = StandPort::open(plan.admin_listen)?;
        let (address, admin_address) = (port.address(), admin_port.address());
        let core = ProxyCore::new(plan, control);
        let mut tasks = JoinSet::new();
        let relay_core = core.clone();
        tasks.spawn(port.run(move |stream, cut| {
            tokio::spawn(relay_connection(relay_core.clone(), stream, cut));
        }));
        tasks.spawn(web::serve_port(admin_port, admin_control, core.clone(), administer));
        Ok(Self { core, address, admin_address, tasks })
    }

    /// Returns the address for connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the admin interface.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Returns the current plan.
    pub fn plan(&self) -> ProxyPlan {
        (*self.core.plan()).clone()
    }

    /// Replaces the plan, also for the open connections.
    pub fn set_plan(&self, plan: ProxyPlan) {
        self.core.update(|current| *current = plan);
    }

    /// Changes fields of the current plan.
    pub fn update(&self, change: impl FnOnce(&mut ProxyPlan)) {
        self.core.update(change);
    }

    /// Resets every connection.
    pub fn cut_all(&self) {
        self.core.port.cut();
    }

    /// Stops relaying bytes on the connections that are open now. They stay open, and later
    /// connections are not affected.
    pub fn silence_connections(&self) {
        self.core.silence(Duration::ZERO);
    }

    /// Stops relaying bytes on the open connections that have not relayed any for `idle`, as a
    /// network device does that forgets idle connections.
    pub fn silence_idle_connections(&self, idle: ClockSpan) {
        self.core.silence(idle.to_duration());
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> ProxyCounts {
        self.core.state.lock().counts.clone()
    }

    /// Waits until exactly `count` connections are open.
    pub async fn wait_for_connections(&self, count: u64) {
        self.wait_for(|counts| counts.connections == count).await;
    }

    /// Waits until the counters meet a condition.
    pub async fn wait_for(&self, condition: impl Fn(&ProxyCounts) -> bool) {
        let check = || condition(&self.core.state.lock().counts);
        self.core.changed.wait_until(check).await;
    }

    /// Waits until the proxy accepts connections (`listening`) or refuses them (`!listening`).
    pub async fn wait_listening(&self, listening: bool) {
        self.core.port.wait_listening(listening).await;
    }

    /// Stops and waits until the addresses are free for another listener. A child process that is
    /// being started at the same time holds copies of the listeners until its exec, so the
    /// addresses may be free a little later.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.core.port.close_and_cut();
    }
}

/// Counts a connection as open until it is dropped.
struct OpenGuard<'a>(&'a ProxyCore);

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        self.0.count(|counts| counts.connections -= 1);
    }
}

/// Relays one connection to the target until it ends or a fault ends it.
async fn relay_connection(core: Arc<ProxyCore>, mut caller: TcpStream, mut cut: CutSignal) {
    let (number, address) = core.register_connection();
    let seed = core.plan().seed.wrapping_add(number);
    let Ok(mut target) = TcpStream::connect(address).await else {
        core.count(|counts| counts.unreachable += 1);
        return;
    };
    let _ = target.set_nodelay(true);
    core.count(|counts| {
        counts.connections += 1;
        counts.accepted += 1;
    });
    let guard = OpenGuard(&core);
    let mut silence = core.silence.subscribe();
    let relay = Relay::new(&core, seed);
    let is_silent = |rule: &SilenceRule| number < rule.below && relay.idle() >= rule.idle;
    let end = tokio::select! {
        biased;
        () = cut.wait() => RelayEnd::Cut,
        _ = silence.wait_for(is_silent) => RelayEnd::Silent,
        end = relay.run(&mut caller, &mut target) => end,
    };
    match end {
        RelayEnd::Closed => {}
        RelayEnd::Truncated => core.count(|counts| counts.truncated += 1),
        RelayEnd::Failed => reset_streams(&caller, &target),
        RelayEnd::Cut => cut_connection(&core, &caller, &target),
        RelayEnd::Silent => {
            core.count(|counts| counts.silenced += 1);
            cut.wait().await;
            cut_connection(&core, &caller, &target);
        }
    }
    drop((caller, target));
    drop(guard);
}

/// Makes both streams end with a reset, instead of a close, when they are dropped.
fn reset_streams(caller: &TcpStream, target: &TcpStream) {
    // Setting the option fails on a stream that is already closed, which needs no reset.
    let _ = caller.set_zero_linger();
    let _ = target.set_zero_linger();
}

/// Resets both streams and counts the connection as cut.
fn cut_connection(core: &ProxyCore, caller: &TcpStream, target: &TcpStream) {
    reset_streams(caller, target);
    core.count(|counts| counts.cut += 1);
}

/// Answers a call on the admin port.
async fn administer(
    core: Arc<ProxyCore>,
    request: Request<Incoming>,
) -> Result<Response<StandBody>, ConnectionCut> {
    let (head, body) = request.into_parts();
    let Some(body) = web::read_all(body).await else { return Err(ConnectionCut) };
    Ok(match (&head.method, head.uri.path()) {
        (&Method::GET, "/admin/plan") => web::json(StatusCode::OK, &*core.plan()),
        (&Method::GET, "/admin/counts") => web::json(StatusCode::OK, &core.state.lock().counts),
        (&Method::POST, "/admin/plan") => {
            let mut outcome = Ok(());
            core.update(|plan| outcome = web::merge(plan, &body));
            web::changed(outcome)
        }
        (&Method::POST, "/admin/cut") => {
            core.port.cut();
            web::plain(StatusCode::OK, "cut")
        }
        (&Method::POST, "/admin/silence") => {
            core.silence(Duration::ZERO);
            web::plain(StatusCode::OK, "silent")
        }
        _ => web::plain(StatusCode::NOT_FOUND, "no such admin call"),
    })
}
