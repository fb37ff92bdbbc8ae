use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_types::{DomainName, ServiceName, Set, TimeMs, VmName};

use crate::target::{TargetEntry, TargetPhase};
use crate::view::replica_index::{ReplicaIndex, replica_of};
use crate::view::{
    DomainTargets, Evacuations, Replica, ReplicaKey, UnlistedChange, UnlistedTarget,
};

/// How long a removed entry is retained, in milliseconds.
///
/// A target may continue to serve for seconds after its entry was removed, and must remain
/// reachable for probes and orders.
const REMOVED_RETENTION_MS: u64 = 15_000;

/// All targets that the platform lists.
///
/// After a store outage, lapsed entries of live targets are retained until their owners have had
/// time to renew them. Otherwise a target that serves when its entry is removed is unlisted: its
/// entry is retained until evidence shows that the target leaves or is lost. Replicas and the targets
/// of each domain are updated incrementally.
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
    pub(super) targets: BTreeMap<VmName, TargetEntry>,
    lapsed: BTreeMap<VmName, TimeMs>,
    pub(super) unlisted: BTreeMap<VmName, UnlistedTarget>,
    pub(super) unlisted_changes: Vec<UnlistedChange>,
    /// The latest time that was given.
    pub(super) latest: TimeMs,
    recently_removed: BTreeMap<VmName, (TargetEntry, TimeMs)>,
    lapsed_until: Option<TimeMs>,
    pub(super) replicas: ReplicaIndex,
    domains: BTreeMap<ServiceName, BTreeMap<DomainName, DomainTargets>>,
    evacuations: Evacuations,
}

impl FleetView {
    /// Creates an empty view.
    pub fn new() -> Self {
        Self::default()
    }

    /// Retains lapsed entries until this time, after a store outage.
    pub fn keep_lapsed_until(&mut self, until: TimeMs) {
        self.lapsed_until = Some(until);
    }

    /// Applies a complete list; returns true if anything has changed.
    pub fn replace(&mut self, now: TimeMs, entries: Vec<TargetEntry>) -> bool {
        self.latest = now;
        let listed: Set<VmName> = entries.iter().map(|entry| entry.name.clone()).collect();
        let missing: Vec<_> =
            self.targets.keys().filter(|name| !listed.contains(*name)).cloned().collect();
        let put = entries.into_iter().fold(false, |changed, entry| changed | self.put(entry));
        missing.iter().fold(put, |changed, name| changed | self.remove(now, name))
    }

    /// Applies one entry; returns true if it has changed.
    pub fn put(&mut self, entry: TargetEntry) -> bool {
        let name = entry.name.clone();
        if self.is_outdated(&entry) {
            return false;
        }
        self.lapsed.remove(&name);
        self.recently_removed.remove(&name);
        let was_unlisted = self.end_by_entry(&entry);
        if let Some(known) = self.targets.get_mut(&name) {
            known.report_number = entry.report_number;
            if *known == entry {
                return was_unlisted;
            }
        }
        let before = self.targets.insert(name.clone(), entry);
        self.update_indexes(&name, before.as_ref());
        true
    }

    /// Whether a later report of the same process is known, as while a store that came back from a
    /// copy still lists what it held before.
    fn is_outdated(&self, entry: &TargetEntry) -> bool {
        let known = self.targets.get(&entry.name);
        known.is_some_and(|known| {
            let is_same_process =
                entry.started_at_ms.is_some() && known.started_at_ms == entry.started_at_ms;
            let is_earlier =
                entry.report_number.is_some() && entry.report_number < known.report_number;
            // A target that has begun to drain never takes work again.
            let is_undone =
                known.phase == TargetPhase::Draining && entry.phase == TargetPhase::Ready;
            is_same_process && (is_earlier || is_undone)
        })
    }

    /// Removes an entry, or marks it as lapsed during the grace period, or its target as unlisted if
    /// it serves; returns true if the entry was removed or the target has become unlisted.
    pub fn remove(&mut self, now: TimeMs, name: &VmName) -> bool {
        self.latest = now;
        if self.unlisted.contains_key(name) {
            return false;
        }
        match self.lapsed_until.filter(|&until| now < until) {
            Some(until) if self.targets.contains_key(name) => {
                self.lapsed.entry(name.clone()).or_insert(until);
                false
            }
            // The grace period has ended.
            _ if self.lapsed.contains_key(name) => self.remove_now(now, name),
            _ => self.keep_unlisted(now, name) || self.remove_now(now, name),
        }
    }

