//! Stand-ins for the scripts in `review/`: the platform's store, upstreams, clients, and the start of
//! gateways with the template of `deploy/`. Loopback addresses only. The words of the platform's
//! protocol come from the project's own stand-ins in `platform/`.

use std::collections::{HashMap, HashSet};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use base::prelude::*;
use directory::prelude::*;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use platform::PlatformCodec;
use platform::stand::{ServerDialect, StoreStand, config_value, upstream_value};
use stand::dialect::{AnswerFate, AnswerFields, LoadSample, UpstreamDialect};
use stand::prelude::{RowHandle, RowPath, RowPlan};
use stand::slot::LoadFigures;
use tokio::runtime::Runtime;
use world::prelude::*;

pub const HEARTBEAT: Duration = Duration::from_millis(1500);

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

// ---------------------------------------------------------------------------------------------
// Record

/// The record of the script, in which clients note what they send.
static RECORD: OnceLock<Arc<Record>> = OnceLock::new();

/// Writes `record.txt`: what was sent, answered and run.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(folder: &str) -> Arc<Self> {
        let path = PathBuf::from(folder).join("record.txt");
        let file = File::create(path).unwrap_or_else(|error| cannot_run(&format!("record: {error}")));
        let record = Arc::new(Self { start: Instant::now(), file: Mutex::new(file) });
        RECORD.get_or_init(|| Arc::clone(&record));
        record
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }

    /// Records and prints a line.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// Ends the script because the case could not run. Gateways end with their guards or the watchdog.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    kill_all();
    std::process::exit(2)
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The processes that have not ended yet.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all processes and waits until they have ended.
fn kill_all() {
    for mut child in CHILDREN.lock().unwrap().drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
}

pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("sh").arg("-c").arg(format!("kill -{name} {pid} 2>/dev/null")).status();
}

/// Ends all processes of the script and exits.
pub fn finish(code: i32) -> ! {
    kill_all();
    std::process::exit(code)
}

/// Ends the script after 115 s in any case.
pub fn start_watchdog() {
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(115));
        cannot_run("it took longer than 115 s");
    });
}

/// Returns an address whose port is free for TCP and UDP, below the ports that the system gives to
/// outgoing connections.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let base = std::process::id() as usize * 64;
    for _ in 0..15000 {
        let port = 12000 + (base + NEXT.fetch_add(1, Ordering::SeqCst)) % 15000;
        let address: SocketAddr = format!("127.0.0.1:{port}").parse().unwrap();
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    cannot_run("no port is free")
}

/// Binds an address that another listener of this script may just be leaving.
fn bind(address: SocketAddr) -> TcpListener {
    for _ in 0..200 {
        match TcpListener::bind(address) {
            Ok(listener) => return listener,
            Err(_) => thread::sleep(ms(5)),
        }
    }
    cannot_run(&format!("{address} is not free"))
}

// ---------------------------------------------------------------------------------------------
// HTTP/1.1

