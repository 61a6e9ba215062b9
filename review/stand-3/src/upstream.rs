//! Upstreams: they answer health checks at once, work on every other request for a fixed time, and
//! write down what they run. The headers are those of the project's own stand-ins.

use std::io;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ::http::HeaderMap;
use base::prelude::*;
use directory::prelude::*;
use platform::stand::ServerDialect;
use stand::dialect::{AnswerFate, AnswerFields, LoadSample, UpstreamDialect};
use stand::slot::LoadFigures;
use tokio::io::BufReader;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use world::prelude::*;

use crate::http::{self, Head};
use crate::record::Record;
use crate::store::Store;

/// The path of a request that crashes the upstream that begins to run it.
pub const CRASH_PATH: &str = "/pledges/crash";
/// The time until a crashed upstream is back.
const DOWN_TIME: Duration = Duration::from_millis(2500);

/// A request that an upstream has begun to run.
#[derive(Clone, Debug)]
pub struct Run {
    /// The id of the request.
    pub request: String,
    /// When the upstream began, in seconds since the start of the record.
    pub at: f64,
}

/// What all upstreams have run.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// One upstream.
pub struct Upstream {
    id: String,
    slots: u32,
    work: Duration,
    running: AtomicU32,
    runs: Runs,
    record: Record,
    /// Notified when a request crashes the upstream.
    crashed: Notify,
}

impl Upstream {
    /// Starts an upstream and registers it in the store.
    pub async fn start(
        (id, service, zone): (&str, &str, &str),
        slots: u32,
        work: Duration,
        runs: &Runs,
        record: &Record,
        store: &Store,
    ) -> io::Result<()> {
        let mut listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let upstream = Arc::new(Self {
            id: id.to_owned(),
            slots,
            work,
            running: AtomicU32::new(0),
            runs: Arc::clone(runs),
            record: record.clone(),
            crashed: Notify::new(),
        });
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let server = UpstreamServer {
            name: SharedName::from(id),
            service: SharedName::from(service),
            centre: SharedName::from(zone),
            address,
            slots,
            connections: 0,
            incarnation: born.as_millis() as u64,
            warm_up: ClockSpan::ZERO,
        };
        store.put_upstream(&UpstreamEntry { server: server.clone(), draining: false });
        let store = store.clone();
        tokio::spawn(async move {
            loop {
                upstream.accept(listener).await;
                upstream.record.write(&format!("{} has crashed", upstream.id));
                tokio::time::sleep(DOWN_TIME).await;
                let Ok(next) = TcpListener::bind(address).await else { return };
                listener = next;
                let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                let server =
                    UpstreamServer { incarnation: born.as_millis() as u64, ..server.clone() };
                store.put_upstream(&UpstreamEntry { server, draining: false });
                upstream.record.write(&format!("{} is back", upstream.id));
            }
        });
        Ok(())
    }

    /// Serves connections until the upstream crashes, and then closes all of them.
    async fn accept(self: &Arc<Self>, listener: TcpListener) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    let upstream = Arc::clone(self);
                    connections.spawn(async move { upstream.serve(stream).await });
                }
                () = self.crashed.notified() => return,
                Some(_) = connections.join_next(), if !connections.is_empty() => {}
            }
        }
    }

    async fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (reader, mut writer) = stream.into_split();
        let mut reader = BufReader::new(reader);
        while let Ok(Some(head)) = http::read_head(&mut reader).await {
            let Ok(body) = http::read_body(&mut reader, &head, false).await else { return };
            let (status, headers) = self.answer(&head, body.len()).await;
            let answer = http::write_answer(&mut writer, status, &headers, b"done").await;
            if answer.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, head: &Head, length: usize) -> (u16, HeaderMap) {
        let fields = ServerDialect::read(&head.map());
        let request = fields.request.as_deref().unwrap_or("").to_owned();
        let (status, fate) = if fields.expected.is_some_and(|expected| expected.as_str() != self.id)
        {
            (421, AnswerFate::Misdirected)
        } else if head.word(1) == ServerDialect::HEALTH_PATH {
            (200, AnswerFate::Check)
        } else if request.is_empty() {
            (400, AnswerFate::NotRun)
        } else if !self.run(head, &request, length).await {
            (503, AnswerFate::NotRun)
        } else {
            (200, AnswerFate::Run)
        };
        let in_flight = self.running.load(Ordering::Relaxed);
        let figures = LoadFigures { in_flight, slots: self.slots, queued: 0 };
        let signature = format!("{}.{request}", self.id);
        let fields = AnswerFields {
            name: if fate == AnswerFate::Run { &signature } else { &self.id },
            request: (!request.is_empty()).then_some(request.as_str()),
            fate,
            load: Some(LoadSample { figures, pace_percent: Some(100) }),
            draining: false,
            final_drain: false,
            retry_after: None,
        };
        let mut headers = HeaderMap::new();
        ServerDialect::set_answer_headers(&mut headers, &fields);
        (status, headers)
    }

    /// Runs a request. Returns whether there was a slot for it.
    async fn run(&self, head: &Head, request: &str, length: usize) -> bool {
        if self.running.fetch_add(1, Ordering::Relaxed) >= self.slots {
            self.running.fetch_sub(1, Ordering::Relaxed);
            self.record.write(&format!("{} is full and refuses {request}", self.id));
            return false;
        }
        let (id, at) = (request.to_owned(), self.record.seconds());
        self.runs.lock().unwrap().push(Run { request: id, at });
        let tenant = head.get("tenant-id").unwrap_or("-");
        self.record.write(&format!(
            "{} runs {request} ({}, tenant {tenant}, body {length})",
            self.id, head.line
        ));
        if head.word(1) == CRASH_PATH {
            self.running.store(0, Ordering::Relaxed);
            self.crashed.notify_one();
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(self.work).await;
        self.running.fetch_sub(1, Ordering::Relaxed);
        true
    }
}
