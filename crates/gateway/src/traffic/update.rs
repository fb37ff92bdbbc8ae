use std::net::SocketAddr;
use std::sync::Arc;

use celeryhaven_derives::state;
use celeryhaven_fleet::{ReplicaKey, RouteTable};
use celeryhaven_types::{ModelName, ServiceName, TimeMs, VmName};

state! {
    /// Something that requests can be sent to.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub(crate) enum DestinationName {
        /// A whole replica; its head takes the requests.
        Replica(ReplicaKey),
        /// A target of a plain service.
        Plain(VmName),
    }

    /// A whole replica, or a target of a plain service.
    #[derive(Eq)]
    pub(crate) struct Destination {
        /// Names it.
        pub(crate) name: DestinationName,
        /// The service that it belongs to.
        pub(crate) service: ServiceName,
        /// The model that it serves; `None` for a plain service.
        pub(crate) model: Option<ModelName>,
        /// The target that takes the requests.
        pub(crate) target: VmName,
        /// Where it listens.
        pub(crate) address: SocketAddr,
        /// Requests that it runs side by side.
        pub(crate) slots: u32,
    }
}

impl DestinationName {
    /// The replica's or the target's name.
    pub(crate) fn as_str(&self) -> &str {
        match self {
            Self::Replica(key) => key.replica.as_str(),
            Self::Plain(target) => target.as_str(),
        }
    }
}

/// What traffic may use from now on.
#[derive(Clone, Debug)]
pub(crate) struct TrafficUpdate {
    /// The configuration in force; `None` while none is known.
    pub(crate) routes: Option<Arc<RouteTable>>,
    /// Everything that requests may be sent to.
    pub(crate) destinations: Arc<[Destination]>,
    /// Addresses of the nodes that take requests, this one among them if it does.
    pub(crate) addresses: Vec<SocketAddr>,
    /// Live nodes that send to the same targets, this one included.
    pub(crate) senders: u32,
    /// Whether this node takes requests.
    pub(crate) ready: bool,
    /// Until when this node counts as cut off from the store.
    pub(crate) cut_off_until: Option<TimeMs>,
}

impl TrafficUpdate {
    /// Whether it tells the same as another; what is shared is compared by identity.
    pub(crate) fn is_same_as(&self, other: &Self) -> bool {
        let routes = match (&self.routes, &other.routes) {
            (Some(own), Some(others)) => Arc::ptr_eq(own, others),
            (own, others) => own.is_none() && others.is_none(),
        };
        routes
            && Arc::ptr_eq(&self.destinations, &other.destinations)
            && self.addresses == other.addresses
            && self.senders == other.senders
            && self.ready == other.ready
            && self.cut_off_until == other.cut_off_until
    }
}

state! {
    /// Work that callers have offered for one model.
    pub(crate) struct OfferedLoad {
        /// The model.
        pub(crate) model: ModelName,
        /// Time in a slot that it takes, in milliseconds.
        pub(crate) slot_ms: f64,
    }
}

/// What traffic tells the control thread.
#[derive(Clone, Debug)]
pub(crate) enum TrafficReport {
    /// A caller's first request has come.
    FirstRequest,
    /// The requests at a replica stand still together.
    Suspected(ReplicaKey),
    /// A target is named as lost, or refuses connections.
    LossReported(VmName),
    /// Work that callers have offered since the last time.
    Offered(Vec<OfferedLoad>),
}
