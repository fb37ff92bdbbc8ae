use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_types::VmName;

use crate::target::{TargetEntry, TargetPhase};
use crate::view::{Replica, ReplicaKey};

/// Highest accepted rank; an invalid report must not allocate an arbitrarily long member list.
const RANK_MAX: u32 = 64;

/// Maximum number of replicas retained after their members stop reporting them.
///
/// A new coordinator uses them to tell earlier plans from unlisted ones.
const REPORTED_MAX: usize = 4_096;

/// The replicas that targets report, updated incrementally as entries change.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaIndex {
    members: BTreeMap<ReplicaKey, BTreeSet<VmName>>,
    replicas: BTreeMap<ReplicaKey, Replica>,
    reported: BTreeSet<ReplicaKey>,
}

impl ReplicaIndex {
    /// Returns the replicas that members currently report.
    pub(crate) fn replicas(&self) -> &BTreeMap<ReplicaKey, Replica> {
        &self.replicas
    }

    /// Returns the replicas that members report or have reported before, up to a limit.
    pub(crate) fn reported(&self) -> &BTreeSet<ReplicaKey> {
        &self.reported
    }

    /// Applies a change of a target's entry.
    pub(crate) fn apply_entry_change(
        &mut self,
        targets: &BTreeMap<VmName, TargetEntry>,
        before: Option<&TargetEntry>,
        after: Option<&TargetEntry>,
    ) {
        let (left, joined) = (before.and_then(replica_of), after.and_then(replica_of));
        if let (Some(key), Some(entry)) = (&left, before)
            && let Some(members) = self.members.get_mut(key)
        {
            members.remove(&entry.name);
        }
        if let (Some(key), Some(entry)) = (&joined, after) {
            self.members.entry(key.clone()).or_default().insert(entry.name.clone());
            self.record_reported(key);
        }
        if left != joined {
            let was_draining = before.is_some_and(|entry| entry.phase == TargetPhase::Draining);
            if let Some(key) = left.as_ref().filter(|_| after.is_some() || was_draining)
                && let Some(replica) = self.replicas.get_mut(key)
            {
                replica.formed_size = 0;
            }
            left.iter().for_each(|key| self.rebuild(targets, key));
        }
        joined.iter().for_each(|key| self.rebuild(targets, key));
    }

    fn rebuild(&mut self, targets: &BTreeMap<VmName, TargetEntry>, key: &ReplicaKey) {
        let names = self.members.get(key).into_iter().flatten();
        let mut entries = names.filter_map(|name| targets.get(name)).peekable();
        let Some(first) = entries.peek() else {
            self.members.remove(key);
            self.replicas.remove(key);
            return;
        };
        let mut replica = Replica::new(key.clone(), first);
        let formed_size = self.replicas.get(key).map_or(0, |before| before.formed_size);
        for entry in entries {
            if let Some(membership) = &entry.membership {
                replica.add(entry, membership.rank as usize, membership.state);
            }
        }
        let listed = replica.members.iter().flatten().count();
        let is_formed = replica.all_ready && replica.is_complete(listed);
        replica.formed_size = formed_size.max(if is_formed { listed } else { 0 });
        self.replicas.insert(key.clone(), replica);
    }

    fn record_reported(&mut self, key: &ReplicaKey) {
        if !self.reported.insert(key.clone()) || self.reported.len() <= REPORTED_MAX {
            return;
        }
        let oldest = self.reported.iter().min_by_key(|key| key.generation).cloned();
        oldest.iter().for_each(|key| {
            self.reported.remove(key);
        });
    }
}

/// Returns the replica that an entry names.
pub(crate) fn replica_of(entry: &TargetEntry) -> Option<ReplicaKey> {
    let membership = entry.membership.as_ref().filter(|named| named.rank <= RANK_MAX)?;
    let replica = membership.replica.clone();
    Some(ReplicaKey { replica, generation: membership.generation })
}
