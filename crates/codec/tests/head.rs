//! Properties of the native codec: checks of request heads, removal of headers, and what answers
//! and health checks mean.

mod support;

use codec::head::{MAX_PAUSE, read_pause};
use codec::prelude::*;
use http::StatusCode;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use proptest::prelude::*;
use proptest::sample::select;
use route::prelude::ReportSource;
use stand::property::{HeaderFields, field_values, header_fields, hostile_bytes, seeded_runner};
use support::{AnswerProof, CASES, UPSTREAM, check_answer, check_framing, parts};

/// The largest call depth that is accepted.
const MAX_DEPTH: u64 = 8;

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

/// Headers that must not reach an upstream.
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

const VALUES: [&str; 17] = [
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
    "18446744073709551615",
    "18446744073709551616",
    "key-1",
];

fn headers() -> impl Strategy<Value = HeaderFields> {
    header_fields(&NAMES, &VALUES)
}

/// Guards against accepting a head that two servers interpret differently, or one with a value that
/// breaks a rule.
#[test]
fn accepted_heads_have_one_meaning() {
    let check = |headers: HeaderFields| {
        let Some(facts) = check_framing::<NativeCodec>(&headers)? else { return Ok(()) };
        prop_assert!(field_values(&headers, "idempotency-key").len() <= 1);
        let depths = field_values(&headers, "agateroad-depth");
        prop_assert!(depths.len() <= 1);
        let depth = depths.first().map_or(Ok(0), |depth| depth.parse::<u64>());
        prop_assert!(depth.as_ref().is_ok_and(|depth| *depth <= MAX_DEPTH));
        prop_assert_eq!(depth, Ok(u64::from(facts.depth)));
        Ok(())
    };
    seeded_runner(CASES).run(&headers(), check).expect("every accepted head has one meaning");
}

/// Guards against forwarding headers by which a caller could pose as a gateway or an upstream.
#[test]
fn cleaned_requests_carry_no_headers_of_gateways_or_connections() {
    let check = |headers: HeaderFields| {
        let mut cleaned = parts(&headers).headers;
        NativeCodec::clean_request(&mut cleaned);
        for name in REMOVED {
            prop_assert!(!cleaned.contains_key(name), "{} was kept", name);
        }
        let named: Vec<String> = field_values(&headers, "connection")
            .iter()
            .flat_map(|value| value.split(','))
            .map(|option| option.trim().to_ascii_lowercase())
            .collect();
        for name in ["x-first", "x-second", "accept"] {
            let expected = if named.iter().any(|own| own == name) {
                0
            } else {
                field_values(&headers, name).len()
            };
            prop_assert_eq!(cleaned.get_all(name).iter().count(), expected, "{}", name);
        }
        let mut again = cleaned.clone();
        NativeCodec::clean_request(&mut again);
        prop_assert_eq!(again, cleaned);
        Ok(())
    };
    seeded_runner(CASES).run(&headers(), check).expect("no such header is kept");
}

/// Guards against load, drain and shed headers of an upstream that reach a caller or are misread.
#[test]
fn upstream_headers_are_read_and_removed() {
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
        let facts = NativeCodec::read_answer(status, &mut headers, &id);
        let load = facts.load.expect("a load report");
        prop_assert_eq!((load.in_flight, load.slots, load.queued), (in_flight, slots, queued));
        prop_assert_eq!((load.draining, facts.verdict == AnswerVerdict::NotRun), (draining, shed));
        prop_assert!(headers.is_empty());
        Ok(())
    };
    seeded_runner(CASES).run(&figures, check).expect("upstream headers are read and removed");
}

const ANSWER_NAMES: [&str; 9] = [
    "agateroad-load",
    "agateroad-drain",
    "agateroad-shed",
    "agateroad-outcome",
    "agateroad-request-id",
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
];