#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    fn headers(&self) -> HeaderMap {
        let fields = self.fields.iter().map(|(name, value)| (name.parse(), value.parse()));
        fields.filter_map(|(name, value): (Result<HeaderName, _>, Result<HeaderValue, _>)| name.ok().zip(value.ok())).collect()
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// A connection and the bytes that were read ahead.
pub struct Wire {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, ahead: Vec::new() }
    }

    /// Reads a head. `Ok(None)`: the connection ended before its first byte.
    pub fn read_head(&mut self) -> std::io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.ahead.windows(4).position(|window| window == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
                self.ahead.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or("").to_owned();
                let fields = lines.filter_map(|line| line.split_once(':'));
                let fields = fields.map(|(k, v)| (k.trim().to_owned(), v.trim().to_owned()));
                return Ok(Some(Head { first, fields: fields.collect() }));
            }
            if self.fill()? == 0 {
                if self.ahead.is_empty() {
                    return Ok(None);
                }
                return Err(std::io::Error::other("ended within a head"));
            }
        }
    }

    fn fill(&mut self) -> std::io::Result<usize> {
        let mut part = [0; 16384];
        let count = self.stream.read(&mut part)?;
        self.ahead.extend_from_slice(&part[..count]);
        Ok(count)
    }

    pub fn read_body(&mut self, head: &Head) -> std::io::Result<Vec<u8>> {
        let length = head.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        while self.ahead.len() < length {
            if self.fill()? == 0 {
                return Err(std::io::Error::other("ended within a body"));
            }
        }
        Ok(self.ahead.drain(..length).collect())
    }

    /// Returns whether the other end has closed the connection.
    pub fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let mut byte = [0; 1];
        let result = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match result {
            Ok(count) => count == 0,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }

    pub fn send(&mut self, first: &str, fields: &[(impl AsRef<str>, String)], body: &[u8]) -> std::io::Result<()> {
        let mut text = format!("{first}\r\n");
        for (name, value) in fields {
            text.push_str(&format!("{}: {value}\r\n", name.as_ref()));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}

// ---------------------------------------------------------------------------------------------
// The platform's store

/// The project's own stand-in of the store, with the expiry of silent upstreams.
pub struct Store {
    pub address: SocketAddr,
    rows: RowHandle,
    /// The last heartbeat of each upstream's row.
    beats: Mutex<HashMap<String, Instant>>,
    _stand: StoreStand,
    _runtime: Runtime,
}

impl Store {
    pub fn start(config: &ConfigEntry) -> Arc<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
        let runtime = runtime.unwrap_or_else(|error| cannot_run(&format!("runtime: {error}")));
        let plan = RowPlan { listen: free_address(), ..RowPlan::default() };
        let stand = runtime.block_on(StoreStand::start(plan));
        let stand = stand.unwrap_or_else(|error| cannot_run(&format!("store: {error}")));
        let rows = stand.handle();
        rows.put(RowPath::new(PlatformCodec::CONFIG_TABLE, PlatformCodec::CONFIG_KEY), config_value(config));
        let (address, beats) = (stand.address(), Mutex::default());
        let store = Arc::new(Self { address, rows, beats, _stand: stand, _runtime: runtime });
        let janitor = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(ms(50));
                janitor.expire();
            }
        });
        store
    }

    /// Removes rows after three heartbeats of silence.
    fn expire(&self) {
        self.beats.lock().unwrap().retain(|id, at| {
            let silent = at.elapsed() > 3 * HEARTBEAT;
            if silent {
                self.rows.remove(RowPath::new(PlatformCodec::UPSTREAM_TABLE, id));
            }
            !silent
        });
    }

    /// A heartbeat of an upstream. The row is written if it is missing or if more than its count of
    /// writes changes.
    fn beat(&self, id: &str, entry: &UpstreamEntry, seq: u64, changes: bool) {
        let known = self.beats.lock().unwrap().insert(id.to_owned(), Instant::now()).is_some();
        if changes || !known {
            self.rows.put(RowPath::new(PlatformCodec::UPSTREAM_TABLE, id), upstream_value(entry, seq));
        }
    }
}

/// Returns a configuration.
pub fn config(routes: Vec<CallRoute>, services: &[(&str, &str)]) -> ConfigEntry {
    let services = services.iter().map(|(name, health_path)| ServiceEntry {
        name: SharedName::from(*name),
        health_path: SharedName::from(*health_path),
        connections: 220,
    });
    let caller_limits = CallerLimits { body_bytes: 64 * 1024 * 1024 };
    ConfigEntry { version: 7, routes, services: services.collect(), caller_limits }
}

/// Returns a route of safe requests of low urgency. Times are in milliseconds.
pub fn safe_route(path: &str, service: &str, timeout: u64, target: u64) -> CallRoute {
    route(path, service, timeout, target, WorkClass::Deferrable, true)
}

/// Returns a route of unsafe requests. Times are in milliseconds.
pub fn unsafe_route(path: &str, service: &str, timeout: u64, target: u64) -> CallRoute {
    route(path, service, timeout, target, WorkClass::Normal, false)
}

fn route(path: &str, service: &str, timeout: u64, target: u64, class: WorkClass, idempotent: bool) -> CallRoute {
    CallRoute {
        name: format!("r-{}", path.trim_matches('/')).into(),
        host: SharedName::from("desk.example"),
        path_prefix: SharedName::from(path),
        idempotent,
        class,
        timeout: ClockSpan::from_millis(timeout),
        objective: ClockSpan::from_millis(target),
        attempts: 2,
        targets: vec![RouteTarget { service: SharedName::from(service), weight: 1.0 }],
    }
}

// ---------------------------------------------------------------------------------------------
// Upstreams

#[derive(Clone, Debug)]
pub struct Run {
    pub upstream: String,
    pub service: String,
    pub id: String,
    pub method: String,
    pub target: String,
    pub at: Instant,
    /// Whether it ran to its end.
    pub done: bool,
}

