use celeryhaven_derives::state;
use celeryhaven_types::{Change, ChangeRecord, Config, ConfigNumber, Intent};

state! {
    /// Outcome of a change, determined from the record stored under its number.
    pub(crate) enum ChangeOutcome {
        /// The change was accepted.
        Accepted,
        /// Another change has this number.
        Superseded,
    }
}

/// Returns the configuration that results from a change to the current one.
pub(crate) fn accepted_config(
    current: Option<&Config>,
    intent: Intent,
    mut record: ChangeRecord,
) -> Config {
    let from_number = current.map_or(ConfigNumber::default(), |config| config.number);
    record.from_number = from_number;
    record.number = from_number.next();
    let mut drained_vms = current.map(|c| c.drained_vms.clone()).unwrap_or_default();
    let mut drained_nodes = current.map(|c| c.drained_nodes.clone()).unwrap_or_default();
    match &record.change {
        Change::DrainVm { vm, drained: true } => drained_vms.push(vm.clone()),
        Change::DrainVm { vm, .. } => drained_vms.retain(|other| other != vm),
        Change::DrainNode { node, drained: true } => drained_nodes.push(node.clone()),
        Change::DrainNode { node, .. } => drained_nodes.retain(|other| other != node),
        Change::Initial | Change::Plan { .. } => {}
    }
    drained_vms.sort();
    drained_nodes.sort();
    Config { number: record.number, intent, drained_vms, drained_nodes, change: record }
}

/// Compares the record stored under a change's number with the change itself.
///
/// A record carries operator and time besides the change, so two operators who confirm one plan at
/// the same moment are told apart.
pub(crate) fn change_outcome(ours: &ChangeRecord, found: &ChangeRecord) -> ChangeOutcome {
    if ours == found { ChangeOutcome::Accepted } else { ChangeOutcome::Superseded }
}
