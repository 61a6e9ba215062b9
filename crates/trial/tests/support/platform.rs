//! A store stand-in, upstreams and one gateway with the interface of the users' platform.
#![allow(dead_code)]

use std::future::Future;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use base::prelude::*;
use bytes::Bytes;
use directory::prelude::*;
use http::{Method, Request, StatusCode};
use platform::PlatformCodec;
use platform::stand::{
    ServerStand, StoreStand, UpstreamWriter, answered_id, is_signed, set_call_headers, write_config,
};
use serde_json::json;
use stand::prelude::*;
use trial::prelude::*;
use world::prelude::*;

/// The host of all routes.
pub const HOST: &str = "desk.example";
/// The service of the routes that every configuration has.
pub const SERVICE: &str = "desk";
/// The data centre of all upstreams and gateways.
pub const CENTRE: &str = "medeu";
/// The path prefix of idempotent calls.
pub const LOOK: &str = "/look";
/// The path prefix of calls that must not run twice.
pub const BOOK: &str = "/book";
/// Longer than any test.
pub const LONG_SPAN: ClockSpan = ClockSpan::from_secs(600);
/// The time between SIGTERM and SIGKILL. Twice the longest timeout, because a gateway that shuts
/// down takes only calls whose timeout ends before that.
const STOP_LIMIT: ClockSpan = ClockSpan::from_secs(1_200);
/// The most upstreams that a call may reach.
pub const MAX_ATTEMPTS: u32 = 3;
/// The connections of an upstream, as in the users' services.
const UPSTREAM_CONNECTIONS: u32 = 220;
/// The limit of a request body in bytes, above any in these tests.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;
/// The bytes in the body of an ordinary answer.
const ANSWER_BYTES: u64 = 16;
/// Statuses which state that a call was not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// After this time, an event that a test waits for counts as missing, and the test fails. No other
/// result depends on it.
const EVENT_TIMEOUT: Duration = Duration::from_secs(60);
/// The interval between two requests for a state that can only be polled.
const POLL_PERIOD: Duration = Duration::from_millis(10);
/// Calls that fill the retry budget. With `RETRY_RATIO` and the share of a VM that has just
/// started, a tenth, they allow ten retries.
const BUDGET_FILL_CALLS: usize = 100;
/// The most calls until one reaches a given upstream. With two upstreams of the same cost, the
/// chance that all go to the other one is below 1 in 10^60.
pub const MAX_REACH_CALLS: usize = 200;
/// The longest interval in which the gateway updates the gauge of its connections.
const GAUGE_PERIOD: ClockSpan = ClockSpan::from_millis(600);
/// The highest retry ratio that the settings allow.
const RETRY_RATIO: f64 = 1.0;
/// The retries in a window on top of the ratio, as in section 1.2 of docs/platform-deployment.md.
pub const RETRY_SLACK: f64 = 58.0;
/// The window of the retry budget in milliseconds, longer than any test, so that all calls of a
/// test count.
const RETRY_WINDOW_MS: u64 = 3_600_000;
/// Health checks of an upstream per second, the most that the settings allow, because one VM gets
/// only a small part of them.
const CHECKS_PER_SECOND: f64 = 10_000.0;
/// How many milliseconds after SIGTERM the gateway accepts connections. Far longer than the few
/// milliseconds in which the test opens its connection.
pub const LEAVE_MS: u64 = 5_000;

/// Waits for a future, and panics if it takes longer than the limit for events.
pub async fn await_event<T>(what: &str, future: impl Future<Output = T>) -> T {
    let output = tokio::time::timeout(EVENT_TIMEOUT, future).await;
    output.unwrap_or_else(|_| panic!("timed out while waiting for: {what}"))
}

/// Polls until a condition is met.
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    await_event(what, async {
        while !condition().await {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    })
    .await;
}

/// Names of mechanisms that are turned off.
pub type DisabledList = &'static [&'static str];

/// The parameters of a [`PlatformEnvironment`].
#[derive(Clone, Debug)]
pub struct EnvironmentPlan {
    /// Upstreams of the service.
    pub upstreams: usize,
    /// The plan of each upstream; the name is replaced.
    pub upstream: UpstreamPlan,
    /// The timeout of the routes.
    pub timeout: ClockSpan,
    /// The promised latency of the routes.
    pub objective: ClockSpan,
    /// Whether the gateway may check upstreams.
    pub checks: bool,
    /// Faults of the store from the start.
    pub store_faults: Vec<RowFault>,
    /// The retries that reach a service per call, over all gateways.
    pub retry_ratio: f64,
    /// The mechanisms that are turned off in the gateways.
    pub disabled: DisabledList,
}

