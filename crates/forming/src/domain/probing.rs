use celeryhaven_fleet::ReplicaKey;
use celeryhaven_types::{TimeMs, VmName};

use crate::domain::DomainPlanner;
use crate::interface::{FormingAction, FormingView, Reachability};

impl DomainPlanner {
    /// Probes every member of a replica whose requests are stalled.
    pub(crate) fn probe_suspected(
        &mut self,
        view: FormingView<'_>,
        key: &ReplicaKey,
        out: &mut Vec<FormingAction>,
    ) {
        let Some(replica) = view.replicas.get(key) else { return };
        let members: Vec<VmName> = replica.members.iter().flatten().cloned().collect();
        self.log_change(key, "suspected", None, out);
        if self.dissolving.get(key).is_some_and(|dissolving| dissolving.closing_since.is_some()) {
            // A member was lost before the head had finished its requests.
            return self.dissolve(key, members, out);
        }
        out.extend(members.into_iter().map(|target| FormingAction::Probe { target }));
    }

    /// Applies the result of a probe.
    pub(crate) fn apply_probe_result(
        &mut self,
        now: TimeMs,
        target: VmName,
        reachability: Reachability,
    ) {
        match reachability {
            Reachability::Answers => {
                self.unreachable.remove(&target);
                if let Some((_, answered)) = self.departing.get_mut(&target) {
                    *answered = true;
                }
            }
            Reachability::Gone | Reachability::Silent | Reachability::NoConnection => {
                self.departing.remove(&target);
                let next_probe_at = now.after(self.settings.probe_interval_ms);
                self.unreachable.insert(target, next_probe_at);
            }
        }
    }

    /// Whether a member whose entry was removed still answers, or `None` while its first probe is pending.
    ///
    /// A target that shuts down still serves its requests for a while, and one that has failed does
    /// not answer.
    pub(crate) fn is_departing(
        &mut self,
        now: TimeMs,
        view: FormingView<'_>,
        name: &VmName,
        out: &mut Vec<FormingAction>,
    ) -> Option<bool> {
        // A listed member has restarted or joined another replica. One without an address cannot be
        // probed.
        let is_listed = view.fleet.target(name).is_some();
        let is_known = view.fleet.target_or_removed(name).is_some();
        if is_listed || !is_known || self.unreachable.contains_key(name) {
            return Some(false);
        }
        if let Some((_, answered)) = self.departing.get(name) {
            return answered.then_some(true);
        }
        let next_probe_at = now.after(self.settings.probe_interval_ms);
        self.departing.insert(name.clone(), (next_probe_at, false));
        out.push(FormingAction::Probe { target: name.clone() });
        None
    }

    /// Probes unreachable and departing targets once their next probe is due.
    pub(crate) fn probe_unreachable(&mut self, now: TimeMs, out: &mut Vec<FormingAction>) {
        let departing = self.departing.iter_mut().map(|(target, (at, _))| (target, at));
        for (target, at) in self.unreachable.iter_mut().chain(departing) {
            if *at <= now {
                *at = now.after(self.settings.probe_interval_ms);
                out.push(FormingAction::Probe { target: target.clone() });
            }
        }
    }
}
