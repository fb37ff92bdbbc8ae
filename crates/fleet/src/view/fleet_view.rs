use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_types::{DomainName, ServiceName, Set, TimeMs, VmName};

use crate::target::TargetEntry;
use crate::view::replica_index::ReplicaIndex;
use crate::view::{DomainTargets, Replica, ReplicaKey};

/// How long an entry that was removed is remembered, in milliseconds.
///
/// A target that leaves without a word serves on for seconds after its entry is gone, and must
/// still be asked and told.
const DEPARTED_MS: u64 = 15_000;

/// All targets that the platform lists.
///
/// Entries lapse while the platform's store is away, also of targets that live; they are back
/// within some two seconds of its return. Until then a lapsed entry stays as it was.
///
/// What is asked of it often is kept up to date with each entry: replicas, and the targets of each
/// domain.
///
/// ```
/// use celeryhaven_fleet::FleetView;
///
/// let fleet = FleetView::new();
/// assert_eq!(fleet.targets().count(), 0);
/// assert!(fleet.replicas().is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    targets: BTreeMap<VmName, TargetEntry>,
    lapsed: BTreeMap<VmName, TimeMs>,
    departed: BTreeMap<VmName, (TargetEntry, TimeMs)>,
    grace_until: Option<TimeMs>,
    replicas: ReplicaIndex,
    domains: BTreeMap<ServiceName, BTreeMap<DomainName, DomainTargets>>,
}

impl FleetView {
    /// A view without targets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Keeps entries that lapse until then: the store was away and has just come back.
    pub fn keep_lapsed_until(&mut self, until: TimeMs) {
        self.grace_until = Some(until);
    }

    /// Takes over a whole list; true if anything has changed.
    pub fn replace(&mut self, now: TimeMs, entries: Vec<TargetEntry>) -> bool {
        let listed: Set<VmName> = entries.iter().map(|entry| entry.name.clone()).collect();
        let missing: Vec<_> =
            self.targets.keys().filter(|name| !listed.contains(*name)).cloned().collect();
        let put = entries.into_iter().fold(false, |changed, entry| changed | self.put(entry));
        missing.iter().fold(put, |changed, name| changed | self.remove(now, name))
    }

    /// Takes over one entry; true if it has changed.
    pub fn put(&mut self, entry: TargetEntry) -> bool {
        let name = entry.name.clone();
        self.lapsed.remove(&name);
        self.departed.remove(&name);
        if self.targets.get(&name) == Some(&entry) {
            return false;
        }
        let before = self.targets.insert(name.clone(), entry);
        self.index(&name, before.as_ref());
        true
    }

    /// Removes an entry, at once or when the grace is over; true if it was removed at once.
    pub fn remove(&mut self, now: TimeMs, name: &VmName) -> bool {
        match self.grace_until.filter(|&until| now < until) {
            Some(until) if self.targets.contains_key(name) => {
                self.lapsed.entry(name.clone()).or_insert(until);
                false
            }
            _ => self.depart(now, name),
        }
    }

    fn depart(&mut self, now: TimeMs, name: &VmName) -> bool {
        self.lapsed.remove(name);
        let Some(entry) = self.targets.remove(name) else { return false };
        self.index(name, Some(&entry));
        self.departed.insert(name.clone(), (entry, now.after(DEPARTED_MS)));
        true
    }

    /// Brings what is kept of a target up to date after its entry has changed.
    fn index(&mut self, name: &VmName, before: Option<&TargetEntry>) {
        let after = self.targets.get(name);
        self.replicas.changed(&self.targets, before, after);
        if let Some((entry, domain)) = before.and_then(with_domain)
            && let Some(domains) = self.domains.get_mut(&entry.service)
            && let Some(targets) = domains.get_mut(domain)
        {
            targets.remove(entry);
            if targets.names().is_empty() {
                domains.remove(domain);
            }
        }
        if let Some((entry, domain)) = after.and_then(with_domain) {
            let domains = self.domains.entry(entry.service.clone()).or_default();
            domains.entry(domain.clone()).or_default().add(entry);
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
        gone.iter().for_each(|name| {
            self.depart(now, name);
        });
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
    pub fn target_or_removed(&self, name: &VmName) -> Option<&TargetEntry> {
        self.target(name).or_else(|| self.departed.get(name).map(|(entry, _)| entry))
    }

    /// Every target, by name.
    pub fn targets(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.values()
    }

    /// Every replica that a member names, by name and generation.
    pub fn replicas(&self) -> &BTreeMap<ReplicaKey, Replica> {
        self.replicas.replicas()
    }

    /// Replicas that a member names or has named lately.
    pub fn reported_replicas(&self) -> &BTreeSet<ReplicaKey> {
        self.replicas.reported()
    }

    /// The fabric domains of a service's targets, by name.
    pub fn domains(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (&DomainName, &DomainTargets)> {
        self.domains.get(service).into_iter().flatten()
    }
}

fn with_domain(entry: &TargetEntry) -> Option<(&TargetEntry, &DomainName)> {
    entry.domain.as_ref().map(|domain| (entry, domain))
}
