use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_types::{DomainName, DomainPlacement, Generation, ReplicaName, TimeMs, VmName};

use crate::checker::{Bounds, Violation};

/// Checks requests against the losses of VMs, and placements against each other.
#[derive(Clone, Debug, Default)]
pub(crate) struct Machines {
    formations: BTreeMap<(ReplicaName, Generation), Vec<VmName>>,
    lost: BTreeMap<VmName, TimeMs>,
    leaving: BTreeMap<VmName, TimeMs>,
    placements: BTreeMap<DomainName, DomainPlacement>,
    pub(crate) worst_after_loss_ms: u64,
    pub(crate) worst_after_leaving_ms: u64,
}

impl Machines {
    /// Records a formation; earlier losses of its members no longer count.
    pub(crate) fn formed(&mut self, id: (ReplicaName, Generation), vms: Vec<VmName>) {
        for vm in &vms {
            self.lost.remove(vm);
        }
        self.formations.insert(id, vms);
    }

    pub(crate) fn lost(&mut self, at: TimeMs, vm: VmName) {
        self.lost.entry(vm).or_insert(at);
    }

    pub(crate) fn restored(&mut self, vm: &VmName) {
        self.lost.remove(vm);
    }

    pub(crate) fn leaving(&mut self, at: TimeMs, vm: VmName) {
        self.leaving.entry(vm).or_insert(at);
    }

    pub(crate) fn sent(
        &mut self,
        at: TimeMs,
        vm: &VmName,
        replica: Option<&(ReplicaName, Generation)>,
        bounds: Bounds,
    ) -> Option<Violation> {
        let own = std::slice::from_ref(vm);
        let members = replica.and_then(|id| self.formations.get(id)).map_or(own, Vec::as_slice);
        let first = |times: &BTreeMap<VmName, TimeMs>| {
            let known = members.iter().filter_map(|vm| Some((*times.get(vm)?, vm.clone())));
            known.min()
        };
        if let Some((since, vm)) = first(&self.leaving) {
            let after_ms = at.since(since);
            self.worst_after_leaving_ms = self.worst_after_leaving_ms.max(after_ms);
            if after_ms > bounds.leaving_ms {
                return Some(Violation::SentAfterLeaving { vm, after_ms });
            }
        }
        let (since, vm) = first(&self.lost)?;
        let after_ms = at.since(since);
        self.worst_after_loss_ms = self.worst_after_loss_ms.max(after_ms);
        let replica = replica.map_or_else(|| ReplicaName::new(vm.as_str()), |id| id.0.clone());
        (after_ms > bounds.loss_ms).then_some(Violation::SentAfterLoss { replica, vm, after_ms })
    }

    pub(crate) fn placed(&mut self, placement: DomainPlacement) -> Option<Violation> {
        self.placements.insert(placement.domain.clone(), placement);
        let placed = self.placements.values().flat_map(|placement| &placement.replicas);
        let mut seen = BTreeSet::new();
        let mut vms = placed.flat_map(|replica| &replica.vms);
        let duplicate = vms.find(|vm| !seen.insert((*vm).clone()))?;
        Some(Violation::TwoReplicas { vm: duplicate.clone() })
    }
}
