use celeryhaven_fleet::ReplicaKey;
use celeryhaven_types::{TimeMs, VmName};

use crate::domain::DomainPlanner;
use crate::domain::formation::Silence;
use crate::interface::{FormingAction, FormingView, Reachability};

/// Age up to which the answer to a probe stands for another one, in milliseconds.
///
/// A target is probed at most twice a second, and one that leaves without notice serves for 3 s only.
const RECENT_ANSWER_MS: u64 = 500;

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
        out.extend(members.into_iter().map(|target| FormingAction::Probe { target }));
    }

    /// Applies the result of a probe.
    pub(crate) fn apply_probe_result(
        &mut self,
        now: TimeMs,
        target: VmName,
        reachability: Reachability,
    ) {
        let next_probe_at = now.after(self.settings.probe_interval_ms);
        match reachability {
            Reachability::Answers => {
                self.unreachable.remove(&target);
                self.answered_at.insert(target.clone(), now);
                self.plan_pauses.record_answered_probe(now, &target);
                if self.silent.remove(&target).is_some() {
                    // If its entry has lapsed meanwhile, it comes back with the next report.
                    let next_probe_at = next_probe_at.after(self.settings.probe_interval_ms);
                    self.departing.insert(target, (next_probe_at, false));
                } else if let Some((_, answered)) = self.departing.get_mut(&target) {
                    *answered = true;
                }
            }
            Reachability::Silent if !self.is_silent_for_long(now, &target) => {
                self.unreachable.remove(&target);
                let silence =
                    self.silent.entry(target).or_insert(Silence { since: now, next_probe_at });
                silence.next_probe_at = next_probe_at;
            }
            Reachability::Gone | Reachability::Silent | Reachability::NoConnection => {
                self.plan_pauses.record_failed_probe(now, &target);
                self.departing.remove(&target);
                self.silent.remove(&target);
                self.unreachable.insert(target, next_probe_at);
            }
        }
    }

    /// Takes a target as silent that has not answered an order, until a probe tells.
    pub(crate) fn suspect_silent(
        &mut self,
        now: TimeMs,
        target: &VmName,
        out: &mut Vec<FormingAction>,
    ) {
        let next_probe_at = now.after(self.settings.probe_interval_ms);
        let silence = Silence { since: now, next_probe_at };
        if !self.unreachable.contains_key(target) && !self.silent.contains_key(target) {
            self.silent.insert(target.clone(), silence);
            out.push(FormingAction::Probe { target: target.clone() });
        }
    }

    /// Whether a target may be a member of a new replica, or be sent an order that begins something.
    pub(crate) fn is_reachable(&self, name: &VmName) -> bool {
        !self.unreachable.contains_key(name) && !self.silent.contains_key(name)
    }

    /// Whether a target has been silent for so long that it counts as lost.
    fn is_silent_for_long(&self, now: TimeMs, name: &VmName) -> bool {
        let silence = self.silent.get(name);
        silence.is_some_and(|silence| now.since(silence.since) >= self.settings.silence_max_ms)
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
        if self.silent.contains_key(name) {
            return None;
        }
        if let Some((_, answered)) = self.departing.get(name) {
            return answered.then_some(true);
        }
        let next_probe_at = now.after(self.settings.probe_interval_ms);
        if self.answered_at.contains_key(name) {
            self.departing.insert(name.clone(), (next_probe_at, true));
            return Some(true);
        }
        self.departing.insert(name.clone(), (next_probe_at, false));
        out.push(FormingAction::Probe { target: name.clone() });
        None
    }

    /// Probes the unlisted members of the domain's replicas when their next probe is due, and takes those
    /// as silent that have given no answer.
    ///
    /// Answers show whether a target goes on or leaves; see [`FleetView`](celeryhaven_fleet::FleetView).
    pub(crate) fn probe_unlisted(
        &mut self,
        now: TimeMs,
        view: FormingView<'_>,
        out: &mut Vec<FormingAction>,
    ) {
        self.answered_at.retain(|_, at| now.since(*at) < RECENT_ANSWER_MS);
        for (name, unlisted) in view.fleet.unlisted_targets() {
            let domain = view.fleet.target(name).and_then(|entry| entry.domain.as_ref());
            // Silent and unreachable targets are probed as such.
            if domain != Some(&self.domain) || !self.is_reachable(name) {
                continue;
            }
            if unlisted.is_unanswered {
                self.suspect_silent(now, name, out);
                continue;
            }
            let probed_at = self.unlisted_probed_at.get(name);
            if probed_at.is_none_or(|&probed_at| unlisted.next_probe_at(probed_at) <= now) {
                self.unlisted_probed_at.insert(name.clone(), now);
                out.push(FormingAction::Probe { target: name.clone() });
            }
        }
    }

    /// Probes unreachable, silent and departing targets once their next probe is due.
    pub(crate) fn probe_unreachable(&mut self, now: TimeMs, out: &mut Vec<FormingAction>) {
        let departing = self.departing.iter_mut().map(|(target, (at, _))| (target, at));
        let departing = departing.filter(|(target, _)| !self.silent.contains_key(*target));
        let departing: Vec<_> = departing.collect();
        let silent = self.silent.iter_mut();
        let silent = silent.map(|(target, silence)| (target, &mut silence.next_probe_at));
        for (target, at) in self.unreachable.iter_mut().chain(departing).chain(silent) {
            if *at <= now {
                *at = now.after(self.settings.probe_interval_ms);
                out.push(FormingAction::Probe { target: target.clone() });
            }
        }
    }
}
