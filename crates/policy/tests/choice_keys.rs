//! Requests with a choice key: the same candidates at every node.

use std::collections::BTreeSet;

use celeryhaven_policy::{
    Decision, FairPolicy, FairSettings, PolicyEvent, RequestPolicy, TargetKey, TargetProfile,
    Ticket,
};
use celeryhaven_types::{
    Idempotency, OrganisationName, Priority, RequestClass, RequestHead, RequestId, ServiceName,
    TimeMs, Verdict,
};

const TARGETS: u64 = 20;

fn class() -> RequestClass {
    RequestClass::Plain { service: ServiceName::new("portal") }
}

fn head(choice_key: Option<u64>) -> RequestHead {
    RequestHead {
        id: RequestId::new("r"),
        organisation: OrganisationName::new("joiners"),
        class: class(),
        priority: Priority::new(1),
        worth: 1,
        idempotency: Idempotency::Idempotent,
        deadline_in_ms: 5_000,
        start_within_ms: None,
        attempts_max: Some(4),
        prompt_tokens: 0,
        output_tokens_max: 1,
        prefix_hashes: Vec::new(),
        choice_key,
    }
}

/// A node whose target keys begin at `first_key`, as each node numbers the targets by itself.
fn node(seed: u64, first_key: u64) -> FairPolicy {
    let mut policy = FairPolicy::new(FairSettings::new(seed));
    let mut out = Vec::new();
    for number in 0..TARGETS {
        let key = TargetKey::new((first_key + number) as u32);
        let identity = TargetProfile::identity_of(&format!("vm-{number}"));
        let profile = TargetProfile { serves: class(), slots: 8, distance_us: 0, identity };
        let event = PolicyEvent::TargetUp { target: key, profile };
        policy.handle(TimeMs::new(0), event, &mut out);
    }
    policy
}

fn send(policy: &mut FairPolicy, ticket: u64, choice_key: Option<u64>) -> Option<u32> {
    let (ticket, mut out) = (Ticket::new(ticket), Vec::new());
    let head = head(choice_key);
    policy.handle(TimeMs::new(0), PolicyEvent::Arrived { ticket, head: &head }, &mut out);
    dispatched(&out)
}

fn dispatched(out: &[Decision]) -> Option<u32> {
    out.iter().find_map(|decision| match decision {
        Decision::Dispatch { target, .. } => Some(target.get()),
        _ => None,
    })
}

/// Copies of one request that several nodes send at the same time must end two targets at most.
#[test]
fn dispatch_of_same_key() {
    let mut chosen = BTreeSet::new();
    for number in 0..8 {
        let first_key = number * 100;
        let mut policy = node(number, first_key);
        for ticket in 0..4 {
            let target = send(&mut policy, ticket, Some(7)).unwrap();
            chosen.insert(u64::from(target) - first_key);
        }
    }
    assert_eq!(chosen.len(), 2, "{chosen:?}");
}

/// Requests that are not alike must use all targets evenly.
#[test]
fn dispatch_of_distinct_keys() {
    let mut policy = node(1, 0);
    let mut sent = vec![0; TARGETS as usize];
    for ticket in 0..100_u64 {
        let key = ticket.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let target = send(&mut policy, ticket, Some(key)).unwrap();
        sent[target as usize] += 1;
    }
    let (least, most) = (sent.iter().min(), sent.iter().max());
    assert!(least >= Some(&1) && most <= Some(&10), "{sent:?}");
}

/// A second attempt must not go to the target that has ended under the first one.
#[test]
fn dispatch_after_failure() {
    let mut policy = node(1, 0);
    let first = send(&mut policy, 1, Some(7)).unwrap();
    let failed =
        PolicyEvent::AttemptFailed { ticket: Ticket::new(1), verdict: Verdict::MayHaveRun };
    let mut out = Vec::new();
    policy.handle(TimeMs::new(10), failed, &mut out);
    assert!(dispatched(&out).is_some_and(|second| second != first), "{out:?}");
}
