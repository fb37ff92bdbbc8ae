use async_channel::Sender;
use celeryhaven_ends::{Finding, TargetProcess};
use celeryhaven_fleet::StoreContact;
use celeryhaven_forming::{FormingEvent, PlannerId, Reachability};
use celeryhaven_load_quota::{QuotaCall, QuotaReply};
use celeryhaven_peers::{NodeRecord, ProbeResult, RelayDirectory};
use celeryhaven_quarantine::{CrashRecord, QuarantineWrite};
use celeryhaven_records::WriteOutcome;
use celeryhaven_sources::Source;
use celeryhaven_target_limits::{LimitRecord, LimitWrite};
use celeryhaven_types::store::{Object, ObjectChange, ObjectVersion};
use celeryhaven_types::{DomainName, NodeName, TimeMs, VmName};

use crate::control::counted_store::StoreCallKind;
use crate::control::directory::StoredDirectory;
use crate::control::ends::{EndAnswer, EndQuestion, SeenCrashes};
use crate::control::suspicions::Suspicion;
use crate::traffic::TrafficReport;

/// Kind of objects that a feed follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FeedKind {
    Configuration,
    /// The listed targets.
    Targets,
    /// What nodes have seen of targets and of requests, for all nodes.
    Advisories,
    /// The data centres that operators have evacuated.
    Evacuations,
    /// Records of all nodes, in a fleet too large for each node to read them from the store.
    Nodes,
}

impl FeedKind {
    /// All kinds.
    pub(crate) const ALL: [Self; 5] =
        [Self::Configuration, Self::Targets, Self::Advisories, Self::Evacuations, Self::Nodes];

    /// Whether the polls of this feed find out which source answers.
    ///
    /// The configuration decides which requests are answered for good, so its feed knows best how old
    /// it is.
    pub(crate) const fn is_lead(self) -> bool {
        matches!(self, Self::Configuration)
    }

    /// Returns the kind under which store calls of this feed are counted.
    pub(crate) const fn store_call_kind(self) -> StoreCallKind {
        match self {
            Self::Configuration => StoreCallKind::Configuration,
            Self::Targets => StoreCallKind::Targets,
            Self::Advisories => StoreCallKind::Advisories,
            Self::Evacuations => StoreCallKind::Evacuations,
            Self::Nodes => StoreCallKind::Nodes,
        }
    }

    /// Returns the name used between nodes and in logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Targets => "targets",
            Self::Advisories => "advisories",
            Self::Evacuations => "evacuations",
            Self::Nodes => "nodes",
        }
    }
}

/// Update from a feed.
#[derive(Clone, Debug)]
pub(crate) enum FeedUpdate {
    /// All objects at a version of the store.
    Listed {
        version: ObjectVersion,
        objects: Vec<Object>,
        store: StoreContact,
        /// Whether the store has come back from a copy since the last update.
        is_restored: bool,
        origin: FeedOrigin,
    },
    /// Changes since the last update, possibly none.
    Changed { changes: Vec<ObjectChange>, store: StoreContact, origin: FeedOrigin },
    /// The store did not answer or rejected the call.
    Failed,
}

/// Where an update comes from.
#[derive(Clone, Debug)]
pub(crate) struct FeedOrigin {
    pub(crate) source: Source,
    /// Whether this node is assumed to reach the store itself.
    pub(crate) reaches_store: bool,
    /// Earliest time at which the store can have held what the update leads to.
    pub(crate) confirmed_at: TimeMs,
}

impl FeedUpdate {
    /// Returns where the update comes from, unless a poll has failed.
    pub(crate) fn origin(&self) -> Option<&FeedOrigin> {
        match self {
            Self::Listed { origin, .. } | Self::Changed { origin, .. } => Some(origin),
            Self::Failed => None,
        }
    }
}

/// Event for the control thread.
#[derive(Clone, Debug)]
pub(crate) enum ControlEvent {
    /// Update from a feed.
    Feed(FeedKind, FeedUpdate),
    /// Records of all nodes, possibly some seconds old.
    Nodes(Vec<NodeRecord>),
    /// The fleet is too large for each node to read the records of all nodes; some of them.
    LargeFleet(Vec<NodeRecord>),
    /// The directory of relays, and its version.
    RelayDirectory(RelayDirectory, ObjectVersion),
    /// A write of the directory of relays has ended.
    DirectoryWritten(StoredDirectory),
    /// Result of a probe of another node.
    Probed { node: NodeName, probe: ProbeResult },
    /// Suspicion reported by another node.
    Suspicion(Suspicion),
    /// This node has lost its links to the targets of a service, or has them back.
    LinksChanged,
    /// A store call was rejected or not answered.
    StoreCallFailed,
    /// Event for the planner of a domain.
    Forming(DomainName, FormingEvent),
    /// Version of a domain record after a read or write of a planner.
    RecordVersion(DomainName, PlannerId, Option<ObjectVersion>),
    /// Another node asks about ends of targets.
    EndsAsked(EndQuestion, Sender<EndAnswer>),
    /// What a peer has found of ends of targets; `None` if it has not answered.
    EndsAnswered(NodeName, Vec<(TargetProcess, Option<Finding>)>),
    /// What this node has found of a process by connecting once more.
    EndFound(TargetProcess, Finding),
    /// What this node's probe of an unlisted target has found.
    UnlistedProbed(VmName, Reachability),
    /// A refusal has waited for a contradiction.
    EndsDue,
    /// A process that another node has asked about goes on.
    EndSettled(TargetProcess),
    /// What another node has seen of causes of crashes; it may ask what this one knows of these.
    CrashesSeen(SeenCrashes, Option<Sender<SeenCrashes>>),
    /// Outcome of a write of a quarantine record.
    QuarantineWritten(QuarantineWrite, WriteOutcome<CrashRecord>),
    /// Outcome of a write of a target's limit.
    LimitWritten(LimitWrite, WriteOutcome<LimitRecord>),
    /// Outcome of a call for the records of granted loads.
    LoadQuotaCalled(QuotaCall, QuotaReply),
    /// A call for the records of granted loads may be due.
    LoadQuotaDue,
    /// Report from traffic.
    Traffic(TrafficReport),
    /// Periodic timer.
    Tick,
    /// Request to stop the process.
    Leave,
}
