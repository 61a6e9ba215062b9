//! The project's own policy against simple ones in a seeded model of 15 VMs.

#[path = "../examples/model/mod.rs"]
mod model;

use model::ModelCase;
use route::prelude::*;

const SIX_SLOTS: ModelCase =
    ModelCase { name: "six-slot", calls: 30_000, seed: 11, ..ModelCase::SIX_SLOTS };

/// Guards against herding on reports that are older than they claim, and against VMs that collide
/// on the same servers: p99 stays below that of least in flight.
#[test]
fn own_policy_beats_least_in_flight() {
    struct Case {
        name: &'static str,
        model: ModelCase,
        cost: CostTuning,
        below_least: bool,
    }
    const STANDARD: CostTuning = CostTuning::STANDARD;
    const TWO_SLOTS: ModelCase = ModelCase { servers: 10, slots: 2, ..SIX_SLOTS };
    const LAGGING: ModelCase = ModelCase { report_lag_ms: 2000.0, ..TWO_SLOTS };
    const NO_ORDER: CostTuning = CostTuning { preference_weight: 0.0, ..STANDARD };
    let case = |name, model, cost, below_least| Case { name, model, cost, below_least };
    let cases = [
        case("six-slot", SIX_SLOTS, STANDARD, true),
        case(
            "six-slot, reports 100 ms old",
            ModelCase { report_lag_ms: 100.0, ..SIX_SLOTS },
            STANDARD,
            true,
        ),
        case("three data centres", ModelCase { centres: 3, ..SIX_SLOTS }, STANDARD, true),
        case("two-slot", TWO_SLOTS, STANDARD, true),
        case("two-slot, reports 2 s old", LAGGING, STANDARD, true),
        case("two-slot, reports 2 s old, no order of preference", LAGGING, NO_ORDER, false),
    ];
    for Case { name, model, cost, below_least } in cases {
        println!("seed {}", model.seed);
        let least = PolicyKind::LeastInFlight(LeastInFlight);
        let least = model::run(&model, least, RouteTuning::STANDARD);
        let own = PolicyKind::ExpectedCost(ExpectedCost { tuning: cost });
        let own = model::run(&model, own, RouteTuning::STANDARD);
        println!("{name}: {own:?}, least in flight {least:?}");
        assert_eq!(own.p99_ms < least.p99_ms, below_least, "{name}");
    }
}
