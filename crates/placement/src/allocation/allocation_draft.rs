use std::cmp::Reverse;
use std::collections::BTreeMap;

use celeryhaven_types::{
    DataCentreName, Deployment, DeploymentName, DomainName, DomainPlacement, Intent,
};

use crate::allocation::{DomainCapacity, Share, is_rollout_complete};

/// An allocation under construction: replicas by deployment and domain, and the remaining VMs.
#[derive(Clone, Debug)]
pub(crate) struct AllocationDraft<'a> {
    domains: &'a [DomainCapacity],
    free_vms: BTreeMap<DomainName, u32>,
    counts: BTreeMap<(DeploymentName, DomainName), u32>,
}

impl<'a> AllocationDraft<'a> {
    pub(crate) fn new(domains: &'a [DomainCapacity]) -> Self {
        let free_vms = domains.iter().map(|domain| (domain.domain.clone(), domain.vms)).collect();
        Self { domains, free_vms, counts: BTreeMap::new() }
    }
}

impl AllocationDraft<'_> {
    pub(crate) fn divide(
        mut self,
        intent: &Intent,
        current: &[Share],
        placements: &[DomainPlacement],
        keeps_surplus: bool,
    ) -> Vec<Share> {
        let mut by_priority: Vec<&Deployment> = intent.deployments.iter().collect();
        by_priority
            .sort_by_key(|deployment| (Reverse(deployment.priority), deployment.name.clone()));
        for deployment in &by_priority {
            let keeps = keeps_surplus && !is_rollout_complete(deployment, current, placements);
            self.keep_current(deployment, current, keeps);
        }
        for group in by_priority.chunk_by(|a, b| a.priority == b.priority) {
            self = self.add_in_best_order(group, intent.objective);
        }
        for (index, deployment) in by_priority.iter().enumerate() {
            self.preempt_lower(deployment, &by_priority[index + 1..]);
        }
        self.into_shares(intent)
    }

    fn count(&self, deployment: &Deployment, domain: &DomainName) -> u32 {
        self.counts.get(&(deployment.name.clone(), domain.clone())).copied().unwrap_or(0)
    }

    pub(crate) fn total(&self, deployment: &Deployment) -> u32 {
        let matching = self.counts.iter().filter(|((name, _), _)| *name == deployment.name);
        matching.map(|(_, count)| count).sum()
    }

    /// Returns the number of accelerators on VMs without a replica.
    pub(crate) fn free_accelerators(&self) -> u32 {
        let in_domain = |domain: &DomainCapacity| {
            let free_vms = self.free_vms.get(&domain.domain).copied().unwrap_or(0);
            free_vms.saturating_mul(domain.accelerators_per_vm)
        };
        self.domains.iter().map(in_domain).fold(0, u32::saturating_add)
    }

    fn in_data_centre(&self, deployment: &Deployment, data_centre: &DataCentreName) -> u32 {
        let domains = self.domains.iter().filter(|domain| domain.data_centre == *data_centre);
        domains.map(|domain| self.count(deployment, &domain.domain)).sum()
    }

    fn place(&mut self, deployment: &Deployment, domain: &DomainName, replicas: u32) {
        *self.counts.entry((deployment.name.clone(), domain.clone())).or_insert(0) += replicas;
        if let Some(free_vms) = self.free_vms.get_mut(domain) {
            *free_vms = free_vms.saturating_sub(replicas * deployment.vms_per_replica);
        }
    }

    fn remove(&mut self, deployment: &Deployment, domain: &DomainName) {
        if let Some(count) = self.counts.get_mut(&(deployment.name.clone(), domain.clone())) {
            *count = count.saturating_sub(1);
        }
        if let Some(free_vms) = self.free_vms.get_mut(domain) {
            *free_vms += deployment.vms_per_replica;
        }
    }

    fn capacity_for(&self, deployment: &Deployment, domain: &DomainName) -> u32 {
        let free_vms = self.free_vms.get(domain).copied().unwrap_or(0);
        free_vms / deployment.vms_per_replica.max(1)
    }

    /// Keeps the current replicas as far as capacity allows.
    ///
    /// Surplus replicas stay during a version rollout and serve in place of those being replaced.
    /// Otherwise a change of version to fewer replicas would run below the wanted number.
    fn keep_current(&mut self, deployment: &Deployment, current: &[Share], keeps_surplus: bool) {
        let mut kept: Vec<(bool, u32, DomainName)> = Vec::new();
        for domain in self.allowed_domains(deployment) {
            let is_match = |share: &&Share| {
                share.deployment == deployment.name && share.domain == domain.domain
            };
            let Some(share) = current.iter().find(is_match) else { continue };
            let replicas = share.replicas.min(self.capacity_for(deployment, &domain.domain));
            let is_old = share.version != deployment.version;
            kept.push((is_old, replicas, domain.domain));
        }
        let total = |kept: &[(bool, u32, DomainName)]| kept.iter().map(|k| k.1).sum::<u32>();
        while !keeps_surplus && total(&kept) > deployment.replicas {
            let worst = kept.iter_mut().filter(|(_, replicas, _)| *replicas > 0).max();
            let Some((_, replicas, _)) = worst else { break };
            *replicas -= 1;
        }
        for (_, replicas, domain) in kept {
            self.place(deployment, &domain, replicas);
        }
    }

    pub(crate) fn add_missing(&mut self, deployment: &Deployment) {
        while self.total(deployment) < deployment.replicas {
            let Some(domain) = self.best_domain(deployment) else { return };
            self.place(deployment, &domain, 1);
        }
    }

    fn best_domain(&self, deployment: &Deployment) -> Option<DomainName> {
        let allowed_domains = self.allowed_domains(deployment).into_iter();
        let with_capacity =
            allowed_domains.filter(|domain| self.capacity_for(deployment, &domain.domain) > 0);
        let best_domain = with_capacity.min_by_key(|domain| {
            (
                self.in_data_centre(deployment, &domain.data_centre),
                self.count(deployment, &domain.domain),
                Reverse(self.free_vms.get(&domain.domain).copied()),
                domain.domain.clone(),
            )
        });
        best_domain.map(|domain| domain.domain.clone())
    }

    fn allowed_domains(&self, deployment: &Deployment) -> Vec<DomainCapacity> {
        let names = &deployment.data_centres;
        let domains = self.domains.iter();
        domains.filter(|d| names.is_empty() || names.contains(&d.data_centre)).cloned().collect()
    }

    /// Replaces replicas of strictly lower priority, the lowest first, by missing ones that fit.
    fn preempt_lower(&mut self, deployment: &Deployment, lower: &[&Deployment]) {
        while self.total(deployment) < deployment.replicas {
            let found = self
                .allowed_domains(deployment)
                .into_iter()
                .filter_map(|domain| {
                    let victims = self.victims(deployment, &domain.domain, lower)?;
                    Some((victims.len(), domain.domain, victims))
                })
                .min_by_key(|(count, domain, _)| (*count, domain.clone()));
            let Some((_, domain, victims)) = found else { return };
            for victim in victims {
                self.remove(victim, &domain);
            }
            self.place(deployment, &domain, 1);
        }
    }

    fn victims<'d>(
        &self,
        deployment: &Deployment,
        domain: &DomainName,
        lower: &[&'d Deployment],
    ) -> Option<Vec<&'d Deployment>> {
        let mut free_vms = self.free_vms.get(domain).copied().unwrap_or(0);
        let mut victims = Vec::new();
        let candidates = lower.iter().rev().filter(|other| other.priority < deployment.priority);
        for other in candidates {
            let mut count = self.count(other, domain);
            while free_vms < deployment.vms_per_replica && count > 0 {
                free_vms += other.vms_per_replica;
                count -= 1;
                victims.push(*other);
            }
        }
        (free_vms >= deployment.vms_per_replica).then_some(victims)
    }

    fn into_shares(self, intent: &Intent) -> Vec<Share> {
        let counts = self.counts.into_iter().filter(|(_, replicas)| *replicas > 0);
        let shares = counts.filter_map(|((name, domain), replicas)| {
            let deployment = intent.deployments.iter().find(|d| d.name == name)?;
            let version = deployment.version.clone();
            Some(Share { deployment: name, domain, replicas, version })
        });
        shares.collect()
    }
}