impl Default for EnvironmentPlan {
    fn default() -> Self {
        let upstream = UpstreamPlan {
            answer_bytes: ANSWER_BYTES,
            record_requests: true,
            ends_with_caller: true,
            ..UpstreamPlan::default()
        };
        Self {
            upstreams: 2,
            upstream,
            timeout: LONG_SPAN,
            objective: LONG_SPAN,
            checks: true,
            store_faults: Vec::new(),
            retry_ratio: RETRY_RATIO,
            disabled: &[],
        }
    }
}

impl EnvironmentPlan {
    /// Returns the settings of a gateway.
    fn settings(&self, store: &StoreStand) -> GateSettings {
        let arguments = self.disabled.iter().flat_map(|name| ["--without", name]);
        let arguments = arguments.map(str::to_owned).collect();
        let mut settings = GateSettings { arguments, ..gate_settings(store, self.checks) };
        settings.fleet["retry_ratio"] = self.retry_ratio.into();
        settings
    }
}

/// An upstream and the writer of its row.
#[derive(Debug)]
pub struct RegisteredUpstream {
    pub server: ServerStand,
    pub writer: UpstreamWriter,
}

/// The records of one request at all upstreams together.
#[derive(Clone, Debug, Default)]
pub struct RequestHistory {
    /// How many times the request was run.
    pub runs: u32,
    /// The most runs at one upstream.
    pub max_runs_at_one: u32,
    /// How many times the request arrived.
    pub arrived: u32,
    /// The time to the deadline at each arrival, in milliseconds.
    pub remaining_ms: Vec<u64>,
    /// The bodies that arrived completely.
    pub bodies: Vec<BodyRecord>,
    /// For each run whose caller closed the connection, how long it had run, in milliseconds.
    pub abandoned_ms: Vec<f64>,
}

/// The expected end of a call.
#[derive(Clone, Debug)]
pub struct ExpectedEnd {
    /// The statuses that the caller may get; 0 stands for an incomplete or missing answer.
    pub statuses: &'static [u16],
    /// How many times the upstreams may run the request.
    pub runs: RangeInclusive<u32>,
}

impl ExpectedEnd {
    /// A call that runs once and succeeds.
    pub const SERVED: Self = Self { statuses: &[200], runs: 1..=1 };
    /// A call that is refused with 503 and not run.
    pub const REFUSED: Self = Self { statuses: &[503], runs: 0..=0 };
    /// A call for which there is no route.
    pub const NO_ROUTE: Self = Self { statuses: &[404], runs: 0..=0 };
}

/// A store stand-in, upstreams and one gateway.
pub struct PlatformEnvironment {
    pub store: StoreStand,
    pub upstreams: Vec<RegisteredUpstream>,
    pub gate: GateProcess,
    pub client: TestClient,
    config: ConfigEntry,
    plan: EnvironmentPlan,
}

impl PlatformEnvironment {
    /// Starts everything and waits until the gateway is ready.
    pub async fn start(plan: EnvironmentPlan) -> Self {
        let env = Self::start_unready(plan).await;
        env.wait_for_readiness(true).await;
        env
    }

    /// Starts everything and does not wait for the gateway.
    pub async fn start_unready(plan: EnvironmentPlan) -> Self {
        let rows = RowPlan { faults: plan.store_faults.clone(), ..RowPlan::default() };
        let store = StoreStand::start(rows).await.expect("a store");
        let config = config(&plan);
        write_config(&store.handle(), &config);
        let mut upstreams = Vec::new();
        for _ in 0..plan.upstreams {
            let name = format!("{SERVICE}-{}", upstreams.len());
            upstreams.push(register_upstream(&store, &name, SERVICE, &plan.upstream).await);
        }
        let gate = GateProcess::start_from_platform(&plan.settings(&store)).expect("a gateway");
        Self { store, upstreams, gate, client: TestClient::default(), config, plan }
    }

    /// Replaces the gateway by a new one that reaches the store through a proxy, and waits until
    /// that is ready. Returns the proxy and the previous gateway.
    pub async fn replace_gate(&mut self, vm_name: &str) -> (FaultProxy, GateProcess) {
        self.replace_gate_with(vm_name, Vec::new()).await
    }

