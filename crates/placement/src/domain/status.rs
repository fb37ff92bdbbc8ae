use celeryhaven_derives::state;
use celeryhaven_types::{DeploymentName, Replica, ReplicaName, ReplicaPhase, TimeMs};

use crate::domain::{DomainView, Draft, PlacementSettings, PlannerState};

state! {
    /// Status of a deployment in one fabric domain.
    #[derive(Eq)]
    pub struct DeploymentStatus {
        /// The deployment.
        pub deployment: DeploymentName,
        /// Replicas that the domain should run.
        pub wanted: u32,
        /// Replicas that serve and are whole.
        pub whole: u32,
        /// Accelerators in its other replicas.
        pub stranded_accelerators: u32,
    }
}

/// Returns the replicas in phase [`ReplicaPhase::Serving`] that are not whole, sorted by name.
pub fn broken_replicas(
    now: TimeMs,
    settings: PlacementSettings,
    view: DomainView<'_>,
) -> Vec<ReplicaName> {
    let mut planner_state = PlannerState::default();
    let draft = Draft::new(now, settings, view, &mut planner_state);
    let serving = view.placement.replicas.iter().filter(|r| r.phase == ReplicaPhase::Serving);
    let broken = serving.filter(|replica| !draft.is_whole(replica));
    let mut names: Vec<ReplicaName> = broken.map(|replica| replica.name.clone()).collect();
    names.sort();
    names
}

/// Returns the status of each wanted deployment, in the order of the view.
pub fn deployment_statuses(
    now: TimeMs,
    settings: PlacementSettings,
    view: DomainView<'_>,
) -> Vec<DeploymentStatus> {
    let mut planner_state = PlannerState::default();
    let draft = Draft::new(now, settings, view, &mut planner_state);
    let accelerators = |replica: &Replica| -> u32 {
        let vms = replica.vms.iter().filter_map(|vm| view.vms.get(vm));
        vms.filter(|vm| vm.listed).map(|vm| vm.accelerators).fold(0, u32::saturating_add)
    };
    let serves =
        |replica: &&Replica| replica.phase == ReplicaPhase::Serving && draft.is_whole(replica);
    let statuses = view.wanted.iter().map(|wanted| {
        let name = &wanted.deployment.name;
        let matching = || view.placement.replicas.iter().filter(|r| r.deployment == *name);
        DeploymentStatus {
            deployment: name.clone(),
            wanted: wanted.replicas,
            whole: matching().filter(serves).count() as u32,
            stranded_accelerators: matching()
                .filter(|r| !serves(r))
                .map(accelerators)
                .fold(0, u32::saturating_add),
        }
    });
    statuses.collect()
}
