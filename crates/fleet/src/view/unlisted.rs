use celeryhaven_types::{TimeMs, VmName};

use crate::target::{TargetEntry, TargetPhase};
use crate::view::replica_index::replica_of;
use crate::view::{AnswerRun, FleetView, ReplicaKey, UnlistedChange, UnlistedEnd, UnlistedTarget};

/// Time without an answer after which an unlisted head is removed, in milliseconds.
///
/// The coordinator dissolves the replica earlier. Without a coordinator, entries of lost targets must
/// not accumulate.
const UNANSWERED_RETENTION_MS: u64 = 15_000;

/// Unlisted targets: those whose entry was removed while they served, until other evidence shows
/// whether they go on.
impl FleetView {
    /// Returns the evidence on an unlisted target.
    pub fn unlisted(&self, name: &VmName) -> Option<&UnlistedTarget> {
        self.unlisted.get(name)
    }

    /// Iterates over the unlisted targets by name.
    pub fn unlisted_targets(&self) -> impl Iterator<Item = (&VmName, &UnlistedTarget)> {
        self.unlisted.iter()
    }

    /// Iterates over the unlisted targets that take requests: heads and targets without a domain.
    pub fn unlisted_heads(&self) -> impl Iterator<Item = (&TargetEntry, &UnlistedTarget)> {
        let unlisted = self.unlisted.iter();
        let unlisted = unlisted.filter_map(|(name, found)| Some((self.targets.get(name)?, found)));
        unlisted.filter(|(entry, _)| takes_requests(entry))
    }

    /// Whether a target is unlisted and has not answered for so long that it receives no requests.
    pub fn is_unanswered(&self, name: &VmName) -> bool {
        self.unlisted.get(name).is_some_and(|unlisted| unlisted.is_unanswered)
    }

    /// Records answers of a target; returns true if they change where requests may go.
    ///
    /// A leaving target is removed.
    pub fn record_answers(
        &mut self,
        now: TimeMs,
        (name, started_at_ms): (&VmName, Option<u64>),
        answers: &AnswerRun,
    ) -> bool {
        let entry = self.targets.get(name);
        if entry.is_none_or(|entry| entry.started_at_ms != started_at_ms) {
            return false;
        }
        let Some(unlisted) = self.unlisted.get_mut(name) else { return false };
        unlisted.answers.append(answers);
        let is_unanswered = unlisted.has_no_answer_for(now);
        let changed = unlisted.is_unanswered != is_unanswered;
        unlisted.is_unanswered = is_unanswered;
        match unlisted.answers.shows_leaving() {
            true => self.end_unlisted(now, name, UnlistedEnd::Leaving),
            false => changed,
        }
    }

    /// Removes an unlisted target that has announced that it leaves; returns true if it was unlisted.
    pub fn record_leaving(&mut self, now: TimeMs, name: &VmName) -> bool {
        self.end_unlisted(now, name, UnlistedEnd::Leaving)
    }

    /// Removes an unlisted target to which no connection is possible; returns true if it was unlisted.
    pub fn record_unreachable(&mut self, now: TimeMs, name: &VmName) -> bool {
        self.end_unlisted(now, name, UnlistedEnd::Unreachable)
    }

    /// Returns the changes since the last call, for logs.
    pub fn take_unlisted_changes(&mut self) -> Vec<UnlistedChange> {
        std::mem::take(&mut self.unlisted_changes)
    }

    /// Keeps the entry of a target that serves; returns whether it does.
    pub(super) fn keep_unlisted(&mut self, now: TimeMs, name: &VmName) -> bool {
        let Some(entry) = self.targets.get(name) else { return false };
        let serves = entry.phase == TargetPhase::Ready
            && match replica_of(entry) {
                Some(key) => self.serves_whole(&key),
                None => entry.domain.is_none(),
            };
        if serves {
            let unlisted = UnlistedTarget::new(now);
            self.unlisted.insert(name.clone(), unlisted);
            self.log_unlisted(now, name, unlisted, None);
        }
        serves
    }

    /// Records that the entry of a target was written; returns true if the target was unlisted.
    pub(super) fn end_by_entry(&mut self, entry: &TargetEntry) -> bool {
        let Some(unlisted) = self.unlisted.remove(&entry.name) else { return false };
        let before = self.targets.get(&entry.name).and_then(|before| before.started_at_ms);
        let end = match before == entry.started_at_ms {
            true => UnlistedEnd::Listed,
            false => UnlistedEnd::Restarted,
        };
        self.log_unlisted(self.latest, &entry.name, unlisted, Some(end));
        true
    }

    /// Removes the unlisted members of a replica that is no longer whole.
    pub(super) fn drop_members_unless_whole(&mut self, key: &ReplicaKey) {
        if self.unlisted.is_empty() || self.serves_whole(key) {
            return;
        }
        let members = self.replicas.replicas().get(key).into_iter();
        let members = members.flat_map(|replica| replica.members.iter().flatten());
        let unlisted = members.filter(|name| self.unlisted.contains_key(*name));
        for name in unlisted.cloned().collect::<Vec<_>>() {
            self.end_unlisted(self.latest, &name, UnlistedEnd::ReplicaNotWhole);
        }
    }

    /// Marks targets that have given no answer, and removes those that nothing else would remove;
    /// returns true if any has changed.
    pub(super) fn expire_unlisted(&mut self, now: TimeMs) -> bool {
        let mut changed = false;
        for unlisted in self.unlisted.values_mut().filter(|unlisted| !unlisted.is_unanswered) {
            unlisted.is_unanswered = unlisted.has_no_answer_for(now);
            changed |= unlisted.is_unanswered;
        }
        let over = self.unlisted_heads().filter(|(entry, unlisted)| {
            let is_over = now.since(unlisted.evidence_at()) >= UNANSWERED_RETENTION_MS;
            unlisted.is_unanswered && (is_over || entry.membership.is_none())
        });
        let over: Vec<VmName> = over.map(|(entry, _)| entry.name.clone()).collect();
        over.iter().fold(changed, |changed, name| {
            changed | self.end_unlisted(now, name, UnlistedEnd::Unanswered)
        })
    }

    fn end_unlisted(&mut self, now: TimeMs, name: &VmName, end: UnlistedEnd) -> bool {
        let Some(unlisted) = self.unlisted.remove(name) else { return false };
        self.log_unlisted(now, name, unlisted, Some(end));
        self.remove_now(now, name);
        true
    }

    /// Whether a replica serves with all the members with which it was formed.
    fn serves_whole(&self, key: &ReplicaKey) -> bool {
        let replica = self.replicas.replicas().get(key);
        replica.is_some_and(|replica| replica.is_whole(replica.formed_size))
    }

    fn log_unlisted(
        &mut self,
        at: TimeMs,
        name: &VmName,
        evidence: UnlistedTarget,
        end: Option<UnlistedEnd>,
    ) {
        let target = name.clone();
        self.unlisted_changes.push(UnlistedChange { target, evidence, end, at });
    }
}

fn takes_requests(entry: &TargetEntry) -> bool {
    entry.membership.as_ref().is_none_or(|membership| membership.rank == 0)
}
