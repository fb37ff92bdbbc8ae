use std::collections::BTreeMap;

use celeryhaven_types::{Set, TimeMs, VmName};

use crate::target::TargetEntry;
use crate::view::{Replica, ReplicaKey};

/// Highest rank that a report may name.
///
/// Guards against a report of nonsense that would make a list of members of any length.
const RANK_MAX: u32 = 64;

/// How long an entry that was removed is remembered, in milliseconds.
///
/// A target that leaves without a word serves on for seconds after its entry is gone, and must
/// still be asked and told.
const DEPARTED_MS: u64 = 15_000;

/// All targets that the platform lists.
///
/// Entries lapse while the platform's store is away, also of targets that live; they are back
/// within some two seconds of its return. Until then a lapsed entry stays as it was.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    targets: BTreeMap<VmName, TargetEntry>,
    lapsed: BTreeMap<VmName, TimeMs>,
    departed: BTreeMap<VmName, (TargetEntry, TimeMs)>,
    grace_until: Option<TimeMs>,
}

impl FleetView {
    /// A view without targets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Keeps entries that lapse until then: the store was away and has just come back.
    pub fn grant_grace(&mut self, until: TimeMs) {
        self.grace_until = Some(until);
    }

    /// Takes over a whole list.
    pub fn replace(&mut self, now: TimeMs, entries: Vec<TargetEntry>) {
        let listed: Set<VmName> = entries.iter().map(|entry| entry.name.clone()).collect();
        let missing: Vec<_> =
            self.targets.keys().filter(|name| !listed.contains(*name)).cloned().collect();
        entries.into_iter().for_each(|entry| self.put(entry));
        missing.iter().for_each(|name| self.remove(now, name));
    }

    /// Takes over one entry.
    pub fn put(&mut self, entry: TargetEntry) {
        self.lapsed.remove(&entry.name);
        self.departed.remove(&entry.name);
        self.targets.insert(entry.name.clone(), entry);
    }

    /// Removes an entry, at once or when the grace is over.
    pub fn remove(&mut self, now: TimeMs, name: &VmName) {
        match self.grace_until.filter(|&until| now < until) {
            Some(until) if self.targets.contains_key(name) => {
                self.lapsed.entry(name.clone()).or_insert(until);
            }
            _ => self.depart(now, name),
        }
    }

    fn depart(&mut self, now: TimeMs, name: &VmName) {
        self.lapsed.remove(name);
        if let Some(entry) = self.targets.remove(name) {
            self.departed.insert(name.clone(), (entry, now.after(DEPARTED_MS)));
        }
    }

    /// Removes what has stayed away beyond the grace; true if anything was.
    pub fn expire(&mut self, now: TimeMs) -> bool {
        let gone: Vec<_> = self
            .lapsed
            .iter()
            .filter(|&(_, &until)| until <= now)
            .map(|(name, _)| name.clone())
            .collect();
        gone.iter().for_each(|name| self.depart(now, name));
        self.departed.retain(|_, (_, until)| *until > now);
        !gone.is_empty()
    }

    /// Whether an entry is kept although it has lapsed.
    pub fn is_lapsed(&self, name: &VmName) -> bool {
        self.lapsed.contains_key(name)
    }

    /// One target.
    pub fn target(&self, name: &VmName) -> Option<&TargetEntry> {
        self.targets.get(name)
    }

    /// One target, also if its entry was removed some seconds ago.
    pub fn known(&self, name: &VmName) -> Option<&TargetEntry> {
        self.target(name).or_else(|| self.departed.get(name).map(|(entry, _)| entry))
    }

    /// Every target, by name.
    pub fn targets(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.values()
    }

    /// Every replica that a member names, by name and generation.
    pub fn replicas(&self) -> BTreeMap<ReplicaKey, Replica> {
        let mut replicas = BTreeMap::new();
        for entry in self.targets.values() {
            let Some(membership) = &entry.membership else { continue };
            if membership.rank > RANK_MAX {
                continue;
            }
            let key = ReplicaKey {
                replica: membership.replica.clone(),
                generation: membership.generation,
            };
            let replica = replicas.entry(key.clone()).or_insert_with(|| Replica::new(key, entry));
            replica.add(entry, membership.rank as usize, membership.state);
        }
        replicas
    }
}
