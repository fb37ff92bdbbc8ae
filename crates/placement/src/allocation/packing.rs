use celeryhaven_types::{Deployment, Objective};

use crate::allocation::allocation_draft::AllocationDraft;

/// Largest group of deployments for which all orders are tried; their number is its factorial.
const ORDERED_MAX: usize = 4;

impl AllocationDraft<'_> {
    /// Adds missing replicas of deployments of one priority, in the order that costs least.
    ///
    /// In a fleet that is too small for all, the order decides between one large replica and several
    /// small ones, and thereby between downtime and stranded accelerators. Ties and large groups
    /// are ordered by name.
    pub(crate) fn add_in_best_order(self, group: &[&Deployment], objective: Objective) -> Self {
        if group.len() > ORDERED_MAX {
            return self.with_added(group);
        }
        let drafts = permutations(group).into_iter().map(|order| self.clone().with_added(&order));
        let cost = |draft: &Self| draft.cost(group, objective);
        drafts.min_by(|a, b| cost(a).total_cmp(&cost(b))).unwrap_or(self)
    }

    fn with_added(mut self, order: &[&Deployment]) -> Self {
        for deployment in order {
            self.add_missing(deployment);
        }
        self
    }

    fn cost(&self, group: &[&Deployment], objective: Objective) -> f64 {
        let missing =
            |deployment: &&Deployment| deployment.replicas.saturating_sub(self.total(deployment));
        let missing: u32 = group.iter().map(missing).sum();
        objective.group_downtime_weight * f64::from(missing)
            + objective.stranded_accelerator_weight * f64::from(self.free_accelerators())
    }
}

/// Returns all permutations, starting with the given order.
fn permutations<'d>(group: &[&'d Deployment]) -> Vec<Vec<&'d Deployment>> {
    let Some((first, rest)) = group.split_first() else { return vec![Vec::new()] };
    let mut all = Vec::new();
    for index in 0..group.len() {
        for mut order in permutations(rest) {
            order.insert(index.min(order.len()), *first);
            all.push(order);
        }
    }
    all
}
