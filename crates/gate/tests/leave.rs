//! What a gateway in the same process still does when it leaves.

mod common;

use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use common::{environment, options};
use gate::leave;
use gate::process::RunningGate;
use gate::state::GateState;
use http::StatusCode;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use stand::prelude::*;

/// Bytes of an answer: several times what the buffers of its connections hold.
const LONG_ANSWER: u64 = 40_000_000;
/// Never passes within the test.
const STOP_LIMIT: ClockSpan = ClockSpan::from_secs(60);

/// Guards against a shutdown that waits until a call has its head, and then cuts off the answer
/// that is still on its way to the caller.
#[tokio::test]
async fn a_shutdown_waits_for_answers_on_their_way() {
    let upstream = UpstreamStand::start(UpstreamPlan::default()).await.expect("upstream starts");
    let state = Arc::new(GateState::new(options(), environment(upstream.address())));
    let gate = RunningGate::start(state).expect("gateway starts");
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let uri = format!("http://{}/bytes/{LONG_ANSWER}", gate.caller_address);
    let answer = client.get(uri.parse().expect("a URI")).await.expect("the head of an answer");
    assert_eq!(answer.status(), StatusCode::OK);
    let leaving = async {
        leave::leave_within(&gate, ClockSpan::ZERO, STOP_LIMIT).await;
        drop(gate);
    };
    let ((), body) = tokio::join!(leaving, answer.into_body().collect());
    assert_eq!(body.expect("a whole answer").to_bytes().len() as u64, LONG_ANSWER);
}
