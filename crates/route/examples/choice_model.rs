//! Prints the latency of each policy in the model of `examples/model`, and of the default policy,
//! the expected cost, with one parameter changed at a time.
//!
//! Usage: `choice_model [NAME]` prints only the variants whose name contains `NAME`.

mod model;

use std::thread;

use model::ModelCase;
use route::prelude::*;

const SIX_SLOTS: ModelCase = ModelCase::SIX_SLOTS;

const TWO_SLOTS: ModelCase =
    ModelCase { name: "two-slot, 10 servers", servers: 10, slots: 2, ..SIX_SLOTS };

const THREE_CENTRES: ModelCase =
    ModelCase { name: "six-slot, 12 servers in 3 centres", centres: 3, ..SIX_SLOTS };

const LAGS_MS: [f64; 3] = [0.0, 100.0, 2000.0];
const SEEDS: [u64; 2] = [1, 2];

struct Variant {
    name: &'static str,
    change: fn(&mut CostTuning),
}

const fn variant(name: &'static str, change: fn(&mut CostTuning)) -> Variant {
    Variant { name, change }
}

const VARIANTS: &[Variant] = &[
    variant("report 0", |tuning| {
        tuning.report_weight = 0.0;
        tuning.full_weight = 0.0;
    }),
    variant("report 2", |tuning| {
        tuning.report_weight = 2.0;
    }),
    variant("full 0", |tuning| {
        tuning.full_weight = 0.0;
    }),
    variant("full 2", |tuning| {
        tuning.full_weight = 2.0;
    }),
    variant("full 8", |tuning| {
        tuning.full_weight = 8.0;
    }),
    variant("report 2, full 2", |tuning| {
        tuning.report_weight = 2.0;
        tuning.full_weight = 2.0;
    }),
    variant("preference 0", |tuning| {
        tuning.preference_weight = 0.0;
    }),
    variant("preference 1", |tuning| {
        tuning.preference_weight = 1.0;
    }),
    variant("preference 2", |tuning| {
        tuning.preference_weight = 2.0;
    }),
    variant("preference 5", |tuning| {
        tuning.preference_weight = 5.0;
    }),
    variant("own 6", |tuning| {
        tuning.own_weight = 6.0;
    }),
    variant("overdue 0", |tuning| {
        tuning.overdue_weight = 0.0;
    }),
    variant("slow 0", |tuning| {
        tuning.slow_weight = 0.0;
    }),
    variant("slow 0.5", |tuning| {
        tuning.slow_weight = 0.5;
    }),
    variant("slow from 1.5", |tuning| {
        tuning.slow_threshold = 1.5;
    }),
    variant("tail 0.1", |tuning| {
        tuning.tail_weight = 0.1;
    }),
    variant("tail 0.25", |tuning| {
        tuning.tail_weight = 0.25;
    }),
    variant("stale 0", |tuning| {
        tuning.stale_weight = 0.0;
    }),
    variant("stale 0.2", |tuning| {
        tuning.stale_weight = 0.2;
    }),
    variant("jitter 0", |tuning| {
        tuning.cost_jitter = 0.0;
    }),
    variant("jitter 0.2", |tuning| {
        tuning.cost_jitter = 0.2;
    }),
];

fn print_case(base: ModelCase, filter: Option<&str>) -> String {
    let lag_ms = base.report_lag_ms;
    let mut lines =
        format!("{}, reports {lag_ms} ms old: mean p50 p99 ms, collisions\n", base.name);
    let named = PolicyKind::NAMES.map(|name| (name, name.parse().expect("a policy name")));
    let changed = VARIANTS.iter().map(|variant| {
        let mut tuning = CostTuning::STANDARD;
        (variant.change)(&mut tuning);
        (variant.name, PolicyKind::ExpectedCost(ExpectedCost { tuning }))
    });
    for (name, policy) in named.into_iter().chain(changed) {
        if filter.is_some_and(|filter| !name.contains(filter)) {
            continue;
        }
        let results = SEEDS
            .map(|seed| model::run(&ModelCase { seed, ..base }, policy, RouteTuning::STANDARD));
        let mean = |part: fn(&model::ModelResult) -> f64| {
            results.iter().map(part).sum::<f64>() / results.len() as f64
        };
        lines += &format!(
            "  {name:22} {:7.2} {:7.2} {:7.2} {:6.3}\n",
            mean(|result| result.mean_ms),
            mean(|result| result.p50_ms),
            mean(|result| result.p99_ms),
            mean(|result| result.collisions),
        );
    }
    lines
}

fn main() {
    let filter = std::env::args().nth(1);
    thread::scope(|scope| {
        let mut runs = Vec::new();
        for base in [SIX_SLOTS, THREE_CENTRES, TWO_SLOTS] {
            for lag_ms in LAGS_MS {
                let filter = filter.as_deref();
                let case = ModelCase { report_lag_ms: lag_ms, ..base };
                runs.push(scope.spawn(move || print_case(case, filter)));
            }
        }
        for run in runs {
            print!("{}", run.join().expect("a run does not panic"));
        }
    });
}
