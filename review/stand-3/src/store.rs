//! The platform's store, as far as the gateways use it: rows with versions, reads, changes and
//! transactions. Each gateway is given a listener of its own, so that the store can tell the machines
//! apart.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::io::BufReader;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::http;

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    ver: u64,
    rows: BTreeMap<Key, (String, u64)>,
    log: Vec<(Key, Option<String>, u64)>,
}

/// The store. Clones share its rows.
#[derive(Clone)]
pub struct Store {
    rows: Arc<Mutex<Rows>>,
    changed: Arc<watch::Sender<u64>>,
    started: Instant,
}

impl Store {
    /// Returns an empty store.
    pub fn new() -> Self {
        let (changed, _) = watch::channel(0);
        Self { rows: Arc::default(), changed: Arc::new(changed), started: Instant::now() }
    }

    /// Opens a listener and returns its address.
    pub async fn listen(&self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let store = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = store.clone();
                tokio::spawn(async move { store.serve(stream).await });
            }
        });
        Ok(address)
    }

    /// Writes a row as the operator or an upstream does, and returns when the store acknowledges it.
    pub fn put(&self, table: &str, key: &str, value: &Value) -> Instant {
        let text = STANDARD.encode(value.to_string());
        self.apply(vec![((table.to_owned(), String::new(), key.to_owned()), Some(text))]);
        Instant::now()
    }

    /// Returns the keys of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let rows = self.rows.lock().unwrap();
        let keys = rows.rows.keys().filter(|(name, _, _)| name == table);
        keys.map(|(_, _, key)| key.clone()).collect()
    }

    fn apply(&self, writes: Vec<(Key, Option<String>)>) -> u64 {
        let mut rows = self.rows.lock().unwrap();
        rows.ver += 1;
        let ver = rows.ver;
        for (key, value) in writes {
            match &value {
                Some(value) => {
                    rows.rows.insert(key.clone(), (value.clone(), ver));
                }
                None => {
                    rows.rows.remove(&key);
                }
            }
            rows.log.push((key, value, ver));
        }
        self.changed.send_replace(ver);
        ver
    }

    async fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (reader, mut writer) = stream.into_split();
        let mut reader = BufReader::new(reader);
        while let Ok(Some(head)) = http::read_head(&mut reader).await {
            let Ok(body) = http::read_body(&mut reader, &head, false).await else { return };
            let (status, answer) = self.answer(&head, &body).await;
            let fields = [("Content-Type", "application/json".to_owned())];
            let text = answer.to_string();
            if http::write_answer(&mut writer, status, &fields, text.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, head: &http::Head, body: &[u8]) -> (u16, Value) {
        let target = head.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let value =
                pairs.filter(|(key, _)| *key == name).map(|(_, value)| decode(value)).next();
            value.unwrap_or_default()
        };
        match path {
            "/rows-get" => {
                let limit = field("limit").parse().unwrap_or(500);
                self.read(&field("table"), &field("part"), &field("from"), limit)
            }
            "/rows-feed" => {
                let after = field("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(field("waitMs").parse().unwrap_or(0));
                self.feed(&field("table"), after, wait).await
            }
            "/rows-tx" => self.transact(body),
            _ => (404, json!({})),
        }
    }

    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn read(&self, table: &str, part: &str, from: &str, limit: usize) -> (u16, Value) {
        let rows = self.rows.lock().unwrap();
        let found: Vec<_> = rows
            .rows
            .iter()
            .filter(|((t, p, k), _)| t == table && p == part && k.as_str() >= from)
            .collect();
        let truncated = found.len() > limit;
        let list: Vec<Value> = found
            .into_iter()
            .take(limit)
            .map(|((t, p, k), (value, ver))| {
                json!({"table": t, "part": p, "key": k, "value": value, "ver": ver})
            })
            .collect();
        let answer =
            json!({"rows": list, "truncated": truncated, "ver": rows.ver, "now": self.now()});
        (200, answer)
    }

    async fn feed(&self, table: &str, after: u64, wait: Duration) -> (u16, Value) {
        let until = tokio::time::Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            {
                let rows = self.rows.lock().unwrap();
                let news: Vec<Value> = rows
                    .log
                    .iter()
                    .filter(|((t, _, _), _, ver)| t == table && *ver > after)
                    .map(|((t, p, k), value, ver)| match value {
                        Some(value) => {
                            json!({"table": t, "part": p, "key": k, "value": value, "ver": ver})
                        }
                        None => {
                            json!({"table": t, "part": p, "key": k, "ver": ver, "tombstone": true})
                        }
                    })
                    .collect();
                if !news.is_empty() || tokio::time::Instant::now() >= until {
                    let answer = json!({"rows": news, "ver": rows.ver, "now": self.now()});
                    return (200, answer);
                }
            }
            let _ = tokio::time::timeout_at(until, changed.changed()).await;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, Value) {
        let Ok(call) = serde_json::from_slice::<Value>(body) else { return (400, json!({})) };
        let place = |row: &Value| {
            let text = |name: &str| row[name].as_str().unwrap_or("").to_owned();
            (text("table"), text("part"), text("key"))
        };
        let list = |name: &str| call[name].as_array().cloned().unwrap_or_default();
        let holds = {
            let rows = self.rows.lock().unwrap();
            list("expected").iter().all(|row| {
                let ver = rows.rows.get(&place(row)).map_or(0, |(_, ver)| *ver);
                ver == row["ver"].as_u64().unwrap_or(0)
            })
        };
        if !holds {
            return (412, json!({"rows": []}));
        }
        let writes = list("writes");
        let writes = writes
            .iter()
            .map(|row| (place(row), Some(row["value"].as_str().unwrap_or("").to_owned())));
        let deletes = list("deletes");
        let deletes = deletes.iter().map(|row| (place(row), None));
        let ver = self.apply(writes.chain(deletes).collect());
        (200, json!({"ver": ver, "now": self.now()}))
    }
}

/// Decodes a value of a query.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = (bytes[index] == b'%').then(|| text.get(index + 1..index + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                index += 3;
            }
            None => {
                out.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
