//! Allocation of replicas to fabric domains, and operators' plans.

mod support;

use celeryhaven_placement::{
    DomainCapacity, Share, allocate, describe, empty_placement, make_plan, replicas_unplaced,
};
use celeryhaven_types::{
    DataCentreName, Deployment, DomainName, DomainPlacement, Generation, Intent, ModelVersion,
    Objective, OperatorName, Replica, ReplicaName, ReplicaPhase,
};
use support::deployment;

fn capacity(domain: &str, data_centre: &str, vms: u32) -> DomainCapacity {
    DomainCapacity {
        domain: DomainName::new(domain),
        data_centre: DataCentreName::new(data_centre),
        vms,
        accelerators_per_vm: 4,
    }
}

fn three_domains() -> Vec<DomainCapacity> {
    vec![capacity("a", "dc-1", 20), capacity("b", "dc-2", 20), capacity("c", "dc-3", 20)]
}

fn intent(deployments: Vec<Deployment>) -> Intent {
    let objective = Objective { group_downtime_weight: 1.0, stranded_accelerator_weight: 1.0 };
    Intent { organisations: Vec::new(), deployments, services: Vec::new(), objective }
}

fn with_replicas(mut deployment: Deployment, replicas: u32) -> Deployment {
    deployment.replicas = replicas;
    deployment
}

fn replicas_of(shares: &[Share], deployment: &str, domain: &str) -> u32 {
    let is_match = |s: &&Share| s.deployment.as_str() == deployment && s.domain.as_str() == domain;
    shares.iter().find(is_match).map_or(0, |share| share.replicas)
}

/// Returns placements in which every share serves.
fn formed(shares: &[Share]) -> Vec<DomainPlacement> {
    let mut placements: Vec<DomainPlacement> = three_domains()
        .into_iter()
        .map(|domain| empty_placement(domain.domain, domain.data_centre))
        .collect();
    for share in shares {
        let placement = placements.iter_mut().find(|p| p.domain == share.domain).expect("known");
        for number in 0..share.replicas {
            placement.replicas.push(Replica {
                name: ReplicaName::new(format!("{}-{}-{number}", share.deployment, share.domain)),
                deployment: share.deployment.clone(),
                model: celeryhaven_types::ModelName::new(share.deployment.as_str()),
                version: share.version.clone(),
                generation: Generation::new(1),
                vms: (0..4).map(support::vm).collect(),
                phase: ReplicaPhase::Serving,
            });
        }
    }
    placements
}

#[test]
fn allocate_spreads_over_data_centres() {
    let intent = intent(vec![with_replicas(deployment("draft", 4, 5), 7)]);
    let shares = allocate(&intent, &three_domains(), &[], &[]);
    assert_eq!(
        [
            replicas_of(&shares, "draft", "a"),
            replicas_of(&shares, "draft", "b"),
            replicas_of(&shares, "draft", "c")
        ],
        [3, 2, 2]
    );
}

#[test]
fn allocate_keeps_current_replicas() {
    let small = intent(vec![with_replicas(deployment("draft", 4, 5), 6)]);
    let shares = allocate(&small, &three_domains(), &[], &[]);
    let mut domains = three_domains();
    domains[0].vms = 19;
    domains.push(capacity("d", "dc-1", 40));
    assert_eq!(allocate(&small, &domains, &shares, &[]), shares, "a new domain moves no replica");
    domains[0].vms = 4;
    let moved = allocate(&small, &domains, &shares, &[]);
    assert_eq!([replicas_of(&moved, "draft", "a"), replicas_of(&moved, "draft", "d")], [1, 1]);
}

#[test]
fn allocate_preempts_lower_priority() {
    let low = with_replicas(deployment("low", 4, 1), 12);
    let before = allocate(&intent(vec![low.clone()]), &three_domains(), &[], &[]);
    let high = with_replicas(deployment("high", 4, 9), 5);
    let both = intent(vec![low, high]);
    let shares = allocate(&both, &three_domains(), &before, &[]);
    let total =
        |name| ["a", "b", "c"].map(|domain| replicas_of(&shares, name, domain)).iter().sum::<u32>();
    assert_eq!((total("high"), total("low")), (5, 10));
    assert_eq!(replicas_unplaced(&both, &shares), 2);
}

