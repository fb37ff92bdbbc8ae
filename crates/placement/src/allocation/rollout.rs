use celeryhaven_types::{Deployment, DomainPlacement, ReplicaPhase};

use crate::allocation::Share;

/// Rolls a new version out to one fabric domain at a time.
///
/// Changing all domains at once could stop every replica of a deployment that has one in each. The
/// next domain changes once all domains with the new version serve their full share in it. Domains
/// without a current share start with the new version.
pub(crate) fn assign_versions(
    deployment: &Deployment,
    shares: &mut [Share],
    current: &[Share],
    placements: &[DomainPlacement],
) {
    let matching = |share: &&mut Share| share.deployment == deployment.name;
    let mut is_rolling_out = false;
    for share in shares.iter_mut().filter(matching) {
        let before = current
            .iter()
            .find(|other| other.deployment == share.deployment && other.domain == share.domain);
        let Some(before) = before else { continue };
        share.version = before.version.clone();
        if share.version == deployment.version && !is_rolled_out(share, placements) {
            is_rolling_out = true;
        }
    }
    let next = shares
        .iter_mut()
        .filter(matching)
        .find(|share| !is_rolling_out && share.version != deployment.version);
    if let Some(share) = next {
        share.version = deployment.version.clone();
    }
}

/// Whether a domain serves its full share in the assigned version, and no other version.
fn is_rolled_out(share: &Share, placements: &[DomainPlacement]) -> bool {
    let placement = placements.iter().find(|placement| placement.domain == share.domain);
    let Some(placement) = placement else { return false };
    let mut matching = placement.replicas.iter().filter(|r| r.deployment == share.deployment);
    let is_new = |replica: &&celeryhaven_types::Replica| {
        replica.phase == ReplicaPhase::Serving && replica.version == share.version
    };
    matching.clone().filter(is_new).count() >= share.replicas as usize
        && matching.all(|replica| replica.version == share.version)
}

/// Whether the wanted number of replicas serve in the new version, so that surplus ones can stop.
pub(crate) fn is_rollout_complete(
    deployment: &Deployment,
    current: &[Share],
    placements: &[DomainPlacement],
) -> bool {
    let matching = current.iter().filter(|share| share.deployment == deployment.name);
    let is_new = |share: &&Share| share.version == deployment.version;
    if matching.clone().all(|share| is_new(&share)) {
        return true;
    }
    let rolled_out = matching.filter(|share| is_new(share) && is_rolled_out(share, placements));
    rolled_out.map(|share| share.replicas).sum::<u32>() >= deployment.replicas
}
