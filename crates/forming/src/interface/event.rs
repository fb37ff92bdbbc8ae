use celeryhaven_derives::state;
use celeryhaven_fleet::{OrderOutcome, ReplicaKey};
use celeryhaven_load_quota::GrantedLoads;
use celeryhaven_types::{Generation, VmName};

use crate::interface::{OrderId, PlannerId};
use crate::record::DomainRecord;

state! {
    /// An event that a planner handles.
    pub enum FormingEvent {
        /// The domain's record was read. The record is empty if it does not exist.
        RecordRead {
            /// The planner that has asked for it.
            planner: PlannerId,
            /// The content of the record.
            record: DomainRecord,
        },
        /// The record was written. Its version is the generation of the new plans.
        RecordWritten {
            /// The planner that has written it.
            planner: PlannerId,
            /// The version written.
            generation: Generation,
        },
        /// A read failed, or a write failed or has an unknown result. The record must be read
        /// again.
        RecordFailed {
            /// The planner that has asked for it.
            planner: PlannerId,
        },
        /// Loads were granted that the planner needs.
        LoadsGranted {
            /// The loads.
            granted: GrantedLoads,
        },
        /// An order has completed.
        OrderCompleted {
            /// The order.
            id: OrderId,
            /// Its outcome.
            outcome: OrderOutcome,
        },
        /// A probe has completed.
        ProbeCompleted {
            /// The target that was probed.
            target: VmName,
            /// The result.
            reachability: Reachability,
        },
        /// All requests at a replica are stalled.
        Suspected {
            /// The replica.
            replica: ReplicaKey,
        },
        /// A target was reported as lost by the head of its replica.
        LossReported {
            /// The target.
            target: VmName,
        },
    }

    /// The result of a probe.
    #[derive(Copy, Eq)]
    pub enum Reachability {
        /// The target answered.
        Answers,
        /// Nothing listens at the target's address.
        Gone,
        /// The target's host accepted a connection, but its process did not answer in time. It may have
        /// stopped for a while and go on.
        Silent,
        /// No connection could be opened. The target's host may have failed or be cut off.
        NoConnection,
    }
}
