//! Real processes keep their promises under the faults of fixed seeds.

use soak::prelude::*;

/// A seed and what its schedule is known for.
struct SeedCase {
    name: &'static str,
    seed: u64,
}

/// Makes the runs one after the other, so that they do not compete for the machine.
async fn check(cases: &[SeedCase]) {
    for case in cases {
        let plan = RunPlan { schedule: FaultSchedule::draw(case.seed), without: None };
        let verdict = run(&plan).await.expect("the run can be made");
        assert!(verdict.is_kept(), "{}: {verdict}\n{}", case.name, verdict.schedule);
    }
}

/// Guards against promises that hold only while one thing goes wrong at a time. Together, the seeds
/// notice the absence of every mechanism in docs/decisions/fault-soak.md.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_are_kept_under_fixed_seeds() {
    check(&[
        SeedCase { name: "drains, spoilt answers and stops", seed: 1000 },
        SeedCase { name: "older configurations and drains", seed: 1002 },
    ])
    .await;
}

/// Guards against faults that a run has found before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_are_kept_under_seeds_that_broke_one() {
    check(&[SeedCase {
        name: "a stop ended while a connection took its last call; in 1 of 3 runs of the seed",
        seed: 1011,
    }])
    .await;
}
