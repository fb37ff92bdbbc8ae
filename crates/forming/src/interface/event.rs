use celeryhaven_derives::state;
use celeryhaven_fleet::{OrderOutcome, ReplicaKey};
use celeryhaven_types::{Generation, VmName};

use crate::interface::OrderId;
use crate::record::DomainRecord;

state! {
    /// What a decider hears, besides the list of targets.
    pub enum FormingEvent {
        /// The domain's record was read; it may be missing.
        RecordRead {
            /// What it holds.
            record: DomainRecord,
        },
        /// The record was written; its version is the generation of what was new in it.
        RecordWritten {
            /// That version.
            generation: Generation,
        },
        /// The record was not written, or perhaps was: it must be read again.
        RecordFailed,
        /// What became of an order.
        OrderCompleted {
            /// Which.
            id: OrderId,
            /// What.
            outcome: OrderOutcome,
        },
        /// What became of a probe.
        ProbeCompleted {
            /// Whom it went to.
            target: VmName,
            /// What it showed.
            reachability: Reachability,
        },
        /// Requests at a replica stand still together.
        Suspected {
            /// Which.
            replica: ReplicaKey,
        },
        /// A target is named as lost by the head of its replica.
        LossReported {
            /// Which.
            target: VmName,
        },
    }

    /// What a probe shows.
    #[derive(Copy, Eq)]
    pub enum Reachability {
        /// It answered.
        Answers,
        /// Nothing listens there any more.
        Gone,
        /// No answer in time: it may be dead or cut off.
        Silent,
    }
}
