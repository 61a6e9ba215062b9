//! A stand-in for the platform's metadata store: rows in tables, transactions and the feed.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Head};
use crate::json::Json;
use crate::record::Record;

/// The time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

type RowKey = (String, String, String);

struct Row {
    version: u64,
    /// In base64; `None` if the row was removed.
    value: Option<String>,
}

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<RowKey, Row>,
}

pub struct Store {
    pub address: SocketAddr,
    start: Instant,
    rows: Mutex<Rows>,
    changed: Condvar,
    /// The table whose changes are not answered: the answers are lost.
    lost_table: Mutex<Option<String>>,
    /// The number of answers since answers began to be lost, and of those that were lost.
    counts: Mutex<(u32, u32)>,
    record: Arc<Record>,
}

impl Store {
    pub fn start(record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for the store");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("the address of the store"),
            start: Instant::now(),
            rows: Mutex::default(),
            changed: Condvar::new(),
            lost_table: Mutex::default(),
            counts: Mutex::default(),
            record: Arc::clone(record),
        });
        let shared = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&shared);
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        store
    }

    /// Writes a row, as the operator and the upstreams do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let value = encode_base64(value.as_bytes());
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let place = (table.to_owned(), String::new(), key.to_owned());
        rows.rows.insert(place, Row { version, value: Some(value) });
        self.changed.notify_all();
    }

    /// Loses the answers with changes of a table from now on, or none.
    pub fn lose_changes(&self, table: Option<&str>) {
        *self.lost_table.lock().unwrap() = table.map(str::to_owned);
    }

    /// Returns the number of answers while answers were lost, and of those that were.
    pub fn counts(&self) -> (u32, u32) {
        *self.counts.lock().unwrap()
    }

    fn is_lost(&self, head: &Head, text: &str) -> bool {
        let lost = self.lost_table.lock().unwrap();
        let Some(table) = lost.as_deref() else { return false };
        let target = head.word(1);
        let is_lost = target.starts_with("/rows-feed?")
            && target.contains(&format!("table={table}&"))
            && text.contains("\"key\"");
        let mut counts = self.counts.lock().unwrap();
        counts.0 += 1;
        counts.1 += u32::from(is_lost);
        is_lost
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(head)) = connection.read_head() {
            let Ok(body) = connection.read_body(&head) else { return };
            thread::sleep(ANSWER_TIME);
            let (status, text) = self.answer(&head, &body);
            if self.is_lost(&head, &text) {
                self.record.write(&format!("the store loses its answer to {}", head.word(1)));
                // The connection delivers nothing further, until its other end closes it.
                while connection.skip() {}
                return;
            }
            let answer = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if connection.write(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (&'static str, String) {
        let target = head.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let bad = || ("400 Bad Request", "{}".to_owned());
        match (head.word(0), path) {
            ("GET", "/rows-get") => ("200 OK", self.read(query)),
            ("GET", "/rows-feed") => ("200 OK", self.feed(query)),
            ("POST", "/rows-tx") => {
                match std::str::from_utf8(body).ok().and_then(Json::parse) {
                    Some(call) => self.transact(&call),
                    None => bad(),
                }
            }
            _ => bad(),
        }
    }

    fn now_ms(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    fn read(&self, query: &str) -> String {
        let (table, part) = (parameter(query, "table"), parameter(query, "part"));
        let (from, target) = (parameter(query, "from"), parameter(query, "target"));
        let limit = parameter(query, "limit").parse().unwrap_or(500_usize).min(500);
        let rows = self.rows.lock().unwrap();
        let found: Vec<_> = rows
            .rows
            .iter()
            .filter(|((row_table, row_part, key), row)| {
                *row_table == table
                    && *row_part == part
                    && *key >= from
                    && (target.is_empty() || *key < target)
                    && row.value.is_some()
            })
            .collect();
        let texts: Vec<_> = found.iter().take(limit).map(|(key, row)| row_text(key, row)).collect();
        format!(
            "{{\"rows\":[{}],\"truncated\":{},\"ver\":{},\"now\":{}}}",
            texts.join(","),
            found.len() > limit,
            rows.version,
            self.now_ms()
        )
    }

    fn feed(&self, query: &str) -> String {
        let table = parameter(query, "table");
        let after: u64 = parameter(query, "after").parse().unwrap_or(0);
        let wait: u64 = parameter(query, "waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let mut found: Vec<_> = rows
                .rows
                .iter()
                .filter(|((row_table, _, _), row)| *row_table == table && row.version > after)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                found.sort_by_key(|(_, row)| row.version);
                let texts: Vec<_> = found.iter().map(|(key, row)| row_text(key, row)).collect();
                let (version, now) = (rows.version, self.now_ms());
                return format!("{{\"rows\":[{}],\"ver\":{version},\"now\":{now}}}", texts.join(","));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, call: &Json) -> (&'static str, String) {
        let place = |entry: &Json| (entry.text("table"), entry.text("part"), entry.text("key"));
        let mut rows = self.rows.lock().unwrap();
        let is_expected = |entry: &Json| {
            let row = rows.rows.get(&place(entry)).filter(|row| row.value.is_some());
            row.map_or(0, |row| row.version) == entry.number("ver") as u64
        };
        if !call.list("expected").iter().all(is_expected) {
            return ("412 Precondition Failed", "{\"rows\":[]}".to_owned());
        }
        let changes = call.list("writes").iter().chain(call.list("deletes"));
        if changes.clone().any(|entry| ["op", "servers"].contains(&entry.text("table").as_str())) {
            return ("403 Forbidden", "{}".to_owned());
        }
        rows.version += 1;
        let version = rows.version;
        for entry in changes {
            let value = entry.get("value").map(|_| entry.text("value"));
            rows.rows.insert(place(entry), Row { version, value });
        }
        self.changed.notify_all();
        ("200 OK", format!("{{\"ver\":{version},\"now\":{}}}", self.now_ms()))
    }
}

fn row_text((table, part, key): &RowKey, row: &Row) -> String {
    let place = format!("\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\"");
    match &row.value {
        Some(value) => format!("{{{place},\"value\":\"{value}\",\"ver\":{}}}", row.version),
        None => format!("{{{place},\"tombstone\":true,\"ver\":{}}}", row.version),
    }
}

fn parameter(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.into_iter().find(|(key, _)| *key == name).map_or("", |(_, value)| value);
    let bytes = value.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let escape = (bytes[at] == b'%').then(|| value.get(at + 1..at + 3)).flatten();
        match escape.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = group.iter().fold(0_u32, |number, byte| number << 8 | u32::from(*byte));
        let number = number << (8 * (3 - group.len()));
        for index in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
