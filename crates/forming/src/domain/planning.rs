use std::collections::BTreeMap;

use celeryhaven_fleet::{MemberState, TargetEntry};
use celeryhaven_types::{ModelName, ReplicaName, TimeMs, VmName};

use crate::domain::DomainPlanner;
use crate::domain::domain_planner::RecordState;
use crate::domain::free::{Warmth, warmth};
use crate::interface::{FormingAction, FormingView};
use crate::mix::{DomainPosition, ModelCount, wanted_replicas};
use crate::record::{DomainRecord, PlannedReplica};

impl DomainPlanner {
    /// Plans replicas of free targets and writes the plans to the record before any order is sent.
    ///
    /// A replica whose joins may load models is planned once these loads are granted: until its
    /// joins are sent, another coordinator may find its plan and use the members otherwise.
    pub(crate) fn plan(
        &mut self,
        now: TimeMs,
        view: FormingView<'_>,
        out: &mut Vec<FormingAction>,
    ) {
        let mut free = self.free_targets(view);
        free.retain(|entry| self.plan_pauses.may_plan(now, &entry.name));
        let wanted = self.wanted(view);
        let mut current = self.current_replicas(view);
        let (mut plans, mut postponed) = (Vec::new(), Vec::new());
        // Each step uses up a target or postpones a model.
        for _ in 0..free.len() + wanted.len() {
            let next = self.next_replica(view, &wanted, &current, &free, &postponed);
            let Some((model, members)) = next else { break };
            let part = wanted.iter().find(|count| count.model == model);
            let is_beyond = part.is_some_and(|part| {
                current.get(&model).copied().unwrap_or_default() >= part.replicas
            });
            if is_beyond && self.waits_for_other_domains(now, view) {
                postponed.push(model);
                continue;
            }
            if self.plan_pauses.have_failed_together(now, &members) {
                free.retain(|entry| !members.contains(&entry.name));
                continue;
            }
            let may_load = |planner: &Self, entry: &&TargetEntry| {
                members.contains(&entry.name) && planner.join_may_load(now, Some(entry), &model)
            };
            let loads = free.iter().filter(|entry| may_load(self, entry)).count();
            if loads > 0 && !self.load_grants.reserve(now, loads as u32) {
                let is_cold = |entry: &&&TargetEntry| warmth(entry, &model) == Warmth::Cold;
                if free.iter().filter(|entry| members.contains(&entry.name)).any(|e| is_cold(&e)) {
                    break;
                }
                free.retain(|entry| !may_load(self, entry));
                continue;
            }
            free.retain(|entry| !members.contains(&entry.name));
            *current.entry(model.clone()).or_default() += 1;
            plans.push(self.new_plan(model, members));
        }
        if plans.is_empty() {
            return;
        }
        self.unconfirmed = plans.iter().map(|plan| plan.replica.clone()).collect();
        let RecordState::Known(record) = &self.record else { return };
        let existing = record.replicas.iter().filter(|plan| self.may_exist(view, plan));
        let replicas = existing.cloned().chain(plans).collect();
        let decider = Some(self.node.clone());
        let serves_callers = self.serves_callers(view) == Some(true);
        let record = DomainRecord { decider, serves_callers, replicas };
        self.record = RecordState::Writing(record.clone());
        out.push(FormingAction::WriteRecord { planner: self.id, record });
    }

    /// Returns how many replicas of each model this domain should have.
    pub(crate) fn wanted(&self, view: FormingView<'_>) -> Vec<ModelCount> {
        let index = view.domains.iter().position(|domain| *domain.name == self.domain);
        let position =
            DomainPosition { index: index.unwrap_or_default(), domains: view.domains.len() };
        wanted_replicas(self.usable_targets(view), &view.profile.models, position)
    }

    /// Returns how many replicas of each model serve or are being formed in this domain.
    pub(crate) fn current_replicas(&self, view: FormingView<'_>) -> BTreeMap<ModelName, usize> {
        let mut current = BTreeMap::new();
        let own =
            view.replicas.values().filter(|replica| replica.domain.as_ref() == Some(&self.domain));
        for replica in own {
            let excluded = self.left.iter().any(|(_, key)| *key == replica.key)
                || self.all_members_left(replica)
                || self.dissolving.contains_key(&replica.key)
                || self.dissolved.contains_key(&replica.key)
                || self.formations.contains_key(&replica.key)
                || replica.head_state == Some(MemberState::Broken);
            if let (false, Some(model)) = (excluded, &replica.model) {
                *current.entry(model.clone()).or_default() += 1;
            }
        }
        let forming = self.formations.values().map(|formation| &formation.model);
        for model in forming.chain(self.plans_being_written().map(|plan| &plan.model)) {
            *current.entry(model.clone()).or_default() += 1;
        }
        current
    }

