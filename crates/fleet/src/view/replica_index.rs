use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_types::VmName;

use crate::target::TargetEntry;
use crate::view::{Replica, ReplicaKey};

/// Highest rank that a report may name.
///
/// Guards against a report of nonsense that would make a list of members of any length.
const RANK_MAX: u32 = 64;

/// Replicas that are remembered after no member names them any more.
///
/// Who takes a domain over tells old plans from new ones by them; a record holds some tens.
const SHOWN_MAX: usize = 4_096;

/// The replicas that targets report to form, kept up to date with each entry.
///
/// Load: hundreds of targets, of which a few change at a time. Harm: to collect all replicas anew at
/// each change takes a node time that grows with the fleet. Limit: a change touches the replica that
/// a target leaves and the one that it joins.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaIndex {
    members: BTreeMap<ReplicaKey, BTreeSet<VmName>>,
    replicas: BTreeMap<ReplicaKey, Replica>,
    shown: BTreeSet<ReplicaKey>,
}

impl ReplicaIndex {
    /// Every replica that a member names.
    pub(crate) fn replicas(&self) -> &BTreeMap<ReplicaKey, Replica> {
        &self.replicas
    }

    /// Replicas that a member names or has named lately.
    pub(crate) fn reported(&self) -> &BTreeSet<ReplicaKey> {
        &self.shown
    }

    /// Takes over that a target's entry has changed from one to another.
    pub(crate) fn changed(
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
            self.note_shown(key);
        }
        if left != joined {
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
        for entry in entries {
            if let Some(membership) = &entry.membership {
                replica.add(entry, membership.rank as usize, membership.state);
            }
        }
        self.replicas.insert(key.clone(), replica);
    }

    fn note_shown(&mut self, key: &ReplicaKey) {
        if !self.shown.insert(key.clone()) || self.shown.len() <= SHOWN_MAX {
            return;
        }
        let oldest = self.shown.iter().min_by_key(|key| key.generation).cloned();
        oldest.iter().for_each(|key| {
            self.shown.remove(key);
        });
    }
}

/// The replica that an entry names.
fn replica_of(entry: &TargetEntry) -> Option<ReplicaKey> {
    let membership = entry.membership.as_ref().filter(|named| named.rank <= RANK_MAX)?;
    let replica = membership.replica.clone();
    Some(ReplicaKey { replica, generation: membership.generation })
}
