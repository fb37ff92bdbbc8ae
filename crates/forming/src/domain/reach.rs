use celeryhaven_fleet::ReplicaKey;
use celeryhaven_types::{TimeMs, VmName};

use crate::domain::DomainFormer;
use crate::interface::{FormingAction, FormingView, Reachability};

impl DomainFormer {
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
        out.extend(members.into_iter().map(|target| FormingAction::Probe { target }));
    }

    /// Takes over what a probe showed.
    pub(crate) fn probed(&mut self, now: TimeMs, target: VmName, reachability: Reachability) {
        match reachability {
            Reachability::Answers => {
                self.unreachable.remove(&target);
            }
            Reachability::Gone | Reachability::Silent => {
                let again_at = now.after(self.settings.probe_every_ms);
                self.unreachable.insert(target, again_at);
            }
        }
    }

    /// Asks unreachable targets now and then, as long as they are listed.
    pub(crate) fn probe_unreachable(&mut self, now: TimeMs, out: &mut Vec<FormingAction>) {
        for (target, at) in &mut self.unreachable {
            if *at <= now {
                *at = now.after(self.settings.probe_every_ms);
                out.push(FormingAction::Probe { target: target.clone() });
            }
        }
    }
}