const ANSWER_VALUES: [&str; 12] = [
    "",
    "1",
    "0",
    "3/6/0",
    "4294967295/4294967295/4294967295",
    "4294967296/1/1",
    "3/6",
    "3/6/0/9",
    "3/-6/0",
    "not-run",
    "close, agateroad-shed",
    "r1",
];

fn answers() -> impl Strategy<Value = (u16, HeaderFields)> {
    let status = prop_oneof![select(&[200_u16, 404, 421, 429, 500, 503][..]), 100..1000_u16];
    (status, header_fields(&ANSWER_NAMES, &ANSWER_VALUES))
}

/// Returns the three numbers of a load header.
fn load_figures(text: &str) -> Option<(u32, u32, u32)> {
    let numbers: Result<Vec<u32>, _> = text.split('/').map(str::parse).collect();
    match *numbers.ok()? {
        [in_flight, slots, queued] => Some((in_flight, slots, queued)),
        _ => None,
    }
}

/// Guards against an answer that causes a panic, a call that counts as not run without the shed
/// header of the upstream, and load that no upstream reported.
#[test]
fn answers_mean_no_more_than_they_prove() {
    let check = |(status, fields): (u16, HeaderFields)| {
        let status = StatusCode::from_u16(status).expect("three digits");
        let loads = field_values(&fields, "agateroad-load");
        let proof = AnswerProof {
            not_run: status == 503 && !field_values(&fields, "agateroad-shed").is_empty(),
            // The native interface has no header that proves it; any answer on the connection
            // counts.
            own: true,
            load: loads.first().and_then(|text| load_figures(text)),
        };
        check_answer::<NativeCodec>(status, &fields, proof)
    };
    seeded_runner(CASES).run(&answers(), check).expect("conclusions are proven by the answer");
}

/// Running calls, slots, waiting calls and whether the upstream is draining.
type LoadFigures = (u32, u32, u32, bool);

/// Guards against a health check whose body causes a panic or is read as load that it does not
/// report.
#[test]
fn health_checks_return_the_reported_load() {
    let number = || prop_oneof![(0..9_u64).prop_map(Some), any::<u64>().prop_map(Some), Just(None)];
    let named = (number(), number(), number(), any::<bool>());
    let body = prop_oneof![
        hostile_bytes().prop_map(|bytes| (bytes, None)),
        named.prop_map(|(in_flight, slots, queued, draining)| {
            let body = serde_json::json!({
                "in_flight": in_flight, "slots": slots, "queued": queued, "draining": draining,
            });
            let fits = |number: Option<u64>| u32::try_from(number?).ok();
            let figures = match (fits(in_flight), fits(slots), fits(queued)) {
                (Some(in_flight), Some(slots), Some(queued)) => {
                    Some((in_flight, slots, queued, draining))
                }
                _ => None,
            };
            (body.to_string().into_bytes(), figures)
        }),
    ];
    let check = |(status, (body, named)): (u16, (Vec<u8>, Option<LoadFigures>))| {
        let status = StatusCode::from_u16(status).expect("three digits");
        let id = HeaderValue::from_static("check-1");
        let facts = NativeCodec::read_check(status, &mut HeaderMap::new(), &body, UPSTREAM, &id);
        let load = facts.load.map(|load| (load.in_flight, load.slots, load.queued, load.draining));
        prop_assert_eq!(load, named.filter(|_| status == 200));
        prop_assert!(facts.load.is_none_or(|load| load.source == ReportSource::Probe));
        Ok(())
    };
    let checks = (select(&[200_u16, 200, 204, 404, 503][..]), body);
    seeded_runner(CASES).run(&checks, check).expect("health checks return the reported load");
}

struct EchoCase {
    /// The request id in the answer.
    echo: Option<&'static str>,
    foreign: bool,
}

