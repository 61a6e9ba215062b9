//! Upstreams: they answer health checks at once, work on every other request for a fixed time, and
//! write down what they run. They register themselves in the store and write there every 1.5 s.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::json;
use tokio::io::BufReader;
use tokio::net::{TcpListener, TcpStream};

use crate::http;
use crate::record::Record;
use crate::store::Store;

/// A request that an upstream has run.
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
    service: String,
    slots: u32,
    work: Duration,
    running: AtomicU32,
    runs: Runs,
    record: Record,
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
    ) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let upstream = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            slots,
            work,
            running: AtomicU32::new(0),
            runs: Arc::clone(runs),
            record: record.clone(),
        });
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let upstream = Arc::clone(&upstream);
                tokio::spawn(async move { upstream.serve(stream).await });
            }
        });
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let (store, id, service, zone) =
            (store.clone(), id.to_owned(), service.to_owned(), zone.to_owned());
        let row = move |seq: u64| {
            json!({"service": service, "address": address.to_string(), "zone": zone,
                "version": "v1", "slots": slots, "state": "ready", "warmupLeft": 0,
                "seq": seq, "born": born as u64})
        };
        store.put("servers", &id, &row(0));
        tokio::spawn(async move {
            for seq in 1.. {
                tokio::time::sleep(Duration::from_millis(1500)).await;
                store.put("servers", &id, &row(seq));
            }
        });
        Ok(address)
    }

    async fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (reader, mut writer) = stream.into_split();
        let mut reader = BufReader::new(reader);
        while let Ok(Some(head)) = http::read_head(&mut reader).await {
            let Ok(body) = http::read_body(&mut reader, &head, false).await else { return };
            let id = head.get("request-id").unwrap_or("").to_owned();
            let load = format!("{},0,{}", self.running.load(Ordering::Relaxed), self.slots);
            let mut fields = vec![("Upstream-Load", load), ("Keep-Alive", "timeout=10".to_owned())];
            if !id.is_empty() {
                fields.push(("Request-Id", id.clone()));
            }
            let expected = head.get("expected-instance");
            let (status, body) = if expected.is_some_and(|expected| expected != self.id) {
                fields.push(("Instance-Id", self.id.clone()));
                (421, Vec::new())
            } else if head.word(1) == "/health" {
                fields.push(("Instance-Id", self.id.clone()));
                (200, Vec::new())
            } else {
                self.run(&head, &id, body.len()).await;
                fields.push(("Upstream-Signature", format!("signed.{id}")));
                (200, format!("{} ran {id}", self.service).into_bytes())
            };
            if http::write_answer(&mut writer, status, &fields, &body).await.is_err() {
                return;
            }
        }
    }

    async fn run(&self, head: &http::Head, id: &str, length: usize) {
        self.running.fetch_add(1, Ordering::Relaxed);
        let (request, at) = (id.to_owned(), self.record.seconds());
        self.runs.lock().unwrap().push(Run { request, at });
        let tenant = head.get("tenant-id").unwrap_or("-");
        let text = format!(
            "{} of {} runs {id} ({}, tenant {tenant}, body {length})",
            self.id, self.service, head.line
        );
        self.record.write(&text);
        tokio::time::sleep(self.work).await;
        self.running.fetch_sub(1, Ordering::Relaxed);
    }
}