/// What all upstreams have run.
#[derive(Default)]
pub struct Runs(pub Mutex<Vec<Run>>);

#[derive(Clone)]
pub struct UpstreamPlan {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub health_path: String,
    pub slots: usize,
    pub work: Arc<dyn Fn(&Head) -> Duration + Send + Sync>,
    /// The body of a request that crashes an upstream that runs it.
    pub poison: Option<&'static [u8]>,
}

pub struct Upstream {
    pub plan: UpstreamPlan,
    pub address: SocketAddr,
    alive: AtomicBool,
    draining: AtomicBool,
    dark: AtomicBool,
    /// Whether the port is closed.
    closed: AtomicBool,
    running: AtomicUsize,
    waiting: AtomicUsize,
    streams: Mutex<Vec<TcpStream>>,
    runs: Arc<Runs>,
    record: Arc<Record>,
    store: Arc<Store>,
    born: u64,
    pub checks: AtomicU64,
}

const QUEUE: usize = 12;

impl Upstream {
    /// Starts an upstream and registers it. Without an address, it takes a free one.
    pub fn start(
        plan: UpstreamPlan,
        address: Option<SocketAddr>,
        store: &Arc<Store>,
        runs: &Arc<Runs>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let address = address.unwrap_or_else(free_address);
        let listener = bind(address);
        listener.set_nonblocking(true).unwrap();
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        let upstream = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            plan,
            alive: AtomicBool::new(true),
            draining: AtomicBool::new(false),
            dark: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            streams: Mutex::default(),
            runs: Arc::clone(runs),
            record: Arc::clone(record),
            store: Arc::clone(store),
            born: born.as_millis() as u64,
            checks: AtomicU64::new(0),
        });
        let UpstreamPlan { id, service, .. } = &upstream.plan;
        record.line(&format!("upstream {id} of {service} starts at {}", upstream.address));
        let server = Arc::clone(&upstream);
        thread::spawn(move || {
            while server.alive.load(Ordering::SeqCst) {
                if server.dark.load(Ordering::SeqCst) {
                    thread::sleep(ms(1));
                    continue;
                }
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        server.streams.lock().unwrap().extend(stream.try_clone());
                        let upstream = Arc::clone(&server);
                        thread::spawn(move || upstream.serve(Wire::new(stream)));
                    }
                    Err(_) => thread::sleep(ms(1)),
                }
            }
            drop(listener);
            server.closed.store(true, Ordering::SeqCst);
        });
        let writer = Arc::clone(&upstream);
        thread::spawn(move || {
            let mut seq = 0;
            while writer.alive.load(Ordering::SeqCst) && !writer.dark.load(Ordering::SeqCst) {
                writer.store.beat(&writer.plan.id, &writer.entry(), seq, seq == 0);
                seq += 1;
                thread::sleep(HEARTBEAT);
            }
        });
        upstream
    }

    fn entry(&self) -> UpstreamEntry {
        let UpstreamPlan { id, service, zone, slots, .. } = &self.plan;
        let server = UpstreamServer {
            name: SharedName::from(id.as_str()),
            service: SharedName::from(service.as_str()),
            centre: SharedName::from(zone.as_str()),
            address: self.address,
            slots: *slots as u32,
            connections: 220,
            incarnation: self.born,
            warm_up: ClockSpan::ZERO,
        };
        UpstreamEntry { server, draining: self.draining.load(Ordering::SeqCst) }
    }

    /// Reports that it is draining. It goes on serving.
    pub fn drain(&self, store: &Store) {
        self.draining.store(true, Ordering::SeqCst);
        store.beat(&self.plan.id, &self.entry(), 0, true);
        self.record.line(&format!("upstream {} is draining", self.plan.id));
    }

    /// Falls silent: nothing is answered any more, and heartbeats stop.
    pub fn go_dark(&self) {
        self.dark.store(true, Ordering::SeqCst);
        self.record.line(&format!("upstream {} falls silent", self.plan.id));
    }

    fn wait_while_dark(&self) {
        while self.dark.load(Ordering::SeqCst) && self.alive.load(Ordering::SeqCst) {
            thread::sleep(ms(5));
        }
    }

    /// Crashes: the port is closed, connections are reset or closed, and heartbeats stop.
    pub fn crash(&self) {
        self.alive.store(false, Ordering::SeqCst);
        // The port closes before the connections do, as if the process had ended at once.
        while !self.closed.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_micros(100));
        }
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.line(&format!("upstream {} crashes", self.plan.id));
    }

    pub fn has_crashed(&self) -> bool {
        !self.alive.load(Ordering::SeqCst)
    }

    /// Returns the headers of an answer.
    fn fields(&self, id: &str, fate: AnswerFate) -> Vec<(String, String)> {
        let figures = LoadFigures {
            in_flight: self.running.load(Ordering::SeqCst) as u32,
            slots: self.plan.slots as u32,
            queued: self.waiting.load(Ordering::SeqCst) as u32,
        };
        let signature = format!("sig-{id}");
        let answer = AnswerFields {
            name: if fate == AnswerFate::Run { &signature } else { &self.plan.id },
            request: (!id.is_empty()).then_some(id),
            fate,
            load: Some(LoadSample { figures, pace_percent: Some(100) }),
            draining: self.draining.load(Ordering::SeqCst),
            final_drain: false,
            retry_after: None,
        };
        let mut headers = HeaderMap::new();
        ServerDialect::set_answer_headers(&mut headers, &answer);
        let text = |value: &HeaderValue| String::from_utf8_lossy(value.as_bytes()).into_owned();
        headers.iter().map(|(name, value)| (name.to_string(), text(value))).collect()
    }

    fn serve(&self, mut wire: Wire) {
        while let Ok(Some(head)) = wire.read_head() {
            let Ok(body) = wire.read_body(&head) else { return };
            self.wait_while_dark();
            if !self.alive.load(Ordering::SeqCst) || self.answer(&mut wire, &head, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, wire: &mut Wire, head: &Head, body: &[u8]) -> std::io::Result<()> {
        let plan = &self.plan;
        let asked = ServerDialect::read(&head.headers());
        let id = asked.request.map(|id| id.to_string()).unwrap_or_default();
        let path = head.target().split('?').next().unwrap_or("");
        if head.method() == "GET" && path == plan.health_path {
            self.checks.fetch_add(1, Ordering::SeqCst);
            let draining = self.draining.load(Ordering::SeqCst);
            let status = if draining { "HTTP/1.1 503 Service Unavailable" } else { "HTTP/1.1 200 OK" };
            return wire.send(status, &self.fields(&id, AnswerFate::Check), b"");
        }
        if asked.expected.is_some_and(|expected| expected.as_ref() != plan.id) {
            self.record.line(&format!("{} rejects {id} with 421", plan.id));
            let fields = self.fields(&id, AnswerFate::Misdirected);
            return wire.send("HTTP/1.1 421 Misdirected Request", &fields, b"");
        }
        if id.is_empty() {
            return wire.send("HTTP/1.1 400 Bad Request", &self.fields(&id, AnswerFate::NotRun), b"");
        }
        if !self.take_slot() {
            let fields = self.fields(&id, AnswerFate::NotRun);
            return wire.send("HTTP/1.1 503 Service Unavailable", &fields, b"");
        }
        let remaining = asked.remaining.map_or("no limit of".into(), |span| span.as_millis().to_string());
        let result = self.run(wire, head, &id, body, &remaining);
        self.running.fetch_sub(1, Ordering::SeqCst);
        result
    }

    /// Waits for a slot. Returns false if the queue is full.
    fn take_slot(&self) -> bool {
        if self.waiting.fetch_add(1, Ordering::SeqCst) >= QUEUE {
            self.waiting.fetch_sub(1, Ordering::SeqCst);
            return false;
        }
        loop {
            let taken = self.running.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |running| {
                (running < self.plan.slots).then_some(running + 1)
            });
            if taken.is_ok() {
                self.waiting.fetch_sub(1, Ordering::SeqCst);
                return true;
            }
            thread::sleep(ms(1));
        }
    }

    fn run(
        &self,
        wire: &mut Wire,
        head: &Head,
        id: &str,
        body: &[u8],
        remaining: &str,
    ) -> std::io::Result<()> {
        let plan = &self.plan;
        let run = Run {
            upstream: plan.id.clone(),
            service: plan.service.clone(),
            id: id.to_owned(),
            method: head.method().to_owned(),
            target: head.target().to_owned(),
            at: Instant::now(),
            done: false,
        };
        self.record.line(&format!("{} of {} runs {id}: {} {}, {remaining} ms left", plan.id, plan.service, run.method, run.target));
        let index = {
            let mut runs = self.runs.0.lock().unwrap();
            runs.push(run);
            runs.len() - 1
        };
        if plan.poison.is_some_and(|poison| poison == body) {
            thread::sleep(ms(5));
            self.crash();
            return Err(std::io::Error::other("crashed"));
        }
        let until = Instant::now() + (plan.work)(head);
        while Instant::now() < until {
            thread::sleep(ms(2));
            self.wait_while_dark();
            if wire.is_closed() || !self.alive.load(Ordering::SeqCst) {
                self.record.line(&format!("{} drops {id}: its connection was closed", plan.id));
                return Err(std::io::Error::other("dropped"));
            }
        }
        self.runs.0.lock().unwrap()[index].done = true;
        let fields = self.fields(id, AnswerFate::Run);
        wire.send("HTTP/1.1 200 OK", &fields, format!("answer to {id}").as_bytes())
    }
}

