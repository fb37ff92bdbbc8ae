//! How many targets each model is to have, by the work that is observed.

use std::collections::BTreeMap;

use celeryhaven_fleet::ModelProfile;
use celeryhaven_forming::{Balance, Demand};
use celeryhaven_types::{ModelName, TimeMs};

fn models() -> [ModelProfile; 2] {
    let model = |name: &str, size| ModelProfile {
        name: ModelName::new(name),
        size,
        share: 0.5,
        pace: 1.0,
        load_ms: 16_000,
        staged_load_ms: 1_600,
    };
    [model("large", 8), model("small", 4)]
}

fn name(model: &str) -> ModelName {
    ModelName::new(model)
}

/// What so many busy targets of each model, seen once a second, make of the balance of 144 targets.
fn balance(held: (usize, usize), busy: (f64, f64), seconds: u64) -> Balance {
    let mut demand = Demand::new();
    for second in 0..seconds {
        let now = TimeMs::new(second * 1_000);
        demand.observe(now, &name("large"), busy.0);
        demand.observe(now, &name("small"), busy.1);
    }
    let held = BTreeMap::from([(name("large"), held.0), (name("small"), held.1)]);
    Balance::new(&models(), 144, &held, &demand)
}

/// Two models were to have half of the targets each. The requests of one cost more than was expected:
/// its replicas were full and everyone there late, while those of the other had half of their slots
/// free and the balance was called even.
#[test]
fn balance_by_observed_work() {
    let even = balance((9, 18), (0.0, 0.0), 0);
    assert_eq!((even.missing(&name("large")), even.missing(&name("small"))), (0, 0));
    let observed = balance((9, 18), (72.0, 45.0), 10);
    assert_eq!(observed.by_need().next(), Some(&name("large")));
    assert!(observed.is_uneven(&name("small")));
    assert_eq!(observed.missing(&name("large")), 2);
    assert_eq!(observed.missing(&name("small")), 0);
}

/// A burst asks one model for everything. It takes at most a third more than the operators expect, so
/// that callers of the other still find replicas when they come.
#[test]
fn balance_bounded_by_configuration() {
    let burst = balance((9, 18), (140.0, 1.0), 60);
    assert_eq!(burst.missing(&name("large")), 3);
    let other = balance((9, 18), (1.0, 140.0), 60);
    assert_eq!(other.missing(&name("small")), 6);
}

/// Nobody has asked for one of the models yet. Nothing is known of what it takes, so it has what the
/// operators expect.
#[test]
fn balance_model_not_observed() {
    let mut demand = Demand::new();
    demand.observe(TimeMs::new(0), &name("small"), 60.0);
    let held = BTreeMap::from([(name("large"), 9), (name("small"), 18)]);
    let balance = Balance::new(&models(), 144, &held, &demand);
    assert!(!balance.is_uneven(&name("small")) && !balance.is_uneven(&name("large")));
}
