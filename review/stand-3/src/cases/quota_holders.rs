//! Three machines are lost and replaced. They are the seeds of the settings, so that the new ones find
//! no other machine and hold quotas that others hold as well.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base::prelude::*;
use directory::prelude::*;
use platform::stand::AccountPlan;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior};
use world::prelude::*;

use crate::caller;
use crate::fleet::Fleet;
use crate::record::Record;
use crate::store::Store;
use crate::upstream::{Runs, Upstream};

const ZONES: [&str; 3] = ["guj-west-a", "guj-west-b", "guj-west-c"];
const MACHINES_IN_ZONE: usize = 5;
/// The table in which machines that others find through the store have a row.
const MACHINE_TABLE: &str = "agateroad_vms";

/// The quota of the tenant: requests a second, and the burst.
const RATE: f64 = 100.0;
const BURST: f64 = 20.0;
/// What the tenant usually sends in 20 ms: its rate divided by 1.6 (`quota_x`).
const USUAL_IN_TICK: f64 = 1.25;
/// How much more it sends while it is hot (`hot_tenant`: up to x = 7.5 for 6.5 s).
const HOT: f64 = 7.2;
const HOT_SECONDS: [f64; 2] = [7.0, 13.5];
const TICK: Duration = Duration::from_millis(20);

/// When the first machine of each zone is lost, and when another one is added there.
const LOST_SECOND: f64 = 6.0;
const ADDED_SECOND: f64 = 6.3;
const END_SECOND: f64 = 16.0;

/// `quotaWindow`, `quotaOvershoot` and `quotaSlack` of the site.
const WINDOW_S: f64 = 5.0;
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 20.0;

/// A machine: its name, its zone, its address and whether it was ready at the last check.
type Machine = (String, String, SocketAddr, bool);
/// The requests that were sent: when, their ids, and the machine.
type Sent = Arc<Mutex<Vec<(f64, String, String)>>>;

fn config() -> ConfigEntry {
    let service = SharedName::from("trackdesk");
    let route = CallRoute {
        name: "status".into(),
        host: "status.example".into(),
        path_prefix: "/status/".into(),
        idempotent: true,
        class: WorkClass::Urgent,
        timeout: ClockSpan::from_millis(1000),
        objective: ClockSpan::from_millis(250),
        attempts: 2,
        targets: vec![RouteTarget { service: service.clone(), weight: 1.0 }],
    };
    let service = ServiceEntry { name: service, health_path: "/health".into(), connections: 1000 };
    let caller_limits = CallerLimits { body_bytes: 64 * 1024 * 1024 };
    ConfigEntry { version: 7, routes: vec![route], services: vec![service], caller_limits }
}

/// Runs the case. Returns whether the rule was broken.
pub async fn run(folder: &Path, trouble: bool) -> io::Result<bool> {
    let record = Record::create(&folder.join("record.txt"))?;
    let store = Store::start().await?;
    let runs = Runs::default();
    for index in 0..12 {
        let id = format!("i-track-{index}");
        let place = (id.as_str(), "trackdesk", ZONES[index % ZONES.len()]);
        let work = Duration::from_millis(10);
        Upstream::start(place, 6, work, &runs, &record, &store).await?;
    }
    let tenant = AccountPlan { name: "anand", key: "anand-key-1", rate: RATE, burst: BURST };
    store.put_config(&config(), &[tenant]);
    let temp = std::env::temp_dir().join(format!("stand-3-{}", std::process::id()));
    std::fs::create_dir_all(&temp)?;
    let mut fleet = Fleet::start(&store, &ZONES, MACHINES_IN_ZONE, &temp)?;
    let result = play(&mut fleet, &store, &record, &runs, trouble).await;
    fleet.end().await;
    let _ = std::fs::remove_dir_all(&temp);
    result
}