/// A new version must not stop the replicas of all domains at once: each domain changes after the
/// one before it serves.
#[test]
fn version_rolls_out_one_domain_at_a_time() {
    let mut intent = intent(vec![with_replicas(deployment("draft", 4, 5), 3)]);
    let mut shares = allocate(&intent, &three_domains(), &[], &[]);
    intent.deployments[0].version = ModelVersion::new("2");
    let with_new = |shares: &[Share]| shares.iter().filter(|s| s.version.as_str() == "2").count();
    let mut placements = formed(&shares);
    for round in 1..=3 {
        shares = allocate(&intent, &three_domains(), &shares, &placements);
        assert_eq!(with_new(&shares), round);
        let waiting = allocate(&intent, &three_domains(), &shares, &placements);
        assert_eq!(with_new(&waiting), round, "waits until the changed domain serves");
        placements = formed(&shares);
    }
}

/// With six VMs, five small replicas leave a VM idle, and one large replica leaves five missing. The
/// weights must decide between the two.
#[test]
fn allocate_order_follows_weights() {
    let placed = |group_downtime_weight, stranded_accelerator_weight| {
        let large = with_replicas(deployment("large", 6, 5), 1);
        let small = with_replicas(deployment("small", 1, 5), 5);
        let objective = Objective { group_downtime_weight, stranded_accelerator_weight };
        let intent = Intent { objective, ..intent(vec![large, small]) };
        let shares = allocate(&intent, &[capacity("a", "dc-1", 6)], &[], &[]);
        (replicas_of(&shares, "large", "a"), replicas_of(&shares, "small", "a"))
    };
    assert_eq!(placed(5.0, 1.0), (0, 5), "weights that favour downtime");
    assert_eq!(placed(1.0, 4.0), (1, 0), "weights that favour accelerators");
}

/// A change to fewer replicas of a new version must keep the surplus until the rollout completes.
/// Otherwise the rollout would run below the wanted number.
#[test]
fn version_change_to_fewer_replicas_keeps_surplus_until_changed() {
    let mut intent = intent(vec![with_replicas(deployment("draft", 4, 5), 5)]);
    let mut shares = allocate(&intent, &three_domains(), &[], &[]);
    let mut placements = formed(&shares);
    intent.deployments[0].replicas = 4;
    intent.deployments[0].version = ModelVersion::new("2");
    let total = |shares: &[Share]| shares.iter().map(|share| share.replicas).sum::<u32>();
    let mut rounds = 0;
    while total(&shares) > 4 {
        shares = allocate(&intent, &three_domains(), &shares, &placements);
        let new = shares.iter().filter(|share| share.version.as_str() == "2");
        let new: u32 = new.map(|share| share.replicas).sum();
        assert!(total(&shares) == 5 || new == 4, "surplus stopped before the rollout completed");
        placements = formed(&shares);
        rounds += 1;
        assert!(rounds < 10);
    }
    assert!(rounds > 2, "changed one domain at a time");
    assert_eq!(shares.len(), 2, "the domain with the old version has no share left");
}

#[test]
fn make_plan_lists_stopped_replicas_and_users() {
    let before = intent(vec![
        with_replicas(deployment("draft", 4, 5), 3),
        with_replicas(deployment("old", 4, 1), 3),
    ]);
    let shares = allocate(&before, &three_domains(), &[], &[]);
    let placements = formed(&shares);
    let mut draft = with_replicas(deployment("draft", 4, 5), 2);
    draft.version = ModelVersion::new("2");
    let new = with_replicas(deployment("new", 4, 3), 20);
    let mut old = with_replicas(deployment("old", 4, 1), 3);
    old.organisations = vec![celeryhaven_types::OrganisationName::new("roofers")];
    old.replicas = 2;
    let after = intent(vec![draft, new, old]);
    let operator = OperatorName::new("anna");
    let plan = make_plan(None, after, operator, &shares, &placements, &three_domains());
    let lines: Vec<String> = plan.effects.iter().map(describe).collect();
    println!("{}", lines.join("\n"));
    let has = |start: &str| lines.iter().filter(|line| line.starts_with(start)).count();
    assert_eq!(has("stop draft-"), 1);
    assert_eq!(has("replace draft-"), 2);
    assert_eq!(has("stop old-"), 3, "preempted by the higher priority");
    assert!(lines.iter().any(|line| line.ends_with("used by roofers")));
    assert_eq!(has("no room for"), 2);
}

#[test]
fn plan_identity_follows_base_and_intent() {
    let one = intent(vec![with_replicas(deployment("draft", 4, 5), 3)]);
    let two = intent(vec![with_replicas(deployment("draft", 4, 5), 4)]);
    let id = |intent: &Intent| {
        make_plan(None, intent.clone(), OperatorName::new("anna"), &[], &[], &three_domains()).id
    };
    assert_eq!(id(&one), id(&one));
    assert_ne!(id(&one), id(&two));
}
