//! A view updated entry by entry equals one built from all entries.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_fleet::{
    FleetView, MemberState, Membership, Replica, ReplicaKey, TargetEntry, TargetPhase,
};
use celeryhaven_types::{
    DataCentreName, DomainName, Generation, ModelName, ReplicaName, ServiceName, TimeMs, VmName,
};
use quickcheck::{Arbitrary, Gen};

const NOW: TimeMs = TimeMs::new(1_000);

fn number(random: &mut Gen, below: u64) -> u64 {
    u64::arbitrary(random) % below
}

fn membership(random: &mut Gen) -> Membership {
    let states = [MemberState::Joining, MemberState::Ready, MemberState::Open];
    Membership {
        replica: ReplicaName::new(format!("r{}", number(random, 5))),
        generation: Generation::new(number(random, 2)),
        rank: number(random, 4) as u32,
        state: *random.choose(&states).unwrap(),
    }
}

fn entry(random: &mut Gen) -> TargetEntry {
    let phases = [TargetPhase::Ready, TargetPhase::Draining];
    TargetEntry {
        name: VmName::new(format!("t{}", number(random, 12))),
        service: ServiceName::new(format!("s{}", number(random, 2))),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: DataCentreName::new("a"),
        domain: bool::arbitrary(random).then(|| DomainName::new(format!("d{}", number(random, 3)))),
        slots: 4,
        phase: *random.choose(&phases).unwrap(),
        started_at_ms: None,
        report_number: None,
        cold_ms: 0,
        membership: bool::arbitrary(random).then(|| membership(random)),
        model: bool::arbitrary(random).then(|| ModelName::new("m")),
        staged: Vec::new(),
    }
}

/// Returns the members of each replica, computed from the entries alone.
fn members_by_entries(fleet: &FleetView) -> BTreeMap<ReplicaKey, BTreeSet<VmName>> {
    let mut members: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
    for entry in fleet.targets() {
        let Some(membership) = &entry.membership else { continue };
        let (replica, generation) = (membership.replica.clone(), membership.generation);
        let key = ReplicaKey { replica, generation };
        members.entry(key).or_default().insert(entry.name.clone());
    }
    members
}

/// Returns the replicas without what depends on earlier lists.
fn as_listed(fleet: &FleetView) -> Vec<Replica> {
    let replicas = fleet.replicas().values().cloned();
    replicas.map(|replica| Replica { formed_size: 0, ..replica }).collect()
}

/// Returns a view built from all entries at once.
fn rebuilt(fleet: &FleetView) -> FleetView {
    let mut view = FleetView::new();
    view.replace(NOW, fleet.targets().cloned().collect());
    view
}

type DomainCounts = (ServiceName, DomainName, usize, usize, usize);

fn domains(fleet: &FleetView) -> Vec<DomainCounts> {
    let services: BTreeSet<_> = fleet.targets().map(|entry| entry.service.clone()).collect();
    let of = |service: &ServiceName| {
        let count = |(domain, targets): (&DomainName, &celeryhaven_fleet::DomainTargets)| {
            let names = targets.names().len();
            (service.clone(), domain.clone(), names, targets.ready(), targets.empty())
        };
        fleet.domains(service).map(count).collect::<Vec<_>>()
    };
    services.iter().flat_map(of).collect()
}

/// Returns the same counts, computed from the entries alone.
fn domains_by_entries(fleet: &FleetView) -> Vec<DomainCounts> {
    let mut counted: BTreeMap<(ServiceName, DomainName), (usize, usize, usize)> = BTreeMap::new();
    for entry in fleet.targets() {
        let Some(domain) = &entry.domain else { continue };
        let count = counted.entry((entry.service.clone(), domain.clone())).or_default();
        count.0 += 1;
        count.1 += usize::from(entry.phase == TargetPhase::Ready);
        count.2 += usize::from(entry.is_empty());
    }
    counted.into_iter().map(|((s, d), (names, ready, empty))| (s, d, names, ready, empty)).collect()
}