    /// Replaces the gateway as [`Self::replace_gate`] does, with the control addresses of VMs that
    /// the new one asks for the others.
    pub async fn replace_gate_with(
        &mut self,
        vm_name: &str,
        peer_seeds: Vec<SocketAddr>,
    ) -> (FaultProxy, GateProcess) {
        let plan = ProxyPlan { target: self.store.address(), ..ProxyPlan::default() };
        let proxy = FaultProxy::start(plan).await.expect("a proxy");
        let settings = GateSettings {
            vm_name: vm_name.to_owned(),
            peer_seeds,
            platform_address: proxy.address(),
            // Logs also the upstreams that are added and removed.
            log_level: "info",
            ..self.plan.settings(&self.store)
        };
        let gate = GateProcess::start_from_platform(&settings).expect("a gateway");
        let previous = std::mem::replace(&mut self.gate, gate);
        self.wait_for_readiness(true).await;
        (proxy, previous)
    }

    /// Waits until the readiness of the gateway is `ready`.
    pub async fn wait_for_readiness(&self, ready: bool) {
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        wait_until("readiness changes", async || self.readiness().await == Some(status)).await;
    }

    /// Returns the status of the readiness path, or `None` if there is no answer.
    pub async fn readiness(&self) -> Option<StatusCode> {
        let answer = self.client.get(self.gate.metrics_address, "metrics", "/ready").await;
        answer.ok().map(|answer| answer.status)
    }

    /// Waits until the gateway reports at most as many connections as its upstreams have open, and
    /// so has detected those that were closed.
    pub async fn wait_for_closed(&self) {
        // The gauge may hold an older value until its next update.
        tokio::time::sleep(GAUGE_PERIOD.to_duration()).await;
        wait_until("the gateway has detected closed connections", async || {
            let open = self.upstreams.iter().map(|upstream| upstream.server.counts().connections);
            let open = open.sum::<u64>();
            self.connections().await.is_some_and(|reported| reported <= open)
        })
        .await;
    }

    /// Returns the number of the gateway's connections to upstreams, from its metrics.
    async fn connections(&self) -> Option<u64> {
        self.metric("agateroad_upstream_connections{").await
    }

    /// Waits until the gateway knows `vms` VMs, itself included.
    pub async fn wait_for_vms(&self, vms: u64) {
        let known = async || self.metric("agateroad_known_vms ").await == Some(vms);
        wait_until("the VMs know each other", known).await;
    }

    /// Returns the sum of the metrics whose lines begin with `start`.
    async fn metric(&self, start: &str) -> Option<u64> {
        let answer =
            self.client.get(self.gate.metrics_address, "metrics", "/metrics").await.ok()?;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let lines = text.lines().filter(|line| line.starts_with(start));
        lines.map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum()
    }

    /// Makes a call with a request id.
    pub async fn call(&self, path: &str, id: &str) -> Result<CallAnswer, String> {
        let method = if path.starts_with(BOOK) { Method::POST } else { Method::GET };
        let request = request(method, path, id, None, ());
        let (head, ()) = request.into_parts();
        let headers: Vec<(&str, &str)> = head
            .headers
            .iter()
            .filter(|(name, _)| *name != http::header::HOST)
            .map(|(name, value)| (name.as_str(), value.to_str().expect("a text")))
            .collect();
        let address = self.gate.caller_address;
        await_event(
            path,
            self.client.call(head.method, address, HOST, path, &headers, Bytes::new()),
        )
        .await
    }

    /// Makes calls that fill the retry budget.
    pub async fn fill_retry_budget(&self, case: &str) {
        // If the test machine stalls, a call can count as slow and is sent to a second upstream.
        let end = ExpectedEnd { runs: 1..=2, ..ExpectedEnd::SERVED };
        for index in 0..BUDGET_FILL_CALLS {
            self.call_and_check(LOOK, &format!("budget-{index}"), &end).await.expect(case);
        }
    }

    /// Returns the records of a request at all upstreams.
    pub fn history(&self, id: &str) -> RequestHistory {
        let mut history = RequestHistory::default();
        for upstream in &self.upstreams {
            let record = upstream.server.counts().request_record(id);
            history.runs += record.runs;
            history.max_runs_at_one = history.max_runs_at_one.max(record.runs);
            history.arrived += record.arrived;
            history.remaining_ms.extend(record.remaining_ms);
            history.bodies.extend(record.bodies);
            history.abandoned_ms.extend(record.abandoned_ms);
        }
        history
    }

