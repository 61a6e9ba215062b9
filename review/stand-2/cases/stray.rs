//! Upstreams send additional bytes after some of their answers, late, where the next answer is
//! expected.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use world::prelude::*;

use crate::cases::{self, Load, Route};
use crate::fleet::{Bounds, Fleet};
use crate::record::Record;
use crate::store::Store;
use crate::upstream::{Extra, Plan, Runs, Upstream};

/// The share of the answers that are followed by such bytes, at half of the upstreams (`garble`,
/// `extra late`: 0.03 of the answers of 0.6 of the upstreams for 5 s).
const EXTRA_SHARE: f64 = 0.03;
const EXTRA_TIME: Duration = Duration::from_millis(5000);
const CALM_TIME: Duration = Duration::from_millis(1000);
const CYCLES: u32 = 10;

const ROUTE: Route = Route {
    host: "booking.example",
    path_prefix: "/booking/",
    service: "booking-desk",
    is_safe: false,
    timeout_ms: 1000,
    target_ms: 250,
    class: WorkClass::Normal,
};

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<bool, String> {
    let (store, runs) = (Store::start(record)?, Arc::new(Runs::default()));
    let upstreams: Vec<_> = (1..=6)
        .map(|number| {
            let spoils = trouble && number <= 3;
            let plan = Plan {
                id: format!("i-booking-{number}"),
                service: "booking-desk".into(),
                zone: "almaty-medeu".into(),
                slots: 6,
                queue: 12,
                work: Duration::from_millis(95),
                body_bytes: 0,
                extra: if spoils { Extra::Stray } else { Extra::None },
                extra_share: EXTRA_SHARE,
                shed_share: 0.0,
            };
            Upstream::start(plan, &runs, record)
        })
        .collect();
    cases::register(&store, &upstreams);
    store.put_config(&cases::config(7, &ROUTE, &["booking-desk"], 220));
    let bounds = Bounds { retry_slack: 58, probe_rate: 60, drain_ms: 2000 };
    let fleet = Arc::new(Fleet::start(3, "almaty-medeu", store.address, &bounds, record)?);
    thread::sleep(Duration::from_secs(3));

    let stop = Arc::new(AtomicBool::new(false));
    let load = Load {
        rate: 150.0,
        method: "POST",
        path: "/booking/2f",
        host: "booking.example",
        deadline_ms: 2000,
        key: None,
        body: "{\"square\":\"nauryz\"}",
    };
    let sending = cases::send_load(load, &fleet, record, &stop);
    for _ in 0..CYCLES {
        let set = |on| upstreams.iter().for_each(|one| one.sends_extra.store(on, Ordering::SeqCst));
        set(true);
        thread::sleep(EXTRA_TIME);
        set(false);
        thread::sleep(CALM_TIME);
    }
    stop.store(true, Ordering::SeqCst);
    let sent = sending.join().map_err(|_| "the load failed".to_owned())?;

    let served = sent.iter().filter(|sent| sent.answer.status == 200).count();
    record.say(&format!("{} sent, {served} served", sent.len()));
    if served == 0 {
        return Err("no request was served".into());
    }
    let all = runs.all();
    let ran: HashSet<&str> = all.iter().map(|run| run.id.as_str()).collect();
    let is_denied =
        |status: u16| (300..500).contains(&status) && ![408, 421, 429].contains(&status);
    let denied: Vec<_> = sent.iter().filter(|sent| is_denied(sent.answer.status)).collect();
    for sent in &denied {
        let word = if ran.contains(sent.id.as_str()) { "and ran" } else { "and did not run" };
        record.say(&format!("{} was answered {}, unsigned, {word}", sent.id, sent.answer.status));
    }
    let limit = 5.0 + sent.len() as f64 / 500.0;
    record.say(&format!("DENIED: {} of {}; the limit is {limit:.1}", denied.len(), sent.len()));
    Ok(denied.len() as f64 <= limit)
}