// ---------------------------------------------------------------------------------------------
// Gateways

pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub zone: String,
    exchange: SocketAddr,
    pid: Option<u32>,
    settings: PathBuf,
    log: PathBuf,
}

/// The gateways of a deployment, with a temporary folder for settings and logs.
pub struct Deployment {
    pub folder: PathBuf,
    pub gateways: Vec<Gateway>,
    pub zones: Vec<String>,
    pub store: SocketAddr,
    pub grace_s: u64,
}

impl Deployment {
    /// Prepares one gateway in each of `zones`.
    pub fn new(zones: &[&str], store: &Store) -> Self {
        let folder = std::env::temp_dir().join(format!("agateroad-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let gateway = |(index, zone): (usize, &&str)| Gateway {
            name: format!("edge-{zone}-{index}"),
            front: free_address(),
            ready: free_address(),
            control: free_address(),
            exchange: free_address(),
            zone: (*zone).to_owned(),
            pid: None,
            settings: folder.join(format!("{index}.json")),
            log: folder.join(format!("{index}.log")),
        };
        let gateways = zones.iter().enumerate().map(gateway).collect();
        let mut names: Vec<String> = zones.iter().map(|zone| (*zone).to_owned()).collect();
        names.dedup();
        Self { gateways, zones: names, store: store.address, grace_s: 6, folder }
    }

    /// Fills in `deploy/settings.json` as the platform does.
    fn settings(&self, gateway: &Gateway) -> String {
        let template = std::fs::read_to_string("deploy/settings.json");
        let mut text = template.unwrap_or_else(|e| cannot_run(&format!("deploy/settings.json: {e}")));
        let seeds: Vec<String> = self.gateways.iter().take(3).map(|peer| format!("\"{}\"", peer.control)).collect();
        let zones: Vec<String> = self.zones.iter().map(|zone| format!("\"{zone}\":\"region\"")).collect();
        let quoted = |value: &dyn std::fmt::Display| format!("\"{value}\"");
        let values = [
            ("{{#seeds}}{{.|json}}{{,}}{{/seeds}}", seeds.join(",")),
            ("{{node|json}}", quoted(&gateway.name)),
            ("{{zone|json}}", quoted(&gateway.zone)),
            ("{{region|json}}", quoted(&"region")),
            ("{{zones|json}}", format!("{{{}}}", zones.join(","))),
            ("{{listen.front|json}}", quoted(&gateway.front)),
            ("{{listen.ready|json}}", quoted(&gateway.ready)),
            ("{{listen.control|json}}", quoted(&gateway.control)),
            ("{{ip}}:{{internalPorts.0}}", gateway.exchange.to_string()),
            ("{{platform.address|json}}", quoted(&self.store)),
            ("{{limits.cpuCores}}", "1".into()),
            ("{{bounds.retryBudgetRatio}}", "0.2".into()),
            ("{{bounds.budgetSlack}}", "58".into()),
            ("{{bounds.budgetWindow}}", "10".into()),
            ("{{bounds.probesPerS}}", "60".into()),
            ("{{bounds.drain}}", "2000".into()),
            ("{{bounds.grace}}", self.grace_s.to_string()),
        ];
        for (placeholder, value) in values {
            text = text.replace(placeholder, &value);
        }
        if text.contains("{{") {
            cannot_run("a placeholder of deploy/settings.json is not known to this script");
        }
        text
    }

    /// Starts a gateway with the command of `deploy/system.toml`.
    pub fn start(&mut self, index: usize) {
        let text = self.settings(&self.gateways[index]);
        let gateway = &mut self.gateways[index];
        std::fs::write(&gateway.settings, text).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let log = File::options().create(true).append(true).open(&gateway.log).unwrap();
        let child = Command::new("target/release/agateroad")
            .arg("--settings")
            .arg(&gateway.settings)
            .env_clear()
            .env("AGATEROAD_CONFIG", &gateway.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("target/release/agateroad: {e}")));
        gateway.pid = Some(child.id());
        CHILDREN.lock().unwrap().push(child);
    }