    /// Makes a call and checks how it ended.
    ///
    /// # Errors
    ///
    /// Returns a text that says what differs.
    pub async fn call_and_check(
        &self,
        path: &str,
        id: &str,
        end: &ExpectedEnd,
    ) -> Result<(), String> {
        let answer = self.call(path, id).await;
        self.check(path, id, &answer, end)
    }

    /// Makes calls to routes of both kinds and requires that each runs once and succeeds.
    pub async fn serve_calls(&self, series: &str, calls: usize) {
        for index in 0..calls {
            let path = if index % 2 == 0 { LOOK } else { BOOK };
            let id = format!("{series}-{index}");
            self.call_and_check(path, &id, &ExpectedEnd::SERVED).await.expect("the call is served");
        }
    }

    /// Checks how a call ended.
    ///
    /// # Errors
    ///
    /// Returns a text that says what differs.
    pub fn check(
        &self,
        path: &str,
        id: &str,
        answer: &Result<CallAnswer, String>,
        end: &ExpectedEnd,
    ) -> Result<(), String> {
        let history = self.history(id);
        let status = answer.as_ref().map_or(0, |answer| answer.status.as_u16());
        let require = |holds: bool, what: &str| {
            let body_start =
                answer.as_ref().map(|answer| answer.body.slice(..answer.body.len().min(99)));
            if holds {
                Ok(())
            } else {
                Err(format!("{what} of {id}: {status} {body_start:?}, {history:?}"))
            }
        };
        require(end.statuses.contains(&status), "status")?;
        require(end.runs.contains(&history.runs), "runs")?;
        require(history.max_runs_at_one <= 1, "runs at one upstream")?;
        require(history.arrived <= MAX_ATTEMPTS, "arrivals")?;
        require(
            !NOT_RUN_STATUSES.contains(&status) || history.runs == 0,
            "runs in spite of the status",
        )?;
        let longest = self.plan.timeout.as_millis();
        require(
            history.remaining_ms.iter().all(|remaining| *remaining <= longest),
            "remaining time",
        )?;
        let Ok(answer) = answer else { return Ok(()) };
        require(answered_id(&answer.headers) == Some(id), "id")?;
        require(status != 503 || !answer.header("retry-after").is_empty(), "time to retry")?;
        if status == 200 {
            require(is_signed(&answer.headers), "signature")?;
            require(answer.header("x-test-nonce") == id, "nonce")?;
            require(is_complete(path, &answer.body), "body")?;
        }
        Ok(())
    }

    /// Adds an upstream of a service and waits until the gateway knows it.
    pub async fn add_upstream(&mut self, name: &str, service: &str) -> &RegisteredUpstream {
        self.upstreams
            .push(register_upstream(&self.store, name, service, &self.plan.upstream).await);
        self.wait_for_rows(self.store.handle().version()).await;
        &self.upstreams[self.upstreams.len() - 1]
    }

    /// Makes calls until one reaches an upstream.
    pub async fn call_until_reached(&self, upstream: &RegisteredUpstream, series: &str) {
        let before = upstream.server.counts().arrived;
        for index in 0..MAX_REACH_CALLS {
            let id = format!("{series}-{index}");
            self.call_and_check(LOOK, &id, &ExpectedEnd::SERVED).await.expect("the call is served");
            if upstream.server.counts().arrived > before {
                return;
            }
        }
        panic!("no call of {MAX_REACH_CALLS} reached the upstream");
    }

    /// Writes a changed configuration under a new version and waits until the gateway has read it.
    pub async fn configure(&mut self, change: impl FnOnce(&mut ConfigEntry)) {
        change(&mut self.config);
        // Versions need not grow in steps of 1.
        self.config.version += 3;
        self.write_config(&self.config).await;
    }

    /// Writes a configuration and waits until the gateway has read it.
    pub async fn write_config(&self, config: &ConfigEntry) {
        let version = write_config(&self.store.handle(), config);
        self.wait_for_version(PlatformCodec::CONFIG_TABLE, version).await;
    }

    /// Returns the configuration that was last changed by [`Self::configure`].
    pub fn config(&self) -> &ConfigEntry {
        &self.config
    }

    /// Replaces the faults of the store.
    pub fn fail_store(&self, faults: Vec<RowFault>) {
        self.store.update(|plan| plan.faults = faults);
    }

