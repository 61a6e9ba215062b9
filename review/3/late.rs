//! LOST: a gateway gets SIGTERM, takes requests on kept connections for 3.2 s more, and ends 5.7 s
//! after the signal, while upstreams are at work on some of them.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use agateroad_review::*;

/// How long an archive pull takes. The site's mean is 0.85 s, its longest 5.1 s.
const WORK: Duration = Duration::from_millis(2750);
/// When the first and the last request are sent, in milliseconds after the signal, and the step.
const OFFSETS: (u64, u64, u64) = (2700, 3400, 50);
/// Requests that were sent no later than this after the signal may be cut at the end of `grace`.
const EXCUSED: Duration = Duration::from_millis(3020);

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
                slots: 6,
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
    let (first, last, step) = OFFSETS;
    let offsets: Vec<u64> = (first..=last).step_by(step as usize).collect();
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
    if trouble() {
        deployment.gateways[0].signal("TERM");
        record.line(&format!("SIGTERM to {}", deployment.gateways[0].name));
    }
    let signalled = Instant::now();
    let samples = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = wires
        .into_iter()
        .zip(offsets)
        .enumerate()
        .map(|(index, (mut wire, offset))| {
            let (samples, record) = (Arc::clone(&samples), Arc::clone(&record));
            thread::spawn(move || {
                thread::sleep((signalled + ms(offset)).saturating_duration_since(Instant::now()));
                let id = format!("pull-{index}");
                let request = Request { method: "GET", host: "desk.example", path: "/pull/1912", id: &id, deadline_ms: 15000, body: b"" };
                let sent = signalled.elapsed();
                let end = exchange(&mut wire, &request);
                let ended = signalled.elapsed();
                record.line(&format!("{id}: sent {:.3} s after the signal, ended {:.3} s after it: {}", sent.as_secs_f64(), ended.as_secs_f64(), end_text(&end)));
                samples.lock().unwrap().push(Sample { id, sent, ended, end });
            })
        })
        .collect();
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
    let mut lost = 0;
    let (mut served, mut excused, mut closed) = (0, 0, 0);
    for sample in &samples {
        let was_run = runs.iter().any(|run| run.id == sample.id);
        let answered = matches!(sample.end, End::Answer { status: 200, .. });
        if answered {
            served += 1;
        } else if !was_run {
            closed += 1;
        } else if sample.sent <= EXCUSED {
            excused += 1;
        } else {
            lost += 1;
            record.say(&format!(
                "{}: sent {:.3} s after SIGTERM, passed on, {} {:.3} s after SIGTERM",
                sample.id,
                sample.sent.as_secs_f64(),
                end_text(&sample.end),
                sample.ended.as_secs_f64()
            ));
        }
    }
    record.say(&format!(
        "of {} requests: {served} served, {closed} closed or refused without having run, {excused} cut and excused (sent within 3 s), {lost} lost",
        samples.len()
    ));
    deployment.remove_folder();
    finish(if lost > 0 { 1 } else { 0 })
}
