use celeryhaven_fleet::{TargetEntry, TargetOrder, TargetPhase};
use celeryhaven_types::{ModelName, TimeMs, VmName};

use crate::domain::DomainPlanner;
use crate::domain::free::{Warmth, warmth};
use crate::domain::needs::Needs;
use crate::interface::{FormingAction, FormingView};
use crate::mix::ModelCount;

impl DomainPlanner {
    /// Stages a model on free targets, so that they join within two seconds when a replica breaks.
    ///
    /// Load: targets that are lost every few seconds, and empty ones that come. Harm: an empty one
    /// needs a whole load when it is wanted, and its replica is down for as long. Limit: within the
    /// rate of loads, and no more at once than this domain's part of what the weights store does at
    /// full speed, since loads beyond that share it; before callers come it waits for the formations.
    pub(crate) fn stage_free(
        &mut self,
        now: TimeMs,
        view: FormingView<'_>,
        out: &mut Vec<FormingAction>,
    ) {
        self.staging.retain(|name, (model, until)| {
            let entry = view.fleet.target(name);
            let is_sound = !self.unreachable.contains_key(name);
            let is_loading = |entry| warmth(entry, model) == Warmth::Cold;
            *until > now && is_sound && entry.is_some_and(is_loading)
        });
        let Some(serves) = self.serves_callers(view) else { return };
        if !serves && !self.formations.is_empty() {
            return;
        }
        let under_way_max = self.concurrent_loads_max(view);
        let wanted = self.loads_wanted(now, view);
        let second = self.second_loads_wanted(now, view);
        for (target, model) in wanted.into_iter().chain(second) {
            let is_full = self.staging.len() >= under_way_max;
            if serves && (is_full || !self.loads.take(now, 1)) {
                return;
            }
            let load_ms = view.profile.model(&model).map_or(0, |model| model.load_ms);
            let until = now.after(load_ms * self.settings.load_timeout_factor);
            self.staging.insert(target.clone(), (model.clone(), until));
            self.send(target, TargetOrder::Stage { model }, out);
        }
    }

    /// Loads that may be under way in this domain: of those in all, its part of the empty targets.
    ///
    /// Load: empty targets come in some domains and not in others. Harm: with the same part for
    /// each, three empty ones of one domain loaded one after another while the weights store had
    /// nothing to do for the others. Limit: one at least, so that a domain is never without.
    fn concurrent_loads_max(&self, view: FormingView<'_>) -> usize {
        let own = self.targets_of_domain(view).filter(|entry| entry.is_empty()).count();
        let part = own as f64 / empty_targets(view).max(1) as f64;
        let most = self.settings.concurrent_loads_max as f64 * part;
        (most.round() as usize).max(1)
    }

    /// Takes over that a target does not stage now, such as one that still stages another model.
    pub(crate) fn stage_failed(&mut self, now: TimeMs, target: &VmName) {
        self.staging.remove(target);
        let pause_ms = match self.unstageable.get(target) {
            Some((_, before_ms)) => (before_ms * 2).min(self.settings.stage_retry_max_ms),
            None => self.settings.stage_retry_ms,
        };
        self.unstageable.insert(target.clone(), (now.after(pause_ms), pause_ms));
    }

    pub(crate) fn may_stage(&self, now: TimeMs, target: &VmName) -> bool {
        self.unstageable.get(target).is_none_or(|(until, _)| *until <= now)
    }

    /// Free targets that should stage a model, and which; what brings most for its load first.
    fn loads_wanted(&self, now: TimeMs, view: FormingView<'_>) -> Vec<(VmName, ModelName)> {
        let free = self.free_targets(view);
        let (unmet, pool) = self.unmet_loads(view, &free);
        let is_host = |entry: &&TargetEntry| {
            free.iter().any(|free| free.name == entry.name)
                && !self.staging.contains_key(&entry.name)
                && self.may_stage(now, &entry.name)
        };
        let models = &view.profile.models;
        let is_empty = |entry: &&TargetEntry| {
            models.iter().all(|model| warmth(entry, &model.name) == Warmth::Cold)
        };
        let (mut empty, mut warm): (Vec<_>, Vec<_>) =
            pool.0.into_iter().filter(is_host).partition(is_empty);
        let pick = |load: UnmetLoad| {
            let host = empty.pop().or_else(|| load.may_convert.then(|| warm.pop()).flatten());
            host.map(|entry| (entry.name.clone(), load.model))
        };
        unmet.into_iter().filter_map(pick).collect()
    }

    /// Loads that the domain lacks, and the targets that nothing counts on.
    ///
    /// Members of replicas that are being taken apart count as there, since they are free in a
    /// moment: without them, survivors of one broken replica were told to load another model before
    /// they joined their own again, at twice the loads.
    fn unmet_loads<'a>(
        &self,
        view: FormingView<'a>,
        free: &[&'a TargetEntry],
    ) -> (Vec<UnmetLoad>, Pool<'a>) {
        let mut pool = Pool(free.iter().copied().chain(self.soon_free(view)).collect());
        let held = self.held(view);
        let balance = self.balance_with(view, &held);
        let serves = self.serves_callers(view) == Some(true);
        let missing = |count: &ModelCount| match serves {
            true => balance.missing(&count.model),
            false => {
                let held = held.get(&count.model).copied().unwrap_or_default();
                count.replicas.saturating_sub(held)
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

    /// Targets that are about to leave a replica.
    fn soon_free<'a>(&self, view: FormingView<'a>) -> impl Iterator<Item = &'a TargetEntry> {
        let waiting = self.dissolving.values().flat_map(|dissolving| dissolving.waiting.iter());
        let sound = waiting.filter(|name| !self.unreachable.contains_key(*name));
        let listed = sound.filter_map(move |name| view.fleet.target(name));
        listed.filter(|entry| entry.phase == TargetPhase::Ready)
    }

    pub(crate) fn is_or_gets_warm(&self, entry: &TargetEntry, model: &ModelName) -> bool {
        let stages = self.staging.get(&entry.name).is_some_and(|(staged, _)| staged == model);
        stages || warmth(entry, model) != Warmth::Cold
    }
}

/// Targets of all domains that can serve no model without a load.
pub(crate) fn empty_targets(view: FormingView<'_>) -> usize {
    view.domains.iter().map(|domain| domain.targets.empty()).sum()
}

/// A load that no target has or does.
#[derive(Clone, Debug)]
struct UnmetLoad {
    model: ModelName,
    /// Whether a host that has another model may take it: where it alone makes a replica whole.
    may_convert: bool,
}

/// Targets that no need counts on yet.
struct Pool<'a>(Vec<&'a TargetEntry>);

impl Pool<'_> {
    /// How many have a model or load it.
    fn warm(&self, planner: &DomainPlanner, model: &ModelName) -> usize {
        self.0.iter().filter(|entry| planner.is_or_gets_warm(entry, model)).count()
    }

    /// Takes up to so many that have a model or load it; how many there were.
    fn take_warm(&mut self, planner: &DomainPlanner, model: &ModelName, most: usize) -> usize {
        let before = self.0.len();
        let mut taken = 0;
        self.0.retain(|entry| {
            let takes = taken < most && planner.is_or_gets_warm(entry, model);
            taken += usize::from(takes);
            !takes
        });
        before - self.0.len()
    }
}
