//! Requests whose bodies crash upstreams, beside requests that differ from them only at their end.

#[path = "support/platform.rs"]
mod environment;

use bytes::Bytes;
use environment::*;
use http::Method;
use stand::prelude::*;
use trial::prelude::*;

/// The end of a body that crashes every upstream which runs it.
const POISON_END: &str = "crash=1";
/// The end of a body that crashes none.
const HARMLESS_END: &str = "crash=2";
/// The most upstreams that a request may crash.
const CRASH_LIMIT: u64 = 3;
/// The harmless requests that are sent together.
const HARMLESS_CALLS: usize = 5;
/// The number of the log event for a request that is confirmed to crash upstreams.
const SUSPECT_CONFIRMED: u32 = 1402;

struct BodyCase {
    name: &'static str,
    /// The bytes before the end of the body.
    bytes: usize,
    chunked: bool,
    /// Whether harmless requests have been served before the first crash.
    harmless_first: bool,
}

/// Makes a call that must not run twice. Returns the status, or 0 without an answer.
async fn post(env: &PlatformEnvironment, case: &BodyCase, id: &str, end: &str) -> u16 {
    let mut body = vec![b'a'; case.bytes];
    body.extend_from_slice(end.as_bytes());
    let (sender, parts) =
        if case.chunked { PartBody::chunked() } else { PartBody::announced(body.len() as u64) };
    sender.send(Bytes::from(body)).expect("the body is open");
    drop(sender);
    let mut connection = open(env.gate.caller_address).await;
    let call = connection.call(request(Method::POST, BOOK, id, None, parts));
    await_event("the call ends", call).await.map_or(0, |answer| answer.status.as_u16())
}

fn crashes(env: &PlatformEnvironment) -> u64 {
    env.upstreams.iter().map(|upstream| upstream.server.counts().crashes).sum()
}

async fn serve_harmless(env: &PlatformEnvironment, case: &BodyCase, series: &str) {
    for index in 0..HARMLESS_CALLS {
        let status = post(env, case, &format!("{series}-{index}"), HARMLESS_END).await;
        assert_eq!(status, 200, "{}, {series}: a harmless request is not served", case.name);
    }
}

async fn check_bodies(case: &BodyCase) {
    let default_plan = EnvironmentPlan::default();
    let upstream = UpstreamPlan { restart_ms: Some(300), ..default_plan.upstream.clone() };
    let plan = EnvironmentPlan { upstreams: 3, upstream, ..default_plan };
    let env = PlatformEnvironment::start(plan).await;
    if case.harmless_first {
        serve_harmless(&env, case, "before").await;
    }
    let confirmed = format!("\"event\":{SUSPECT_CONFIRMED}");
    let mut index = 0;
    wait_until(case.name, async || {
        index += 1;
        post(&env, case, &format!("poison-{index}"), POISON_END).await;
        env.gate.log().contains(&confirmed)
    })
    .await;
    let crashes_before = crashes(&env);
    assert!(crashes_before <= CRASH_LIMIT, "{}: {crashes_before} crashes", case.name);
    for upstream in &env.upstreams {
        await_event("the upstream is back", upstream.server.wait_listening(true)).await;
    }
    serve_harmless(&env, case, "after").await;
    assert_eq!(post(&env, case, "poison-last", POISON_END).await, 503, "{}", case.name);
    assert_eq!(crashes(&env), crashes_before, "{}: a refused request was run", case.name);
}

/// Guards against fingerprints without the content of the body: requests that differ only there are
/// refused because of one that crashes upstreams (review/5), or their successes clear that one
/// (review/1).
#[tokio::test]
async fn only_the_body_that_crashes_upstreams_is_refused() {
    let case =
        |name, bytes, chunked, harmless_first| BodyCase { name, bytes, chunked, harmless_first };
    let cases = [
        case("short, first", 0, false, false),
        case("short, after others", 0, false, true),
        case("in chunks, first", 1_000, true, false),
        case("in chunks, after others", 1_000, true, true),
        case("passed on while it arrives, first", 200_000, false, false),
        case("passed on while it arrives, after others", 200_000, false, true),
        case("passed on in chunks, after others", 200_000, true, true),
    ];
    for case in &cases {
        check_bodies(case).await;
    }
}
