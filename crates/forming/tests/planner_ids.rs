//! Results of calls that a planner has begun must not reach the next one of the same process.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use celeryhaven_fleet::OrderOutcome;
use celeryhaven_forming::{DomainRecord, FormingAction, FormingEvent, OrderId, PlannerId};
use celeryhaven_types::{Generation, ModelName};
use common::Simulation;

const FIRST: PlannerId = PlannerId::new(1);
const SECOND: PlannerId = PlannerId::new(2);

/// Lets a new planner plan; returns its first actions after it has read an empty record.
fn plan(sim: &mut Simulation, planner: PlannerId) -> Vec<FormingAction> {
    sim.replace_planner(0, "entry-1", planner);
    let actions = sim.actions_after(0, None);
    assert!(actions.contains(&FormingAction::ReadRecord { planner }), "{actions:?}");
    let read = FormingEvent::RecordRead { planner, record: DomainRecord::default() };
    let mut actions = sim.actions_after(0, Some(read));
    actions.extend(sim.actions_after(0, None));
    actions
}

fn is_write_of(planner: PlannerId, action: &FormingAction) -> bool {
    matches!(action, FormingAction::WriteRecord { planner: writer, .. } if *writer == planner)
}

fn order_ids(actions: &[FormingAction]) -> Vec<OrderId> {
    let ids = actions.iter().filter_map(|action| match action {
        FormingAction::Order { id, .. } => Some(*id),
        _ => None,
    });
    ids.collect()
}

/// A domain whose targets have the weights of all models, listed for long enough to plan.
fn listed_domain() -> Simulation {
    let mut sim = Simulation::new(10);
    for fake in sim.targets.values_mut() {
        fake.entry.staged = vec![ModelName::new("large"), ModelName::new("small")];
    }
    sim.remove_coordinator(0);
    sim.run_ms(12_000);
    sim.add_coordinator("entry-1");
    sim
}

/// The result of a write of the first planner must not begin the replicas that the second one has planned.
#[test]
fn handle_write_of_earlier_planner() {
    let mut sim = listed_domain();
    assert!(plan(&mut sim, FIRST).iter().any(|action| is_write_of(FIRST, action)));
    assert!(plan(&mut sim, SECOND).iter().any(|action| is_write_of(SECOND, action)));
    let generation = Generation::new(77);
    for late in [
        FormingEvent::RecordWritten { planner: FIRST, generation },
        FormingEvent::RecordRead { planner: FIRST, record: DomainRecord::default() },
        FormingEvent::RecordFailed { planner: FIRST },
    ] {
        assert_eq!(order_ids(&sim.actions_after(0, Some(late))), []);
    }
    let own = FormingEvent::RecordWritten { planner: SECOND, generation };
    assert!(!order_ids(&sim.actions_after(0, Some(own))).is_empty());
}

/// The result of an order of the first planner must not pass for that of an order of the second one.
#[test]
fn handle_order_of_earlier_planner() {
    let mut sim = listed_domain();
    let orders = [FIRST, SECOND].map(|planner| {
        plan(&mut sim, planner);
        let generation = Generation::new(77 + planner.get());
        let written = FormingEvent::RecordWritten { planner, generation };
        order_ids(&sim.actions_after(0, Some(written)))
    });
    let [first, second] = &orders;
    assert!(!first.is_empty() && !second.is_empty());
    assert!(first.iter().all(|id| !second.contains(id)), "{first:?} {second:?}");
    for id in first {
        let refused =
            FormingEvent::OrderCompleted { id: *id, outcome: OrderOutcome::TargetRemoved };
        assert_eq!(sim.actions_after(0, Some(refused)), []);
    }
}
