//! Callers send further safe requests before the first one is answered, while the machines are
//! stopped and started in turn.

use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use world::prelude::*;

use crate::cases::{self, Route};
use crate::fleet::{Bounds, Fleet};
use crate::http::Connection;
use crate::record::Record;
use crate::store::Store;
use crate::upstream::{Extra, Plan, Runs, Upstream};

/// The length of an answer: `resp_bytes` of `plate-fetch` is at most 30,000.
const BODY_BYTES: usize = 30_000;
/// The speed of a caller's link: 10 Mbit/s, and its window.
const LINK_BYTES_PER_S: f64 = 1_250_000.0;
const WINDOW_BYTES: i32 = 8192;
/// The requests that a caller sends one after the other, and the time between two of them.
const DEPTH: usize = 3;
const SPACING: Duration = Duration::from_millis(20);
const CALLERS: usize = 12;
const DEADLINE_MS: u64 = 2500;
const GRACE: Duration = Duration::from_secs(6);

const ROUTE: Route = Route {
    host: "plate.example",
    path_prefix: "/plate/",
    service: "platevault",
    is_safe: true,
    timeout_ms: 2500,
    target_ms: 250,
    class: WorkClass::Normal,
};

/// A request whose connection ended before its answer was complete.
struct Cut {
    id: String,
    gateway: String,
    waited: Duration,
    received: usize,
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<bool, String> {
    let (store, runs) = (Store::start(record)?, Arc::new(Runs::default()));
    let upstreams: Vec<_> = (1..=13)
        .map(|number| {
            let plan = Plan {
                id: format!("i-plate-{number}"),
                service: "platevault".into(),
                zone: "lakes-east-a".into(),
                slots: 3,
                queue: 6,
                work: Duration::from_millis(75),
                body_bytes: BODY_BYTES,
                extra: Extra::None,
                extra_share: 0.0,
                shed_share: 0.0,
            };
            Upstream::start(plan, &runs, record)
        })
        .collect();
    cases::register(&store, &upstreams);
    store.put_config(&cases::config(7, &ROUTE, &["platevault"], 1180));
    let bounds = Bounds { retry_slack: 216, probe_rate: 42, drain_ms: 2500 };
    let fleet = Arc::new(Fleet::start(3, "lakes-east-a", store.address, &bounds, record)?);
    thread::sleep(Duration::from_secs(3));

    let stop = AtomicBool::new(false);
    let cuts = Mutex::new(Vec::new());
    let whole = Mutex::new(0_u64);
    let restarted = thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| {
                while !stop.load(Ordering::SeqCst) {
                    let (complete, cut) = converse(&fleet, record, &stop);
                    *whole.lock().unwrap() += complete;
                    cuts.lock().unwrap().extend(cut);
                }
            });
        }
        thread::sleep(Duration::from_secs(5));
        let mut restarted = Ok(());
        for gateway in &fleet.gateways {
            if trouble {
                restarted = restarted.and(fleet.restart(gateway, GRACE));
            }
            thread::sleep(Duration::from_secs(5));
        }
        stop.store(true, Ordering::SeqCst);
        restarted
    });
    restarted?;

    let (cuts, whole) = (cuts.into_inner().unwrap(), whole.into_inner().unwrap());
    record.say(&format!("{whole} requests were answered completely"));
    if whole == 0 {
        return Err("no request was served".into());
    }
    let all = runs.all();
    let ran: HashSet<&str> = all.iter().map(|run| run.id.as_str()).collect();
    // A request that was not passed on, or that reached its deadline, does not count.
    let in_time = Duration::from_millis(DEADLINE_MS);
    let lost: Vec<_> =
        cuts.iter().filter(|cut| ran.contains(cut.id.as_str()) && cut.waited < in_time).collect();
    for cut in &lost {
        record.say(&format!(
            "LOST: {} ran, and {} ended the connection after {} bytes of its answer, {:.0} ms after it was sent",
            cut.id,
            cut.gateway,
            cut.received,
            cut.waited.as_secs_f64() * 1000.0
        ));
    }
    Ok(lost.is_empty())
}

/// Sends requests on one connection until it is closed. Returns how many were answered completely,
/// and those that were not.
fn converse(fleet: &Fleet, record: &Record, stop: &AtomicBool) -> (u64, Vec<Cut>) {
    let gateway = fleet.choose();
    let timeout = Duration::from_millis(DEADLINE_MS + 500);
    let Ok(mut connection) = Connection::open(gateway.front(), timeout) else {
        return (0, Vec::new());
    };
    if connection.set_window(WINDOW_BYTES).is_err() {
        return (0, Vec::new());
    }
    connection.set_rate(LINK_BYTES_PER_S);
    let mut complete = 0;
    while !stop.load(Ordering::SeqCst) {
        let mut waiting = Vec::new();
        for _ in 0..DEPTH {
            let id = format!("{:016x}", (crate::random() * 2_f64.powi(63)) as u64);
            let text = format!(
                "GET /plate/2f HTTP/1.1\r\nHost: plate.example\r\nRequest-Id: {id}\r\n\
                 Deadline-Remaining: {DEADLINE_MS}\r\n\r\n"
            );
            record.write(&format!("sent {id} to {}", gateway.name));
            let sent = Instant::now();
            if connection.write(text.as_bytes()).is_err() {
                break;
            }
            waiting.push((id, sent));
            thread::sleep(SPACING);
        }
        let mut waiting = waiting.into_iter();
        while let Some((id, sent)) = waiting.next() {
            let answer = connection.read_head().and_then(|head| {
                let head = head.ok_or(std::io::ErrorKind::UnexpectedEof)?;
                connection.read_body(&head)?;
                Ok(head)
            });
            match answer {
                Ok(head) => {
                    record.write(&format!("answered {id}: {}", head.word(1)));
                    complete += 1;
                    if head.field("connection").is_some_and(|value| value == "close") {
                        return (complete, Vec::new());
                    }
                }
                Err(error) => {
                    record.write(&format!("{id} has no complete answer: {error}"));
                    let received = connection.waiting_bytes();
                    let first = (id, sent, received);
                    let rest = waiting.map(|(id, sent)| (id, sent, 0));
                    let cuts = std::iter::once(first).chain(rest).map(|(id, sent, received)| {
                        let gateway = gateway.name.clone();
                        Cut { id, gateway, waited: sent.elapsed(), received }
                    });
                    return (complete, cuts.collect());
                }
            }
        }
    }
    (complete, Vec::new())
}
