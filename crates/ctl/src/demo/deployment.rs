//! The documents, loads and upstream behaviour of the demo's deployments.

use base::prelude::*;
use load::prelude::*;
use serde_json::Value;
use stand::prelude::*;

/// Length of the body of an upstream's answer in bytes, which callers verify.
pub const ANSWER_BYTES: u64 = 64;
/// Slot time of a probe in milliseconds.
const PROBE_MS: u64 = 1;

/// A user's document with the load and the upstreams' behaviour for it.
#[derive(Clone, Debug)]
pub struct DemoDeployment {
    /// The name of the environment.
    pub name: &'static str,
    /// The checked-in document.
    pub document: &'static [u8],
    /// The requests that callers send.
    pub mix: Vec<RequestKind>,
    /// Calls per second over all gateways. They occupy about half of the slots of the busiest
    /// service.
    pub rate: f64,
    /// The service time of a request on an upstream.
    pub service: ServiceTime,
    /// The capacity that other programs on the upstreams' machines take.
    pub noise: NoisePlan,
}

impl DemoDeployment {
    /// Returns the deployments of both users.
    pub fn all() -> [Self; 2] {
        let noise = NoisePlan { every_ms: 1500.0, for_ms: 40.0, slots: 3, factor: 3.0 };
        [
            Self {
                name: "almaty",
                document: include_bytes!("../../../../examples/almaty.json"),
                mix: with_verified_length(almaty_mix()),
                rate: 1500.0,
                service: ServiceTime::LogNormal { median_ms: 20.0, sigma: 0.4 },
                noise,
            },
            Self {
                name: "viti",
                document: include_bytes!("../../../../examples/viti.json"),
                mix: with_verified_length(viti_mix()),
                rate: 500.0,
                service: ServiceTime::LogNormal { median_ms: 18.0, sigma: 0.4 },
                noise: NoisePlan { slots: 1, ..noise },
            },
        ]
    }

    /// Returns the plan of the upstream `name`, with the slots and connections of its `entry` in
    /// the document.
    pub fn upstream_plan(&self, name: &str, seed: u64, entry: &Value) -> UpstreamPlan {
        let number =
            |field: &str| entry[field].as_u64().and_then(|count| u32::try_from(count).ok());
        let slots = number("slots").unwrap_or(1);
        UpstreamPlan {
            name: SharedName::from(name),
            seed,
            slots,
            queue_limit: slots,
            connections: number("connections").unwrap_or(1),
            service: self.service,
            noise: Some(self.noise),
            probe_ms: PROBE_MS,
            answer_bytes: ANSWER_BYTES,
            ..UpstreamPlan::default()
        }
    }
}

/// Makes callers verify the length of answers. Excepts deferred work, which the gateway itself may
/// answer with 202.
fn with_verified_length(mut mix: Vec<RequestKind>) -> Vec<RequestKind> {
    for kind in mix.iter_mut().filter(|kind| !kind.expect_status.contains(&202)) {
        kind.expect_bytes = Some(ANSWER_BYTES);
    }
    mix
}
