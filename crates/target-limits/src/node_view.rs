use celeryhaven_derives::state;
use celeryhaven_types::VmName;

state! {
    /// Where a node stands in the order of the live nodes for one target.
    #[derive(Copy, Eq)]
    pub struct Position {
        /// Number of live nodes before it.
        pub rank: usize,
        /// Number of live nodes, including this one.
        pub nodes: usize,
    }
}

/// What a node knows of targets and of the other nodes.
pub trait NodeView {
    /// Returns the start time of a listed target's process, if known; `None` if it is not listed.
    fn started_at_ms(&self, target: &VmName) -> Option<Option<u64>>;

    /// Returns the requests a second that a target bears while it is cold; `None` for any number.
    fn cold_rate_per_s(&self, target: &VmName) -> Option<f64>;

    /// Returns the position of this node for a target.
    fn position(&self, target: &VmName) -> Position;
}
