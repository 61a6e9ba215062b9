//! The only upstream of a service refuses a part of the requests, and sends some of its answers twice,
//! the second time late, where the next answer is expected.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use world::prelude::*;

use crate::cases::{self, Load, Route};
use crate::fleet::{Bounds, Fleet};
use crate::record::Record;
use crate::store::Store;
use crate::upstream::{Extra, Plan, Runs, Upstream};

/// The share of the answers that are sent twice: `garble`, `extra late` spoils 0.03 of the answers of
/// 0.6 of the upstreams, and this service has one.
const EXTRA_SHARE: f64 = 0.018;
/// The share of the requests that are refused (`srv_grey`, `shed all`: up to 0.55).
const SHED_SHARE: f64 = 0.3;
/// How long the upstream refuses requests and sends answers twice, and the pause before it does so
/// again.
const SHED_TIME: Duration = Duration::from_millis(8500);
const EXTRA_TIME: Duration = Duration::from_millis(5000);
const CALM_TIME: Duration = Duration::from_millis(1000);
/// The time of the load.
const LENGTH: Duration = Duration::from_secs(95);

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
    let plan = Plan {
        id: "i-booking-1".into(),
        service: "booking-desk".into(),
        zone: "almaty-medeu".into(),
        slots: 6,
        queue: 12,
        work: Duration::from_millis(95),
        body_bytes: 0,
        extra: if trouble { Extra::Repeat } else { Extra::None },
        extra_share: EXTRA_SHARE,
        shed_share: SHED_SHARE,
    };
    let upstreams = vec![Upstream::start(plan, &runs, record)];
    cases::register(&store, &upstreams);
    store.put_config(&cases::config(7, &ROUTE, &["booking-desk"], 220));
    let bounds = Bounds { retry_slack: 58, probe_rate: 60, drain_ms: 2000 };
    let fleet = Arc::new(Fleet::start(15, "almaty-medeu", store.address, &bounds, record)?);
    thread::sleep(Duration::from_secs(3));

    let stop = Arc::new(AtomicBool::new(false));
    let load = Load {
        rate: 55.0,
        method: "POST",
        path: "/booking/2f",
        host: "booking.example",
        deadline_ms: 2000,
        key: None,
        body: "{\"square\":\"nauryz\"}",
    };
    let sending = cases::send_load(load, &fleet, record, &stop);
    // Both come again, each after a pause.
    let until = Instant::now() + LENGTH;
    thread::scope(|scope| {
        scope.spawn(|| repeat(&upstreams[0].sheds, trouble, SHED_TIME, until));
        scope.spawn(|| repeat(&upstreams[0].sends_extra, trouble, EXTRA_TIME, until));
    });
    stop.store(true, Ordering::SeqCst);
    let sent = sending.join().map_err(|_| "the load failed".to_owned())?;

    let served = sent.iter().filter(|sent| sent.answer.status == 200).count();
    record.say(&format!("{} sent, {served} served", sent.len()));
    if served == 0 {
        return Err("no request was served".into());
    }
    let all = runs.all();
    let ran: HashSet<&str> = all.iter().map(|run| run.id.as_str()).collect();
    let promised = |status: u16| [408, 421, 429, 503].contains(&status);
    let broken: Vec<_> = sent
        .iter()
        .filter(|sent| promised(sent.answer.status) && ran.contains(sent.id.as_str()))
        .collect();
    for sent in &broken {
        record
            .say(&format!("REFUSED: {} was answered {} and has run", sent.id, sent.answer.status));
    }
    let twice = all.len() - ran.len();
    if twice > 0 {
        record.say(&format!("TWICE: {twice} requests ran more than once"));
    }
    Ok(broken.is_empty() && twice == 0)
}

/// Sets a switch for `span` at a time, with pauses, until the end.
fn repeat(switch: &AtomicBool, trouble: bool, span: Duration, until: Instant) {
    while Instant::now() < until {
        switch.store(trouble, Ordering::SeqCst);
        thread::sleep(span);
        switch.store(false, Ordering::SeqCst);
        thread::sleep(CALM_TIME);
    }
}
