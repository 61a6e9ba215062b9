//! Three machines are lost and replaced. They are the seeds of the settings, so that the new ones find
//! no other machine and hold quotas that others hold as well.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::json;

use crate::caller;
use crate::fleet::Fleet;
use crate::record::Record;
use crate::store::Store;
use crate::upstream::{Runs, Upstream};

const ZONES: [&str; 3] = ["a", "b", "c"];
/// Requests a second and the burst of the tenant's quota.
const RATE: f64 = 100.0;
const BURST: f64 = 20.0;
/// Requests of the tenant every 20 ms: 4.5 times its rate. A tenant's usual traffic is its rate divided
/// by 1.6 (`quota_x`), of which a hot tenant sends up to 7.5 times as much, 4.7 times its rate.
const REQUESTS_IN_TICK: usize = 9;
/// `quotaWindow`, `quotaOvershoot` and `quotaSlack` of the users' page.
const WINDOW_S: f64 = 5.0;
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 20.0;

/// The requests that were sent: when, their ids, and the machine.
type Sent = Arc<Mutex<Vec<(f64, String, String)>>>;

/// Runs the case. Returns whether the rule was broken.
pub async fn run(folder: &Path, trouble: bool) -> io::Result<bool> {
    let record = Record::create(&folder.join("record.txt"))?;
    let store = Store::new();
    let runs = Runs::default();
    for index in 0..12 {
        let id = format!("i-{index}");
        let work = Duration::from_millis(10);
        let zone = ZONES[index % 3];
        Upstream::start((&id, "desk", zone), 6, work, &runs, &record, &store).await?;
    }
    store.put(
        "op",
        "config",
        &json!({"version": 1, "routes": [{"name": "r", "host": "h.example",
        "pathPrefix": "/r/", "routeType": "safe", "timeout": 1000, "targetLatency": 250,
        "priority": 1, "service": "desk", "maxAttempts": 2}],
        "services": [{"name": "desk", "healthPath": "/health", "maxConnections": 220}],
        "tenants": [{"name": "hot", "apiKeys": ["key-h"], "ratePerS": RATE, "burst": BURST}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": 3000,
            "idleTimeout": 15000}}),
    );
    let temp = std::env::temp_dir().join(format!("stand-3-{}", std::process::id()));
    std::fs::create_dir_all(&temp)?;
    let mut fleet = Fleet::start(&store, &ZONES, 5, &temp).await?;
    if !fleet.wait_ready(Duration::from_secs(15)).await {
        return Err(io::Error::other("not ready"));
    }
    record.say("all machines are ready");
    // The machines through which others are found have written their rows by then.
    tokio::time::sleep(Duration::from_secs(10)).await;
    let rows = store.keys("agateroad_vms");
    record.say(&format!("machines with a row in the store: {rows:?}"));
    if rows != ["edge-a-1", "edge-b-1", "edge-c-1"] {
        return Err(io::Error::other("another machine than the seeds has a row"));
    }
    // The machines in rotation: name, zone, address and whether it was ready at the last check.
    let rotation: Arc<Mutex<Vec<(String, String, SocketAddr, bool)>>> = Arc::default();
    let sent: Sent = Arc::default();
    let mut tasks = tokio::task::JoinSet::new();
    let begin = tokio::time::Instant::now();
    let (mut lost, mut added) = (false, false);
    let mut tick = tokio::time::interval(Duration::from_millis(20));
    let mut next = 0u64;
    let mut checked = begin - Duration::from_secs(5);
    while begin.elapsed() < Duration::from_secs(18) {
        tick.tick().await;
        let second = begin.elapsed().as_secs_f64();
        if trouble && second > 6.0 && !lost {
            for index in [0, 5, 10] {
                fleet.kill(index).await;
            }
            record.say("edge-a-1, edge-b-1 and edge-c-1 are lost");
            lost = true;
        }
        if trouble && second > 6.3 && !added {
            for zone in 0..ZONES.len() {
                fleet.add(zone, 6).await?;
            }
            record.say("edge-a-6, edge-b-6 and edge-c-6 are added");
            added = true;
        }
        if checked.elapsed() > Duration::from_millis(500) {
            checked = tokio::time::Instant::now();
            let mut list = Vec::new();
            for gateway in &fleet.gateways {
                let ready = gateway.child.is_some() && caller::is_ready(gateway.ready).await;
                list.push((gateway.name.clone(), gateway.zone.clone(), gateway.front, ready));
            }
            *rotation.lock().unwrap() = list;
        }
        for _ in 0..REQUESTS_IN_TICK {
            next += 1;
            let zone = ZONES[next as usize % 3];
            let (name, front) = {
                let rotation = rotation.lock().unwrap();
                let ready: Vec<_> =
                    rotation.iter().filter(|(_, own, _, ready)| own == zone && *ready).collect();
                if ready.is_empty() {
                    continue;
                }
                let chosen = ready[(next / 3) as usize % ready.len()];
                (chosen.0.clone(), chosen.2)
            };
            let (sent, record) = (Arc::clone(&sent), record.clone());
            let id = format!("h{next}");
            tasks.spawn(async move {
                let at = record.seconds();
                let head = format!(
                    "GET /r/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\n\
                     Deadline-Remaining: 1000\r\nAuthorization: Token key-h\r\nConnection: close"
                );
                let answer = caller::call(front, &head, Duration::from_secs(2)).await;
                let status = answer.map_or(0, |answer| answer.status);
                record.write(&format!("{id} sent to {name} at {at:.3}: {status}"));
                sent.lock().unwrap().push((at, id, name));
            });
        }
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
    fleet.end().await;
    let _ = std::fs::remove_dir_all(&temp);
    Ok(judge(&record, &sent.lock().unwrap(), &runs))
}

/// Returns whether in some window more requests were sent and run than the quota allows.
fn judge(record: &Record, sent: &[(f64, String, String)], runs: &Runs) -> bool {
    let sent: HashMap<&str, (f64, &str)> =
        sent.iter().map(|(at, id, name)| (id.as_str(), (*at, name.as_str()))).collect();
    // A request counts once, from the first time that an upstream ran it.
    let mut times: HashMap<&str, (f64, f64, &str)> = HashMap::new();
    let runs = runs.lock().unwrap();
    for run in runs.iter() {
        if let Some((at, name)) = sent.get(run.request.as_str()) {
            times.entry(run.request.as_str()).or_insert((*at, run.at, name));
        }
    }
    let times: Vec<_> = times.into_values().collect();
    let allowed = (RATE * WINDOW_S + BURST) * (1.0 + OVERSHOOT) + SLACK;
    let inside = |start: f64| {
        times.iter().filter(move |(sent, run, _)| *sent >= start && *run <= start + WINDOW_S)
    };
    let worst = times.iter().map(|(start, _, _)| (inside(*start).count(), *start));
    let (count, start) = worst.max_by_key(|(count, _)| *count).unwrap_or((0, 0.0));
    let new = inside(start).filter(|(_, _, name)| name.ends_with("-6")).count();
    record.say(&format!(
        "most requests that were sent and run in {WINDOW_S} s: {count}, from {start:.3} on, {new} of \
         them through added machines; allowed: {allowed}"
    ));
    count as f64 > allowed
}
