use celeryhaven_derives::state;
use celeryhaven_types::{DataCentreName, Deployment, DomainName, DomainPlacement, Intent};

use crate::allocation::allocation_draft::AllocationDraft;
use crate::allocation::{Share, assign_versions};

state! {
    /// VMs and accelerators of a fabric domain.
    #[derive(Eq)]
    pub struct DomainCapacity {
        /// The domain.
        pub domain: DomainName,
        /// Its data centre.
        pub data_centre: DataCentreName,
        /// Engine VMs that are neither drained nor leaving.
        pub vms: u32,
        /// Accelerators of each VM.
        pub accelerators_per_vm: u32,
    }
}

/// Allocates the wanted replicas to fabric domains.
///
/// Current replicas stay where capacity allows, since moving one means loading its weights again.
/// New replicas go to the data centre, then the domain, with the fewest replicas of the deployment,
/// to limit the effect of an outage. A deployment without capacity preempts those of lower priority.
pub fn allocate(
    intent: &Intent,
    domains: &[DomainCapacity],
    current: &[Share],
    placements: &[DomainPlacement],
) -> Vec<Share> {
    let with_surplus = divide(intent, domains, current, placements, true);
    let shares = if replicas_unplaced(intent, &with_surplus) == 0 {
        with_surplus
    } else {
        divide(intent, domains, current, placements, false)
    };
    with_versions(shares, intent, current, placements)
}

/// Returns the allocation once all version rollouts are complete; each share has the new version.
pub(crate) fn allocate_after_rollout(
    intent: &Intent,
    domains: &[DomainCapacity],
    current: &[Share],
    placements: &[DomainPlacement],
) -> Vec<Share> {
    divide(intent, domains, current, placements, false)
}

fn divide(
    intent: &Intent,
    domains: &[DomainCapacity],
    current: &[Share],
    placements: &[DomainPlacement],
    keeps_surplus: bool,
) -> Vec<Share> {
    AllocationDraft::new(domains).divide(intent, current, placements, keeps_surplus)
}

fn with_versions(
    mut shares: Vec<Share>,
    intent: &Intent,
    current: &[Share],
    placements: &[DomainPlacement],
) -> Vec<Share> {
    for deployment in &intent.deployments {
        assign_versions(deployment, &mut shares, current, placements);
    }
    shares
}

/// Returns the number of wanted replicas that no domain has capacity for.
pub fn replicas_unplaced(intent: &Intent, shares: &[Share]) -> u32 {
    let missing = |deployment: &Deployment| {
        let matching = shares.iter().filter(|share| share.deployment == deployment.name);
        deployment.replicas.saturating_sub(matching.map(|share| share.replicas).sum())
    };
    intent.deployments.iter().map(missing).sum()
}
