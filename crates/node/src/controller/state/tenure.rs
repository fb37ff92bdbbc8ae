use std::collections::BTreeMap;

use celeryhaven_placement::{DomainPlanner, VmAvailability, VmState};
use celeryhaven_types::{Config, DomainName, Fence, TimeMs, VmEntry, VmName, VmPhase};

use crate::controller::interface::{ControllerAction, ControllerOptions};
use crate::controller::state::{Fleet, OrderBook, Outbox};

/// What the holder of a domain's lease keeps for as long as it holds it.
#[derive(Clone, Debug)]
pub(crate) struct Tenure {
    pub(crate) fence: Fence,
    pub(crate) planner: DomainPlanner,
    pub(crate) vms: BTreeMap<VmName, VmState>,
    pub(crate) orders: OrderBook,
    pub(crate) writes: u64,
    polled_at: BTreeMap<VmName, TimeMs>,
}

impl Tenure {
    pub(crate) fn new(fence: Fence, options: &ControllerOptions) -> Self {
        Self {
            fence,
            planner: DomainPlanner::new(options.placement),
            vms: BTreeMap::new(),
            orders: OrderBook::default(),
            writes: 0,
            polled_at: BTreeMap::new(),
        }
    }

    /// Brings its VMs in line with the VM list and the configuration.
    pub(crate) fn follow(
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

    /// Polls every member that is due.
    ///
    /// Only members that the list shows: another VM may have the address of one that it dropped.
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
