use std::collections::BTreeMap;

use celeryhaven_types::{DataCentreName, DeploymentName, DomainPlacement, NodeName, Replica};

use crate::entry::rank::rank;

/// Number of replicas of one deployment up to which an entry follows all of them.
///
/// Above it an entry would query nearly every other entry in each poll interval.
const FOLLOW_ALL_MAX: usize = 100;

/// Remote replicas followed in addition to all replicas of the own data centre.
///
/// They serve as fallback when the near ones are lost or full.
const FAR_FOLLOWED: usize = 16;

/// Returns the replicas that this entry may route to: all of a small deployment, otherwise those of
/// its data centre and some remote ones.
///
/// Remote replicas are chosen by rank, which distributes them evenly over entries.
pub(crate) fn followed<'a>(
    node: &NodeName,
    data_centre: &DataCentreName,
    placements: impl Iterator<Item = &'a DomainPlacement>,
) -> Vec<(&'a DomainPlacement, &'a Replica)> {
    let mut by_deployment: BTreeMap<&DeploymentName, Vec<_>> = BTreeMap::new();
    for placement in placements {
        for replica in &placement.replicas {
            by_deployment.entry(&replica.deployment).or_default().push((placement, replica));
        }
    }
    by_deployment.into_values().flat_map(|all| limited(node, data_centre, all)).collect()
}

fn limited<'a>(
    node: &NodeName,
    data_centre: &DataCentreName,
    all: Vec<(&'a DomainPlacement, &'a Replica)>,
) -> Vec<(&'a DomainPlacement, &'a Replica)> {
    if all.len() <= FOLLOW_ALL_MAX {
        return all;
    }
    let (mut chosen, mut far): (Vec<_>, Vec<_>) =
        all.into_iter().partition(|(placement, _)| placement.data_centre == *data_centre);
    far.sort_by_key(|(_, replica)| std::cmp::Reverse(rank(replica.name.as_str(), node.as_str())));
    chosen.extend(far.into_iter().take(FAR_FOLLOWED));
    chosen
}
