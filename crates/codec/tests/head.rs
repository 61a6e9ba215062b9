//! Properties of the checks of request heads and of the rules for headers.

use codec::prelude::*;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::request::Parts;
use http::{Request, StatusCode};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::{RngSeed, TestRunner};

const SEED: u64 = 20_261_204;
const CASES: u32 = 2_000;
/// The most that the depth header may say.
const MAX_DEPTH: u64 = 8;

fn seeded_runner() -> TestRunner {
    let rng_seed = RngSeed::Fixed(SEED);
    let failure_persistence = None;
    TestRunner::new(ProptestConfig {
        cases: CASES,
        rng_seed,
        failure_persistence,
        ..Default::default()
    })
}

const NAMES: [&str; 22] = [
    "host",
    "content-length",
    "transfer-encoding",
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "upgrade",
    "expect",
    "agateroad-deadline-ms",
    "agateroad-depth",
    "agateroad-attempt",
    "agateroad-request-id",
    "agateroad-outcome",
    "agateroad-load",
    "agateroad-drain",
    "agateroad-shed",
    "idempotency-key",
    "x-first",
    "x-second",
    "accept",
];

/// Names that no upstream may see.
const REMOVED: [&str; 14] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "agateroad-attempt",
    "agateroad-request-id",
    "agateroad-outcome",
    "agateroad-load",
    "agateroad-drain",
    "agateroad-shed",
];

const VALUES: [&str; 16] = [
    "",
    "0",
    "5",
    "8",
    "9",
    "+5",
    "-1",
    "5, 5",
    "chunked",
    "gzip",
    "close",
    "x-first",
    "a.test",
    "X-First, x-second",
    "18446744073709551616",
    "key-1",
];

fn headers() -> impl Strategy<Value = Vec<(&'static str, String)>> {
    let value = prop_oneof![
        4 => select(&VALUES[..]).prop_map(str::to_owned),
        1 => "[ -~]{0,20}",
    ];
    vec((select(&NAMES[..]), value), 0..8)
}

