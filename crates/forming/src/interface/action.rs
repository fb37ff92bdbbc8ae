use celeryhaven_derives::{number, state};
use celeryhaven_fleet::{ReplicaKey, TargetOrder};
use celeryhaven_load_quota::{GrantId, LoadOutcome};
use celeryhaven_types::{TimeMs, VmName};

use crate::record::DomainRecord;

number! {
    /// Identifies a planner among all that its process ever has.
    PlannerId(u64)
}

state! {
    /// Identifies an order among all of its process, to match its outcome.
    ///
    /// A planner that takes a domain over from another of the same process gets the results of calls
    /// that the other one has begun.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub struct OrderId {
        /// The planner that gave the order.
        pub planner: PlannerId,
        /// Number of orders that it had given before.
        pub number: u64,
    }

    /// Why a formation failed.
    #[derive(Copy, Eq)]
    pub enum FormationFailure {
        /// A member did not answer its join, or nothing listens at its address.
        MemberUnreachable,
        /// A member refused its join.
        JoinRefused,
        /// A member was lost or is leaving.
        MemberLost,
        /// Joins that may load a model were not granted a load in time.
        NoLoadGranted,
        /// The members were not ready in time.
        TimedOut,
    }

    /// An action that a planner requests from its caller.
    pub enum FormingAction {
        /// Read the domain's record.
        ReadRecord {
            /// The planner that needs it.
            planner: PlannerId,
        },
        /// Write the domain's record if it has not changed since it was read.
        WriteRecord {
            /// The planner whose plans it holds.
            planner: PlannerId,
            /// The new content.
            record: DomainRecord,
        },
        /// Send an order to a target, and report its outcome.
        Order {
            /// Identifies the order.
            id: OrderId,
            /// The target to send it to.
            target: VmName,
            /// The order.
            order: TargetOrder,
            /// When the order must have been sent, as it may begin a granted load. Sent later, it
            /// counts as refused.
            send_by: Option<TimeMs>,
        },
        /// Record what became of the order of a granted load.
        RecordLoad {
            /// The grant.
            grant: GrantId,
            /// What became of it.
            outcome: LoadOutcome,
        },
        /// Request a report from a target, to check whether it is reachable.
        Probe {
            /// The target to probe.
            target: VmName,
        },
        /// Record and log that the order of a granted load is being sent.
        RecordLoadOrder {
            /// The target that may load.
            target: VmName,
            /// The name of the order.
            order: &'static str,
            /// The grant of the load.
            grant: GrantId,
        },
        /// Count a formation that failed.
        CountFailedFormation {
            /// Why it failed.
            cause: FormationFailure,
        },
        /// Log a change in the state of a replica.
        LogChange {
            /// The replica.
            replica: ReplicaKey,
            /// What changed, in a few words.
            change: &'static str,
            /// The target concerned, if any.
            target: Option<VmName>,
        },
    }
}

impl FormationFailure {
    /// Returns the name of the cause in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::MemberUnreachable => "member unreachable",
            Self::JoinRefused => "join refused",
            Self::MemberLost => "member lost",
            Self::NoLoadGranted => "no load granted",
            Self::TimedOut => "timed out",
        }
    }

    /// Returns the change that is logged.
    pub(crate) const fn change(self) -> &'static str {
        match self {
            Self::MemberUnreachable | Self::JoinRefused => self.as_str(),
            Self::MemberLost | Self::NoLoadGranted | Self::TimedOut => "formation abandoned",
        }
    }
}
