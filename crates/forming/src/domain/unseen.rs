use std::collections::BTreeSet;

use celeryhaven_fleet::ReplicaKey;
use celeryhaven_types::{Generation, TimeMs, VmName};

use crate::domain::DomainPlanner;
use crate::interface::{FormingAction, FormingView};
use crate::record::PlannedReplica;

/// A plan of another decider that the list of targets has not shown yet.
#[derive(Clone, Debug)]
pub(crate) struct UnseenPlan {
    pub(crate) plan: PlannedReplica,
    /// Members that may be in it; they count as taken.
    pub(crate) unresolved: BTreeSet<VmName>,
    /// Until when the list may still come to show it.
    retract_at: TimeMs,
    /// When members that nobody lists are given up.
    forget_at: TimeMs,
}

impl DomainPlanner {
    /// Counts the members of another decider's plan as taken until they are known not to be in it.
    pub(crate) fn note_unseen(&mut self, now: TimeMs, plan: &PlannedReplica) {
        if self.resolved.contains(&plan.replica) || self.unseen.contains_key(&plan.replica) {
            return;
        }
        let unseen = UnseenPlan {
            plan: plan.clone(),
            unresolved: plan.members.iter().cloned().collect(),
            retract_at: now.after(self.settings.unlisted_plan_grace_ms),
            forget_at: now.after(self.settings.unlisted_plan_max_ms),
        };
        self.unseen.insert(plan.replica.clone(), unseen);
    }

    /// Orders the members of plans that the list does not come to show to leave them.
    ///
    /// Guards against a target in two replicas: the list lags behind the record, so a target that it
    /// shows free may serve under an earlier plan. Only an answer to a leave proves that it does not.
    pub(crate) fn retract_unseen(
        &mut self,
        now: TimeMs,
        view: FormingView<'_>,
        out: &mut Vec<FormingAction>,
    ) {
        let due = self.unseen.values().filter(|unseen| unseen.retract_at <= now);
        let due: Vec<UnseenPlan> = due.cloned().collect();
        for UnseenPlan { plan, mut unresolved, forget_at, .. } in due {
            let key = key_of(&plan);
            let is_shown = view.replicas.contains_key(&key) || view.recently_listed.contains(&key);
            if is_shown || forget_at <= now {
                self.resolve(&plan);
                continue;
            }
            unresolved.retain(|member| !has_joined_later(view, member, key.generation));
            let listed = unresolved.iter().filter(|member| view.fleet.target(member).is_some());
            let listed: Vec<VmName> = listed.cloned().collect();
            unresolved.retain(|member| !listed.contains(member));
            if !listed.is_empty() {
                self.note(&key, "plan not seen", None, out);
                self.dissolve(&key, listed, out);
            }
            match (unresolved.is_empty(), self.unseen.get_mut(&plan.replica)) {
                (false, Some(unseen)) => unseen.unresolved = unresolved,
                _ => self.resolve(&plan),
            }
        }
    }

    /// Members of a replica that may be in it: those that the list shows there, and planned ones that
    /// the list may not show there yet.
    pub(crate) fn possible_members(
        &self,
        view: FormingView<'_>,
        key: &ReplicaKey,
        listed: impl IntoIterator<Item = VmName>,
    ) -> Vec<VmName> {
        let mut members: BTreeSet<VmName> = listed.into_iter().collect();
        let planned = self.planned(key).into_iter().flat_map(|plan| plan.members.iter());
        let unshown = planned.filter(|member| {
            let is_listed = view.fleet.target(member).is_some();
            is_listed && !has_joined_later(view, member, key.generation)
        });
        members.extend(unshown.cloned());
        members.into_iter().collect()
    }

    fn resolve(&mut self, plan: &PlannedReplica) {
        self.unseen.remove(&plan.replica);
        self.resolved.insert(plan.replica.clone());
    }
}

/// Whether the list shows a target in a replica of a later generation, which it cannot join without
/// giving up the earlier one.
fn has_joined_later(view: FormingView<'_>, member: &VmName, generation: Generation) -> bool {
    let entry = view.fleet.target(member);
    let membership = entry.and_then(|entry| entry.membership.as_ref());
    membership.is_some_and(|membership| membership.generation > generation)
}

fn key_of(plan: &PlannedReplica) -> ReplicaKey {
    let generation = plan.generation.unwrap_or_default();
    ReplicaKey { replica: plan.replica.clone(), generation }
}
