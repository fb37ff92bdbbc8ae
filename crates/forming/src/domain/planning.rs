use std::collections::BTreeMap;

use celeryhaven_fleet::{MemberState, TargetEntry};
use celeryhaven_types::{ModelName, ReplicaName, VmName};

use crate::domain::DomainPlanner;
use crate::domain::domain_planner::RecordState;
use crate::domain::free::{Warmth, warmth};
use crate::interface::{FormingAction, FormingView};
use crate::mix::{DomainPosition, ModelCount, wanted_replicas};
use crate::record::{DomainRecord, PlannedReplica};

impl DomainPlanner {
    /// Plans replicas of free targets, and writes the plan down before any target hears of it.
    pub(crate) fn plan(&mut self, view: FormingView<'_>, out: &mut Vec<FormingAction>) {
        let mut free = self.free_targets(view);
        let wanted = self.wanted(view);
        let mut held = self.held(view);
        let mut plans = Vec::new();
        while let Some((model, members)) = self.next_replica(view, &wanted, &held, &free) {
            free.retain(|entry| !members.contains(&entry.name));
            *held.entry(model.clone()).or_default() += 1;
            plans.push(self.new_plan(model, members));
        }
        if plans.is_empty() {
            return;
        }
        self.unconfirmed = plans.iter().map(|plan| plan.replica.clone()).collect();
        let RecordState::Known(record) = &self.record else { return };
        let kept = record.replicas.iter().filter(|plan| self.may_exist(view, plan));
        let replicas = kept.cloned().chain(plans).collect();
        let decider = Some(self.node.clone());
        let serves_callers = self.serves_callers(view) == Some(true);
        let record = DomainRecord { decider, serves_callers, replicas };
        self.record = RecordState::Writing(record.clone());
        out.push(FormingAction::WriteRecord { record });
    }

    /// Replicas of each model that this domain should hold.
    pub(crate) fn wanted(&self, view: FormingView<'_>) -> Vec<ModelCount> {
        let index = view.domains.iter().position(|domain| *domain.name == self.domain);
        let place =
            DomainPosition { index: index.unwrap_or_default(), domains: view.domains.len() };
        wanted_replicas(self.usable_targets(view), &view.profile.models, place)
    }

    /// Replicas of each model that serve or are about to.
    pub(crate) fn held(&self, view: FormingView<'_>) -> BTreeMap<ModelName, usize> {
        let mut held = BTreeMap::new();
        let own = view.replicas.values().filter(|r| r.domain.as_ref() == Some(&self.domain));
        for replica in own {
            let gone = self.left.iter().any(|(_, key)| *key == replica.key)
                || self.dissolving.contains_key(&replica.key)
                || self.formations.contains_key(&replica.key)
                || replica.head_state == Some(MemberState::Broken);
            if let (false, Some(model)) = (gone, &replica.model) {
                *held.entry(model.clone()).or_default() += 1;
            }
        }
        let forming = self.formations.values().map(|formation| &formation.model);
        for model in forming.chain(self.being_planned().map(|plan| &plan.model)) {
            *held.entry(model.clone()).or_default() += 1;
        }
        held
    }

    /// The next replica worth forming, with its members.
    fn next_replica(
        &self,
        view: FormingView<'_>,
        wanted: &[ModelCount],
        held: &BTreeMap<ModelName, usize>,
        free: &[&TargetEntry],
    ) -> Option<(ModelName, Vec<VmName>)> {
        if self.serves_callers(view) == Some(true) {
            return self.next_by_need(view, wanted, held, free);
        }
        let missing = |count: &&ModelCount| {
            held.get(&count.model).copied().unwrap_or_default() < count.replicas
        };
        let mut short = wanted.iter().filter(missing).chain(wanted.iter().rev());
        let warm = short.find_map(|count| pick(free, count, Warmth::Staged));
        if warm.is_some() {
            return warm;
        }
        // Loads are cheap before callers come; later a target is staged first and joins warm.
        let forming = self.formations.values().any(|formation| !self.is_warm(view, formation));
        if self.serves_callers(view) != Some(false) || forming {
            return None;
        }
        let first = wanted
            .iter()
            .rev()
            .filter(missing)
            .find(|count| held.get(&count.model).copied().unwrap_or_default() == 0);
        let cold = first.or_else(|| wanted.iter().find(missing))?;
        pick(free, cold, Warmth::Cold)
    }

    /// A warm replica of the model that all domains together provide for worst, up to its share.
    ///
    /// Load: losses leave free targets that have more than one model. Harm: formed of whatever fits,
    /// they are small replicas beyond their share, and the large model falls from six replicas to
    /// two within half a minute of steady loss.
    fn next_by_need(
        &self,
        view: FormingView<'_>,
        wanted: &[ModelCount],
        held: &BTreeMap<ModelName, usize>,
        free: &[&TargetEntry],
    ) -> Option<(ModelName, Vec<VmName>)> {
        let balance = self.balance_with(view, held);
        let freed_for = self.converting_to();
        let models: Vec<&ModelName> = balance.by_need().collect();
        models.iter().enumerate().find_map(|(rank, &model)| {
            if balance.missing(model) == 0 || freed_for.is_some_and(|to| to != model) {
                return None;
            }
            let needier = &models[..rank];
            let candidates = free.iter().filter(|entry| !is_kept_for(entry, needier)).copied();
            let count = wanted.iter().find(|count| count.model == *model)?;
            pick(&candidates.collect::<Vec<_>>(), count, Warmth::Staged)
        })
    }

    /// Whether callers are served, so that loads take their whole time; `None` if that is not known.
    ///
    /// Guards against a restart of every node: none has seen a request yet, and each would load all
    /// that its domain lacks at once. An earlier decider has left word in the record.
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
        self.next_name += 1;
        let Self { domain, node, instance, next_name, .. } = self;
        let replica = ReplicaName::new(format!("{domain}-{node}-{instance:x}-{next_name}"));
        PlannedReplica { replica, generation: None, model, members }
    }

    /// Whether a member still names the planned replica, or may be about to.
    fn may_exist(&self, view: FormingView<'_>, plan: &PlannedReplica) -> bool {
        let name = &plan.replica;
        self.is_forming(name)
            || self.unseen.contains_key(name)
            || self.dissolving.keys().any(|key| key.replica == *name)
            || view.replicas.keys().any(|key| key.replica == *name)
    }
}

/// Whether a target served one of these models last and is kept for it.
///
/// Guards against a model that loses its targets for good: a host keeps few models, so one that
/// joins a replica of another must load the former again.
fn is_kept_for(entry: &TargetEntry, needier: &[&ModelName]) -> bool {
    entry.model.as_ref().is_some_and(|served| needier.contains(&served))
}

fn pick(
    free: &[&TargetEntry],
    count: &ModelCount,
    coldest: Warmth,
) -> Option<(ModelName, Vec<VmName>)> {
    let mut fit: Vec<_> = free
        .iter()
        .map(|entry| (warmth(entry, &count.model), &entry.name))
        .filter(|(warmth, _)| *warmth <= coldest)
        .collect();
    fit.sort();
    if fit.len() < count.size {
        return None;
    }
    let members = fit.into_iter().take(count.size).map(|(_, name)| name.clone()).collect();
    Some((count.model.clone(), members))
}
