//! The cases, and what they share.

pub mod feed;
pub mod pipeline;
pub mod quota;
pub mod refused;
pub mod stray;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use base::prelude::*;
use directory::prelude::*;
use world::prelude::*;

use crate::caller::{self, Answer, Request};
use crate::fleet::Fleet;
use crate::record::Record;
use crate::store::Store;
use crate::upstream::Upstream;

/// The time between two writes of an upstream's row.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// Writes the rows of the upstreams now and with every heartbeat.
pub fn register(store: &Arc<Store>, upstreams: &[Arc<Upstream>]) {
    let (store, upstreams) = (Arc::clone(store), upstreams.to_vec());
    let write = move |beat| {
        for upstream in &upstreams {
            store.put_upstream(&upstream.entry(), beat);
        }
    };
    write(1);
    thread::spawn(move || {
        for beat in 2.. {
            thread::sleep(HEARTBEAT);
            write(beat);
        }
    });
}

/// A route, with times in milliseconds.
pub struct Route {
    pub host: &'static str,
    pub path_prefix: &'static str,
    pub service: &'static str,
    pub is_safe: bool,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub class: WorkClass,
}

/// Returns a configuration with one route.
pub fn config(version: u64, route: &Route, services: &[&str], connections: u32) -> ConfigEntry {
    let service = |name: &&str| ServiceEntry {
        name: SharedName::from(*name),
        health_path: SharedName::from("/health"),
        connections,
    };
    let call_route = CallRoute {
        name: SharedName::from("r-1"),
        host: SharedName::from(route.host),
        path_prefix: SharedName::from(route.path_prefix),
        idempotent: route.is_safe,
        class: route.class,
        timeout: ClockSpan::from_millis(route.timeout_ms),
        objective: ClockSpan::from_millis(route.target_ms),
        attempts: 2,
        targets: vec![RouteTarget { service: SharedName::from(route.service), weight: 1.0 }],
    };
    ConfigEntry {
        version,
        routes: vec![call_route],
        services: services.iter().map(service).collect(),
        caller_limits: CallerLimits { body_bytes: 64 * 1024 * 1024 },
    }
}

/// A request of the load and its answer.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub at_ms: f64,
    pub gateway: String,
    pub answer: Answer,
}

/// Calls at a steady rate, each on a new connection to the gateway that the balancer chooses.
pub struct Load {
    pub rate: f64,
    pub method: &'static str,
    pub path: &'static str,
    pub host: &'static str,
    pub deadline_ms: u64,
    pub key: Option<&'static str>,
    pub body: &'static str,
}

/// The threads that send the calls of a load.
const SENDERS: usize = 48;

/// Sends calls until `stop` is set. Returns them.
pub fn send_load(
    load: Load,
    fleet: &Arc<Fleet>,
    record: &Arc<Record>,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<Vec<Sent>> {
    let (fleet, record, stop) = (Arc::clone(fleet), Arc::clone(record), Arc::clone(stop));
    thread::spawn(move || {
        let sent = Mutex::new(Vec::new());
        let next = AtomicU64::new(0);
        let start = Instant::now();
        let (tag, load) = ((crate::random() * 1e9) as u64, &load);
        thread::scope(|scope| {
            for _ in 0..SENDERS {
                scope.spawn(|| {
                    loop {
                        let number = next.fetch_add(1, Ordering::SeqCst);
                        let due = start + Duration::from_secs_f64(number as f64 / load.rate);
                        thread::sleep(due.saturating_duration_since(Instant::now()));
                        if stop.load(Ordering::SeqCst) {
                            return;
                        }
                        let id = format!("{tag:08x}{number:08x}");
                        let gateway = fleet.choose();
                        let request = Request {
                            method: load.method,
                            path: load.path,
                            host: load.host,
                            id: &id,
                            deadline_ms: load.deadline_ms,
                            key: load.key,
                            body: load.body,
                        };
                        let at_ms = record.now_ms();
                        record.write(&format!("sent {id} to {}", gateway.name));
                        let answer = caller::call(gateway.front(), &request);
                        record.write(&format!(
                            "answered {id}: {}{}",
                            answer.status,
                            if answer.signed { " signed" } else { "" }
                        ));
                        let gateway = gateway.name.clone();
                        sent.lock().unwrap().push(Sent { id, at_ms, gateway, answer });
                    }
                });
            }
        });
        sent.into_inner().unwrap()
    })
}
