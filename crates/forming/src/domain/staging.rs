use celeryhaven_fleet::{TargetEntry, TargetOrder, TargetPhase};
use celeryhaven_types::{ModelName, TimeMs, VmName};

use crate::domain::DomainPlanner;
use crate::domain::free::{Warmth, warmth};
use crate::domain::load_grants::LoadPurpose;
use crate::domain::needs::Needs;
use crate::interface::{FormingAction, FormingView};
use crate::mix::ModelCount;

impl DomainPlanner {
    /// Stages models on free targets, so that they can join a replica without a full load.
    ///
    /// Applies when targets are lost or empty targets arrive. Each load needs a grant. Once callers
    /// are served, loads are limited in number as well, because concurrent loads share the bandwidth
    /// of the weights store. Before that, staging waits until all formations have finished.
    pub(crate) fn stage_free_targets(
        &mut self,
        now: TimeMs,
        view: FormingView<'_>,
        out: &mut Vec<FormingAction>,
    ) {
        self.staging.retain(|name, (model, until)| {
            let entry = view.fleet.target(name);
            let is_reachable = !self.unreachable.contains_key(name);
            let is_loading = |entry| warmth(entry, model) == Warmth::Cold;
            *until > now && is_reachable && entry.is_some_and(is_loading)
        });
        let Some(serves) = self.serves_callers(view) else { return };
        if !serves && !self.formations.is_empty() {
            return;
        }
        let concurrent_max = self.concurrent_loads_max(view);
        let with_purpose = |purpose| move |(target, model)| (purpose, target, model);
        let wanted = self.loads_wanted(now, view).into_iter();
        let wanted = wanted.map(with_purpose(LoadPurpose::Required));
        let second = self.second_loads_wanted(now, view).into_iter();
        let second = second.map(with_purpose(LoadPurpose::Optional));
        let running = self.staging.len();
        let count_max = if serves { concurrent_max.saturating_sub(running) } else { usize::MAX };
        for (purpose, target, model) in wanted.chain(second).take(count_max) {
            let Some(load) = self.load_grants.take(now, purpose) else { continue };
            let load_ms = view.profile.model(&model).map_or(0, |model| model.load_ms);
            let until = now.after(load_ms * self.settings.load_timeout_factor);
            self.staging.insert(target.clone(), (model.clone(), until));
            self.send_load(target, TargetOrder::Stage { model }, load, out);
        }
    }

    /// Returns how many loads may run in this domain: its part of the limit by empty targets.
    ///
    /// Empty targets may arrive in few of the domains, so equal parts would leave the weights store
    /// idle. Each domain may run at least one load.
    fn concurrent_loads_max(&self, view: FormingView<'_>) -> usize {
        let own = self.targets_of_domain(view).filter(|entry| entry.is_empty()).count();
        let part = own as f64 / empty_targets(view).max(1) as f64;
        let limit = self.settings.concurrent_loads_max as f64 * part;
        (limit.round() as usize).max(1)
    }

    /// Starts or doubles the pause of a target that did not accept a stage order.
    pub(crate) fn stage_failed(&mut self, now: TimeMs, target: &VmName) {
        self.staging.remove(target);
        let pause_ms = match self.stage_backoff.get(target) {
            Some((_, previous_ms)) => (previous_ms * 2).min(self.settings.stage_retry_max_ms),
            None => self.settings.stage_retry_ms,
        };
        self.stage_backoff.insert(target.clone(), (now.after(pause_ms), pause_ms));
    }

    pub(crate) fn may_stage(&self, now: TimeMs, target: &VmName) -> bool {
        self.stage_backoff.get(target).is_none_or(|(until, _)| *until <= now)
    }

    /// Returns free targets that should stage a model, and which, in order of benefit.
    fn loads_wanted(&self, now: TimeMs, view: FormingView<'_>) -> Vec<(VmName, ModelName)> {
        let free = self.free_targets(view);
        let (unmet, pool) = self.unmet_loads(view, &free);
        let is_host = |entry: &&TargetEntry| {
            free.iter().any(|free| free.name == entry.name)
                && !self.staging.contains_key(&entry.name)
                && self.may_stage(now, &entry.name)
                && !self.plan_pauses.is_pausing(now, &entry.name)
        };
        let models = &view.profile.models;
        let is_empty = |entry: &&TargetEntry| {
            models.iter().all(|model| warmth(entry, &model.name) == Warmth::Cold)
        };
        let (mut empty, mut warm): (Vec<_>, Vec<_>) =
            pool.0.into_iter().filter(is_host).partition(is_empty);
        let assign = |load: UnmetLoad| {
            let host = empty.pop().or_else(|| load.may_convert.then(|| warm.pop()).flatten());
            host.map(|entry| (entry.name.clone(), load.model))
        };
        unmet.into_iter().filter_map(assign).collect()
    }

