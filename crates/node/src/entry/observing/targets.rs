use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use celeryhaven_policy::{TargetKey, TargetProfile};
use celeryhaven_types::{
    Config, DataCentreName, DomainPlacement, Generation, PlainService, PlainTarget, Replica,
    ReplicaName, RequestClass, ServiceName, VmEntry, VmName, VmPhase,
};
use celeryhaven_wholeness::Agreement;

use crate::entry::EntrySettings;
use crate::entry::observing::followed::followed;
use crate::entry::observing::{Serving, Target};

/// All targets since startup, in an arena indexed by key.
///
/// Each generation of a replica has its own key, so a late event of an old generation never applies
/// to a new one.
#[derive(Default)]
pub(crate) struct Targets {
    arena: Vec<Target>,
    replicas: BTreeMap<(ReplicaName, Generation), TargetKey>,
    plain: BTreeMap<(ServiceName, VmName), TargetKey>,
    by_vm: BTreeMap<VmName, Vec<TargetKey>>,
    /// Targets that are wanted or still announced as up.
    current: BTreeSet<TargetKey>,
}

impl Targets {
    pub(crate) fn get(&self, key: TargetKey) -> Option<&Target> {
        self.arena.get(key.get() as usize)
    }

    pub(crate) fn get_mut(&mut self, key: TargetKey) -> Option<&mut Target> {
        self.arena.get_mut(key.get() as usize)
    }

    /// Returns the key of a generation of a replica.
    pub(crate) fn replica(&self, name: &ReplicaName, generation: Generation) -> Option<TargetKey> {
        self.replicas.get(&(name.clone(), generation)).copied()
    }

    /// Iterates over all targets, including obsolete ones.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Target> {
        self.arena.iter_mut()
    }

    /// Iterates over the targets that are wanted or still announced as up.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Target> {
        self.current.iter().filter_map(|key| self.get(*key))
    }

    /// Returns the wanted targets that contain a VM.
    pub(crate) fn of_vm(&self, vm: &VmName) -> Vec<TargetKey> {
        self.by_vm.get(vm).cloned().unwrap_or_default()
    }

    /// Returns the addresses of all VMs of wanted targets that this node polls.
    pub(crate) fn members(&self, vms: &BTreeMap<VmName, VmEntry>) -> BTreeMap<VmName, SocketAddr> {
        let polled = self.iter().filter(|target| target.wanted && target.is_polled);
        polled
            .flat_map(|target| target.vms().iter().map(move |vm| (target, vm)))
            .filter_map(|(target, vm)| {
                let plain = matches!(target.serving, Serving::Plain { .. });
                let listed = vms.get(vm).map(|entry| entry.address);
                let address = if plain { target.address } else { listed };
                Some((vm.clone(), address?))
            })
            .collect()
    }

    /// Updates the targets from configuration, placements and the VM list.
    pub(crate) fn reconcile<'a>(
        &mut self,
        settings: &EntrySettings,
        config: &Config,
        placements: impl Iterator<Item = &'a DomainPlacement>,
        vms: &BTreeMap<VmName, VmEntry>,
    ) {
        let mut wanted = BTreeSet::new();
        let node = &settings.incarnation.node;
        for (placement, replica) in followed(node, &settings.data_centre, placements) {
            wanted.extend(self.upsert_replica(settings, config, replica, placement));
        }
        for service in &config.intent.services {
            for target in &service.targets {
                wanted.insert(self.upsert_plain(settings, service, target));
            }
        }
        for target in &mut self.arena {
            target.wanted = wanted.contains(&target.key);
            target.leaving = target.vms().iter().any(|vm| is_leaving(config, vms, vm));
            if let Serving::Replica { members, .. } = &target.serving {
                let front = members.first().and_then(|vm| vms.get(vm));
                target.address = front.map(|entry| entry.address);
            }
        }
        let current = self.arena.iter().filter(|target| target.wanted || target.is_up());
        self.current = current.map(|target| target.key).collect();
        self.index_vms();
    }

    fn upsert_replica(
        &mut self,
        settings: &EntrySettings,
        config: &Config,
        replica: &Replica,
        placement: &DomainPlacement,
    ) -> Option<TargetKey> {
        let mut deployments = config.intent.deployments.iter();
        let deployment = deployments.find(|known| known.name == replica.deployment)?;
        let serves = RequestClass::Completion { model: replica.model.clone(), adapter: None };
        let distance_us = settings.distance_us(&placement.data_centre);
        let profile = TargetProfile {
            serves,
            slots: deployment.slots_per_replica,
            distance_us,
            identity: TargetProfile::identity_of(replica.name.as_str()),
        };
        let id = (replica.name.clone(), replica.generation);
        let key = self.replicas.get(&id).copied();
        let serving = || Serving::Replica {
            name: replica.name.clone(),
            generation: replica.generation,
            agreement: Agreement::new(
                replica.name.clone(),
                replica.generation,
                replica.vms.clone(),
                settings.report_life_ms,
            ),
            phase: replica.phase,
            members: replica.vms.clone(),
        };
        let key =
            key.unwrap_or_else(|| self.add(serving(), profile.clone(), &placement.data_centre));
        self.replicas.insert(id, key);
        let target = self.get_mut(key)?;
        target.profile = profile;
        match &mut target.serving {
            Serving::Replica { phase, members, .. } if *members == replica.vms => {
                *phase = replica.phase;
            }
            other => *other = serving(),
        }
        Some(key)
    }

    fn upsert_plain(
        &mut self,
        settings: &EntrySettings,
        service: &PlainService,
        target: &PlainTarget,
    ) -> TargetKey {
        let profile = TargetProfile {
            serves: RequestClass::Plain { service: service.name.clone() },
            slots: service.slots_per_target,
            distance_us: settings.distance_us(&target.data_centre),
            identity: TargetProfile::identity_of(target.vm.as_str()),
        };
        let id = (service.name.clone(), target.vm.clone());
        let serving = || Serving::Plain { vm: target.vm.clone(), seen_at: None };
        let known = self.plain.get(&id).copied();
        let key =
            known.unwrap_or_else(|| self.add(serving(), profile.clone(), &target.data_centre));
        self.plain.insert(id, key);
        if let Some(existing) = self.get_mut(key) {
            existing.profile = profile;
            if existing.address != Some(target.address) {
                existing.forget(&target.vm);
                existing.address = Some(target.address);
            }
        }
        key
    }

    fn add(
        &mut self,
        serving: Serving,
        profile: TargetProfile,
        data_centre: &DataCentreName,
    ) -> TargetKey {
        let key = TargetKey::new(u32::try_from(self.arena.len()).unwrap_or(u32::MAX));
        self.arena.push(Target::new(key, serving, profile, data_centre.clone()));
        key
    }

    fn index_vms(&mut self) {
        self.by_vm.clear();
        let wanted = self.arena.iter().filter(|target| target.wanted);
        for (vm, key) in wanted.flat_map(|target| target.vms().iter().map(|vm| (vm, target.key))) {
            self.by_vm.entry(vm.clone()).or_default().push(key);
        }
    }
}

fn is_leaving(config: &Config, vms: &BTreeMap<VmName, VmEntry>, vm: &VmName) -> bool {
    let listed = vms.get(vm).is_some_and(|entry| entry.phase == VmPhase::Leaving);
    listed || config.drained_vms.contains(vm)
}
