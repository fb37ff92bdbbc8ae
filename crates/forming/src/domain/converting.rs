use std::collections::BTreeMap;

use celeryhaven_fleet::{MemberState, Replica, TargetEntry};
use celeryhaven_types::{ModelName, TimeMs};

use crate::domain::DomainPlanner;
use crate::domain::free::{Warmth, warmth};
use crate::interface::{FormingAction, FormingView};
use crate::mix::Balance;

/// Delay before a conversion for each target that it needs, in milliseconds.
///
/// All coordinators see the same loss at once. The domain with the cheapest conversion goes first,
/// and the others see its closing heads in the target list before their own delay ends.
const CONVERSION_DELAY_PER_TARGET_MS: u64 = 300;

/// Further delay of each domain after the one before it in the order of names, in milliseconds.
///
/// Keeps domains whose conversions cost the same from converting for the same missing replica.
/// Without it, three domains gave up two small replicas each for the one large replica missing.
/// The list shows a closing head within 100 ms.
const CONVERSION_DELAY_PER_DOMAIN_MS: u64 = 200;

/// Replicas that a model lacks, over all domains, for each that may be formed at the same time.
///
/// An evacuation takes away many at once, whose conversions need not take turns. Half of them leaves
/// room for those that the list does not show yet. Without one, replicas that lost members are missing
/// until survivors form others, and conversions that take no turns would take serving ones apart.
const MISSING_PER_CONVERSION: usize = 2;

/// Replicas that could be dissolved to form a replica of another model.
struct Conversion<'a> {
    converted: Vec<&'a Replica>,
    /// Members of theirs that the new replica needs.
    targets: usize,
    /// Replicas that the other model lacks over all domains, without those that are converting.
    missing: usize,
}

impl DomainPlanner {
    /// Converts replicas of one model into a replica of a model with lower provision.
    ///
    /// Handles a large replica that has lost a member in a domain without a free target for it.
    /// Converts only if that raises the lowest provision, one conversion at a time in each domain.
    /// The heads finish their requests first.
    pub(crate) fn convert(
        &mut self,
        now: TimeMs,
        view: FormingView<'_>,
        out: &mut Vec<FormingAction>,
    ) {
        let Some((to, conversion)) = self.cheapest_conversion(view) else {
            self.conversion_since = None;
            return;
        };
        let since = match self.conversion_since.take() {
            Some((model, since)) if model == to => since,
            _ => now,
        };
        self.conversion_since = Some((to, since));
        let position = view.domains.iter().position(|domain| *domain.name == self.domain);
        let wait_ms = CONVERSION_DELAY_PER_TARGET_MS * conversion.targets as u64
            + CONVERSION_DELAY_PER_DOMAIN_MS * position.unwrap_or_default() as u64;
        let at_once = match view.fleet.evacuations().is_empty() {
            true => 1,
            false => conversion.missing.div_ceil(MISSING_PER_CONVERSION).max(1) as u64,
        };
        if now.since(since) < wait_ms / at_once {
            return;
        }
        let converted: Vec<Replica> = conversion.converted.into_iter().cloned().collect();
        let keys = converted.iter().map(|replica| replica.key.clone()).collect();
        self.converting = self.conversion_since.take().map(|(model, _)| (model, keys));
        converted.iter().for_each(|replica| self.close(now, replica, "given up", out));
    }

    /// Returns the model of the conversion that is under way, if any.
    ///
    /// Converted replicas close one after the other. Members that are free early must not form a
    /// replica of their former model again.
    pub(crate) fn converting_to(&self) -> Option<&ModelName> {
        let (model, converted) = self.converting.as_ref()?;
        converted.iter().any(|key| self.dissolving.contains_key(key)).then_some(model)
    }