    pub fn start_all(&mut self) {
        for index in 0..self.gateways.len() {
            self.start(index);
        }
        let until = Instant::now() + Duration::from_secs(15);
        for index in 0..self.gateways.len() {
            while !self.gateways[index].is_ready() {
                if Instant::now() > until {
                    cannot_run("a gateway does not become ready");
                }
                thread::sleep(ms(50));
            }
        }
    }

    pub fn remove_folder(&self) {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Gateway {
    pub fn signal(&self, name: &str) {
        if let Some(pid) = self.pid {
            signal(pid, name);
        }
    }

    /// Returns the exit status once the process has ended.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        let pid = self.pid?;
        let mut children = CHILDREN.lock().unwrap();
        let index = children.iter().position(|child| child.id() == pid)?;
        let status = children[index].try_wait().ok()??;
        children.swap_remove(index);
        self.pid = None;
        Some(status)
    }

    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&self.ready, ms(500)) else { return false };
        let _ = stream.set_read_timeout(Some(ms(500)));
        let mut wire = Wire::new(stream);
        let fields = [("Host", "ready".to_owned())];
        if wire.send("GET /ready HTTP/1.1", &fields, b"").is_err() {
            return false;
        }
        wire.read_head().ok().flatten().is_some_and(|head| head.status() == 200)
    }
}

