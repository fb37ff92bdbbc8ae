//! Concurrent operators, lost replies and store outages leave one history without reverted changes.

mod controllers;

use celeryhaven_types::store::StoreRequest;
use celeryhaven_types::{
    DataCentreName, FencingMode, NodeName, OperatorRefusal, OperatorReply, OperatorRequest, VmName,
};
use controllers::{StoreFault, World, deployment, intent};

fn world() -> World {
    let mut world = World::new(3, 1, 4, FencingMode::Checked);
    world.run_ms(3_000);
    world
}

fn refusal(reply: OperatorReply) -> OperatorRefusal {
    match reply {
        OperatorReply::Refused(refusal) => refusal,
        other => panic!("not refused: {other:?}"),
    }
}

fn is_config_write(request: &StoreRequest) -> bool {
    let key = match request {
        StoreRequest::Create { key, .. } | StoreRequest::Update { key, .. } => key,
        _ => return false,
    };
    key.as_str() == "config/current"
}

/// The second of two plans made from one configuration silently reverts the first.
#[test]
fn confirm_racing_plans_second_gets_conflict() {
    let mut world = world();
    world.declare(0, &intent(vec![deployment("draft", 1, 5)]));
    let first = world.plan(0, &intent(vec![deployment("draft", 2, 5)]));
    let second = world.plan(1, &intent(vec![deployment("draft", 1, 7)]));
    let confirm = |plan| OperatorRequest::Confirm { plan, without: Vec::new() };
    let one = world.ask(0, "anna", confirm(first));
    let two = world.ask(1, "bela", confirm(second));
    let replies = [world.wait_for(one), world.wait_for(two)];
    let accepted = replies.iter().filter(|reply| matches!(reply, OperatorReply::Accepted(_)));
    assert_eq!(accepted.count(), 1, "{replies:?}");
    let refused = replies.into_iter().find(|reply| matches!(reply, OperatorReply::Refused(_)));
    let refused = refusal(refused.expect("one"));
    assert!(matches!(refused, OperatorRefusal::Conflict { .. }), "{refused:?}");
    assert_eq!(world.config().expect("accepted").number.get(), 2);
    world.check_history();
}

/// An outdated plan reverts the changes made since.
#[test]
fn confirm_old_plan_is_conflict() {
    let mut world = world();
    world.declare(0, &intent(vec![deployment("draft", 1, 5)]));
    let old = world.plan(0, &intent(vec![deployment("draft", 2, 5)]));
    world.declare(1, &intent(vec![deployment("draft", 1, 7)]));
    let refused = refusal(world.confirm(2, "bela", &old));
    let OperatorRefusal::Conflict { base, current, by } = refused else { panic!("{refused:?}") };
    assert_eq!((base.get(), current.get(), by.as_str()), (1, 2, "anna"));
    world.check_history();
}

#[test]
fn confirm_twice_reports_already_confirmed() {
    let mut world = world();
    let plan = world.plan(0, &intent(vec![deployment("draft", 1, 5)]));
    assert!(matches!(world.confirm(0, "anna", &plan), OperatorReply::Accepted(_)));
    let again = refusal(world.confirm(1, "bela", &plan));
    let OperatorRefusal::AlreadyConfirmed { by, .. } = again else { panic!("{again:?}") };
    assert_eq!(by.as_str(), "anna");
    world.declare(0, &intent(vec![deployment("draft", 2, 5)]));
    let later = refusal(world.confirm(1, "bela", &plan));
    assert!(matches!(later, OperatorRefusal::AlreadyConfirmed { .. }), "{later:?}");
    world.check_history();
}

/// Two operators who confirm one plan at the same time are both told that they changed the
/// configuration.
#[test]
fn confirm_same_plan_at_once_accepts_one() {
    let mut world = world();
    let plan = world.plan(0, &intent(vec![deployment("draft", 1, 5)]));
    let confirm = || OperatorRequest::Confirm { plan: plan.clone(), without: Vec::new() };
    let one = world.ask(0, "anna", confirm());
    let two = world.ask(1, "bela", confirm());
    let replies = [world.wait_for(one), world.wait_for(two)];
    let accepted = replies.iter().filter(|reply| matches!(reply, OperatorReply::Accepted(_)));
    assert_eq!(accepted.count(), 1, "{replies:?}");
    world.check_history();
}

/// A write whose reply was lost is applied twice or reported as a conflict with itself.
#[test]
fn confirm_answer_lost_is_accepted_once() {
    let mut world = world();
    world.declare(0, &intent(vec![deployment("draft", 1, 5)]));
    let plan = world.plan(0, &intent(vec![deployment("draft", 2, 5)]));
    let mut lost = 0;
    world.fault = Box::new(move |request| {
        lost += u32::from(is_config_write(request));
        if is_config_write(request) && lost == 1 {
            StoreFault::AnswerLost
        } else {
            StoreFault::None
        }
    });
    let reply = world.confirm(0, "anna", &plan);
    assert!(matches!(reply, OperatorReply::Accepted(_)), "{reply:?}");
    assert_eq!(world.store.configs.len(), 2);
    world.check_history();
}

