use celeryhaven_derives::state;
use celeryhaven_types::{DeploymentName, Replica, ReplicaName, ReplicaPhase, TimeMs};

use crate::domain::{DomainView, Draft, Memory, PlacementSettings};

state! {
    /// How a deployment stands in one fabric domain.
    #[derive(Eq)]
    pub struct DeploymentStatus {
        /// The deployment.
        pub deployment: DeploymentName,
        /// Replicas that the domain is to hold.
        pub wanted: u32,
        /// Replicas that serve whole.
        pub whole: u32,
        /// Accelerators in its replicas that don't serve whole.
        pub stranded_accelerators: u32,
    }
}

/// Replicas placed to serve that are not whole, by name.
pub fn broken_replicas(
    now: TimeMs,
    settings: PlacementSettings,
    view: DomainView<'_>,
) -> Vec<ReplicaName> {
    let mut memory = Memory::default();
    let draft = Draft::new(now, settings, view, &mut memory);
    let serving = view.placement.replicas.iter().filter(|r| r.phase == ReplicaPhase::Serving);
    let broken = serving.filter(|replica| !draft.is_whole(replica));
    let mut names: Vec<ReplicaName> = broken.map(|replica| replica.name.clone()).collect();
    names.sort();
    names
}

/// How each wanted deployment stands, by name.
pub fn deployment_statuses(
    now: TimeMs,
    settings: PlacementSettings,
    view: DomainView<'_>,
) -> Vec<DeploymentStatus> {
    let mut memory = Memory::default();
    let draft = Draft::new(now, settings, view, &mut memory);
    let accelerators = |replica: &Replica| -> u32 {
        let vms = replica.vms.iter().filter_map(|vm| view.vms.get(vm));
        vms.filter(|vm| vm.listed).map(|vm| vm.accelerators).sum()
    };
    let serves =
        |replica: &&Replica| replica.phase == ReplicaPhase::Serving && draft.is_whole(replica);
    let statuses = view.wanted.iter().map(|wanted| {
        let name = &wanted.deployment.name;
        let of = || view.placement.replicas.iter().filter(|r| r.deployment == *name);
        DeploymentStatus {
            deployment: name.clone(),
            wanted: wanted.replicas,
            whole: of().filter(serves).count() as u32,
            stranded_accelerators: of().filter(|r| !serves(r)).map(accelerators).sum(),
        }
    });
    statuses.collect()
}
