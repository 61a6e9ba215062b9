//! LOST: a gateway gets SIGTERM while calls wait in it for a slot of a busy service. It ends 5.7 s
//! after the signal and closes their connections without an answer.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use agateroad_review::*;

/// How long an archive pull takes. The site's mean is 0.85 s, its longest 5.1 s.
const WORK: Duration = Duration::from_millis(2200);
/// The slots of each of the three upstreams of the service.
const SLOTS: usize = 2;
/// How many requests are sent, 10 ms apart, and how long after the first one the signal is sent.
const REQUESTS: u64 = 24;
const SIGNAL_AFTER: Duration = Duration::from_millis(500);
/// `lossSlack`: a request that was not passed on may be cut within this time of its last byte.
const LOSS_SLACK: Duration = Duration::from_millis(200);

struct Sample {
    id: String,
    sent: Duration,
    ended: Duration,
    end: End,
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| "review/3".into());
    start_watchdog();
    let record = Record::create(&folder);
    let routes = vec![
        safe_route("/look/", "phase", 2000, 500),
        safe_route("/pull/", "archive", 8000, 2000),
    ];
    let store = Store::start(&config(routes, &[("phase", "/health"), ("archive", "/health")]));
    let runs = Arc::new(Runs::default());
    let zones = ["zone-a", "zone-b", "zone-c"];
    let mut upstreams = Vec::new();
    for (service, work) in [("phase", ms(40)), ("archive", WORK)] {
        for zone in zones {
            let plan = UpstreamPlan {
                id: format!("i-{service}-{zone}"),
                service: service.into(),
                zone: zone.into(),
                health_path: "/health".into(),
                slots: if service == "archive" { SLOTS } else { 6 },
                work: Arc::new(move |_| work),
                poison: None,
            };
            upstreams.push(Upstream::start(plan, None, &store, &runs, &record));
        }
    }
    let mut deployment = Deployment::new(&zones, &store);
    deployment.start_all();
    record.line("all gateways are ready");
    thread::sleep(Duration::from_secs(5));

    // Each client has a kept connection, which it has used before.
    let front = deployment.gateways[0].front;
    let offsets: Vec<u64> = (0..REQUESTS).map(|index| index * 10).collect();
    let mut wires = Vec::new();
    for index in 0..offsets.len() {
        let Some(mut wire) = connect(front) else { cannot_run("no connection to the gateway") };
        let id = format!("look-{index}");
        let request = Request { method: "GET", host: "desk.example", path: "/look/moon", id: &id, deadline_ms: 4000, body: b"" };
        let end = exchange(&mut wire, &request);
        record.line(&format!("{id}: {}", end_text(&end)));
        if !matches!(end, End::Answer { status: 200, .. }) {
            cannot_run("a first request was not served");
        }
        wires.push(wire);
    }
    thread::sleep(ms(200));
    // Times in the record count from the first request.
    let begun = Instant::now();
    let samples = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = wires
        .into_iter()
        .zip(offsets)
        .enumerate()
        .map(|(index, (mut wire, offset))| {
            let (samples, record) = (Arc::clone(&samples), Arc::clone(&record));
            thread::spawn(move || {
                thread::sleep((begun + ms(offset)).saturating_duration_since(Instant::now()));
                let id = format!("pull-{index}");
                let request = Request { method: "GET", host: "desk.example", path: "/pull/1912", id: &id, deadline_ms: 15000, body: b"" };
                let sent = begun.elapsed();
                let end = exchange(&mut wire, &request);
                let ended = begun.elapsed();
                record.line(&format!("{id}: sent at {:.3} s, ended at {:.3} s: {}", sent.as_secs_f64(), ended.as_secs_f64(), end_text(&end)));
                samples.lock().unwrap().push(Sample { id, sent, ended, end });
            })
        })
        .collect();
    thread::sleep((begun + SIGNAL_AFTER).saturating_duration_since(Instant::now()));
    if trouble() {
        deployment.gateways[0].signal("TERM");
        record.line(&format!("SIGTERM to {}", deployment.gateways[0].name));
    }
    let signalled = Instant::now();
    for client in clients {
        let _ = client.join();
    }
    if trouble() {
        let until = signalled + Duration::from_secs(7);
        while deployment.gateways[0].ended().is_none() {
            if Instant::now() > until {
                record.say("the gateway did not end by itself");
                break;
            }
            thread::sleep(ms(5));
        }
        record.line(&format!("the gateway has ended by {:.3} s after the signal", signalled.elapsed().as_secs_f64()));
    }
    let mut samples = std::mem::take(&mut *samples.lock().unwrap());
    samples.sort_by_key(|sample| sample.sent);
    let runs = runs.0.lock().unwrap();
    let (mut lost, mut served, mut cut_at_work, mut refused) = (0, 0, 0, 0);
    for sample in &samples {
        let was_run = runs.iter().any(|run| run.id == sample.id);
        match &sample.end {
            End::Answer { status: 200, .. } => served += 1,
            End::Answer { .. } => refused += 1,
            _ if was_run => cut_at_work += 1,
            _ if sample.ended - sample.sent <= LOSS_SLACK => refused += 1,
            end => {
                lost += 1;
                record.say(&format!(
                    "{}: sent {:.3} s before SIGTERM, never passed on, {} {:.3} s after SIGTERM",
                    sample.id,
                    (SIGNAL_AFTER - sample.sent).as_secs_f64(),
                    end_text(end),
                    (sample.ended - SIGNAL_AFTER).as_secs_f64()
                ));
            }
        }
    }
    record.say(&format!(
        "of {} requests: {served} served, {refused} answered otherwise, {cut_at_work} cut while an upstream was at work in the last sixth of grace (excused), {lost} lost",
        samples.len()
    ));
    deployment.remove_folder();
    finish(if lost > 0 { 1 } else { 0 })
}