/// Guards against replicas and domains that are outdated after incremental changes.
#[test]
fn put_remove_match_full_list() {
    for seed in 0..200 {
        let mut random = Gen::from_size_and_seed(10, seed);
        let mut fleet = FleetView::new();
        for _ in 0..60 {
            match number(&mut random, 4) {
                0 => {
                    fleet.remove(NOW, &VmName::new(format!("t{}", number(&mut random, 12))));
                }
                _ => {
                    fleet.put(entry(&mut random));
                }
            }
            let members = |replicas: &BTreeMap<ReplicaKey, Replica>| {
                replicas.keys().cloned().collect::<Vec<_>>()
            };
            let by_entries: Vec<_> = members_by_entries(&fleet).into_keys().collect();
            assert_eq!(members(fleet.replicas()), by_entries, "seed {seed}");
            assert_eq!(as_listed(&fleet), as_listed(&rebuilt(&fleet)), "seed {seed}");
            assert_eq!(domains(&fleet), domains_by_entries(&fleet), "seed {seed}");
            assert!(fleet.replicas().keys().all(|key| fleet.reported_replicas().contains(key)));
            let serves = |name: &VmName| {
                let member = fleet.target(name).and_then(|entry| entry.membership.as_ref());
                member.is_none_or(|member| {
                    let (replica, generation) = (member.replica.clone(), member.generation);
                    let replica = &fleet.replicas()[&ReplicaKey { replica, generation }];
                    replica.is_whole(replica.formed_size)
                })
            };
            assert!(fleet.unlisted_targets().all(|(name, _)| serves(name)), "seed {seed}");
        }
    }
}

/// Guards against repeated work when an unchanged entry is received again.
#[test]
fn put_same_entry_changes_nothing() {
    let mut fleet = FleetView::new();
    let entry = entry(&mut Gen::from_size_and_seed(10, 3));
    assert!(fleet.put(entry.clone()));
    assert!(!fleet.put(entry.clone()));
    assert!(!fleet.replace(NOW, vec![entry.clone()]));
    assert!(fleet.remove(NOW, &entry.name));
    assert!(!fleet.remove(NOW, &entry.name));
}

/// A member of replica `number`, or a free target if `rank` is `None`.
fn member(number: u32, rank: u32, is_in: bool) -> TargetEntry {
    let membership = is_in.then(|| Membership {
        replica: ReplicaName::new(format!("r{number}")),
        generation: Generation::new(1),
        rank,
        state: if rank == 0 { MemberState::Open } else { MemberState::Ready },
    });
    TargetEntry {
        name: member_name(number, rank),
        service: ServiceName::new("s"),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: DataCentreName::new("a"),
        domain: Some(DomainName::new("d")),
        slots: 4,
        phase: TargetPhase::Ready,
        started_at_ms: None,
        report_number: None,
        cold_ms: 0,
        membership,
        model: Some(ModelName::new("m")),
        staged: Vec::new(),
    }
}

fn member_name(number: u32, rank: u32) -> VmName {
    VmName::new(format!("t{number}-{rank}"))
}

/// A store that came back from a copy lists what targets said before; it must not undo what they
/// have said since.
#[test]
fn put_outdated_report() {
    let mut fleet = FleetView::new();
    let report = |report_number: u64, phase: TargetPhase| TargetEntry {
        report_number: Some(report_number),
        started_at_ms: Some(7),
        phase,
        ..member(0, 0, true)
    };
    let phase = |fleet: &FleetView| fleet.target(&member(0, 0, true).name).map(|entry| entry.phase);
    assert!(fleet.put(report(5, TargetPhase::Ready)));
    assert!(!fleet.put(report(6, TargetPhase::Ready)), "only the number has changed");
    assert!(!fleet.put(report(5, TargetPhase::Draining)), "an earlier report");
    assert!(fleet.put(report(7, TargetPhase::Draining)));
    assert!(!fleet.put(report(8, TargetPhase::Ready)), "a target that drains never returns");
    assert_eq!(phase(&fleet), Some(TargetPhase::Draining));
    let restarted = TargetEntry { started_at_ms: Some(8), ..report(1, TargetPhase::Ready) };
    assert!(fleet.put(restarted));
    assert_eq!(phase(&fleet), Some(TargetPhase::Ready));
}
