//! A tenant asks for more than its quota while the machines are restarted in turn.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use platform::stand::AccountPlan;
use world::prelude::*;

use crate::cases::{self, Load, Route};
use crate::fleet::{Bounds, Fleet};
use crate::record::Record;
use crate::store::Store;
use crate::upstream::{Extra, Plan, Runs, Upstream};

/// The quota of the tenant: requests per second, and as many at once.
const RATE: f64 = 50.0;
const BURST: f64 = 50.0;
/// What the tenant usually asks for in a second: its quota is 1.6 times that (`quota_x`).
const USUAL: f64 = 31.0;
/// How much more it asks for while it is hot, and for how long (`hot_tenant`: x = 7.5 for 6.5 s).
const HOT: f64 = 7.5;
const HOT_TIME: Duration = Duration::from_millis(6500);
/// The machine is stopped this long after the tenant became hot.
const STOP_DELAY: Duration = Duration::from_millis(500);
/// The time between two restarts, and the calm time before the first.
const CALM_TIME: Duration = Duration::from_secs(8);
/// `quotaWindow`, `quotaOvershoot` and `quotaSlack` of the site.
const WINDOW_MS: f64 = 5000.0;
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 20.0;
/// `grace` of the site.
const GRACE: Duration = Duration::from_secs(6);

const ROUTE: Route = Route {
    host: "status.example",
    path_prefix: "/status/",
    service: "trackdesk",
    is_safe: true,
    timeout_ms: 1000,
    target_ms: 250,
    class: WorkClass::Urgent,
};
const TENANT: AccountPlan<'_> =
    AccountPlan { name: "north", key: "north-key-1", rate: RATE, burst: BURST };

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<bool, String> {
    let (store, runs) = (Store::start(record)?, Arc::new(Runs::default()));
    let upstreams: Vec<_> = (1..=8)
        .map(|number| {
            let plan = Plan {
                id: format!("i-track-{number}"),
                service: "trackdesk".into(),
                zone: "guj-west-a".into(),
                slots: 6,
                queue: 12,
                work: Duration::from_millis(20),
                body_bytes: 0,
                extra: Extra::None,
                extra_share: 0.0,
                shed_share: 0.0,
            };
            Upstream::start(plan, &runs, record)
        })
        .collect();
    cases::register(&store, &upstreams);
    store.put_config_with(&cases::config(7, &ROUTE, &["trackdesk"], 1000), &[TENANT]);
    let bounds = Bounds { retry_slack: 188, probe_rate: 42, drain_ms: 2500 };
    let fleet = Arc::new(Fleet::start(3, "guj-west-a", store.address, &bounds, record)?);
    thread::sleep(Duration::from_secs(3));

    let stop = Arc::new(AtomicBool::new(false));
    let load = |rate: f64| Load {
        rate,
        method: "GET",
        path: "/status/2f",
        host: "status.example",
        deadline_ms: 1000,
        key: Some("north-key-1"),
        body: "",
    };
    let usual = cases::send_load(load(USUAL), &fleet, record, &stop);
    thread::sleep(CALM_TIME);
    let mut sent = Vec::new();
    let mut restarted = Ok(());
    for gateway in &fleet.gateways {
        record.say(&format!("tenant north asks for {:.0} requests a second", USUAL * HOT));
        let is_over = Arc::new(AtomicBool::new(false));
        let hot = cases::send_load(load(USUAL * (HOT - 1.0)), &fleet, record, &is_over);
        let timer = Arc::clone(&is_over);
        thread::spawn(move || {
            thread::sleep(HOT_TIME);
            timer.store(true, Ordering::SeqCst);
        });
        thread::sleep(STOP_DELAY);
        if trouble {
            restarted = restarted.and(fleet.restart(gateway, GRACE));
        }
        sent.extend(hot.join().map_err(|_| "the load failed".to_owned())?);
        record.say("tenant north asks for its usual rate");
        thread::sleep(CALM_TIME);
    }
    stop.store(true, Ordering::SeqCst);
    sent.extend(usual.join().map_err(|_| "the load failed".to_owned())?);
    restarted?;

    let served = sent.iter().filter(|sent| sent.answer.status == 200).count();
    let refused = sent.iter().filter(|sent| sent.answer.status == 429).count();
    record.say(&format!("{} sent, {served} served, {refused} answered with 429", sent.len()));
    if served == 0 {
        return Err("no request was served".into());
    }
    let limit = (RATE * WINDOW_MS / 1000.0 + BURST) * (1.0 + OVERSHOOT) + SLACK;
    let sent_at: std::collections::HashMap<_, _> =
        sent.iter().map(|sent| (sent.id.as_str(), sent.at_ms)).collect();
    let all = runs.all();
    let mut spans: Vec<(f64, f64)> = all
        .iter()
        .filter(|run| run.tenant == "north")
        .filter_map(|run| Some((*sent_at.get(run.id.as_str())?, run.at_ms)))
        .collect();
    spans.sort_by(|first, second| first.0.total_cmp(&second.0));
    let count = |from: f64| {
        let inside = |span: &&(f64, f64)| span.0 >= from && span.1 <= from + WINDOW_MS;
        spans.iter().filter(inside).count()
    };
    let most = spans.iter().map(|(from, _)| (count(*from), *from)).max_by_key(|(count, _)| *count);
    let (most, from) = most.unwrap_or((0, 0.0));
    record.say(&format!(
        "QUOTA: at most {most} requests of north in {WINDOW_MS} ms, from {from:.0} ms; the limit is {limit:.0}"
    ));
    Ok(most as f64 <= limit)
}
