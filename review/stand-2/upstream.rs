//! A stand-in for an upstream: slots, a queue, health checks, load reports and, as the disruption of
//! a case, bytes that it sends after a complete answer.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use base::prelude::*;
use directory::prelude::*;
use http::HeaderMap;
use platform::stand::ServerDialect;
use stand::dialect::{AnswerFate, AnswerFields, LoadSample, UpstreamDialect};
use stand::slot::LoadFigures;
use world::prelude::*;

use crate::http::{Connection, Head};
use crate::record::Record;

/// Idle connections are closed after this time.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// A request that an upstream began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub upstream: String,
    pub tenant: String,
    pub at_ms: f64,
}

/// All runs of all upstreams.
#[derive(Default)]
pub struct Runs(Mutex<Vec<Run>>);

impl Runs {
    pub fn all(&self) -> Vec<Run> {
        self.0.lock().unwrap().clone()
    }
}

/// What an upstream sends after some of its answers, late: where the next answer on the same
/// connection is expected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Extra {
    None,
    /// The same answer once more.
    Repeat,
    /// Bytes that belong to no request.
    Stray,
}

pub struct Plan {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub queue: u32,
    pub work: Duration,
    /// The least length of an answer's body.
    pub body_bytes: usize,
    pub extra: Extra,
    /// The share of the answers after which it is sent.
    pub extra_share: f64,
    /// The share of the requests that are refused although there is room.
    pub shed_share: f64,
}

#[derive(Default)]
struct Load {
    running: u32,
    waiting: u32,
}

pub struct Upstream {
    pub plan: Plan,
    /// Whether answers are followed by extra bytes, and whether requests are refused.
    pub sends_extra: AtomicBool,
    pub sheds: AtomicBool,
    pub address: SocketAddr,
    /// The time of its start, in milliseconds since the Unix epoch.
    born: u64,
    load: Mutex<Load>,
    freed: Condvar,
    runs: Arc<Runs>,
    record: Arc<Record>,
}

