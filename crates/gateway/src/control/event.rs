use celeryhaven_fleet::StoreContact;
use celeryhaven_forming::FormingEvent;
use celeryhaven_peers::{NodeRecord, ProbeResult};
use celeryhaven_types::store::{Object, ObjectChange, ObjectVersion};
use celeryhaven_types::{DomainName, NodeName};

use crate::control::counted_store::StoreKind;
use crate::control::suspicions::Suspicion;
use crate::traffic::TrafficReport;

/// Which kind of object a feed follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FeedKind {
    /// The configuration.
    Configuration,
    /// The list of targets.
    Targets,
}

impl FeedKind {
    /// The kind that its calls to the store are counted under.
    pub(crate) const fn store_kind(self) -> StoreKind {
        match self {
            Self::Configuration => StoreKind::Configuration,
            Self::Targets => StoreKind::Targets,
        }
    }

    /// The word used between nodes and in logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Targets => "targets",
        }
    }
}

/// What a feed from the store brings.
#[derive(Clone, Debug)]
pub(crate) enum FeedUpdate {
    /// The whole list.
    Listed { objects: Vec<Object>, store: StoreContact },
    /// What has changed since, perhaps nothing.
    Changed { changes: Vec<ObjectChange>, store: StoreContact },
    /// The store gave no answer.
    Failed,
}

/// What the control thread hears.
#[derive(Clone, Debug)]
pub(crate) enum ControlEvent {
    /// A feed has news.
    Feed(FeedKind, FeedUpdate),
    /// The records of all nodes, perhaps seconds old.
    Nodes(Vec<NodeRecord>),
    /// What a probe of another node showed.
    Probed { node: NodeName, probe: ProbeResult },
    /// Another node tells a suspicion.
    Suspicion(Suspicion),
    /// The store turned a call away or did not answer it.
    NotServed,
    /// Something about the forming of a domain's replicas.
    Forming(DomainName, FormingEvent),
    /// A domain's record is at this version.
    RecordVersion(DomainName, Option<ObjectVersion>),
    /// News from traffic.
    Traffic(TrafficReport),
    /// Time has passed.
    Tick,
    /// The platform wants the process to stop.
    Leave,
}