/// A write whose reply was lost is reported as a conflict because another change follows it.
#[test]
fn confirm_answer_lost_and_overtaken_is_accepted() {
    let mut world = world();
    world.declare(0, &intent(vec![deployment("draft", 1, 5)]));
    let plan = world.plan(0, &intent(vec![deployment("draft", 2, 5)]));
    let mut lost = 0;
    world.fault = Box::new(move |request| {
        lost += u32::from(is_config_write(request));
        if is_config_write(request) && lost == 1 {
            StoreFault::AnswerLost
        } else {
            StoreFault::None
        }
    });
    let confirm = OperatorRequest::Confirm { plan, without: Vec::new() };
    let first = world.ask(0, "anna", confirm);
    world.run_until("the write took effect", |world| world.store.configs.len() == 2);
    let request = OperatorRequest::DrainVm { vm: VmName::new("vm-0-00"), drained: true };
    let second = world.ask(1, "bela", request);
    assert!(matches!(world.wait_for(second), OperatorReply::Accepted(_)));
    let reply = world.wait_for(first);
    let OperatorReply::Accepted(record) = reply else { panic!("{reply:?}") };
    assert_eq!(record.number.get(), 2);
    world.check_history();
}

/// A request without a conclusive reply by its deadline is reported as unchanged.
#[test]
fn confirm_store_unavailable_reports_outcome_unknown() {
    for fault in [StoreFault::Down, StoreFault::AnswerLost] {
        let mut world = world();
        let plan = world.plan(0, &intent(vec![deployment("draft", 1, 5)]));
        let mut is_down = false;
        world.fault = Box::new(move |request| {
            is_down |= is_config_write(request);
            match (is_down, is_config_write(request)) {
                (true, true) => fault,
                (true, false) => StoreFault::Down,
                (false, _) => StoreFault::None,
            }
        });
        let refused = refusal(world.confirm(0, "anna", &plan));
        assert_eq!(refused, OperatorRefusal::OutcomeUnknown);
    }
}

#[test]
fn plan_store_unavailable_reports_nothing_changed() {
    let mut world = world();
    world.fault = Box::new(|_| StoreFault::Down);
    let request = OperatorRequest::Plan { intent: intent(vec![deployment("draft", 1, 5)]) };
    let ticket = world.ask(0, "anna", request);
    assert_eq!(refusal(world.wait_for(ticket)), OperatorRefusal::StoreUnavailable);
}

/// A change made from a stale read reverts the last change.
#[test]
fn confirm_with_stale_reads_never_reverts() {
    let mut world = world();
    world.declare(0, &intent(vec![deployment("draft", 1, 5)]));
    let old_plan = world.plan(0, &intent(vec![deployment("draft", 2, 5)]));
    world.declare(1, &intent(vec![deployment("draft", 3, 5)]));
    let mut count = 0;
    world.fault = Box::new(move |request| {
        let is_read =
            matches!(request, StoreRequest::Get { key } if key.as_str() == "config/current");
        count += u32::from(is_read);
        if is_read && count < 4 { StoreFault::Stale } else { StoreFault::None }
    });
    let refused = refusal(world.confirm(0, "bela", &old_plan));
    assert!(matches!(refused, OperatorRefusal::Conflict { .. }), "{refused:?}");
    assert_eq!(world.store.configs.len(), 2);
    world.check_history();
}

/// Concurrent changes with lost replies leave a gap or a duplicate in the history.
#[test]
fn history_of_many_racing_changes_has_no_gap() {
    let mut world = world();
    world.declare(0, &intent(vec![deployment("draft", 1, 5)]));
    let mut count = 0;
    world.fault = Box::new(move |_| {
        count += 1;
        if count % 5 == 0 { StoreFault::AnswerLost } else { StoreFault::None }
    });
    let mut accepted = 0;
    for round in 0..60_u64 {
        let drain = |vm: u64| OperatorRequest::DrainVm {
            vm: VmName::new(format!("vm-0-{vm:02}")),
            drained: (round / 4) % 2 == 0,
        };
        let tickets: Vec<u64> = (0..3)
            .map(|node| world.ask(node, ["anna", "bela", "cilla"][node], drain(round % 4)))
            .collect();
        for ticket in tickets {
            accepted += usize::from(matches!(world.wait_for(ticket), OperatorReply::Accepted(_)));
        }
    }
    println!("changes accepted: {accepted}, configurations written: {}", world.store.configs.len());
    assert_eq!(world.store.configs.len(), accepted + 1);
    world.check_history();
}

#[test]
fn drain_unknown_names_are_refused() {
    let mut world = world();
    let vm = VmName::new("no-such-vm");
    let request = OperatorRequest::DrainVm { vm: vm.clone(), drained: true };
    let ticket = world.ask(0, "anna", request);
    assert_eq!(refusal(world.wait_for(ticket)), OperatorRefusal::UnknownVm { vm });
    let node = NodeName::new("vm-0-00");
    let request = OperatorRequest::DrainNode { node: node.clone(), drained: true };
    let ticket = world.ask(0, "anna", request);
    assert_eq!(refusal(world.wait_for(ticket)), OperatorRefusal::UnknownNode { node });
}

/// A change is accepted without a warning about a data centre that no longer reports.
#[test]
fn confirm_old_status_needs_without() {
    let mut world = world();
    world.store.put(
        "status/dc-9",
        r#"{"data_centre":"dc-9","node":"entry-9","config_number":0,"entries_alive":1,
            "at_unix_ms":1000}"#,
    );
    let plan = world.plan(0, &intent(vec![deployment("draft", 1, 5)]));
    let refused = refusal(world.confirm(0, "anna", &plan));
    let data_centres = vec![DataCentreName::new("dc-9")];
    assert_eq!(refused, OperatorRefusal::OldStatus { data_centres: data_centres.clone() });
    assert!(world.store.configs.is_empty());
    let request = OperatorRequest::Confirm { plan, without: data_centres };
    let ticket = world.ask(0, "anna", request);
    assert!(matches!(world.wait_for(ticket), OperatorReply::Accepted(_)));
}
