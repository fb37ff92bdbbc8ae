use std::collections::BTreeMap;
use std::net::SocketAddr;

use celeryhaven_derives::state;
use celeryhaven_types::{OrderKind, Replica, ReplicaPhase, TimeMs, VmName};

use crate::domain::{DomainView, PlacementSettings, VmState};

state! {
    /// An order that is due to a member.
    pub struct MemberOrder {
        /// The member.
        pub vm: VmName,
        /// The action to take.
        pub kind: OrderKind,
    }
}

/// Returns the orders that bring members in line with a stored placement, sorted by VM.
///
/// They depend only on the members' fresh reports. An order that was lost, or undone by a late order
/// of a former lease holder, is therefore due again. Members without a fresh report get none.
pub fn orders(now: TimeMs, settings: &PlacementSettings, view: DomainView<'_>) -> Vec<MemberOrder> {
    let life_ms = settings.report_life_ms;
    let reporting = view.vms.iter().filter(|(_, state)| state.fresh_report(now, life_ms).is_some());
    reporting.filter_map(|(vm, state)| order_for(view, vm, state)).collect()
}

fn order_for(view: DomainView<'_>, vm: &VmName, state: &VmState) -> Option<MemberOrder> {
    let report = &state.report.as_ref()?.report;
    let formation = report.formation.as_ref();
    let placed = view.placement.replicas.iter().find(|replica| replica.vms.contains(vm));
    let kind = match placed {
        Some(replica) => {
            let is_in = formation.is_some_and(|formation| {
                formation.replica == replica.name && formation.generation == replica.generation
            });
            match replica.phase {
                ReplicaPhase::Forming if !is_in => join(view, replica, vm)?,
                ReplicaPhase::Draining if is_in => {
                    OrderKind::Drain { replica: replica.name.clone() }
                }
                _ => return None,
            }
        }
        // Not in any placed replica, or being released.
        None => OrderKind::Release { replica: formation?.replica.clone(), boot: Some(report.boot) },
    };
    Some(MemberOrder { vm: vm.clone(), kind })
}

fn join(view: DomainView<'_>, replica: &Replica, vm: &VmName) -> Option<OrderKind> {
    let rank = replica.vms.iter().position(|member| member == vm)?;
    let members = addresses(view.vms, replica)?;
    let wanted = view.wanted.iter().find(|w| w.deployment.name == replica.deployment)?;
    Some(OrderKind::Join {
        replica: replica.name.clone(),
        generation: replica.generation,
        rank: rank as u32,
        members,
        model: replica.model.clone(),
        version: replica.version.clone(),
        adapters: wanted.deployment.adapters.clone(),
        weights_bytes: wanted.deployment.weights_bytes,
    })
}

fn addresses(vms: &BTreeMap<VmName, VmState>, replica: &Replica) -> Option<Vec<SocketAddr>> {
    replica.vms.iter().map(|vm| vms.get(vm).map(|state| state.address)).collect()
}
