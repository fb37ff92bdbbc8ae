use std::collections::BTreeMap;

use celeryhaven_placement::{DomainPlanner, VmAvailability, VmState};
use celeryhaven_types::{Config, DomainName, Fence, TimeMs, VmEntry, VmName, VmPhase};

use crate::controller::interface::{ControllerAction, ControllerOptions};
use crate::controller::state::{Fleet, OrderTracker, Outbox};

/// State of a domain's holder during one lease term.
#[derive(Clone, Debug)]
pub(crate) struct LeaseTerm {
    pub(crate) fence: Fence,
    pub(crate) planner: DomainPlanner,
    pub(crate) vms: BTreeMap<VmName, VmState>,
    pub(crate) orders: OrderTracker,
    pub(crate) next_write_id: u64,
    polled_at: BTreeMap<VmName, TimeMs>,
}

impl LeaseTerm {
    pub(crate) fn new(fence: Fence, options: &ControllerOptions) -> Self {
        Self {
            fence,
            planner: DomainPlanner::new(options.placement),
            vms: BTreeMap::new(),
            orders: OrderTracker::default(),
            next_write_id: 0,
            polled_at: BTreeMap::new(),
        }
    }

    /// Updates the VMs from the VM list and the configuration.
    pub(crate) fn update_vms(
        &mut self,
        now: TimeMs,
        domain: &DomainName,
        fleet: &Fleet,
        config: &Config,
    ) {
        for entry in fleet.engines(domain) {
            let new = || VmState::new(now, entry.address, entry.accelerators);
            let state = self.vms.entry(entry.vm.clone()).or_insert_with(new);
            state.address = entry.address;
            state.accelerators = entry.accelerators;
            state.availability = stay(entry, config);
        }
        for (vm, state) in &mut self.vms {
            state.listed =
                fleet.entry(vm).is_some_and(|entry| entry.domain.as_ref() == Some(domain));
        }
    }

    /// Polls every listed member that is due.
    ///
    /// The address of an unlisted member may have been reassigned to another VM.
    pub(crate) fn poll(&mut self, interval_ms: u64, out: &mut Outbox<'_>) {
        for (vm, state) in self.vms.iter().filter(|(_, state)| state.listed) {
            let due = self.polled_at.get(vm).is_none_or(|at| out.now.since(*at) >= interval_ms);
            if due {
                self.polled_at.insert(vm.clone(), out.now);
                out.push(ControllerAction::Poll { vm: vm.clone(), address: state.address });
            }
        }
    }
}

fn stay(entry: &VmEntry, config: &Config) -> VmAvailability {
    match entry.phase {
        VmPhase::Leaving => VmAvailability::Leaving,
        VmPhase::Live if config.drained_vms.contains(&entry.vm) => VmAvailability::Drained,
        VmPhase::Live => VmAvailability::Available,
    }
}