async fn play(
    fleet: &mut Fleet,
    store: &Store,
    record: &Record,
    runs: &Runs,
    trouble: bool,
) -> io::Result<bool> {
    if !fleet.wait_ready(Duration::from_secs(15)).await {
        return Err(io::Error::other("not all machines are ready"));
    }
    record.say("all machines are ready");
    // The machines through which others are found have written their rows by then.
    tokio::time::sleep(Duration::from_secs(10)).await;
    let names = fleet.gateways.iter().map(|gateway| &gateway.name);
    let listed: Vec<_> = names.filter(|name| store.has(MACHINE_TABLE, name)).collect();
    record.say(&format!("machines with a row in the store: {listed:?}"));
    let sent = Sent::default();
    let mut tasks = JoinSet::new();
    let begin = Instant::now();
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut is_lost, mut is_added) = (!trouble, !trouble);
    let (mut machines, mut checked_at) = (rotation(fleet).await, begin);
    let (mut owed, mut number) = (0.0, 0);
    loop {
        ticks.tick().await;
        let second = begin.elapsed().as_secs_f64();
        if second >= END_SECOND {
            break;
        }
        if second >= LOST_SECOND && !is_lost {
            for zone in 0..ZONES.len() {
                fleet.kill(zone * MACHINES_IN_ZONE).await;
            }
            record.say("the first machine of each zone is lost");
            is_lost = true;
        }
        if second >= ADDED_SECOND && !is_added {
            for zone in 0..ZONES.len() {
                fleet.add(zone, MACHINES_IN_ZONE + 1)?;
            }
            record.say("a machine is added in each zone");
            is_added = true;
        }
        if checked_at.elapsed() >= Duration::from_millis(500) {
            (machines, checked_at) = (rotation(fleet).await, Instant::now());
        }
        let is_hot = (HOT_SECONDS[0]..HOT_SECONDS[1]).contains(&second);
        owed += USUAL_IN_TICK * if is_hot { HOT } else { 1.0 };
        while owed >= 1.0 {
            owed -= 1.0;
            number += 1;
            if let Some((name, _, front, _)) = choose(&machines, number) {
                let (name, front) = (name.clone(), *front);
                let (sent, record) = (Arc::clone(&sent), record.clone());
                tasks.spawn(async move { send(number, name, front, &sent, &record).await });
            }
        }
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
    let sent = sent.lock().unwrap();
    Ok(judge(record, &sent, &runs.lock().unwrap()))
}

/// Asks each machine whether it is ready, as the platform does.
async fn rotation(fleet: &Fleet) -> Vec<Machine> {
    let mut machines = Vec::new();
    for gateway in &fleet.gateways {
        let is_ready = gateway.child.is_some() && caller::is_ready(gateway.ready).await;
        machines.push((gateway.name.clone(), gateway.zone.clone(), gateway.front, is_ready));
    }
    machines
}

/// Returns the machine for a request: the zones in turn, and in a zone the machines that are ready in
/// turn.
fn choose(machines: &[Machine], number: usize) -> Option<&Machine> {
    let zone = ZONES[number % ZONES.len()];
    let ready: Vec<_> = machines.iter().filter(|machine| machine.1 == zone && machine.3).collect();
    let index = (number / ZONES.len()).checked_rem(ready.len())?;
    Some(ready[index])
}

async fn send(number: usize, name: String, front: SocketAddr, sent: &Sent, record: &Record) {
    let id = format!("anand-{number}");
    let at = record.seconds();
    let head = format!(
        "GET /status/2f HTTP/1.1\r\nHost: status.example\r\nRequest-Id: {id}\r\n\
         Deadline-Remaining: 1000\r\nAuthorization: Token anand-key-1\r\nConnection: close"
    );
    let answer = caller::call(front, &head, Duration::from_secs(2)).await;
    let answer = answer.map_or_else(|error| error.to_string(), |answer| answer.status.to_string());
    record.write(&format!("{id} was sent to {name} at {at:.3}: {answer}"));
    sent.lock().unwrap().push((at, id, name));
}

/// Returns whether in some window more requests were sent and run than the quota allows.
fn judge(record: &Record, sent: &[(f64, String, String)], runs: &[crate::upstream::Run]) -> bool {
    let sent: HashMap<&str, (f64, &str)> =
        sent.iter().map(|(at, id, name)| (id.as_str(), (*at, name.as_str()))).collect();
    // A request counts once, from the first time that an upstream ran it.
    let mut times: HashMap<&str, (f64, f64, &str)> = HashMap::new();
    for run in runs {
        if let Some((at, name)) = sent.get(run.request.as_str()) {
            times.entry(run.request.as_str()).or_insert((*at, run.at, name));
        }
    }
    let times: Vec<_> = times.into_values().collect();
    let allowed = (RATE * WINDOW_S + BURST) * (1.0 + OVERSHOOT) + SLACK;
    let inside = |start: f64| {
        times.iter().filter(move |(sent, run, _)| *sent >= start && *run <= start + WINDOW_S)
    };
    let counts = times.iter().map(|(start, _, _)| (inside(*start).count(), *start));
    let (count, start) = counts.max_by_key(|(count, _)| *count).unwrap_or((0, 0.0));
    let added = format!("-{}", MACHINES_IN_ZONE + 1);
    let through_added = inside(start).filter(|(_, _, name)| name.ends_with(&added)).count();
    record.say(&format!(
        "most requests that were sent and run in {WINDOW_S} s: {count}, from {start:.3} on, \
         {through_added} of them through added machines; allowed: {allowed}"
    ));
    count as f64 > allowed
}
