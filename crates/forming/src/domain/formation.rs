use std::collections::BTreeSet;

use celeryhaven_fleet::ReplicaKey;
use celeryhaven_types::{ModelName, TimeMs, VmName};

/// A replica that this decider is forming.
#[derive(Clone, Debug)]
pub(crate) struct Formation {
    pub(crate) key: ReplicaKey,
    pub(crate) model: ModelName,
    pub(crate) members: Vec<VmName>,
    pub(crate) give_up_at: TimeMs,
    /// Members that have accepted their join.
    pub(crate) accepted: Vec<VmName>,
    pub(crate) open_sent: bool,
}

/// An order whose outcome is waited for, or that is sent again later.
#[derive(Clone, Debug)]
pub(crate) struct PendingOrder {
    pub(crate) target: VmName,
    pub(crate) order: celeryhaven_fleet::TargetOrder,
    pub(crate) tries: u32,
    /// When to send it again; `None` while its outcome is waited for.
    pub(crate) again_at: Option<TimeMs>,
}

/// A replica that is being taken apart.
#[derive(Clone, Debug)]
pub(crate) struct Dissolving {
    /// Members whose leave has no outcome yet.
    pub(crate) waiting: BTreeSet<VmName>,
    /// When its head was told to finish its work; `None` once the members leave.
    pub(crate) closed_at: Option<TimeMs>,
}
