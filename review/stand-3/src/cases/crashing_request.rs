//! A request that crashes upstreams comes again after all gateways were killed at once: none of them
//! remembers it.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use base::prelude::*;
use directory::prelude::*;
use tokio::task::JoinSet;
use tokio::time::Instant;
use world::prelude::*;

use crate::caller;
use crate::fleet::Fleet;
use crate::record::Record;
use crate::store::Store;
use crate::upstream::{CRASH_PATH, Run, Runs, Upstream};

const ZONES: [&str; 3] = ["suva", "lautoka", "labasa"];
const MACHINES_IN_ZONE: usize = 5;
/// How long all gateways are down (`herd_kill`: share 1.0 for 1 s).
const DOWN_TIME: Duration = Duration::from_secs(1);
/// A client that repeats at once does so up to three times (`retry_abuse`: x = 3.0).
const AT_ONCE: usize = 4;
/// Later it repeats the request this often, one after the other.
const REPEATS: usize = 12;
const REPEAT_PAUSE: Duration = Duration::from_millis(700);
/// `stableWindow`: the time after its start from which a machine is in touch, and after the third
/// crash from which retries count.
const STABLE_S: f64 = 3.0;
/// The most retries.
const RETRIES: usize = 3;

fn config() -> ConfigEntry {
    let service = SharedName::from("pledge-desk");
    let route = CallRoute {
        name: "pledges".into(),
        host: "pledges.example".into(),
        path_prefix: "/pledges/".into(),
        idempotent: false,
        class: WorkClass::Normal,
        timeout: ClockSpan::from_millis(2000),
        objective: ClockSpan::from_millis(400),
        attempts: 2,
        targets: vec![RouteTarget { service: service.clone(), weight: 1.0 }],
    };
    let service = ServiceEntry { name: service, health_path: "/health".into(), connections: 220 };
    let caller_limits = CallerLimits { body_bytes: 64 * 1024 * 1024 };
    ConfigEntry { version: 7, routes: vec![route], services: vec![service], caller_limits }
}

/// Runs the case. Returns whether the rule was broken.
pub async fn run(folder: &Path, trouble: bool) -> io::Result<bool> {
    let record = Record::create(&folder.join("record.txt"))?;
    let store = Store::start().await?;
    let runs = Runs::default();
    for index in 0..6 {
        let id = format!("i-pledge-{index}");
        let place = (id.as_str(), "pledge-desk", ZONES[index % ZONES.len()]);
        Upstream::start(place, 2, Duration::from_millis(160), &runs, &record, &store).await?;
    }
    store.put_config(&config(), &[]);
    let temp = std::env::temp_dir().join(format!("stand-3-{}", std::process::id()));
    std::fs::create_dir_all(&temp)?;
    let mut fleet = Fleet::start(&store, &ZONES, MACHINES_IN_ZONE, &temp)?;
    let result = play(&mut fleet, &record, &runs, trouble).await;
    fleet.end().await;
    let _ = std::fs::remove_dir_all(&temp);
    result
}

async fn play(fleet: &mut Fleet, record: &Record, runs: &Runs, trouble: bool) -> io::Result<bool> {
    let fronts: Vec<_> = fleet.gateways.iter().map(|gateway| gateway.front).collect();
    let mut number = 0;
    for is_second in [false, true] {
        if is_second && trouble {
            for index in 0..fleet.gateways.len() {
                fleet.kill(index).await;
            }
            record.say("all gateways are killed");
            tokio::time::sleep(DOWN_TIME).await;
            for index in 0..fleet.gateways.len() {
                fleet.restart(index)?;
            }
        }
        if !fleet.wait_ready(Duration::from_secs(15)).await {
            return Err(io::Error::other("not all machines are ready"));
        }
        record.say("all gateways are ready");
        // All machines are in touch, and usual requests are served, before the request comes again.
        let calm = Instant::now();
        while calm.elapsed().as_secs_f64() < STABLE_S + 1.0 {
            number += 1;
            send(&fronts, number, "/pledges/2f", record).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let mut copies = JoinSet::new();
        for _ in 0..AT_ONCE {
            number += 1;
            let (fronts, record) = (fronts.clone(), record.clone());
            copies.spawn(async move { send(&fronts, number, CRASH_PATH, &record).await });
        }
        copies.join_all().await;
        for _ in 0..REPEATS {
            number += 1;
            send(&fronts, number, CRASH_PATH, record).await;
            tokio::time::sleep(REPEAT_PAUSE).await;
        }
    }
    Ok(judge(record, &runs.lock().unwrap()))
}

/// Sends a request to one machine after the other.
async fn send(fronts: &[SocketAddr], number: usize, path: &str, record: &Record) {
    let front = fronts[(number * 7) % fronts.len()];
    let id = format!("pledge-{number}{}", if path == CRASH_PATH { "-crash" } else { "" });
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: pledges.example\r\nRequest-Id: {id}\r\n\
         Deadline-Remaining: 2000\r\nContent-Length: 0\r\nConnection: close"
    );
    let answer = caller::call(front, &head, Duration::from_secs(3)).await;
    let answer = answer.map_or_else(|error| error.to_string(), |answer| answer.status.to_string());
    record.write(&format!("{id} was sent to {front}: {answer}"));
}

/// Returns whether the request reached upstreams too often after it had crashed the third.
fn judge(record: &Record, runs: &[Run]) -> bool {
    let crashes: Vec<f64> =
        runs.iter().filter(|run| run.request.ends_with("-crash")).map(|run| run.at).collect();
    let third = crashes.get(2).copied().unwrap_or(f64::MAX);
    let late = crashes.iter().filter(|at| **at > third + STABLE_S).count();
    record.say(&format!(
        "{} upstreams crashed, {late} of them more than {STABLE_S} s after the third; allowed: \
         {RETRIES}",
        crashes.len()
    ));
    late > RETRIES
}
