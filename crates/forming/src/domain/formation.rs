use std::collections::BTreeSet;

use celeryhaven_fleet::ReplicaKey;
use celeryhaven_load_quota::GrantId;
use celeryhaven_types::{ModelName, TimeMs, VmName};

/// A replica that is being formed.
#[derive(Clone, Debug)]
pub(crate) struct Formation {
    pub(crate) key: ReplicaKey,
    pub(crate) model: ModelName,
    pub(crate) members: Vec<VmName>,
    pub(crate) deadline: TimeMs,
    /// Members whose join may load the model and waits for a grant.
    pub(crate) held: Vec<VmName>,
    /// When the formation is abandoned if joins still wait.
    pub(crate) held_until: TimeMs,
    /// Members that have accepted their join.
    pub(crate) accepted: Vec<VmName>,
    pub(crate) open_sent: bool,
}

/// An order whose outcome is pending, or that is due to be sent again.
#[derive(Clone, Debug)]
pub(crate) struct PendingOrder {
    pub(crate) target: VmName,
    pub(crate) order: celeryhaven_fleet::TargetOrder,
    pub(crate) attempts: u32,
    /// When to send it again, or `None` while an attempt is in flight.
    pub(crate) retry_at: Option<TimeMs>,
    /// Whether it is held back until its target answers probes.
    pub(crate) is_held: bool,
    /// The grant of the load that the order may begin, until the load counts as unresolved.
    pub(crate) grant: Option<GrantId>,
}

/// A target whose host accepts connections while its process answers nothing.
///
/// It may have stopped for a while and go on with what it has begun.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Silence {
    pub(crate) since: TimeMs,
    pub(crate) next_probe_at: TimeMs,
}

/// A replica that is being dissolved.
#[derive(Clone, Debug)]
pub(crate) struct Dissolving {
    /// Members whose leave has no outcome yet.
    pub(crate) remaining: BTreeSet<VmName>,
    /// When the head was ordered to close, or `None` once the members are ordered to leave.
    pub(crate) closing_since: Option<TimeMs>,
}
