//! The store loses its answers to the feed of the configuration while the operator moves a route to
//! another service.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use directory::prelude::*;
use world::prelude::*;

use crate::cases::{self, Load, Route};
use crate::fleet::{Bounds, Fleet};
use crate::record::Record;
use crate::store::Store;
use crate::upstream::{Extra, Plan, Runs, Upstream};

/// How long answers are lost (`platform_lost`).
const LOSS_TIME: Duration = Duration::from_millis(4500);
/// `stableWindow` and `configApply` of the site.
const STABLE_MS: f64 = 3000.0;
const APPLY_MS: f64 = 2000.0;
/// How long the load goes on after the change.
const REST: Duration = Duration::from_secs(40);

const SERVICES: [&str; 2] = ["phase-desk", "almanac-office"];

fn config(version: u64, service: &'static str) -> ConfigEntry {
    let route = Route {
        host: "phase.example",
        path_prefix: "/phase/",
        service,
        is_safe: true,
        timeout_ms: 800,
        target_ms: 200,
        class: WorkClass::Deferrable,
    };
    cases::config(version, &route, &SERVICES, 220)
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<bool, String> {
    let (store, runs) = (Store::start(record)?, Arc::new(Runs::default()));
    let upstreams: Vec<_> = SERVICES
        .into_iter()
        .flat_map(|service| (1..=4).map(move |number| (service, number)))
        .map(|(service, number)| {
            let plan = Plan {
                id: format!("i-{service}-{number}"),
                service: service.into(),
                zone: "almaty-medeu".into(),
                slots: 6,
                queue: 12,
                work: Duration::from_millis(73),
                body_bytes: 0,
                extra: Extra::None,
                extra_share: 0.0,
                shed_share: 0.0,
            };
            Upstream::start(plan, &runs, record)
        })
        .collect();
    cases::register(&store, &upstreams);
    store.put_config(&config(7, "phase-desk"));
    let bounds = Bounds { retry_slack: 58, probe_rate: 60, drain_ms: 2000 };
    let fleet = Arc::new(Fleet::start(3, "almaty-medeu", store.address, &bounds, record)?);
    thread::sleep(Duration::from_secs(6));

    let stop = Arc::new(AtomicBool::new(false));
    let load = Load {
        rate: 30.0,
        method: "GET",
        path: "/phase/2f",
        host: "phase.example",
        deadline_ms: 1500,
        key: None,
        body: "",
    };
    let sending = cases::send_load(load, &fleet, record, &stop);
    thread::sleep(Duration::from_secs(5));
    if trouble {
        store.lose_config(true);
    }
    store.put_config(&config(8, "almanac-office"));
    let acknowledged = record.now_ms();
    record.say("version 8 is acknowledged: the route moves from phase-desk to almanac-office");
    thread::sleep(LOSS_TIME);
    store.lose_config(false);
    let stable = if trouble { record.now_ms() + STABLE_MS } else { acknowledged };
    let (answers, lost) = store.counts();
    record.say(&format!("the store loses no more answers; it lost {lost} of {answers}"));
    thread::sleep(REST);
    stop.store(true, Ordering::SeqCst);
    let sent = sending.join().map_err(|_| "the load failed".to_owned())?;

    let bound = stable.max(acknowledged + APPLY_MS);
    let ran: HashMap<_, _> = runs.all().into_iter().map(|run| (run.id, run.upstream)).collect();
    let is_old =
        |id: &str| ran.get(id).is_some_and(|upstream| upstream.starts_with("i-phase-desk"));
    let late: Vec<_> = sent.iter().filter(|sent| sent.at_ms > bound && is_old(&sent.id)).collect();
    for gateway in &fleet.gateways {
        let last = sent.iter().filter(|sent| sent.gateway == gateway.name && is_old(&sent.id));
        let last = last.map(|sent| sent.at_ms).fold(0.0, f64::max) - acknowledged;
        record.say(&format!("{}: the last request that the old service ran was sent {last:.0} ms after the acknowledgement", gateway.name));
    }
    let after = sent.iter().filter(|sent| sent.at_ms > bound).count();
    record.say(&format!(
        "CONFIG: {} of {after} requests sent later than {:.0} ms after the acknowledgement were run by the old service",
        late.len(),
        bound - acknowledged
    ));
    if after == 0 {
        return Err("no request was sent after the bound".into());
    }
    Ok(late.is_empty())
}