    /// Waits until the gateway has applied the upstreams' rows up to a version of the store.
    pub async fn wait_for_rows(&self, version: u64) {
        self.wait_for_version(PlatformCodec::UPSTREAM_TABLE, version).await;
    }

    async fn wait_for_version(&self, table: &str, version: u64) {
        let followed = self.store.wait_for(|counts| counts.followed(table) >= version);
        await_event("the gateway has a version", followed).await;
    }
}

/// Returns a route to one service.
pub fn route(name: &str, path: &str, service: &str, plan: &EnvironmentPlan) -> CallRoute {
    CallRoute {
        name: name.into(),
        host: HOST.into(),
        path_prefix: path.into(),
        idempotent: path != BOOK,
        class: WorkClass::Urgent,
        timeout: plan.timeout,
        objective: plan.objective,
        attempts: MAX_ATTEMPTS,
        targets: vec![RouteTarget { service: service.into(), weight: 1.0 }],
    }
}

/// Returns a service.
pub fn service(name: &str) -> ServiceEntry {
    ServiceEntry {
        name: name.into(),
        health_path: "/health".into(),
        connections: UPSTREAM_CONNECTIONS,
    }
}

fn is_complete(path: &str, body: &[u8]) -> bool {
    let length = path.strip_prefix("/bytes/").and_then(|text| text.parse().ok());
    body.len() as u64 == length.unwrap_or(ANSWER_BYTES) && body.iter().all(|byte| *byte == b'a')
}

fn config(plan: &EnvironmentPlan) -> ConfigEntry {
    ConfigEntry {
        version: 1,
        routes: vec![
            route("look", LOOK, SERVICE, plan),
            route("book", BOOK, SERVICE, plan),
            route("bytes", "/bytes", SERVICE, plan),
        ],
        services: vec![service(SERVICE)],
        caller_limits: CallerLimits { body_bytes: MAX_BODY_BYTES },
    }
}

/// Returns the entry of an upstream.
pub fn upstream_entry(name: &str, service: &str, address: SocketAddr, slots: u32) -> UpstreamEntry {
    let server = UpstreamServer {
        name: name.into(),
        service: service.into(),
        centre: CENTRE.into(),
        address,
        slots,
        connections: 0,
        incarnation: 1,
        warm_up: ClockSpan::ZERO,
    };
    UpstreamEntry { server, draining: false }
}

async fn register_upstream(
    store: &StoreStand,
    name: &str,
    service: &str,
    plan: &UpstreamPlan,
) -> RegisteredUpstream {
    let plan = UpstreamPlan { name: name.into(), ..plan.clone() };
    let slots = plan.slots;
    let server = ServerStand::start_with_dialect(plan).await.expect("an upstream");
    let entry = upstream_entry(name, service, server.address(), slots);
    RegisteredUpstream { server, writer: UpstreamWriter::start(store.handle(), entry) }
}

/// Returns the settings of a gateway.
pub fn gate_settings(store: &StoreStand, checks: bool) -> GateSettings {
    GateSettings {
        interface: "platform",
        centre: CENTRE,
        platform_address: store.address(),
        workers: 1,
        timeouts: json!({
            "body_idle_ms": LONG_SPAN.as_millis(),
            "leave_ms": LEAVE_MS,
            "platform_ms": 500,
        }),
        fleet: json!({
            "retry_ratio": RETRY_RATIO,
            "retry_slack": RETRY_SLACK,
            "retry_window_ms": RETRY_WINDOW_MS,
            "probe_rate": if checks { CHECKS_PER_SECOND } else { 0.0 },
            "stop_limit_ms": STOP_LIMIT.as_millis(),
        }),
        ..GateSettings::default()
    }
}

/// Returns a caller's request.
pub fn request<B>(
    method: Method,
    path: &str,
    id: &str,
    remaining: Option<ClockSpan>,
    body: B,
) -> Request<B> {
    let mut request = Request::new(body);
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().expect("a path");
    let headers = request.headers_mut();
    headers.insert(http::header::HOST, HOST.parse().expect("a host"));
    headers.insert("x-test-nonce", id.parse().expect("a nonce"));
    set_call_headers(headers, id, remaining);
    request
}

/// Opens a connection to a gateway.
pub async fn open(address: SocketAddr) -> CallerConnection {
    CallerConnection::open(address).await.expect("the gateway accepts connections")
}
