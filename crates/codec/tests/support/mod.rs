//! Properties of request and answer heads that every codec must have.
#![allow(dead_code, reason = "each test file uses a part of the support")]

use codec::prelude::*;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::request::Parts;
use http::{Request, StatusCode};
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;
use stand::property::{HeaderFields, field_values};

/// The number of random inputs of each property.
pub const CASES: u32 = 2_000;
/// The id of the call to which the answers belong.
pub const ID: &str = "r1";
/// The upstream to which health checks are sent.
pub const UPSTREAM: &str = "u1";

/// Headers that concern one connection only.
const HOP_BY_HOP: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

pub fn parts(headers: &[(&'static str, String)]) -> Parts {
    let mut request = Request::builder().uri("/phase").method("POST");
    for (name, value) in headers {
        request = request.header(*name, value);
    }
    request.body(()).expect("a valid request").into_parts().0
}

pub fn header_map(fields: &[(&'static str, String)]) -> HeaderMap {
    let field = |(name, value): &(&'static str, String)| {
        let value = HeaderValue::try_from(value.as_str()).expect("visible characters");
        (HeaderName::from_static(name), value)
    };
    // Unlike `collect`, `append` keeps all fields of one name.
    fields.iter().map(field).fold(HeaderMap::new(), |mut headers, (name, value)| {
        headers.append(name, value);
        headers
    })
}

fn is_digits(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit())
}

/// Returns whether the field is absent or sent once as a number.
pub fn is_number_at_most_once(headers: &HeaderFields, name: &str) -> bool {
    match field_values(headers, name).as_slice() {
        [] => true,
        [value] => value.parse::<u64>().is_ok() && is_digits(value),
        _ => false,
    }
}

/// Checks that an accepted head is unambiguous: one host, and one way to delimit the body. Returns
/// the values that the codec read, or `None` if it refused the head.
pub fn check_framing<C: CallCodec>(
    headers: &HeaderFields,
) -> Result<Option<RequestFacts>, TestCaseError> {
    let Ok(facts) = C::read_request(&parts(headers)) else { return Ok(None) };
    let lengths = field_values(headers, "content-length");
    let chunked = field_values(headers, "transfer-encoding") == ["chunked"];
    prop_assert!(chunked || field_values(headers, "transfer-encoding").is_empty());
    prop_assert!(!chunked || lengths.is_empty());
    prop_assert!(lengths.len() <= 1 && lengths.iter().all(|length| is_digits(length)));
    let announced = lengths.first().map_or(Ok(0), |length| length.parse());
    let announced = announced.map(BodyLength::Known);
    let expected = if chunked { Ok(BodyLength::Chunked) } else { announced };
    prop_assert_eq!(Ok(facts.body), expected);
    prop_assert_eq!(field_values(headers, "host").len(), 1);
    prop_assert!(field_values(headers, "upgrade").is_empty());
    Ok(Some(facts))
}

/// What the head of an answer proves by the rules of the interface, computed without the codec.
#[derive(Clone, Copy, Debug)]
pub struct AnswerProof {
    /// The server did not run the call.
    pub not_run: bool,
    /// An answer with a success status belongs to this call.
    pub own: bool,
    /// The load that the upstream reports: running calls, slots and waiting calls.
    pub load: Option<(u32, u32, u32)>,
}

/// Checks that the codec concludes no more from an answer than it proves, and removes its
/// hop-by-hop headers.
pub fn check_answer<C: CallCodec>(
    status: StatusCode,
    fields: &HeaderFields,
    proof: AnswerProof,
) -> Result<(), TestCaseError> {
    let mut headers = header_map(fields);
    let facts = C::read_answer(status, &mut headers, &HeaderValue::from_static(ID));
    let verdict = facts.verdict;
    if status.is_success() && verdict == AnswerVerdict::Accepted {
        prop_assert!(proof.own, "a success without proof was accepted");
    }
    if matches!(verdict, AnswerVerdict::NotRun | AnswerVerdict::Misdirected) {
        prop_assert!(proof.not_run, "not run without proof");
    }
    let failed = status.is_server_error() && verdict == AnswerVerdict::Accepted;
    prop_assert!(!failed, "a server error was accepted");
    let load = facts.load.filter(|load| !load.draining);
    let figures = load.map(|load| (load.in_flight, load.slots, load.queued));
    prop_assert!(figures.is_none() || figures == proof.load, "{:?} is not reported", figures);
    for name in HOP_BY_HOP {
        prop_assert!(!headers.contains_key(name), "{} was kept", name);
    }
    Ok(())
}
