use std::fmt::Display;

use celeryhaven_types::{Deployment, Intent, PlanEffect};

/// Lists the changed settings, one line each.
pub(crate) fn settings_diff(before: Option<&Intent>, after: &Intent) -> Vec<PlanEffect> {
    let empty = Intent {
        organisations: Vec::new(),
        deployments: Vec::new(),
        services: Vec::new(),
        objective: after.objective,
    };
    let before = before.unwrap_or(&empty);
    let organisations =
        diff("organisation", &before.organisations, &after.organisations, |o| &o.name);
    let services = diff("service", &before.services, &after.services, |s| &s.name);
    let deployments = after.deployments.iter().flat_map(|deployment| {
        let old = before.deployments.iter().find(|old| old.name == deployment.name);
        old.map(|old| deployment_diff(old, deployment)).unwrap_or_default()
    });
    let mut lines: Vec<String> = organisations.into_iter().chain(services).collect();
    lines.extend(deployments);
    if before.objective != after.objective {
        lines.push(format!(
            "objective: group_downtime_weight {} -> {}, stranded_accelerator_weight {} -> {}",
            before.objective.group_downtime_weight,
            after.objective.group_downtime_weight,
            before.objective.stranded_accelerator_weight,
            after.objective.stranded_accelerator_weight,
        ));
    }
    lines.into_iter().map(|what| PlanEffect::Set { what }).collect()
}

fn diff<T: PartialEq, N: PartialEq + Display>(
    kind: &str,
    before: &[T],
    after: &[T],
    name: impl Fn(&T) -> &N,
) -> Vec<String> {
    let find = |items: &[T], wanted: &N| items.iter().position(|item| name(item) == wanted);
    let removed_items = before.iter().filter(|item| find(after, name(item)).is_none());
    let removed_items = removed_items.map(|item| format!("{kind} {}: removed", name(item)));
    let rest = after.iter().filter_map(|item| match find(before, name(item)) {
        None => Some(format!("{kind} {}: added", name(item))),
        Some(index) if before[index] != *item => Some(format!("{kind} {}: changed", name(item))),
        Some(_) => None,
    });
    removed_items.chain(rest).collect()
}

fn deployment_diff(before: &Deployment, after: &Deployment) -> Vec<String> {
    let name = &after.name;
    let mut lines = Vec::new();
    let mut field = |what: &str, changed: bool| {
        if changed {
            lines.push(format!("deployment {name}: {what}"));
        }
    };
    let versions = format!("version {} -> {}", before.version, after.version);
    let replicas = format!("replicas {} -> {}", before.replicas, after.replicas);
    let slots = format!("slots {} -> {}", before.slots_per_replica, after.slots_per_replica);
    let priority = format!("priority {} -> {}", before.priority, after.priority);
    field(&versions, before.version != after.version);
    field(&replicas, before.replicas != after.replicas);
    field(&slots, before.slots_per_replica != after.slots_per_replica);
    field(&priority, before.priority != after.priority);
    field("adapters changed", before.adapters != after.adapters);
    field("organisations changed", before.organisations != after.organisations);
    field("data centres changed", before.data_centres != after.data_centres);
    field("fencing changed", before.fencing != after.fencing);
    lines
}
