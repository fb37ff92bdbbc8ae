use std::collections::BTreeMap;

use celeryhaven_fleet::{MemberState, Replica, TargetEntry};
use celeryhaven_types::{ModelName, TimeMs};

use crate::domain::DomainPlanner;
use crate::domain::free::{Warmth, warmth};
use crate::interface::{FormingAction, FormingView};
use crate::mix::Balance;

/// How long a model must have been provided for worst for each target that serving replicas would
/// give up for it, in milliseconds.
///
/// Every decider sees the same loss at once. The domain that gives up least goes first, and the
/// list shows what it does to the others within a few hundred milliseconds.
const WAIT_FOR_TARGET_MS: u64 = 300;

/// How much longer each domain waits than the one before it in the order of names, in milliseconds.
///
/// Domains that would give up the same all waited the same: three gave up two small replicas each
/// for the one large replica that was lacking. The list shows a closing head within 100 ms.
const WAIT_FOR_DOMAIN_MS: u64 = 200;

/// What a domain could take apart to complete a replica of another model.
struct Conversion<'a> {
    /// Replicas that would go.
    given_up: Vec<&'a Replica>,
    /// Targets among theirs that the new replica needs.
    targets: usize,
}

impl DomainPlanner {
    /// Takes replicas of one model apart where that completes one of a model that is provided for
    /// worse.
    ///
    /// Load: a large replica loses a member, and the domain has no other that is free. Harm: its
    /// survivors wait until an empty target has come and loaded, while the small model has replicas
    /// to spare. Limit: only where the model that is provided for worst has more afterwards, one at a
    /// time in each domain, and the heads that go finish their work first.
    pub(crate) fn convert(
        &mut self,
        now: TimeMs,
        view: FormingView<'_>,
        out: &mut Vec<FormingAction>,
    ) {
        let Some((to, conversion)) = self.conversion(view) else {
            self.short_since = None;
            return;
        };
        let since = match self.short_since.take() {
            Some((model, since)) if model == to => since,
            _ => now,
        };
        self.short_since = Some((to, since));
        let place = view.domains.iter().position(|domain| *domain.name == self.domain);
        let wait_ms = WAIT_FOR_TARGET_MS * conversion.targets as u64
            + WAIT_FOR_DOMAIN_MS * place.unwrap_or_default() as u64;
        if now.since(since) < wait_ms {
            return;
        }
        let given_up: Vec<Replica> = conversion.given_up.into_iter().cloned().collect();
        let keys = given_up.iter().map(|replica| replica.key.clone()).collect();
        self.converting = self.short_since.take().map(|(model, _)| (model, keys));
        given_up.iter().for_each(|replica| self.close(now, replica, "given up", out));
    }

    /// The model that targets are being freed for, if any are.
    ///
    /// Guards against a conversion that undoes itself: replicas that are given up together end one
    /// after the other, and the members of the first were planned as the same small replica again.
    pub(crate) fn converting_to(&self) -> Option<&ModelName> {
        let (model, given_up) = self.converting.as_ref()?;
        given_up.iter().any(|key| self.dissolving.contains_key(key)).then_some(model)
    }

    fn conversion<'a>(&self, view: FormingView<'a>) -> Option<(ModelName, Conversion<'a>)> {
        let is_calm = self.formations.is_empty() && self.dissolving.is_empty();
        // What is given up could not be formed anew.
        if !view.store_available {
            return None;
        }
        if !is_calm || self.serves_callers(view) != Some(true) {
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
            let conversion = self.give_up(view, &free, &to, from)?;
            let after = balance.with_conversion(&to, from, conversion.given_up.len());
            after.is_more_even_than(&balance).then_some(conversion)
        });
        let least = possible.min_by_key(|conversion| conversion.targets)?;
        Some((to, least))
    }

    /// The fewest replicas of a model whose members, with free ones, make a replica of another.
    fn give_up<'a>(
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
        let mut given_up = Vec::new();
        for replica in self.open_replicas(view).filter(|r| r.model.as_ref() == Some(from)) {
            if targets == 0 {
                break;
            }
            let members = replica.members.iter().flatten();
            let listed = members.filter_map(|name| view.fleet.target(name));
            let gain = listed.filter(|entry| has(entry)).count();
            if gain > 0 {
                targets = targets.saturating_sub(gain);
                given_up.push(replica);
            }
        }
        (targets == 0 && needed > 0).then_some(Conversion { given_up, targets: needed })
    }

    /// Replicas of the domain that serve.
    pub(crate) fn open_replicas<'a>(
        &self,
        view: FormingView<'a>,
    ) -> impl Iterator<Item = &'a Replica> {
        let own = view.replicas.values().filter(|r| r.domain.as_ref() == Some(&self.domain));
        own.filter(|replica| {
            replica.head_state == Some(MemberState::Open)
                && !replica.draining
                && !self.dissolving.contains_key(&replica.key)
        })
    }

    /// How all domains together provide for each model.
    pub(crate) fn balance(&self, view: FormingView<'_>) -> Balance {
        self.balance_with(view, &self.held(view))
    }

    /// How all domains will provide for each model once the replicas that are being given up have
    /// become some of this one.
    ///
    /// Guards against domains that all give replicas up for the same need: the list shows what closes
    /// seconds before it shows what is formed of it.
    fn balance_after_conversions(&self, view: FormingView<'_>, to: &ModelName) -> Option<Balance> {
        let size = view.profile.model(to)?.size;
        let closing = view.replicas.values().filter(|replica| is_given_up(replica));
        let targets: usize = closing.map(|replica| replica.members.iter().flatten().count()).sum();
        let mut held = self.held(view);
        *held.entry(to.clone()).or_default() += targets / size.max(1);
        Some(self.balance_with(view, &held))
    }

    /// How all domains together provide for each model, with so many replicas in this one.
    pub(crate) fn balance_with(
        &self,
        view: FormingView<'_>,
        held: &BTreeMap<ModelName, usize>,
    ) -> Balance {
        let mut held = held.clone();
        for (model, replicas) in held_elsewhere(view, self) {
            *held.entry(model).or_default() += replicas;
        }
        Balance::new(&view.profile.models, self.usable_everywhere(view), &held)
    }
}

/// Replicas of each model that serve or are about to in other domains.
fn held_elsewhere(view: FormingView<'_>, planner: &DomainPlanner) -> BTreeMap<ModelName, usize> {
    let mut held = BTreeMap::new();
    let others = view.replicas.values().filter(|r| r.domain.as_ref() != Some(&planner.domain));
    let models = others.filter(|replica| !replica.draining).filter_map(|r| model_of(view, r));
    models.for_each(|model| *held.entry(model).or_default() += 1);
    held
}

/// The model that a replica serves or is about to; `None` if it does neither.
///
/// A member that joins still names what it served before, so the number of members tells the model
/// where only one has that size.
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

/// Whether the head finishes its work although no member leaves.
fn is_given_up(replica: &Replica) -> bool {
    replica.head_state == Some(MemberState::Closing) && !replica.draining
}
