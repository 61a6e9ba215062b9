//! Predefined request mixes of two organisations that use the gateway.

use base::prelude::*;

use crate::plan::RequestKind;

/// Bytes of the body of a booking, correction, pledge, certificate or report.
const FORM_BYTES: usize = 512;
/// The documents select services by path, so that one host serves all of them.
const ALMATY_HOST: &str = "calendar.example";
const VITI_HOST: &str = "pledges.example";

/// Returns a kind of request that may run more than once.
fn fetch(name: &str, class: &str, weight: u32, host: &str, path: &str) -> RequestKind {
    RequestKind {
        name: name.into(),
        class: class.into(),
        weight,
        host: host.into(),
        path: path.into(),
        spread: 10_000,
        ..RequestKind::default()
    }
}

/// Returns a kind of request that runs at most once and therefore has an idempotency key.
fn submit(name: &str, class: &str, weight: u32, host: &str, path: &str) -> RequestKind {
    RequestKind {
        method: SharedName::from("POST"),
        body_bytes: FORM_BYTES,
        keyed: true,
        expect_status: vec![200, 201],
        ..fetch(name, class, weight, host, path)
    }
}

/// Returns a kind of request for deferred work, which the gateway answers with 202 and an upstream
/// with 200.
fn defer(name: &str, class: &str, weight: u32, host: &str, path: &str) -> RequestKind {
    RequestKind {
        method: SharedName::from("PUT"),
        expect_status: vec![200, 201, 202],
        ..submit(name, class, weight, host, path)
    }
}

/// Returns the mix of the Almaty Municipal Lunar Calendar Service: mostly phase lookups, some
/// bookings and archive pulls, few corrections. The paths select the services of
/// `examples/almaty.json`.
pub fn almaty_mix() -> Vec<RequestKind> {
    vec![
        fetch("phase lookup", "urgent", 88, ALMATY_HOST, "/phases/{n}"),
        submit("booking", "normal", 6, ALMATY_HOST, "/bookings/{n}"),
        submit("correction", "normal", 1, ALMATY_HOST, "/almanac/corrections/{n}"),
        fetch("archive pull", "deferrable", 5, ALMATY_HOST, "/almanac/archive/{n}"),
    ]
}

/// Returns the mix of the Vanua Roots Pledge Group: mostly tree-count fetches, some pledges,
/// certificates and nursery reports. The paths select the services of `examples/viti.json`.
pub fn viti_mix() -> Vec<RequestKind> {
    vec![
        fetch("tree count", "urgent", 85, VITI_HOST, "/groves/{n}"),
        submit("pledge", "normal", 8, VITI_HOST, "/pledges/{n}"),
        submit("certificate", "normal", 4, VITI_HOST, "/certificates/{n}"),
        defer("nursery report", "deferrable", 3, VITI_HOST, "/groves/nursery-reports/{n}"),
    ]
}

/// Returns the mix with this name, or `None` if there is none.
pub fn named_mix(name: &str) -> Option<Vec<RequestKind>> {
    match name {
        "almaty" => Some(almaty_mix()),
        "viti" => Some(viti_mix()),
        _ => None,
    }
}