    /// Returns the model and members of the next replica to form.
    fn next_replica(
        &self,
        view: FormingView<'_>,
        wanted: &[ModelCount],
        current: &BTreeMap<ModelName, usize>,
        free: &[&TargetEntry],
        postponed: &[ModelName],
    ) -> Option<(ModelName, Vec<VmName>)> {
        if self.serves_callers(view) == Some(true) {
            return self.next_by_need(view, wanted, current, free, postponed);
        }
        let missing = |count: &&ModelCount| {
            current.get(&count.model).copied().unwrap_or_default() < count.replicas
        };
        let is_wanted = |count: &&ModelCount| !postponed.contains(&count.model);
        let by_preference = wanted.iter().filter(missing).chain(wanted.iter().rev());
        let mut by_preference = by_preference.filter(is_wanted);
        let warm = by_preference.find_map(|count| self.select_members(free, count, Warmth::Staged));
        if warm.is_some() {
            return warm;
        }
        // While callers may be served, targets stage the model before they join.
        let is_forming_cold =
            self.formations.values().any(|formation| !self.is_warm(view, formation));
        if self.serves_callers(view) != Some(false) || is_forming_cold {
            return None;
        }
        let without_replica = wanted
            .iter()
            .rev()
            .filter(missing)
            .find(|count| current.get(&count.model).copied().unwrap_or_default() == 0);
        let cold = without_replica.or_else(|| wanted.iter().find(missing))?;
        self.select_members(free, cold, Warmth::Cold)
    }

    /// Returns a warm replica of the model with the lowest provision, up to the model's share.
    ///
    /// After losses, free targets often have served several models. Forming whatever fits would use
    /// them up for replicas of small models beyond the share of these.
    fn next_by_need(
        &self,
        view: FormingView<'_>,
        wanted: &[ModelCount],
        current: &BTreeMap<ModelName, usize>,
        free: &[&TargetEntry],
        postponed: &[ModelName],
    ) -> Option<(ModelName, Vec<VmName>)> {
        let balance = self.balance_with(view, current);
        let converting_to = self.converting_to();
        let models: Vec<&ModelName> = balance.by_need().collect();
        models.iter().enumerate().find_map(|(index, &model)| {
            if balance.missing(model) == 0
                || postponed.contains(model)
                || converting_to.is_some_and(|to| to != model)
            {
                return None;
            }
            let worse_provisioned = &models[..index];
            let candidates =
                free.iter().filter(|entry| !is_reserved_for(entry, worse_provisioned)).copied();
            let count = wanted.iter().find(|count| count.model == *model)?;
            self.select_members(&candidates.collect::<Vec<_>>(), count, Warmth::Staged)
        })
    }

    /// Whether callers are served, which limits the rate of loads, or `None` if that is unknown.
    ///
    /// After a restart of all nodes none has seen a request yet, so the flag in the record counts
    /// too.
    pub(crate) fn serves_callers(&self, view: FormingView<'_>) -> Option<bool> {
        match &self.record {
            _ if view.traffic_seen => Some(true),
            RecordState::Known(record) | RecordState::Writing(record) => {
                Some(record.serves_callers)
            }
            RecordState::Unknown | RecordState::Reading => None,
        }
    }

    fn is_warm(
        &self,
        view: FormingView<'_>,
        formation: &crate::domain::formation::Formation,
    ) -> bool {
        formation.members.iter().all(|name| {
            let entry = view.fleet.target(name);
            entry.is_some_and(|entry| warmth(entry, &formation.model) != Warmth::Cold)
        })
    }

    fn new_plan(&mut self, model: ModelName, members: Vec<VmName>) -> PlannedReplica {
        self.next_replica_number += 1;
        let Self { domain, node, id, next_replica_number, .. } = self;
        let instance = id.get();
        let replica =
            ReplicaName::new(format!("{domain}-{node}-{instance:x}-{next_replica_number}"));
        PlannedReplica { replica, generation: None, model, members }
    }

    /// Whether a member is in the planned replica or may still join it.
    fn may_exist(&self, view: FormingView<'_>, plan: &PlannedReplica) -> bool {
        let name = &plan.replica;
        self.is_forming(name)
            || self.unlisted_plans.contains_key(name)
            || self.dissolving.keys().any(|key| key.replica == *name)
            || view.replicas.keys().any(|key| key.replica == *name)
    }

    /// Returns the warmest free targets for a replica; those that have failed lately come last.
    fn select_members(
        &self,
        free: &[&TargetEntry],
        count: &ModelCount,
        coldest_allowed: Warmth,
    ) -> Option<(ModelName, Vec<VmName>)> {
        let rank = |entry: &&TargetEntry| {
            let warmth = warmth(entry, &count.model);
            (warmth == Warmth::Cold, self.plan_pauses.has_failed(&entry.name), warmth)
        };
        let is_allowed = |entry: &&&TargetEntry| warmth(entry, &count.model) <= coldest_allowed;
        let candidates = free.iter().filter(is_allowed);
        let mut candidates: Vec<_> = candidates.map(|entry| (rank(entry), &entry.name)).collect();
        candidates.sort();
        if candidates.len() < count.size {
            return None;
        }
        let members =
            candidates.into_iter().take(count.size).map(|(_, name)| name.clone()).collect();
        Some((count.model.clone(), members))
    }
}

/// Whether a target last served one of these models and is reserved for it.
///
/// A host keeps few models, so a target that joins a replica of another model may lose this one.
fn is_reserved_for(entry: &TargetEntry, worse_provisioned: &[&ModelName]) -> bool {
    entry.model.as_ref().is_some_and(|served| worse_provisioned.contains(&served))
}
