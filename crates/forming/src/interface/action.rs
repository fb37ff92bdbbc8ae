use celeryhaven_derives::{number, state};
use celeryhaven_fleet::{ReplicaKey, TargetOrder};
use celeryhaven_types::VmName;

use crate::record::DomainRecord;

number! {
    /// Identifies an order within one planner, to match its outcome.
    OrderId(u64)
}

state! {
    /// An action that a planner requests from its caller.
    pub enum FormingAction {
        /// Read the domain's record.
        ReadRecord,
        /// Write the domain's record if it has not changed since it was read.
        WriteRecord {
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
        },
        /// Request a report from a target, to check whether it is reachable.
        Probe {
            /// The target to probe.
            target: VmName,
        },
        /// Log an order that begins a load, and how the load was limited.
        LogLoad {
            /// The target that loads.
            target: VmName,
            /// What loads: an order to stage, or a join on a target without the model.
            order: &'static str,
            /// Loads that the limit still allowed, or `None` if the load was not limited.
            allowed: Option<f64>,
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
