//! How the gateway closes the connection of a caller that goes on sending.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use common::{environment, options};
use gate::process::RunningGate;
use gate::state::GateState;
use stand::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// The receive buffer of the caller, a small part of an answer.
const WINDOW_BYTES: u32 = 8192;
/// The length of the body of an answer.
const BODY_BYTES: usize = 30_000;
/// The largest request body in these tests.
const BODY_LIMIT: u64 = 1000;
/// What the caller sends behind its request: more than the gateway reads ahead, and less than the
/// system buffers.
const SURPLUS_BYTES: usize = 60_000;
/// Time for the gateway to close the connection. If it takes longer, the test does not notice the
/// failure that it guards against.
const CLOSE_PAUSE: Duration = Duration::from_millis(100);

struct ClosingCase {
    name: &'static str,
    head: String,
    /// What follows the head, over and over.
    surplus: &'static str,
    shutting_down: bool,
    status: u16,
    /// The least length of the answer's body.
    body_bytes: usize,
    /// How many requests run.
    runs: u64,
}

fn closing_cases() -> Vec<ClosingCase> {
    let get = format!("GET /bytes/{BODY_BYTES} HTTP/1.1\r\nhost: desk\r\n\r\n");
    let post = format!("POST /phase HTTP/1.1\r\nhost: desk\r\ncontent-length: {SURPLUS_BYTES}\r\n");
    vec![
        ClosingCase {
            name: "requests behind the last answer of a shutdown",
            head: get,
            surplus: "GET /behind HTTP/1.1\r\nhost: desk\r\n\r\n",
            shutting_down: true,
            status: 200,
            body_bytes: BODY_BYTES,
            runs: 1,
        },
        ClosingCase {
            name: "a body over the limit",
            head: format!("{post}\r\n"),
            surplus: "x",
            shutting_down: false,
            status: 413,
            body_bytes: 1,
            runs: 0,
        },
        ClosingCase {
            name: "a head over the limit",
            head: "GET /phase HTTP/1.1\r\nhost: desk\r\nx-long: ".to_owned(),
            surplus: "x",
            shutting_down: false,
            status: 431,
            body_bytes: 0,
            runs: 0,
        },
    ]
}

async fn connect(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(WINDOW_BYTES).expect("a receive buffer");
    socket.connect(address).await.expect("the gateway accepts connections")
}

/// Returns the status and the length of the body of an answer.
fn parse(answer: &[u8]) -> Option<(u16, usize)> {
    let end = answer.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&answer[..end]).ok()?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, answer.len() - end - 4))
}

/// Guards against an answer that the caller does not get completely because the gateway closed the
/// connection while bytes of the caller were unread, so that the system reset it (review/7).
#[tokio::test]
async fn a_caller_that_goes_on_sending_gets_the_whole_answer() {
    for case in closing_cases() {
        let upstream =
            UpstreamStand::start(UpstreamPlan::default()).await.expect("upstream starts");
        let mut environment = environment(upstream.address());
        environment.caller_limits.body_bytes = BODY_LIMIT;
        let state = Arc::new(GateState::new(options(), environment));
        let gate = RunningGate::start(Arc::clone(&state)).expect("gateway starts");
        state.shutting_down.store(case.shutting_down, Ordering::SeqCst);

        let mut stream = connect(gate.caller_address).await;
        let mut sent = case.head.clone();
        while sent.len() < SURPLUS_BYTES {
            sent.push_str(case.surplus);
        }
        stream.write_all(sent.as_bytes()).await.expect("a write");
        tokio::time::sleep(CLOSE_PAUSE).await;
        let mut answer = Vec::new();
        let end = stream.read_to_end(&mut answer).await;
        let (status, body_bytes) = parse(&answer).unwrap_or_default();
        assert_eq!(status, case.status, "{}: {end:?}", case.name);
        assert!(
            end.is_ok() && body_bytes >= case.body_bytes,
            "{}: {body_bytes} bytes and {end:?}",
            case.name
        );
        assert_eq!(upstream.counts().executed, case.runs, "{}", case.name);
    }
}

/// Guards against a process that stays for callers which do not close their connections.
#[tokio::test]
async fn a_caller_that_keeps_its_connection_open_does_not_hold_the_gateway() {
    let upstream = UpstreamStand::start(UpstreamPlan::default()).await.expect("upstream starts");
    let state = Arc::new(GateState::new(options(), environment(upstream.address())));
    let gate = RunningGate::start(Arc::clone(&state)).expect("gateway starts");
    state.shutting_down.store(true, Ordering::SeqCst);
    let mut stream = connect(gate.caller_address).await;
    stream.write_all(b"GET /phase HTTP/1.1\r\nhost: desk\r\n\r\n").await.expect("a write");
    upstream.wait_for(|counts, _| counts.executed == 1).await;
    gate.stop_accepting();
    let finished = tokio::time::timeout(Duration::from_secs(60), gate.wait_finished()).await;
    assert!(finished.is_ok(), "the gateway waits for its caller");
    drop(stream);
}
