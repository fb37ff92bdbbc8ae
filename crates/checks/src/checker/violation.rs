use celeryhaven_derives::state;
use celeryhaven_types::{ReplicaName, VmName};

use crate::observed::{CallId, OperationId};

state! {
    /// A violated guarantee.
    #[derive(Eq)]
    pub enum Violation {
        /// A call with the verdict "answered" did not receive exactly its complete answer.
        NotItsWholeAnswer {
            /// The call.
            call: CallId,
        },
        /// A call got the verdict "not run" although its operation had run.
        NotRunButRan {
            /// The call.
            call: CallId,
        },
        /// An operation ran after all of its calls had the verdict "not run".
        RanAfterNotRun {
            /// The operation.
            operation: OperationId,
        },
        /// A non-idempotent operation ran more than once.
        RanTwice {
            /// The operation.
            operation: OperationId,
            /// The VMs that ran it, in order.
            vms: Vec<VmName>,
        },
        /// A call got a second final answer.
        ToldTwice {
            /// The call.
            call: CallId,
        },
        /// A call got no final answer, and its connection was not lost.
        NeverTold {
            /// The call.
            call: CallId,
        },
        /// A request was sent to a replica too long after the loss of a member.
        SentAfterLoss {
            /// The replica.
            replica: ReplicaName,
            /// The lost member.
            vm: VmName,
            /// Time since the loss, in milliseconds.
            after_ms: u64,
        },
        /// A request was sent to a VM too long after its leave notice.
        SentAfterLeaving {
            /// The VM.
            vm: VmName,
            /// Time since the notice, in milliseconds.
            after_ms: u64,
        },
        /// A VM is placed in two replicas.
        TwoReplicas {
            /// The VM.
            vm: VmName,
        },
    }
}
