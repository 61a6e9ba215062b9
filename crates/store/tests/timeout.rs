//! The time limit of calls, changed while the client is in use.

use base::prelude::*;
use store::prelude::*;
use tokio::net::TcpListener;

/// Passes within the test. No verdict depends on how long it takes.
const SHORT: ClockSpan = ClockSpan::from_millis(20);
/// Never passes within the test.
const LONG: ClockSpan = ClockSpan::from_secs(3600);
/// A call that has not ended by now has the long time limit.
const HANGING: ClockSpan = ClockSpan::from_secs(60);

struct TimeoutCase {
    name: &'static str,
    initial: ClockSpan,
    changed: Option<ClockSpan>,
}

const CASES: &[TimeoutCase] = &[
    TimeoutCase { name: "as at the start", initial: SHORT, changed: None },
    TimeoutCase { name: "shortened", initial: LONG, changed: Some(SHORT) },
];

/// Guards against a client that keeps the time limit of its start, or whose clones do.
#[tokio::test]
async fn a_changed_time_limit_holds_for_the_next_call() {
    // Accepts connections and answers nothing.
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = silent.local_addr().expect("an address");
    for case in CASES {
        let settings = HttpSettings { call_timeout: case.initial, ..HttpSettings::new(address, 1) };
        let store = HttpStore::new(settings, RealClock::new());
        let clone = store.clone();
        if let Some(timeout) = case.changed {
            clone.set_call_timeout(timeout);
        }
        for store in [store, clone] {
            let call = tokio::time::timeout(HANGING.to_duration(), store.members());
            let answer = call.await.expect(case.name);
            assert!(answer.is_err(), "{}: {answer:?}", case.name);
        }
    }
}