impl Upstream {
    pub fn start(plan: Plan, runs: &Arc<Runs>, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for an upstream");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let upstream = Arc::new(Self {
            plan,
            address: listener.local_addr().expect("the address of an upstream"),
            born: born.as_millis() as u64,
            sends_extra: AtomicBool::new(true),
            sheds: AtomicBool::new(false),
            load: Mutex::default(),
            freed: Condvar::new(),
            runs: Arc::clone(runs),
            record: Arc::clone(record),
        });
        let shared = Arc::clone(&upstream);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let upstream = Arc::clone(&shared);
                thread::spawn(move || {
                    // The end of a connection is the business of the gateway.
                    let _ = stream.set_read_timeout(Some(IDLE_TIME));
                    let _ = upstream.serve(Connection::new(stream));
                });
            }
        });
        upstream
    }

    /// Returns the entry of the upstream in the store.
    pub fn entry(&self) -> UpstreamEntry {
        let Plan { id, service, zone, slots, .. } = &self.plan;
        let server = UpstreamServer {
            name: SharedName::from(id.as_str()),
            service: SharedName::from(service.as_str()),
            centre: SharedName::from(zone.as_str()),
            address: self.address,
            slots: *slots,
            connections: 0,
            incarnation: self.born,
            warm_up: ClockSpan::ZERO,
        };
        UpstreamEntry { server, draining: false }
    }

    fn serve(&self, mut connection: Connection) -> std::io::Result<()> {
        let mut extra: Option<Vec<u8>> = None;
        while let Some(head) = connection.read_head()? {
            connection.read_body(&head)?;
            if let Some(bytes) = extra.take() {
                let text = String::from_utf8_lossy(&bytes).replace("\r\n", " | ");
                let id = head.field("request-id").unwrap_or("");
                self.record
                    .write(&format!("{} sends before its answer to {id}: {text}", self.plan.id));
                connection.write(&bytes)?;
            }
            let is_check = head.word(1) == "/health";
            let answer = if is_check { self.check(&head) } else { self.run(&head) };
            connection.write(&answer)?;
            let is_spoilt =
                self.sends_extra.load(Ordering::SeqCst) && crate::random() < self.plan.extra_share;
            if !is_check && is_spoilt {
                extra = match self.plan.extra {
                    Extra::None => None,
                    Extra::Repeat => Some(answer),
                    Extra::Stray => {
                        Some(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n".to_vec())
                    }
                };
            }
        }
        Ok(())
    }

    fn answer(&self, head: &Head, status: &str, fate: AnswerFate, body: &str) -> Vec<u8> {
        let load = self.load.lock().unwrap();
        let figures =
            LoadFigures { in_flight: load.running, slots: self.plan.slots, queued: load.waiting };
        drop(load);
        let request = ServerDialect::read(&head.map()).request;
        let signature = format!("{}.{}", self.plan.id, request.as_deref().unwrap_or(""));
        let fields = AnswerFields {
            name: if fate == AnswerFate::Run { &signature } else { &self.plan.id },
            request: request.as_deref(),
            fate,
            load: Some(LoadSample { figures, pace_percent: Some(100) }),
            draining: false,
            final_drain: false,
            retry_after: None,
        };
        let mut headers = HeaderMap::new();
        ServerDialect::set_answer_headers(&mut headers, &fields);
        let mut text = format!("HTTP/1.1 {status}\r\n");
        for (name, value) in &headers {
            text.push_str(&format!("{name}: {}\r\n", String::from_utf8_lossy(value.as_bytes())));
        }
        text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
        text.into_bytes()
    }

    fn check(&self, head: &Head) -> Vec<u8> {
        let expected = ServerDialect::read(&head.map()).expected;
        match expected.filter(|expected| expected.as_str() != self.plan.id) {
            Some(_) => self.answer(head, "421 Misdirected Request", AnswerFate::Misdirected, ""),
            None => self.answer(head, "200 OK", AnswerFate::Check, ""),
        }
    }

    fn run(&self, head: &Head) -> Vec<u8> {
        let Plan { id, slots, queue, work, .. } = &self.plan;
        let fields = ServerDialect::read(&head.map());
        let Some(request) = fields.request else {
            return self.answer(head, "400 Bad Request", AnswerFate::NotRun, "");
        };
        if fields.expected.is_some_and(|expected| expected.as_str() != id) {
            return self.answer(head, "421 Misdirected Request", AnswerFate::Misdirected, "");
        }
        let allowed = fields.remaining.map_or(Duration::from_secs(60), ClockSpan::to_duration);
        let deadline = Instant::now() + allowed;
        let sheds = self.sheds.load(Ordering::SeqCst) && crate::random() < self.plan.shed_share;
        let mut load = self.load.lock().unwrap();
        if sheds || load.running >= *slots && load.waiting >= *queue {
            drop(load);
            self.record.write(&format!("{id} refuses {request}"));
            return self.answer(head, "503 Service Unavailable", AnswerFate::NotRun, "");
        }
        load.waiting += 1;
        while load.running >= *slots {
            load = self.freed.wait_timeout(load, Duration::from_millis(5)).unwrap().0;
            if Instant::now() >= deadline {
                load.waiting -= 1;
                drop(load);
                return self.answer(head, "503 Service Unavailable", AnswerFate::NotRun, "");
            }
        }
        load.waiting -= 1;
        load.running += 1;
        drop(load);
        let tenant = head.field("tenant-id").unwrap_or("").to_owned();
        let at_ms = self.record.now_ms();
        let run = Run { id: request.to_string(), upstream: id.clone(), tenant, at_ms };
        self.record.write(&format!("{id} runs {request}"));
        self.runs.0.lock().unwrap().push(run);
        let left = deadline.saturating_duration_since(Instant::now());
        thread::sleep((*work).min(left));
        self.load.lock().unwrap().running -= 1;
        self.freed.notify_one();
        if *work > left {
            return self.answer(head, "504 Gateway Timeout", AnswerFate::Run, "");
        }
        let mut body = format!("run of {request}\n");
        while body.len() < self.plan.body_bytes {
            body.push('.');
        }
        self.answer(head, "200 OK", AnswerFate::Run, &body)
    }
}
