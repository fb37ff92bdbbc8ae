use std::collections::BTreeMap;

use celeryhaven_types::{NodeName, TimeMs};
use slotmap::SlotMap;

use crate::member::{MemberState, MembershipUpdate};
use crate::table::{MemberKey, Record};

/// What a rumour did to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Heard {
    /// It is no newer than what is known.
    Nothing,
    /// It holds from now on.
    Changed(MemberKey),
}

/// Every member known, live or remembered, by name.
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

    /// All records, by name.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (MemberKey, &Record)> {
        self.by_name.values().filter_map(|key| Some((*key, self.records.get(*key)?)))
    }

    /// Takes a rumour if it overrides what is known.
    pub(crate) fn hear(&mut self, now: TimeMs, rumour: &MembershipUpdate) -> Heard {
        let Some(key) = self.key(rumour.member.node()) else {
            return self.insert(now, rumour);
        };
        let Some(record) = self.records.get_mut(key) else { return Heard::Nothing };
        if rumour.precedence() <= record.rumour.precedence() {
            return Heard::Nothing;
        }
        *record = Record { rumour: rumour.clone(), since: now };
        Heard::Changed(key)
    }

    /// Changes the belief about a member without a new word from it.
    pub(crate) fn believe(&mut self, now: TimeMs, key: MemberKey, state: MemberState) {
        if let Some(record) = self.records.get_mut(key) {
            record.rumour.state = state;
            record.since = now;
        }
    }

    /// Drops members that ended before `before`.
    pub(crate) fn forget_ended(&mut self, before: TimeMs) {
        let ended = |record: &Record| !record.rumour.state.is_live() && record.since < before;
        self.records.retain(|_, record| !ended(record));
        let records = &self.records;
        self.by_name.retain(|_, key| records.contains_key(*key));
    }

    fn insert(&mut self, now: TimeMs, rumour: &MembershipUpdate) -> Heard {
        let key = self.records.insert(Record { rumour: rumour.clone(), since: now });
        self.by_name.insert(rumour.member.node().clone(), key);
        Heard::Changed(key)
    }
}
