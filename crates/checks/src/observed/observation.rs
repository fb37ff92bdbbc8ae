use celeryhaven_derives::data;
use celeryhaven_types::{
    DomainPlacement, Generation, Idempotency, ReplicaName, TimeMs, Verdict, VmName,
};

use crate::observed::{Answer, CallId, OperationId};

data! {
    /// An observation from outside the system; all times are of the observer's clock.
    pub enum Observation {
        /// A caller sent a request.
        Asked {
            /// Time of the observation.
            at: TimeMs,
            /// The call.
            call: CallId,
            /// The operation that it requests.
            operation: OperationId,
            /// Whether the operation may run more than once.
            idempotency: Idempotency,
            /// Number of pieces in the complete answer.
            pieces: u32,
        },
        /// A target began to run an operation.
        Ran {
            /// Time of the observation.
            at: TimeMs,
            /// The operation.
            operation: OperationId,
            /// The VM that runs it.
            vm: VmName,
        },
        /// A call got its final answer.
        Told {
            /// Time of the observation.
            at: TimeMs,
            /// The call.
            call: CallId,
            /// The verdict.
            verdict: Verdict,
            /// The answer, if the verdict is "answered".
            answer: Option<Answer>,
        },
        /// The caller observed the loss of the call's connection.
        CutOff {
            /// Time of the observation.
            at: TimeMs,
            /// The call.
            call: CallId,
        },
        /// A replica was formed, or formed again with another generation.
        Formed {
            /// The replica.
            replica: ReplicaName,
            /// The generation of the formation.
            generation: Generation,
            /// Its members.
            vms: Vec<VmName>,
        },
        /// A VM failed, became silent or lost its memory.
        Lost {
            /// Time of the observation.
            at: TimeMs,
            /// The VM.
            vm: VmName,
        },
        /// A silent VM reports again, with its memory intact.
        Restored {
            /// The VM.
            vm: VmName,
        },
        /// The platform or an operator announced that a VM leaves.
        Leaving {
            /// Time of the observation.
            at: TimeMs,
            /// The VM.
            vm: VmName,
        },
        /// An entry sent a new request to a target.
        Sent {
            /// Time of the observation.
            at: TimeMs,
            /// The VM that receives the request.
            vm: VmName,
            /// The destination replica; `None` for a plain service.
            replica: Option<(ReplicaName, Generation)>,
        },
        /// The Object API accepted a placement.
        Placed {
            /// The placement.
            placement: DomainPlacement,
        },
    }
}