    pub(super) fn remove_now(&mut self, now: TimeMs, name: &VmName) -> bool {
        self.lapsed.remove(name);
        let Some(entry) = self.targets.remove(name) else { return false };
        self.update_indexes(name, Some(&entry));
        self.recently_removed.insert(name.clone(), (entry, now.after(REMOVED_RETENTION_MS)));
        true
    }

    /// Updates the replica and domain indexes after a change of a target's entry.
    fn update_indexes(&mut self, name: &VmName, before: Option<&TargetEntry>) {
        let after = self.targets.get(name);
        self.replicas.apply_entry_change(&self.targets, before, after);
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
        let keys = [before, after].map(|entry| entry.and_then(replica_of));
        keys.iter().flatten().for_each(|key| self.drop_members_unless_whole(key));
    }

    /// Removes lapsed entries after the grace period, and unlisted targets without an answer; returns
    /// true if anything has changed.
    pub fn expire(&mut self, now: TimeMs) -> bool {
        self.latest = now;
        let expired: Vec<_> = self
            .lapsed
            .iter()
            .filter(|&(_, &until)| until <= now)
            .map(|(name, _)| name.clone())
            .collect();
        expired.iter().for_each(|name| {
            self.remove_now(now, name);
        });
        self.recently_removed.retain(|_, (_, until)| *until > now);
        self.expire_unlisted(now) || !expired.is_empty()
    }

    /// Whether the entry was removed and is retained, for the grace period or because its target is
    /// unlisted.
    pub fn is_lapsed(&self, name: &VmName) -> bool {
        self.lapsed.contains_key(name) || self.unlisted.contains_key(name)
    }

    /// Returns the target with this name.
    pub fn target(&self, name: &VmName) -> Option<&TargetEntry> {
        self.targets.get(name)
    }

    /// Returns the target with this name, including one that was removed recently.
    pub fn target_or_removed(&self, name: &VmName) -> Option<&TargetEntry> {
        self.target(name).or_else(|| self.recently_removed.get(name).map(|(entry, _)| entry))
    }

    /// Iterates over all targets by name.
    pub fn targets(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.values()
    }

    /// Returns the replicas that members currently report, by name and generation.
    pub fn replicas(&self) -> &BTreeMap<ReplicaKey, Replica> {
        self.replicas.replicas()
    }

    /// Returns the replicas that members report or have reported before, up to a limit.
    pub fn reported_replicas(&self) -> &BTreeSet<ReplicaKey> {
        self.replicas.reported()
    }

    /// Iterates over the fabric domains of a service by name.
    pub fn domains(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (&DomainName, &DomainTargets)> {
        self.domains.get(service).into_iter().flatten()
    }

    /// Iterates over the fabric domains of a service outside evacuated data centres, by name.
    pub fn usable_domains(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (&DomainName, &DomainTargets)> {
        self.domains(service).filter(|(_, targets)| {
            let mut entries = targets.names().iter().filter_map(|name| self.target(name));
            self.evacuations.is_empty() || !entries.any(|entry| self.is_evacuated(entry))
        })
    }

    /// Returns the evacuations.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns the evacuations, to be updated.
    pub fn evacuations_mut(&mut self) -> &mut Evacuations {
        &mut self.evacuations
    }

    /// Whether a target is in an evacuated data centre.
    pub fn is_evacuated(&self, entry: &TargetEntry) -> bool {
        self.evacuations.contains(&entry.data_centre)
    }

    /// Whether any listed member of a replica is in an evacuated data centre.
    pub fn is_replica_evacuated(&self, replica: &Replica) -> bool {
        let members = replica.members.iter().flatten().filter_map(|name| self.target(name));
        !self.evacuations.is_empty() && members.into_iter().any(|entry| self.is_evacuated(entry))
    }
}

fn with_domain(entry: &TargetEntry) -> Option<(&TargetEntry, &DomainName)> {
    entry.domain.as_ref().map(|domain| (entry, domain))
}
