use celeryhaven_fleet::ReplicaKey;
use celeryhaven_types::{TimeMs, VmName};

use crate::domain::DomainPlanner;
use crate::interface::{FormingAction, FormingView, Reachability};

impl DomainPlanner {
    /// Asks every member of a replica whose requests stand still.
    pub(crate) fn suspected(
        &mut self,
        view: FormingView<'_>,
        key: &ReplicaKey,
        out: &mut Vec<FormingAction>,
    ) {
        let Some(replica) = view.replicas.get(key) else { return };
        let members: Vec<VmName> = replica.members.iter().flatten().cloned().collect();
        self.note(key, "suspected", None, out);
        if self.dissolving.get(key).is_some_and(|dissolving| dissolving.closed_at.is_some()) {
            // It was finishing its work, and a member has gone before that was done.
            return self.dissolve(key, members, out);
        }
        out.extend(members.into_iter().map(|target| FormingAction::Probe { target }));
    }

    /// Takes over what a probe showed.
    pub(crate) fn probed(&mut self, now: TimeMs, target: VmName, reachability: Reachability) {
        match reachability {
            Reachability::Answers => {
                self.unreachable.remove(&target);
                if let Some((_, answered)) = self.departing.get_mut(&target) {
                    *answered = true;
                }
            }
            Reachability::Gone | Reachability::Silent => {
                self.departing.remove(&target);
                let again_at = now.after(self.settings.probe_every_ms);
                self.unreachable.insert(target, again_at);
            }
        }
    }

    /// Whether a member whose entry was removed still answers; `None` until it was asked.
    ///
    /// A target that leaves without a word finishes what its replica has; one that has died shows
    /// it by its silence.
    pub(crate) fn is_departing(
        &mut self,
        now: TimeMs,
        view: FormingView<'_>,
        name: &VmName,
        out: &mut Vec<FormingAction>,
    ) -> Option<bool> {
        // One that is listed has started again or joined another; one without an address cannot be
        // asked.
        let is_listed = view.fleet.target(name).is_some();
        let is_known = view.fleet.target_or_removed(name).is_some();
        if is_listed || !is_known || self.unreachable.contains_key(name) {
            return Some(false);
        }
        if let Some((_, answered)) = self.departing.get(name) {
            return answered.then_some(true);
        }
        let again_at = now.after(self.settings.probe_every_ms);
        self.departing.insert(name.clone(), (again_at, false));
        out.push(FormingAction::Probe { target: name.clone() });
        None
    }

    /// Asks targets that are unreachable or leave without a word now and then.
    pub(crate) fn probe_unreachable(&mut self, now: TimeMs, out: &mut Vec<FormingAction>) {
        let departing = self.departing.iter_mut().map(|(target, (at, _))| (target, at));
        for (target, at) in self.unreachable.iter_mut().chain(departing) {
            if *at <= now {
                *at = now.after(self.settings.probe_every_ms);
                out.push(FormingAction::Probe { target: target.clone() });
            }
        }
    }
}