/// Guards against accepting a late answer to an earlier health check as the answer to the next one,
/// and against failing every check of an upstream that returns no ids.
#[test]
fn checks_accept_only_their_own_answers() {
    let cases = [
        EchoCase { echo: Some("check-2"), foreign: false },
        EchoCase { echo: Some("check-1"), foreign: true },
        EchoCase { echo: None, foreign: false },
    ];
    let id = HeaderValue::from_static("check-2");
    let mut check_headers = HeaderMap::new();
    NativeCodec::set_check_headers(&mut check_headers, &id);
    assert_eq!(check_headers["agateroad-request-id"], id);
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
}

const fn case(
    name: &'static str,
    headers: &'static [(&'static str, &'static str)],
    error: HeadError,
) -> HeadCase {
    HeadCase { name, headers, error }
}

const HEAD_CASES: &[HeadCase] = &[
    case("signed length", &[("content-length", "+5")], HeadError::RepeatedLength),
    case(
        "both lengths",
        &[("content-length", "5"), ("transfer-encoding", "chunked")],
        HeadError::ConflictingLength,
    ),
    case("coding other than chunked", &[("transfer-encoding", "gzip")], HeadError::TransferCoding),
    case("depth over 8", &[("agateroad-depth", "9")], HeadError::TooDeep),
    case("two keys", &[("idempotency-key", "a"), ("idempotency-key", "b")], HeadError::Key),
];

/// Guards against a rule that returns the error of another rule.
#[test]
fn each_rule_has_its_error() {
    for case in HEAD_CASES {
        let headers = case.headers.iter().map(|(name, value)| (*name, (*value).to_owned()));
        let headers: Vec<_> =
            std::iter::once(("host", "a.test".to_owned())).chain(headers).collect();
        let error = NativeCodec::read_request(&parts(&headers)).expect_err(case.name);
        assert_eq!(
            (&error, error.status()),
            (&case.error, StatusCode::BAD_REQUEST),
            "{}",
            case.name
        );
    }
}

struct PauseCase {
    name: &'static str,
    status: u16,
    values: &'static [&'static str],
    millis: Option<u64>,
}

/// Guards against a pause that is not kept, and against a value without a meaning that costs the
/// upstream its calls.
#[test]
fn pauses_are_read_from_503_answers() {
    let case = |name, status, values, millis| PauseCase { name, status, values, millis };
    let longest = MAX_PAUSE.as_millis();
    let cases = [
        case("whole seconds", 503, &["2"], Some(2_000)),
        case("fraction", 503, &["0.25"], Some(250)),
        case("fraction without a whole part", 503, &[".5"], Some(500)),
        case("spaces", 503, &[" 1.5 "], Some(1_500)),
        case("zero", 503, &["0"], None),
        case("zero with a fraction", 503, &["0.000"], None),
        case("the longest pause", 503, &["600"], Some(longest)),
        case("absurdly long", 503, &["99999999999999999999999999"], Some(longest)),
        case("negative", 503, &["-1"], None),
        case("plus sign", 503, &["+1"], None),
        case("exponent", 503, &["1e3"], None),
        case("infinite", 503, &["inf"], None),
        case("not a number", 503, &["nan"], None),
        case("two points", 503, &["1.2.3"], None),
        case("a point", 503, &["."], None),
        case("empty", 503, &[""], None),
        case("text", 503, &["soon"], None),
        case("date", 503, &["Sat, 05 Dec 2026 16:00:00 GMT"], None),
        case("several", 503, &["1", "3", "soon"], Some(3_000)),
        case("absent", 503, &[], None),
        case("another status", 500, &["2"], None),
        case("a success", 200, &["2"], None),
        case("too many requests", 429, &["2"], None),
    ];
    for case in cases {
        let mut headers = HeaderMap::new();
        for value in case.values {
            headers.append("retry-after", HeaderValue::from_static(value));
        }
        let status = StatusCode::from_u16(case.status).unwrap();
        let pause = read_pause(status, &headers).map(|span| span.as_millis());
        assert_eq!(pause, case.millis, "{}", case.name);
    }
}
