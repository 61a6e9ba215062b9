//! Fingerprints of requests.

use suspect::fingerprint::is_partial;
use suspect::prelude::*;

struct PartsCase {
    name: &'static str,
    secret: &'static str,
    parts: &'static [&'static str],
}

/// Guards against different requests with the same fingerprint, and against fingerprints that a
/// caller can compute.
#[test]
fn fingerprints_tell_requests_apart() {
    let case = |name, secret, parts| PartsCase { name, secret, parts };
    let cases = [
        case("one", "s", &["GET", "/a", "body"]),
        case("other end of the body", "s", &["GET", "/a", "bodz"]),
        case("longer body", "s", &["GET", "/a", "body "]),
        case("other division into parts", "s", &["GET", "/", "abody"]),
        case("empty part", "s", &["GET", "/a", "body", ""]),
        case("other secret", "t", &["GET", "/a", "body"]),
    ];
    let compute = |case: &PartsCase, partial: bool| {
        let mut hasher = FingerprintKey::new(case.secret).hasher();
        case.parts.iter().for_each(|part| hasher.add(part.as_bytes()));
        if partial { hasher.partial() } else { hasher.whole() }
    };
    let mut seen = Vec::new();
    for case in &cases {
        for partial in [false, true] {
            let fingerprint = compute(case, partial);
            assert_eq!(fingerprint, compute(case, partial), "{}: a repeat differs", case.name);
            assert_eq!(is_partial(fingerprint), partial, "{}", case.name);
            assert!(!seen.contains(&fingerprint), "{}: not a new one", case.name);
            seen.push(fingerprint);
        }
    }
}
