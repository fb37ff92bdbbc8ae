use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::Sender;
use celeryhaven_delegation::Peer;
use celeryhaven_derives::state;
use celeryhaven_ends::{EndVerdict, Finding, TargetProcess};
use celeryhaven_fleet::{Evacuations, ReplicaKey, RouteTable};
use celeryhaven_quarantine::{CauseDigest, CauseKind, Hold, Standings};
use celeryhaven_types::{
    DataCentreName, ModelName, NodeName, OrganisationName, ServiceName, TimeMs, VmName,
};

use crate::traffic::TargetLimitMap;

state! {
    /// Identifies a destination.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub(crate) enum DestinationName {
        /// A whole replica, whose head takes the requests.
        Replica(ReplicaKey),
        /// A target of a plain service.
        Plain(VmName),
        /// Another node, which runs requests for this one.
        Peer(NodeName),
    }

    /// A whole replica, or a target of a plain service.
    #[derive(Eq)]
    pub(crate) struct Destination {
        /// The unique name.
        pub(crate) name: DestinationName,
        /// The service to which it belongs.
        pub(crate) service: ServiceName,
        /// The served model; `None` for a plain service.
        pub(crate) model: Option<ModelName>,
        /// The target that takes the requests.
        pub(crate) target: VmName,
        /// Its data centre.
        pub(crate) data_centre: DataCentreName,
        /// The address of that target.
        pub(crate) address: SocketAddr,
        /// Maximum number of concurrent requests.
        pub(crate) slots: u32,
        /// Start time of the target's process, in Unix milliseconds.
        pub(crate) started_at_ms: Option<u64>,
    }

    /// The live nodes that send to the same targets, including this one.
    #[derive(Copy, Eq)]
    pub(crate) struct Senders {
        /// Number of nodes.
        pub(crate) nodes: u32,
        /// Rank of this node in an order that is the same on every node; the first has rank 0.
        pub(crate) rank: u32,
    }

    /// The limit that an answer of a target has named.
    pub(crate) struct NamedLimit {
        /// The target.
        pub(crate) target: VmName,
        /// Start time of the target's process, in Unix milliseconds.
        pub(crate) started_at_ms: Option<u64>,
        /// Requests a second from all nodes; `None` if the limit has ended.
        pub(crate) rate_per_s: Option<f64>,
    }

    /// A target that ended while it ran a request of this node.
    #[derive(Eq)]
    pub(crate) struct CrashReport {
        /// What was running.
        pub(crate) digest: CauseDigest,
        /// What kind of cause it is.
        pub(crate) kind: CauseKind,
        /// Organisation of the caller; `None` of a part, which callers share.
        pub(crate) organisation: Option<OrganisationName>,
        /// Name of the route.
        pub(crate) route: String,
        /// The service of the target.
        pub(crate) service: ServiceName,
        /// The target.
        pub(crate) target: VmName,
        /// Start time of the target's process, in Unix milliseconds.
        pub(crate) started_at_ms: Option<u64>,
        /// When the connection broke, or the attempt was given up.
        pub(crate) broken_at: TimeMs,
        /// Whether targets have run the cause lately without ending.
        pub(crate) excused: bool,
    }
}

impl DestinationName {
    /// Returns the name of the replica or target.
    pub(crate) fn as_str(&self) -> &str {
        match self {
            Self::Replica(key) => key.replica.as_str(),
            Self::Plain(target) => target.as_str(),
            Self::Peer(node) => node.as_str(),
        }
    }
}

