//! Real processes keep their promises under the faults of two fixed seeds.

use soak::prelude::*;

/// A seed and what its schedule is known for.
struct SeedCase {
    name: &'static str,
    seed: u64,
}

/// Guards against promises that hold only while one thing goes wrong at a time. The runs take turns,
/// so that they do not compete for the machine.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_are_kept_under_fixed_seeds() {
    let cases = [
        SeedCase { name: "kills, stops and drains during outages of the store", seed: 1 },
        SeedCase { name: "four drains, older configurations and a series of stops", seed: 2 },
    ];
    for case in cases {
        let plan = RunPlan { schedule: FaultSchedule::draw(case.seed), without: None };
        let verdict = run(&plan).await.expect("the run can be made");
        assert!(verdict.is_kept(), "{}: {verdict}\n{}", case.name, verdict.schedule);
    }
}
