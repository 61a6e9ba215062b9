//! Runs of real gateway processes under the faults of fixed seeds.

use soak::prelude::*;

/// A seed and what distinguishes its schedule.
struct SeedCase {
    name: &'static str,
    seed: u64,
}

/// Runs the cases one after the other, so that they do not compete for the machine.
async fn check(cases: &[SeedCase]) {
    for case in cases {
        let plan = RunPlan { schedule: FaultSchedule::draw(case.seed), disabled: None };
        let verdict = run(&plan).await.expect("the run can be made");
        assert!(verdict.is_kept(), "{}: {verdict}\n{}", case.name, verdict.schedule);
    }
}

/// Guards against promises that hold only under one fault at a time. Together, the seeds detect the
/// absence of every mechanism in docs/decisions/fault-soak.md.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_are_kept_under_fixed_seeds() {
    check(&[
        SeedCase { name: "drains, malformed or wrong answers, and stops", seed: 1000 },
        SeedCase { name: "older configurations and drains", seed: 1002 },
        SeedCase { name: "a change after a short outage of the store", seed: 5011 },
    ])
    .await;
}

/// Guards against the return of defects that earlier runs have found.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_are_kept_under_seeds_that_broke_one() {
    check(&[SeedCase {
        name: "a stop ended while a connection accepted its last call; in 1 of 3 runs of the seed",
        seed: 1011,
    }])
    .await;
}
