use std::collections::BTreeSet;

use celeryhaven_fleet::ReplicaKey;
use celeryhaven_types::{Generation, TimeMs, VmName};

use crate::domain::DomainPlanner;
use crate::interface::{FormingAction, FormingView};
use crate::record::PlannedReplica;

/// A plan of another coordinator that the target list does not show yet.
#[derive(Clone, Debug)]
pub(crate) struct UnlistedPlan {
    pub(crate) plan: PlannedReplica,
    /// Members that may be in the replica and count as taken.
    pub(crate) unresolved: BTreeSet<VmName>,
    /// When the members are ordered to leave if the plan is still unlisted.
    retract_at: TimeMs,
    /// When members that are not listed stop counting as taken.
    expires_at: TimeMs,
}

impl DomainPlanner {
    /// Counts the members of another coordinator's plan as taken until they are known to be free.
    pub(crate) fn track_unlisted_plan(&mut self, now: TimeMs, plan: &PlannedReplica) {
        if self.resolved.contains(&plan.replica) || self.unlisted_plans.contains_key(&plan.replica)
        {
            return;
        }
        let unlisted = UnlistedPlan {
            plan: plan.clone(),
            unresolved: plan.members.iter().cloned().collect(),
            retract_at: now.after(self.settings.unlisted_plan_grace_ms),
            expires_at: now.after(self.settings.unlisted_plan_max_ms),
        };
        self.unlisted_plans.insert(plan.replica.clone(), unlisted);
    }

    /// Orders the members of plans that stay unlisted to leave the replica.
    ///
    /// The target list lags behind the record, so a target that it shows as free may be a member
    /// under an earlier plan. Only the outcome of a leave proves that it is not.
    pub(crate) fn retract_unlisted_plans(
        &mut self,
        now: TimeMs,
        view: FormingView<'_>,
        out: &mut Vec<FormingAction>,
    ) {
        let due = self.unlisted_plans.values().filter(|unlisted| unlisted.retract_at <= now);
        let due: Vec<UnlistedPlan> = due.cloned().collect();
        for UnlistedPlan { plan, mut unresolved, expires_at, .. } in due {
            let key = key_of(&plan);
            let was_listed =
                view.replicas.contains_key(&key) || view.recently_listed.contains(&key);
            if was_listed || expires_at <= now {
                self.resolve(&plan);
                continue;
            }
            unresolved.retain(|member| !has_joined_later(view, member, key.generation));
            let listed = unresolved.iter().filter(|member| view.fleet.target(member).is_some());
            let listed: Vec<VmName> = listed.cloned().collect();
            unresolved.retain(|member| !listed.contains(member));
            if !listed.is_empty() {
                if !self.dissolved.contains_key(&key) {
                    self.log_change(&key, "plan not seen", None, out);
                }
                self.dissolve(now, &key, listed, out);
            }
            match (unresolved.is_empty(), self.unlisted_plans.get_mut(&plan.replica)) {
                (false, Some(unlisted)) => unlisted.unresolved = unresolved,
                _ => self.resolve(&plan),
            }
        }
    }

    /// Returns the listed members of a replica and the planned members that may not be listed yet.
    pub(crate) fn possible_members(
        &self,
        view: FormingView<'_>,
        key: &ReplicaKey,
        listed: impl IntoIterator<Item = VmName>,
    ) -> Vec<VmName> {
        let mut members: BTreeSet<VmName> = listed.into_iter().collect();
        let planned = self.planned(key).into_iter().flat_map(|plan| plan.members.iter());
        let not_yet_listed = planned.filter(|member| {
            let is_listed = view.fleet.target(member).is_some();
            is_listed && !has_joined_later(view, member, key.generation)
        });
        members.extend(not_yet_listed.cloned());
        members.into_iter().collect()
    }

    fn resolve(&mut self, plan: &PlannedReplica) {
        self.unlisted_plans.remove(&plan.replica);
        self.resolved.insert(plan.replica.clone());
    }
}

/// Whether a target is listed in a replica of a later generation, and so has left the earlier one.
fn has_joined_later(view: FormingView<'_>, member: &VmName, generation: Generation) -> bool {
    let entry = view.fleet.target(member);
    let membership = entry.and_then(|entry| entry.membership.as_ref());
    membership.is_some_and(|membership| membership.generation > generation)
}

fn key_of(plan: &PlannedReplica) -> ReplicaKey {
    let generation = plan.generation.unwrap_or_default();
    ReplicaKey { replica: plan.replica.clone(), generation }
}
