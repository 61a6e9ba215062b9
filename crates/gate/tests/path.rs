//! The path of a call through a gateway in the same process.

use std::collections::HashMap;
use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use gate::options::{GateOptions, GateTimeouts};
use gate::process::RunningGate;
use gate::state::GateState;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use route::prelude::*;
use stand::prelude::*;
use world::prelude::*;

fn environment(upstream: std::net::SocketAddr) -> EnvironmentMap {
    let service = SharedName::from("phase-desk");
    let rule = WorkRule {
        method: None,
        path_prefix: "/".into(),
        idempotent: true,
        class: WorkClass::Urgent,
        deferred: false,
    };
    let contract = ServiceContract {
        name: service.clone(),
        hosts: vec![],
        path_prefixes: vec![],
        rules: vec![rule],
        deadline: ClockSpan::from_secs(5),
        objective: ServiceObjective {
            latency: ClockSpan::from_millis(50),
            latency_share: 0.99,
            success_share: 0.999,
        },
        probe_share: 0.01,
        vm_ceiling: 15,
        retry_ratio: 0.1,
        queue_limit: 100,
    };
    let server = UpstreamServer {
        name: "phase-1".into(),
        service: service.clone(),
        centre: "medeu".into(),
        address: upstream,
        slots: 6,
        connections: 200,
    };
    EnvironmentMap {
        name: "almaty".into(),
        version: 1,
        digest: "none".into(),
        centres: vec![DataCentre { name: "medeu".into(), region: "almaty".into() }],
        links: vec![],
        contracts: vec![Arc::new(contract)],
        upstreams: HashMap::from([(service, vec![Arc::new(server)])]),
    }
}

fn options() -> GateOptions {
    GateOptions {
        vm: VmIdentity { name: "vm-1".into(), incarnation: 1, centre: "medeu".into() },
        caller_address: ([127, 0, 0, 1], 0).into(),
        workers: 2,
        policy: PolicyKind::default(),
        timeouts: GateTimeouts::default(),
    }
}

/// Guards against a broken path from the caller's listener to an upstream and back.
#[tokio::test]
async fn a_call_reaches_an_upstream_and_returns() {
    let upstream = UpstreamStand::start(UpstreamPlan::default()).await.expect("upstream starts");
    let state = Arc::new(GateState::new(options(), environment(upstream.address())));
    let gate = RunningGate::start(state).expect("gateway starts");
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    for index in 0..100 {
        let uri = format!("http://{}/phase/{index}", gate.caller_address);
        let request = Request::get(uri)
            .header("x-test-nonce", format!("nonce-{index}"))
            .body(Full::default())
            .expect("a valid request");
        let answer = client.request(request).await.expect("an answer");
        assert_eq!(answer.status(), StatusCode::OK);
        let nonce = answer.headers().get("x-test-nonce").expect("an echoed nonce");
        assert_eq!(nonce, &format!("nonce-{index}"));
        assert!(answer.headers().get("agateroad-load").is_none(), "load header not removed");
        answer.into_body().collect().await.expect("a whole body");
    }
}
