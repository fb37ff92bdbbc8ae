use std::collections::BTreeMap;

use celeryhaven_placement::DomainCapacity;
use celeryhaven_types::{Config, DomainName, TimeMs};

use crate::controller::state::Fleet;

/// VM counts of fabric domains, with a delay before a decrease.
///
/// Without the delay, a VM restart would move a replica to another domain, at the cost of a full
/// load, and the next restart would move it back.
#[derive(Clone, Debug, Default)]
pub(crate) struct CapacityHold {
    held: BTreeMap<DomainName, HeldCapacity>,
}

#[derive(Clone, Copy, Debug)]
struct HeldCapacity {
    vms: u32,
    decrease_since: Option<TimeMs>,
}

impl CapacityHold {
    pub(crate) fn capacities(
        &mut self,
        now: TimeMs,
        hold_ms: u64,
        fleet: &Fleet,
        config: &Config,
    ) -> Vec<DomainCapacity> {
        let domains = fleet.domains().iter();
        domains
            .map(|(domain, data_centre)| DomainCapacity {
                domain: domain.clone(),
                data_centre: data_centre.clone(),
                accelerators_per_vm: fleet.accelerators_per_vm(domain),
                vms: self.hold(now, hold_ms, domain, fleet.staying_vms(domain, config)),
            })
            .collect()
    }

    fn hold(&mut self, now: TimeMs, hold_ms: u64, domain: &DomainName, vms: u32) -> u32 {
        let held =
            self.held.entry(domain.clone()).or_insert(HeldCapacity { vms, decrease_since: None });
        if vms >= held.vms {
            *held = HeldCapacity { vms, decrease_since: None };
            return vms;
        }
        let since = *held.decrease_since.get_or_insert(now);
        if now.since(since) >= hold_ms {
            *held = HeldCapacity { vms, decrease_since: None };
        }
        held.vms
    }
}

/// Returns the current capacity of each fabric domain, for a plan.
pub(crate) fn current_capacity(fleet: &Fleet, config: Option<&Config>) -> Vec<DomainCapacity> {
    let domains = fleet.domains().iter();
    domains
        .map(|(domain, data_centre)| DomainCapacity {
            domain: domain.clone(),
            data_centre: data_centre.clone(),
            accelerators_per_vm: fleet.accelerators_per_vm(domain),
            vms: config.map_or_else(
                || fleet.engines(domain).count() as u32,
                |config| fleet.staying_vms(domain, config),
            ),
        })
        .collect()
}
