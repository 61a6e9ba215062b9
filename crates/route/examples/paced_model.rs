//! Prints the share of calls that meet the objective in the model of `examples/model/paced.rs`, for
//! several ways to choose and for the paced policy with one parameter changed at a time.
//!
//! Usage: `paced_model [NAME]` prints only the choices whose name contains `NAME`.

mod model;

use std::thread;

use base::prelude::*;
use model::paced::{PacedCase, SIX_SLOTS, TWO_SLOTS};
use model::{ModelCase, ModelChoice, ModelResult, ProbePlan};
use route::prelude::*;

const SEEDS: [u64; 2] = [21, 22];
/// Probes the best two servers once if the evidence on the best is older than 50 ms.
const STANDARD_PLAN: ProbePlan = ProbePlan { evidence_ms: 50.0, count: 2, rounds: 1 };
const PLANS: &[(&str, ProbePlan)] = &[
    ("paced, probed", STANDARD_PLAN),
    ("paced, probed, 1 at once", ProbePlan { count: 1, ..STANDARD_PLAN }),
    ("paced, probed, 3 at once", ProbePlan { count: 3, ..STANDARD_PLAN }),
    ("paced, probed, 4 at once", ProbePlan { count: 4, ..STANDARD_PLAN }),
    ("paced, probed, 2 rounds", ProbePlan { rounds: 2, ..STANDARD_PLAN }),
    ("paced, probed, 3 rounds", ProbePlan { rounds: 3, ..STANDARD_PLAN }),
    ("paced, probed, 1, 3 rounds", ProbePlan { count: 1, rounds: 3, ..STANDARD_PLAN }),
    ("paced, probed after 25 ms", ProbePlan { evidence_ms: 25.0, ..STANDARD_PLAN }),
    ("paced, probed after 100 ms", ProbePlan { evidence_ms: 100.0, ..STANDARD_PLAN }),
];

struct Variant {
    name: &'static str,
    change: fn(&mut PacedTuning),
}

const fn variant(name: &'static str, change: fn(&mut PacedTuning)) -> Variant {
    Variant { name, change }
}

const VARIANTS: &[Variant] = &[
    variant("pace memory 75 ms", |tuning| tuning.pace_decay = ClockSpan::from_millis(75)),
    variant("pace memory 300 ms", |tuning| tuning.pace_decay = ClockSpan::from_millis(300)),
    variant("pace memory 600 ms", |tuning| tuning.pace_decay = ClockSpan::from_millis(600)),
    variant("load memory 50 ms", |tuning| tuning.load_decay = ClockSpan::from_millis(50)),
    variant("load memory 200 ms", |tuning| tuning.load_decay = ClockSpan::from_millis(200)),
    variant("full factor 1", |tuning| tuning.full_factor = 1.0),
    variant("remote 0 ms", |tuning| tuning.remote_ms = 0.0),
    variant("remote 50 ms", |tuning| tuning.remote_ms = 50.0),
    variant("overdue 0", |tuning| tuning.overdue_weight = 0.0),
    variant("overdue after 1", |tuning| tuning.overdue_after = 1.0),
    variant("overdue after 2", |tuning| tuning.overdue_after = 2.0),
    variant("overdue after 0", |tuning| tuning.overdue_after = 0.0),
    variant("overdue 2", |tuning| tuning.overdue_weight = 2.0),
    variant("jitter 0", |tuning| tuning.cost_jitter = 0.0),
    variant("jitter 0.1", |tuning| tuning.cost_jitter = 0.1),
];

fn choices() -> Vec<(String, ModelChoice)> {
    let paced = |tuning| PolicyKind::Paced(PacedChoice { tuning });
    let mut choices = vec![
        ("random".to_owned(), ModelChoice::Policy(PolicyKind::Random(RandomChoice))),
        ("expected-cost".to_owned(), ModelChoice::Policy(PolicyKind::default())),
        ("paced".to_owned(), ModelChoice::Policy(paced(PacedTuning::STANDARD))),
        ("all-knowing".to_owned(), ModelChoice::Oracle),
    ];
    for (name, plan) in PLANS {
        let probed = ModelChoice::Probed(paced(PacedTuning::STANDARD), *plan);
        choices.push((name.to_string(), probed));
    }
    for Variant { name, change } in VARIANTS {
        let mut tuning = PacedTuning::STANDARD;
        change(&mut tuning);
        choices.push((name.to_string(), ModelChoice::Policy(paced(tuning))));
        let probed = ModelChoice::Probed(paced(tuning), STANDARD_PLAN);
        choices.push((format!("{name}, probed"), probed));
    }
    choices
}

fn print_case(case: PacedCase, filter: Option<&str>) -> String {
    let mut lines = format!(
        "{}, objective {} ms: share within, share near, p50 p99 ms, collisions, probes\n",
        case.base.name, case.objective_ms
    );
    for (name, choice) in choices() {
        if filter.is_some_and(|filter| !name.contains(filter)) {
            continue;
        }
        let results = SEEDS.map(|seed| {
            let case = PacedCase { base: ModelCase { seed, ..case.base }, ..case };
            model::run_choice(&case, choice, RouteTuning::STANDARD)
        });
        let mean = |part: fn(&ModelResult) -> f64| {
            results.iter().map(part).sum::<f64>() / results.len() as f64
        };
        lines += &format!(
            "  {name:28} {:6.4} {:6.3} {:7.2} {:7.2} {:6.3} {:5.2}\n",
            mean(|result| result.within),
            mean(|result| result.near),
            mean(|result| result.p50_ms),
            mean(|result| result.p99_ms),
            mean(|result| result.collisions),
            mean(|result| result.probes),
        );
    }
    lines
}

fn main() {
    let filter = std::env::args().nth(1);
    let filter = filter.as_deref();
    thread::scope(|scope| {
        let runs = [SIX_SLOTS, TWO_SLOTS].map(|case| scope.spawn(move || print_case(case, filter)));
        for run in runs {
            print!("{}", run.join().expect("a run does not panic"));
        }
    });
}