fn parts(headers: &[(&'static str, String)]) -> Parts {
    let mut request = Request::builder().uri("/phase").method("POST");
    for (name, value) in headers {
        request = request.header(*name, value);
    }
    request.body(()).expect("a valid request").into_parts().0
}

fn values<'a>(headers: &'a [(&'static str, String)], name: &str) -> Vec<&'a str> {
    headers.iter().filter(|(own, _)| *own == name).map(|(_, value)| value.as_str()).collect()
}

fn is_digits(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit())
}

/// Guards against heads that two readers understand differently, and against calls that are
/// accepted with values which break a rule.
#[test]
fn accepted_heads_have_one_meaning() {
    let check = |headers: Vec<(&'static str, String)>| {
        let Ok(facts) = NativeCodec::read_request(&parts(&headers)) else { return Ok(()) };
        let lengths = values(&headers, "content-length");
        let chunked = values(&headers, "transfer-encoding") == ["chunked"];
        prop_assert!(chunked || values(&headers, "transfer-encoding").is_empty());
        prop_assert!(!chunked || lengths.is_empty());
        prop_assert!(lengths.len() <= 1 && lengths.iter().all(|length| is_digits(length)));
        let announced = lengths.first().map_or(Ok(0), |length| length.parse());
        let announced = announced.map(BodyLength::Known);
        let expected = if chunked { Ok(BodyLength::Chunked) } else { announced };
        prop_assert_eq!(Ok(facts.body), expected);
        prop_assert_eq!(values(&headers, "host").len(), 1);
        prop_assert!(values(&headers, "upgrade").is_empty());
        prop_assert!(values(&headers, "idempotency-key").len() <= 1);
        let depths = values(&headers, "agateroad-depth");
        prop_assert!(depths.len() <= 1);
        let depth = depths.first().map_or(Ok(0), |depth| depth.parse::<u64>());
        prop_assert!(depth.is_ok_and(|depth| depth <= MAX_DEPTH));
        Ok(())
    };
    seeded_runner().run(&headers(), check).expect("every accepted head has one meaning");
}

/// Guards against headers by which a caller could pose as a gateway or an upstream.
#[test]
fn cleaned_requests_carry_no_headers_of_gateways_or_connections() {
    let check = |headers: Vec<(&'static str, String)>| {
        let mut cleaned = parts(&headers).headers;
        NativeCodec::clean_request(&mut cleaned);
        for name in REMOVED {
            prop_assert!(!cleaned.contains_key(name), "{} was kept", name);
        }
        let named: Vec<String> = values(&headers, "connection")
            .iter()
            .flat_map(|value| value.split(','))
            .map(|option| option.trim().to_ascii_lowercase())
            .collect();
        for name in ["x-first", "x-second", "accept"] {
            let expected =
                if named.iter().any(|own| own == name) { 0 } else { values(&headers, name).len() };
            prop_assert_eq!(cleaned.get_all(name).iter().count(), expected, "{}", name);
        }
        let mut again = cleaned.clone();
        NativeCodec::clean_request(&mut again);
        prop_assert_eq!(again, cleaned);
        Ok(())
    };
    seeded_runner().run(&headers(), check).expect("no such header is kept");
}

/// Guards against marks of an upstream that reach a caller, and against marks that are misread.
#[test]
fn cleaned_answers_carry_no_marks() {
    let figures = (any::<u32>(), any::<u32>(), any::<u32>(), any::<bool>(), any::<bool>());
    let check = |(in_flight, slots, queued, draining, shed)| {
        let mut headers = HeaderMap::new();
        let load = format!("{in_flight}/{slots}/{queued}");
        headers.insert("agateroad-load", HeaderValue::try_from(load).expect("a valid value"));
        for (name, present) in [("agateroad-drain", draining), ("agateroad-shed", shed)] {
            if present {
                headers.insert(HeaderName::from_static(name), HeaderValue::from_static("1"));
            }
        }
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let id = HeaderValue::from_static("id");
        let marks = NativeCodec::read_answer(status, &mut headers, &id);
        let load = marks.load.expect("a load report");
        prop_assert_eq!((load.in_flight, load.slots, load.queued), (in_flight, slots, queued));
        prop_assert_eq!((load.draining, marks.verdict == AnswerVerdict::NotRun), (draining, shed));
        prop_assert!(headers.is_empty());
        Ok(())
    };
    seeded_runner().run(&figures, check).expect("marks are read and removed");
}

struct EchoCase {
    /// The id that the answer echoes.
    echo: Option<&'static str>,
    foreign: bool,
}

/// Guards against a late answer to an earlier check that is taken for the answer to the next one,
/// and against upstreams that echo no ids and then fail every check.
#[test]
fn checks_accept_only_their_own_answers() {
    let cases = [
        EchoCase { echo: Some("check-2"), foreign: false },
        EchoCase { echo: Some("check-1"), foreign: true },
        EchoCase { echo: None, foreign: false },
    ];
    let id = HeaderValue::from_static("check-2");
    let mut marked = HeaderMap::new();
    NativeCodec::mark_check(&mut marked, &id);
    assert_eq!(marked["agateroad-request-id"], id);
    for EchoCase { echo, foreign } in cases {
        let mut headers = HeaderMap::new();
        headers.insert("agateroad-load", HeaderValue::from_static("1/6/0"));
        if let Some(echo) = echo {
            headers.insert("agateroad-request-id", HeaderValue::from_static(echo));
        }
        let facts = NativeCodec::read_check(StatusCode::OK, &mut headers, b"", "upstream", &id);
        assert_eq!(facts.foreign, foreign, "{echo:?}");
    }
}

struct HeadCase {
    name: &'static str,
    headers: &'static [(&'static str, &'static str)],
    error: HeadError,
    status: StatusCode,
}

const HEAD_CASES: &[HeadCase] = &[
    HeadCase {
        name: "signed length",
        headers: &[("content-length", "+5")],
        error: HeadError::RepeatedLength,
        status: StatusCode::BAD_REQUEST,
    },
    HeadCase {
        name: "both lengths",
        headers: &[("content-length", "5"), ("transfer-encoding", "chunked")],
        error: HeadError::ConflictingLength,
        status: StatusCode::BAD_REQUEST,
    },
    HeadCase {
        name: "coding other than chunked",
        headers: &[("transfer-encoding", "gzip")],
        error: HeadError::TransferCoding,
        status: StatusCode::BAD_REQUEST,
    },
    HeadCase {
        name: "depth over 8",
        headers: &[("agateroad-depth", "9")],
        error: HeadError::TooDeep,
        status: StatusCode::BAD_REQUEST,
    },
    HeadCase {
        name: "two keys",
        headers: &[("idempotency-key", "a"), ("idempotency-key", "b")],
        error: HeadError::Key,
        status: StatusCode::BAD_REQUEST,
    },
];

/// Guards against a rule that no longer names its own error.
#[test]
fn each_rule_has_its_error() {
    for case in HEAD_CASES {
        let headers = case.headers.iter().map(|(name, value)| (*name, (*value).to_owned()));
        let headers: Vec<_> =
            std::iter::once(("host", "a.test".to_owned())).chain(headers).collect();
        let error = NativeCodec::read_request(&parts(&headers)).expect_err(case.name);
        assert_eq!((&error, error.status()), (&case.error, case.status), "{}", case.name);
    }
}
