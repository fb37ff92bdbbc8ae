use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use celeryhaven_types::NodeName;

use crate::control::relay::PeerAddress;

/// Fleet state that determines what a feed polls, and how often.
#[derive(Debug, Default)]
pub(crate) struct FeedConditions {
    /// Whether this node is forming replicas.
    pub(crate) is_forming: Cell<bool>,
    /// Whether other nodes follow this one.
    pub(crate) is_relay: Cell<bool>,
    /// Whether other nodes may ask this one while their sources do not answer.
    pub(crate) is_asked: Cell<bool>,
    /// Number of live nodes, including this one.
    pub(crate) nodes: Cell<u64>,
    /// Latest era of the store that a list was read in.
    pub(crate) era: Cell<u64>,
    /// Relays that may be followed, the preferred one first; none to poll the store.
    pub(crate) relays: RefCell<Vec<NodeName>>,
    /// Further nodes to ask while none of these answers.
    pub(crate) others: RefCell<Vec<NodeName>>,
    /// Addresses of all these nodes.
    pub(crate) addresses: RefCell<BTreeMap<NodeName, PeerAddress>>,
    /// Whether the records of the other nodes have been read.
    pub(crate) nodes_known: Cell<bool>,
    /// Whether the store has answered a feed since this was last asked.
    pub(crate) store_answered: Cell<bool>,
    /// How a starting node gets its first lists.
    pub(crate) fleet_scale: Cell<FleetScale>,
    /// Whether a node of a large fleet may read complete lists from the store.
    pub(crate) may_list: Cell<bool>,
}

/// How a starting node gets its first lists.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum FleetScale {
    /// Not known yet.
    #[default]
    Unknown,
    /// From the store.
    Small,
    /// From relays: the lists of all nodes together would fill the store's link.
    Large,
}

impl FeedConditions {
    /// Whether this node may read complete lists from the store.
    pub(crate) fn may_list_store(&self) -> bool {
        self.fleet_scale.get() == FleetScale::Small || self.may_list.get()
    }
}
