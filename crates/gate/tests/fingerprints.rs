//! What of a request is part of its fingerprint.

mod common;

use base::prelude::*;
use bytes::Bytes;
use codec::prelude::*;
use common::{environment, options};
use gate::body::CallBody;
use gate::state::GateState;
use gate::{fingerprint, plan};
use http::{HeaderValue, Request};

struct RequestCase {
    name: &'static str,
    method: &'static str,
    target: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: &'static str,
    /// Whether it is a repeat of the first request.
    is_repeat: bool,
}

/// Guards against a fingerprint that other requests share, or that changes between repeats of one.
#[test]
fn a_fingerprint_covers_what_an_upstream_acts_on() {
    let case = |name, method, target, headers, body, is_repeat| RequestCase {
        name,
        method,
        target,
        headers,
        body,
        is_repeat,
    };
    let cases = [
        case("the first", "POST", "/book", &[], "square=1", true),
        case("a repeat", "POST", "/book", &[], "square=1", true),
        case("a repeat with a key", "POST", "/book", &[("idempotency-key", "k")], "square=1", true),
        case(
            "a repeat in less time",
            "POST",
            "/book",
            &[("agateroad-deadline-ms", "9")],
            "square=1",
            true,
        ),
        case("another body of the same length", "POST", "/book", &[], "square=2", false),
        case("no body", "POST", "/book", &[], "", false),
        case("another method", "PUT", "/book", &[], "square=1", false),
        case("another path", "POST", "/book/2", &[], "square=1", false),
        case("another query", "POST", "/book?a=1", &[], "square=1", false),
        case("another account", "POST", "/book", &[("authorization", "b")], "square=1", false),
        case("another session", "POST", "/book", &[("cookie", "b")], "square=1", false),
    ];
    let state = GateState::new(options(), environment(([127, 0, 0, 1], 1).into()));
    let compute = |case: &RequestCase| {
        let mut request = Request::builder().method(case.method).uri(case.target);
        request = request.header("host", "desk").header("content-length", case.body.len());
        for (name, value) in case.headers {
            request = request.header(*name, *value);
        }
        let (parts, ()) = request.body(()).expect("a request").into_parts();
        let facts = NativeCodec::read_request(&parts).expect(case.name);
        let now = state.clock.now();
        let id = HeaderValue::from_static("1");
        let call = plan::plan::<NativeCodec>(&state, parts, &facts, &id, now).expect(case.name);
        let body = match case.body {
            "" => CallBody::Empty,
            text => CallBody::Buffered(Bytes::from_static(text.as_bytes())),
        };
        fingerprint::of_call(&state, &call, &facts, &body)
    };
    let first = compute(&cases[0]);
    for case in &cases {
        assert_eq!(compute(case) == first, case.is_repeat, "{}", case.name);
    }
}