// ---------------------------------------------------------------------------------------------
// Clients

/// How a request of a client ended.
#[derive(Clone, Debug)]
pub enum End {
    Answer { status: u16, head: Head, body: Vec<u8> },
    /// No connection could be opened.
    NoConnection,
    /// The connection ended or failed without a complete answer.
    Cut(String),
    /// The client gave up at its deadline.
    GaveUp,
}

pub struct Request<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub body: &'a [u8],
}

pub fn connect(address: SocketAddr) -> Option<Wire> {
    TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok().map(Wire::new)
}

/// Sends a request on a connection and waits for its answer.
pub fn exchange(wire: &mut Wire, request: &Request<'_>) -> End {
    let fields = [
        ("Host", request.host.to_owned()),
        ("Request-Id", request.id.to_owned()),
        ("Deadline-Remaining", request.deadline_ms.to_string()),
    ];
    if let Some(record) = RECORD.get() {
        let Request { method, path, id, .. } = request;
        record.line(&format!("{id} is sent: {method} {path}"));
    }
    let first = format!("{} {} HTTP/1.1", request.method, request.path);
    if let Err(error) = wire.send(&first, &fields, request.body) {
        return End::Cut(error.to_string());
    }
    let _ = wire.stream.set_read_timeout(Some(ms(request.deadline_ms)));
    let head = match wire.read_head() {
        Ok(Some(head)) => head,
        Ok(None) => return End::Cut("closed without an answer".into()),
        Err(error) if is_timeout(&error) => return End::GaveUp,
        Err(error) => return End::Cut(error.to_string()),
    };
    match wire.read_body(&head) {
        Ok(body) => End::Answer { status: head.status(), head, body },
        Err(error) if is_timeout(&error) => End::GaveUp,
        Err(error) => End::Cut(error.to_string()),
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
}

/// Sends a request on a new connection.
pub fn call(address: SocketAddr, request: &Request<'_>) -> End {
    match connect(address) {
        Some(mut wire) => exchange(&mut wire, request),
        None => End::NoConnection,
    }
}

pub fn end_text(end: &End) -> String {
    match end {
        End::Answer { status, .. } => status.to_string(),
        End::NoConnection => "no connection".into(),
        End::Cut(why) => format!("cut ({why})"),
        End::GaveUp => "gave up at the deadline".into(),
    }
}

/// The ids that clients have sent.
#[derive(Default)]
pub struct Sent(pub Mutex<HashSet<String>>);
