//! Ready-made mixes of the users' requests.

use base::prelude::*;

use crate::plan::RequestKind;

/// Bytes of the body of a booking, correction, pledge, certificate or report.
const FORM_BYTES: usize = 512;

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

fn submit(name: &str, class: &str, weight: u32, host: &str, path: &str) -> RequestKind {
    RequestKind {
        method: SharedName::from("POST"),
        body_bytes: FORM_BYTES,
        keyed: true,
        // Deferred work is answered with 202 by the gateway and with 200 by an upstream.
        expect_status: vec![200, 201, 202],
        ..fetch(name, class, weight, host, path)
    }
}

/// Returns the mix of the Almaty Municipal Lunar Calendar Service: mostly phase lookups, some
/// bookings and archive pulls, few corrections.
pub fn almaty_mix() -> Vec<RequestKind> {
    vec![
        fetch("phase lookup", "urgent", 88, "phase-desk", "/phase/{n}"),
        submit("booking", "normal", 6, "booking-desk", "/booking/{n}"),
        submit("correction", "normal", 1, "almanac-office", "/almanac/correction/{n}"),
        fetch("archive pull", "deferrable", 5, "almanac-office", "/almanac/archive/{n}"),
    ]
}

/// Returns the mix of the Vanua Roots Pledge Group: mostly tree-count fetches, some pledges,
/// certificates and nursery reports.
pub fn viti_mix() -> Vec<RequestKind> {
    vec![
        fetch("tree count", "urgent", 85, "grove-view", "/grove/{n}"),
        submit("pledge", "normal", 8, "pledge-desk", "/pledge/{n}"),
        submit("certificate", "normal", 4, "cert-house", "/cert/{n}"),
        submit("nursery report", "deferrable", 3, "grove-view", "/grove/report/{n}"),
    ]
}