/// The state that the control thread publishes to traffic.
#[derive(Clone, Debug)]
pub(crate) struct TrafficUpdate {
    /// The configuration in force; `None` until one has been received.
    pub(crate) routes: Option<Arc<RouteTable>>,
    /// All destinations for requests.
    pub(crate) destinations: Arc<[Destination]>,
    /// Addresses of the nodes that accept requests, including this node's if it does.
    pub(crate) addresses: Vec<SocketAddr>,
    /// The live nodes that send to the same targets.
    pub(crate) senders: Senders,
    /// Nodes that can run requests for this one.
    pub(crate) peers: Arc<[Peer]>,
    /// Whether this node accepts requests.
    pub(crate) ready: bool,
    /// Time until which this node counts as cut off from the store.
    pub(crate) cut_off_until: Option<TimeMs>,
    /// The evacuated data centres.
    pub(crate) evacuations: Evacuations,
    /// Limits of targets, and this node's parts of them.
    pub(crate) limits: Arc<TargetLimitMap>,
    /// Requests that are suspected of ending their targets, or quarantined; `None` until they have
    /// been read.
    pub(crate) standings: Option<Arc<Standings>>,
    /// Contents that are held, as they may have ended targets.
    pub(crate) held: Arc<BTreeMap<CauseDigest, Hold>>,
    /// Replicas that peers have found quiet, and when this node heard of it.
    pub(crate) quiet_at_peers: Arc<BTreeMap<ReplicaKey, TimeMs>>,
}

impl TrafficUpdate {
    /// Whether two updates are equal; shared values are compared by identity.
    pub(crate) fn is_same_as(&self, other: &Self) -> bool {
        let routes = match (&self.routes, &other.routes) {
            (Some(own), Some(others)) => Arc::ptr_eq(own, others),
            (own, others) => own.is_none() && others.is_none(),
        };
        let standings = match (&self.standings, &other.standings) {
            (Some(own), Some(others)) => Arc::ptr_eq(own, others),
            (own, others) => own.is_none() && others.is_none(),
        };
        routes
            && Arc::ptr_eq(&self.destinations, &other.destinations)
            && self.addresses == other.addresses
            && self.senders == other.senders
            && self.peers == other.peers
            && self.ready == other.ready
            && self.cut_off_until == other.cut_off_until
            && self.evacuations == other.evacuations
            && standings
            && Arc::ptr_eq(&self.limits, &other.limits)
            && Arc::ptr_eq(&self.held, &other.held)
            && Arc::ptr_eq(&self.quiet_at_peers, &other.quiet_at_peers)
    }
}

state! {
    /// Load that callers have offered for one model.
    pub(crate) struct OfferedLoad {
        /// The model.
        pub(crate) model: ModelName,
        /// Slot time that the load needs, in milliseconds.
        pub(crate) slot_ms: f64,
    }
}

state! {
    /// A target that may have ended while it ran a request.
    pub(crate) struct EndQuery {
        /// The process of the target.
        pub(crate) process: TargetProcess,
        /// What a new connection of this node has shown.
        pub(crate) found: Finding,
        /// Whether the connection of the request broke, rather than being given up.
        pub(crate) is_broken: bool,
        /// The content of the request, unless targets have run that lately without ending.
        pub(crate) content: Option<CauseDigest>,
    }
}

/// A report from traffic to the control thread.
#[derive(Clone, Debug)]
pub(crate) enum TrafficReport {
    /// The first caller request was received.
    FirstRequest,
    /// All streams of a replica have stalled, or no connection to its head could be made.
    Suspected(ReplicaKey),
    /// Replicas that this node has found quiet.
    Quiet(Vec<ReplicaKey>),
    /// A target was reported as lost, or no connection to it could be made.
    LossReported(VmName),
    /// Load that callers have offered since the last report.
    Offered(Vec<OfferedLoad>),
    /// A target may have ended; the answers tell whether it has.
    EndSuspected(EndQuery, Sender<EndVerdict>),
    /// Targets that ended while they ran requests.
    Crashed(Vec<CrashReport>),
    /// A run of a suspected cause has completed, which had begun at this time.
    Completed(CauseDigest, TimeMs),
    /// An answer has named a limit of its target that was not known, or named none.
    LimitNamed(NamedLimit),
    /// A trial of a quarantined cause is due; the answer tells whether this node may make it.
    TrialDue(CauseDigest, Sender<bool>),
}