    fn cheapest_conversion<'a>(
        &self,
        view: FormingView<'a>,
    ) -> Option<(ModelName, Conversion<'a>)> {
        let is_stable = self.formations.is_empty() && self.dissolving.is_empty();
        // Without the store, no replica could be formed from the members.
        if !view.store_available {
            return None;
        }
        if !is_stable || self.serves_callers(view) != Some(true) {
            return None;
        }
        let to = self.balance(view).by_need().next()?.clone();
        let balance = self.balance_after_conversions(view, &to)?;
        if balance.by_need().next() != Some(&to) {
            return None;
        }
        let free = self.free_targets(view);
        let models = balance.by_need().filter(|model| balance.is_uneven(model));
        let possible = models.filter_map(|from| {
            let conversion = self.conversion_from(view, &free, &to, from)?;
            let after = balance.with_conversion(&to, from, conversion.converted.len());
            after.is_more_even_than(&balance).then_some(conversion)
        });
        let least = possible.min_by_key(|conversion| conversion.targets)?;
        let missing = balance.missing(&to);
        Some((to, Conversion { missing, ..least }))
    }

    /// Returns the first replicas of `from` whose members, with free targets, form a replica of
    /// `to`.
    fn conversion_from<'a>(
        &self,
        view: FormingView<'a>,
        free: &[&TargetEntry],
        to: &ModelName,
        from: &ModelName,
    ) -> Option<Conversion<'a>> {
        let size = view.profile.model(to)?.size;
        let has = |entry: &TargetEntry| warmth(entry, to) != Warmth::Cold;
        let mut targets = size.checked_sub(free.iter().filter(|entry| has(entry)).count())?;
        let needed = targets;
        let mut converted = Vec::new();
        for replica in self.open_replicas(view).filter(|r| r.model.as_ref() == Some(from)) {
            if targets == 0 {
                break;
            }
            let members = replica.members.iter().flatten();
            let listed = members.filter_map(|name| view.fleet.target(name));
            let gain = listed.filter(|entry| has(entry)).count();
            if gain > 0 {
                targets = targets.saturating_sub(gain);
                converted.push(replica);
            }
        }
        (targets == 0 && needed > 0).then_some(Conversion {
            converted,
            targets: needed,
            missing: 0,
        })
    }

    /// Returns the serving replicas of the domain.
    pub(crate) fn open_replicas<'a>(
        &self,
        view: FormingView<'a>,
    ) -> impl Iterator<Item = &'a Replica> {
        let own = view.replicas.values().filter(|r| r.domain.as_ref() == Some(&self.domain));
        own.filter(|replica| {
            replica.head_state == Some(MemberState::Open)
                && !replica.draining
                && !self.dissolving.contains_key(&replica.key)
                && !self.dissolved.contains_key(&replica.key)
        })
    }

    /// Returns the provision of each model over all domains.
    pub(crate) fn balance(&self, view: FormingView<'_>) -> Balance {
        self.balance_with(view, &self.current_replicas(view))
    }

    /// Returns the provision over all domains, assuming that all closing replicas convert to `to`.
    ///
    /// The target list shows a closing head seconds before the replica that is formed from its
    /// members. Without this, several domains would convert for the same shortage.
    fn balance_after_conversions(&self, view: FormingView<'_>, to: &ModelName) -> Option<Balance> {
        let size = view.profile.model(to)?.size;
        let closing = view.replicas.values().filter(|replica| is_converting(replica));
        let targets: usize = closing.map(|replica| replica.members.iter().flatten().count()).sum();
        let mut current = self.current_replicas(view);
        *current.entry(to.clone()).or_default() += targets / size.max(1);
        Some(self.balance_with(view, &current))
    }

    /// Returns the provision over all domains, with these replicas in this one.
    pub(crate) fn balance_with(
        &self,
        view: FormingView<'_>,
        current: &BTreeMap<ModelName, usize>,
    ) -> Balance {
        let mut current = current.clone();
        for (model, replicas) in replicas_elsewhere(view, self) {
            *current.entry(model).or_default() += replicas;
        }
        Balance::new(&view.profile.models, self.usable_in_all_domains(view), &current)
    }
}

/// Returns the replicas of each model that serve or are being formed in other domains.
fn replicas_elsewhere(
    view: FormingView<'_>,
    planner: &DomainPlanner,
) -> BTreeMap<ModelName, usize> {
    let mut current = BTreeMap::new();
    let others = view.replicas.values().filter(|r| r.domain.as_ref() != Some(&planner.domain));
    let others = others.filter(|replica| !view.fleet.is_replica_evacuated(replica));
    let models = others.filter(|replica| !replica.draining).filter_map(|r| model_of(view, r));
    models.for_each(|model| *current.entry(model).or_default() += 1);
    current
}

/// Returns the model that a replica serves or is being formed for, or `None` if it does neither.
///
/// A joining member still reports its former model, so the model is taken from the number of
/// members where that is unambiguous.
fn model_of(view: FormingView<'_>, replica: &Replica) -> Option<ModelName> {
    match replica.head_state? {
        MemberState::Open => replica.model.clone(),
        MemberState::Joining | MemberState::Ready => {
            let models = view.profile.models.iter();
            let mut fit = models.filter(|model| replica.is_complete(model.size));
            match (fit.next(), fit.next()) {
                (Some(model), None) => Some(model.name.clone()),
                _ => replica.model.clone(),
            }
        }
        MemberState::Closing | MemberState::Broken => None,
    }
}

/// Whether the head is closing although no member is draining.
fn is_converting(replica: &Replica) -> bool {
    replica.head_state == Some(MemberState::Closing) && !replica.draining
}