    /// Returns the loads that the domain needs, and the targets that are not reserved for a need.
    ///
    /// Targets that are about to leave a replica count as free. Otherwise, the survivors of a
    /// replica would be ordered to load another model just before they join a replica of their own
    /// again.
    fn unmet_loads<'a>(
        &self,
        view: FormingView<'a>,
        free: &[&'a TargetEntry],
    ) -> (Vec<UnmetLoad>, Pool<'a>) {
        let mut pool = Pool(free.iter().copied().chain(self.soon_free(view)).collect());
        let current = self.current_replicas(view);
        let balance = self.balance_with(view, &current);
        let serves = self.serves_callers(view) == Some(true);
        let missing = |count: &ModelCount| match serves {
            true => balance.missing(&count.model),
            false => {
                let current = current.get(&count.model).copied().unwrap_or_default();
                count.replicas.saturating_sub(current)
            }
        };
        let mut needs = Needs::new(self.wanted(view), missing, view.profile, pool.0.len());
        let mut unmet = Vec::new();
        while let Some(need) = needs.next(|model| pool.warm(self, model)) {
            let lacking = need.targets - pool.take_warm(self, &need.model, need.targets);
            let may_convert = need.is_replica && lacking == 1;
            let load = UnmetLoad { model: need.model, may_convert };
            unmet.extend(std::iter::repeat_n(load, lacking));
        }
        (unmet, pool)
    }

    /// Returns the targets that are about to leave a replica, without those that have not answered.
    fn soon_free<'a>(&self, view: FormingView<'a>) -> impl Iterator<Item = &'a TargetEntry> {
        let remaining = self.dissolving.values().flat_map(|dissolving| dissolving.remaining.iter());
        let unanswered = self.pending.values().filter(|pending| pending.retry_at.is_some());
        let unanswered: Vec<&VmName> = unanswered.map(|pending| &pending.target).collect();
        let reachable = remaining.filter(move |&name| {
            !self.unreachable.contains_key(name) && !unanswered.contains(&name)
        });
        let listed = reachable.filter_map(move |name| view.fleet.target(name));
        listed.filter(|entry| entry.phase == TargetPhase::Ready)
    }

    pub(crate) fn is_warm_or_loading(&self, entry: &TargetEntry, model: &ModelName) -> bool {
        let stages = self.staging.get(&entry.name).is_some_and(|(staged, _)| staged == model);
        stages || warmth(entry, model) != Warmth::Cold
    }
}

/// Returns the number of targets in all domains that have no model.
pub(crate) fn empty_targets(view: FormingView<'_>) -> usize {
    view.domains.iter().map(|domain| domain.targets.empty()).sum()
}

/// A load that is needed and that no target has done or started.
#[derive(Clone, Debug)]
struct UnmetLoad {
    model: ModelName,
    /// Whether a target that has another model may do it, because it completes a replica.
    may_convert: bool,
}

/// Targets that are not reserved for a need.
struct Pool<'a>(Vec<&'a TargetEntry>);

impl Pool<'_> {
    /// Returns how many targets have a model or are loading it.
    fn warm(&self, planner: &DomainPlanner, model: &ModelName) -> usize {
        self.0.iter().filter(|entry| planner.is_warm_or_loading(entry, model)).count()
    }

    /// Removes up to `limit` targets that have a model or are loading it, and returns their number.
    fn take_warm(&mut self, planner: &DomainPlanner, model: &ModelName, limit: usize) -> usize {
        let before = self.0.len();
        let mut taken = 0;
        self.0.retain(|entry| {
            let takes = taken < limit && planner.is_warm_or_loading(entry, model);
            taken += usize::from(takes);
            !takes
        });
        before - self.0.len()
    }
}
