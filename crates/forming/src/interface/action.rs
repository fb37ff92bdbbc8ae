use celeryhaven_derives::{number, state};
use celeryhaven_fleet::{ReplicaKey, TargetOrder};
use celeryhaven_types::VmName;

use crate::record::DomainRecord;

number! {
    /// Matches an order's outcome to the order, inside one decider.
    OrderId(u64)
}

state! {
    /// What a decider wants done.
    pub enum FormingAction {
        /// Read the domain's record.
        ReadRecord,
        /// Write the domain's record if it is still as it was read.
        WriteRecord {
            /// Its new content.
            record: DomainRecord,
        },
        /// Send an order; its outcome follows.
        Order {
            /// Names the order.
            id: OrderId,
            /// Whom to.
            target: VmName,
            /// What.
            order: TargetOrder,
        },
        /// Ask a target for its report, to see whether it can be reached.
        Probe {
            /// Which.
            target: VmName,
        },
        /// Nothing to do but to log: what is believed of a replica has changed.
        LogChange {
            /// Which.
            replica: ReplicaKey,
            /// What, in a few words.
            change: &'static str,
            /// The target that it is about, if it is about one.
            target: Option<VmName>,
        },
    }
}
