use celeryhaven_types::{ReplicaPhase, VmName};

use crate::domain::forming::members_in_state;
use crate::domain::{Draft, MemberState};

impl Draft<'_> {
    /// Restarts the formation of serving replicas that have lost a member, highest priority first.
    ///
    /// They are not drained first, since their requests have already failed. Without a spare, a
    /// replica waits for its member; entries don't route to it meanwhile.
    pub(crate) fn repair(&mut self) {
        for index in self.by_priority() {
            if self.next.replicas[index].phase != ReplicaPhase::Serving {
                continue;
            }
            let states = self.member_states(index);
            let lost = members_in_state(&states, MemberState::Lost);
            let replaced = self.with_unsteady(lost.clone(), &states);
            let disagrees = self.disagreement_confirmed(&states);
            let name = self.next.replicas[index].name.clone();
            if lost.is_empty() && !disagrees {
                self.planner_state.broken_since.remove(&name);
                continue;
            }
            self.planner_state.broken_since.entry(name).or_insert(self.now);
            if self.may_form() {
                self.restart_formation(index, &replaced);
            }
        }
    }

    /// Adds members that restart repeatedly, as far as there are steady spares.
    ///
    /// Each restart of such a VM takes the whole replica down. Only members that disagree are
    /// replaced, so that a replica which still serves is not interrupted.
    fn with_unsteady(
        &self,
        mut replaced: Vec<VmName>,
        states: &[(VmName, MemberState)],
    ) -> Vec<VmName> {
        let steady = self.free.iter().filter(|vm| !self.is_unsteady(vm)).count();
        let spares = steady.saturating_sub(replaced.len());
        let restarted = members_in_state(states, MemberState::Disagrees).into_iter();
        replaced.extend(restarted.filter(|vm| self.is_unsteady(vm)).take(spares));
        replaced
    }
}
