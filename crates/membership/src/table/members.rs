use std::collections::BTreeMap;

use celeryhaven_types::{NodeName, TimeMs};
use slotmap::SlotMap;

use crate::member::{MemberState, MembershipUpdate};
use crate::table::{MemberKey, Record};

/// Outcome of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateOutcome {
    /// Its precedence is not higher than that of the current record.
    Ignored,
    /// It replaces the record or adds a member.
    Applied(MemberKey),
}

/// Records of all live and remembered members, by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Members {
    records: SlotMap<MemberKey, Record>,
    by_name: BTreeMap<NodeName, MemberKey>,
}

impl Members {
    pub(crate) fn get(&self, key: MemberKey) -> Option<&Record> {
        self.records.get(key)
    }

    pub(crate) fn find(&self, node: &NodeName) -> Option<&Record> {
        self.by_name.get(node).and_then(|key| self.records.get(*key))
    }

    pub(crate) fn key(&self, node: &NodeName) -> Option<MemberKey> {
        self.by_name.get(node).copied()
    }

    /// Returns all records, by name.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (MemberKey, &Record)> {
        self.by_name.values().filter_map(|key| Some((*key, self.records.get(*key)?)))
    }

    /// Applies an update if it overrides the current record.
    pub(crate) fn apply(&mut self, now: TimeMs, update: &MembershipUpdate) -> UpdateOutcome {
        let Some(key) = self.key(update.member.node()) else {
            return self.insert(now, update);
        };
        let Some(record) = self.records.get_mut(key) else { return UpdateOutcome::Ignored };
        if update.precedence() <= record.update.precedence() {
            return UpdateOutcome::Ignored;
        }
        *record = Record { update: update.clone(), since: now };
        UpdateOutcome::Applied(key)
    }

    /// Sets the state of a member from local detection.
    pub(crate) fn set_state(&mut self, now: TimeMs, key: MemberKey, state: MemberState) {
        if let Some(record) = self.records.get_mut(key) {
            record.update.state = state;
            record.since = now;
        }
    }

    /// Removes members that have been dead or left since before `before`.
    pub(crate) fn remove_ended(&mut self, before: TimeMs) {
        let ended = |record: &Record| !record.update.state.is_live() && record.since < before;
        self.records.retain(|_, record| !ended(record));
        let records = &self.records;
        self.by_name.retain(|_, key| records.contains_key(*key));
    }

    fn insert(&mut self, now: TimeMs, update: &MembershipUpdate) -> UpdateOutcome {
        let key = self.records.insert(Record { update: update.clone(), since: now });
        self.by_name.insert(update.member.node().clone(), key);
        UpdateOutcome::Applied(key)
    }
}
