//! UNASKED: an upstream ends and its address goes to an upstream of another service. The gateways'
//! health checks name no instance, and the other service has another health path.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use agateroad_review::*;

/// How long after the end of the upstream its address is used again. `addrReuse` is 2 s.
const REUSE_AFTER: Duration = Duration::from_millis(2200);

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| "review/2".into());
    start_watchdog();
    let record = Record::create(&folder);
    let routes = vec![
        safe_route("/look/", "phase", 800, 200),
        unsafe_route("/book/", "booking", 1000, 250),
    ];
    let store = Store::start(&config(routes, &[("phase", "/phase/health"), ("booking", "/booking/health")]));
    let runs = Arc::new(Runs::default());
    let zones = ["zone-a", "zone-b", "zone-c"];
    let plan = |id: &str, service: &str, zone: &str| UpstreamPlan {
        id: id.into(),
        service: service.into(),
        zone: zone.into(),
        health_path: format!("/{service}/health"),
        slots: 6,
        work: Arc::new(|_| ms(40)),
        poison: None,
    };
    let start = |id: &str, service: &str, zone: &str, address| {
        Upstream::start(plan(id, service, zone), address, &store, &runs, &record)
    };
    let phase: Vec<_> = zones.iter().map(|zone| start(&format!("i-phase-{zone}"), "phase", zone, None)).collect();
    let _booking: Vec<_> = zones.iter().map(|zone| start(&format!("i-book-{zone}"), "booking", zone, None)).collect();

    let mut deployment = Deployment::new(&zones, &store);
    deployment.start_all();
    record.line("all gateways are ready");

    let sent = Arc::new(Sent::default());
    let (served, failed) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (index, gateway) in deployment.gateways.iter().enumerate() {
        for kind in 0..2 {
            let (front, sent, stop, record) = (gateway.front, Arc::clone(&sent), Arc::clone(&stop), Arc::clone(&record));
            let (served, failed) = (Arc::clone(&served), Arc::clone(&failed));
            clients.push(thread::spawn(move || {
                for number in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("client-{index}-{kind}-{number}");
                    sent.0.lock().unwrap().insert(id.clone());
                    let (method, path) = if kind == 0 { ("GET", "/look/moon") } else { ("POST", "/book/square") };
                    let body: &[u8] = if kind == 0 { b"" } else { b"square=7" };
                    let request = Request { method, host: "desk.example", path, id: &id, deadline_ms: 1500, body };
                    let end = call(front, &request);
                    record.line(&format!("{id}: {}", end_text(&end)));
                    let counter = if matches!(end, End::Answer { status: 200, .. }) { &served } else { &failed };
                    counter.fetch_add(1, Ordering::SeqCst);
                    thread::sleep(ms(250));
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(5));
    if trouble() {
        let ended = Instant::now();
        phase[0].go_dark();
        thread::sleep(REUSE_AFTER.saturating_sub(ended.elapsed()));
        phase[0].crash();
        let _other = start("i-book-new", "booking", zones[0], Some(phase[0].address));
        thread::sleep(Duration::from_secs(8).saturating_sub(ended.elapsed()));
    } else {
        thread::sleep(Duration::from_secs(8));
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(ms(300));
    let sent = sent.0.lock().unwrap();
    let runs = runs.0.lock().unwrap();
    let unasked: Vec<_> = runs.iter().filter(|run| !sent.contains(&run.id)).collect();
    for run in unasked.iter().take(5) {
        record.say(&format!(
            "{} of {} ran {} {} with the id {}, which no client sent",
            run.upstream, run.service, run.method, run.target, run.id
        ));
    }
    let (served, failed) = (served.load(Ordering::SeqCst), failed.load(Ordering::SeqCst));
    record.say(&format!(
        "requests served: {served}, not served: {failed}; runs: {}, of which no client sent: {}",
        runs.len(),
        unasked.len()
    ));
    if served < 100 {
        cannot_run("too few requests were served");
    }
    deployment.remove_folder();
    finish(if unasked.is_empty() { 0 } else { 1 })
}
