use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_types::{
    Config, DataCentreName, DomainName, NodeName, VmEntry, VmName, VmPhase, VmRole,
};

/// The platform's VM list, and the fabric domains that it has ever named.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fleet {
    entries: BTreeMap<VmName, VmEntry>,
    domains: BTreeMap<DomainName, DataCentreName>,
    is_loaded: bool,
}

impl Fleet {
    pub(crate) fn apply_list(&mut self, entries: Vec<VmEntry>) {
        self.is_loaded = true;
        self.entries = entries.into_iter().map(|entry| (entry.vm.clone(), entry)).collect();
        for entry in self.entries.values().filter(|entry| entry.role == VmRole::Engine) {
            if let Some(domain) = &entry.domain {
                self.domains.insert(domain.clone(), entry.data_centre.clone());
            }
        }
    }

    pub(crate) const fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Returns the fabric domains with their data centres.
    pub(crate) const fn domains(&self) -> &BTreeMap<DomainName, DataCentreName> {
        &self.domains
    }

    pub(crate) fn entry(&self, vm: &VmName) -> Option<&VmEntry> {
        self.entries.get(vm)
    }

    /// Returns the engine VMs of a fabric domain.
    pub(crate) fn engines<'a>(
        &'a self,
        domain: &'a DomainName,
    ) -> impl Iterator<Item = &'a VmEntry> {
        let engines = self.entries.values().filter(|entry| entry.role == VmRole::Engine);
        engines.filter(move |entry| entry.domain.as_ref() == Some(domain))
    }

    /// Counts the engine VMs of a fabric domain that are neither leaving nor drained.
    pub(crate) fn staying_vms(&self, domain: &DomainName, config: &Config) -> u32 {
        let drained: BTreeSet<&VmName> = config.drained_vms.iter().collect();
        let engines = self.engines(domain);
        let stays = |entry: &&VmEntry| entry.phase == VmPhase::Live && !drained.contains(&entry.vm);
        engines.filter(stays).count() as u32
    }

    /// Returns the mean number of accelerators of a fabric domain's engine VMs, rounded down.
    pub(crate) fn accelerators_per_vm(&self, domain: &DomainName) -> u32 {
        let count = self.engines(domain).count().max(1) as u32;
        let sum: u64 = self.engines(domain).map(|entry| u64::from(entry.accelerators)).sum();
        u32::try_from(sum / u64::from(count)).unwrap_or(u32::MAX)
    }

    pub(crate) fn is_target(&self, vm: &VmName) -> bool {
        self.entry(vm).is_some_and(|entry| entry.role != VmRole::Entry)
    }

    pub(crate) fn is_entry_node(&self, node: &NodeName) -> bool {
        let entry = self.entry(&VmName::new(node.as_str()));
        entry.is_some_and(|entry| entry.role == VmRole::Entry)
    }
}
