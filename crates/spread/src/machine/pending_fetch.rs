use celeryhaven_types::store::ObjectVersion;
use celeryhaven_types::{NodeName, TimeMs};

/// An object that was requested and has not arrived.
#[derive(Clone, Debug)]
pub(crate) struct PendingFetch {
    /// The version that was announced.
    pub(crate) version: ObjectVersion,
    /// When the object is requested from another node.
    pub(crate) retry_at: TimeMs,
    /// Other nodes that announced the version and have not been asked for it.
    pub(crate) other_holders: Vec<NodeName>,
}
